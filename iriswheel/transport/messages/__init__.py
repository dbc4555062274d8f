"""The messages between iriswheel's own processes, a module per subsystem.

Other packages name them through the index `iriswheel.transport.message`.
"""

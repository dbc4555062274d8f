"""The messages between iriswheel's own processes, one module per subsystem.

Other packages import them from the index `iriswheel.transport.message`.
"""

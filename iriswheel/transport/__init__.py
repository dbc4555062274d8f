"""The messages between iriswheel's processes, their framing and connections, and the HTTP server."""

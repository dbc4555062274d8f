"""Messages between processes, their framing and connections, and the HTTP server."""

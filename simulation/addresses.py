"""IP addresses and ports that a simulated cluster uses."""

PEER_PORT, HTTP_PORT = 7001, 8001
PLATFORM_PORT, WORKER_PORT = 9000, 9001
PLATFORM_HOST = "10.0.4.1"
CLIENT_HOST, OPERATOR_HOST = "10.9.0.1", "10.9.0.2"

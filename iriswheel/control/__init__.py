"""The core process: sessions of nodes, reports to the tail, heartbeats, and the operators' HTTP API."""

"""The core process: node sessions, reports and heartbeats, the operators' API."""

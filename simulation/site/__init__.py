"""A simulated deployment of the fleet on the users' platform, with workers, clients, operators and faults."""

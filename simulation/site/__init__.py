"""A simulated deployment of the fleet on the users' platform, with its workers, clients, operators and faults."""

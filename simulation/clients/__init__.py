"""Stand-ins for who calls the fleet on the users' platform: clients, their virtual address, and operators."""

"""Stand-ins and runners for trying iriswheel on one machine."""

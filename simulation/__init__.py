"""The simulator: it runs the product on a virtual network, injects faults, and checks runs of many random seeds."""

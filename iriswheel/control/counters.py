"""Event counters of one core machine, which operators see in its state."""

import msgspec


class Counters(msgspec.Struct):
    """Numbers of events since the process started. Operators see these names in this order."""

    plans: int = 0
    confirms: int = 0
    changes: int = 0
    refused: int = 0
    joins: int = 0
    views: int = 0

"""Counters of one core machine, shown to operators."""

import msgspec


class Counters(msgspec.Struct):
    """How often what happened since the start; the names and their order are those that operators see."""

    plans: int = 0
    confirms: int = 0
    changes: int = 0
    refused: int = 0
    joins: int = 0
    views: int = 0

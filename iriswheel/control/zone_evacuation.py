"""Operators' orders to evacuate a zone and to readmit it: any number of times, at any core machine.

An order is decided on a state read at the tail, so that one which is in force already needs no log entry. Orders for
different zones, and configurations, don't depend on each other: an order whose base has moved is decided anew.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.control import submitted_changes

IDENTIFIER_PREFIX = "z"  # begins the id of an order, and never that of a numbered change or of a plan
DIGEST_CHARACTERS = 16
MAX_ZONE_CHARACTERS = 128


@dataclasses.dataclass(frozen=True)
class ZoneOrder:
    """An operator's order that a zone be evacuated, or readmitted.

    Attributes:
        zone: The zone.
        evacuated: Whether the zone is to be evacuated.
        is_wanted: Whether the operator still waits for the answer. An order that lay unread in a machine that stood
            still, and that was sent again elsewhere meanwhile, must not undo a later one.
    """

    zone: str
    evacuated: bool
    is_caller_waiting: collections.abc.Callable[[], bool] = lambda: True

    def identifier_for_base(self, version: int) -> str:
        """The id of the order where it is proposed on a version: the same from each core machine.

        >>> ZoneOrder("north", True).identifier_for_base(7)
        'z7-evacuate-dc365e79d41cfae1'
        """
        digest = hashlib.sha256(self.zone.encode()).hexdigest()[:DIGEST_CHARACTERS]
        return f"{IDENTIFIER_PREFIX}{version}-{'evacuate' if self.evacuated else 'readmit'}-{digest}"

    def decide(self, known: submitted_changes.KnownState) -> submitted_changes.Decision:
        """Decide from a state whether the order is in force, or what it changes.

        >>> known = submitted_changes.KnownState(7, {"evacuations/north": {}}, 0, 0, True)
        >>> ZoneOrder("north", True).decide(known), ZoneOrder("north", False).decide(known)
        (Committed(version=7), Applicable(changes=[('evacuations/north', None)]))
        """
        if not self.is_caller_waiting():
            return submitted_changes.Refused(errors.ServiceError("too_late", "The caller has gone."))
        if (self.zone in configuration.evacuated_zones(known.items)) == self.evacuated:
            return submitted_changes.Committed(known.version)
        key = configuration.evacuation_key(self.zone)
        return submitted_changes.Applicable([(key, {} if self.evacuated else None)])


def parse_zone(text: str) -> str:
    """A zone's name out of an order's path.

    Raises:
        errors.ServiceError: `bad_request`, where this is no name.

    >>> parse_zone("north")
    'north'
    """
    if not text or len(text) > MAX_ZONE_CHARACTERS or not text.isprintable():
        raise errors.ServiceError("bad_request", "This is no zone's name.", field="zone")
    return text

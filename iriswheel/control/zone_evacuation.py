"""Operators' orders to evacuate a zone and to readmit it, which may be repeated at any core machine.

An order is checked against a state read at the tail, so an order that is already in force needs no log entry. Orders
for different zones and changes of the configuration are independent: if the version has advanced since the read, the
order is checked again on the new state.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.control import submitted_changes

IDENTIFIER_PREFIX = "z"  # of the ids of zone orders; ids of numbered changes and plans begin otherwise
DIGEST_CHARACTERS = 16
MAX_ZONE_CHARACTERS = 128


@dataclasses.dataclass(frozen=True)
class ZoneOrder:
    """An operator's order to evacuate or to readmit a zone.

    Attributes:
        zone: The name of the zone.
        evacuated: True to evacuate the zone, False to readmit it.
        is_caller_waiting: Whether the operator still waits for the answer. A core machine that was paused may read an
            order late, after the operator has sent it to another machine; such an order must not undo a later one.
    """

    zone: str
    evacuated: bool
    is_caller_waiting: collections.abc.Callable[[], bool] = lambda: True

    def identifier_for_base(self, version: int) -> str:
        """The id of the order when proposed on a base version; it is the same at each core machine.

        >>> ZoneOrder("north", True).identifier_for_base(7)
        'z7-evacuate-dc365e79d41cfae1'
        """
        digest = hashlib.sha256(self.zone.encode()).hexdigest()[:DIGEST_CHARACTERS]
        return f"{IDENTIFIER_PREFIX}{version}-{'evacuate' if self.evacuated else 'readmit'}-{digest}"

    def decide(self, known: submitted_changes.KnownState) -> submitted_changes.Decision:
        """Decide from a state whether the order is already in force, can be proposed, or is refused.

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
    """Check the zone name from the path of an order.

    Raises:
        errors.ServiceError: `bad_request`, if the name is empty, too long or not printable.

    >>> parse_zone("north")
    'north'
    """
    if not text or len(text) > MAX_ZONE_CHARACTERS or not text.isprintable():
        raise errors.ServiceError("bad_request", "The zone's name is empty, too long or not printable.", field="zone")
    return text

"""Network cuts between the zones of a site, read from an event log."""

from __future__ import annotations

import typing

Row = dict[str, typing.Any]


class ZoneCut:
    """A network cut: when it began and ended, and its links, each a pair of sending and receiving zone."""

    def __init__(self, begin: int, end: int, links: set[tuple[str, str]]) -> None:
        self.begin, self.end, self.links = begin, end, links

    def overlaps(self, begin: int, end: int) -> bool:
        """Whether the cut lasted during a part of a time span, of which both ends belong to it.

        >>> ZoneCut(5, 9, set()).overlaps(9, 12), ZoneCut(5, 9, set()).overlaps(1, 4)
        (True, False)
        """
        return self.begin <= end and self.end >= begin

    def separates(self, zone: str, other: str) -> bool:
        """Whether the cut stops packets between two zones in at least one direction."""
        return (zone, other) in self.links or (other, zone) in self.links


class ZoneCuts:
    """All network cuts between zones of a run.

    >>> rows = [dict(at=5, kind="zones_cut", cut="k", links=[["a", "b"]]), dict(at=9, kind="zones_joined", cut="k")]
    >>> cuts = ZoneCuts(rows, 20)
    >>> cuts.has_path("a", "b", 6, 7), cuts.has_path("a", "b", 10, 12), cuts.has_path("a", "c", 6, 7)
    (False, True, True)
    """

    def __init__(self, rows: list[Row], ended_at: int) -> None:
        self.cuts: list[ZoneCut] = []
        open_cuts: dict[str, ZoneCut] = {}
        for row in rows:
            if row["kind"] == "zones_cut":
                cut = ZoneCut(row["at"], ended_at + 1, {(sender, receiver) for sender, receiver in row["links"]})
                open_cuts[row["cut"]] = cut
                self.cuts.append(cut)
            elif row["kind"] == "zones_joined":
                open_cuts.pop(row["cut"]).end = row["at"]

    def has_path(self, zone: str, other: str, begin: int, end: int) -> bool:
        """Whether two zones reached each other in both directions throughout a time span."""
        return zone == other or not any(cut.overlaps(begin, end) and cut.separates(zone, other) for cut in self.cuts)

    def has_cut_during(self, begin: int, end: int) -> bool:
        """Whether any link between zones was cut during a part of a time span."""
        return any(cut.overlaps(begin, end) for cut in self.cuts)

    def has_cut_of_zone_during(self, zone: str, begin: int, end: int) -> bool:
        """Whether any link from or to a zone was cut during a part of a time span."""
        return any(cut.overlaps(begin, end) and any(zone in link for link in cut.links) for cut in self.cuts)

    def change_times_within(self, zones: set[str]) -> list[int]:
        """When cuts began or ended that have a link with both ends within some zones."""
        matching = [cut for cut in self.cuts if any(set(link) <= zones for link in cut.links)]
        return [moment for cut in matching for moment in (cut.begin, cut.end)]

    def cut_duration(self, zone: str, other: str, begin: int, end: int) -> int:
        """For how many microseconds of a time span two zones did not reach each other in both directions."""
        spans = sorted(
            (max(begin, cut.begin), min(end, cut.end))
            for cut in self.cuts
            if zone != other and cut.overlaps(begin, end) and cut.separates(zone, other)
        )
        total, covered_to = 0, begin
        for since, until in spans:
            total += max(0, until - max(since, covered_to))
            covered_to = max(covered_to, until)
        return total

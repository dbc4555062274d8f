"""The assignments of roles to members in the memberships that the tail issues."""

import random

from benchmarks.capacity import samples
from iriswheel.membership import assignments, membership_manager


class TestAssignments:
    def test_choosing_a_group_again_over_the_same_members_changes_nothing(self) -> None:
        """The tail skips the choice while the members stay, so each issued group must be what it would choose again."""
        rng = random.Random(5)
        manager = samples.membership_manager_at_tail(12, 4)
        everybody = samples.members(40)
        seen = 0
        for _ in range(60):
            live = rng.sample(everybody, rng.randrange(1, 20))
            now = manager.runtime.now()
            manager.seen = {m.id: membership_manager.SeenMember(now, m, "c0") for m in live}
            manager.issue_if_changed()
            latest = manager.latest
            assert latest is not None
            assert sorted(m.id for m in live) == sorted(m.id for m in latest.members)
            for assignment in latest.assignments:
                assert assignments.choose_group(assignment.key, latest.members, assignment) == (
                    assignment.holder,
                    assignment.copies,
                )
                seen += 1
            manager.issue_if_changed()
            assert manager.latest is latest
        assert seen == 60 * 5

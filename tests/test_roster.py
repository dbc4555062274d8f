"""The membership's issuer: who does which role."""

import random

from benchmarks.capacity import samples
from iriswheel.membership import assignments, membership_manager


class TestDuties:
    def test_a_group_stays_what_it_is_while_its_members_stay(self) -> None:
        """So an issuer need not weigh again: as members come and go, weighing once more changes nothing."""
        rng = random.Random(5)
        iss = samples.issuer(12, 4)
        everybody = samples.members(40)
        seen = 0
        for _ in range(60):
            live = rng.sample(everybody, rng.randrange(1, 20))
            now = iss.runtime.now()
            iss.seen = {m.id: membership_manager.SeenMember(now, m, "c0") for m in live}
            iss.issue()
            latest = iss.latest
            assert sorted(m.id for m in live) == sorted(m.id for m in latest.members)
            for d in latest.assignments:
                assert assignments.group(d.key, latest.members, d) == (d.holder, d.copies)
                seen += 1
            iss.issue()
            assert iss.latest is latest
        assert seen == 60 * 5

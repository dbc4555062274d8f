"""The pools of the committed configuration whose workers are selected by a pool owner."""

from __future__ import annotations

import typing

from iriswheel.configuration import configuration

if typing.TYPE_CHECKING:
    from iriswheel.replication import chain

POOL_PREFIX = "pools/"
DEFAULT_ELECTION = configuration.Election.POOL_OWNER  # election of a pool that specifies none


class OwnedPools:
    """The names of the pools with a pool owner, computed once per committed state."""

    def __init__(self, chain: chain.Chain) -> None:
        self._chain = chain
        self._names: list[str] = []
        self._index: int | None = None  # log index of the state that the names were read from

    def names(self) -> list[str]:
        """The sorted names of the pools with a pool owner."""
        state = self._chain.committed_state
        if self._index != state.index:
            self._index = state.index
            self._names = sorted(
                key.removeprefix(POOL_PREFIX)
                for key, pool in state.items.items()
                if key.startswith(POOL_PREFIX)
                and pool.get("election", DEFAULT_ELECTION) == configuration.Election.POOL_OWNER
            )
        return self._names

"""The tenants of a node's slice, found by the digests of their keys."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration


class TenantIndex:
    """Tenants by name, and their names by key digest.

    A digest is looked up in a table as it is, not compared in constant time: what the time of a look-up may tell is a
    digest's first bits, and no key is found by these.

    >>> from iriswheel.configuration import configuration
    >>> index = TenantIndex()
    >>> index.put("desk", configuration.Tenant(keys=["d1"])); index.find("d1")[0], index.find("d2")
    ('desk', None)
    >>> index.put("desk", None); index.find("d1")
    """

    def __init__(self) -> None:
        self.tenants: dict[str, configuration.Tenant] = {}
        self._names: dict[str, str] = {}  # by key digest

    def put(self, name: str, tenant: configuration.Tenant | None) -> None:
        """Add or replace a tenant; None removes it."""
        old = self.tenants.pop(name, None)
        for digest in old.keys if old is not None else ():
            if self._names.get(digest) == name:
                del self._names[digest]
        if tenant is not None:
            self.tenants[name] = tenant
            self._names.update(dict.fromkeys(tenant.keys, name))

    def find(self, key_digest: str) -> tuple[str, configuration.Tenant] | None:
        """Return the name and the item of the tenant that has a key, or None."""
        name = self._names.get(key_digest)
        return None if name is None else (name, self.tenants[name])

"""An index of the tenants of a node's slice by the digests of their keys."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration


class TenantIndex:
    """The tenants by name, and their names by key digest.

    A digest is looked up in a hash table and not compared in constant time. The time of a look-up can reveal no more
    than the first bits of a digest, and a key can't be derived from these.

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
        """Return the name and the item of the tenant that has the key with this digest, or None."""
        name = self._names.get(key_digest)
        return None if name is None else (name, self.tenants[name])

"""Store of published records and their replacement by newer versions.

Each change carries the platform's version number, which only increases. A change
is applied if its version is above the stored version of the same record, no
matter whether it came from the platform, a stale replica of it or a peer.
Applying changes is therefore commutative and idempotent, and a record never
reverts to an older version.
"""

import hashlib
import hmac

import attrs

from ..errors import RecordError
from ..records import Policy, known_schemas, parse_record

_DEFAULT_POLICY = Policy(name="default")


@attrs.frozen(kw_only=True)
class Change:
    """One published version of one record.

    The platform and other hosts receive the fields under these names.

    Attributes
    ----------
    kind, name : str
        Kind and name of the record, such as ``"team"`` and ``"krog"``.
    schema : int
        Version of the body's schema.
    version : int
        The platform's version number of this change.
    body : dict or None
        Fields of the record; None if the record was removed.
    """

    kind: str
    name: str
    schema: int
    version: int
    body: dict | None = attrs.field(hash=False)


def change_from_json(data):
    """Parse a change from the platform's JSON format.

    Raises
    ------
    RecordError
        If a member is missing or has the wrong type.
    """
    if not isinstance(data, dict):
        raise RecordError("change", "", f"change {data!r} must be an object")
    record = f"{data.get('kind')}/{data.get('name')}"
    for field, expected_type in (
        ("kind", str),
        ("name", str),
        ("schema", int),
        ("version", int),
    ):
        if not isinstance(data.get(field), expected_type):
            raise RecordError(
                record, field, f"{data.get(field)!r} must be a {expected_type.__name__}"
            )
    body = data.get("body")
    if body is not None and not isinstance(body, dict):
        raise RecordError(record, "body", f"{body!r} must be an object or null")
    return Change(
        kind=data["kind"],
        name=data["name"],
        schema=data["schema"],
        version=data["version"],
        body=body,
    )


def change_to_json(change):
    """Return a change as a dictionary in the platform's JSON format."""
    return attrs.asdict(change)


@attrs.define
class RecordStore:
    """All records known to a host, and the versions of them in force.

    A host has two stores: one for the operators' records, one for the platform's
    host list.

    Attributes
    ----------
    version : int
        Newest platform version that was applied.
    """

    version: int = 0
    _changes: dict = attrs.field(factory=dict)
    _accepted: dict = attrs.field(factory=dict)
    _faults: dict = attrs.field(factory=dict)
    _in_force: dict = attrs.field(factory=dict)
    _keys_by_digest: dict = attrs.field(factory=dict)
    _routes: list = attrs.field(factory=list)

    def apply(self, changes, version):
        """Apply the changes that are newer than the stored ones.

        Parameters
        ----------
        changes : iterable of Change
            Changes in any order. Together with the changes applied before, they
            must be complete up to `version`.
        version : int
            The platform's version after these changes.

        Returns
        -------
        bool
            True if the store's version or any record changed.
        """
        changed = set()
        for change in changes:
            record_key = (change.kind, change.name, change.schema)
            stored = self._changes.get(record_key)
            if stored is not None and stored.version >= change.version:
                continue
            self._changes[record_key] = change
            self._validate(record_key, change)
            changed.add((change.kind, change.name))
        for kind, name in changed:
            self._select_in_force(kind, name)
        if changed:
            self._rebuild_indexes()
        has_newer_version = version > self.version
        self.version = max(self.version, version)
        return has_newer_version or bool(changed)

    def _validate(self, record_key, change):
        self._faults.pop(record_key, None)
        if change.body is None:
            self._accepted.pop(record_key, None)
            return
        if change.schema not in known_schemas(change.kind):
            # Still kept in `_changes`, so that hosts of a newer release can pull
            # it from this one. Older schema versions of the record stay in force.
            return
        try:
            parsed = parse_record(*record_key, change.body)
        except RecordError as exc:
            # The previous version stays in `_accepted`, so that an invalid change
            # affects nothing else.
            self._faults[record_key] = exc
            return
        self._accepted[record_key] = parsed

    def _select_in_force(self, kind, name):
        for schema in known_schemas(kind):
            if (kind, name, schema) in self._accepted:
                accepted = self._accepted[kind, name, schema]
                self._in_force.setdefault(kind, {})[name] = accepted
                return
        self._in_force.get(kind, {}).pop(name, None)

    def _rebuild_indexes(self):
        self._keys_by_digest = {k.digest: k for k in self.all("key")}
        routes = self.all("route")
        self._routes = sorted(routes, key=lambda r: (-len(r.prefix), r.name))

    def changes_since(self, version):
        """Return the stored changes above a version, oldest first.

        Parameters
        ----------
        version : int
            Newest version that the requesting host has applied.

        Returns
        -------
        list of Change
        """
        newer = [c for c in self._changes.values() if c.version > version]
        return sorted(newer, key=lambda c: c.version)

    def version_of(self, kind, name):
        """Return the platform's version of a record, or 0 if none is in force."""
        versions = [
            self._changes[kind, name, schema].version
            for schema in known_schemas(kind)
            if (kind, name, schema) in self._accepted
        ]
        return max(versions, default=0)

    def faults(self):
        """Return (platform version, RecordError) of each rejected change."""
        return [
            (self._changes[record_key].version, exc)
            for record_key, exc in self._faults.items()
        ]

    def get(self, kind, name):
        """Return the record in force, or None if there is none."""
        return self._in_force.get(kind, {}).get(name)

    def all(self, kind):
        """Return all records of a kind that are in force."""
        return list(self._in_force.get(kind, {}).values())

    def policy(self):
        """Return the published default policy, or the built-in one."""
        return self.get("policy", "default") or _DEFAULT_POLICY

    def route_for(self, path):
        """Return the route with the longest matching path prefix, or None."""
        for route in self._routes:
            prefix = route.prefix.rstrip("/")
            if path == prefix or path.startswith(prefix + "/"):
                return route
        return None

    def key_for(self, secret):
        """Return the active key that matches a caller's secret, or None.

        Parameters
        ----------
        secret : bytes
            API key as sent by the caller.

        Returns
        -------
        Key or None
        """
        digest = hashlib.sha256(secret).hexdigest()
        key = self._keys_by_digest.get(digest)
        if key is None or not hmac.compare_digest(key.digest, digest):
            return None
        return key if key.active else None

    def key_is_active(self, digest):
        """Return whether the key with this digest exists and is active."""
        key = self._keys_by_digest.get(digest)
        return key is not None and key.active

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
from ..fields import describe
from ..records import Policy, known_schemas, parse_record

# Versions travel between hosts as 64-bit numbers.
MAX_VERSION = 2**63 - 1
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
    for field in ("schema", "version"):
        if not 0 <= data[field] <= MAX_VERSION:
            raise RecordError(
                record, field, f"{describe(data[field])} must be 0 to {MAX_VERSION}"
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
    return {
        "kind": change.kind,
        "name": change.name,
        "schema": change.schema,
        "version": change.version,
        "body": change.body,
    }


def check_change(change):
    """Parse the record of a change, which takes longer than applying it.

    Parameters
    ----------
    change : Change
        The change.

    Returns
    -------
    record, RecordError or None
        None for the removal of a record and for an unknown schema, an error for an
        invalid record.
    """
    if change.body is None or change.schema not in known_schemas(change.kind):
        return None
    try:
        return parse_record(change.kind, change.name, change.schema, change.body)
    except RecordError as exc:
        return exc


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

    def apply(self, changes, version, checked=None):
        """Apply the changes that are newer than the stored ones, all at once.

        Parameters
        ----------
        changes : list of Change
            Changes in any order. Together with the changes applied before, they
            must be complete up to `version`.
        version : int
            The platform's version after these changes.
        checked : list or None
            What :func:`check_change` returned for each change; None to call it here.

        Returns
        -------
        bool
            True if the store's version or any record changed.
        """
        changed = set()
        if checked is None:
            checked = [check_change(change) for change in changes]
        for change, record in zip(changes, checked, strict=True):
            record_key = (change.kind, change.name, change.schema)
            stored = self._changes.get(record_key)
            if stored is not None and stored.version >= change.version:
                continue
            self._changes[record_key] = change
            self._accept(record_key, change, record)
            changed.add((change.kind, change.name))
        for kind, name in changed:
            self._select_in_force(kind, name)
        if any(kind == "route" for kind, _ in changed):
            self._sort_routes()
        has_newer_version = version > self.version
        self.version = max(self.version, version)
        return has_newer_version or bool(changed)

    def _accept(self, record_key, change, record):
        self._faults.pop(record_key, None)
        if change.body is None:
            self._accepted.pop(record_key, None)
        elif isinstance(record, RecordError):
            # The previous version stays in `_accepted`, so that an invalid change
            # affects nothing else.
            self._faults[record_key] = record
        elif record is not None:
            self._accepted[record_key] = record
        # A change of an unknown schema is still kept in `_changes`, so that hosts of a
        # newer release can pull it from this one. Older schema versions of the record
        # stay in force.

    def _select_in_force(self, kind, name):
        in_force = self._in_force.setdefault(kind, {})
        before = in_force.get(name)
        schemas = known_schemas(kind)
        accepted = next(
            (
                self._accepted[kind, name, schema]
                for schema in schemas
                if (kind, name, schema) in self._accepted
            ),
            None,
        )
        if accepted is None:
            in_force.pop(name, None)
        else:
            in_force[name] = accepted
        if kind == "key":
            self._index_key(before, accepted)

    def _index_key(self, before, key):
        if before is not None:
            keys = self._keys_by_digest[before.digest]
            del keys[before.name]
            if not keys:
                del self._keys_by_digest[before.digest]
        if key is not None:
            self._keys_by_digest.setdefault(key.digest, {})[key.name] = key

    def _key_with(self, digest):
        """Return a key with a digest, the last of several, or None."""
        keys = self._keys_by_digest.get(digest)
        return next(reversed(keys.values())) if keys else None

    def _sort_routes(self):
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
        key = self._key_with(digest)
        if key is None or not hmac.compare_digest(key.digest, digest):
            return None
        return key if key.active else None

    def key_is_active(self, digest):
        """Return whether the key with this digest exists and is active."""
        key = self._key_with(digest)
        return key is not None and key.active

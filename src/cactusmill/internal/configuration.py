"""The records in force on one host, and how newer ones replace them.

Changes carry the platform's version number, which only rises. A change is
applied if its version is above the one held for the same record, whichever
way it came: from the platform, from a stale replica of it or from a peer.
Applying is therefore commutative and idempotent, and nothing ever reverts.
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

    Attributes
    ----------
    kind, name : str
        What the record describes.
    schema : int
        Version of the body's schema.
    version : int
        The platform's version number of this change.
    body : dict or None
        Fields of the record; None once the record is removed.
    """

    kind: str
    name: str
    schema: int
    version: int
    body: dict | None = attrs.field(hash=False)


def change_from_json(data):
    """Read a change from the platform's JSON form.

    Raises
    ------
    RecordError
        If a member is missing or has the wrong type.
    """
    if not isinstance(data, dict):
        raise RecordError("change", "", f"change {data!r} must be an object")
    label = f"{data.get('kind')}/{data.get('name')}"
    for member, type_ in (
        ("kind", str),
        ("name", str),
        ("schema", int),
        ("version", int),
    ):
        if not isinstance(data.get(member), type_):
            raise RecordError(
                label, member, f"{data.get(member)!r} must be a {type_.__name__}"
            )
    body = data.get("body")
    if body is not None and not isinstance(body, dict):
        raise RecordError(label, "body", f"{body!r} must be an object or null")
    return Change(
        kind=data["kind"],
        name=data["name"],
        schema=data["schema"],
        version=data["version"],
        body=body,
    )


def change_to_json(change):
    """Write a change in the platform's JSON form."""
    return attrs.asdict(change)


@attrs.define
class RecordStore:
    """All records known to a host and those in force.

    One book holds the operators' records and another the platform's host list.

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
        """Take over changes that are newer than those held.

        Parameters
        ----------
        changes : iterable of Change
            Changes in any order, complete up to `version` if joined with
            what was applied before.
        version : int
            The platform's version that the changes lead to.

        Returns
        -------
        bool
            True if anything changed.
        """
        touched = set()
        for change in changes:
            slot = (change.kind, change.name, change.schema)
            held = self._changes.get(slot)
            if held is not None and held.version >= change.version:
                continue
            self._changes[slot] = change
            self._accept(slot, change)
            touched.add((change.kind, change.name))
        for kind, name in touched:
            self._select(kind, name)
        if touched:
            self._index()
        rose = version > self.version
        self.version = max(self.version, version)
        return rose or bool(touched)

    def _accept(self, slot, change):
        self._faults.pop(slot, None)
        if change.body is None:
            self._accepted.pop(slot, None)
            return
        if change.schema not in known_schemas(change.kind):
            # Kept in `_changes` all the same, so that newer hosts get it from
            # this one; older schema versions of the record stay in force.
            return
        try:
            parsed = parse_record(*slot, change.body)
        except RecordError as exc:
            # The predecessor stays in `_accepted`: a bad record harms itself
            # only.
            self._faults[slot] = exc
            return
        self._accepted[slot] = parsed

    def _select(self, kind, name):
        for schema in known_schemas(kind):
            if (kind, name, schema) in self._accepted:
                accepted = self._accepted[kind, name, schema]
                self._in_force.setdefault(kind, {})[name] = accepted
                return
        self._in_force.get(kind, {}).pop(name, None)

    def _index(self):
        self._keys_by_digest = {k.digest: k for k in self.all("key")}
        routes = self.all("route")
        self._routes = sorted(routes, key=lambda r: (-len(r.prefix), r.name))

    def changes_since(self, version):
        """Return the held changes above a version, oldest first.

        Parameters
        ----------
        version : int
            What the asking host has.

        Returns
        -------
        list of Change
        """
        newer = [c for c in self._changes.values() if c.version > version]
        return sorted(newer, key=lambda c: c.version)

    def version_of(self, kind, name):
        """Return the platform's version of a record, or 0."""
        versions = [
            self._changes[kind, name, schema].version
            for schema in known_schemas(kind)
            if (kind, name, schema) in self._accepted
        ]
        return max(versions, default=0)

    def faults(self):
        """Return the rejected records' errors, each with its platform version."""
        return [
            (self._changes[slot].version, exc) for slot, exc in self._faults.items()
        ]

    def get(self, kind, name):
        """Return the record in force, or None."""
        return self._in_force.get(kind, {}).get(name)

    def all(self, kind):
        """Return all records of a kind that are in force."""
        return list(self._in_force.get(kind, {}).values())

    def policy(self):
        """Return the policy in force."""
        return self.get("policy", "default") or _DEFAULT_POLICY

    def route_for(self, path):
        """Return the route with the longest prefix of a path, or None."""
        for route in self._routes:
            prefix = route.prefix.rstrip("/")
            if path == prefix or path.startswith(prefix + "/"):
                return route
        return None

    def key_for(self, secret):
        """Return the active key whose digest fits a caller's secret, or None.

        Parameters
        ----------
        secret : bytes
            What the caller sent.

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
        """Tell whether the key with this digest is still active."""
        key = self._keys_by_digest.get(digest)
        return key is not None and key.active

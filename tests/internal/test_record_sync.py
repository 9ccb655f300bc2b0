"""What a host of the own interface may conclude from another host's records."""

from cactusmill.internal.configuration import (
    RecordStore,
    change_from_json,
    change_to_json,
)
from standins.changes import ChangeService


def apply_from(store, changes, version):
    store.apply([change_from_json(change) for change in changes], version)


def test_host_that_started_after_a_removal_passes_it_on():
    service, early, late = ChangeService(), RecordStore(), RecordStore()
    service.put("key", "k", {"digest": "0" * 64, "team": "krog", "state": "active"})
    apply_from(early, service.changes_since(0), service.version)
    assert early.get("key", "k") is not None
    service.put("key", "k", None)
    apply_from(late, service.changes_since(0), service.version)
    exported = [change_to_json(c) for c in late.changes_since(early.version)]
    apply_from(early, exported, late.version)
    assert early.version == late.version == service.version
    assert early.get("key", "k") is None
    assert early.changes_since(0) == late.changes_since(0)

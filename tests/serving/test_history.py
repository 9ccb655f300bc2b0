"""For whom the changes that a host has seen are complete."""

from hypothesis import given
from hypothesis import strategies as st

from cactusmill.serving import history
from cactusmill.serving.history import ChangeHistory


def test_listing_lacks_the_removals_before_it():
    seen = ChangeHistory()
    seen.replace(10)
    assert [seen.complete_after(since) for since in (1, 9, 10, 11)] == [10, 10, 10, 11]


def test_second_listing_shows_what_was_removed_of_the_first():
    seen = ChangeHistory()
    seen.replace(10)
    seen.extend(10, 20)
    seen.replace(30)
    assert [seen.complete_after(since) for since in (10, 20, 21, 29)] == [
        10,
        20,
        30,
        30,
    ]


def test_changes_from_before_a_listing_close_its_gap():
    seen = ChangeHistory()
    seen.replace(10)
    seen.extend(10, 20)
    seen.replace(30)
    seen.extend(15, 35)
    assert seen.complete_after(25) == 25


def test_discarded_removals_are_missing():
    seen = ChangeHistory()
    seen.replace(10)
    seen.extend(10, 40)
    seen.discard(30)
    assert [seen.complete_after(since) for since in (10, 29, 30)] == [30, 30, 30]


def test_changes_after_an_unknown_revision_leave_a_gap():
    seen = ChangeHistory()
    seen.replace(10)
    seen.extend(20, 30)
    assert [seen.complete_after(since) for since in (10, 15, 20)] == [10, 20, 20]


# Whether each change is a removal; then how a host learned of them, by its end.
LOGS = st.lists(st.tuples(st.integers(0, 3), st.booleans()), min_size=1, max_size=30)
STEPS = st.lists(
    st.tuples(st.sampled_from(["watch", "list", "fetch"]), st.integers(0, 30)),
    min_size=1,
    max_size=40,
)


def state_at(log, revision):
    """Return the revision of each item that exists at a revision of a log."""
    items = {}
    for number, (name, is_removed) in enumerate(log[:revision], 1):
        items.pop(name, None)
        if not is_removed:
            items[name] = number
    return items


@given(log=LOGS, steps=STEPS, max_gaps=st.integers(1, 16))
def test_whoever_it_calls_complete_becomes_up_to_date(log, steps, max_gaps):
    """A receiver at any revision ends with the items of the log, or is refused."""
    previous, history._MAX_GAPS = history._MAX_GAPS, max_gaps
    try:
        check_exports(log, steps)
    finally:
        history._MAX_GAPS = previous


def check_exports(log, steps):
    seen, items, removed = ChangeHistory(), {}, {}
    for kind, number in steps:
        revision = min(len(log), max(1, number))
        current = state_at(log, revision)
        if kind == "list" or seen.synced_to == 0:
            if revision >= seen.synced_to:
                removed.update(dict.fromkeys(items.keys() - current.keys(), revision))
                items = current
            seen.replace(revision)
        elif revision >= seen.synced_to:
            since = seen.synced_to
            for at, (name, is_removed) in enumerate(log[since:revision], since + 1):
                if is_removed:
                    items.pop(name, None)
                    removed[name] = at
                else:
                    items[name] = at
                    removed.pop(name, None)
            seen.extend(since, revision)
        removed = {n: at for n, at in removed.items() if n not in items}
        for since in range(1, seen.synced_to + 1):
            if seen.complete_after(since) > since:
                continue
            receiver = state_at(log, since)
            for name, at in removed.items():
                if at > since:
                    receiver.pop(name, None)
            receiver.update({n: at for n, at in items.items() if at > since})
            assert receiver == state_at(log, seen.synced_to)

"""How near a process is to its limit of descriptors."""

from cactusmill.internal.descriptors import Descriptors


def test_descriptors_are_short_for_a_while_and_close_a_few_at_once():
    descriptors = Descriptors(limit=1000)
    assert descriptors.record_accepted(700, 0.0) == 0
    assert not descriptors.is_short(0.0)
    assert descriptors.record_accepted(800, 0.0) == 0
    assert descriptors.is_short(0.9) and not descriptors.is_short(1.1)
    assert 0 < descriptors.record_accepted(900, 2.0) <= 4
    assert descriptors.take_counts() == (900, 0)
    assert descriptors.take_counts() == (0, 0)

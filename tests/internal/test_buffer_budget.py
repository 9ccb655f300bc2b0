"""The bytes that a host holds are limited, and given back."""

import pytest

from cactusmill.errors import BufferLimitError
from cactusmill.internal.buffer_budget import BufferBudget


def test_held_bytes_are_limited_and_given_back():
    budget = BufferBudget(10)
    with budget.hold() as add:
        add(b"x" * 6)
        with budget.hold() as add_other:
            add_other(b"x" * 4)
            with pytest.raises(BufferLimitError, match="10 of 10"):
                add(b"x")
        add(b"x" * 4)
        assert budget.used_bytes == 10
    assert budget.used_bytes == 0

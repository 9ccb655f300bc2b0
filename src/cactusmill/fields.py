"""Typed access to the fields of a document that another process has written.

A field is checked once, where it enters the process: its type, its range, and that its
text can be encoded and printed. What passes can be computed with, sent and logged
without further checks.
"""

import reprlib

import attrs

from .errors import RecordError

# Floats represent each whole number up to this one exactly.
MAX_NUMBER = 1e15


def describe(value):
    """Return the representation of a value, shortened to what a log line can hold."""
    return reprlib.repr(value)


def is_plain_text(value):
    """Return whether a value is text without control characters or lone surrogates."""
    return isinstance(value, str) and value.isprintable()


@attrs.define
class FieldReader:
    """Reads the fields of one document; an error names the field and its value.

    Attributes
    ----------
    record : str
        Names the document in errors.
    body : dict
        The fields, decoded from JSON.
    is_null_missing : bool
        Whether a field that is null counts as missing.
    used : set of str
        Fields that were read.
    """

    record: str
    body: dict
    is_null_missing: bool = False
    used: set = attrs.field(factory=set)

    def _read(self, name, default):
        self.used.add(name)
        value = self.body.get(name, attrs.NOTHING)
        if value is None and self.is_null_missing:
            value = attrs.NOTHING
        if value is not attrs.NOTHING:
            return value
        if default is attrs.NOTHING:
            raise RecordError(self.record, name, "the field is missing; add it")
        return default

    def has(self, name):
        """Return whether a field is there."""
        return self._read(name, None) is not None

    def _error(self, name, value, requirement):
        return RecordError(self.record, name, f"{describe(value)} must {requirement}")

    def string(self, name, default=attrs.NOTHING, pattern=None, choices=None):
        """Return a field with a line of text."""
        value = self._read(name, default)
        if not is_plain_text(value):
            raise self._error(name, value, "be a text without control characters")
        if choices is not None and value not in choices:
            raise self._error(name, value, f"be one of {', '.join(choices)}")
        if pattern and value != default and not pattern.fullmatch(value):
            raise self._error(name, value, f"match {pattern.pattern}")
        return value

    def number(self, name, default=attrs.NOTHING, low=0.0, high=MAX_NUMBER):
        """Return a field with a finite number from `low` to `high`."""
        value = self._read(name, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        # Comparisons with NaN are false.
        if not is_number or not low <= value <= high:
            raise self._error(name, value, f"be a number, {low} to {high}")
        return value

    def integer(self, name, default=attrs.NOTHING, low=0, high=int(MAX_NUMBER)):
        """Return a field with a whole number from `low` to `high`, as an int."""
        value = self.number(name, default, low, high)
        if value != int(value):
            raise self._error(name, value, f"be a whole number, {low} to {high}")
        return int(value)

    def boolean(self, name, default=attrs.NOTHING):
        """Return a field with a truth value."""
        value = self._read(name, default)
        if not isinstance(value, bool):
            raise self._error(name, value, "be true or false")
        return value

    def names(self, name):
        """Return a field with a list of texts as a tuple; empty without the field."""
        value = self._read(name, ())
        is_list = isinstance(value, list | tuple)
        if not is_list or not all(is_plain_text(v) for v in value):
            raise self._error(name, value, "be a list of names")
        return tuple(value)

    def shares(self, name):
        """Return a field with fractions by name, whose sum is at most 1."""
        value = self._read(name, {})
        if not isinstance(value, dict):
            raise self._error(name, value, "map zones to shares")
        for zone, share in value.items():
            if not isinstance(share, int | float) or not 0 <= share <= 1:
                raise RecordError(
                    self.record, name, f"{zone}: {describe(share)} must be 0 to 1"
                )
        if sum(value.values()) > 1 + 1e-9:
            raise RecordError(
                self.record, name, f"sum {sum(value.values())} is over 1; lower it"
            )
        return dict(value)

    def object(self, name):
        """Return a reader of a field with an object; of none without the field."""
        return self._inner(name, self._read(name, {}))

    def objects(self, name, default=attrs.NOTHING):
        """Yield a reader of each object in a field with a list of them."""
        values = self._read(name, default)
        if not isinstance(values, list | tuple):
            raise self._error(name, values, "be a list")
        for number, value in enumerate(values):
            yield self._inner(f"{name}[{number}]", value)

    def _inner(self, place, value):
        if not isinstance(value, dict):
            raise self._error(place, value, "hold fields")
        return FieldReader(f"{self.record}.{place}", value, self.is_null_missing)

    def check_unknown(self):
        """Raise for a field that was never read.

        Raises
        ------
        RecordError
        """
        unknown = sorted(set(self.body) - self.used)
        if unknown:
            raise RecordError(
                self.record, unknown[0], "unknown field; remove it or raise the schema"
            )

"""The settings file of a daemon, which may change, be cut or be missing at any time.

Whoever writes it may do so in place and without a signal, so a reader may meet it empty
or cut. Its bytes are compared, since two writes can leave the same size and time.
"""

import zlib

import attrs
import trio

from ..errors import SettingsError
from ..settings import read_bytes
from .signals import SHUT_DOWN

_POLL_S = 1.0
# A host that cannot start yet serves nobody, so it looks more often.
_START_POLL_S = 0.1


@attrs.define(eq=False)
class SettingsFile:
    """Reads a settings file and remembers what it last held.

    Attributes
    ----------
    path : str
        The file.
    parse : callable
        ``parse(data, path)`` returns the settings in the bytes of the file, or raises
        `SettingsError`.
    log : callable
        ``log(event, **fields)`` logs an event.
    """

    path: str
    parse: object
    log: object
    _data: bytes | None = None
    _rejected: tuple | None = None
    _is_started: bool = False

    def load(self):
        """Return the settings in the file, or None if it is rejected."""
        return self._load(lambda data: True)

    def load_changed(self):
        """Return the settings as `load`, or None if the file is as it was read last."""
        return self._load(lambda data: data != self._data)

    def _load(self, is_wanted):
        data = None
        try:
            data = read_bytes(self.path)
            if not is_wanted(data):
                return None
            settings = self.parse(data, self.path)
        except SettingsError as exc:
            self._data = data
            self._log_rejected(exc)
            return None
        self._data, self._rejected, self._is_started = data, None, True
        # A checksum, as a digest of a file with a secret would help to guess it.
        self.log("settings_read", bytes=len(data), crc32=f"{zlib.crc32(data):08x}")
        return settings

    def _log_rejected(self, exc):
        # A file that stays as it is is rejected once.
        rejected = (self._data, exc.place, exc.problem)
        if rejected != self._rejected:
            self._rejected = rejected
            self.log(
                "settings_rejected",
                place=exc.place,
                reason=exc.problem,
                is_started=self._is_started,
            )

    async def wait_until_valid(self):
        """Return the settings once the file holds valid ones."""
        while True:
            settings = self.load_changed()
            if settings is not None:
                return settings
            await trio.sleep(_START_POLL_S)

    async def watch(self, apply):
        """Call ``apply(settings)`` after each change to valid ones; never return."""
        while True:
            await trio.sleep(_POLL_S)
            settings = self.load_changed()
            if settings is not None:
                apply(settings)


def find_changes(before, after, reloaded):
    """Return the names of the fields that differ and are not reloaded.

    Parameters
    ----------
    before, after : attrs instance
        Two settings of the same class.
    reloaded : frozenset of str
        Fields that a running process takes over.

    Returns
    -------
    list of str
        In the order of the class.
    """
    return [
        field.name
        for field in attrs.fields(type(before))
        if field.name not in reloaded
        and getattr(before, field.name) != getattr(after, field.name)
    ]


async def wait_for_settings(settings_file, signals):
    """Return the settings once they are valid, or None if told to shut down before.

    Parameters
    ----------
    settings_file : SettingsFile
        The file.
    signals : async iterator of int
        The operator's signals.

    Returns
    -------
    object or None
    """
    settings = settings_file.load()
    if settings is not None:
        return settings
    is_ended = False
    async with trio.open_nursery() as nursery:

        async def receive():
            nonlocal is_ended
            # The file is polled, so a signal to reload needs no further action.
            async for number in signals:
                if number in SHUT_DOWN:
                    is_ended = True
                    nursery.cancel_scope.cancel()

        nursery.start_soon(receive)
        settings = await settings_file.wait_until_valid()
        nursery.cancel_scope.cancel()
    return None if is_ended else settings

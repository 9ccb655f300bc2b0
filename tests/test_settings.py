"""Settings files of ``cactusmilld`` that hold odd values, or are no such file."""

import os

import pytest

from cactusmill.errors import SettingsError
from cactusmill.settings import decode_settings, load_settings, read_bytes

from .helpers import settings_data


@pytest.mark.parametrize(
    "text",
    [
        "[" * 5000,
        "since: 2020-99-99",
        "host: " + "1" * 5000,
        "\x00",
        "? [a]\n: b",
        "drain_s: .nan",
        "max_head_bytes: .inf",
        "drain_s: 1" + "0" * 400,
    ],
)
def test_odd_yaml_is_a_settings_error(text):
    """Guards against settings that end ``cactusmilld`` when they are read."""
    lines = {name: f"{name}: {value}" for name, value in settings_data().items()}
    assert decode_settings("\n".join(lines.values()).encode(), "host.yaml")
    lines[text.partition(":")[0]] = text
    with pytest.raises(SettingsError):
        decode_settings("\n".join(lines.values()).encode(), "host.yaml")


@pytest.mark.parametrize("kind", ["fifo", "folder", "large", "missing"])
def test_what_is_no_settings_file_is_rejected_without_waiting(tmp_path, kind):
    """Guards against a daemon that waits for a writer or runs out of memory."""
    path = tmp_path / "host.yaml"
    if kind == "fifo":
        os.mkfifo(path)
        assert read_bytes(path) == b""
    elif kind == "folder":
        path.mkdir()
    elif kind == "large":
        path.touch()
        os.truncate(path, 2**33)
    with pytest.raises(SettingsError):
        load_settings(path)

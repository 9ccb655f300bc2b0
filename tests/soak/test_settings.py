import errno
import pathlib

import pytest

from soak.settings import SoakSettingsError, load_settings, prepare_folder


def test_settings_come_from_the_file_and_are_overridden(tmp_path):
    path = tmp_path / "soak.yaml"
    path.write_text("hosts: 12\nzones: 4\ngrace_s: 4\nfaults: [host_kill]\n")
    cfg = load_settings(path, hosts=20)
    assert (cfg.hosts, cfg.zones, cfg.grace_s) == (20, 4, 4)
    assert cfg.faults == ("host_kill",)
    assert load_settings().hosts == 6


@pytest.mark.parametrize(
    ("text", "place", "message"),
    [
        ("faults: [host_melts]", "faults", "'host_melts' is no fault; known are"),
        ("hosts: 61", "hosts", "61 is out of range; use 2 to 60"),
        ("zones: 2", "zones", "use 3 to 10"),
        ("hosts: 3\nzones: 4", "zones", "raise `hosts`"),
        ("hosts: many", "hosts", "'many' is no int"),
        ("hosts: true", "hosts", "True is no int"),
        ("proxies: 1", "proxies", "1 is no bool"),
        ("path: other", "path", "none of platform, own"),
        ("source: /nowhere", "source", "name a checkout's `src`"),
        ("hots: 6", "hots", "is no setting; known are seed"),
        ("- 1", "soak.yaml", "write lines of `name: value`"),
        ("a: [", "soak.yaml", "is not YAML"),
    ],
)
def test_a_bad_setting_is_named_with_its_fix(tmp_path, text, place, message):
    path = tmp_path / "soak.yaml"
    path.write_text(text)
    with pytest.raises(SoakSettingsError) as caught:
        load_settings(path)
    assert caught.value.place.endswith(place)
    assert message in str(caught.value)


def test_a_source_is_the_folder_that_holds_the_package(tmp_path):
    (tmp_path / "src" / "cactusmill").mkdir(parents=True)
    assert load_settings(source=str(tmp_path / "src")).source
    with pytest.raises(SoakSettingsError, match="has no cactusmill"):
        load_settings(source=str(tmp_path))


def test_a_missing_file_is_an_error(tmp_path):
    with pytest.raises(SoakSettingsError, match="cannot be read"):
        load_settings(tmp_path / "none.yaml")


def test_a_folder_that_holds_files_is_an_error(tmp_path):
    prepare_folder(tmp_path / "new" / "run")
    assert list((tmp_path / "new" / "run").iterdir()) == []
    with pytest.raises(SoakSettingsError, match="is not empty"):
        prepare_folder(tmp_path)


@pytest.mark.parametrize(
    ("number", "fix"),
    [(errno.ENOSPC, "free some space"), (errno.EROFS, "name another")],
)
def test_a_disk_that_is_full_or_read_only_is_an_error(
    tmp_path, monkeypatch, number, fix
):
    def fail(_path, _data):
        raise OSError(number, "no")

    monkeypatch.setattr(pathlib.Path, "write_bytes", fail)
    with pytest.raises(SoakSettingsError, match=fix):
        prepare_folder(tmp_path / "run")


def test_each_fault_of_the_schedule_can_be_judged():
    schedule = pytest.importorskip("soak.schedule")
    assert set(load_settings().faults) == set(schedule.KINDS)

"""``cactusmill check``: validation of settings and records before their use."""

import pathlib

import yaml

from ...errors import RecordError, SettingsError
from ...records import parse_record
from ...settings import load_settings
from .fleet_client import EXIT_FAULT, print_error


def run(args):
    """Check files; return the exit code."""
    faults = 0
    for path in args.settings:
        try:
            load_settings(path)
        except SettingsError as exc:
            print_error(f"{path}: {exc}")
            faults += 1
    for path in args.records:
        for fault in record_faults(path):
            print_error(f"{path}: {fault}")
            faults += 1
    if faults:
        return EXIT_FAULT
    print(f"{len(args.settings) + len(args.records)} files without a fault")
    return 0


def record_faults(path):
    """Yield a message for each fault in a file of records, with its place."""
    try:
        records = yaml.safe_load(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as exc:
        yield f"cannot be read: {exc}"
        return
    if not isinstance(records, list):
        yield "must hold a list of records"
        return
    for index, record in enumerate(records):
        if not isinstance(record, dict) or not {"kind", "name", "body"} <= set(record):
            yield f"record {index}: must have 'kind', 'name' and 'body'"
            continue
        try:
            parse_record(
                record["kind"], record["name"], record.get("schema", 1), record["body"]
            )
        except RecordError as exc:
            yield f"record {index}: {exc}"

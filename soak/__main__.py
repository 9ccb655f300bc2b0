"""Command line: ``python -m soak --seed N --minutes M --hosts H``.

Exit codes: 0 without a finding, 1 with one, 2 for wrong usage or settings, 3 if a
process did not start.
"""

import argparse
import itertools
import pathlib
import sys

import attrs

from . import report
from .checks import check_all
from .findings import number_findings
from .history import read_history
from .reduce import reduce_schedule
from .settings import SoakSettings, SoakSettingsError, load_settings, prepare_folder

CLEAN, FOUND, USAGE, NOT_STARTED = 0, 1, 2, 3
HISTORY, SCHEDULE, FINDINGS = "history.jsonl", "schedule.json", "findings.jsonl"


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--settings", metavar="FILE", help="settings in YAML")
    parser.add_argument("--seed", type=int, help="seed of the schedule")
    parser.add_argument("--seeds", metavar="A-B", help="play these seeds in turn")
    parser.add_argument("--minutes", type=float, help="time of the faults")
    parser.add_argument("--hosts", type=int, help="number of hosts")
    parser.add_argument("--folder", help="folder for the history and logs")
    parser.add_argument("--plot", action="store_true", help="draw plots (matplotlib)")
    mode = parser.add_mutually_exclusive_group()
    mode.add_argument("--replay", metavar="FILE", help="play this schedule")
    mode.add_argument(
        "--judge",
        metavar="FOLDER",
        type=pathlib.Path,
        help="judge an earlier run again",
    )
    mode.add_argument(
        "--reduce", metavar="FOLDER", type=pathlib.Path, help="reduce an earlier run"
    )
    return parser


def main(argv=None):
    """Run the command and return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        return _run(args)
    except SoakSettingsError as exc:
        print(f"soak: {exc}", file=sys.stderr)
        return USAGE


def _run(args):
    plotter = report.load_plotter() if args.plot else None
    if args.judge:
        return judge(read_folder(args.judge), args.judge, plotter)
    if args.reduce:
        return _until_start_fails(lambda: reduce_folder(args.reduce))
    cfg = load_settings(args.settings, **_overrides(args))
    code = CLEAN
    for seed in _parse_seeds(args.seeds) if args.seeds else [cfg.seed]:
        one = attrs.evolve(cfg, seed=seed)
        folder = pathlib.Path(cfg.folder) / f"seed-{seed}"
        faults = _schedule(one, args.replay)
        code = max(
            code,
            _until_start_fails(
                lambda one=one, faults=faults, folder=folder: judge(
                    _play(one, faults, folder), folder, plotter
                )
            ),
        )
    return code


def _until_start_fails(work):
    from .fleet import WorldError

    try:
        return work()
    except WorldError as exc:
        print(f"soak: {exc}", file=sys.stderr)
        return NOT_STARTED


def _overrides(args):
    values = {"seed": args.seed, "hosts": args.hosts, "folder": args.folder}
    if args.minutes is not None:
        values["seconds"] = args.minutes * 60
    return {k: v for k, v in values.items() if v is not None}


def _parse_seeds(text):
    first, _, last = text.partition("-")
    if not (first.isdigit() and last.isdigit() and int(first) <= int(last)):
        raise SoakSettingsError("--seeds", f"{text!r} is no range; write it as 1-50")
    return range(int(first), int(last) + 1)


def _schedule(cfg, path):
    from . import schedule

    try:
        if path is None:
            return schedule.draw_schedule(cfg, cfg.seed)
        return schedule.decode_schedule(pathlib.Path(path).read_text("utf-8"))
    except OSError as exc:
        raise SoakSettingsError(str(path), f"cannot be read: {exc.strerror}") from exc
    except ValueError as exc:
        raise SoakSettingsError(str(path or "faults"), f"{exc}; replace it") from exc


def _play(cfg, faults, folder):
    from .run import play

    prepare_folder(folder)
    return play(cfg, faults, folder)


def read_folder(folder):
    """Return the history of an earlier run.

    Raises
    ------
    SoakSettingsError
        If the folder holds none that can be read.
    """
    path = folder / HISTORY
    try:
        return read_history(path.read_text("utf-8").splitlines())
    except OSError as exc:
        raise SoakSettingsError(
            str(path), f"cannot be read: {exc.strerror}; name the folder of a run"
        ) from exc
    except ValueError as exc:
        raise SoakSettingsError(str(path), f"holds no history: {exc}") from exc


def judge(history, folder, plotter=None):
    """Check a history, write and print its findings, and return the exit code."""
    findings = number_findings(check_all(history))
    lines = [report.encode_finding(finding) + "\n" for finding in findings]
    try:
        (folder / FINDINGS).write_text("".join(lines), encoding="utf-8")
    except OSError as exc:
        raise SoakSettingsError(
            str(folder), f"cannot be written: {exc.strerror}; copy the run elsewhere"
        ) from exc
    print(report.format_report(history, findings), end="")
    if plotter is not None:
        report.plot_history(plotter, history, findings, folder / "plot.png")
    return FOUND if findings else CLEAN


def reduce_folder(folder):
    """Reduce the schedule of an earlier run and return the exit code."""
    from . import schedule

    history = read_folder(folder)
    kinds = {type(finding) for finding in check_all(history)}
    if not kinds:
        print("no finding: nothing to reduce")
        return CLEAN
    known = attrs.fields_dict(SoakSettings)
    cfg = load_settings(**{k: v for k, v in history.settings.items() if k in known})
    numbers = itertools.count(1)

    def still_fails(faults):
        place = folder / f"reduce-{next(numbers)}"
        found = {type(f) for f in check_all(_play(cfg, faults, place))}
        return not kinds.isdisjoint(found)

    faults, plays = reduce_schedule(_schedule(cfg, folder / SCHEDULE), still_fails)
    path = folder / "reduced.json"
    path.write_text(schedule.encode_schedule(faults), encoding="utf-8")
    print(f"{len(faults)} faults are left after {plays} plays: {path}")
    return FOUND


if __name__ == "__main__":
    sys.exit(main())

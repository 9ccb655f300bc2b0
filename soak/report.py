"""Report of a run: a table, findings as JSON lines, and plots."""

import collections
import json

import attrs

from .checks.lost import count_excused
from .history import Ending
from .settings import SoakSettingsError

_MAX_SHOWN = 20


def format_report(history, findings):
    """Return a run's table as text.

    Parameters
    ----------
    history : History
    findings : list of Finding
        With ids.

    Returns
    -------
    str
    """
    faults = collections.Counter(s.kind for s in history.strikes)
    ends = collections.Counter(
        (att.kind.value, att.ending.value, att.status or "-", att.reason)
        for att in history.attempts
    )
    kinds = collections.Counter(type(f).__name__ for f in findings)
    lines = [f"seed {history.settings.get('seed', '?')}", "faults struck:"]
    lines += [f"  {count:6}  {kind}" for kind, count in sorted(faults.items())]
    lines.append(f"requests: {len(history.attempts)}, runs: {len(history.runs)}")
    for (kind, ending, status, why), count in sorted(ends.items(), key=str):
        lines.append(f"  {count:6}  {kind:10} {ending:14} {status} {why}")
    excused = count_excused(history)
    lines.append(f"without a proper end, but excused: {excused.total()}")
    lines += [f"  {count:6}  {excuse}" for excuse, count in sorted(excused.items())]
    lines.append(f"findings: {len(findings)}")
    lines += [f"  {count:6}  {kind}" for kind, count in sorted(kinds.items())]
    for finding in findings[:_MAX_SHOWN]:
        about = ", ".join((*finding.request_ids, *finding.hosts))
        lines.append(f"{finding.id} at {finding.at:.3f} s [{finding.rule}] {about}")
        lines.append(f"    {finding.what}; {finding.why}")
    if len(findings) > _MAX_SHOWN:
        lines.append(f"... {len(findings) - _MAX_SHOWN} more in findings.jsonl")
    return "\n".join(lines) + "\n"


def encode_finding(finding):
    """Return a finding as one line of JSON, without its end."""
    fields = attrs.asdict(finding)
    kind = type(finding).__name__
    return json.dumps({"id": fields.pop("id"), "type": kind, **fields})


def load_plotter():
    """Return matplotlib's figure class.

    Raises
    ------
    SoakSettingsError
        If matplotlib is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as exc:
        raise SoakSettingsError(
            "--plot", "needs matplotlib; install the extra with `pip install .[soak]`"
        ) from exc
    return Figure


def plot_history(figure_class, history, findings, path):
    """Write a plot of requests per second, faults and findings over time.

    Parameters
    ----------
    figure_class : type
        From :func:`load_plotter`.
    history : History
    findings : list of Finding
    path : str
        Image file to write.
    """
    began = min((att.began_at for att in history.attempts), default=0.0)
    figure = figure_class(figsize=(10, 6))
    top, bottom = figure.subplots(2, 1, sharex=True)
    for ending in Ending:
        times = [a.ended_at - began for a in history.attempts if a.ending is ending]
        if times:
            top.hist(times, bins=60, histtype="step", label=ending.value)
    for finding in findings:
        top.axvline(finding.at - began, color="red", linewidth=0.5)
    top.set_ylabel("ends of requests")
    top.legend()
    kinds = sorted({strike.kind for strike in history.strikes})
    for strike in history.strikes:
        start = strike.began_at - began
        length = (strike.ended_at or strike.began_at) - strike.began_at
        bottom.barh(kinds.index(strike.kind), max(length, 0.1), left=start)
    bottom.set_yticks(range(len(kinds)), kinds)
    bottom.set_xlabel("time in s; red: findings")
    figure.savefig(path)

"""``cactusmill story``: what became of a request, from the hosts' logs."""

import json
import pathlib
import sys

EXIT_FAULT = 1
# Hosts' clocks differ; a line counts as part of the story's surroundings within
# this time of the request.
_AROUND_S = 2.0
_ABOUT_ENDPOINTS = frozenset(
    {
        "endpoint_broke_off",
        "endpoint_listed",
        "endpoint_misdirected",
        "endpoint_removed",
        "endpoint_unreachable",
    }
)
_ABOUT_ALL = frozenset(
    {
        "configuration_in_force",
        "evacuation",
        "leaving",
        "platform_lost",
        "platform_regained",
        "start",
        "stop",
    }
)
_NOT_SHOWN = frozenset({"time", "ms", "level", "event", "request_id"})


def read_lines(texts):
    """Read log lines, leaving out what is none.

    Parameters
    ----------
    texts : iterable of (str, str)
        Where each line comes from, and the line.

    Returns
    -------
    list of dict
        With the member ``source``, in the order of their times.
    """
    lines = []
    for source, text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # Other programs write to the same files.
            continue
        if "event" in line:
            lines.append({**line, "source": text[:start].strip() or source})
    return sorted(lines, key=_time)


def _time(line):
    return line.get("time", ""), line.get("ms", 0)


def _seconds(line):
    clock = line.get("time", "0:0:0").rpartition("T")[2].split(":")
    return sum(float(n) * f for n, f in zip(clock, (3600, 60, 1), strict=True)) + (
        line.get("ms", 0) / 1000
    )


def story_of(lines, request_id):
    """Return the lines that tell what became of a request.

    Parameters
    ----------
    lines : list of dict
        Of all hosts.
    request_id : str
        Identifier of the request.

    Returns
    -------
    own, around : list of dict
        Lines of the request itself, and those near it in time that changed
        what its hosts believed of its endpoints or of the whole.
    """
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        return [], []
    took_s = max((line.get("took_s") or 0.0) for line in own)
    first_s, last_s = _seconds(own[0]) - took_s, _seconds(own[-1])
    sources = {line["source"] for line in own}
    endpoints = {line.get("endpoint") for line in own} - {None, ""}
    around = [
        line
        for line in lines
        if line.get("request_id") != request_id
        and first_s - _AROUND_S <= _seconds(line) <= last_s + _AROUND_S
        and line["source"] in sources
        and (
            line["event"] in _ABOUT_ALL
            or line["event"] in _ABOUT_ENDPOINTS
            and line.get("endpoint") in endpoints
        )
    ]
    return own, around


def _print(line):
    fields = {
        k: v
        for k, v in line.items()
        if k not in _NOT_SHOWN and k != "source" and v not in (None, "")
    }
    shown = " ".join(f"{k}={v}" for k, v in fields.items())
    print(
        f"{line.get('time')}.{line.get('ms', 0):03} {line['source']} "
        f"{line['event']}: {shown}"
    )


def _texts(files):
    if not files:
        yield from (("stdin", text) for text in sys.stdin)
    for name in files:
        with pathlib.Path(name).open(encoding="utf-8", errors="replace") as file:
            yield from ((name, text) for text in file)


def run(args):
    """Print a request's story; return the exit code."""
    own, around = story_of(read_lines(_texts(args.logs)), args.request)
    if not own:
        print(f"no line names the request {args.request!r}; were all hosts read?")
        return EXIT_FAULT
    for line in own:
        _print(line)
    if around:
        print("around it:")
        for line in around:
            _print(line)
    return 0

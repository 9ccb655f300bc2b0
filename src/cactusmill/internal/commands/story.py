"""``cactusmill story``: the log lines of one request, from the hosts' logs."""

import json
import pathlib
import sys

EXIT_FAULT = 1
# Lines within this time of the request count as its context. It also allows for
# differences between the hosts' clocks.
_CONTEXT_S = 2.0
_ENDPOINT_EVENTS = frozenset(
    {
        "endpoint_broke_off",
        "endpoint_listed",
        "endpoint_misdirected",
        "endpoint_removed",
        "endpoint_unreachable",
    }
)
_HOST_EVENTS = frozenset(
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
_HIDDEN_FIELDS = frozenset({"time", "ms", "level", "event", "request_id"})


def parse_lines(texts):
    """Parse log lines; ignore text that is not a log line.

    Parameters
    ----------
    texts : iterable of (str, str)
        Source of each line, such as a file name, and the line.

    Returns
    -------
    list of dict
        The lines' fields and ``source``, sorted by time.
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
    return sorted(lines, key=_sort_key)


def _sort_key(line):
    return line.get("time", ""), line.get("ms", 0)


def _time_of_day_s(line):
    parts = line.get("time", "0:0:0").rpartition("T")[2].split(":")
    return sum(
        float(n) * unit_s for n, unit_s in zip(parts, (3600, 60, 1), strict=True)
    ) + (line.get("ms", 0) / 1000)


def find_request_lines(lines, request_id):
    """Return the log lines of a request and the events around it.

    Parameters
    ----------
    lines : list of dict
        Parsed lines of all hosts, sorted by time.
    request_id : str
        Identifier of the request.

    Returns
    -------
    own, context : list of dict
        Lines of the request itself, and lines of the same hosts at about the same
        time that concern its endpoints or the whole host.
    """
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        return [], []
    took_s = max((line.get("took_s") or 0.0) for line in own)
    first_s, last_s = _time_of_day_s(own[0]) - took_s, _time_of_day_s(own[-1])
    sources = {line["source"] for line in own}
    endpoints = {line.get("endpoint") for line in own} - {None, ""}
    context = [
        line
        for line in lines
        if line.get("request_id") != request_id
        and first_s - _CONTEXT_S <= _time_of_day_s(line) <= last_s + _CONTEXT_S
        and line["source"] in sources
        and (
            line["event"] in _HOST_EVENTS
            or line["event"] in _ENDPOINT_EVENTS
            and line.get("endpoint") in endpoints
        )
    ]
    return own, context


def _print(line):
    fields = {
        k: v
        for k, v in line.items()
        if k not in _HIDDEN_FIELDS and k != "source" and v not in (None, "")
    }
    shown = " ".join(f"{k}={v}" for k, v in fields.items())
    print(
        f"{line.get('time')}.{line.get('ms', 0):03} {line['source']} "
        f"{line['event']}: {shown}"
    )


def _read_files(files):
    if not files:
        yield from (("stdin", text) for text in sys.stdin)
    for name in files:
        with pathlib.Path(name).open(encoding="utf-8", errors="replace") as file:
            yield from ((name, text) for text in file)


def run(args):
    """Print the log lines of a request; return the exit code."""
    own, context = find_request_lines(parse_lines(_read_files(args.logs)), args.request)
    if not own:
        print(f"no line names the request {args.request!r}; were all hosts read?")
        return EXIT_FAULT
    for line in own:
        _print(line)
    if context:
        print("around it:")
        for line in context:
            _print(line)
    return 0

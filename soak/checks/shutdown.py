"""Shutdown: a host ends within its grace time after SIGTERM, with exit code 0."""

from ..excuses import EXIT_SLACK_S, Excuses
from ..findings import BadExit


def check(history):
    """Return the hosts that did not end as they should."""
    excuses = Excuses(history)
    grace_s = history.settings.get("grace_s", 8.0)
    findings = []
    for strike in excuses.of_kind("host_term"):
        for host in strike.targets:
            exits = [
                e for e in history.exits if e.name == host and e.at >= strike.began_at
            ]
            if not exits or excuses.on_host(host, strike.began_at, exits[0].at):
                continue
            took_s = exits[0].at - strike.began_at
            if exits[0].code == 0 and took_s <= grace_s + EXIT_SLACK_S:
                continue
            findings.append(
                BadExit(
                    at=exits[0].at,
                    what=f"exit code {exits[0].code} {took_s:.3f} s after SIGTERM;"
                    f" the grace time is {grace_s} s",
                    why=f"no strike on {host} from then to its end",
                    hosts=(host,),
                )
            )
    return findings

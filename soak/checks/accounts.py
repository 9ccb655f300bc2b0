"""Accounts: a host's counts of requests add up, and with what callers saw."""

import collections
import re

from ..excuses import LATE_SLACK_S
from ..findings import UnbalancedAccount
from ..history import Ending

_LABEL = re.compile(r'(\w+)="([^"]*)"')


def check(history):
    """Return the accounts that do not add up."""
    findings, last = [], {}
    for sample in sorted(history.samples, key=lambda s: s.at):
        for source, counts in read_accounts(sample.metrics).items():
            ended = counts["answer"] + counts["refusal"] + counts["cut"]
            if counts["read"] != counts["running"] + ended or counts["ended_twice"]:
                listed = ", ".join(f"{k} {v:.0f}" for k, v in sorted(counts.items()))
                findings.append(
                    UnbalancedAccount(
                        at=sample.at, what=f"{source}: {listed}", hosts=(sample.host,)
                    )
                )
            if source == "callers":
                last.setdefault(sample.host, {})[sample.incarnation] = sample, counts
    for host, processes in sorted(last.items()):
        findings += _compare(history, host, processes)
    return findings


def read_accounts(metrics):
    """Return the counts of requests by state, for each source."""
    accounts = {}
    for name, value in metrics.items():
        if name.startswith("cactusmill_account{"):
            labels = dict(_LABEL.findall(name))
            counts = accounts.setdefault(labels["source"], collections.Counter())
            counts[labels["state"]] += value
    return accounts


def _compare(history, host, processes):
    """Compare a host that has had one process with what its callers saw."""
    if len(processes) > 1:
        return []
    ((sample, counts),) = processes.values()
    if any(e.name == host and e.at <= sample.at for e in history.exits):
        return []
    seen = [
        att.request_id
        for att in history.attempts
        if att.host == host
        and att.ending is Ending.COMPLETE
        and att.ended_at < sample.at - LATE_SLACK_S
    ]
    shed = sample.metrics.get('cactusmill_state{name="requests_shed"}', 0)
    told = counts["answer"] + counts["refusal"] + counts["cut"] + shed
    if len(seen) <= told:
        return []
    what = f"callers have {len(seen)} whole responses, the host counts {told:.0f}"
    return [UnbalancedAccount(at=sample.at, what=what, hosts=(host,))]

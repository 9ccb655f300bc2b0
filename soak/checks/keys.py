"""API keys: a withdrawn one is not served, and none reaches an endpoint."""

from ..excuses import CONFIG_APPLY_S, Excuses, in_force, list_configurations
from ..findings import LeakedKey, WithdrawnKey, find


def check(history):
    """Return the requests that ran with a key that no version in force holds."""
    excuses = Excuses(history)
    versions = list_configurations(history)
    findings = [
        LeakedKey(
            at=run.received_at,
            what=f"{run.endpoint} received {len(run.keys)} API keys",
            request_ids=(run.request_id,),
        )
        for run in history.runs
        if run.keys
    ]
    for att in history.attempts:
        ran = [r for r in excuses.runs[att.request_id] if r.ending != "refused"]
        if not ran or not att.key or att.sent_at is None:
            continue
        may_hold = in_force(versions, att.sent_at, ran[0].received_at)
        teams = [team for cfg in may_hold for team in cfg["tenants"]]
        if not may_hold or any(att.key in team["api_keys"] for team in teams):
            continue
        if excuses.in_touch(att.host, att.sent_at):
            what = f"{ran[0].endpoint} ran a request of {att.team} whose key was"
            what += f" withdrawn over {CONFIG_APPLY_S} s before it was sent"
            why = f"{att.host} was in touch"
            findings.append(find(WithdrawnKey, att, what, ran[0].received_at, why=why))
    return findings

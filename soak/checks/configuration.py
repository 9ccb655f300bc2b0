"""CONFIG: the newest configuration is in force in time, and is never left again."""

from ..excuses import Excuses, allows, in_force, list_configurations
from ..findings import OldConfiguration, find
from ..history import Ending

_DENIALS = (401, 403, 404)
_VERSION = 'cactusmill_state{name="configuration_version"}'


def check(history):
    """Return what was handled by an older configuration."""
    excuses = Excuses(history)
    versions = list_configurations(history)
    findings = [
        find(OldConfiguration, att, what, why=f"{att.host} was in touch")
        for att in history.attempts
        if (what := _find_fault(att, excuses.runs[att.request_id], versions))
        and excuses.in_touch(att.host, att.sent_at)
    ]
    return findings + _check_versions(history.samples)


def _find_fault(att, runs, versions):
    if att.sent_at is None or att.ending is not Ending.COMPLETE:
        return ""
    may_hold = in_force(versions, att.sent_at, att.ended_at)
    allowed = [allows(cfg, att.route, att.key) for cfg in may_hold]
    if att.status in _DENIALS and not att.is_signed and allowed and all(allowed):
        return f"{att.status} for route {att.route}, which all versions allow"
    routes = {route["name"] for cfg in may_hold for route in cfg["routes"]}
    ran = any(r.ending != "refused" for r in runs)
    if ran and may_hold and att.route not in routes:
        return f"route {att.route} ran, which no version in force has"
    return ""


def _check_versions(samples):
    newest, findings = {}, []
    for sample in sorted(samples, key=lambda s: s.at):
        version = sample.metrics.get(_VERSION, 0)
        process = sample.host, sample.incarnation
        if version < newest.get(process, 0):
            what = f"version {version:.0f} after {newest[process]:.0f}"
            hosts = (sample.host,)
            findings.append(OldConfiguration(at=sample.at, what=what, hosts=hosts))
        newest[process] = max(version, newest.get(process, 0))
    return findings

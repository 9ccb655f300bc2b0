"""HOME: requests of a route with permitted regions run in no other region."""

from ..excuses import Excuses, in_force, list_configurations
from ..findings import WrongRegion, find


def check(history):
    """Return the requests that ran outside of their route's regions."""
    runs = Excuses(history).runs
    versions = list_configurations(history)
    findings = []
    for att in history.attempts:
        for run in runs[att.request_id]:
            regions = [
                route["allowed_regions"]
                for cfg in in_force(versions, att.began_at, run.received_at)
                for route in cfg["routes"]
                if route["name"] == att.route and route.get("allowed_regions")
            ]
            if regions and not any(run.region in allowed for allowed in regions):
                what = f"{run.endpoint} in {run.region}; {regions[-1]} permitted"
                findings.append(find(WrongRegion, att, what, run.received_at))
    return findings

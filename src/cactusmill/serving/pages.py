"""HTTP pages of a host for operators and metric scrapers."""

from ..internal.operators import PLAIN_TEXT, Page
from . import events

METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"


def render_page(host, target):
    """Return the page of a request target.

    Parameters
    ----------
    host : GatewayHost
        This process.
    target : str
        Request target; a query is ignored.

    Returns
    -------
    Page
    """
    path = target.partition("?")[0]
    now = host.now()
    if path == METRICS_PATH:
        accounts = {"callers": host.account, "hosts": host.forwards_account}
        text = host.metrics.render(
            host.gauges(now), host.loop.long_turns, events.counts, accounts
        )
        return Page(200, text, PLAIN_TEXT)
    if path == HEALTH_PATH:
        return Page(200 if host.is_ready(now) else 503, b"{}")
    return Page(404, b"{}")

"""HTTP pages of a host for operators and metric scrapers."""

import urllib.parse

from ..internal.operators import PLAIN_TEXT, Page, render_containment
from . import events

METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"


def render_page(host, method, target):
    """Return the page of a request target.

    Parameters
    ----------
    host : GatewayHost
        This process.
    method : bytes
        HTTP method.
    target : str
        Request target.

    Returns
    -------
    Page
    """
    path, _, query = target.partition("?")
    now = host.now()
    args = dict(urllib.parse.parse_qsl(query))
    page = render_containment(host, method, path, args)
    if page is not None:
        return page
    if path == METRICS_PATH:
        accounts = {"callers": host.account, "hosts": host.forwards_account}
        text = host.metrics.render(
            host.gauges(now), host.loop.long_turns, events.counts, accounts
        )
        return Page(200, text, PLAIN_TEXT)
    if path == HEALTH_PATH:
        return Page(200 if host.is_ready(now) else 503, b"{}")
    return Page(404, b"{}")

"""Responses of the configuration and host list services."""

import json

import pytest
import trio

from cactusmill.errors import PlatformError
from cactusmill.internal.platform_client import parse_update

CHANGE = {"kind": "team", "name": "krog", "schema": 1, "version": 3, "body": None}


def parse(page_version, **changes):
    page = {"version": page_version, "changes": [{**CHANGE, **changes}]}
    return trio.run(parse_update, json.dumps(page).encode())


@pytest.mark.parametrize("version", [-1, 2**63, 10**400])
def test_version_that_no_heartbeat_can_tell_is_refused(version):
    """Guards against the end of a host that tells its peers its version."""
    with pytest.raises(PlatformError):
        parse(version)
    assert parse(3, version=version).changes == []
    assert len(parse(3).changes) == 1

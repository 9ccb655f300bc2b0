"""Documents of the store in which one field holds a value that nobody expects."""

import copy
import json

from standins.loopback import EndpointStub, configuration

# As JSON writers of other languages may write them, and some that are not JSON.
ODD_VALUES = {
    "infinity": "Infinity",
    "minus infinity": "-Infinity",
    "not a number": "NaN",
    "float beyond its range": "1e999",
    "400 digits": "9" * 400,
    "minus 400 digits": "-" + "9" * 400,
    "5000 digits": "9" * 5000,
    "64 bits": str(2**63),
    "70 bits": str(2**70),
    "negative": "-1",
    "large negative float": "-1e300",
    "large float": "1e300",
    "fraction": "1.5",
    "zero": "0",
    "text": '"x"',
    "empty text": '""',
    "lone surrogate": '"\\ud800"',
    "control characters": '"\\u0000\\r\\n"',
    "empty list": "[]",
    "list of texts": '["x"]',
    "list of lists": "[[1]]",
    "empty object": "{}",
    "object": '{"a": 1}',
    "true": "true",
    "null": "null",
    "nested deeply": "[" * 3000 + "]" * 3000,
}
ENTRY = EndpointStub("e1", "east-a", "desk", address="127.0.0.1:9").entry()
_PLACEHOLDER = "the odd value"


def full_configuration(version=1):
    """Return a configuration that has every field which the gateway reads."""
    document = configuration(version)
    document["routes"] = document["routes"][-2:]
    document["routes"][0].update(
        sticky=False,
        resumable=False,
        allowed_regions=["east", "west"],
        traffic_split=[{"service": "desk", "weight": 1}],
    )
    document["limits"]["header_timeout_ms"] = 3000
    document["services"][0].update(cold_start_s=3.0, cold_per_s=4.0)
    document["services"][0]["engine"]["stride"] = 2
    document["tenants"][0].update(allowed_regions=["east", "west"], priority=1)
    return document


def paths_of(document, at=()):
    """Return the path of each member of a document, outermost first."""
    members = document.items() if isinstance(document, dict) else enumerate(document)
    found = []
    for name, value in members:
        found.append((*at, name))
        if isinstance(value, dict | list):
            found += paths_of(value, (*at, name))
    return found


def replace_field(document, path, text):
    """Return a document as JSON in which a member is replaced by JSON text."""
    if not path:
        return text.encode()
    replaced = inner = copy.deepcopy(document)
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = _PLACEHOLDER
    return json.dumps(replaced).replace(json.dumps(_PLACEHOLDER), text).encode()

"""The platform's headers and keys are used only in the platform adapter."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2] / "src" / "cactusmill"
PLATFORM_TERMS = re.compile(
    r"Response-Signature|Not-Executed|Expect-Instance|Instance-Load|Deadline-Ms"
    r"|Prompt-Prefix|Token-Usage|Kv-|kv-watch|kv-range|op/config|op/evacuate"
    r"|CACTUSMILL_CONFIG|cold_left_ms|api_keys|tenant",
    re.IGNORECASE,
)


def test_platform_terms_are_only_in_the_adapter():
    found = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in ROOT.rglob("*.py")
        if "platform" not in path.relative_to(ROOT).parts[:1]
        for match in PLATFORM_TERMS.finditer(path.read_text(encoding="utf-8"))
    ]
    assert not found


def test_adapter_stays_small():
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in (ROOT / "platform").glob("*.py")
    )
    assert lines < 1200

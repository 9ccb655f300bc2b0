"""The platform's words stay in its folder."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2] / "src" / "cactusmill"
WORDS = re.compile(
    r"Response-Signature|Not-Executed|Expect-Instance|Instance-Load|Deadline-Ms"
    r"|Prompt-Prefix|Token-Usage|Kv-|kv-watch|kv-range|op/config|op/evacuate"
    r"|CACTUSMILL_CONFIG|cold_left_ms|api_keys|tenant",
    re.IGNORECASE,
)


def test_platform_words_stand_in_its_folder_only():
    found = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in ROOT.rglob("*.py")
        if "platform" not in path.relative_to(ROOT).parts[:1]
        for match in WORDS.finditer(path.read_text(encoding="utf-8"))
    ]
    assert not found


def test_folder_stays_small():
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in (ROOT / "platform").glob("*.py")
    )
    assert lines < 1200

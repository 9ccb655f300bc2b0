"""Pages for operators: what is held back, by what evidence, and its release."""

from .culprits import from_text, to_text

HELD_PATH = "/v1/held"
RELEASE_PATH = "/v1/release"


def describe_held(containment, now):
    """Return what is held back, longest first.

    Parameters
    ----------
    containment : CrashContainment
        The state of this host.
    now : float
        Current time, in seconds.

    Returns
    -------
    list of dict
        With ages and times in seconds; `next_trial_s` is None if only operators
        release it, and `evidence` has the crashes that this host knows.
    """
    convictions = sorted(containment.convictions.held.values(), key=lambda c: c.since)
    return [_describe(containment, conviction, now) for conviction in convictions]


def _describe(containment, conviction, now):
    crashes = containment.suspicion.crashes_with(conviction.thing)
    is_request = any(conviction.thing in crash.candidates for crash in crashes)
    due_in_s = conviction.trial_due_at - now
    companions = containment.convictions.companions_of(conviction)
    return {
        "digest": to_text(conviction.thing),
        "is_request": is_request,
        "held_s": round(now - conviction.since, 1),
        "crashes": conviction.crashes,
        "last_crash_s": round(now - conviction.crashed_at, 1),
        "failed_trials": conviction.trials,
        "next_trial_s": None if due_in_s == float("inf") else round(due_in_s, 1),
        "companions": sorted(to_text(c) for c in companions),
        "evidence": [
            {
                "crashed_s": round(now - crash.at, 1),
                "requests": [
                    to_text(candidate.request)
                    for candidate in crash.candidates.values()
                    if conviction.thing in (candidate.request, *candidate.parts)
                ],
            }
            for crash in crashes
        ],
    }


def release_by_operator(containment, args, now):
    """Release something on an operator's word.

    Parameters
    ----------
    containment : CrashContainment
        The state of this host.
    args : dict of str to str
        Query arguments: ``digest``, as logs and the page of held things write it.
    now : float
        Current time, in seconds.

    Returns
    -------
    dict
        ``released`` tells whether it was held back; ``fault`` what is wrong with the
        digest.
    """
    try:
        thing = from_text(args.get("digest", ""))
    except ValueError as exc:
        return {"released": False, "fault": f"digest: {exc}"}
    return {"released": containment.release(thing, now)}

"""Reducer: drops faults of a schedule while it still fails."""


def reduce_schedule(schedule, still_fails, max_plays=40):
    """Return a shorter schedule that still fails, by delta debugging.

    Parameters
    ----------
    schedule : sequence of Fault
        A schedule that fails.
    still_fails : callable
        ``still_fails(schedule)`` plays a schedule and returns whether it fails.
    max_plays : int
        Largest number of plays.

    Returns
    -------
    tuple of (tuple of Fault, int)
        The schedule, and the number of plays.
    """
    kept = tuple(schedule)
    parts, plays = 2, 0
    while kept and plays < max_plays:
        size = -(-len(kept) // parts)
        for start in range(0, len(kept), size):
            if plays == max_plays:
                return kept, plays
            fewer = kept[:start] + kept[start + size :]
            plays += 1
            if still_fails(fewer):
                kept, parts = fewer, max(parts - 1, 2)
                break
        else:
            if size == 1:
                break
            parts = min(2 * parts, len(kept))
    return kept, plays

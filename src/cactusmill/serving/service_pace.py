"""How fast the endpoints of a service are, measured by their responses.

Answers the load pattern of a deployment whose engines are not those for which the
start values were measured, and of engines that become slower as their batches fill:
predictions that are too short let more requests in than can be on time.

All times are seconds of the process's monotonic clock.
"""

import math

import attrs

# Weight of a new response in the sums.
_SMOOTHING = 0.05
# Times with which the sums begin, in seconds: the predictions are taken for right
# until some responses have been measured.
_PRIOR_S = 0.1
# The ratio stays for this long after the last response, and then decays to 1 with this
# time constant: if every request is refused because of it, nothing else corrects it.
_HOLD_S = 2.0
_DECAY_S = 3.0
# Bounds of the ratio, and of what one response may say of it.
_MIN_RATIO, _MAX_RATIO = 0.25, 4.0


@attrs.define(eq=False)
class ServicePace:
    """Ratio of measured to predicted times to the start of a response.

    The ratio of the sums, not the mean of the ratios: it follows the responses whose
    prompts or queues are long.
    """

    _measured_s: float = _PRIOR_S
    _predicted_s: float = _PRIOR_S
    _measured_at: float = float("-inf")

    def ratio(self, now):
        """Return the factor that corrects predictions as of `now`; 1 is neutral."""
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, self._measured_s / self._predicted_s))
        idle_s = max(0.0, now - self._measured_at - _HOLD_S)
        return 1.0 + (ratio - 1.0) * math.exp(-idle_s / _DECAY_S)

    def record(self, predicted_s, took_s, now):
        """Update the ratio with one response.

        Parameters
        ----------
        predicted_s : float
            Prediction without any correction, in seconds.
        took_s : float
            Measured time, in seconds.
        now : float
            Current time, in seconds.
        """
        took_s = min(_MAX_RATIO * predicted_s, max(_MIN_RATIO * predicted_s, took_s))
        before_s = self.ratio(now) * self._predicted_s
        self._measured_s = before_s + _SMOOTHING * (took_s - before_s)
        self._predicted_s += _SMOOTHING * (predicted_s - self._predicted_s)
        self._measured_at = now

"""Time by the clocks of the machine, so that tests can bring their own."""

import time


class Clock:
    """The steady clock for all spans of time, and the time of day."""

    def now(self) -> float:
        """Seconds on the steady clock; never goes back, whatever the time of day does.

        >>> Clock().now() <= Clock().now()
        True
        """
        return time.monotonic()

    def wall_time(self) -> float:
        """Seconds since the start of 1970, as this machine has it; may jump at any moment.

        >>> Clock().wall_time() > 1.7e9
        True
        """
        return time.time()

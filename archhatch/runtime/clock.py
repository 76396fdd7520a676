"""The clocks of the machine, behind an object that tests and the simulator replace."""

import time


class Clock:
    """Reads the monotonic clock, which measures durations, and the time of day."""

    def now(self) -> float:
        """Returns the monotonic clock in seconds; it never goes back, whatever happens to the time of day.

        >>> Clock().now() <= Clock().now()
        True
        """
        return time.monotonic()

    def wall_time(self) -> float:
        """Returns the time of day in seconds since 1970-01-01T00:00Z, as this machine has it; it may jump.

        >>> Clock().wall_time() > 1.7e9
        True
        """
        return time.time()

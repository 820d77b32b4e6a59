"""Load of a backend server, its cold phase and its lagged report."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs
import trio

from teaseldyke.types import TeaseldykeError


class ColdOverrun(TeaseldykeError):
    """A cold backend server got more requests at once than it bears."""

    code = "cold_overrun"
    status = 500


@attrs.frozen
class LoadReport:
    """What ``GET /load`` answers.

    Parameters
    ----------
    started_at : float
        Wall-clock time of the last start, in seconds since 1970.
    running, waiting : int
        Requests being worked on and requests held back.
    completed : int
        Requests completed since the last start.
    """

    started_at: float
    running: int
    waiting: int
    completed: int


@attrs.define
class ServerLoad:
    """Counts requests at a backend server and fails when a cold one is overrun.

    Parameters
    ----------
    started_at : float
        Wall-clock time of the start, in seconds since 1970.
    cold_limit : int
        Requests at once that a cold server bears.
    warm_after_requests : int
        Requests completed until the server is warm.
    lag_s : float
        Age of the report.
    on_overrun : Callable
        Called when a cold server is overrun; may end the process.
    """

    started_at: float
    cold_limit: int
    warm_after_requests: int
    lag_s: float
    on_overrun: Callable[[], None]
    running: int = 0
    waiting: int = 0
    completed: int = 0
    cold_overrun: int = 0
    running_max: int = 0
    failed: bool = False
    _warm_at_completed: int = attrs.field(init=False)
    _reports: deque[tuple[float, LoadReport]] = attrs.field(factory=deque, init=False)

    def __attrs_post_init__(self) -> None:
        self._warm_at_completed = self.warm_after_requests

    @property
    def cold(self) -> bool:
        """Whether the server bears only ``cold_limit`` requests at once."""
        return self.completed < self._warm_at_completed

    def turn_cold(self, *, started_at: float | None = None) -> None:
        """Return to the cold phase; without ``started_at`` no report shows it."""
        if started_at is not None:
            self.started_at = started_at
            self.completed = 0
        self.failed = False
        self._warm_at_completed = self.completed + self.warm_after_requests
        self._note()

    def start(self) -> None:
        """Count a request that begins to run.

        Raises
        ------
        ColdOverrun
            If the server is cold and now has more than it bears, or failed so before.
        """
        self._refuse_when_failed()
        self.running += 1
        self.running_max = max(self.running_max, self.running)
        self._note()
        if not self.cold or self.running <= self.cold_limit:
            return
        self.running -= 1
        self.cold_overrun += 1
        self.failed = True
        self.on_overrun()
        self._refuse_when_failed()

    def finish(self, *, completed: bool) -> None:
        """Count a request that ended, completed or not."""
        self.running -= 1
        if completed:
            self.completed += 1
        self._note()

    def wait(self, change: int) -> None:
        """Count requests that begin (1) or cease (-1) to be held back."""
        self.waiting += change
        self._note()

    def report(self) -> LoadReport:
        """Return the report as it was ``lag_s`` ago."""
        self._forget_old()
        if not self._reports:
            return LoadReport(self.started_at, 0, 0, 0)
        return self._reports[0][1]

    def _refuse_when_failed(self) -> None:
        if self.failed:
            raise ColdOverrun(
                f"more than {self.cold_limit} requests at once while cold"
            )

    def _note(self) -> None:
        report = LoadReport(self.started_at, self.running, self.waiting, self.completed)
        self._reports.append((trio.current_time(), report))
        self._forget_old()

    def _forget_old(self) -> None:
        shown_at_s = trio.current_time() - self.lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= shown_at_s:
            self._reports.popleft()

"""Load of a backend server, its cold phase and its delayed load report."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs
import trio

from teaseldyke.types import TeaseldykeError


class ColdOverrun(TeaseldykeError):
    """A cold backend server received more concurrent requests than its limit."""

    code = "cold_overrun"
    status = 500


@attrs.frozen
class LoadReport:
    """Body of the response to ``GET /load``.

    Parameters
    ----------
    started_at : float
        Wall-clock time of the last start, in seconds since 1970.
    running, waiting : int
        Requests being executed, and requests queued.
    completed : int
        Requests completed since the last start.
    """

    started_at: float
    running: int
    waiting: int
    completed: int


@attrs.define
class ServerLoad:
    """Counts requests at a backend server, which fails if overrun while cold.

    Parameters
    ----------
    started_at : float
        Wall-clock time of the start, in seconds since 1970.
    cold_limit : int
        Concurrent requests above which a cold server fails.
    warm_after_requests : int
        Completed requests until the server is warm.
    lag_s : float
        Delay until the report shows a change.
    on_overrun : Callable
        Called when the cold server is overrun; may end the process.
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
        """Whether the server fails above ``cold_limit`` concurrent requests."""
        return self.completed < self._warm_at_completed

    def enter_cold_phase(self, *, started_at: float | None = None) -> None:
        """Return to the cold phase; no report shows it without ``started_at``."""
        if started_at is not None:
            self.started_at = started_at
            self.completed = 0
        self.failed = False
        self._warm_at_completed = self.completed + self.warm_after_requests
        self._record_report()

    def start(self) -> None:
        """Count a request that starts to run.

        Raises
        ------
        ColdOverrun
            If the request exceeds the limit of the cold server, or one did before.
        """
        self._raise_if_failed()
        self.running += 1
        self.running_max = max(self.running_max, self.running)
        self._record_report()
        if not self.cold or self.running <= self.cold_limit:
            return
        self.running -= 1
        self.cold_overrun += 1
        self.failed = True
        self.on_overrun()
        self._raise_if_failed()

    def finish(self, *, completed: bool) -> None:
        """Count a request that stopped running, completed or not."""
        self.running -= 1
        if completed:
            self.completed += 1
        self._record_report()

    def count_waiting(self, change: int) -> None:
        """Count a request that enters (1) or leaves (-1) the queue."""
        self.waiting += change
        self._record_report()

    def report(self) -> LoadReport:
        """Return the load as it was ``lag_s`` ago."""
        self._drop_expired_reports()
        if not self._reports:
            return LoadReport(self.started_at, 0, 0, 0)
        return self._reports[0][1]

    def _raise_if_failed(self) -> None:
        if self.failed:
            raise ColdOverrun(
                f"more than {self.cold_limit} requests at once while cold"
            )

    def _record_report(self) -> None:
        report = LoadReport(self.started_at, self.running, self.waiting, self.completed)
        self._reports.append((trio.current_time(), report))
        self._drop_expired_reports()

    def _drop_expired_reports(self) -> None:
        reported_at_s = trio.current_time() - self.lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= reported_at_s:
            self._reports.popleft()

"""When a request at a silent server is sent to a second server beside it.

Load patterns: servers that say nothing any more (`srv_crash` dark, `srv_grey` mute),
and sound ones that pause for a second or so, with all their streams, and go on; both
under streams of callers that wait a few seconds only.
Replayed in ``tests/test_silence.py``.
"""

from __future__ import annotations

import math

import attrs

FIRST_EVENT_FACTOR = 3.0  # relative to the expected time to the first event
FIRST_EVENT_MIN_S = 1.5  # queues and long prompts delay a healthy engine that long
EVENT_GAP_MIN_S = 1.0  # a healthy engine pauses that long during its longest prefills
EVENT_GAP_FACTOR = 2.0  # relative to the target for the longest gap between events
PLAIN_FACTOR = 6.0  # relative to the measured latency of a plain server
PLAIN_MIN_S = 0.25  # 99th percentile of a plain server's processing time
# Part of a request's silence in which nothing else was heard of its server either; its
# streams have had their last events at different moments.
SHARED_FRACTION = 0.5
SHARED_SPREAD_S = 0.6  # callers leave a stream after two seconds of silence
PAUSE_MIN_S = 0.5  # of a server; events of several streams are closer together
PROBES = 2.0  # requests of a silent server that are not put off
# Of the time left when a wait begins; the rest is for the second server's answer.
WAIT_SHARE = 0.6


@attrs.frozen
class Patience:
    """Silences after which a request is sent to a second server.

    Parameters
    ----------
    first_s : float
        From the send to the first event, or to the header of a plain answer.
    next_s : float
        After it, between two events.
    first_spread_s, next_spread_s : float
        Time over which requests that share a silence are spread.
    first_least_s : float
        Part of ``first_s`` that a server may need however little time is left.
    """

    first_s: float = math.inf
    next_s: float = math.inf
    first_spread_s: float = 0.0
    next_spread_s: float = 0.0
    first_least_s: float = math.inf

    def first_wait(self, left_s: float) -> tuple[float, float]:
        """Return patience and spread of a wait for the first event.

        Parameters
        ----------
        left_s : float
            Time left to the request when the wait begins.

        Examples
        --------
        >>> engine_patience(0.1, 0.1).first_wait(left_s=2.0)
        (1.2, 0.0)
        """
        return _shorten(self.first_s, self.first_least_s, self.first_spread_s, left_s)

    def next_wait(self, left_s: float) -> tuple[float, float]:
        """Return patience and spread of a wait between two events.

        Ordinary gaps are as long in a request that has little time left, so only the
        spread is shortened.
        """
        return _shorten(self.next_s, self.next_s, self.next_spread_s, left_s)


def _shorten(
    patience_s: float, least_s: float, spread_s: float, left_s: float
) -> tuple[float, float]:
    """Return patience and spread that together end at a share of the time left."""
    until_s = WAIT_SHARE * left_s
    shortened_s = min(patience_s, max(least_s, until_s))
    return shortened_s, max(0.0, min(spread_s, until_s - shortened_s))


def engine_patience(expected_first_s: float, event_gap_s: float) -> Patience:
    """Return the patience with an engine.

    Examples
    --------
    >>> engine_patience(0.8, 0.1).first_s
    2.4000000000000004
    """
    expected_s = FIRST_EVENT_FACTOR * expected_first_s
    return Patience(
        max(FIRST_EVENT_MIN_S, expected_s),
        _event_gap_patience_s(event_gap_s),
        SHARED_SPREAD_S,
        SHARED_SPREAD_S,
        max(EVENT_GAP_MIN_S, expected_s),
    )


def plain_patience(latency_s: float, event_gap_s: float | None = None) -> Patience:
    """Return the patience with a plain server of a measured latency.

    Parameters
    ----------
    event_gap_s : float or None
        Target for the longest gap between events of a stream; ``None`` for a plain
        answer, which is not sent elsewhere once its header has come.
    """
    first_s = max(PLAIN_MIN_S, PLAIN_FACTOR * latency_s)
    if event_gap_s is None:
        return Patience(first_s)
    return Patience(
        first_s,
        _event_gap_patience_s(event_gap_s),
        next_spread_s=SHARED_SPREAD_S,
    )


def _event_gap_patience_s(event_gap_s: float) -> float:
    return max(EVENT_GAP_MIN_S, EVENT_GAP_FACTOR * event_gap_s)


@attrs.define
class ServerActivity:
    """When a server last sent anything to any request of this instance.

    Attributes
    ----------
    received_at_s : float
        When bytes of it last arrived.
    active_since_s : float
        End of the last pause before that.
    """

    received_at_s: float = 0.0
    active_since_s: float = 0.0

    def record(self, now_s: float) -> None:
        """Record that a request has got bytes of the server."""
        if now_s - self.received_at_s > PAUSE_MIN_S:
            self.active_since_s = now_s
        self.received_at_s = now_s

    def is_active_again(self, now_s: float, for_s: float) -> bool:
        """Return whether the server has sent for a time, without a pause.

        One that has just ended its pause continues its answers one after another.
        """
        is_sending = now_s - self.received_at_s < for_s
        return is_sending and now_s - self.active_since_s >= for_s


@attrs.define
class Silence:
    """A request's wait for its server.

    Parameters
    ----------
    since_s : float
        When the request was sent, or its last event arrived.
    patience_s : float
        Silence after which it may be sent to a second server.
    spread_s : float
        Time over which requests that share the silence are spread.
    draw : float
        From 0 to 1, the same for the request's whole life.
    running : int
        Most requests of this instance at the server during the wait; they leave a
        silent one as soon as others have answered them.
    """

    since_s: float
    patience_s: float
    spread_s: float
    draw: float
    running: int

    def casts_doubt_on_connections(self, now_s: float, deadline_at_s: float) -> bool:
        """Return whether idle connections that it is older than may be silent, too.

        It does beyond patience, and if it is longer than ordinary gaps at the request's
        deadline.

        Load pattern: open connections go silent for good while new ones work, under
        requests that may run once. One that the server has answered on since is
        proven; a pause of a sound server costs at most its unused ones.

        Examples
        --------
        >>> silence = Silence(0.0, 0.25, 0.0, draw=0.5, running=1)
        >>> silence.casts_doubt_on_connections(0.2, deadline_at_s=2.5)
        False
        >>> silence.casts_doubt_on_connections(0.3, deadline_at_s=2.5)
        True
        >>> silence.casts_doubt_on_connections(0.2, deadline_at_s=0.2)
        False
        """
        least_s = self.patience_s
        if now_s >= deadline_at_s:
            least_s = min(EVENT_GAP_MIN_S, self.patience_s)
        return now_s - self.since_s >= least_s

    def is_due(self, now_s: float, activity: ServerActivity) -> bool:
        """Return whether a second server may get the request now.

        A server that sends nothing to any request is more likely to pause than one that
        continues others. A few of its requests go to a second server at once; the
        others are put off, since it may continue.

        Parameters
        ----------
        activity : ServerActivity
            What the server sends to all requests of this instance.

        Examples
        --------
        >>> silence = Silence(0.0, 1.0, 0.6, draw=0.5, running=16)
        >>> silence.is_due(1.1, ServerActivity(received_at_s=1.0))
        True
        >>> silence.is_due(1.1, ServerActivity(received_at_s=0.1))
        False
        >>> silence.is_due(1.5, ServerActivity(received_at_s=0.1))
        True
        """
        over_s = now_s - self.since_s - self.patience_s
        if over_s < 0.0:
            return False
        is_active_again = activity.is_active_again(
            now_s, SHARED_FRACTION * self.patience_s
        )
        if is_active_again or self.draw * self.running < PROBES:
            return True
        # Few soon and most late, since short pauses are the most frequent ones.
        return over_s >= math.sqrt(self.draw) * self.spread_s

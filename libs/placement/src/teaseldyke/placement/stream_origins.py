"""Which version may go on with a stream, and which versions may begin one.

Load patterns: releases with servers of several versions side by side, one after the
other, turned back, and beside kills of all instances. Nothing but the store outlasts
such a kill, and what began within the last fraction of a second isn't there yet.
Replayed in ``tests/test_stream_origins.py``.

The store lists every version that may have begun a stream, since a version gets no
requests before it is listed. While it lists one only, any stream began at that one, and
neither calls nor bytes are needed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Set

import attrs

from .begun_streams import BegunStreams, FactSource, ServiceVersion

STREAM_LIFE_MIN_S = 60.0  # longer than callers of most routes wait
STREAM_LIFE_MAX_S = 600.0  # callers may state any time
LIFE_MARGIN = 1.5  # clocks of callers, and attempts that follow each other
# A listed version begins no stream until all instances in touch with the store know of
# its servers. One that knows less takes no version for the sole one.
SETTLE_S = 0.8
# Listed versions are removed later than any instance forgets them.
REMOVAL_MARGIN_S = 60.0
# While the store doesn't list a version, it serves after so long if no other does.
UNLISTED_MAX_S = 3.0
SHARED_MIN_S = 5.0  # for which streams are shared once that was necessary
STARTUP_S = 1.0  # until an instance that has started normally knows what it needs


@attrs.frozen
class StreamOrigin:
    """Version that a stream must go on at.

    Parameters
    ----------
    begun_at : ServiceVersion or None
        ``None`` if it is unknown.
    source : FactSource
        How it is known.
    """

    begun_at: ServiceVersion | None
    source: FactSource


UNKNOWN_ORIGIN = StreamOrigin(None, FactSource.UNKNOWN)


@attrs.define(eq=False)
class _Version:
    """What is known of a version of a service.

    Parameters
    ----------
    is_present : bool
        Whether a server of it is known.
    changed_at_s : float
        Since when that holds.
    is_listed : bool
        Whether the store lists it.
    serves_from_s : float
        When it may begin streams.
    """

    is_present: bool
    changed_at_s: float
    is_listed: bool = False
    serves_from_s: float = math.inf


class StreamVersions:
    """Decides at which version streams go on and which versions may begin streams.

    Parameters
    ----------
    now_s : float
        Current time; all times are of one clock.

    Attributes
    ----------
    streams : BegunStreams
        What is known of single streams.
    servers_as_of_s : float
        All changes of the servers up to this moment are known.
    is_read : bool
        Whether the versions that the store lists are known.
    """

    def __init__(self, now_s: float) -> None:
        self.life_s = STREAM_LIFE_MIN_S
        self.streams = BegunStreams(now_s, self.life_s)
        self.servers_as_of_s = -math.inf
        self.is_read = False
        self._doubted_until_s = -math.inf
        self._shared_until_s = -math.inf
        self._started_at_s = now_s
        self._services: dict[str, dict[str, _Version]] = {}

    def record_timeout(self, timeout_s: float) -> None:
        """Record how long a caller may go on with a stream."""
        life_s = min(STREAM_LIFE_MAX_S, LIFE_MARGIN * timeout_s)
        self.life_s = self.streams.life_s = max(self.life_s, life_s)

    def observe(
        self,
        present: Mapping[str, Set[str]],
        now_s: float,
        groups: Iterable[Set[str]] = (),
    ) -> None:
        """Record the versions of the known servers, by service.

        Services without an entry have no streams to resume.

        Parameters
        ----------
        groups : iterable of set of str
            Services between which streams of a route may go on.
        """
        for service in self._services.keys() - present.keys():
            self._observe(self._services[service], frozenset(), now_s)
        for service, versions in present.items():
            known = self._services.setdefault(service, {})
            self._observe(known, versions, now_s)
        is_ready = self.is_read and self.is_current(now_s)
        if not is_ready and now_s - self._started_at_s < STARTUP_S:
            return
        together = [*({service} for service in present), *groups]
        if any(self._may_be_mixed(services, now_s) for services in together):
            self._shared_until_s = now_s + SHARED_MIN_S

    def _observe(
        self, known: dict[str, _Version], present: Set[str], now_s: float
    ) -> None:
        is_fresh = self._is_fresh(known, present)
        for version in present:
            state = known.get(version)
            if state is None:
                state = known[version] = _Version(True, now_s)
                if is_fresh:
                    state.serves_from_s = now_s
                elif not self.is_read:
                    state.serves_from_s = now_s + SETTLE_S
            if not state.is_present:
                state.is_present, state.changed_at_s = True, now_s
        for version, state in list(known.items()):
            if version in present:
                continue
            if state.is_present:
                state.is_present, state.changed_at_s = False, now_s
            if now_s - state.changed_at_s < self.life_s:
                continue
            # It must be listed anew before it serves again.
            state.serves_from_s = math.inf
            if not state.is_listed:
                del known[version]

    def _is_fresh(self, known: Mapping[str, _Version], present: Set[str]) -> bool:
        """Return whether a service has had one version only, and no stream yet."""
        if not self.is_read or len(known.keys() | present) != 1:
            return False
        return not any(state.is_listed for state in known.values())

    def record_listing(
        self,
        ages_s: Mapping[ServiceVersion, float],
        now_s: float,
        *,
        is_old: bool = False,
    ) -> None:
        """Record the versions that the store lists.

        Parameters
        ----------
        ages_s : mapping
            Time since each was listed.
        is_old : bool
            Whether the store was restored from a copy that may lack versions.
        """
        is_first, self.is_read = not self.is_read, True
        for entry in ages_s:
            known = self._services.setdefault(entry.service, {})
            known.setdefault(entry.version, _Version(False, now_s))
        for service, known in self._services.items():
            for version, state in known.items():
                age_s = ages_s.get(ServiceVersion(service, version))
                state.is_listed = age_s is not None
                if is_first and len(known) == 1:
                    state.serves_from_s = now_s
                elif is_first:
                    state.serves_from_s = math.inf
                if age_s is not None and state.serves_from_s == math.inf:
                    settled_s = min(SETTLE_S, max(0.0, age_s))
                    state.serves_from_s = now_s + SETTLE_S - settled_s
        if is_old:
            self._doubted_until_s = now_s + self.life_s

    def record_listed(self, version: ServiceVersion, now_s: float) -> None:
        """Record that another instance found a version listed."""
        state = self._services.get(version.service, {}).get(version.version)
        if state is not None and state.serves_from_s == math.inf:
            state.serves_from_s = now_s + SETTLE_S

    def start_era(self) -> None:
        """Record that the store was restored from a copy and may lack versions."""
        for known in self._services.values():
            for state in known.values():
                state.is_listed = False

    def unlisted(self) -> list[ServiceVersion]:
        """Return the versions that the store must list."""
        return [
            ServiceVersion(service, version)
            for service, known in self._services.items()
            for version, state in known.items()
            if not state.is_listed
            or (state.is_present and state.serves_from_s == math.inf)
        ]

    def listed(self, now_s: float) -> list[ServiceVersion]:
        """Return the versions that other instances may let serve."""
        return [
            ServiceVersion(service, version)
            for service, known in self._services.items()
            for version, state in known.items()
            if state.is_listed and now_s >= state.serves_from_s - SETTLE_S
        ]

    def is_doubted(self, now_s: float) -> bool:
        """Return whether the store may lack versions that streams go on at."""
        return not self.is_read or now_s < self._doubted_until_s

    def removable(self, now_s: float) -> list[ServiceVersion]:
        """Return the listed versions of which no stream can go on any more."""
        if not self.is_current(now_s):
            return []
        after_s = self.life_s + REMOVAL_MARGIN_S
        return [
            ServiceVersion(service, version)
            for service, known in self._services.items()
            for version, state in known.items()
            if state.is_listed
            and not state.is_present
            and now_s - state.changed_at_s >= after_s
        ]

    def may_serve(self, service: str, version: str, now_s: float) -> bool:
        """Return whether a version may begin streams."""
        known = self._services.get(service)
        if known is None:
            return True
        state = known.get(version)
        if state is None:
            return False
        if now_s >= state.serves_from_s:
            return True
        if state.is_listed or now_s - state.changed_at_s < UNLISTED_MAX_S:
            return False
        return not any(
            other.is_present and now_s >= other.serves_from_s
            for other in known.values()
        )

    def origin(
        self, key: bytes, service: str, now_s: float, services: Set[str] = frozenset()
    ) -> StreamOrigin:
        """Return the version that began a stream.

        Parameters
        ----------
        key : bytes
            Of the request that began it; empty if the caller names none.
        service : str
            Service that it is resumed at, unless another is known to have begun it.
        services : set of str
            All services at which it may have begun.
        """
        begun = self.streams.find(key) if key else None
        if begun is not None:
            return StreamOrigin(begun.begun_at, begun.source)
        version = self.sole_version({service, *services}, now_s)
        if version is None:
            return UNKNOWN_ORIGIN
        return StreamOrigin(ServiceVersion(service, version), FactSource.SOLE)

    def sole_version(self, services: Set[str], now_s: float) -> str | None:
        """Return the version of all streams of services, if there is only one."""
        if self.is_doubted(now_s) or not self.is_current(now_s):
            return None
        versions = {
            version
            for name in services
            for version, state in self._services.get(name, {}).items()
            if state.is_present or now_s - state.changed_at_s < self.life_s
        }
        return versions.pop() if len(versions) == 1 else None

    def shares_streams(self, now_s: float) -> bool:
        """Return whether instances must tell each other which streams have begun."""
        return now_s < self._shared_until_s

    def is_current(self, now_s: float) -> bool:
        """Return whether the versions of the servers are known well enough."""
        return now_s - self.servers_as_of_s <= SETTLE_S

    def _may_be_mixed(self, services: Set[str], now_s: float) -> bool:
        known = [self._services.get(service, {}) for service in services]
        if not any(state.is_present for found in known for state in found.values()):
            return False
        return self.sole_version(services, now_s) is None

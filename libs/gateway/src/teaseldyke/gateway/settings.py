"""Settings of a gateway, as its YAML file states them."""

from __future__ import annotations

import attrs

from teaseldyke.settings import Address


@attrs.frozen
class FleetBounds:
    """Bounds that the platform's operators set for the whole fleet.

    Parameters
    ----------
    retry_ratio : float
        Repeated sends for each request of a service in a window.
    retry_slack : float
        Repeated sends beside them.
    retry_window_s : float
        Length of the window.
    cold_factor, cold_slack : float
        A cold backend server bears in any second this multiple of its stated rate,
        and so many requests beside it.
    stop_s : float
        From SIGTERM to the end of the process.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_factor: float
    cold_slack: float
    stop_s: float


@attrs.frozen
class GatewaySettings:
    """Settings of one instance.

    Parameters
    ----------
    name : str
        Unique in the fleet.
    failure_domain : str
        Where the instance stands.
    callers, readiness : Address
        Where callers and the platform's readiness checks connect.
    exchange : Address
        Where other instances connect, by datagrams and by HTTP.
    metrics : Address
        Where the metrics are served.
    platform : Address
        The platform's store.
    bounds : FleetBounds
        Bounds of the whole fleet.
    connections_max : int
        Callers' connections held at once.
    log_lines_per_s : float
        Lines on decisions in a second; more are counted and left out.
    """

    name: str
    failure_domain: str
    callers: Address
    readiness: Address
    exchange: Address
    metrics: Address
    platform: Address
    bounds: FleetBounds
    connections_max: int = 2000
    log_lines_per_s: float = 200.0

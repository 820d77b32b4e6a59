"""Settings of a gateway, read from its YAML file."""

from __future__ import annotations

import attrs

from teaseldyke.settings import Address


@attrs.frozen
class FleetBounds:
    """Limits that the platform's operators set for the whole fleet.

    Parameters
    ----------
    retry_ratio : float
        Retries allowed per request of a service in a window.
    retry_slack : float
        Retries allowed in a window in addition.
    retry_window_s : float
        Length of the window.
    cold_factor, cold_slack : float
        A cold backend server gets at most its stated rate times this factor in any
        second, plus this number of requests.
    stop_s : float
        Time from SIGTERM to the end of the process.
    exposure_share : float
        Of the requests that reach a service during a roll-out, which a bad version may
        get; 0 if the deployment has no roll-outs.
    exposure_slack : float
        Requests that a bad version may get in addition.
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_factor: float
    cold_slack: float
    stop_s: float
    exposure_share: float = 0.0
    exposure_slack: float = 0.0


@attrs.frozen
class GatewaySettings:
    """Settings of one instance.

    Parameters
    ----------
    name : str
        Unique in the fleet.
    failure_domain : str
        Failure domain of the instance.
    callers, readiness : Address
        Where callers and the platform's readiness checks connect.
    exchange : Address
        Where other instances send datagrams and fetch the listing by HTTP.
    metrics : Address
        Where the metrics are served.
    platform : Address
        The platform's store.
    bounds : FleetBounds
        Limits of the whole fleet.
    heartbeat_ms : float
        Interval at which backend servers renew their entries in the store.
    connections_max : int
        Maximum number of callers' connections.
    log_lines_per_s : float
        Maximum rate of decision log lines; lines above it are counted and dropped.
    memory_mb : float
        Memory of the machine in units of 1,000,000 bytes; 0 if unknown.
    descriptors : int
        File descriptors that the process may open; 0 if unknown.
    """

    name: str
    failure_domain: str
    callers: Address
    readiness: Address
    exchange: Address
    metrics: Address
    platform: Address
    bounds: FleetBounds
    heartbeat_ms: float = 1200.0
    connections_max: int = 2000
    log_lines_per_s: float = 200.0
    memory_mb: float = 0.0
    descriptors: int = 0

"""Administration API of a router."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import attrs
import trio

from teaseldyke.configuration import (
    ApplySheet,
    Change,
    ConfigurationNotReady,
    ConfigurationReader,
    CreateOrganisation,
    ReplaceKey,
    SetSwitch,
    check,
    run_off_loop,
)
from teaseldyke.http import Request
from teaseldyke.telemetry import log_fault, render_metrics
from teaseldyke.timers import Timers
from teaseldyke.types import Organisation, TeaseldykeError

from .administration_access import (
    AUDIT_INTERVAL_S,
    AccessControl,
    AuditTrail,
    RoleMissing,
    TokenExpired,
    TokenMissing,
    TokenUnknown,
)
from .administration_bodies import (
    AcceptedBody,
    BodyInvalid,
    KeyBody,
    OrganisationBody,
    SwitchBody,
    decode_body,
    decode_sheet_body,
    encode_response,
)
from .administration_requests import (
    RequestContext,
    Route,
    find_route,
    problem_of,
    query_integer,
)
from .administration_views import (
    configuration_view,
    publish_metrics,
    status_view,
    versions_view,
)

SHEET_LIMIT_BYTES = 32 * 1024 * 1024
ORGANISATION_BYTES = 100  # minimum size of an organisation in a sheet body
BODY_LIMIT_BYTES = 64 * 1024
PEERS_TIMEOUT_S = 1.0  # a peer that exceeds it is listed without a version
HISTORY_LIMIT = 1000  # rows read for one response
CHANGE_ID_LIMIT = 128  # characters

_DENIAL_ERRORS = (TokenMissing, TokenUnknown, TokenExpired, RoleMissing)


@attrs.define(eq=False)
class Administration:
    """Handles the requests on the administration port.

    Parameters
    ----------
    router : str
        Name of this router.
    reader : ConfigurationReader
        Provides the configuration in force and the configuration store.
    access : AccessControl
        Authenticates and authorises operators.
    audit : AuditTrail
        Records refused requests.
    status_sources : dict of str to callable
        Functions that return further sections of the status, encodable as JSON.
    is_stopping : callable
        Returns whether a planned stop has begun; the router is then not ready.
    is_listening : callable
        Returns whether the port for callers is open; the router isn't ready before.
    """

    router: str
    reader: ConfigurationReader
    access: AccessControl
    audit: AuditTrail
    status_sources: dict[str, Callable[[], object]] = attrs.field(factory=dict)
    is_stopping: Callable[[], bool] = lambda: False
    is_listening: Callable[[], bool] = lambda: True
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Write the audit trail and archive accepted versions until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            Timers(nursery).every(AUDIT_INTERVAL_S, self.audit.write_pending)
            task_status.started()

    async def handle(self, request: Request) -> None:
        """Handle one request; errors become problem responses."""
        try:
            await self._dispatch(request)
        except TeaseldykeError as exc:
            if request.response_started:
                raise
            status, headers, body = problem_of(exc, request.id)
            await request.respond(status, body, headers)

    async def _dispatch(self, request: Request) -> None:
        route, name = find_route(ROUTES, request)
        if route.role is None:
            await route.handler(self, RequestContext(request))
            return
        operator = ""
        try:
            token = self.access.authenticate(request.header("authorization"))
            operator = token.name
            self.access.authorise(token, route.role)
        except _DENIAL_ERRORS as exc:
            self.audit.record_denial(operator, request.method, request.path, exc.code)
            if not operator:
                self.access.check_rate(operator)
            raise
        await route.handler(self, RequestContext(request, operator, token.role, name))

    async def get_health(self, context: RequestContext) -> None:
        """Report that the process is alive."""
        await context.request.respond(200, b"ok\n")

    async def get_readiness(self, context: RequestContext) -> None:
        """Report whether the router is ready for callers.

        Raises
        ------
        ConfigurationNotReady
            If the router is starting, stopping or taken out, or its version is not
            confirmed.
        """
        if self.is_stopping():
            raise ConfigurationNotReady("a planned stop has begun", retry_after_s=1.0)
        if not self.is_listening():
            raise ConfigurationNotReady(
                "the port for callers is not open yet", retry_after_s=1.0
            )
        if self.router in self.reader.snapshot.switches.instances_out:
            raise ConfigurationNotReady("operators have taken this instance out")
        if not self.reader.ready:
            raise ConfigurationNotReady(
                "no configuration version is confirmed as current; the store is "
                f"{'reachable' if self.reader.store_reachable else 'unreachable'}",
                retry_after_s=1.0,
            )
        await context.request.respond(200, b"ready\n")

    async def get_metrics(self, context: RequestContext) -> None:
        """Return the metrics in the text format of Prometheus."""
        publish_metrics(self.reader)
        fields = [(b"content-type", b"text/plain; version=0.0.4")]
        await context.request.respond(200, render_metrics(), fields)

    async def get_status(self, context: RequestContext) -> None:
        """Return the status of this router."""
        await _respond(
            context, status_view(self.router, self.reader, self.status_sources)
        )

    async def get_configuration(self, context: RequestContext) -> None:
        """Return the configuration in force; role read gets shortened key hashes."""
        snapshot = self.reader.snapshot
        build = partial(configuration_view, snapshot, context.role != "read")
        body = await run_off_loop(len(snapshot.sheet.organisations), build)
        await context.request.respond(200, body, _JSON)

    async def get_versions(self, context: RequestContext) -> None:
        """Return the version in force on every known router."""
        peer_versions = await self.reader.query_peers(PEERS_TIMEOUT_S)
        await _respond(context, versions_view(self.router, self.reader, peer_versions))

    async def get_history(self, context: RequestContext) -> None:
        """Return accepted changes after a version, oldest first."""
        after_version = query_integer(context.request, "after", 0)
        limit = min(query_integer(context.request, "limit", 100), HISTORY_LIMIT)
        await _respond(context, await self.reader.store.history(after_version, limit))

    async def get_audit(self, context: RequestContext) -> None:
        """Return requests refused since a Unix time in seconds, oldest first."""
        after_s = query_integer(context.request, "after", 0)
        limit = min(query_integer(context.request, "limit", 100), HISTORY_LIMIT)
        await _respond(context, await self.audit.read(after_s, limit))

    async def put_sheet(self, context: RequestContext) -> None:
        """Replace the configuration sheet."""
        data = await context.request.read_body(SHEET_LIMIT_BYTES)
        entries = len(data) // ORGANISATION_BYTES
        body = await run_off_loop(entries, partial(decode_sheet_body, data))
        await run_off_loop(entries, partial(check, body.sheet))
        change = ApplySheet(body.sheet, body.base_version)
        await self._change(context, change, body.change_id)

    async def post_switch(self, context: RequestContext) -> None:
        """Switch a failure domain, instance, backend server or organisation."""
        body = await _read_body(context, SwitchBody)
        change = SetSwitch(body.kind, body.name, body.out, body.base_version)
        await self._change(context, change, body.change_id)

    async def post_organisation(self, context: RequestContext) -> None:
        """Create an organisation."""
        body = await _read_body(context, OrganisationBody)
        organisation = Organisation(
            body.name, body.share, (body.key_hash,), body.services
        )
        await self._change(context, CreateOrganisation(organisation), body.change_id)

    async def post_key(self, context: RequestContext) -> None:
        """Replace the key of an organisation."""
        body = await _read_body(context, KeyBody)
        change = ReplaceKey(context.name, body.key_hash, body.keep_old)
        await self._change(context, change, body.change_id)

    async def _change(
        self, context: RequestContext, change: Change, change_id: str
    ) -> None:
        if not 0 < len(change_id) <= CHANGE_ID_LIMIT or not change_id.isprintable():
            raise BodyInvalid(f"change_id must have 1 to {CHANGE_ID_LIMIT} characters")
        store = self.reader.store
        accepted = await store.change(change, change_id, context.operator)
        if accepted.snapshot is not None:
            await self.reader.apply_if_newer(accepted.snapshot, "operator")
            if self._nursery is not None:
                self._nursery.start_soon(self._archive)
        record = accepted.record
        body = AcceptedBody(
            record.version, change_id, record.summary, accepted.snapshot is None
        )
        await _respond(context, body)

    async def _archive(self) -> None:
        try:
            await self.reader.archive.save(self.reader.snapshot)
        except TeaseldykeError as exc:
            log_fault("configuration_not_archived", detail=exc.detail)


ROUTES = (
    Route("GET", "/healthz", None, Administration.get_health),
    Route("GET", "/readyz", None, Administration.get_readiness),
    Route("GET", "/metrics", None, Administration.get_metrics),
    Route("GET", "/v1/status", "read", Administration.get_status),
    Route("GET", "/v1/configuration", "read", Administration.get_configuration),
    Route("GET", "/v1/versions", "read", Administration.get_versions),
    Route("GET", "/v1/history", "read", Administration.get_history),
    Route("GET", "/v1/audit", "own", Administration.get_audit),
    Route("PUT", "/v1/sheet", "operate", Administration.put_sheet),
    Route("POST", "/v1/switches", "operate", Administration.post_switch),
    Route("POST", "/v1/organisations", "own", Administration.post_organisation),
    Route(
        "POST", "/v1/organisations/{name}/rotate-key", "own", Administration.post_key
    ),
)

_JSON = [(b"content-type", b"application/json")]


async def _read_body(context: RequestContext, cls: type[Any]) -> Any:
    return decode_body(await context.request.read_body(BODY_LIMIT_BYTES), cls)


async def _respond(context: RequestContext, value: object) -> None:
    await context.request.respond(200, encode_response(value), _JSON)

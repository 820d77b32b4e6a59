"""Random workload of the trace generators: request sizes and Poisson arrivals."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

import attrs

from teaseldyke.configuration import Sheet
from teaseldyke.types import Organisation, Service

from .requests import full_cost
from .trace import Arrival

HOME_ROUTER_RATIO = 0.7  # fraction of requests sent to the organisation's home router
# Ratios of the callers' ``max_tokens`` to the true output size.
HINT_FACTORS = (1.0, 1.25, 1.5, 2.0)


@attrs.frozen
class Kind:
    """Kind of request to a model engine.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Mean sizes; sizes are uniform between 0.5 and 1.5 of the mean.
    stream : bool
        Whether the answer is streamed.
    weight : float
        Frequency relative to the other kinds.
    """

    prompt_tokens: int
    output_tokens: int
    stream: bool
    weight: float

    def mean_cost(self) -> float:
        """Return the cost of a request of mean size."""
        arrival = Arrival(
            0.0,
            "",
            "",
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
        )
        return full_cost(arrival)


@attrs.frozen
class PlainCalls:
    """Write and read calls of a plain service.

    Parameters
    ----------
    write_path : str
        Path of a ``POST`` that must not be executed twice.
    read_path : str
        Path prefix of a ``GET``.
    write_part : float
        Fraction of writes among the calls.
    """

    write_path: str
    read_path: str
    write_part: float = 0.4


@attrs.define
class Workload:
    """Generates the requests of one deployment from a seed.

    Parameters
    ----------
    sheet : Sheet
        Organisations, services and backend servers.
    seed : int
        Seed of all random draws.
    routers : int
        Number of routers among which the arrivals are distributed.
    kinds : tuple of Kind
        Kinds of request to the model engines.
    plain_calls : PlainCalls
        Calls of the plain service.
    """

    sheet: Sheet
    seed: int
    routers: int
    kinds: tuple[Kind, ...]
    plain_calls: PlainCalls
    _random: random.Random = attrs.field(init=False)
    _writes: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    @property
    def organisations(self) -> list[Organisation]:
        """Organisations in descending order of share."""
        found = self.sheet.organisations.values()
        return sorted(found, key=lambda item: (-item.share, item.name))

    def engine_service(self) -> Service:
        """Return the service of the model engines."""
        return next(s for s in self.sheet.services.values() if s.kind == "engine")

    def plain_service(self) -> Service:
        """Return the plain service."""
        return next(s for s in self.sheet.services.values() if s.kind == "plain")

    def slots(self, service: Service) -> int:
        """Return the number of requests that a service can run concurrently."""
        servers = self.sheet.backend_servers.values()
        return service.limit * sum(s.service == service.name for s in servers)

    def engine_rate_hz(self, load: float, tokens_per_s: float) -> float:
        """Return the arrival rate that puts a load on the engine pool.

        Parameters
        ----------
        load : float
            Load, as a multiple of the capacity of the pool.
        tokens_per_s : float
            Token rate of one running request.
        """
        weight = sum(kind.weight for kind in self.kinds)
        output = sum(kind.weight * kind.output_tokens for kind in self.kinds) / weight
        return load * self.slots(self.engine_service()) * tokens_per_s / output

    def times(self, rate_hz: float, from_s: float, to_s: float) -> Iterator[float]:
        """Yield the arrival times of a Poisson process."""
        at_s = from_s
        while True:
            at_s += self._random.expovariate(rate_hz)
            if at_s >= to_s:
                return
            yield round(at_s, 4)

    def draw_organisation(self, organisations: Sequence[Organisation]) -> str:
        """Draw an organisation with probabilities proportional to the shares."""
        weights = [organisation.share for organisation in organisations]
        return self._random.choices(organisations, weights)[0].name

    def engine_arrival(
        self, at_s: float, organisation: str, router: int | None = None
    ) -> Arrival:
        """Draw a request to the model engines."""
        weights = [kind.weight for kind in self.kinds]
        kind = self._random.choices(self.kinds, weights)[0]
        output_tokens = self._draw_size(kind.output_tokens)
        hint_factor = self._random.choice(HINT_FACTORS)
        return Arrival(
            at_s=at_s,
            organisation=organisation,
            service=self.engine_service().name,
            router=self._draw_router(organisation) if router is None else router,
            prompt_tokens=self._draw_size(kind.prompt_tokens),
            output_tokens=output_tokens,
            max_tokens=int(output_tokens * hint_factor),
            stream=kind.stream,
        )

    def plain_arrival(self, at_s: float, organisation: str) -> Arrival:
        """Draw a call of the plain service."""
        arrival = Arrival(
            at_s=at_s,
            organisation=organisation,
            service=self.plain_service().name,
            method="GET",
            path=f"{self.plain_calls.read_path}/{self._random.randrange(1000)}",
            router=self._draw_router(organisation),
        )
        if self._random.random() >= self.plain_calls.write_part:
            return arrival
        self._writes += 1
        return attrs.evolve(
            arrival,
            method="POST",
            path=self.plain_calls.write_path,
            idempotency_key=f"{self.seed}-{self._writes}",
            idempotent=False,
        )

    def _draw_size(self, mean: int) -> int:
        return max(1, int(mean * self._random.uniform(0.5, 1.5)))

    def _draw_router(self, organisation: str) -> int:
        if self._random.random() >= HOME_ROUTER_RATIO:
            return self._random.randrange(self.routers)
        return sum(organisation.encode()) % self.routers

"""Parts that the trace writers share: sizes of requests and Poisson arrivals."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

import attrs

from teaseldyke.configuration import Sheet
from teaseldyke.types import Organisation, Service

from .requests import cost_of
from .trace import Arrival

HOME_PART = 0.7  # part of an organisation's requests that arrive at its home router
HINT_FACTORS = (1.0, 1.25, 1.5, 2.0)  # how rough the hints of callers are


@attrs.frozen
class Kind:
    """One kind of request to a model engine.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Mean sizes; they are drawn between half and one and a half of them.
    stream : bool
        Whether the answer is streamed.
    weight : float
        How often it is called, beside the other kinds.
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
        return cost_of(arrival)


@attrs.frozen
class PlainCalls:
    """The two calls of a plain service.

    Parameters
    ----------
    write_path : str
        ``POST`` that must not be executed twice.
    read_path : str
        Start of the path of a ``GET``.
    write_part : float
        Part of the calls that write.
    """

    write_path: str
    read_path: str
    write_part: float = 0.4


@attrs.define
class Workload:
    """Draws the requests of one deployment from a seed.

    Parameters
    ----------
    sheet : Sheet
        Organisations, services and backend servers.
    seed : int
        Seed of every draw.
    routers : int
        Number of routers that arrivals are spread over.
    kinds : tuple of Kind
        Requests to the model engines.
    plain_calls : PlainCalls
        Calls of the plain service.
    """

    sheet: Sheet
    seed: int
    routers: int
    kinds: tuple[Kind, ...]
    plain_calls: PlainCalls
    _random: random.Random = attrs.field(init=False)
    _written: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    @property
    def organisations(self) -> list[Organisation]:
        """Organisations, those with the largest share first."""
        found = self.sheet.organisations.values()
        return sorted(found, key=lambda item: (-item.share, item.name))

    def engine_service(self) -> Service:
        """Return the pool of model engines."""
        return next(s for s in self.sheet.services.values() if s.kind == "engine")

    def plain_service(self) -> Service:
        """Return the plain service."""
        return next(s for s in self.sheet.services.values() if s.kind == "plain")

    def slots(self, service: Service) -> int:
        """Return how many requests of a service may run at once."""
        servers = self.sheet.backend_servers.values()
        return service.limit * sum(s.service == service.name for s in servers)

    def engine_rate_hz(self, load: float, tokens_per_s: float) -> float:
        """Return the arrivals a second that make a load of the engine pool.

        Parameters
        ----------
        load : float
            Part of what the whole pool can do.
        tokens_per_s : float
            Speed of one running request.
        """
        weight = sum(kind.weight for kind in self.kinds)
        output = sum(kind.weight * kind.output_tokens for kind in self.kinds) / weight
        return load * self.slots(self.engine_service()) * tokens_per_s / output

    def times(self, rate_hz: float, from_s: float, to_s: float) -> Iterator[float]:
        """Yield the times of a Poisson process."""
        at_s = from_s
        while True:
            at_s += self._random.expovariate(rate_hz)
            if at_s >= to_s:
                return
            yield round(at_s, 4)

    def draw_organisation(self, organisations: Sequence[Organisation]) -> str:
        """Draw an organisation, by share."""
        weights = [organisation.share for organisation in organisations]
        return self._random.choices(organisations, weights)[0].name

    def engine_arrival(
        self, at_s: float, organisation: str, router: int | None = None
    ) -> Arrival:
        """Draw a request to the model engines."""
        weights = [kind.weight for kind in self.kinds]
        kind = self._random.choices(self.kinds, weights)[0]
        output_tokens = self._around(kind.output_tokens)
        hint_factor = self._random.choice(HINT_FACTORS)
        return Arrival(
            at_s=at_s,
            organisation=organisation,
            service=self.engine_service().name,
            router=self._router_of(organisation) if router is None else router,
            prompt_tokens=self._around(kind.prompt_tokens),
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
            router=self._router_of(organisation),
        )
        if self._random.random() >= self.plain_calls.write_part:
            return arrival
        self._written += 1
        return attrs.evolve(
            arrival,
            method="POST",
            path=self.plain_calls.write_path,
            idempotency_key=f"{self.seed}-{self._written}",
            idempotent=False,
        )

    def _around(self, mean: int) -> int:
        return max(1, int(mean * self._random.uniform(0.5, 1.5)))

    def _router_of(self, organisation: str) -> int:
        if self._random.random() >= HOME_PART:
            return self._random.randrange(self.routers)
        return sum(organisation.encode()) % self.routers

"""Compares all choosers and limiters on the same recorded arrivals.

``python -m bench.routing [--seconds 30] [--load 0.7] [--out FILE]``
``python -m bench.routing --flood [--seconds 6] [--out FILE]``
``python -m bench.routing --failing [--seconds 6] [--out FILE]``

Eight VMs in three failure domains share 24 backend servers of 8 slots. The
production router runs on each VM, in virtual time, against servers modelled
as queues with slots (`laburnumsill.testing.model_servers`). Arrivals are
bursty, service times heavy-tailed. One server is five times slower, one
fails fast for a while, one freezes, and a failure domain is lost and comes
back. All choices see the same arrivals, service times and faults.

With ``--flood`` there are no faults. Urgent requests use 30 % of the slots,
and each limiter is measured without pricing and with pricing at five times
the capacity of all servers. With ``--failing`` every other server fails fast
all the time, and retry budgets are compared.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import random
import time
import typing

import trio
from trio import testing

from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import members
from laburnumsill.core import metrics
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.requests import answer as answers
from laburnumsill.requests import concurrency_limits
from laburnumsill.requests import load_balancing
from laburnumsill.requests import messages
from laburnumsill.requests import router as routers
from laburnumsill.state import claims
from laburnumsill.state import durable
from laburnumsill.testing import local_groups
from laburnumsill.testing import model_servers

SEED = 20261202
DOMAINS = ("north", "south", "west")
VMS = 8
SERVERS = 24
SLOTS = 8
REPORT_S = 2.0
"""Time between two reports of busy slots, as the member table sends them."""

GONE_S = 2.5
"""Time until a server that is silent gets no new work."""

COMMIT_S = 0.002
"""Time of one commit in a domain's group."""

CLASSES: dict[str, dict[str, typing.Any]] = {
    "confirm": {
        "urgency": 0,
        "repeatable": False,
        "reserved_share": 0.15,
        "timeout_ms": 2_000,
        "max_wait_ms": 500,
    },
    "check": {
        "urgency": 1,
        "reserved_share": 0.25,
        "timeout_ms": 1_000,
        "max_wait_ms": 500,
    },
    "pricing": {"urgency": 5, "timeout_ms": 10_000, "max_wait_ms": 5_000},
}
MIX = {"confirm": 0.1, "check": 0.35, "pricing": 0.55}
MEAN_S = {"confirm": 0.05, "check": 0.06, "pricing": 0.13}
ACCOUNTS = {"flood": 0.55, "lakes": 0.2, "hills": 0.15, "coast": 0.1}
PARETO_SHAPE = 1.8
LONGEST_S = 3.0
BURST_FACTOR = 2.5
BURST_SHARE = 0.2
BURST_S = 1.0
URGENT = ("confirm", "check")
URGENT_LOAD = 0.3
FLOOD_FACTOR = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One recorded request; times in seconds from the start."""

    at: float
    vm: int
    class_name: str
    account: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """How one request ended."""

    class_name: str
    account: str
    outcome: str
    took_s: float
    in_time: bool


def record_arrivals(seconds: float, load: float) -> list[Arrival]:
    """Returns bursty arrivals that use `load` of all slots on average."""
    draw = random.Random(SEED)
    mean_s = sum(MIX[name] * MEAN_S[name] for name in MIX)
    mean_rate = load * SERVERS * SLOTS / mean_s
    calm = mean_rate / (1 + BURST_SHARE * (BURST_FACTOR - 1))
    skew = [draw.uniform(0.5, 1.5) for _ in range(VMS)]
    arrivals = []
    now = 0.0
    burst_until = calm_until = 0.0
    while now < seconds:
        if now >= max(burst_until, calm_until):
            burst_until = now + draw.expovariate(1 / BURST_S)
            calm_s = BURST_S * (1 - BURST_SHARE) / BURST_SHARE
            calm_until = burst_until + draw.expovariate(1 / calm_s)
        rate = calm * BURST_FACTOR if now < burst_until else calm
        now += draw.expovariate(rate)
        name = draw.choices(list(MIX), list(MIX.values()))[0]
        scale = MEAN_S[name] * (PARETO_SHAPE - 1) / PARETO_SHAPE
        arrivals.append(
            Arrival(
                now,
                draw.choices(range(VMS), skew)[0],
                name,
                draw.choices(list(ACCOUNTS), list(ACCOUNTS.values()))[0],
                min(LONGEST_S, scale * draw.paretovariate(PARETO_SHAPE)),
            )
        )
    return arrivals


def record_flood(seconds: float, *, pricing: bool) -> list[Arrival]:
    """Returns even urgent arrivals, the same with and without pricing."""
    urgent_mean_s = sum(MIX[name] * MEAN_S[name] for name in URGENT)
    urgent_mean_s /= sum(MIX[name] for name in URGENT)
    rate = URGENT_LOAD * SERVERS * SLOTS / urgent_mean_s
    draw = random.Random(SEED)
    arrivals = _even(draw, seconds, rate, URGENT, "lakes")
    if pricing:
        rate = FLOOD_FACTOR * SERVERS * SLOTS / MEAN_S["pricing"]
        draw = random.Random(SEED + 1)
        arrivals += _even(draw, seconds, rate, ("pricing",), "flood")
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _even(
    draw: random.Random,
    seconds: float,
    rate: float,
    names: tuple[str, ...],
    account: str,
) -> list[Arrival]:
    arrivals = []
    now = 0.0
    while now < seconds:
        now += draw.expovariate(rate)
        name = draw.choices(names, [MIX[name] for name in names])[0]
        scale = MEAN_S[name] * (PARETO_SHAPE - 1) / PARETO_SHAPE
        length_s = min(LONGEST_S, scale * draw.paretovariate(PARETO_SHAPE))
        arrivals.append(
            Arrival(now, draw.randrange(VMS), name, account, length_s)
        )
    return arrivals


class CommittingGroups(local_groups.LocalGroups):
    """Local groups whose commits take `COMMIT_S`."""

    async def propose(
        self, group: str, command: object, deadline: float
    ) -> typing.Any:
        """Applies `command` after a while."""
        await trio.sleep(COMMIT_S)
        return await super().propose(group, command, deadline)


class Site:
    """All VMs and servers of one run.

    Args:
        chooser: Name of the chooser.
        limiter: Name of the limiter.
        seconds: Length of the run.
        faults: Whether the faults of the module's docstring happen.
        requests: Further fields of the request policy.
    """

    def __init__(
        self,
        chooser: str,
        limiter: str,
        seconds: float,
        *,
        faults: bool,
        **requests: float,
    ) -> None:
        random.seed(SEED)
        self.ends: list[End] = []
        self._seconds = seconds
        self._clock = model_servers.VirtualClock()
        self.models = [_model(number) for number in range(SERVERS)]
        self._with_faults = faults
        if faults:
            self.models[1].slowness = 5.0
        self._view = model_servers.ModelView(self.models)
        self.client = model_servers.ModelClient(self.models)
        self.metrics = metrics.Metrics()
        current = current_module.Current()
        current.put(
            current_module.Versioned(
                1, "1", _configuration(chooser, limiter, **requests)
            )
        )
        groups = CommittingGroups(
            {
                ids.domain_group(name): replication.StateMachine(
                    claims.Claims(), durable.DurableRequests()
                )
                for name in DOMAINS
            }
        )
        self._vms = [
            topology.Vm(f"vm{n}", DOMAINS[n % len(DOMAINS)], "", "", True)
            for n in range(VMS)
        ]
        self._routers = [
            routers.RequestRouter(
                vm,
                groups,
                self._view,
                current,
                self.client,
                self._clock,
                self.metrics,
                VMS,
            )
            for vm in self._vms
        ]

    async def run(self, arrivals: list[Arrival]) -> None:
        """Plays all arrivals and waits for their ends."""
        async with trio.open_nursery() as background:
            for router in self._routers:
                await background.start(router.run)
            background.start_soon(self._view.report, REPORT_S)
            if self._with_faults:
                background.start_soon(self._faults)
            start = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number, arrival in enumerate(arrivals):
                    await trio.sleep_until(start + arrival.at)
                    nursery.start_soon(self._ask, number, arrival)
            background.cancel_scope.cancel()

    async def _faults(self) -> None:
        """Brings about the faults; see the module's docstring."""
        step_s = self._seconds / 10
        fast, frozen = self.models[2], self.models[3]
        lost = [m for m in self.models if m.server.domain == "west"]
        await trio.sleep(2 * step_s)
        fast.mode = "fail-fast"
        await trio.sleep(step_s)
        frozen.mode = "frozen"
        await trio.sleep(GONE_S)
        self._view.remove([frozen])
        await trio.sleep(max(0.0, 2 * step_s - GONE_S))
        fast.mode = "serve"
        await trio.sleep(step_s)
        for model in lost:
            model.mode = "lost"
        await trio.sleep(GONE_S)
        self._view.remove(lost)
        await trio.sleep(max(0.0, 2 * step_s - GONE_S))
        for model in lost:
            model.mode = "serve"
        self._view.add([m for m in lost if m is not frozen])

    async def _ask(self, number: int, arrival: Arrival) -> None:
        """Sends one request through the next VM that can be reached."""
        vm = arrival.vm
        if any(
            m.mode == "lost" and m.server.domain == self._vms[vm].domain
            for m in self.models
        ):
            vm = (vm + 1) % VMS
        request_class = CLASSES[arrival.class_name]
        head = _head(number, arrival, self._clock.monotonic())
        started = trio.current_time()
        outcome = "answered"
        try:
            answer = await self._routers[vm].route(head, _no_body())
            async for _ in answer.chunks():
                pass
            await answer.aclose()
            if answer.status != 200:
                outcome = "failed"
        except errors.LaburnumsillError as error:
            outcome = str(answers.outcome_of(error))
        took_s = trio.current_time() - started
        in_time = took_s <= request_class["timeout_ms"] / 1000
        self.ends.append(
            End(arrival.class_name, arrival.account, outcome, took_s, in_time)
        )


async def _no_body() -> typing.AsyncIterator[bytes]:
    yield b""


def _model(number: int) -> model_servers.ModelServer:
    return model_servers.ModelServer(
        members.BackendServer(
            f"s{number}",
            "huts",
            DOMAINS[number % len(DOMAINS)],
            f"model:{number}",
            "i1",
            1,
            SLOTS,
            64,
        )
    )


def _configuration(
    chooser: str, limiter: str, **requests: float
) -> models.Configuration:
    return models.Configuration.model_validate(
        {
            "site": "bench",
            "domains": list(DOMAINS),
            "classes": CLASSES,
            "services": {"huts": {"slots": SLOTS, "classes": list(CLASSES)}},
            "accounts": {name: {} for name in ACCOUNTS},
            "requests": {
                "chooser": chooser,
                "limiter": limiter,
                **requests,
            },
        }
    )


def _head(number: int, arrival: Arrival, now: float) -> messages.RequestHead:
    target = model_servers.TARGET + f"{arrival.seconds:.6f}".encode()
    return messages.RequestHead(
        f"req-{number}",
        "huts",
        "POST",
        target,
        (
            (b"laburnumsill-class", arrival.class_name.encode()),
            (b"laburnumsill-account", arrival.account.encode()),
            (b"idempotency-key", f"k{number}".encode()),
        ),
        now,
    )


def figures(site: Site) -> dict[str, float]:
    """Returns what was measured in one run."""
    offered = len(site.ends)
    good = [e for e in site.ends if e.outcome == "answered" and e.in_time]
    urgent = [e for e in site.ends if e.class_name in URGENT]
    late = [e for e in site.ends if e.outcome == "answered" and not e.in_time]
    arrived = sum(model.arrived for model in site.models)
    over = sum(model.over_committed for model in site.models)
    result = {
        "goodput": len(good) / offered,
        "urgent_goodput": _good_share(urgent),
        "pricing_goodput": _good_share(
            [e for e in site.ends if e.class_name == "pricing"]
        ),
        "late_share": len(late) / offered,
        "unknown_share": _share(site.ends, lambda e: e.outcome == "unknown"),
        "sent_per_request": site.client.sent / offered,
        "over_committed": over / arrived,
        "account_gap": _account_gap(site.ends),
    }
    for name in CLASSES:
        took = sorted(
            e.took_s
            for e in site.ends
            if e.class_name == name and e.outcome == "answered"
        )
        if took:
            result[f"{name}_p50_ms"] = 1000 * took[len(took) // 2]
            result[f"{name}_p99_ms"] = 1000 * took[int(len(took) * 0.99)]
    return result


def _good_share(ends: list[End]) -> float:
    return _share(ends, lambda e: e.outcome == "answered" and e.in_time)


def _share(ends: list[End], holds: typing.Callable[[End], bool]) -> float:
    return sum(map(holds, ends)) / max(1, len(ends))


def _account_gap(ends: list[End]) -> float:
    """Returns the largest lead of the flooding account over another.

    It is the difference of their shares of good answers, 0 if none leads.
    """
    by_account: dict[str, list[End]] = collections.defaultdict(list)
    for end in ends:
        by_account[end.account].append(end)
    shares = {name: _good_share(group) for name, group in by_account.items()}
    return max(0.0, shares.get("flood", 0.0) - min(shares.values()))


Columns = tuple[tuple[str, str], ...]

COLUMNS: Columns = (
    ("goodput", "{:.4f}"),
    ("urgent_goodput", "{:.4f}"),
    ("pricing_goodput", "{:.4f}"),
    ("late_share", "{:.4f}"),
    ("unknown_share", "{:.4f}"),
    ("sent_per_request", "{:.3f}"),
    ("over_committed", "{:.4f}"),
    ("account_gap", "{:.4f}"),
    ("confirm_p50_ms", "{:.0f}"),
    ("confirm_p99_ms", "{:.0f}"),
    ("check_p50_ms", "{:.0f}"),
    ("check_p99_ms", "{:.0f}"),
    ("pricing_p99_ms", "{:.0f}"),
)


def table(rows: list[dict[str, typing.Any]], columns: Columns) -> str:
    """Returns the rows as a Markdown table."""
    names = ["chooser", "limiter", *(name for name, _ in columns)]
    lines = ["| " + " | ".join(names) + " |", "|---" * len(names) + "|"]
    for row in rows:
        cells = [row["chooser"], row["limiter"]]
        cells += [form.format(row[name]) for name, form in columns]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def measure(
    chooser: str,
    limiter: str,
    arrivals: list[Arrival],
    seconds: float,
    *,
    faults: bool = True,
) -> dict[str, typing.Any]:
    """Runs one pair of policies and returns its row."""
    begun = time.perf_counter()

    async def main() -> Site:
        site = Site(chooser, limiter, seconds, faults=faults)
        await site.run(arrivals)
        return site

    site = trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    row = {"chooser": chooser, "limiter": limiter, **figures(site)}
    row["ran_s"] = time.perf_counter() - begun
    return row


FLOOD_COLUMNS: Columns = (
    ("pricing", "{}"),
    ("urgent_goodput", "{:.4f}"),
    ("pricing_answered", "{}"),
    ("over_committed", "{:.4f}"),
    ("confirm_p50_ms", "{:.0f}"),
    ("confirm_p99_ms", "{:.0f}"),
    ("check_p50_ms", "{:.0f}"),
    ("check_p99_ms", "{:.0f}"),
)


def measure_flood(
    choosers: list[str], limiters: list[str], seconds: float
) -> list[dict[str, typing.Any]]:
    """Returns a row without and one with pricing for each pair."""
    rows = []
    for chooser in choosers:
        for limiter in limiters:
            for pricing in (False, True):
                arrivals = record_flood(seconds, pricing=pricing)
                row = measure(chooser, limiter, arrivals, seconds, faults=False)
                row["pricing"] = "5x" if pricing else "none"
                flood = sum(a.class_name == "pricing" for a in arrivals)
                row["pricing_answered"] = round(flood * row["pricing_goodput"])
                rows.append(row)
                print(f"{chooser} {limiter} pricing={pricing}", flush=True)
    return rows


FAILING_COLUMNS: Columns = (
    ("retry_budget", "{}"),
    ("goodput", "{:.4f}"),
    ("sent_per_request", "{:.3f}"),
    ("unknown_share", "{:.4f}"),
    ("confirm_p99_ms", "{:.0f}"),
    ("check_p99_ms", "{:.0f}"),
)
BUDGETS = (0.0, 0.1, 1.0)


def measure_failing(
    chooser: str, limiter: str, seconds: float
) -> list[dict[str, typing.Any]]:
    """Returns a row for each retry budget, half of the servers failing."""
    arrivals = record_flood(seconds, pricing=False)
    rows = []
    for retry_budget in BUDGETS:

        async def main(budget: float = retry_budget) -> Site:
            site = Site(
                chooser, limiter, seconds, faults=False, retry_budget=budget
            )
            for model in site.models[::2]:
                model.mode = "fail-fast"
            await site.run(arrivals)
            return site

        site = trio.run(main, clock=testing.MockClock(autojump_threshold=0))
        row = {"chooser": chooser, "limiter": limiter, **figures(site)}
        rows.append(row | {"retry_budget": retry_budget})
    return rows


def measure_all(
    choosers: list[str], limiters: list[str], seconds: float, load: float
) -> list[dict[str, typing.Any]]:
    """Returns a row for each pair of policies."""
    arrivals = record_arrivals(seconds, load)
    rows = []
    for chooser in choosers:
        for limiter in limiters:
            row = measure(chooser, limiter, arrivals, seconds)
            rows.append(row)
            print(f"{chooser} {limiter}: {row['goodput']:.4f}", flush=True)
    return rows


def main() -> None:
    """Measures all pairs, prints the table and writes JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--flood", action="store_true")
    parser.add_argument("--failing", action="store_true")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--out", type=pathlib.Path, default=None)
    parser.add_argument(
        "--choosers", nargs="*", default=list(load_balancing.CHOOSERS)
    )
    parser.add_argument(
        "--limiters", nargs="*", default=list(concurrency_limits.LIMITERS)
    )
    options = parser.parse_args()
    logs.set_up("ERROR", "bench")
    columns = COLUMNS
    if options.flood:
        columns = FLOOD_COLUMNS
        rows = measure_flood(
            options.choosers, options.limiters, options.seconds
        )
    elif options.failing:
        columns = FAILING_COLUMNS
        policy = models.RequestPolicy()
        rows = measure_failing(policy.chooser, policy.limiter, options.seconds)
    else:
        rows = measure_all(
            options.choosers, options.limiters, options.seconds, options.load
        )
    print(table(rows, columns))
    if options.out is not None:
        settings = vars(options) | {"out": None, "seed": SEED}
        result = {"settings": settings, "rows": rows}
        options.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()

"""Callers that hold or send more than they may, see `hostile_callers`.

The victim is a process of a site on loopback. It has to stay within the memory
and the descriptors of the smallest machine of its class and to answer others.
"""

import itertools
import json

import pytest
import trio

from laburnumsill.platform.tests import crowds
from laburnumsill.platform.tests import hostile_callers
from laburnumsill.platform.tests import role_processes
from laburnumsill.platform.tests import standin

VM = role_processes.CORE[0]
ENTRY = role_processes.ENTRY

MEMORY_BYTES = {ENTRY: 160_000_000, VM: 296_000_000}
"""Memory of the smallest machine that a process is given."""

DESCRIPTORS = {ENTRY: 1_638, VM: 4_096}
"""Descriptors of the smallest machine that a process is given."""

BODY_LIMIT = 262_144
"""Usual limit of the size of a callers' body, in bytes."""

LARGE = 4 * 1024 * 1024
"""Size of a body far over the limit, in bytes."""

LARGEST_HEARTBEAT = 65_536
"""Size of the largest heartbeat that is accepted, in bytes."""

ANSWER_WITHIN_S = 60.0
"""Time for the repetitions of an ordinary call."""

ALL_CONNECTIONS = 1_300
"""Callers that use all connections of an entry."""

SERVED_BYTES = 28_000
"""Size of a call of which an entry serves one on each connection."""

SENT_ON = 20
"""Calls that a caller sends at once, several hundred KB."""

STEPS = 19_900
"""Nearly as many steps as a job may have tasks."""

MANY_STEPS_CALLERS = 100
MANY_STEPS_JOBS = 40

MORE_THAN_ALL = 100
"""Callers for which an entry with few descriptors has no connections."""

PROBES = 15
PROBE_INTERVAL_S = 0.2

JOB = "/batch/{}"
QUEUE = "/batch/"
INSTANCE = "/-/instances/{}"
CONFIGURATION = "/-/config"


def with_usual_limit(version: int = 1, **changes) -> dict:
    limits = {"max_body_bytes": BODY_LIMIT}
    return standin.configuration(version, limits=limits, **changes)


def with_many_accounts(version: int) -> dict:
    """Returns a configuration of several hundred KB."""
    accounts = [
        {"name": f"account-{number}", "api_keys": [f"{number:032x}"]}
        for number in range(12_000)
    ]
    document = with_usual_limit(version)
    return {**document, "tenants": document["tenants"] + accounts}


def submission(size: int = 0) -> bytes:
    """Returns the body of a submission, filled up to `size` bytes."""
    document = {"spec": "text", "steps": [{"count": 1, "cpu": 1000, "gpu": 1}]}
    return json.dumps(document).encode().ljust(size)


def heartbeat(size: int) -> bytes:
    """Returns the body of a departing worker's heartbeat, of `size` bytes."""
    document = {
        "service": standin.POOL,
        "address": "127.0.0.1:9",
        "zone": "d",
        "version": "v1",
        "slots": 8,
        "state": "draining",
        "cold_left_ms": 0,
        "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 8},
        "labels": ["a"],
        "clock_ms": 1,
        "seq": 1,
    }
    return json.dumps(document).encode().ljust(size)


class Ordinary:
    """A caller that keeps to the rules and repeats a call until answered."""

    def __init__(self, site: role_processes.ProcessSite, vm: str) -> None:
        self._site = site
        self._vm = vm
        self._ids = itertools.count(1 << 40)

    async def call(self) -> None:
        """Gets the answer to one call of the victim's kind."""
        if self._vm == ENTRY:
            await self._submit()
        else:
            address = self._site.control_address(self._vm)
            operator = standin.Caller([address])
            await operator.until(
                200, "GET", CONFIGURATION, within=ANSWER_WITHIN_S
            )
            await operator.aclose()

    async def _submit(self) -> None:
        path = JOB.format(f"{next(self._ids):016x}")
        body = json.loads(submission())
        until = self._site.callers.until
        await until(200, "POST", path, body, within=ANSWER_WITHIN_S)
        await until(200, "GET", path, within=ANSWER_WITHIN_S)


async def endure(
    site: role_processes.ProcessSite,
    vm: str,
    address: str,
    connections: int,
    scripts: hostile_callers.Scripts,
) -> None:
    """Lets a crowd call a victim, and checks the victim and its service."""
    ordinary = Ordinary(site, vm)
    await ordinary.call()
    async with hostile_callers.holding(address, connections, scripts) as crowd:
        await ordinary.call()
        descriptors = site.open_descriptors(vm)
        unread_bytes = site.unread_bytes(address)
        assert crowd.connected
    await ordinary.call()
    peak_bytes = site.peak_memory_bytes(vm)
    assert all(process.running for process in site.processes.values())
    assert peak_bytes + unread_bytes <= MEMORY_BYTES[vm]
    assert descriptors <= DESCRIPTORS[vm]


@pytest.mark.parametrize(
    ("connections", "scripts"),
    [
        pytest.param(*row[1:], id=row[0])
        for row in [
            (
                "held",
                100,
                hostile_callers.announced("POST", JOB, LARGE, LARGE - 1),
            ),
            (
                "sent",
                100,
                hostile_callers.announced("POST", JOB, 256 * LARGE, 2 * LARGE),
            ),
            ("chunked", 100, hostile_callers.chunked("POST", JOB, 2 * LARGE)),
            (
                "wrong-key",
                100,
                hostile_callers.announced(
                    "POST", JOB, LARGE, LARGE - 1, "no-key"
                ),
            ),
            (
                "unknown-queue",
                100,
                hostile_callers.announced("POST", "/none/{}", LARGE, LARGE - 1),
            ),
            (
                "headers",
                2_000,
                hostile_callers.endless_headers("POST", JOB, 27_000),
            ),
            ("pipelined", 50, hostile_callers.pipelined("GET", QUEUE, 2_000)),
        ]
    ],
)
async def test_an_entry_endures_callers(tmp_path, connections, scripts):
    async with role_processes.running(tmp_path) as site:
        await endure(site, ENTRY, site.entry_address, connections, scripts)
        first = JOB.format(f"{0:016x}")
        await site.callers.until(410, "GET", first, within=ANSWER_WITHIN_S)


@pytest.mark.parametrize(
    ("connections", "scripts"),
    [
        pytest.param(
            1_500,
            hostile_callers.announced("POST", JOB, BODY_LIMIT, BODY_LIMIT - 1),
            id="held",
        ),
        pytest.param(
            800,
            hostile_callers.slow("POST", JOB, BODY_LIMIT, BODY_LIMIT - 100),
            id="slow",
        ),
    ],
)
async def test_an_entry_endures_the_sum_of_bodies_inside_the_limit(
    tmp_path, connections, scripts
):
    async with role_processes.running(tmp_path, with_usual_limit()) as site:
        await endure(site, ENTRY, site.entry_address, connections, scripts)
        first = JOB.format(f"{0:016x}")
        await site.callers.until(410, "GET", first, within=ANSWER_WITHIN_S)


@pytest.mark.parametrize(
    ("connections", "scripts"),
    [
        pytest.param(
            100,
            hostile_callers.announced("GET", "/-/ready", LARGE, LARGE - 1),
            id="held",
        ),
        pytest.param(
            100,
            hostile_callers.chunked("GET", "/-/ready", 2 * LARGE),
            id="chunked",
        ),
        pytest.param(
            2_000,
            hostile_callers.endless_headers("GET", "/-/ready", 27_000),
            id="headers",
        ),
    ],
)
async def test_an_entry_endures_callers_of_its_readiness(
    tmp_path, connections, scripts
):
    async with role_processes.running(tmp_path) as site:
        balancer = standin.Caller([site.readiness_address])
        address = site.readiness_address
        await endure(site, ENTRY, address, connections, scripts)
        await balancer.until(200, "GET", "/-/ready", within=ANSWER_WITHIN_S)
        await balancer.aclose()


@pytest.mark.parametrize(
    ("connections", "scripts"),
    [
        pytest.param(*row[1:], id=row[0])
        for row in [
            (
                "configuration-60",
                60,
                hostile_callers.announced(
                    "PUT", CONFIGURATION, LARGE, LARGE - 1
                ),
            ),
            (
                "configuration-100",
                100,
                hostile_callers.announced(
                    "PUT", CONFIGURATION, LARGE, LARGE - 1
                ),
            ),
            (
                "sent",
                100,
                hostile_callers.announced(
                    "PUT", INSTANCE, 256 * LARGE, 2 * LARGE
                ),
            ),
            (
                "chunked",
                100,
                hostile_callers.chunked("PUT", CONFIGURATION, 2 * LARGE),
            ),
            (
                "unknown-path",
                100,
                hostile_callers.announced("PUT", "/", LARGE, LARGE - 1),
            ),
            (
                "heartbeats",
                1_500,
                hostile_callers.announced(
                    "PUT", INSTANCE, BODY_LIMIT, BODY_LIMIT - 1
                ),
            ),
            (
                "slow",
                1_500,
                hostile_callers.slow(
                    "PUT", INSTANCE, BODY_LIMIT, BODY_LIMIT - 99
                ),
            ),
            (
                "headers",
                4_400,
                hostile_callers.endless_headers("PUT", INSTANCE, 27_000),
            ),
        ]
    ],
)
async def test_a_core_vm_endures_callers(tmp_path, connections, scripts):
    async with role_processes.running(tmp_path) as site:
        address = site.control_address(VM)
        await endure(site, VM, address, connections, scripts)


async def test_a_core_vm_endures_operators_that_read_no_answer(tmp_path):
    scripts = hostile_callers.pipelined("GET", CONFIGURATION, 20)
    document = with_many_accounts(1)
    async with role_processes.running(tmp_path, document) as site:
        address = site.control_address(VM)
        await endure(site, VM, address, 400, scripts)


async def test_a_body_just_inside_the_limit_is_served(tmp_path):
    path = JOB.format(f"{1:016x}")
    async with role_processes.running(tmp_path, with_usual_limit()) as site:
        body = submission(BODY_LIMIT)
        assert len(body) == BODY_LIMIT
        status, _ = await site.callers.send("POST", path, body)
        assert status == 200
        await site.callers.until(200, "GET", path)


@pytest.mark.parametrize(
    ("size", "statuses"),
    [
        pytest.param(LARGEST_HEARTBEAT, (200,), id="inside"),
        pytest.param(LARGE, (400, 413), id="over"),
    ],
)
async def test_a_large_heartbeat_is_answered(tmp_path, size, statuses):
    async with role_processes.running(tmp_path) as site:
        address = site.control_address(VM)
        path = INSTANCE.format("i-1")
        body = heartbeat(size)
        status, _ = await site.operator.send("PUT", path, body, address)
        assert status in statuses


async def test_a_large_configuration_is_acknowledged(tmp_path):
    document = with_many_accounts(2)
    assert len(json.dumps(document)) > 300_000
    async with role_processes.running(tmp_path) as site:
        address = site.control_address(VM)
        call = site.operator.call
        status, _ = await call("PUT", CONFIGURATION, document, address)
        assert status == 200
        status, in_force = await call("GET", CONFIGURATION, None, address)
        assert (status, in_force["version"]) == (200, 2)


async def test_a_burst_of_ordinary_callers_gets_whole_answers(tmp_path):
    statuses = {}

    async def submit(site, number):
        path = JOB.format(f"{number:016x}")
        caller = standin.Caller([site.entry_address])
        statuses[path], _ = await caller.send("POST", path, submission())
        await caller.aclose()

    async with role_processes.running(tmp_path) as site:
        async with trio.open_nursery() as nursery:
            for number in range(200):
                nursery.start_soon(submit, site, number)
        for path, status in statuses.items():
            assert status in (200, 429, 503)
            wanted = 200 if status == 200 else 410
            await site.callers.until(wanted, "GET", path)


async def test_a_caller_that_sends_before_it_reads_sees_its_refusal(tmp_path):
    path = JOB.format(f"{1:016x}")
    async with role_processes.running(tmp_path) as site:
        body = submission(LARGE)
        status, answer = await site.callers.send("POST", path, body)
        assert (status, answer["type"]) == (413, "body-too-large")
        await site.callers.until(410, "GET", path)


async def test_a_caller_that_still_sends_sees_its_refusal(tmp_path):
    path = JOB.format(f"{1:016x}")
    async with role_processes.running(tmp_path) as site:
        with trio.fail_after(ANSWER_WITHIN_S):
            status = await hostile_callers.status_while_sending(
                site.entry_address, path, LARGE, 0.02
            )
        assert status == 413
        await site.callers.until(410, "GET", path)


async def test_probes_are_answered_while_callers_use_all_connections(tmp_path):
    """Calls that have arrived whole wait for a core without a majority."""
    few = ("[limits]", "descriptors = 210")
    async with role_processes.running(tmp_path, sections=few) as site:
        for vm in role_processes.CORE[1:]:
            site.processes[vm].pause()
        balancer = standin.Caller([site.readiness_address])
        crowd = crowds.crowd(site.entry_address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.run, MORE_THAN_ALL)
            statuses = set()
            for _ in range(PROBES):
                await trio.sleep(PROBE_INTERVAL_S)
                status, _ = await balancer.call("GET", "/-/ready")
                statuses.add(status)
            nursery.cancel_scope.cancel()
        await balancer.aclose()
        assert statuses <= {200, 503}


async def test_an_entry_endures_callers_that_send_on_while_calls_wait(tmp_path):
    """Calls that have arrived whole wait for a core without a majority."""
    body = submission(SERVED_BYTES)
    length = f"Content-Length: {len(body)}"
    peaks = []

    def script(number: int) -> hostile_callers.Script:
        call = hostile_callers.head(
            "POST", JOB.format(f"{number:016x}"), length
        )
        return hostile_callers.Script([(call + body) * SENT_ON])

    async def watch(site):
        while True:
            unread_bytes = site.unread_bytes(site.entry_address)
            peaks.append(site.peak_memory_bytes(ENTRY) + unread_bytes)
            await trio.sleep(PROBE_INTERVAL_S)

    async with role_processes.running(tmp_path, with_usual_limit()) as site:
        ordinary = Ordinary(site, ENTRY)
        await ordinary.call()
        for vm in role_processes.CORE[1:]:
            site.processes[vm].pause()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, site)
            async with hostile_callers.holding(
                site.entry_address, ALL_CONNECTIONS, script
            ) as crowd:
                assert crowd.connected
            nursery.cancel_scope.cancel()
        for vm in role_processes.CORE[1:]:
            site.processes[vm].resume()
        await ordinary.call()
        print(f"{max(peaks)=}")
        assert all(process.running for process in site.processes.values())
        assert max(peaks) <= MEMORY_BYTES[ENTRY]


def job_of_many_steps() -> bytes:
    """Returns the body of a job with nearly as many steps as it may have."""
    steps = b",".join([b'{"count":1}'] * STEPS)
    body = b'{"spec":"","steps":[' + steps + b"]}"
    assert len(body) <= BODY_LIMIT
    return body


@pytest.mark.parametrize(
    "vm", [pytest.param(ENTRY, id="entry"), pytest.param(VM, id="core")]
)
async def test_jobs_of_thousands_of_steps_exhaust_no_process(tmp_path, vm):
    """Guards against bodies that grow when they are decoded."""
    body = job_of_many_steps()

    def script(number: int) -> hostile_callers.Script:
        length = f"Content-Length: {len(body)}"
        path = JOB.format(f"{number:016x}")
        return hostile_callers.Script(
            [hostile_callers.head("POST", path, length), body]
        )

    async with role_processes.running(tmp_path, with_usual_limit()) as site:
        await endure(site, vm, site.entry_address, MANY_STEPS_CALLERS, script)


async def test_core_vms_endure_many_accepted_jobs(tmp_path):
    """Guards against jobs that are accepted beyond what a core VM can hold."""
    body = job_of_many_steps()
    async with role_processes.running(tmp_path, with_usual_limit()) as site:
        ordinary = Ordinary(site, ENTRY)
        await ordinary.call()
        for number in range(MANY_STEPS_JOBS):
            path = JOB.format(f"{number:016x}")
            status, _ = await site.callers.send("POST", path, body)
            assert status in (200, 429, 503, 504)
        peaks = [site.peak_memory_bytes(vm) for vm in role_processes.CORE]
        assert all(process.running for process in site.processes.values())
        assert max(peaks) <= MEMORY_BYTES[VM]
        await ordinary.call()

"""Callers that hold or send more than they may, at `laburnumsilld`.

The victim is a daemon of a site on loopback. It has to stay within the memory
of the smallest machine and to answer others.
"""

import contextlib
import itertools
import json
import pathlib
import re
from collections import abc

import pytest

from laburnumsill.platform.tests import hostile_callers
from laburnumsill.testing import cluster
from laburnumsill.testing import job_calls
from laburnumsill.testing import scenario

SITE = cluster.Layout(servers=1, workers=1)
VM = "vm1"

MEMORY_BYTES = 300_000_000
"""Memory of the smallest machine that a daemon is given."""

DESCRIPTORS = 4_096
"""Descriptors of the smallest machine that a daemon is given."""

BODY_LIMIT = 1_048_576
"""Usual limit of the size of a body for a service, in bytes."""

LARGE = 4 * 1024 * 1024
"""Size of the largest body of an operator or a member, in bytes."""

HTTP2_FIELDS = 130
"""Headers of 108 bytes of a call over HTTP/2: 14 KB."""

ANSWER_WITHIN_S = 60.0
"""Time for the repetitions of an ordinary call."""

SERVICE = "/v1/services/booking/run"
CONFIGURATION = "/v1/config"
JOBS = "/v1/jobs"
SERVERS = "/v1/backend-servers"


def announced(method: str, path: str, size: int, sent: int):
    """Announces `size` bytes and sends the first `sent` of them."""

    def script(number: int) -> hostile_callers.Script:
        key = f"Idempotency-Key: hostile-{number}"
        length = f"Content-Length: {size}"
        begin = hostile_callers.head(method, path, key, length)
        pieces = itertools.chain([begin], hostile_callers.body(sent))
        return hostile_callers.Script(pieces)

    return script


def chunked(method: str, path: str, sent: int):
    """Sends chunks of `sent` bytes in all and never the last one."""
    size = len(hostile_callers.PIECE)
    chunk = f"{size:x}\r\n".encode() + hostile_callers.PIECE + b"\r\n"

    def script(number: int) -> hostile_callers.Script:
        key = f"Idempotency-Key: hostile-{number}"
        coding = "Transfer-Encoding: chunked"
        begin = hostile_callers.head(method, path, key, coding)
        chunks = itertools.repeat(chunk, sent // size)
        return hostile_callers.Script(itertools.chain([begin], chunks))

    return script


def http2_calls(path: str, calls: int):
    """Begins calls side by side on one connection, each with large headers."""
    field = b"\x00\x08x-filler\x64" + b"x" * 100
    block = b"\x83\x86\x04" + bytes([len(path)]) + path.encode()
    block += b"\x01\x01h" + field * HTTP2_FIELDS

    def frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
        head = len(payload).to_bytes(3, "big") + bytes([kind, flags])
        return head + stream.to_bytes(4, "big") + payload

    settings = frame(4, 0, 0, b"")
    begin = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + settings
    heads = [frame(1, 4, 2 * number + 1, block) for number in range(calls)]

    def script(number: int) -> hostile_callers.Script:
        return hostile_callers.Script([begin, *heads])

    return script


async def ordinary_calls(site: cluster.Cluster, name: str) -> None:
    """Repeats a request and the submission of a job until both are served."""

    async def served() -> bool:
        answer = await scenario.request(site, VM, "confirm", name)
        return answer.outcome == "answered"

    async def accepted() -> bool:
        answer = await job_calls.submit(site, VM, name, 1, 1, 0.1)
        assert answer.status in (200, 201, 429, 503, 504), answer.body
        return answer.status < 300

    await site.until(served, "a request is answered", ANSWER_WITHIN_S)
    await site.until(accepted, "a job is accepted", ANSWER_WITHIN_S)
    assert (await scenario.runs(site))[name] == 1


def peak_memory_bytes(pid: int) -> int:
    """Returns the largest resident memory that a process has had."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmHWM:\s*(\d+) kB", text)
    assert found is not None
    return int(found[1]) * 1024


def open_descriptors(pid: int) -> int:
    """Returns the number of open file descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


@pytest.mark.parametrize(
    ("connections", "scripts"),
    [
        pytest.param(*row[1:], id=row[0])
        for row in [
            ("service-held", 100, announced("POST", SERVICE, LARGE, LARGE - 1)),
            ("service-chunked", 100, chunked("POST", SERVICE, 2 * LARGE)),
            (
                "service-inside",
                300,
                announced("POST", SERVICE, BODY_LIMIT, BODY_LIMIT - 1),
            ),
            (
                "configuration-held",
                100,
                announced("PUT", CONFIGURATION, LARGE, LARGE - 1),
            ),
            (
                "configuration-chunked",
                100,
                chunked("PUT", CONFIGURATION, 2 * LARGE),
            ),
            (
                "configuration-sent",
                100,
                announced("PUT", CONFIGURATION, 256 * LARGE, 2 * LARGE),
            ),
            ("jobs-held", 100, announced("POST", JOBS, LARGE, LARGE - 1)),
            ("http2", 200, http2_calls(JOBS, 100)),
            ("members-held", 100, announced("POST", SERVERS, LARGE, LARGE - 1)),
            (
                "headers",
                4_400,
                hostile_callers.endless_headers("POST", SERVICE, 27_000),
            ),
        ]
    ],
)
async def test_a_daemon_endures_callers(tmp_path, connections, scripts):
    await endure(tmp_path, [(connections, scripts)])


async def test_a_daemon_endures_callers_of_all_kinds_at_once(tmp_path):
    """Guards against limits whose sum is over the memory of a machine."""
    crowds = [
        (300, announced("POST", SERVICE, BODY_LIMIT, BODY_LIMIT - 1)),
        (100, announced("POST", JOBS, LARGE, LARGE - 1)),
        (4_000, hostile_callers.endless_headers("POST", SERVICE, 27_000)),
    ]
    await endure(tmp_path, crowds)


async def endure(
    tmp_path: pathlib.Path,
    crowds: abc.Sequence[tuple[int, hostile_callers.Scripts]],
) -> None:
    """Lets crowds hold their connections and checks the victim meanwhile."""
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        await ordinary_calls(site, "before")
        address = site.address(VM)
        pid = site.process(VM).pid
        before_bytes = peak_memory_bytes(pid)
        async with contextlib.AsyncExitStack() as stack:
            holding = [
                await stack.enter_async_context(
                    hostile_callers.holding(address, connections, scripts)
                )
                for connections, scripts in crowds
            ]
            descriptors = open_descriptors(pid)
            await ordinary_calls(site, "meanwhile")
            assert all(crowd.connected for crowd in holding)
        await ordinary_calls(site, "afterwards")
        peak_bytes = peak_memory_bytes(pid)
        print(f"{before_bytes=} {peak_bytes=} {descriptors=}")
        assert all(site.process(vm_id).running for vm_id in site.vm_ids)
        assert peak_bytes <= MEMORY_BYTES
        assert descriptors <= DESCRIPTORS


async def test_operators_that_send_before_they_read_see_their_refusals(
    tmp_path,
):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        for _ in range(20):
            answer = await site.client(VM).send(
                "PUT", CONFIGURATION, b" " * (LARGE + 65_536)
            )
            assert answer.status == 413, answer.body


async def test_a_configuration_just_inside_the_limit_is_accepted(tmp_path):
    async with cluster.running(tmp_path, SITE) as site:
        await scenario.start_site(site)
        domains = {site.domain_of(vm_id) for vm_id in site.vm_ids}
        push = {
            "expected_version": 1,
            "configuration": scenario.configuration(domains),
            "operator": "test",
        }
        body = json.dumps(push).encode().ljust(LARGE)
        assert len(body) == LARGE
        answer = await site.client(VM).send("PUT", CONFIGURATION, body)
        assert answer.status == 200, answer.body

import contextlib

import loguru
import pytest
import trio

from laburnumsill.core import errors
from laburnumsill.core import metrics
from laburnumsill.testing import proxy as proxies
from laburnumsill.wire import failures
from laburnumsill.wire import frames
from laburnumsill.wire import network
from laburnumsill.wire.generated.peer import ttypes
from laburnumsill.wire.tests import cluster

REPLACED_WITHIN_S = 1.2
"""Well below the 3 s after which a VM counts as connected again."""

REACHED_AGAIN_WITHIN_S = 0.6
"""Time from the end of a cut: the maximum backoff and some margin."""


async def test_concurrent_calls_in_both_directions_get_their_own_replies():
    async with cluster.running("a", "b") as (a, b):
        answers = {}

        async def ask(source, target, number):
            request = cluster.Echo(number, 0.002 * (20 - number))
            key = (target, number)
            answers[key] = await source.call(
                target, request, cluster.deadline_after()
            )

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(ask, a, "b", number)
                nursery.start_soon(ask, b, "a", number)
        assert len(answers) == 40
        assert all(key[1] == echo.number for key, echo in answers.items())


async def test_call_of_a_vm_to_itself_runs_the_handler():
    async with cluster.running("a") as (a,):
        request = cluster.Echo(1)
        assert await a.call("a", request, cluster.deadline_after()) is request
        with pytest.raises(errors.OutcomeUnknownError):
            await a.call("a", cluster.Echo(1, 5), cluster.deadline_after(0.05))


async def test_late_reply_to_a_call_that_timed_out_is_dropped():
    async with cluster.running("a", "b") as (a, _):
        with pytest.raises(errors.OutcomeUnknownError):
            await a.call(
                "b", cluster.Echo(1, 0.15), cluster.deadline_after(0.05)
            )
        answer = await a.call(
            "b", cluster.Echo(2, 0.2), cluster.deadline_after()
        )
        assert answer.number == 2
        assert a.traffic.late_replies == 1


async def test_errors_of_handlers_keep_their_type():
    async with cluster.running("a", "b") as (a, b):

        async def refuse(request):
            if request.number == 1:
                raise errors.KeyReusedError("key k", key="k")
            if request.number == 2:
                raise errors.ConflictError("odd", odd=object())
            raise RuntimeError("broken")

        b.on_call(cluster.Echo, refuse)
        with pytest.raises(errors.KeyReusedError) as caught:
            await a.call("b", cluster.Echo(1), cluster.deadline_after())
        assert caught.value.context == {"key": "k"}
        with pytest.raises(errors.ConflictError):
            await a.call("b", cluster.Echo(2), cluster.deadline_after())
        with pytest.raises(errors.LaburnumsillError) as caught:
            await a.call("b", cluster.Echo(3), cluster.deadline_after())
        assert type(caught.value) is errors.LaburnumsillError
        b.on_call(cluster.Echo, cluster.echo)
        assert await a.call("b", cluster.Echo(4), cluster.deadline_after())


async def test_call_without_a_connection_is_unreachable_and_not_sent():
    addresses = {"a": "127.0.0.1:1", "b": "127.0.0.1:1"}
    a = cluster.make("a", addresses)
    async with trio.open_nursery() as nursery:
        await nursery.start(a.run)
        started = cluster.CLOCK.monotonic()
        with pytest.raises(errors.PeerUnreachableError):
            await a.call("b", cluster.Echo(1), cluster.deadline_after())
        assert 0.25 < cluster.CLOCK.monotonic() - started < 2
        with pytest.raises(errors.PeerUnreachableError):
            await a.call("unknown", cluster.Echo(1), cluster.deadline_after())
        a.notify("b", cluster.Echo(1))
        a.send_raft("b", [ttypes.RaftMessage()])
        assert a.reachable() == {"a"}
        nursery.cancel_scope.cancel()


async def test_notices_and_raft_messages_arrive_in_order():
    async with cluster.running("a", "b") as (a, b):
        notices, raft = [], []

        def take(notice):
            notices.append(notice.number)
            raise RuntimeError("harmless")

        b.on_notice(cluster.Echo, take)
        b.on_raft(lambda messages: raft.extend(m.index for m in messages))
        for number in range(100):
            a.notify("b", cluster.Echo(number))
            message = ttypes.RaftMessage(
                1, "root", "a", "i", "b", "j", 1, index=number
            )
            a.send_raft("b", [message])
        await cluster.until(lambda: len(notices) == len(raft) == 100, 5)
        assert notices == raft == list(range(100))
        assert a.traffic.sent_frames < 20


async def test_restarted_peer_is_connected_again():
    addresses = {"a": "127.0.0.1:1", "b": "127.0.0.1:1"}
    a, b = cluster.make("a", addresses), cluster.make("b", addresses)
    async with trio.open_nursery() as nursery:
        with trio.CancelScope() as first_scope:
            async with trio.open_nursery() as first:
                await first.start(b.run)
                addresses["b"] = b.listening_address
                await nursery.start(a.run)
                await cluster.until(lambda: "b" in a.reachable(), 5)

                async def cut():
                    await trio.sleep(0.1)
                    first_scope.cancel()

                first.start_soon(cut)
                with pytest.raises(errors.OutcomeUnknownError):
                    await a.call(
                        "b", cluster.Echo(1, 3), cluster.deadline_after()
                    )
        await cluster.until(lambda: "b" not in a.reachable(), 5)
        restarted = cluster.make("b", addresses, addresses["b"])
        await nursery.start(restarted.run)
        await cluster.until(lambda: "b" in a.reachable(), 5)
        assert await a.call("b", cluster.Echo(2), cluster.deadline_after())
        nursery.cancel_scope.cancel()


async def test_address_in_use_has_its_own_error():
    async with cluster.running("a") as (a,):
        other = cluster.make("a", {}, a.listening_address)
        with pytest.raises(failures.AddressInUseError):
            await other.run()
    with pytest.raises(errors.InvalidConfigurationError):
        cluster.make("a", {}, "127.0.0.1")


async def raw_connection(target, vm_id):
    host, _, port = target.listening_address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    hello = ttypes.Frame(hello=ttypes.Hello(vm_id, 1))
    await stream.send_all(frames.encode(hello))
    return stream


@pytest.mark.parametrize(
    "raw",
    [
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x05garbage that is no frame",
        b"\x00\x00\x00\x03\x00\x00\x00",
        b"GET / HTTP/1.1\r\n\r\n",
        frames.encode(ttypes.Frame(calls=[ttypes.Call(1)])),
    ],
)
async def test_malformed_frame_closes_only_its_connection(raw):
    async with cluster.running("b", "c") as (b, c):
        addresses = {"a": "127.0.0.1:1", "d": c.listening_address}
        d = cluster.make("d", addresses)
        async with trio.open_nursery() as nursery:
            await nursery.start(d.run)
            stream = await raw_connection(d, "a")
            await cluster.until(lambda: "a" in d.reachable(), 5)
            lines = []
            sink = loguru.logger.add(lines.append, level="WARNING")
            await stream.send_all(raw)
            await cluster.until(lambda: "a" not in d.reachable(), 1)
            await cluster.until(lambda: bool(lines), 1)
            loguru.logger.remove(sink)
            assert len(lines) == 1 and "event=peer-lost" in lines[0]
            again = await raw_connection(d, "a")
            await cluster.until(lambda: "a" in d.reachable(), 5)
            await again.aclose()
            nursery.cancel_scope.cancel()
        assert await b.call("c", cluster.Echo(1), cluster.deadline_after())


@pytest.mark.parametrize("vm_id", ["z", "x", "stranger"])
async def test_wrong_dialer_is_refused(vm_id):
    d = cluster.make("d", {"x": "127.0.0.1:1", "a": "127.0.0.1:1"})
    async with trio.open_nursery() as nursery:
        await nursery.start(d.run)
        stream = await raw_connection(d, vm_id)
        with trio.fail_after(5):
            assert await stream.receive_some(100) == b""
        assert d.reachable() == {"d"}
        nursery.cancel_scope.cancel()


async def test_silent_peer_is_disconnected_within_one_and_a_half_seconds():
    d = cluster.make("d", {"a": "127.0.0.1:1"})
    async with trio.open_nursery() as nursery:
        await nursery.start(d.run)
        stream = await raw_connection(d, "a")
        await cluster.until(lambda: "a" in d.reachable(), 5)
        took = await cluster.until(lambda: "a" not in d.reachable(), 5)
        assert took < 1.5
        with pytest.raises(errors.PeerUnreachableError):
            await d.call("a", cluster.Echo(1), cluster.deadline_after(0.1))
        with trio.fail_after(5):
            while await stream.receive_some(1000):
                pass
        await stream.aclose()
        nursery.cancel_scope.cancel()


async def test_idle_connection_stays_open_with_few_bytes():
    async with cluster.running("a", "b") as (a, b):
        before = a.traffic
        await trio.sleep(2.2)
        after = a.traffic
        assert a.reachable() == b.reachable() == {"a", "b"}
        assert after.sent_frames - before.sent_frames <= 9
        assert after.sent_bytes - before.sent_bytes <= 45


async def test_large_call_succeeds_and_an_oversized_one_is_refused():
    async with cluster.running("a", "b") as (a, b):
        large = cluster.Echo(1, 0, "x" * 8_000_000)
        assert await a.call("b", large, cluster.deadline_after(30)) == large
        oversized = cluster.Echo(1, 0, "x" * frames.MAX_FRAME_BYTES)
        with pytest.raises(failures.FrameTooLargeError):
            await a.call("b", oversized, cluster.deadline_after())

        async def grow(request):
            return oversized

        b.on_call(cluster.Echo, grow)
        with pytest.raises(failures.FrameTooLargeError):
            await a.call("b", cluster.Echo(2), cluster.deadline_after())
        assert "b" in a.reachable()


def test_malformed_address_is_refused_at_construction():
    with pytest.raises(errors.InvalidConfigurationError):
        network.PeerNetwork(
            cluster.vm("a"), {"b": "nowhere"}, cluster.CLOCK, metrics.Metrics()
        )


async def test_frozen_peer_is_disconnected_and_connected_again():
    async with cluster.behind_proxy() as (a, b, proxy):
        proxy.set_fault("b", proxies.Fault(proxies.Mode.DROP))
        outcomes = []

        async def ask():
            with pytest.raises(errors.OutcomeUnknownError):
                await a.call("b", cluster.Echo(1), cluster.deadline_after(30))
            outcomes.append("unknown")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            took_s = await cluster.until(
                lambda: a.reachable() == {"a"} and b.reachable() == {"b"}, 5
            )
            with pytest.raises(errors.PeerUnreachableError):
                await a.call("b", cluster.Echo(2), cluster.deadline_after())
        assert took_s < 1.5
        assert outcomes == ["unknown"]
        proxy.heal("b")
        await cluster.until(lambda: "b" in a.reachable(), 5)
        assert await a.call("b", cluster.Echo(3), cluster.deadline_after())


async def test_silent_connection_is_replaced_within_its_limit():
    """Covers connections that are silent in one or in both directions."""
    async with cluster.behind_proxy() as (a, b, proxy):
        for direction in proxies.Direction:
            await trio.sleep(network.BACKOFF_RESET_S + 0.1)
            proxy.silence("b", direction)
            silent_at = cluster.CLOCK.monotonic()
            await _until_answered(a, "b")
            await _until_answered(b, "a")
            took_s = cluster.CLOCK.monotonic() - silent_at
            print("replaced", direction, took_s)
            assert took_s < REPLACED_WITHIN_S


async def test_peer_is_dialed_within_its_limit_after_a_long_cut():
    """The limit holds although the backoff has reached its maximum."""
    async with cluster.behind_proxy() as (a, _, proxy):
        for cut_s in (4.0, 4.3, 4.6, 4.9):
            await trio.sleep(network.BACKOFF_RESET_S + 0.1)
            proxy.set_fault("b", proxies.Fault(proxies.Mode.DROP))
            await trio.sleep(cut_s)
            proxy.heal("b")
            healed_at = cluster.CLOCK.monotonic()
            await _until_answered(a, "b")
            took_s = cluster.CLOCK.monotonic() - healed_at
            print("dialed again", cut_s, took_s)
            assert took_s < REACHED_AGAIN_WITHIN_S


async def _until_answered(source, target):
    with trio.fail_after(10):
        while True:
            with contextlib.suppress(errors.LaburnumsillError):
                await source.call(
                    target, cluster.Echo(1), cluster.deadline_after(0.1)
                )
                return
            await trio.sleep(0.01)


@pytest.mark.parametrize("mode", [proxies.Mode.CUT, proxies.Mode.RESET])
async def test_connection_lost_during_a_call_leaves_the_outcome_unknown(mode):
    async with cluster.behind_proxy() as (a, b, proxy):
        runs = []

        async def run(request):
            runs.append(request.number)
            proxy.set_fault("b", proxies.Fault(mode))

        b.on_call(cluster.Echo, run)
        with pytest.raises(errors.OutcomeUnknownError):
            await a.call("b", cluster.Echo(1), cluster.deadline_after())
        with pytest.raises(errors.PeerUnreachableError):
            await a.call("b", cluster.Echo(2), cluster.deadline_after())
        proxy.heal("b")
        b.on_call(cluster.Echo, cluster.echo)
        await cluster.until(lambda: "b" in a.reachable(), 5)
        assert await a.call("b", cluster.Echo(3), cluster.deadline_after())
        assert runs == [1]


async def test_reply_of_an_old_connection_never_answers_a_new_call():
    async with cluster.behind_proxy() as (a, b, proxy):
        started, release = trio.Event(), trio.Event()

        async def wait(request):
            if request.number == 1:
                started.set()
                await release.wait()
            else:
                release.set()
                await trio.sleep(0.1)
            return request

        b.on_call(cluster.Echo, wait)

        async def ask():
            with pytest.raises(errors.OutcomeUnknownError):
                await a.call("b", cluster.Echo(1), cluster.deadline_after())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await started.wait()
            proxy.set_fault("b", proxies.Fault(proxies.Mode.RESET))
        proxy.heal("b")
        await cluster.until(lambda: "b" in a.reachable(), 5)
        answer = await a.call("b", cluster.Echo(2), cluster.deadline_after())
        assert answer.number == 2
        assert a.traffic.late_replies == 0


async def test_truncated_reply_leaves_the_outcome_unknown():
    async with cluster.behind_proxy() as (a, _, proxy):
        fault = proxies.Fault(cut_after_bytes=5_000)
        proxy.set_fault("b", fault, proxies.Direction.FROM_TARGET)
        with pytest.raises(errors.OutcomeUnknownError):
            request = cluster.Echo(1, 0, "x" * 10_000)
            await a.call("b", request, cluster.deadline_after())


async def test_slow_transfer_does_not_time_out_as_silent():
    async with cluster.behind_proxy() as (a, _, proxy):
        proxy.set_fault("b", proxies.Fault(bytes_per_s=200_000))
        bulk = cluster.Echo(1, 0, "x" * 400_000)
        assert await a.call("b", bulk, cluster.deadline_after(30)) == bulk
        assert a.reachable() == {"a", "b"}

import contextlib
import itertools
import pathlib
import socket
import struct
import subprocess
import sys
import threading
import time

import pytest
import trio

from laburnumsill.core import errors
from laburnumsill.testing import proxy as proxies
from laburnumsill.testing import proxy_control

HIDDEN_S = 0.2


@contextlib.asynccontextmanager
async def echo_link():
    """Runs an echo server behind the link "a"; yields proxy and address."""

    async def echo(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            async for chunk in stream:
                await stream.send_all(chunk)
            await stream.send_eof()

    async with trio.open_nursery() as nursery, proxies.running() as proxy:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, echo, listeners)
        port = listeners[0].socket.getsockname()[1]
        proxy.add_link("a", "127.0.0.1:0", f"127.0.0.1:{port}")
        yield proxy, proxy.status("a").listen
        nursery.cancel_scope.cancel()


async def connect(address):
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def receive(stream, size):
    """Receives up to `size` bytes, fewer if the stream ends."""
    raw = b""
    with trio.fail_after(5):
        while len(raw) < size:
            chunk = await stream.receive_some(size - len(raw))
            if not chunk:
                break
            raw += chunk
    return raw


async def ask(stream, raw):
    await stream.send_all(raw)
    return await receive(stream, len(raw))


async def is_silent(stream):
    with trio.move_on_after(HIDDEN_S):
        await stream.receive_some(1)
        return False
    return True


async def test_bytes_pass_unharmed_and_are_counted():
    async with echo_link() as (proxy, address):
        stream = await connect(address)
        raw = bytes(range(256)) * 4096
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, raw)
            assert await receive(stream, len(raw)) == raw
        status = proxy.status("a")
        assert status.to_target_bytes == status.from_target_bytes == len(raw)
        assert (status.connections, status.open) == (1, 1)
        await stream.send_eof()
        assert await receive(stream, 1) == b""


async def test_cut_closes_and_refuses_until_healed():
    async with echo_link() as (proxy, address):
        stream = await connect(address)
        assert await ask(stream, b"one") == b"one"
        for _ in range(3):
            proxy.set_fault("a", proxies.Fault(proxies.Mode.CUT))
            assert await receive(stream, 1) == b""
            with pytest.raises(OSError):
                await connect(address)
            proxy.heal("a")
            stream = await connect(address)
            assert await ask(stream, b"two") == b"two"


async def test_reset_resets_old_and_new_connections():
    async with echo_link() as (proxy, address):
        stream = await connect(address)
        assert await ask(stream, b"one") == b"one"
        proxy.set_fault("a", proxies.Fault(proxies.Mode.RESET))
        with pytest.raises(trio.BrokenResourceError):
            await receive(stream, 1)
        with pytest.raises((trio.BrokenResourceError, OSError)):
            await ask(await connect(address), b"two")
        proxy.heal("a")
        assert await ask(await connect(address), b"two") == b"two"


@pytest.mark.parametrize("direction", list(proxies.Direction))
async def test_drop_swallows_silently_and_healing_resets(direction):
    async with echo_link() as (proxy, address):
        old = await connect(address)
        assert await ask(old, b"one") == b"one"
        proxy.set_fault("a", proxies.Fault(proxies.Mode.DROP), direction)
        new = await connect(address)
        for stream in (old, new):
            await stream.send_all(b"lost")
            assert await is_silent(stream)
        delivered = proxy.status("a").to_target_bytes
        one_way = direction is proxies.Direction.FROM_TARGET
        assert delivered == (11 if one_way else 3)
        proxy.heal("a")
        for stream in (old, new):
            with pytest.raises(trio.BrokenResourceError):
                await receive(stream, 1)
        assert await ask(await connect(address), b"two") == b"two"


async def test_drop_hides_the_end_of_a_connection():
    async with echo_link() as (proxy, address):
        stream = await connect(address)
        assert await ask(stream, b"one") == b"one"
        proxy.set_fault("a", proxies.Fault(proxies.Mode.DROP))
        await stream.aclose()
        await trio.sleep(HIDDEN_S)
        assert proxy.status("a").open == 1


@pytest.mark.parametrize("direction", list(proxies.Direction))
async def test_silence_concerns_present_connections_for_good(direction):
    async with echo_link() as (proxy, address):
        old = await connect(address)
        assert await ask(old, b"one") == b"one"
        proxy.silence("a", direction)
        new = await connect(address)
        for number in (b"2", b"3"):
            await old.send_all(b"lost")
            assert await is_silent(old)
            assert await ask(new, number) == number
            proxy.heal("a")
        delivered = proxy.status("a").to_target_bytes
        one_way = direction is proxies.Direction.FROM_TARGET
        assert delivered == (13 if one_way else 5)


async def test_a_silenced_connection_ends_when_both_ends_have_left_it():
    async with proxies.running() as proxy:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        proxy.add_link("a", "127.0.0.1:0", f"127.0.0.1:{port}")
        near = await connect(proxy.status("a").listen)
        far = await listeners[0].accept()
        proxy.silence("a")
        await near.aclose()
        assert await is_silent(far)
        assert proxy.status("a").open == 1
        await far.aclose()
        with trio.fail_after(5):
            while proxy.status("a").open:  # noqa: ASYNC110
                await trio.sleep(0.01)


async def test_hold_keeps_bytes_back_until_healed():
    async with echo_link() as (proxy, address):
        old = await connect(address)
        proxy.set_fault("a", proxies.Fault(proxies.Mode.HOLD))
        new = await connect(address)
        for stream in (old, new):
            await stream.send_all(b"kept")
            assert await is_silent(stream)
        proxy.heal("a")
        assert [await receive(each, 4) for each in (old, new)] == [b"kept"] * 2


@pytest.mark.parametrize("reset", [False, True])
async def test_held_bytes_are_lost_where_their_sender_resets(reset):
    async with echo_link() as (proxy, address):
        stream = await connect(address)
        assert await ask(stream, b"one") == b"one"
        proxy.set_fault("a", proxies.Fault(proxies.Mode.HOLD))
        await stream.send_all(b"held")
        if reset:
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await trio.sleep(HIDDEN_S)
        await stream.aclose()
        await trio.sleep(HIDDEN_S)
        proxy.heal("a")
        await trio.sleep(HIDDEN_S)
        delivered = proxy.status("a").to_target_bytes
        assert delivered == (3 if reset else 7)


async def test_delay_is_added_in_one_direction_and_keeps_order():
    async with echo_link() as (proxy, address):
        stream = await connect(address)
        proxy.set_fault(
            "a",
            proxies.Fault(delay_s=0.1, jitter_s=0.05),
            proxies.Direction.TO_TARGET,
        )
        started = trio.current_time()
        for number in range(20):
            await stream.send_all(bytes([number]))
            await trio.sleep(0.001)
        assert await receive(stream, 20) == bytes(range(20))
        assert trio.current_time() - started >= 0.1


async def test_bandwidth_is_limited():
    async with echo_link() as (proxy, address):
        stream = await connect(address)
        fault = proxies.Fault(bytes_per_s=100_000)
        proxy.set_fault("a", fault, proxies.Direction.FROM_TARGET)
        started = trio.current_time()
        assert await ask(stream, b"x" * 30_000) == b"x" * 30_000
        assert 0.29 < trio.current_time() - started < 3


async def test_cut_after_bytes_concerns_present_connections():
    async with echo_link() as (proxy, address):
        old = await connect(address)
        assert await ask(old, b"one") == b"one"
        fault = proxies.Fault(cut_after_bytes=4)
        proxy.set_fault("a", fault, proxies.Direction.FROM_TARGET)
        assert await ask(old, b"0123456789") == b"0123"
        new = await connect(address)
        assert await ask(new, b"0123456789") == b"0123456789"


async def test_target_that_refuses_resets_the_client():
    async with proxies.running() as proxy:
        proxy.add_link("a", "127.0.0.1:0", "127.0.0.1:1")
        stream = await connect(proxy.status("a").listen)
        with pytest.raises(trio.BrokenResourceError):
            await receive(stream, 1)
        with pytest.raises(errors.NotFoundError):
            proxy.heal("b")
        with pytest.raises(proxies.ProxyError):
            proxy.add_link("b", proxy.status("a").listen, "127.0.0.1:1")


async def test_own_process_is_controlled_from_outside(tmp_path: pathlib.Path):
    links = tmp_path / "links.toml"
    links.write_text(
        '[links.a]\nlisten = "127.0.0.1:0"\ntarget = "127.0.0.1:1"\n'
    )
    command = [sys.executable, "-m", "laburnumsill.testing.proxy_control"]
    command += ["--control", "127.0.0.1:0", "--links", str(links)]
    process = await trio.to_thread.run_sync(
        lambda: subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    )
    try:
        lines = await trio.to_thread.run_sync(
            lambda: list(itertools.islice(process.stderr, 1))
        )
        address = lines[0].partition("control=")[2].split()[0]
        control = proxy_control.ProxyControl(address)
        assert list(await control.links()) == ["a"]
        # Where nobody listened, the link would reset what connects to it,
        # at times before `connect` has returned.
        target = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = target.socket.getsockname()[1]
        added = await control.add_link("b", "127.0.0.1:0", f"127.0.0.1:{port}")
        await control.set_fault("b", proxies.Fault(proxies.Mode.CUT, 0.1))
        with pytest.raises(OSError):
            await connect(added.listen)
        await control.heal("b")
        await connect(added.listen)
        assert (await control.links())["b"].connections == 1
        with pytest.raises(proxies.ProxyError, match="not-found"):
            await control.heal("c")
        await control.aclose()
        await target.aclose()
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def _send_stamps(address, stop):
    """Sends a time stamp every few milliseconds from a thread."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as plain:
        while not stop.is_set():
            plain.sendall(struct.pack("d", time.monotonic()))
            time.sleep(0.004)


def _longest_transit_s(connection):
    """Returns the longest age of a time stamp at its arrival, until EOF."""
    longest, raw = 0.0, b""
    while chunk := connection.recv(65_536):
        raw += chunk
        whole = len(raw) // 8 * 8
        for (sent_at,) in struct.iter_unpack("d", raw[:whole]):
            longest = max(longest, time.monotonic() - sent_at)
        raw = raw[whole:]
    return longest


def _block_loop(seconds):
    time.sleep(seconds)


async def test_a_slow_loop_lets_no_queue_build_up():
    # Once a few frames were queued, they delayed all later ones by seconds.
    turn_s, turns = 0.02, 150
    stop = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as server:
        async with proxies.running() as proxy, trio.open_nursery() as nursery:
            host, port = server.getsockname()
            proxy.add_link("a", "127.0.0.1:0", f"{host}:{port}")
            address = proxy.status("a").listen
            nursery.start_soon(
                trio.to_thread.run_sync, _send_stamps, address, stop
            )
            connection, _ = await trio.to_thread.run_sync(server.accept)
            results = []

            async def measure():
                results.append(
                    await trio.to_thread.run_sync(
                        _longest_transit_s, connection
                    )
                )

            nursery.start_soon(measure)
            for _ in range(turns):
                _block_loop(turn_s)
                await trio.lowlevel.checkpoint()
            stop.set()
        connection.close()
    assert results[0] < 15 * turn_s

"""Errors of both HTTP servers when they listen on an address."""

import socket

import pytest
import trio

from laburnumsill.daemon import light_server
from laburnumsill.daemon import listening
from laburnumsill.daemon import server

BOTH = pytest.mark.parametrize("server", [server, light_server])


async def unused_application(scope, receive, send):
    raise AssertionError("no request was sent")


@BOTH
async def test_an_address_in_use_is_a_typed_error(server):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        with pytest.raises(listening.AddressTakenError, match=address):
            await server.serve(
                unused_application, address, trio.sleep_forever, 0.1
            )


@BOTH
@pytest.mark.parametrize("address", ["127.0.0.1:http", "127.0.0.1"])
async def test_an_invalid_address_is_a_typed_error(server, address):
    with pytest.raises(listening.ListenError, match=address):
        await server.serve(unused_application, address, trio.sleep_forever, 0.1)

import socket

import pytest
import trio

from laburnumsill.daemon import server


async def nothing(scope, receive, send):
    raise AssertionError("nobody calls")


async def test_an_address_in_use_is_a_typed_error():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        with pytest.raises(server.AddressTakenError, match=address):
            await server.serve(nothing, address, trio.sleep_forever, 0.1)


@pytest.mark.parametrize("address", ["127.0.0.1:http", "127.0.0.1"])
async def test_an_address_that_makes_no_sense_is_a_typed_error(address):
    with pytest.raises(server.ListenError, match=address):
        await server.serve(nothing, address, trio.sleep_forever, 0.1)

"""The baseline: a bare hypercorn application that forwards with httpcore."""

import argparse
import typing

import httpcore
import hypercorn.config
import hypercorn.trio
import trio


class BareForwarder:
    """Forwards each exchange whole to one address and decides nothing."""

    def __init__(self, target: str) -> None:
        self._target = f"http://{target}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=64, max_keepalive_connections=64
        )

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Handles one ASGI scope."""
        if scope["type"] != "http":
            await _lifespan(receive, send)
            return
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        answer = await self._pool.request(
            scope["method"],
            self._target + scope["raw_path"].decode(),
            headers=scope["headers"],
            content=body,
        )
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": answer.headers,
            }
        )
        await send({"type": "http.response.body", "body": answer.content})


async def _lifespan(receive: typing.Any, send: typing.Any) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def main() -> None:
    """Runs the forwarder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--target", required=True)
    arguments = parser.parse_args()
    config = hypercorn.config.Config()
    config.bind = [arguments.listen]
    config.errorlog = None
    trio.run(hypercorn.trio.serve, BareForwarder(arguments.target), config)


if __name__ == "__main__":
    main()

"""A TCP link between two processes that can be cut."""

import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CHUNK_BYTES = 65_536


class Link:
    """Passes connections on to a target, or resets them while it is cut.

    Args:
        listen: The address to listen on, `host:port`.
        target: The address to which connections are passed on.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen."""
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._pass, host, int(port))

    async def cut(self) -> None:
        """Resets all connections, and new ones until `heal`."""
        self._is_cut = True
        for writer in list(self._writers):
            _reset(writer)

    def heal(self) -> None:
        """Ends a cut."""
        self._is_cut = False

    async def close(self) -> None:
        """Ends the link."""
        if self._server is not None:
            self._server.close()
        await self.cut()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut:
            _reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                _copy(reader, far_writer), _copy(far_reader, writer)
            )
        except asyncio.CancelledError:
            return  # the script ends
        finally:
            self._writers -= {writer, far_writer}


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    writer.transport.abort()

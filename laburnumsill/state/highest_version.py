"""The configuration document whose version is the highest seen.

For sites whose operators number their configurations themselves: a higher
version replaces the one held, a lower one is acknowledged and has no effect,
the one held may be sent again, and other content under its number is refused.

Documents are kept and sent compressed: a tenth of their size, for the log, the
disk, the snapshots and the links of the small VMs. These take one in parts, so
that no part takes long on a slow link.
"""

import zlib

import msgspec

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

PART_BYTES = 16 * 1024
"""Most compressed bytes in one answer: 0.07 s on a link of 2 Mbit/s, the
slowest of the users' VMs, where an answer is waited for 0.3 s."""

NO_VERSION = -1
"""The version of a document before the first one."""


class VersionTakenError(errors.ConflictError):
    """Another document holds this version."""

    slug = "version-taken"
    title = "Another configuration has this version"


def pack(document: bytes) -> bytes:
    """Returns a document compressed."""
    return zlib.compress(document)


def unpack(packed: bytes) -> bytes:
    """Returns the document that was compressed.

    Examples:
        >>> unpack(pack(b"a = 1"))
        b'a = 1'
    """
    return zlib.decompress(packed)


@codec.register("highest-version.put")
class PutDocument(msgspec.Struct, frozen=True):
    """Puts a document, compressed, in force if its version is the highest."""

    version: int
    packed: bytes


@codec.register("highest-version.put-answer")
class PutAnswer(msgspec.Struct, frozen=True):
    """The version that is in force after a put."""

    version_in_force: int


@codec.register("highest-version.query")
class DocumentQuery(msgspec.Struct, frozen=True):
    """Asks for the whole document in force."""


@codec.register("highest-version.document")
class Document(msgspec.Struct, frozen=True):
    """The document in force.

    Attributes:
        version: Its version, `NO_VERSION` before the first one.
        packed: It, compressed; empty before the first one.
    """

    version: int = NO_VERSION
    packed: bytes = b""


@codec.register("highest-version.part-query")
class PartQuery(msgspec.Struct, frozen=True):
    """Asks for the next part of the document in force.

    Attributes:
        known_version: The version that the asker has whole.
        begun_version: A newer version of which it has the beginning.
        begun_bytes: So many compressed bytes of it.
    """

    known_version: int = NO_VERSION
    begun_version: int = NO_VERSION
    begun_bytes: int = 0


@codec.register("highest-version.part")
class Part(msgspec.Struct, frozen=True):
    """A part of the document in force.

    Attributes:
        version: Of the document in force.
        size: Of the whole document, compressed, in bytes.
        offset: Where the part begins.
        packed: The part; empty if the asker has the document whole.
    """

    version: int
    size: int = 0
    offset: int = 0
    packed: bytes = b""


class HighestVersion(replication.Component):
    """Holds one document.

    Examples:
        >>> held = HighestVersion()
        >>> held.put(PutDocument(7, pack(b"a"))).version_in_force
        7
        >>> held.put(PutDocument(5, pack(b"b"))).version_in_force
        7
        >>> held.part(PartQuery(known_version=5)).offset
        0
        >>> held.part(PartQuery(known_version=7)).packed
        b''
    """

    name = "highest-version"

    def __init__(self) -> None:
        self._held = Document()

    @property
    def held(self) -> Document:
        """The document in force."""
        return self._held

    def put(self, command: PutDocument) -> PutAnswer:
        """Takes a document, see the module.

        Raises:
            VersionTakenError: The version held has other content.
        """
        held = self._held
        if command.version == held.version:
            if not _same(command.packed, held.packed):
                raise VersionTakenError(
                    f"version {held.version} holds another document",
                    version=held.version,
                )
        elif command.version > held.version:
            self._held = Document(command.version, command.packed)
        return PutAnswer(self._held.version)

    def query(self, query: DocumentQuery) -> Document:
        """Returns the document whole."""
        return self._held

    def part(self, query: PartQuery) -> Part:
        """Returns what comes next of the document for the asker."""
        held = self._held
        if query.known_version == held.version:
            return Part(held.version)
        begun = query.begun_version == held.version
        offset = query.begun_bytes if begun else 0
        piece = held.packed[offset : offset + PART_BYTES]
        return Part(held.version, len(held.packed), offset, piece)

    def dump(self) -> bytes:
        """Returns the document, encoded."""
        return codec.encode(self._held)

    def load(self, raw: bytes) -> None:
        """Replaces the document by one that `dump` returned."""
        self._held = codec.decode(raw)

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handler of puts."""
        return {PutDocument: self.put}

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handlers of queries."""
        return {DocumentQuery: self.query, PartQuery: self.part}


def _same(packed: bytes, other: bytes) -> bool:
    """Whether two documents are equal, maybe compressed differently."""
    return packed == other or unpack(packed) == unpack(other)

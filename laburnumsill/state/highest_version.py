"""The configuration document with the highest version.

For sites whose operators number their configurations themselves. The stored
document is replaced by one with a higher version; a lower version is
acknowledged and has no effect. The stored document may be sent again, and
another document with the same version is refused.

Documents are stored and sent compressed, to a tenth of their size, for the
log, the disk, the snapshots and the links of the small VMs. These VMs
download a document in parts, so that no answer exceeds the call timeout on a
slow link.
"""

import zlib

import msgspec

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

PART_BYTES = 16 * 1024
"""Limit of the compressed bytes in one answer: 0.07 s on a link of 2 Mbit/s,
the slowest link of the users' VMs, where the call timeout is 0.3 s."""

NO_VERSION = -1
"""The version of a document before the first one."""


class VersionTakenError(errors.ConflictError):
    """Another document has this version."""

    slug = "version-taken"
    title = "Another configuration has this version"


def pack(document: bytes) -> bytes:
    """Returns the compressed document."""
    return zlib.compress(document)


def unpack(packed: bytes) -> bytes:
    """Returns the document that `pack` compressed.

    Examples:
        >>> unpack(pack(b"a = 1"))
        b'a = 1'
    """
    return zlib.decompress(packed)


@codec.register("highest-version.put")
class PutDocument(msgspec.Struct, frozen=True):
    """Command that puts a document in force if its version is the highest."""

    version: int
    packed: bytes


@codec.register("highest-version.put-answer")
class PutAnswer(msgspec.Struct, frozen=True):
    """Answer with the version that is in force after a `PutDocument`."""

    version_in_force: int


@codec.register("highest-version.query")
class DocumentQuery(msgspec.Struct, frozen=True):
    """Query for the complete document in force."""


@codec.register("highest-version.document")
class Document(msgspec.Struct, frozen=True):
    """The document in force.

    Attributes:
        version: Version of the document, `NO_VERSION` before the first one.
        packed: The compressed document; empty before the first one.
    """

    version: int = NO_VERSION
    packed: bytes = b""


@codec.register("highest-version.part-query")
class PartQuery(msgspec.Struct, frozen=True):
    """Query for the next part of the document in force.

    Attributes:
        known_version: The version that the requester has completely.
        begun_version: A newer version that the requester has in part.
        begun_bytes: Compressed bytes of that version received so far.
    """

    known_version: int = NO_VERSION
    begun_version: int = NO_VERSION
    begun_bytes: int = 0


@codec.register("highest-version.part")
class Part(msgspec.Struct, frozen=True):
    """A part of the document in force.

    Attributes:
        version: Version of the document in force.
        size: Size of the complete compressed document in bytes.
        offset: Offset of the part in the compressed document.
        packed: The part; empty if the requester has the complete document.
    """

    version: int
    size: int = 0
    offset: int = 0
    packed: bytes = b""


class HighestVersion(replication.Component):
    """State machine component that holds the document in force.

    Examples:
        >>> component = HighestVersion()
        >>> component.put(PutDocument(7, pack(b"a"))).version_in_force
        7
        >>> component.put(PutDocument(5, pack(b"b"))).version_in_force
        7
        >>> component.part(PartQuery(known_version=5)).offset
        0
        >>> component.part(PartQuery(known_version=7)).packed
        b''
    """

    name = "highest-version"

    def __init__(self) -> None:
        self._document = Document()

    @property
    def held(self) -> Document:
        """The document in force."""
        return self._document

    def put(self, command: PutDocument) -> PutAnswer:
        """Puts a document in force if its version is the highest.

        Raises:
            VersionTakenError: The document in force has the same version and
                other content.
        """
        document = self._document
        if command.version == document.version:
            if not _same_document(command.packed, document.packed):
                raise VersionTakenError(
                    f"version {document.version} holds another document",
                    version=document.version,
                )
        elif command.version > document.version:
            self._document = Document(command.version, command.packed)
        return PutAnswer(self._document.version)

    def query(self, query: DocumentQuery) -> Document:
        """Returns the complete document."""
        return self._document

    def part(self, query: PartQuery) -> Part:
        """Returns the next part of the document for the requester."""
        document = self._document
        if query.known_version == document.version:
            return Part(document.version)
        resumes = query.begun_version == document.version
        offset = query.begun_bytes if resumes else 0
        packed_part = document.packed[offset : offset + PART_BYTES]
        return Part(document.version, len(document.packed), offset, packed_part)

    def dump(self) -> bytes:
        """Returns the document, encoded."""
        return codec.encode(self._document)

    def load(self, raw: bytes) -> None:
        """Replaces the document by one that `dump` returned."""
        self._document = codec.decode(raw)

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handlers by command type."""
        return {PutDocument: self.put}

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handlers by query type."""
        return {DocumentQuery: self.query, PartQuery: self.part}


def _same_document(packed: bytes, other: bytes) -> bool:
    """Returns whether two documents are equal after decompression."""
    return packed == other or unpack(packed) == unpack(other)

"""The configuration document whose version is the highest seen.

For sites whose operators number their configurations themselves: a higher
version replaces the one held, a lower one is acknowledged and has no effect,
the one held may be sent again, and other content under its number is refused.
"""

import dataclasses

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication


class VersionTakenError(errors.ConflictError):
    """Another document holds this version."""

    slug = "version-taken"
    title = "Another configuration has this version"


@codec.register("highest-version.put")
@dataclasses.dataclass(frozen=True, slots=True)
class PutDocument:
    """Puts a document in force if its version is the highest."""

    version: int
    document: bytes


@codec.register("highest-version.put-answer")
@dataclasses.dataclass(frozen=True, slots=True)
class PutAnswer:
    """The version that is in force after a put."""

    version_in_force: int


@codec.register("highest-version.query")
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentQuery:
    """Asks for the document in force unless it is of the known version."""

    known_version: int = -1


@codec.register("highest-version.document")
@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """The document in force.

    Attributes:
        version: Its version, -1 before the first one.
        document: Its bytes as they came; empty if the asker has them.
    """

    version: int = -1
    document: bytes = b""


class HighestVersion(replication.Component):
    """Holds one document.

    Examples:
        >>> held = HighestVersion()
        >>> held.put(PutDocument(7, b"a")).version_in_force
        7
        >>> held.put(PutDocument(5, b"b")).version_in_force
        7
        >>> held.put(PutDocument(5, b"b")).version_in_force
        7
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
            if command.document != held.document:
                raise VersionTakenError(
                    f"version {held.version} holds another document",
                    version=held.version,
                )
        elif command.version > held.version:
            self._held = Document(command.version, command.document)
        return PutAnswer(self._held.version)

    def query(self, query: DocumentQuery) -> Document:
        """Returns the document, without bytes that the asker has."""
        if query.known_version == self._held.version:
            return Document(self._held.version)
        return self._held

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
        """Returns the handler of queries."""
        return {DocumentQuery: self.query}

"""Download of a configuration document in parts."""

from laburnumsill.state import highest_version


class Download:
    """Collects the parts of the newest document.

    The download starts again if a newer document comes into force meanwhile.

    Examples:
        >>> held = highest_version.HighestVersion()
        >>> packed = highest_version.pack(b"a = 1")
        >>> _ = held.put(highest_version.PutDocument(3, packed))
        >>> download = Download()
        >>> download.add_part(held.part(download.next_query(-1)))
        b'a = 1'
    """

    def __init__(self) -> None:
        self._version = highest_version.NO_VERSION
        self._packed = bytearray()

    def next_query(self, known_version: int) -> highest_version.PartQuery:
        """Returns the query for the next part.

        Args:
            known_version: The version of the last complete document.
        """
        return highest_version.PartQuery(
            known_version, self._version, len(self._packed)
        )

    def add_part(self, part: highest_version.Part) -> bytes | None:
        """Adds a part; returns the document once it is complete."""
        if part.version != self._version:
            self._version = part.version
            self._packed.clear()
        if part.offset == len(self._packed):
            self._packed += part.packed
        if not part.size or len(self._packed) < part.size:
            return None
        document = highest_version.unpack(bytes(self._packed))
        self._packed.clear()
        self._version = highest_version.NO_VERSION
        return document

"""The configuration in force on this VM, and who wants to hear of it."""

import dataclasses
from collections import abc

from laburnumsill.config import models


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned:
    """A configuration with its version; versions only grow."""

    version: int
    digest: str
    configuration: models.Configuration


class Current:
    """Holds the configuration in force; an older version never replaces it.

    Readers call `get` whenever they need it and keep nothing.
    """

    def __init__(self) -> None:
        self._versioned: Versioned | None = None
        self._observers: list[abc.Callable[[Versioned], None]] = []

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self._versioned.version if self._versioned else 0

    def get(self) -> models.Configuration | None:
        """Returns the configuration in force, or None before the first."""
        return self._versioned.configuration if self._versioned else None

    def versioned(self) -> Versioned | None:
        """Returns the configuration in force with its version."""
        return self._versioned

    def put(self, versioned: Versioned) -> bool:
        """Puts a newer version in force and returns whether it was newer."""
        if versioned.version <= self.version:
            return False
        self._versioned = versioned
        for observer in self._observers:
            observer(versioned)
        return True

    def observe(self, observer: abc.Callable[[Versioned], None]) -> None:
        """Calls `observer` with each version that comes into force."""
        self._observers.append(observer)

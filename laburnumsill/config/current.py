"""Holder of the configuration in force on this VM; notifies observers."""

import dataclasses
from collections import abc

from laburnumsill.config import models


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned:
    """A configuration with its version number and digest.

    Version numbers only increase.
    """

    version: int
    digest: str
    configuration: models.Configuration


class Current:
    """The configuration in force; an older version never replaces it.

    Readers call `get` for each use and do not cache the result, so that they
    see each new version at once.
    """

    def __init__(self) -> None:
        self._versioned: Versioned | None = None
        self._observers: list[abc.Callable[[Versioned], None]] = []

    @property
    def version(self) -> int:
        """The version number in force, 0 before the first."""
        return self._versioned.version if self._versioned else 0

    def get(self) -> models.Configuration | None:
        """Returns the configuration in force, or None before the first."""
        return self._versioned.configuration if self._versioned else None

    def versioned(self) -> Versioned | None:
        """Returns the configuration in force with its version, or None."""
        return self._versioned

    def put(self, versioned: Versioned) -> bool:
        """Puts a version in force if it is newer; returns whether it is."""
        if versioned.version <= self.version:
            return False
        self._versioned = versioned
        for observer in self._observers:
            observer(versioned)
        return True

    def observe(self, observer: abc.Callable[[Versioned], None]) -> None:
        """Registers `observer` to be called with each new version."""
        self._observers.append(observer)

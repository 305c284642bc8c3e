"""Versions of the configuration that this program can read."""

from collections import abc

from laburnumsill.config import models as configuration_models
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.state import configuration_versions


class Decoder:
    """Decodes versions and remembers the newest that was of no use.

    A newer program may accept what this one cannot read; the version in
    force stays then, and the status shows this VM behind.
    """

    def __init__(self) -> None:
        self._unusable: tuple[int, str] | None = None

    def may_use(self, version: int, digest: str) -> bool:
        """Returns whether a version is not known to be of no use."""
        return (version, digest) != self._unusable

    def models_of(
        self,
        accepted: configuration_versions.AcceptedConfiguration,
        decode: abc.Callable[[], configuration_models.Configuration],
    ) -> configuration_models.Configuration | None:
        """Returns a version's models, None if this program has no use for it.

        Args:
            accepted: The version.
            decode: Decodes it.
        """
        if not self.may_use(accepted.version, accepted.digest):
            return None
        try:
            return decode()
        except errors.InvalidConfigurationError as error:
            self._unusable = (accepted.version, accepted.digest)
            logs.event(
                "configuration-unusable",
                level="ERROR",
                version=accepted.version,
                error=error.detail,
            )
            return None

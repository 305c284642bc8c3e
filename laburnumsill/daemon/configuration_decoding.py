"""Decoding of accepted configuration versions."""

from collections import abc

from laburnumsill.config import models as configuration_models
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.state import configuration_versions


class Decoder:
    """Decodes versions and remembers the last one that failed to decode.

    A newer release may accept a configuration that this release cannot
    decode. The version in force then stays, and the status shows that this
    VM is behind.
    """

    def __init__(self) -> None:
        self._undecodable: tuple[int, str] | None = None

    def may_decode(self, version: int, digest: str) -> bool:
        """Returns whether a version is not known to be undecodable."""
        return (version, digest) != self._undecodable

    def decode(
        self,
        accepted: configuration_versions.AcceptedConfiguration,
        decode_models: abc.Callable[[], configuration_models.Configuration],
    ) -> configuration_models.Configuration | None:
        """Returns the models of a version, None if it cannot be decoded.

        Args:
            accepted: The version.
            decode_models: Decodes its body.
        """
        if not self.may_decode(accepted.version, accepted.digest):
            return None
        try:
            return decode_models()
        except errors.InvalidConfigurationError as error:
            self._undecodable = (accepted.version, accepted.digest)
            logs.event(
                "configuration-unusable",
                level="ERROR",
                version=accepted.version,
                error=error.detail,
            )
            return None

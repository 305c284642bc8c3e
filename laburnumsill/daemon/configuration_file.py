"""File that stores the version in force on a VM's disk across restarts.

The file holds the digest of one accepted version, followed by that version as
the codec encodes it. It is replaced by write, sync, rename and sync of the
folder, so that after a crash it holds either the old version or the new one
completely. A damaged file is renamed, and the VM fetches the version in force
from the others, like a VM without a disk.
"""

import contextlib
import pathlib

from laburnumsill.consensus import durable_files
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import hashing
from laburnumsill.core import logs
from laburnumsill.state import configuration_versions

FILE_NAME = "configuration-in-force"
_DAMAGED_SUFFIX = ".damaged"
_SEPARATOR = b"\n"


class ConfigurationFile:
    """File of the version in force in one data folder."""

    def __init__(self, data_folder: pathlib.Path) -> None:
        self._path = data_folder / FILE_NAME

    def read(self) -> configuration_versions.AcceptedConfiguration | None:
        """Returns the version in the file, None if there is none.

        Raises:
            errors.StorageError: The file cannot be read, or it is damaged
                and cannot be renamed.
        """
        try:
            raw = self._path.read_bytes()
            # A process killed between rename and sync leaves a directory
            # entry that a power loss would revert.
            durable_files.sync_folder(self._path.parent)
        except FileNotFoundError:
            return None
        except OSError as failure:
            raise self._storage_error("read", failure) from failure
        digest, _, body = raw.partition(_SEPARATOR)
        if digest.decode(errors="replace") == hashing.digest(body):
            with contextlib.suppress(codec.UndecodableMessageError):
                return _as_accepted(codec.decode(body))
        self._set_aside()
        return None

    def write(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> None:
        """Replaces the version in the file and syncs it.

        Raises:
            errors.StorageError: The version could not be synced. The process
                must end, since a restart might revert to an older version.
        """
        body = codec.encode(accepted)
        raw = hashing.digest(body).encode() + _SEPARATOR + body
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
        except OSError as failure:
            raise self._storage_error("write", failure) from failure
        durable_files.write_file(self._path, (raw,))

    def _set_aside(self) -> None:
        aside = self._path.with_name(FILE_NAME + _DAMAGED_SUFFIX)
        logs.event("configuration-file-damaged", level="ERROR", set_aside=aside)
        try:
            self._path.replace(aside)
        except OSError as failure:
            raise self._storage_error("set aside", failure) from failure

    def _storage_error(
        self, action: str, failure: OSError
    ) -> errors.StorageError:
        return errors.StorageError(f"cannot {action} {self._path}: {failure}")


def _as_accepted(
    message: object,
) -> configuration_versions.AcceptedConfiguration:
    if isinstance(message, configuration_versions.AcceptedConfiguration):
        return message
    raise codec.UndecodableMessageError(f"a {type(message).__name__}")

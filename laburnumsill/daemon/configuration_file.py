"""The version in force, kept on a VM's disk across restarts.

The file is one accepted version in the codec's form behind its digest. It is
replaced by write, sync, rename and sync of the folder, so that after a crash
it holds the old version or the new one, whole. A damaged file is set aside:
the VM then learns the version in force from the others, like one without a
disk.
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
    """The file in one data folder."""

    def __init__(self, data_folder: pathlib.Path) -> None:
        self._path = data_folder / FILE_NAME

    def read(self) -> configuration_versions.AcceptedConfiguration | None:
        """Returns the version in the file, None if there is none.

        Raises:
            errors.StorageError: The file cannot be read or set aside.
        """
        try:
            raw = self._path.read_bytes()
            # A process killed after a rename leaves a name that a loss of
            # power would take back.
            durable_files.sync_folder(self._path.parent)
        except FileNotFoundError:
            return None
        except OSError as failure:
            raise self._failed("read", failure) from failure
        digest, _, body = raw.partition(_SEPARATOR)
        if digest.decode(errors="replace") == hashing.digest(body):
            with contextlib.suppress(codec.UndecodableMessageError):
                return _checked(codec.decode(body))
        self._set_aside()
        return None

    def write(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> None:
        """Replaces the version in the file and syncs it.

        Raises:
            errors.StorageError: It could not be synced; the process must
                not go on, since a restart might bring an older version back.
        """
        body = codec.encode(accepted)
        raw = hashing.digest(body).encode() + _SEPARATOR + body
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
        except OSError as failure:
            raise self._failed("write", failure) from failure
        durable_files.write_file(self._path, (raw,))

    def _set_aside(self) -> None:
        aside = self._path.with_name(FILE_NAME + _DAMAGED_SUFFIX)
        logs.event("configuration-file-damaged", level="ERROR", set_aside=aside)
        try:
            self._path.replace(aside)
        except OSError as failure:
            raise self._failed("set aside", failure) from failure

    def _failed(self, what: str, failure: OSError) -> errors.StorageError:
        return errors.StorageError(f"cannot {what} {self._path}: {failure}")


def _checked(message: object) -> configuration_versions.AcceptedConfiguration:
    if isinstance(message, configuration_versions.AcceptedConfiguration):
        return message
    raise codec.UndecodableMessageError(f"a {type(message).__name__}")

"""Encoding of data classes for the log, snapshots and calls between VMs.

A message is encoded in MessagePack as the pair of its registered name and its
fields. Only registered data classes are decoded, whatever bytes a disk or a
peer delivers. The registered name is part of the format and must stay the
same when a class is renamed.
"""

import typing
from collections import abc

import msgspec

from laburnumsill.core import errors

_types: dict[str, type] = {}
_names: dict[type, str] = {}
_encoder = msgspec.msgpack.Encoder()
_decoders: dict[str, msgspec.msgpack.Decoder] = {}
_pair_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])

T = typing.TypeVar("T")


class UndecodableMessageError(errors.LaburnumsillError):
    """Bytes are not a message of a registered type."""

    slug = "undecodable-message"
    title = "Undecodable message"


def register(name: str) -> abc.Callable[[type[T]], type[T]]:
    """Returns a decorator that registers a data class under a fixed name.

    Args:
        name: The name on the wire and on disk, unique in the system.

    Examples:
        >>> import dataclasses
        >>> @register("doctest.ping")
        ... @dataclasses.dataclass(frozen=True, slots=True)
        ... class Ping:
        ...     count: int
        >>> decode(encode(Ping(3)))
        Ping(count=3)
    """

    def add(cls: type[T]) -> type[T]:
        registered = _types.get(name)
        if (
            registered is not None
            and registered.__qualname__ != cls.__qualname__
        ):
            raise ValueError(f"{name!r} is registered for {registered!r}")
        _types[name] = cls
        _names[cls] = name
        return cls

    return add


def encode(message: object) -> bytes:
    """Returns the bytes of a registered data class instance.

    Raises:
        TypeError: The class of `message` is not registered.
    """
    name = _names.get(type(message))
    if name is None:
        raise TypeError(f"{type(message)!r} is not registered")
    return _encoder.encode((name, message))


def decode(raw: bytes) -> typing.Any:
    """Returns the message encoded in `raw`.

    Raises:
        UndecodableMessageError: `raw` is damaged or of an unregistered
            type.
    """
    try:
        name, body = _pair_decoder.decode(raw)
        return _decoder_of(name).decode(body)
    except (msgspec.MsgspecError, KeyError) as error:
        raise UndecodableMessageError(f"{error!r} in {raw[:40]!r}") from error


def _decoder_of(name: str) -> msgspec.msgpack.Decoder:
    decoder = _decoders.get(name)
    if decoder is None:
        decoder = msgspec.msgpack.Decoder(_types[name])
        _decoders[name] = decoder
    return decoder


register("error")(errors.ErrorRecord)

"""The classify filter: determines class, account, key and deadline."""

import dataclasses

from laburnumsill.config import models
from laburnumsill.core import errors
from laburnumsill.requests import headers as header_names
from laburnumsill.requests import messages

MAX_KEY_LENGTH = 200
"""Longest idempotency key, in characters."""

MAX_TIMEOUT_MS = 86_400_000
"""Longest timeout that a caller may set."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClassifiedHead:
    """A request's head, validated against the configuration.

    See `messages.RoutedRequest` for the attributes.
    """

    head: messages.RequestHead
    service: models.Service
    class_name: str
    request_class: models.RequestClass
    account: str
    weight: float
    max_in_flight: int
    key: str | None
    deadline: float

    @property
    def needs_key(self) -> bool:
        """Whether the request needs an idempotency key."""
        return self.request_class.durable or not self.request_class.repeatable

    def with_body(self, body: bytes) -> messages.RoutedRequest:
        """Returns the complete request."""
        return messages.RoutedRequest(
            self.head.request_id,
            self.head.service,
            self.class_name,
            self.request_class,
            self.account,
            self.weight,
            self.max_in_flight,
            self.key,
            self.head.method,
            self.head.target,
            header_names.end_to_end(self.head.headers),
            body,
            self.head.arrived_at,
            self.deadline,
        )


def classify(
    head: messages.RequestHead, configuration: models.Configuration
) -> ClassifiedHead:
    """Validates the head of a request against the configuration.

    Raises:
        errors.UnknownNameError: The service, class or account is unknown.
        errors.MissingKeyError: The class needs an idempotency key.
        errors.DeadlinePassedError: The timeout is not positive.
        errors.InvalidInputError: A header is malformed.
    """
    service = configuration.services.get(head.service)
    if service is None:
        raise errors.UnknownNameError(f"no service {head.service[:80]!r}")
    class_name = _class_name(head, service)
    request_class = configuration.classes[class_name]
    account, weight, max_in_flight = _account(head, configuration)
    key = _key(head)
    if key is None and (request_class.durable or not request_class.repeatable):
        raise errors.MissingKeyError(
            f"class {class_name!r} needs an Idempotency-Key"
        )
    return ClassifiedHead(
        head,
        service,
        class_name,
        request_class,
        account,
        weight,
        max_in_flight,
        key,
        head.arrived_at + _timeout_ms(head, request_class) / 1000,
    )


def _class_name(head: messages.RequestHead, service: models.Service) -> str:
    name = header_names.find(head.headers, header_names.CLASS)
    if name is None:
        return service.classes[0]
    if name not in service.classes:
        raise errors.UnknownNameError(
            f"service {head.service!r} has no class {name[:80]!r}"
        )
    return name


def _account(
    head: messages.RequestHead, configuration: models.Configuration
) -> tuple[str, float, int]:
    name = header_names.find(head.headers, header_names.ACCOUNT)
    if name is None:
        default = models.Account()
        return messages.ANONYMOUS, default.weight, default.max_in_flight
    account = configuration.accounts.get(name)
    if account is None:
        raise errors.UnknownNameError(f"no account {name[:80]!r}")
    return name, account.weight, account.max_in_flight


def _key(head: messages.RequestHead) -> str | None:
    key = header_names.find(head.headers, header_names.KEY)
    if key is None:
        return None
    if not key or len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise errors.InvalidInputError(
            f"an Idempotency-Key has 1 to {MAX_KEY_LENGTH} printable"
            f" characters, got {key[:40]!r}"
        )
    return key


def _timeout_ms(
    head: messages.RequestHead, request_class: models.RequestClass
) -> int:
    text = header_names.find(head.headers, header_names.TIMEOUT_MS)
    if text is None:
        return request_class.timeout_ms
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 12):
        raise errors.InvalidInputError(
            f"Laburnumsill-Timeout-Ms is no whole number: {text[:40]!r}"
        )
    timeout_ms = int(text)
    if timeout_ms <= 0:
        raise errors.DeadlinePassedError(f"{timeout_ms} ms are left")
    return min(timeout_ms, MAX_TIMEOUT_MS)

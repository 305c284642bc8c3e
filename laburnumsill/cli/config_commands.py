"""`laburnumsill config`: check, push, show, diff, status."""

import getpass
import typing

from fire import decorators

from laburnumsill.api import policy_names
from laburnumsill.cli import failures
from laburnumsill.cli import session as sessions
from laburnumsill.cli import values
from laburnumsill.config import canonical
from laburnumsill.config import loading
from laburnumsill.config import models

_ABSENT = None


class ConfigCommands:
    """The configuration: check files, push them, show what is in force."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    @decorators.SetParseFn(str)
    def check(self, base: str, overlay: str | None = None) -> sessions.Action:
        """Checks files without contacting a VM.

        Args:
            base: The base TOML file.
            overlay: The site's overlay TOML file.
        """

        def run() -> None:
            configuration = _load(base, overlay)
            summary: dict[str, typing.Any] = {
                "site": configuration.site,
                "digest": canonical.digest(canonical.encode(configuration)),
                "domains": list(configuration.domains),
                "services": sorted(configuration.services),
                "accounts": sorted(configuration.accounts),
            }
            if self._session.as_json:
                summary["configuration"] = configuration.model_dump(mode="json")
            self._session.show(summary)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def push(
        self,
        base: str,
        overlay: str | None = None,
        expected_version: str | None = None,
        operator: str | None = None,
        key: str | None = None,
    ) -> sessions.Action:
        """Pushes files as the next version.

        If several operators push with the same expected version, exactly one
        push is accepted. The others are refused with a version conflict that
        names the accepted version and its operator.

        Args:
            base: The base TOML file.
            overlay: The site's overlay TOML file.
            expected_version: The version that the files are based on; 0 for
                the first.
            operator: The operator's name; default: the name of the user.
            key: The Idempotency-Key of a push whose answer was lost.
        """

        def run() -> None:
            flag = "--expected-version"
            version = values.required_text(flag, expected_version)
            body = {
                "expected_version": values.whole_number(flag, version),
                "configuration": _load(base, overlay).model_dump(mode="json"),
                "operator": operator or getpass.getuser(),
            }
            answer = self._session.change("PUT", "/v1/config", body, key)
            self._session.show(answer)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def show(
        self,
        site: str | None = None,
        version: str | None = None,
        in_force: str = "false",
    ) -> sessions.Action:
        """Shows the accepted version, or another one.

        Args:
            site: The expected site; fails if the VMs belong to another.
            version: An older version to show.
            in_force: Whether to show the version in force on the VM that
                answers, which needs no quorum.
        """

        def run() -> None:
            show_in_force = values.boolean("--in-force", in_force)
            answer = self._session.get(
                "/v1/config",
                version=version,
                source="in-force" if show_in_force else None,
            )
            _check_site(site, answer["configuration"]["site"])
            if not self._session.as_json:
                configuration = answer.pop("configuration")
                answer.update(_flatten(configuration))
            self._session.show(answer)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def diff(self, base: str, overlay: str | None = None) -> sessions.Action:
        """Shows the keys that differ between files and the accepted version.

        Args:
            base: The base TOML file.
            overlay: The site's overlay TOML file.
        """

        def run() -> None:
            local = _flatten(_load(base, overlay).model_dump(mode="json"))
            answer = self._session.get("/v1/config")
            accepted = _flatten(answer["configuration"])
            self._session.show(
                [
                    {
                        "key": name,
                        "accepted": accepted.get(name, _ABSENT),
                        "file": local.get(name, _ABSENT),
                    }
                    for name in sorted(local.keys() | accepted.keys())
                    if local.get(name, _ABSENT) != accepted.get(name, _ABSENT)
                ]
            )

        return sessions.Action(run)

    def status(self) -> sessions.Action:
        """Shows the version in force on each VM and the domains behind."""

        def run() -> None:
            answer = self._session.get("/v1/config/status")
            if not self._session.as_json:
                self._session.show(answer.pop("vms"))
                print()
            self._session.show(answer)

        return sessions.Action(run)


def _load(base: str, overlay: str | None) -> models.Configuration:
    """Returns the merged and validated configuration of two files."""
    configuration = loading.load(base, overlay)
    policy_names.check(configuration)
    return configuration


def _check_site(expected: str | None, actual: str) -> None:
    if expected is not None and expected != actual:
        raise failures.NotAllGoodError(
            f"the VMs are of site {actual!r}, not {expected!r}"
        )


def _flatten(tree: typing.Any, prefix: str = "") -> dict[str, typing.Any]:
    """Returns the values of nested tables by dotted key."""
    flat: dict[str, typing.Any] = {}
    for name, value in tree.items():
        key = f"{prefix}{name}"
        if isinstance(value, dict) and value:
            flat.update(_flatten(value, f"{key}."))
        else:
            flat[key] = value
    return flat

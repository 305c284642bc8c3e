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
    """The configuration: check files, push them, see what is in force."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    @decorators.SetParseFn(str)
    def check(self, base: str, overlay: str | None = None) -> sessions.Action:
        """Checks files without sending anything.

        Args:
            base: The base TOML file.
            overlay: The site's overlay TOML file.
        """

        def run() -> None:
            loaded = _loaded(base, overlay)
            shown: dict[str, typing.Any] = {
                "site": loaded.site,
                "digest": canonical.digest(canonical.encode(loaded)),
                "domains": list(loaded.domains),
                "services": sorted(loaded.services),
                "accounts": sorted(loaded.accounts),
            }
            if self._session.as_json:
                shown["configuration"] = loaded.model_dump(mode="json")
            self._session.show(shown)

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

        Of operators who push on top of the same version exactly one wins;
        the others are told the winner.

        Args:
            base: The base TOML file.
            overlay: The site's overlay TOML file.
            expected_version: The version it was made on top of; 0 for the
                first.
            operator: Who pushes; the name of the user if left out.
            key: The Idempotency-Key of a push whose answer was lost.
        """

        def run() -> None:
            flag = "--expected-version"
            given = values.text(flag, expected_version)
            body = {
                "expected_version": values.whole_number(flag, given),
                "configuration": _loaded(base, overlay).model_dump(mode="json"),
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
            site: The site that the VMs must be of.
            version: An older version.
            in_force: The version in force on the VM that answers, which
                needs no quorum.
        """

        def run() -> None:
            local = values.truth("--in-force", in_force)
            answer = self._session.get(
                "/v1/config",
                version=version,
                source="in-force" if local else None,
            )
            _check_site(site, answer["configuration"]["site"])
            if not self._session.as_json:
                whole = answer.pop("configuration")
                answer.update(_flat(whole))
            self._session.show(answer)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def diff(self, base: str, overlay: str | None = None) -> sessions.Action:
        """Shows where files differ from the accepted version.

        Args:
            base: The base TOML file.
            overlay: The site's overlay TOML file.
        """

        def run() -> None:
            here = _flat(_loaded(base, overlay).model_dump(mode="json"))
            answer = self._session.get("/v1/config")
            there = _flat(answer["configuration"])
            self._session.show(
                [
                    {
                        "key": name,
                        "accepted": there.get(name, _ABSENT),
                        "file": here.get(name, _ABSENT),
                    }
                    for name in sorted(here.keys() | there.keys())
                    if here.get(name, _ABSENT) != there.get(name, _ABSENT)
                ]
            )

        return sessions.Action(run)

    def status(self) -> sessions.Action:
        """Shows the version in force on each VM and what is behind."""

        def run() -> None:
            answer = self._session.get("/v1/config/status")
            if not self._session.as_json:
                self._session.show(answer.pop("vms"))
                print()
            self._session.show(answer)

        return sessions.Action(run)


def _loaded(base: str, overlay: str | None) -> models.Configuration:
    """Returns the checked configuration that files make together."""
    configuration = loading.load(base, overlay)
    policy_names.check(configuration)
    return configuration


def _check_site(wanted: str | None, actual: str) -> None:
    if wanted is not None and wanted != actual:
        raise failures.NotAllGoodError(
            f"the VMs are of site {actual!r}, not {wanted!r}"
        )


def _flat(tree: typing.Any, prefix: str = "") -> dict[str, typing.Any]:
    """Returns the values of nested tables by dotted key."""
    flat: dict[str, typing.Any] = {}
    for name, value in tree.items():
        key = f"{prefix}{name}"
        if isinstance(value, dict) and value:
            flat.update(_flat(value, f"{key}."))
        else:
            flat[key] = value
    return flat

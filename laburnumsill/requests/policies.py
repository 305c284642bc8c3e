"""The request policies of the configuration in force."""

import random

from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.requests import concurrency_limits
from laburnumsill.requests import load_balancing


class Policies:
    """The chooser and the limiter in force, replaced if their settings change.

    Args:
        current: The configuration in force.
        entry_vms: Number of VMs that share each backend server.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        current: current_module.Current,
        entry_vms: int,
        rng: random.Random,
    ) -> None:
        self._current = current
        self._entry_vms = entry_vms
        self._rng = rng
        self._settings: tuple[str, str, int] | None = None
        self._refresh()

    @property
    def request_policy(self) -> models.RequestPolicy:
        """The request policy in force."""
        configuration = self._current.get()
        if configuration is None:
            return models.RequestPolicy()
        return configuration.requests

    @property
    def chooser(self) -> load_balancing.Chooser:
        """The chooser in force."""
        self._refresh()
        return self._chooser

    @property
    def limiter(self) -> concurrency_limits.Limiter:
        """The limiter in force."""
        self._refresh()
        return self._limiter

    def _refresh(self) -> None:
        policy = self.request_policy
        settings = policy.chooser, policy.limiter, policy.target_latency_ms
        if settings == self._settings:
            return
        self._settings = settings
        try:
            self._make(policy)
        except errors.UnknownNameError as error:
            # A newer version of this program may have set an unknown policy;
            # routing continues with the defaults.
            logs.event("policy-unknown", level="ERROR", detail=error.detail)
            self._make(models.RequestPolicy())

    def _make(self, policy: models.RequestPolicy) -> None:
        self._chooser = load_balancing.make_chooser(policy.chooser, self._rng)
        self._limiter = concurrency_limits.make_limiter(
            policy.limiter, self._entry_vms, policy.target_latency_ms / 1000
        )

"""Outlier ejection of failing backend servers, ended by successful probes.

A server that refuses connections is ejected at once: nothing was sent, so
the request can go to another server. A server that fails fast is always
idle, so a chooser that balances load would send it all requests. It is
ejected after `FAILURES_TO_EJECT` consecutive failures. When the ejection
time is over, one repeatable request at a time is sent to it as a probe, and
it returns after `SUCCESSES_TO_RETURN` consecutive successes. If it was
ejected for refusing connections, any request may be the probe.

A request that every server answers with an error must not make the service
unavailable to other requests. If less than `MIN_USABLE_SHARE` of the
answering servers are usable, ejections for error answers are ignored.
"""

import random
from collections import abc

from laburnumsill.core import logs
from laburnumsill.requests import servers

FAILURES_TO_EJECT = 3
SUCCESSES_TO_RETURN = 2
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0

NON_REPEATABLE_PROBE_DELAY_S = 3.0
"""Time after the end of an ejection from which a request that is not
repeatable may be the probe too."""

MIN_USABLE_SHARE = 0.5
"""Usable share of the answering servers below which ejections for error
answers are ignored (panic threshold)."""


class OutlierDetector:
    """Ejects failing servers; updates the fields of `servers.ServerState`.

    Args:
        rng: Source of random numbers, for jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def usable_servers(
        self,
        states: abc.Collection[servers.ServerState],
        now: float,
        *,
        repeatable: bool,
    ) -> list[servers.ServerState]:
        """Returns the servers that a request may be sent to now."""
        usable = [
            state
            for state in states
            if not state.ejected
            or self._may_probe(state, now, repeatable=repeatable)
        ]
        if len(usable) == len(states):
            return usable
        answering = [state for state in states if _is_answering(state)]
        if len(usable) < MIN_USABLE_SHARE * len(answering):
            return answering
        return usable

    def _may_probe(
        self, state: servers.ServerState, now: float, *, repeatable: bool
    ) -> bool:
        probe_at = state.ejected_until
        if not (repeatable or state.last_failure is servers.Failure.REFUSED):
            probe_at += NON_REPEATABLE_PROBE_DELAY_S
        return now >= probe_at and not state.probing

    def record_send(self, state: servers.ServerState) -> None:
        """Records a send, which is a probe if the server is ejected."""
        if state.ejected:
            state.probing = True

    def record_success(self, state: servers.ServerState) -> None:
        """Records a complete answer without a server error."""
        state.failures = 0
        state.probing = False
        if not state.ejected:
            return
        state.successes += 1
        if state.successes >= SUCCESSES_TO_RETURN:
            state.ejections = 0
            state.successes = 0
            logs.event("server-returned", server=state.server.server_id)

    def record_failure(
        self,
        state: servers.ServerState,
        now: float,
        failure: servers.Failure,
    ) -> None:
        """Records a failure and ejects the server at the limit."""
        refused = failure is servers.Failure.REFUSED
        state.last_failure = failure
        state.failures += FAILURES_TO_EJECT if refused else 1
        state.successes = 0
        state.probing = False
        if state.ejected or state.failures >= FAILURES_TO_EJECT:
            self._eject(state, now)

    def record_cancellation(self, state: servers.ServerState) -> None:
        """Records a request that is no evidence of the server's health."""
        state.probing = False

    def _eject(self, state: servers.ServerState, now: float) -> None:
        ejection_s = min(
            MAX_EJECTION_S, INITIAL_EJECTION_S * 2**state.ejections
        )
        jittered_s = ejection_s * self._rng.uniform(0.8, 1.2)
        state.ejected_until = now + jittered_s
        state.ejections = min(state.ejections + 1, 10)
        logs.event(
            "server-ejected",
            server=state.server.server_id,
            failure=state.last_failure.value if state.last_failure else "",
            failures=state.failures,
            ejections=state.ejections,
        )


def _is_answering(state: servers.ServerState) -> bool:
    return not state.ejected or state.last_failure is servers.Failure.ERROR

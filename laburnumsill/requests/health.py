"""Ejects backend servers that fail, and lets probes win them back.

A server that takes no connection is ejected at once; nothing is lost by
going elsewhere, as nothing was sent. One that fails quickly is always idle,
so any chooser that looks at load would send it everything. It is ejected
after `FAILURES_TO_EJECT` failures in a row; when its time is over, one
repeatable request at a time is sent to it as a probe, and
`SUCCESSES_TO_RETURN` successes in a row bring it back. Where it was ejected
for taking no connection, any request may be the probe.

A request that every server answers with an error must not take the service
away from all others: with less than `LEAST_USABLE_SHARE` of the servers
usable, those that answer, if only with errors, are used again.
"""

import random
from collections import abc

from laburnumsill.core import logs
from laburnumsill.requests import servers

FAILURES_TO_EJECT = 3
SUCCESSES_TO_RETURN = 2
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 8.0

LAST_RESORT_S = 3.0
"""Time over its due after which any request may be the probe."""


LEAST_USABLE_SHARE = 0.5
"""Part of the answering servers below which ejections for errors are void."""


class Health:
    """Keeps the health fields of `servers.ServerState`."""

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw

    def usable(
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
        answering = [state for state in states if _answers(state)]
        if len(usable) < LEAST_USABLE_SHARE * len(answering):
            return answering
        return usable

    def _may_probe(
        self, state: servers.ServerState, now: float, *, repeatable: bool
    ) -> bool:
        due = state.ejected_until
        if not (repeatable or state.failure is servers.Failure.REFUSED):
            due += LAST_RESORT_S
        return now >= due and not state.probing

    def sent(self, state: servers.ServerState) -> None:
        """Notes that a request goes out; to an ejected server it probes."""
        if state.ejected:
            state.probing = True

    def succeeded(self, state: servers.ServerState) -> None:
        """Notes a whole answer that is no server error."""
        state.failures = 0
        state.probing = False
        if not state.ejected:
            return
        state.successes += 1
        if state.successes >= SUCCESSES_TO_RETURN:
            state.ejections = 0
            state.successes = 0
            logs.event("server-returned", server=state.server.server_id)

    def failed(
        self,
        state: servers.ServerState,
        now: float,
        failure: servers.Failure,
    ) -> None:
        """Notes a failure."""
        refused = failure is servers.Failure.REFUSED
        state.failure = failure
        state.failures += FAILURES_TO_EJECT if refused else 1
        state.successes = 0
        state.probing = False
        if state.ejected or state.failures >= FAILURES_TO_EJECT:
            self._eject(state, now)

    def cancelled(self, state: servers.ServerState) -> None:
        """Notes that a request ended without telling of the server."""
        state.probing = False

    def _eject(self, state: servers.ServerState, now: float) -> None:
        length_s = min(
            LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**state.ejections
        )
        jittered_s = length_s * self._draw.uniform(0.8, 1.2)
        state.ejected_until = now + jittered_s
        state.ejections = min(state.ejections + 1, 10)
        logs.event(
            "server-ejected",
            server=state.server.server_id,
            failure=state.failure.value if state.failure else "",
            failures=state.failures,
            ejections=state.ejections,
        )


def _answers(state: servers.ServerState) -> bool:
    return not state.ejected or state.failure is servers.Failure.ERROR

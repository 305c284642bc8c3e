"""When members are announced, doubted and gone: the arithmetic.

Names: T is the TTL of backend servers, D the time within which peers count
as reachable, and the constants below. A backend server falls silent at 0.

* Its two watchers hear its last announcement at `FORWARD_S` at the latest and
  hold the deadline ``FORWARD_S + T`` each. A watcher whose deadline passes
  asks the other one first, for at most `SUSPICION_S`, then tells every VM. So
  every VM knows at::

      FORWARD_S + T + TICK_S + SUSPICION_S + TICK_S + MARGIN_S <= 3.0 s

  T is capped accordingly by `MAX_SERVER_TTL_S` (2.3 s, today T = 2.0 s). The
  loss of one watcher, at whatever moment, does not matter: the other one
  holds the same deadline from its own evidence.
* If both watchers are lost at the moment 0, the next one finds out after
  ``D + TICK_S`` and inherits the entry with the fresh, shorter TTL
  `INHERITED_SERVER_TTL_S` = 1.5 s::

      D + TICK_S + 1.5 + SUSPICION_S + TICK_S + MARGIN_S <= 3.0 s + 0.1 s

  where SUSPICION_S counts only if a fourth VM does not answer; with up to
  three VMs a domain it is 2.8 s. If the two watchers are lost later than the
  server, by less than T, that time is added.
* If no VM of the domain is left, its members are not usable after
  ``D + TICK_S``.
* A VM that a notice did not reach finds out by its next probe, `PROBE_S`
  later (with more than four domains the interval grows, so that probes stay
  within `PROBE_BUDGET_BYTES_PER_S`), as both watchers tell every VM and
  probes go to a VM that it can reach. What no VM of the domain has confirmed
  is not usable after `CONFIRM_S`.
* A server that says that it is leaving is out of use everywhere after
  ``FORWARD_S + TICK_S + MARGIN_S``, or one announcement interval later if
  both watchers died at that moment.

The shortest TTL, 1.5 s, is longer than one announcement interval (T / 3), one
attempt that runs into a dead VM (0.4 s) and `FORWARD_S`, so that the loss of
VMs makes no live server seem gone.

Traffic: an announcement costs a VM about `ANNOUNCEMENT_BYTES`. Workers are
told to announce so seldom that a VM's part stays within
`ANNOUNCEMENT_BUDGET_BYTES_PER_S`; their TTL is three such intervals then.
"""

from laburnumsill.config import models
from laburnumsill.core import members

WORK_LIMIT_S = 3.0
"""A server that is gone or leaving gets no new work after so long."""

TICK_S = 0.05
"""Time between two rounds of the table; notices are batched in between."""

REACHABLE_S = 1.0
"""Silence after which peers do not count as reachable."""

FORWARD_S = 0.1
"""Time for an announcement to get from a VM to the watchers."""

MARGIN_S = 0.15
"""Network and a busy loop."""

SUSPICION_S = 0.3
"""How long a watcher waits for the other watcher before it says gone."""

MAX_SERVER_TTL_S = 2.3
"""Longest TTL of backend servers, see the arithmetic above."""

INHERITED_SERVER_TTL_S = 1.5
"""TTL of a server whose watcher has changed and that was not heard yet."""

PROBE_S = 0.5
"""Time between two comparisons with a VM of each domain, if they are few."""

PROBE_RETRY_S = 0.3
"""Time without an answer after which another VM is probed."""

PROBE_BYTES = 125
"""One probe and its answer, both ways."""

PROBE_BUDGET_BYTES_PER_S = 1_000
"""The part of the control budget that probes may take."""

CONFIRM_S = 2.0
"""Age of the evidence for a member beyond which it is not used."""

STALL_S = 1.0
"""A gap between two rounds after which a VM distrusts what it knows."""

DROP_S = 10.0
"""Time without evidence, in a reachable domain, after which a row goes."""

TOMBSTONE_S = 60.0
"""How long a member that is gone is remembered."""

ANNOUNCEMENTS_PER_TTL = 3
"""Announcements in one TTL."""

MAX_WORKER_INTERVAL_S = 300.0
"""Longest time between two announcements of a worker."""

CONTROL_BUDGET_BYTES_PER_S = 6_000
"""What one VM may spend on control, source: letter 1."""

ANNOUNCEMENT_BUDGET_BYTES_PER_S = CONTROL_BUDGET_BYTES_PER_S / 2
"""The part of it that announcements may take."""

ANNOUNCEMENT_BYTES = 700
"""One announcement: HTTP both ways (473 measured), its part of the notices to
and from two watchers (27 each) and the headers of TCP and IP."""

BUSY_INTERVAL_S = 2.0
"""Least time between two notices about a server's busy slots alone."""

BUSY_STEP_SHARE = 0.25
"""Least change, as a share of its slots, that is worth such a notice."""

Member = members.BackendServer | members.Worker


def probe_interval_s(domains: int) -> float:
    """Returns the time between two probes of one domain.

    Examples:
        >>> probe_interval_s(4)
        0.5
        >>> probe_interval_s(9)
        1.125
    """
    return max(PROBE_S, domains * PROBE_BYTES / PROBE_BUDGET_BYTES_PER_S)


def server_ttl_s(policy: models.MemberPolicy) -> float:
    """Returns the TTL of backend servers in seconds.

    Examples:
        >>> server_ttl_s(models.MemberPolicy(server_ttl_ms=60_000))
        2.3
    """
    return min(policy.server_ttl_ms / 1000, MAX_SERVER_TTL_S)


def server_interval_s(policy: models.MemberPolicy) -> float:
    """Returns the time between two announcements of a backend server."""
    return server_ttl_s(policy) / ANNOUNCEMENTS_PER_TTL


def worker_interval_s(policy: models.MemberPolicy, watched: int) -> float:
    """Returns the time between two announcements of a worker.

    Args:
        policy: The policy in force.
        watched: Members that one VM watches.

    Examples:
        >>> policy = models.MemberPolicy(worker_ttl_ms=6_000)
        >>> worker_interval_s(policy, 6)
        2.0
        >>> worker_interval_s(policy, 60)
        14.0
    """
    shortest = policy.worker_ttl_ms / 1000 / ANNOUNCEMENTS_PER_TTL
    affordable = watched * ANNOUNCEMENT_BYTES / ANNOUNCEMENT_BUDGET_BYTES_PER_S
    return min(max(shortest, affordable), MAX_WORKER_INTERVAL_S)


def ttl_s(
    policy: models.MemberPolicy, member: Member, interval_s: float
) -> float:
    """Returns the TTL of a member that was told to announce so often."""
    if isinstance(member, members.BackendServer):
        return server_ttl_s(policy)
    interval_s = min(interval_s, MAX_WORKER_INTERVAL_S)
    return max(policy.worker_ttl_ms / 1000, ANNOUNCEMENTS_PER_TTL * interval_s)


def inherited_ttl_s(
    policy: models.MemberPolicy,
    member: Member,
    interval_s: float,
    watched: int,
) -> float:
    """Returns the TTL of a member that this VM has not heard of itself.

    Args:
        policy: The policy in force.
        member: The member.
        interval_s: How often it announces itself, as far as is known here.
        watched: Members that this VM watches.
    """
    if isinstance(member, members.BackendServer):
        return min(server_ttl_s(policy), INHERITED_SERVER_TTL_S)
    usual_s = worker_interval_s(policy, watched)
    return ttl_s(policy, member, max(interval_s, usual_s))

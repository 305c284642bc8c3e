"""Timeouts and intervals of announcements and failure detection.

T is the TTL of backend servers and D is `PEER_TIMEOUT_S`, after which a silent
peer counts as unreachable. A backend server stops announcing itself at time 0.

* Its two watchers receive its last announcement at `FORWARD_DELAY_S` at the
  latest, so their TTLs end at ``FORWARD_DELAY_S + T``. A watcher whose TTL has
  ended first queries the other watcher, for at most `SUSPICION_TIMEOUT_S`, and
  then broadcasts that the server is gone. Every VM knows this at::

      FORWARD_DELAY_S + T + TICK_S + SUSPICION_TIMEOUT_S + TICK_S + MARGIN_S
          <= 3.0 s

  `MAX_SERVER_TTL_S` limits T accordingly (2.3 s; the default of T is 2.0 s).
  The loss of one watcher at any time does not matter, because the other one
  received the same announcements and has the same expiry.
* If both watchers are lost at time 0, the VM that succeeds them detects this
  after ``D + TICK_S`` and watches the server with the shorter TTL
  `INHERITED_SERVER_TTL_S` = 1.5 s::

      D + TICK_S + 1.5 s + SUSPICION_TIMEOUT_S + TICK_S + MARGIN_S
          <= 3.0 s + 0.1 s

  SUSPICION_TIMEOUT_S counts only if a fourth VM does not answer; with up to
  three VMs in the domain the sum is 2.8 s. If the two watchers are lost after
  the server, the difference is added, which is less than T.
* If no VM of the domain is left, its members become unusable after
  ``D + TICK_S``.
* A VM that missed a broadcast detects this with its next probe, after
  `PROBE_INTERVAL_S`, because both watchers broadcast to every VM and probes go
  to reachable VMs. With more than four domains the interval grows, so that
  probes stay within `PROBE_BUDGET_BYTES_PER_S`. A member that no VM of its
  domain has confirmed becomes unusable after `EVIDENCE_TTL_S`.
* A server that announces that it is leaving becomes unusable everywhere after
  ``FORWARD_DELAY_S + TICK_S + MARGIN_S``, or one announcement interval later
  if both watchers failed at that moment.

The shortest TTL, 1.5 s, is longer than the sum of one announcement interval
(T / 3), one failed announcement to a VM that is down (0.4 s) and
`FORWARD_DELAY_S`, so that the loss of VMs does not expire live servers.

Traffic: an announcement costs a VM about `ANNOUNCEMENT_BYTES`. The interval of
workers grows with their number, so that the announcement traffic of a VM stays
within `ANNOUNCEMENT_BUDGET_BYTES_PER_S`; their TTL is three intervals.
"""

from laburnumsill.config import models
from laburnumsill.core import members

REMOVAL_LIMIT_S = 3.0
"""Maximum time for which a lost or leaving server may get new work."""

TICK_S = 0.05
"""Interval of the ticks of the member table, which batch notices."""

PEER_TIMEOUT_S = 1.0
"""Silence after which a peer counts as unreachable."""

FORWARD_DELAY_S = 0.1
"""Maximum time to forward an announcement from a VM to the watchers."""

MARGIN_S = 0.15
"""Allowance for network latency and delays of the event loop."""

SUSPICION_TIMEOUT_S = 0.3
"""Timeout of a query to the other watcher about a suspected member."""

MAX_SERVER_TTL_S = 2.3
"""Maximum TTL of backend servers; the module docstring derives it."""

INHERITED_SERVER_TTL_S = 1.5
"""TTL of a server from which its new watcher has received nothing yet."""

PROBE_INTERVAL_S = 0.5
"""Minimum time between two probes of a domain."""

PROBE_TIMEOUT_S = 0.3
"""Timeout of a probe, after which another VM of the domain is probed."""

PROBE_BYTES = 125
"""Traffic of one probe and its reply."""

PROBE_BUDGET_BYTES_PER_S = 1_000
"""Share of the control traffic budget for probes."""

EVIDENCE_TTL_S = 2.0
"""Maximum age of the evidence for a usable member that is not watched."""

STALL_TIMEOUT_S = 1.0
"""Gap between two ticks after which a VM treats itself as stalled.

Its evidence from before the stall does not count.
"""

UNCONFIRMED_TTL_S = 10.0
"""Time without evidence after which an entry is removed.

It applies only while the domain is reachable.
"""

TOMBSTONE_TTL_S = 60.0
"""Retention time of tombstones."""

ANNOUNCEMENTS_PER_TTL = 3
"""Number of announcements within one TTL."""

MAX_WORKER_INTERVAL_S = 300.0
"""Maximum announcement interval of workers."""

CONTROL_BUDGET_BYTES_PER_S = 6_000
"""Control traffic budget of one VM."""

ANNOUNCEMENT_BUDGET_BYTES_PER_S = CONTROL_BUDGET_BYTES_PER_S / 2
"""Share of the control traffic budget for announcements."""

ANNOUNCEMENT_BYTES = 700
"""Traffic of one announcement.

It consists of HTTP request and response (473 bytes), the share in the notices
to and from two watchers (27 bytes each) and TCP and IP headers.
"""

MIN_BUSY_INTERVAL_S = 2.0
"""Minimum time between two broadcasts of only the busy slots of a server."""

MIN_BUSY_CHANGE_SHARE = 0.25
"""Minimum change for such a broadcast, as a share of the slots."""

Member = members.BackendServer | members.Worker


def probe_interval_s(domains: int) -> float:
    """Returns the time between two probes of one domain.

    Examples:
        >>> probe_interval_s(4)
        0.5
        >>> probe_interval_s(9)
        1.125
    """
    return max(
        PROBE_INTERVAL_S, domains * PROBE_BYTES / PROBE_BUDGET_BYTES_PER_S
    )


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


def worker_interval_s(policy: models.MemberPolicy, watched_count: int) -> float:
    """Returns the time between two announcements of a worker.

    Args:
        policy: The policy in force.
        watched_count: Number of members that one VM watches.

    Examples:
        >>> policy = models.MemberPolicy(worker_ttl_ms=6_000)
        >>> worker_interval_s(policy, 6)
        2.0
        >>> worker_interval_s(policy, 60)
        14.0
    """
    ttl_interval_s = policy.worker_ttl_ms / 1000 / ANNOUNCEMENTS_PER_TTL
    budget_interval_s = (
        watched_count * ANNOUNCEMENT_BYTES / ANNOUNCEMENT_BUDGET_BYTES_PER_S
    )
    return min(max(ttl_interval_s, budget_interval_s), MAX_WORKER_INTERVAL_S)


def ttl_s(
    policy: models.MemberPolicy, member: Member, interval_s: float
) -> float:
    """Returns the TTL of a member, given its announcement interval."""
    if isinstance(member, members.BackendServer):
        return server_ttl_s(policy)
    interval_s = min(interval_s, MAX_WORKER_INTERVAL_S)
    return max(policy.worker_ttl_ms / 1000, ANNOUNCEMENTS_PER_TTL * interval_s)


def inherited_ttl_s(
    policy: models.MemberPolicy,
    member: Member,
    interval_s: float,
    watched_count: int,
) -> float:
    """Returns the TTL of a member from which this VM has received nothing.

    Args:
        policy: The policy in force.
        member: The member.
        interval_s: Last known announcement interval of the member.
        watched_count: Number of members that this VM watches.
    """
    if isinstance(member, members.BackendServer):
        return min(server_ttl_s(policy), INHERITED_SERVER_TTL_S)
    current_s = worker_interval_s(policy, watched_count)
    return ttl_s(policy, member, max(interval_s, current_s))

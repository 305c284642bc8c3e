"""Relay of workers' usage reports to the scheduler of their failure domain.

A worker reports to any VM, while the scheduler is active on the VM that leads
the domain's group. A lost report is superseded by the next one.
"""

import dataclasses
from collections import abc

from laburnumsill.core import codec
from laburnumsill.core import ids
from laburnumsill.core import members
from laburnumsill.core import replication
from laburnumsill.jobs import scheduler
from laburnumsill.members import usage


@codec.register("usage.notice")
@dataclasses.dataclass(frozen=True, slots=True)
class UsageNotice:
    """Report that is relayed to the leader of a domain's group."""

    domain: str
    report: usage.UsageReport


class UsageRelay:
    """Relays reports to the voters of the group that owns the worker."""

    def __init__(
        self,
        local_vm_id: str,
        groups: replication.Groups,
        peers: replication.Peers,
        view: members.MemberView,
        voters: abc.Callable[[], abc.Mapping[str, abc.Sequence[str]]],
        schedulers: abc.Mapping[str, scheduler.DomainScheduler],
    ) -> None:
        self._local_vm_id = local_vm_id
        self._groups = groups
        self._peers = peers
        self._view = view
        self._voters = voters
        self._schedulers = schedulers
        peers.on_notice(UsageNotice, self._deliver)

    async def relay(self, report: usage.UsageReport) -> None:
        """Relays a report that a worker sent to this VM."""
        domain = self._domain_of(report.worker_id)
        if domain is None:
            return
        group = ids.domain_group(domain)
        notice = UsageNotice(domain, report)
        if self._groups.leads(group):
            self._deliver(notice)
            return
        for vm_id in self._voters().get(group, ()):
            if vm_id != self._local_vm_id:
                self._peers.notify(vm_id, notice)

    def _deliver(self, notice: UsageNotice) -> None:
        """Passes a report to the scheduler, which drops it on a follower."""
        report = notice.report
        self._schedulers[notice.domain].usage(report.worker_id, report)

    def _domain_of(self, worker_id: str) -> str | None:
        for domain in self._schedulers:
            for worker in self._view.workers(domain):
                if worker.worker_id == worker_id:
                    return domain
        return None

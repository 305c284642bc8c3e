import pytest

from laburnumsill.config import models
from laburnumsill.core import members
from laburnumsill.members import entries
from laburnumsill.members import errors
from laburnumsill.members import rows
from laburnumsill.members import timing
from laburnumsill.members import watching
from laburnumsill.members.tests import cluster as clusters

AnnouncingMember = clusters.AnnouncingMember
Cluster = clusters.Cluster


def add_servers(
    cluster: Cluster, count: int = 1, domain: str = "d0", sticky: bool = False
) -> list[AnnouncingMember]:
    servers = [
        AnnouncingMember(cluster, "server", f"s{n}", domain, sticky=sticky)
        for n in range(count)
    ]
    cluster.run(1.0)
    return servers


def watchers(cluster: Cluster, server: AnnouncingMember) -> list[str]:
    key = entries.member_key(server.report())
    vms = [v.vm_id for v in cluster.vms if v.domain == server.domain]
    return watching.watchers_of(key, vms)


def seconds_until_unused(cluster: Cluster, limit: float = 6.0) -> float:
    """Returns the time until no VM uses any server."""
    start = cluster.clock.monotonic()
    last_used = start
    while cluster.clock.monotonic() - start < limit:
        cluster.step()
        if any(cluster.servers(vm) for vm in cluster.alive()):
            last_used = cluster.clock.monotonic()
    return last_used - start


def test_new_members_are_broadcast_and_heartbeats_are_not() -> None:
    cluster = Cluster()
    server = AnnouncingMember(cluster, "server", "s1", "d1")
    worker = AnnouncingMember(cluster, "worker", "w1", "d2")
    cluster.run(0.2)
    for vm in cluster.alive():
        assert cluster.servers(vm) == {"s1"}
        assert cluster.workers(vm, "d2") == {"w1"}
        assert cluster.workers(vm, "d1") == set()
    cluster.sent.clear()
    before = server.sequence, worker.sequence
    cluster.run(10)
    assert cluster.sent["Rows"] == 0
    assert cluster.sent["Pull"] == 0
    announced = server.sequence + worker.sequence - sum(before)
    assert 0 < cluster.sent["Heartbeats"] <= 2 * announced


@pytest.mark.parametrize("dying", [(), (0,), (1,), (0, 1)])
@pytest.mark.parametrize("after_s", [0.0, 0.6])
@pytest.mark.parametrize("per_domain", [1, 2, 3, 4])
def test_work_limit(
    dying: tuple[int, ...], after_s: float, per_domain: int
) -> None:
    cluster = Cluster(per_domain=per_domain)
    server = add_servers(cluster)[0]
    cluster.run(after_s)  # varies the phase of the announcements
    server.stop()
    for rank in dying:
        if rank < per_domain:
            cluster.kill(watchers(cluster, server)[rank])
    assert seconds_until_unused(cluster) <= timing.REMOVAL_LIMIT_S


@pytest.mark.parametrize("delay_s", [0.3, 0.9, 1.5, 1.95, 2.05, 2.3])
def test_the_removal_limit_holds_when_a_watcher_is_lost_later(
    delay_s: float,
) -> None:
    for rank in (0, 1):
        cluster = Cluster()
        server = add_servers(cluster)[0]
        server.stop()
        start = cluster.clock.monotonic()
        last_used = start
        killed = False
        while cluster.clock.monotonic() - start < 6:
            cluster.step()
            now = cluster.clock.monotonic()
            if not killed and now - start >= delay_s:
                killed = True
                cluster.kill(watchers(cluster, server)[rank])
            if any(cluster.servers(vm) for vm in cluster.alive()):
                last_used = now
        assert last_used - start <= timing.REMOVAL_LIMIT_S


@pytest.mark.parametrize("dying", [(), (0,), (1,), (0, 1)])
def test_a_leaving_server_is_unused_within_the_limit(
    dying: tuple[int, ...],
) -> None:
    cluster = Cluster()
    server = add_servers(cluster)[0]
    server.leaving = True
    server.announce_soon()
    for rank in dying:
        cluster.kill(watchers(cluster, server)[rank])
    used = seconds_until_unused(cluster)
    assert used <= (timing.REMOVAL_LIMIT_S if dying else 0.2)


def test_a_server_that_left_is_unused_until_its_next_incarnation() -> None:
    cluster = Cluster()
    server = add_servers(cluster)[0]
    server.stop()
    leave = cluster.tables["vm21"].leave
    clusters.run_sync(leave(entries.SERVER, "tee/s0", server.incarnation))
    assert seconds_until_unused(cluster) <= 0.2
    server.announce("vm11")  # late announcement of the same incarnation
    cluster.run(0.5)
    assert all(not cluster.servers(vm) for vm in cluster.alive())
    server.incarnation = "00000002"
    server.announce("vm11")
    cluster.run(0.5)
    assert all(cluster.servers(vm) for vm in cluster.alive())


def test_the_loss_of_vms_does_not_expire_live_servers() -> None:
    cluster = Cluster()
    add_servers(cluster, 24)
    for victim in ("vm00", "vm12", "vm01"):
        cluster.kill(victim)
        for _ in range(80):
            cluster.step()
            for vm in cluster.alive():
                assert len(cluster.servers(vm)) == 24, victim
    assert all(
        "gone" not in [what for what, _ in cluster.changes[vm]]
        for vm in cluster.alive()
    )


def test_a_cut_off_domain_serves_itself_and_is_not_used_from_outside() -> None:
    cluster = Cluster()
    for domain in ("d0", "d1"):
        AnnouncingMember(cluster, "server", f"s-{domain}", domain, sticky=False)
    cluster.run(1.0)
    cluster.isolate("d1")
    cluster.run(1.2)
    for _ in range(60):
        cluster.step()
        for vm in cluster.vms:
            expected = {"s-d1"} if vm.domain == "d1" else {"s-d0"}
            assert cluster.servers(vm.vm_id) == expected
    cluster.cuts.clear()
    cluster.run(1.0)
    for vm in cluster.alive():
        assert cluster.servers(vm) == {"s-d0", "s-d1"}


def test_a_partial_partition_does_not_make_members_flap() -> None:
    cluster = Cluster()
    server = add_servers(cluster)[0]
    first, second = watchers(cluster, server)
    server.vms = ["vm20"]
    for lost in (first, second):
        cluster.cuts.clear()
        cluster.cut("vm20", lost)
        for _ in range(200):
            cluster.step()
            for vm in cluster.alive():
                assert cluster.servers(vm) == {"s0"}
    cluster.cut("vm20", first)  # the third VM of the domain relays now
    for _ in range(200):
        cluster.step()
        for vm in cluster.alive():
            assert cluster.servers(vm) == {"s0"}


def test_a_restarted_vm_catches_up_on_hundreds_of_members() -> None:
    cluster = Cluster()
    for n in range(500):
        AnnouncingMember(cluster, "worker", f"w{n}", "d0", sticky=False)
    cluster.run(2.0)
    for restarted in ("vm00", "vm20"):
        cluster.kill(restarted)
        cluster.run(1.5)
        cluster.start(restarted)
        cluster.run(1.5)
        assert len(cluster.workers(restarted, "d0")) == 500
    for vm in cluster.alive():
        assert len(cluster.workers(vm, "d0")) == 500


@pytest.mark.parametrize("frozen", ["vm00", "vm01", "vm02", "vm10"])
def test_a_vm_ignores_evidence_from_before_a_stall(frozen: str) -> None:
    cluster = Cluster()
    server = add_servers(cluster)[0]
    cluster.frozen.add(frozen)
    cluster.run(1.0)
    server.stop()
    cluster.run(5.0)
    cluster.frozen.clear()
    # Unused before the first tick, before any notice, and from then on.
    assert not cluster.servers(frozen)
    cluster.tables[frozen].tick()
    assert not cluster.servers(frozen)
    for _ in range(100):
        cluster.step()
        assert all(not cluster.servers(vm) for vm in cluster.alive())


def test_a_vm_uses_live_members_again_soon_after_a_stall() -> None:
    cluster = Cluster()
    add_servers(cluster, 5)
    cluster.frozen.add("vm10")
    cluster.run(5.0)
    cluster.frozen.clear()
    cluster.run(1.0)
    assert len(cluster.servers("vm10")) == 5


def test_bad_announcements_get_typed_errors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    classes = {"offer": models.RequestClass(urgency=0)}
    services = {clusters.SERVICE: models.Service(classes=["offer"])}
    configuration = models.Configuration(
        site="fingal", domains=["d0"], classes=classes, services=services
    )
    cluster = Cluster(configuration=configuration)
    server = add_servers(cluster)[0]
    table = cluster.tables["vm10"]

    def refused(error: type[Exception], **fields: object) -> None:
        report = server.report()
        changed = {name: getattr(report, name) for name in report.__slots__}
        changed.update(fields)
        with pytest.raises(error):
            clusters.run_sync(
                table.announce_server(members.BackendServer(**changed))
            )

    refused(errors.UnknownServiceError, service="nothing")
    refused(errors.UnknownDomainError, domain="d9")
    server.sequence += 1
    refused(errors.StaleIncarnationError, incarnation="0")
    for expected in (True, False):
        answer = clusters.run_sync(table.announce_server(server.report()))
        assert answer.accepted is expected
    monkeypatch.setattr(rows, "MAX_ENTRIES", 1)
    refused(errors.TableFullError, server_id="s9")
    cluster.isolate("d0")
    cluster.run(1.2)
    refused(errors.DomainUnreachableError, sequence=10**6)
    with pytest.raises(errors.UnknownMemberError):
        clusters.run_sync(table.leave(entries.WORKER, "w9", "1"))


def test_busy_slots_are_broadcast_at_a_limited_rate() -> None:
    cluster = Cluster()
    server = add_servers(cluster)[0]
    cluster.sent.clear()
    for n in range(200):
        server.busy = 8 * (n % 2)
        cluster.step()
    others = len(cluster.vms) - 1
    assert (
        0 < cluster.sent["Rows"] <= (10 / timing.MIN_BUSY_INTERVAL_S) * others
    )
    server.busy = 5
    cluster.run(4.0)
    for vm in cluster.alive():
        assert cluster.tables[vm].servers(clusters.SERVICE)[0].busy == 5


def test_observers_receive_each_change_once() -> None:
    cluster = Cluster()
    server = add_servers(cluster)[0]
    server.incarnation = "00000002"
    server.sequence = 0
    cluster.run(1.0)
    server.leaving = True
    cluster.run(1.0)
    server.stop()
    cluster.run(4.0)
    for vm in cluster.alive():
        assert [what for what, _ in cluster.changes[vm]] == [
            "joined",
            "gone",
            "joined",
            "leaving",
            "gone",
        ]


def test_timeouts_satisfy_the_bounds_of_the_module_docstring() -> None:
    both = 2 * timing.TICK_S + timing.SUSPICION_TIMEOUT_S + timing.MARGIN_S
    expiry = timing.FORWARD_DELAY_S + timing.MAX_SERVER_TTL_S + both
    assert expiry <= timing.REMOVAL_LIMIT_S
    inherited = timing.PEER_TIMEOUT_S + timing.INHERITED_SERVER_TTL_S
    lost = inherited + 2 * timing.TICK_S + timing.MARGIN_S
    assert lost <= timing.REMOVAL_LIMIT_S
    interval = timing.server_interval_s(models.MemberPolicy())
    assert (
        interval + 0.4 + timing.FORWARD_DELAY_S < timing.INHERITED_SERVER_TTL_S
    )


def test_a_lost_server_is_unused_after_all_vms_of_its_domain_restart() -> None:
    cluster = Cluster()
    server = add_servers(cluster)[0]
    server.stop()
    for vm in cluster.vms:
        if vm.domain == server.domain:
            cluster.start(vm.vm_id)  # all at once, so that no peer times out
    assert seconds_until_unused(cluster) <= timing.REMOVAL_LIMIT_S


def test_a_vm_that_missed_both_broadcasts_detects_the_loss_in_time() -> None:
    cluster = Cluster()
    server = add_servers(cluster)[0]
    for watcher in watchers(cluster, server):
        cluster.cut("vm20", watcher)
    cluster.run(2.0)
    assert cluster.servers("vm20") == {"s0"}
    server.stop()
    assert seconds_until_unused(cluster) <= timing.REMOVAL_LIMIT_S


def test_a_member_that_changed_its_domain_is_known_once() -> None:
    cluster = Cluster()
    server = add_servers(cluster)[0]
    server.domain = "d1"
    server.incarnation = "00000002"
    cluster.run(1.0)
    for vm in cluster.alive():
        known = cluster.tables[vm].known_members(entries.SERVER)
        assert [k.member.domain for k in known] == ["d1"]


def test_workers_with_long_intervals_survive_the_loss_of_watchers() -> None:
    cluster = Cluster()
    for n in range(400):
        AnnouncingMember(cluster, "worker", f"w{n}", "d0", sticky=False)
    cluster.run(60.0)
    interval_s = timing.worker_interval_s(models.MemberPolicy(), 133)
    assert interval_s > 2 * models.MemberPolicy().worker_ttl_ms / 1000
    cluster.kill("vm00")
    cluster.run(1.5)
    cluster.start("vm00")
    cluster.run(1.5)
    cluster.kill("vm01")
    cluster.run(3 * interval_s)
    for vm in cluster.alive():
        assert len(cluster.workers(vm, "d0")) == 400
        assert "gone" not in [what for what, _ in cluster.changes[vm]]


def test_probes_skip_a_vm_that_does_not_answer() -> None:
    cluster = Cluster()
    add_servers(cluster, 3)
    cluster.kill("vm00")
    for _ in range(40):
        cluster.step()
        for vm in cluster.alive():
            oldest = (
                min(
                    domain.evidence_at(entry)
                    for domain in cluster.tables[vm]._store.domains.values()
                    for entry in domain
                    if entry.watcher_rank is None
                )
                if not vm.startswith("vm0")
                else cluster.clock.monotonic()
            )
            age = cluster.clock.monotonic() - oldest
            assert age < timing.PROBE_INTERVAL_S + 2 * timing.PROBE_TIMEOUT_S


def test_a_vm_that_is_cut_off_rejects_announcements() -> None:
    cluster = Cluster(domains=1)
    worker = AnnouncingMember(cluster, "worker", "w0", "d0", sticky=True)
    worker._turn = 0
    cluster.run(1.0)
    for other in ("vm01", "vm02"):
        cluster.cut("vm00", other)
    cluster.run(6.0)
    for vm in ("vm01", "vm02"):
        assert cluster.workers(vm, "d0") == {"w0"}
        assert ("gone", "-") not in cluster.changes[vm][-1:]


def test_the_only_vm_of_a_domain_serves_it_alone() -> None:
    cluster = Cluster(domains=2, per_domain=1)
    AnnouncingMember(cluster, "worker", "w0", "d0", vms=["vm00"])
    cluster.run(1.0)
    cluster.isolate("d0")
    cluster.run(6.0)
    assert cluster.workers("vm00", "d0") == {"w0"}

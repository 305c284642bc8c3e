"""What the integration tests of jobs ask of a site."""

import typing
from collections import abc

import httpcore
import trio

from laburnumsill.testing import cluster
from laburnumsill.testing import gang_history
from laburnumsill.testing import http
from laburnumsill.testing import scenario

LOST = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)
"""Failures after which a caller does not know what became of its call."""

ACCEPT_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 5.0


async def start_site(
    site: cluster.Cluster,
    guarantees: abc.Mapping[str, abc.Mapping[str, typing.Any]] | None = None,
    **policy: object,
) -> None:
    """Pushes a configuration and waits until every VM is ready.

    Args:
        site: The site.
        guarantees: For each account, its shape in each domain; an account
            that `scenario.configuration` has not is added.
        **policy: Fields of `models.JobPolicy`.
    """
    domains = {site.domain_of(vm_id) for vm_id in site.vm_ids}
    configuration = scenario.configuration(domains)
    configuration["jobs"] = {"lease_s": gang_history.LEASE_S, **policy}
    for account, shapes in (guarantees or {}).items():
        configuration["accounts"][account] = {"guarantee": shapes}
    await site.until_led("root", site.vm_ids)
    answer = await site.push(configuration, site.vm_ids[0])
    assert answer.status == 200, answer.body
    await site.until_ready()


async def submit(
    site: cluster.Cluster,
    vm_id: str,
    key: str,
    tasks: int,
    accelerators: int,
    run_s: float,
    **fields: typing.Any,
) -> http.Answer:
    """Submits a job once through one VM."""
    caller = site.client(vm_id)
    return await post(caller, key, tasks, accelerators, run_s, **fields)


async def post(
    caller: http.Client,
    key: str,
    tasks: int,
    accelerators: int,
    run_s: float,
    timeout_s: float = http.DEFAULT_TIMEOUT_S,
    **fields: object,
) -> http.Answer:
    """Submits a job once."""
    job = {
        "account": scenario.ACCOUNT,
        "tasks": tasks,
        "accelerators": accelerators,
        "run_s": run_s,
        **fields,
    }
    headers = {"Idempotency-Key": key}
    return await caller.send("POST", "/v1/jobs", job, headers, timeout_s)


async def submit_until_accepted(
    site: cluster.Cluster,
    key: str,
    tasks: int,
    accelerators: int,
    run_s: float,
    vm_ids: abc.Sequence[str] = (),
    **fields: object,
) -> str:
    """Submits a job until it is taken in; returns its id."""
    with trio.fail_after(ACCEPT_TIMEOUT_S):
        while True:
            for vm_id in vm_ids or site.vm_ids:
                try:
                    answer = await submit(
                        site, vm_id, key, tasks, accelerators, run_s, **fields
                    )
                except LOST:
                    continue
                if answer.status in (200, 201):
                    return str(answer.json()["job_id"])
                assert answer.status in (503, 504), answer.body
            await trio.sleep(0.1)


async def cancel_until_done(site: cluster.Cluster, job_id: str) -> None:
    """Cancels a job until it is acknowledged that none of it runs."""
    with trio.fail_after(ACCEPT_TIMEOUT_S):
        while True:
            for vm_id in site.vm_ids:
                try:
                    answer = await site.client(vm_id).send(
                        "DELETE", f"/v1/jobs/{job_id}"
                    )
                except LOST:
                    continue
                if answer.status == 200:
                    return
                assert answer.status in (202, 503, 504), answer.body
            await trio.sleep(0.1)


async def view_of(
    site: cluster.Cluster, job_id: str, vm_ids: abc.Sequence[str] = ()
) -> dict[str, typing.Any] | None:
    """Returns a job as the first VM that answers shows it, or None."""
    for vm_id in vm_ids or site.vm_ids:
        try:
            answer = await site.client(vm_id).send(
                "GET", f"/v1/jobs/{job_id}", timeout_s=CALL_TIMEOUT_S
            )
        except LOST:
            continue
        if answer.status == 200:
            found: dict[str, typing.Any] = answer.json()
            return found
    return None


async def state_of(
    site: cluster.Cluster, job_id: str, vm_ids: abc.Sequence[str] = ()
) -> str | None:
    """Returns a job's state as the first VM that answers shows it."""
    view = await view_of(site, job_id, vm_ids)
    return view["state"] if view is not None else None


async def until_state(
    site: cluster.Cluster,
    job_id: str,
    *states: str,
    timeout_s: float = 60,
    vm_ids: abc.Sequence[str] = (),
) -> None:
    """Waits until a job is in one of these states."""

    async def reached() -> bool:
        return await state_of(site, job_id, vm_ids) in states

    await site.until(reached, f"{job_id} is {' or '.join(states)}", timeout_s)


async def behave(
    site: cluster.Cluster,
    fields: abc.Mapping[str, object],
    names: abc.Iterable[str] = (),
) -> None:
    """Sets the behaviour of these fake workers, or of all."""
    for name in names or site.names("worker-"):
        answer = await site.client(name).send(
            "POST", "/_fake/behaviour", dict(fields)
        )
        assert answer.status == 200, answer.body

"""HTTP endpoints for client accounts: guarantees, use and borrowed slots."""

import trio
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import problems
from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import replication
from laburnumsill.state import jobs_messages

QUERY_TIMEOUT_S = 2.0
"""Timeout of the usage queries to all failure domains."""

DomainUses = dict[str, jobs_messages.DomainUse | None]


def routes(
    groups: replication.Groups,
    current: current_module.Current,
    clock: clocks.Clock,
) -> list[routing.Route]:
    """Returns the routes of this module."""

    async def list_accounts(request: requests.Request) -> responses.Response:
        configuration = _configuration(current)
        uses = await _query_uses(groups, configuration, clock)
        documents = [
            _document(name, account, uses)
            for name, account in sorted(configuration.accounts.items())
        ]
        return problems.json_response({"accounts": documents})

    async def get(request: requests.Request) -> responses.Response:
        configuration = _configuration(current)
        name = request.path_params["name"]
        account = configuration.accounts.get(name)
        if account is None:
            raise errors.UnknownNameError(f"no account {name!r}")
        uses = await _query_uses(groups, configuration, clock)
        return problems.json_response(_document(name, account, uses))

    return [
        routing.Route("/v1/accounts", problems.guarded(list_accounts)),
        routing.Route("/v1/accounts/{name}", problems.guarded(get)),
    ]


def _configuration(current: current_module.Current) -> models.Configuration:
    configuration = current.get()
    if configuration is None:
        raise errors.UnavailableError("no configuration is in force yet")
    return configuration


async def _query_uses(
    groups: replication.Groups,
    configuration: models.Configuration,
    clock: clocks.Clock,
) -> DomainUses:
    """Queries the usage of each domain; None for one that is unavailable."""
    uses: DomainUses = {}
    deadline = clock.monotonic() + QUERY_TIMEOUT_S

    async def query_domain(domain: str) -> None:
        uses[domain] = None
        try:
            uses[domain] = await groups.query(
                ids.domain_group(domain), jobs_messages.GetUse(), deadline
            )
        except (errors.UnavailableError, errors.OutcomeUnknownError):
            return

    async with trio.open_nursery() as nursery:
        for domain in configuration.domains:
            nursery.start_soon(query_domain, domain)
    return uses


def _document(
    name: str, account: models.Account, uses: DomainUses
) -> dict[str, object]:
    """Returns an account with its guarantee and use in each domain."""
    domains: dict[str, object] = {}
    for domain, use in sorted(uses.items()):
        shape = account.guarantee.get(domain, models.Shape())
        entry: dict[str, object] = {"guarantee": shape.model_dump()}
        if use is not None:
            account_use = use.accounts.get(name, jobs_messages.AccountUse())
            entry["use"] = account_use
            entry["shortfall"] = use.shortfall
        domains[domain] = entry
    return {
        "name": name,
        "weight": account.weight,
        "may_borrow": account.may_borrow,
        "domains": domains,
        "unavailable": sorted(d for d, use in uses.items() if use is None),
    }

"""Counts the groups without a majority: `python -m bench.voters_under_cuts`.

Takes the first voters that `core.topology` gives 26 VMs in nine domains of
three regions, under two ways to name the domains, and counts which groups
have no majority when domains, regions or single VMs are cut off.
"""

import typing

import fire

from bench import measuring
from laburnumsill.core import topology

REGIONS = 3
VMS = 26
NAMINGS: dict[str, list[tuple[str, int]]] = {
    "region first": [(f"r{n // 3}-d{n % 3}", n // 3) for n in range(9)],
    "regions mixed": [(f"d{n}", n % REGIONS) for n in range(9)],
}


def measure(naming: str) -> dict[str, typing.Any]:
    """Returns the counts under one way to name the domains."""
    domains = NAMINGS[naming]
    region_of = dict(domains)
    vms = [
        topology.Vm(f"vm{n:02}", domains[n % 9][0], "", "", True)
        for n in range(VMS)
    ]
    home = {vm.vm_id: region_of[vm.domain] for vm in vms}
    groups = topology.initial_voters(vms)
    root = [home[vm] for vm in groups.pop("root")]
    across = 0
    exposed = 0
    for name, voters in groups.items():
        region = region_of[name.partition(".")[2]]
        outside = [vm for vm in voters if home[vm] != region]
        across += bool(outside)
        # Cut by region, it has len(voters) - len(outside) left, and may
        # lose one of them only if a majority is still there.
        left = len(voters) - len(outside)
        exposed += left - 1 <= len(voters) // 2
    replicas = {vm.vm_id: 0 for vm in vms}
    for voters in [*groups.values(), topology.root_voters(vms)]:
        for vm in voters:
            replicas[vm] += 1
    return {
        "names": naming,
        "root_voters_by_region": "/".join(
            str(root.count(r)) for r in range(REGIONS)
        ),
        "outside_voter_in_another_region": across,
        "groups_cut_that_one_more_VM_stops": exposed,
        "regions_whose_cut_stops_the_root_elsewhere": sum(
            len(root) - root.count(r) <= len(root) // 2 for r in range(REGIONS)
        ),
        "replicas_a_VM_max": max(replicas.values()),
        "VMs_without_replica": sum(not n for n in replicas.values()),
    }


def main() -> None:
    """Prints the table and writes JSON."""
    rows = [measure(naming) for naming in NAMINGS]
    names = list(rows[0])
    measuring.print_table(
        "voters under cuts of regions",
        names[:1] + [str(row["names"]) for row in rows],
        [[name, *(row[name] for row in rows)] for name in names[1:]],
    )
    measuring.save("voters_under_cuts", {"rows": rows})


if __name__ == "__main__":
    fire.Fire(main)

#!/usr/bin/env bash
# Guards against refusals by an admission owner that takes over from a stopping
# host and misses the end of its first flows: their slots count as busy until
# load reports correct this, and waiting requests time out. First argument:
# folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster


def scenario(run):
    # About a third of the slots of each zone.
    for zone in run.zones:
        run.start_caller(zone, rate=400, feeds=150)
    run.wait_for_requests(100)
    run.replace_hosts(run.zones[0], 30)
    run.finish()
    told = run.observed["requests_told_not_run"]
    cluster.check(told == 0, f"{told} requests were refused although slots were free")


# Two zones halve the number of slots per zone.
cluster.main(scenario, zones=("sando", "couva"), hosts=3)
END

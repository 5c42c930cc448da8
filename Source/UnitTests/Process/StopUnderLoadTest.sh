#!/usr/bin/env bash
# Guards against refusals by an admission owner that takes over from a stopping
# host and does not see its first flows end: their slots then count as busy until
# the load reports correct it, and requests wait in vain. First argument: folder
# of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster


def scenario(run):
    # About a third of the slots of each zone.
    for zone in run.zones:
        run.start_caller(zone, rate=400, feeds=150)
    run.until_executed(100)
    run.replace_hosts(run.zones[0], 30)
    run.finish()
    told = run.observed["requests_told_not_run"]
    cluster.check(told == 0, f"{told} requests were refused with slots free")


# Two zones, so that a zone has few enough slots.
cluster.main(scenario, zones=("sando", "couva"), hosts=3)
END

#!/usr/bin/env bash
# Guards against a graceful stop or a start of a host that breaks feeds or loses
# requests while all hosts of a zone are replaced one after another. First
# argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster


def scenario(run):
    for zone in run.zones:
        run.start_caller(zone)
    run.wait_for_requests(100)
    run.replace_hosts(run.zones[0], 30)
    run.finish()


cluster.main(scenario, zones=("sando", "couva"), hosts=3)
END

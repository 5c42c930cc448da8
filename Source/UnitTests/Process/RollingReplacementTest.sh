#!/usr/bin/env bash
# Guards against a graceful stop or a start that breaks feeds or loses requests
# while all hosts of a zone are replaced one after another. First argument:
# folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster


def scenario(run):
    for zone in run.zones:
        run.start_caller(zone)
    run.until_executed(100)
    zone = run.zones[0]
    for host in [it for it in run.daemons if run.hosts[it]["zone"] == zone]:
        status = run.end_daemon(host)
        run.observed[f"status of {host}"] = status
        cluster.check(status == 0, f"{host} ended with status {status}")
        run.until_executed(30)
        run.start_daemon(host)
        run.until(f"{host} is ready again", run.all_ready)
        run.until_executed(30)
    run.finish()


cluster.main(scenario, zones=("sando", "couva"), hosts=3)
END

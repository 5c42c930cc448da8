#!/usr/bin/env bash
# Guards against causes that are lost when all hosts of a zone are replaced one
# after another: a cause and its copies are then held by hosts that end in turn.
# First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster


def scenario(run):
    run.start_caller(rate=40, feeds=6)
    run.until_executed(20)
    hosts = list(run.daemons)
    for host in hosts:
        cluster.check(run.end_daemon(host) == 0, f"{host} did not end well")
        run.start_daemon(host)
        run.until(f"{host} is ready again", run.all_ready)

    def told():
        report = run.ctl_json("cause", hosts)["changes_and_failures"]
        run.observed["left"] = sorted(it["subject"] for it in report
                                      if it["cause"] == "HostLeaving")
        return run.observed["left"] == hosts

    # Copies are sent once per second.
    run.until("the graceful stop of each host is still told", told, 5)
    run.finish()


cluster.main(scenario)
END

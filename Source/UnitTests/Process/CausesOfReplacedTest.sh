#!/usr/bin/env bash
# Guards against causes that are lost when all hosts of a zone are replaced one
# after another, since the hosts that hold a cause and its copies all end.
# First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster


def scenario(run):
    run.start_caller(rate=40, feeds=6)
    run.wait_for_requests(20)
    hosts = list(run.daemons)
    for host in hosts:
        cluster.check(run.end_daemon(host) == 0, f"{host} did not end with status 0")
        run.start_daemon(host)
        run.wait_until(f"{host} is ready again", run.are_all_hosts_ready)

    def are_all_stops_reported():
        report = run.run_auburnctl_json("cause", hosts)["changes_and_failures"]
        run.observed["left"] = sorted(it["subject"] for it in report
                                      if it["cause"] == "HostLeaving")
        return run.observed["left"] == hosts

    # Hosts send copies once per second.
    run.wait_until("the graceful stop of each host is still reported", are_all_stops_reported, 5)
    run.finish()


cluster.main(scenario)
END

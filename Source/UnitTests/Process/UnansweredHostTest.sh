#!/usr/bin/env bash
# Guards against a dead host that hides the answers of the other hosts, or that
# is missing in the list of hosts without an answer, depending on its position in
# --hosts. First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import itertools
import signal

import cluster


def scenario(run):
    run.start_caller(rate=40, feeds=6)
    run.wait_for_requests(20)
    killed = sorted(run.daemons)[1]
    run.end_daemon(killed, signal.SIGKILL)
    run.wait_until("the others know of the death", lambda: all(
        any(it["name"] == killed and it["state"] == "dead" for it in run.status(host)["hosts"])
        for host in run.daemons))
    faults = []
    for hosts in itertools.permutations(sorted(run.hosts)):
        for command in ("status", "cause", "burn"):
            status, out, err = run.run_auburnctl(command, hosts, "--json")
            listed = status == 0 and cluster.json.loads(out).get("not_answered")
            if listed not in ([killed], [run.hosts[killed]["operator"]]):
                faults.append([command, *hosts, status, err.strip(), listed])
    run.observed["killed"] = killed
    run.observed["faults"] = faults
    cluster.check(not faults, f"{len(faults)} commands fail or do not list {killed}")
    run.finish()


cluster.main(scenario)
END

#!/usr/bin/env bash
# Guards against a host that resumes after a pause and acts on outdated state: it
# places old SYNs, causes a request to run twice or keeps an old settings
# revision. First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import signal
import time

import cluster

PAUSES = "auburnroute_pauses_total"


def pause_owner(run, seconds):
    owner = run.wait_until("hosts agree on the owner of counter",
                           lambda: run.agreed_owner("counter"))
    before = run.metric(owner, PAUSES)
    process = run.daemons[owner]
    run.send_signal(process, signal.SIGSTOP)
    time.sleep(seconds)
    run.send_signal(process, signal.SIGCONT)
    if seconds >= 2:
        run.wait_until(f"{owner} notices the pause", lambda: run.metric(owner, PAUSES) > before)

    def is_confirmed():
        status = run.status(owner)
        return status["state"] == "live" and status["confirmation"] == "confirmed by a peer"

    run.wait_until(f"{owner} is confirmed by a peer", is_confirmed)
    run.wait_until(f"all hosts agree after the pause of {owner}", run.are_all_hosts_ready)
    run.wait_for_requests(60)
    run.observed[f"pause of {seconds} s"] = {
        "owner": owner, "pauses_total": [before, run.metric(owner, PAUSES)]}


def scenario(run):
    run.start_caller()
    run.wait_for_requests(60)
    for seconds in (0.1, 2, 8):
        pause_owner(run, seconds)
    run.finish()


cluster.main(scenario)
END

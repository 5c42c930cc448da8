#!/usr/bin/env bash
# Guards against a host that wakes up after a pause and acts on what it knew
# before: places old SYNs, runs a request twice or keeps an old settings
# revision. First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import signal
import time

import cluster

PAUSES = "auburnroute_pauses_total"


def pause(run, seconds):
    owner = run.until("hosts agree on the owner of counter", lambda: run.owner("counter"))
    before = run.metric(owner, PAUSES)
    process = run.daemons[owner]
    run.send_signal(process, signal.SIGSTOP)
    time.sleep(seconds)
    run.send_signal(process, signal.SIGCONT)
    if seconds >= 2:
        run.until(f"{owner} notices the pause", lambda: run.metric(owner, PAUSES) > before)

    def confirmed():
        status = run.status(owner)
        return status["state"] == "live" and status["confirmation"] == "confirmed by a peer"

    run.until(f"{owner} is confirmed by a peer", confirmed)
    run.until(f"all hosts agree after the pause of {owner}", run.all_ready)
    run.until_executed(60)
    run.observed[f"pause of {seconds} s"] = {
        "owner": owner, "pauses_total": [before, run.metric(owner, PAUSES)]}


def scenario(run):
    run.start_caller()
    run.until_executed(60)
    for seconds in (0.1, 2, 8):
        pause(run, seconds)
    run.finish()


cluster.main(scenario)
END

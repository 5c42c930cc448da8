#!/usr/bin/env bash
# Guards against flows that end with their admission owner, an owner that has no
# successor, and a death that nobody can be asked about. First argument: folder
# of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import signal

import cluster


def scenario(run):
    run.start_caller()
    run.until_executed(60)
    killed = run.until("hosts agree on the owner of counter", lambda: run.owner("counter"))
    status = run.end_daemon(killed, signal.SIGKILL)
    cluster.check(status == -signal.SIGKILL, f"{killed} ended with status {status}")
    owner = run.until("another owner takes over",
                      lambda: run.owner("counter") in run.daemons and run.owner("counter"))
    run.observed["owners"] = [killed, owner]
    run.until_executed(100)
    survivor = sorted(run.daemons)[0]

    def death():
        report = run.ctl_json("cause", [survivor])
        return [it for it in report["changes_and_failures"]
                if it["cause"] == "HostDead" and it["subject"] == killed]

    run.observed["death"] = run.until(f"HostDead of {killed} is reported", death)
    others = [it for it in run.ctl_json("cause", [survivor])["changes_and_failures"]
              if it["cause"] == "HostDead" and it["subject"] != killed]
    cluster.check(not others, f"other hosts are reported dead: {others}")
    for command in ("cause", "status"):
        missing = run.ctl_json(command, [killed, survivor])["not_answered"]
        cluster.check(missing in ([killed], [run.hosts[killed]["operator"]]),
                      f"{command}: not answered: {missing}, killed: {killed}")
    run.finish()


cluster.main(scenario)
END

#!/usr/bin/env bash
# Guards against flows that break when their admission owner is killed, against
# an owner that nobody succeeds, and against a death that the other hosts don't
# report. First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import signal

import cluster


def scenario(run):
    run.start_caller()
    run.wait_for_requests(60)
    killed = run.wait_until("hosts agree on the owner of counter",
                            lambda: run.agreed_owner("counter"))
    status = run.end_daemon(killed, signal.SIGKILL)
    cluster.check(status == -signal.SIGKILL, f"{killed} ended with status {status}")
    owner = run.wait_until("another owner takes over",
                           lambda: run.agreed_owner("counter") in run.daemons
                           and run.agreed_owner("counter"))
    run.observed["owners"] = [killed, owner]
    run.wait_for_requests(100)
    survivor = sorted(run.daemons)[0]

    def death_causes():
        report = run.run_auburnctl_json("cause", [survivor])
        return [it for it in report["changes_and_failures"]
                if it["cause"] == "HostDead" and it["subject"] == killed]

    run.observed["death"] = run.wait_until(f"HostDead of {killed} is reported", death_causes)
    others = [it for it in run.run_auburnctl_json("cause", [survivor])["changes_and_failures"]
              if it["cause"] == "HostDead" and it["subject"] != killed]
    cluster.check(not others, f"other hosts are reported dead: {others}")
    for command in ("cause", "status"):
        missing = run.run_auburnctl_json(command, [killed, survivor])["not_answered"]
        cluster.check(missing in ([killed], [run.hosts[killed]["operator"]]),
                      f"{command}: not answered: {missing}, killed: {killed}")
    run.finish()


cluster.main(scenario)
END

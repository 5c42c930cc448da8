#!/usr/bin/env bash
# Guards against new work on a draining backend server and against feeds that
# break because of the drain. A drain is announced in the host list, in the load
# report or in the settings. First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import copy
import time

import cluster

BY_LIST, BY_REPORT, BY_SETTINGS = "counter-1", "counter-2", "counter-3"
LEAVING = (BY_LIST, BY_REPORT, BY_SETTINGS)


def drain_by_settings(run):
    document = copy.deepcopy(run.document)
    document["revision"] = 2
    run.servers(document, "counter")[BY_SETTINGS]["state"] = "draining"
    run.publish(document)


def scenario(run):
    run.start_caller(feeds=45)
    run.wait_until("all three have feeds and work", lambda: all(
        run.results()["servers"][it]["feeds_accepted"] > 0
        and run.results()["servers"][it]["requests_accepted"] > 0 for it in LEAVING))
    # The settings come last: a new revision must not end the other two drains.
    run.publish_hosts(leavingBackendServers=[{"service": "counter", "name": BY_LIST}])
    run.set_server_mode(BY_REPORT, "draining")
    drain_by_settings(run)
    time.sleep(cluster.DRAIN_SECONDS)
    before = {it: run.accepted_count(it) for it in LEAVING}
    run.wait_for_requests(300)
    after = {it: run.accepted_count(it) for it in LEAVING}
    run.observed["accepted"] = {"3 s after the change": before, "at the end": after}
    cluster.check(before == after, f"new work on a draining server: accepted {before}, then {after}")
    run.finish()


cluster.main(scenario)
END

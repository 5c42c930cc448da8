#!/usr/bin/env bash
# Guards against three failures when a backend server dies: flows of other
# servers break, the dead server gets new flows after its ejection, or no cause
# names it. First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster

DEAD = "counter-5"


def failed_servers(run):
    """Returns the servers that the causes report as ejected or down."""
    report = run.run_auburnctl_json("cause", [sorted(run.daemons)[0]])
    return {it["subject"] for it in report["changes_and_failures"] + report["findings"]
            if it["cause"] in ("BackendServerEjected", "BackendServerDown")}


def scenario(run):
    run.start_caller(feeds=45)
    run.wait_until(f"{DEAD} has feeds", lambda:
              run.results()["servers"][DEAD]["feeds_accepted"] > 0
              and run.results()["servers"][DEAD]["requests_accepted"] > 0)
    run.wait_for_requests(60)
    servers = run.results()["servers"]
    lost = servers[DEAD]["feeds_accepted"]
    feeds = sum(it["feeds_accepted"] for it in servers.values())
    run.set_server_mode(DEAD, "dead")
    run.wait_until("a cause names the ejection", lambda: failed_servers(run))
    before = run.results()["servers"][DEAD]["syns_while_dead"]
    run.wait_for_requests(300)

    def are_feeds_reopened():
        counts = run.results()["servers"]
        return sum(it["feeds_accepted"] for it in counts.values()) >= feeds + lost

    # TCP gives up the lost feeds about 20 s after the server died.
    run.wait_until("the callers open the lost feeds again", are_feeds_reopened, 60)
    after = run.results()["servers"][DEAD]["syns_while_dead"]
    run.observed["syns to the dead server"] = {"at its ejection": before, "at the end": after}
    run.observed["named"] = sorted(failed_servers(run))
    run.observed["lost"] = lost
    cluster.check(before == after, f"SYNs after the ejection: {before}, then {after}")
    cluster.check(failed_servers(run) == {DEAD},
                  f"causes name {failed_servers(run)}, expected only {DEAD}")
    summaries, ids, _ = run.finish(may_break=(DEAD,), may_be_unknown=True)
    broken = sum(len(it["feeds_broken"]) for it in summaries)
    cluster.check(broken == lost, f"{broken} feeds broke, expected the {lost} feeds of {DEAD}")
    unknown = [it for lists in ids for it in lists["unknown_details"]]
    slots = run.servers(run.document, "counter")[DEAD]["slots"]
    # Only requests in progress on the dead server may have an unknown outcome.
    cluster.check(len(unknown) <= slots and all(it["service"] == "counter" for it in unknown),
                  f"{len(unknown)} requests with an unknown outcome, expected at most the "
                  f"{slots} slots of {DEAD}")


cluster.main(scenario)
END

#!/usr/bin/env bash
# Guards against a dead backend server that takes other flows with it, gets new
# flows after its ejection, or is not named as the cause. First argument: folder
# of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster

DEAD = "counter-5"


def causes(run):
    """Subjects of the causes that tell of a failing backend server."""
    report = run.ctl_json("cause", [sorted(run.daemons)[0]])
    return {it["subject"] for it in report["changes_and_failures"] + report["findings"]
            if it["cause"] in ("BackendServerEjected", "BackendServerDown")}


def scenario(run):
    run.start_caller(feeds=45)
    run.until(f"{DEAD} has feeds", lambda:
              run.results()["servers"][DEAD]["feeds_accepted"] > 0
              and run.results()["servers"][DEAD]["requests_accepted"] > 0)
    run.until_executed(60)
    servers = run.results()["servers"]
    lost = servers[DEAD]["feeds_accepted"]
    feeds = sum(it["feeds_accepted"] for it in servers.values())
    run.control(DEAD, "dead")
    run.until("a cause names the ejection", lambda: causes(run))
    before = run.results()["servers"][DEAD]["syns_while_dead"]
    run.until_executed(300)

    def reopened():
        counts = run.results()["servers"]
        return sum(it["feeds_accepted"] for it in counts.values()) >= feeds + lost

    # TCP gives the lost feeds up some 20 s after the death.
    run.until("the callers open the lost feeds again", reopened, 60)
    after = run.results()["servers"][DEAD]["syns_while_dead"]
    run.observed["syns to the dead server"] = {"at its ejection": before, "at the end": after}
    run.observed["named"] = sorted(causes(run))
    run.observed["lost"] = lost
    cluster.check(before == after, f"SYNs after the ejection: {before}, then {after}")
    cluster.check(causes(run) == {DEAD}, f"causes name {causes(run)}, not only {DEAD}")
    summaries, ids, _ = run.finish(may_break=(DEAD,), may_be_unknown=True)
    broken = sum(len(it["feeds_broken"]) for it in summaries)
    cluster.check(broken == lost, f"{broken} feeds broke, {DEAD} had {lost}")
    unknown = [it for lists in ids for it in lists["unknown_details"]]
    slots = run.servers(run.document, "counter")[DEAD]["slots"]
    # Those under way on the dead server, and no others.
    cluster.check(len(unknown) <= slots and all(it["service"] == "counter" for it in unknown),
                  f"{len(unknown)} requests with an unknown outcome, {DEAD} had {slots} slots")


cluster.main(scenario)
END

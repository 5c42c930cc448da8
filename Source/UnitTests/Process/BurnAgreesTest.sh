#!/usr/bin/env bash
# Guards against burn counts that differ from what callers and backend servers
# observed, while a server sheds load and there are more requests than slots.
# First argument: folder of the programs.
#
# Tolerated differences:
# - A retransmitted FIN or RST passes through the admission owner again and is
#   counted again, as is the refusal of a retransmitted SYN: at most one per
#   segment that callers or backend servers retransmit.
# - A restarted backend server answers each segment of a lost feed with a reset
#   until the caller has received the first one: at most one more per lost feed.
# A flow that ends by a time-out of the caller doesn't count as broken, since no
# packet shows it. The scenario has no such flow.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster

SHEDDING = "counter-2"
SERVICES = ("counter", "catalogue")
FEEDS = 12


def reduce_slots(document):
    for name, count in (("counter", 4), ("catalogue", 2)):
        service = document["services"][name]
        service["backendServers"] = service["backendServers"][:count]
        service["queueLimit"] = 8
        service["queueTimeout"] = "150ms"


def burn_counts(run):
    """Returns the counts of the last hour by service, summed over the running hosts."""
    report = run.run_auburnctl_json("burn", sorted(run.daemons))
    cluster.check(report["hosts"] == len(run.daemons), f"{report['hosts']} hosts answered, expected {len(run.daemons)}")
    counts = {}
    for name in SERVICES:
        windows = report["services"][name]["windows"]
        hour = next(it for it in windows if it["window_minutes"] == 60)
        counts[name] = {key: hour[key] for key in ("good", "refused", "broken")}
    return counts


def expected_counts(summaries):
    """Returns the counts that the callers of one service observed.

    A feed counts as good when its caller closes it.
    """
    total = {key: sum(it[key] for it in summaries) for key in (
        "requests_answered", "requests_told_not_run", "feeds_opened", "feeds_refused")}
    broken = sum(len(it["feeds_broken"]) for it in summaries)
    return {"good": total["requests_answered"] + total["feeds_opened"] - broken,
            "refused": total["requests_told_not_run"] + total["feeds_refused"],
            "broken": broken}


def count_retransmissions(run, service, summaries):
    servers = run.results()["servers"]
    return sum(it["retransmissions"] for it in summaries) + sum(
        servers[it]["retransmissions"] for it in run.servers(run.document, service))


def feeds_accepted(run):
    return sum(it["feeds_accepted"] for it in run.results()["servers"].values())


def overload_servers(run):
    """Sends more requests than there are slots and lets one server shed load."""
    for it in SERVICES:
        run.start_caller(rate=150, feeds=6 if it == "counter" else 0, service=it,
                         straggler_share=0.3)
    run.wait_for_requests(60)
    run.set_server_mode(SHEDDING, "shedding")
    run.wait_until(f"{SHEDDING} is known to shed", lambda: any(
        it["cause"] == "BackendServerEjected" and it["subject"] == SHEDDING for it in
        run.run_auburnctl_json("cause", sorted(run.daemons))["changes_and_failures"]))
    run.wait_for_requests(400)
    run.end_callers()


def break_feeds(run):
    """Restarts all backend servers under open feeds.

    There are no requests, since these would wait for their answers.
    """
    before = feeds_accepted(run)
    run.start_caller(rate=0, feeds=FEEDS, service="counter")
    run.wait_until("feeds are open", lambda: feeds_accepted(run) >= before + FEEDS)
    run.restart_backends(run.zones[0])
    run.wait_until("feeds are open again", lambda: feeds_accepted(run) >= before + 2 * FEEDS)


def scenario(run):
    overload_servers(run)
    break_feeds(run)
    counter, catalogue, feeds = run.end_callers()[0]
    summaries = {"counter": [counter, feeds], "catalogue": [catalogue]}
    expected = {it: expected_counts(summaries[it]) for it in SERVICES}
    run.observed["seen"] = expected

    def agrees():
        counts = run.observed["burn"] = burn_counts(run)
        tolerance = run.observed["repeated"] = {
            it: count_retransmissions(run, it, summaries[it]) for it in SERVICES}
        return all(
            abs(counts[it][key] - expected[it][key]) <= tolerance[it]
            for it in SERVICES for key in ("good", "refused")) and all(
            0 <= counts[it]["broken"] - expected[it]["broken"]
            <= tolerance[it] + expected[it]["broken"] for it in SERVICES)

    # The counts of an admission owner reach its report within a second.
    run.wait_until("burn agrees with callers and backend servers", agrees, 15)
    cluster.check(all(expected[it]["refused"] > 0 for it in SERVICES), "nothing was refused")
    cluster.check(expected["counter"]["broken"] >= FEEDS,
                  f"expected at least {FEEDS} broken feeds, got {expected['counter']['broken']}")
    run.finish(may_break=run.zone_of_server)


cluster.main(scenario, adjust_document=reduce_slots)
END

#!/usr/bin/env bash
# Guards against burn counts that differ from what callers and backend servers
# saw, with a server that sheds its load and more requests than slots. First
# argument: folder of the programs.
#
# Counted differently, and so tolerated:
# - A FIN or RST that TCP repeats passes the admission owner again and counts
#   again, and so does the refusal of a repeated SYN: at most one per segment that
#   callers or backend servers repeat.
# - A restarted backend server answers each segment of a lost feed with a reset
#   until the caller has the first one: at most one more per lost feed.
# Not counted, by definition of a broken flow: flows that end by a time-out of the
# caller, since no packet tells. The scenario has none.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import cluster

SHEDDING = "counter-2"
SERVICES = ("counter", "catalogue")
FEEDS = 12


def few_slots(document):
    for name, count in (("counter", 4), ("catalogue", 2)):
        service = document["services"][name]
        service["backendServers"] = service["backendServers"][:count]
        service["queueLimit"] = 8
        service["queueTimeout"] = "150ms"


def burn(run):
    """Counts of the last hour by service, over the running hosts."""
    report = run.ctl_json("burn", sorted(run.daemons))
    cluster.check(report["hosts"] == len(run.daemons), f"{report['hosts']} hosts answered")
    counts = {}
    for name in SERVICES:
        windows = report["services"][name]["windows"]
        hour = next(it for it in windows if it["window_minutes"] == 60)
        counts[name] = {key: hour[key] for key in ("good", "refused", "broken")}
    return counts


def seen(summaries):
    """What callers of one service saw; a feed ends well when its caller closes it."""
    total = {key: sum(it[key] for it in summaries) for key in (
        "requests_answered", "requests_told_not_run", "feeds_opened", "feeds_refused")}
    broken = sum(len(it["feeds_broken"]) for it in summaries)
    return {"good": total["requests_answered"] + total["feeds_opened"] - broken,
            "refused": total["requests_told_not_run"] + total["feeds_refused"],
            "broken": broken}


def repeated(run, service, summaries):
    servers = run.results()["servers"]
    return sum(it["retransmissions"] for it in summaries) + sum(
        servers[it]["retransmissions"] for it in run.servers(run.document, service))


def feeds_accepted(run):
    return sum(it["feeds_accepted"] for it in run.results()["servers"].values())


def overload(run):
    """Requests beyond the slots, and a server that sheds."""
    for it in SERVICES:
        run.start_caller(rate=150, feeds=6 if it == "counter" else 0, service=it,
                         straggler_share=0.3)
    run.until_executed(60)
    run.control(SHEDDING, "shedding")
    run.until(f"{SHEDDING} is known to shed", lambda: any(
        it["cause"] == "BackendServerEjected" and it["subject"] == SHEDDING for it in
        run.ctl_json("cause", sorted(run.daemons))["changes_and_failures"]))
    run.until_executed(400)
    run.end_callers()


def break_feeds(run):
    """All backend servers restart under feeds. Requests would wait for answers."""
    before = feeds_accepted(run)
    run.start_caller(rate=0, feeds=FEEDS, service="counter")
    run.until("feeds are open", lambda: feeds_accepted(run) >= before + FEEDS)
    run.restart_backends(run.zones[0])
    run.until("feeds are open again", lambda: feeds_accepted(run) >= before + 2 * FEEDS)


def scenario(run):
    overload(run)
    break_feeds(run)
    counter, catalogue, feeds = run.end_callers()[0]
    summaries = {"counter": [counter, feeds], "catalogue": [catalogue]}
    expected = {it: seen(summaries[it]) for it in SERVICES}
    run.observed["seen"] = expected

    def agrees():
        counts = run.observed["burn"] = burn(run)
        tolerance = run.observed["repeated"] = {
            it: repeated(run, it, summaries[it]) for it in SERVICES}
        return all(
            abs(counts[it][key] - expected[it][key]) <= tolerance[it]
            for it in SERVICES for key in ("good", "refused")) and all(
            0 <= counts[it]["broken"] - expected[it]["broken"]
            <= tolerance[it] + expected[it]["broken"] for it in SERVICES)

    # The counts of an admission owner reach its report within a second.
    run.until("burn agrees with callers and backend servers", agrees, 15)
    cluster.check(all(expected[it]["refused"] > 0 for it in SERVICES), "nothing was refused")
    cluster.check(expected["counter"]["broken"] >= FEEDS, "not all feeds broke")
    run.finish(may_break=run.zone_of_server)


cluster.main(scenario, adjust=few_slots)
END

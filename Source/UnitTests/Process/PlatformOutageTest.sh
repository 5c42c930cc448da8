#!/usr/bin/env bash
# Guards against hosts that revert to an older revision, or apply an invalid one,
# when the platform is down, is restored from an old copy or publishes revisions
# in quick succession.
# First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import copy
import json

import cluster


def make_revision(run, revision, **changes):
    """Returns the first document as another revision; changes: members of counter-1."""
    document = copy.deepcopy(run.document)
    document["revision"] = revision
    run.servers(document, "counter")["counter-1"].update(changes)
    return document


def join_during_outage(run, joining):
    run.set_platform_mode("down")
    run.start_daemon(joining)
    run.wait_for_revision(1, [joining])
    run.wait_until(f"{joining} is ready", lambda: run.status(joining)["ready"])
    cluster.check(run.metric(joining, "auburnroute_platform_reads_total") ==
                  run.metric(joining, "auburnroute_platform_failures_total"),
                  f"{joining} had a successful read while the platform was down")
    run.wait_for_requests(30)


def publish_during_outage(run):
    run.publish(make_revision(run, 2))
    run.wait_for_requests(30)
    revisions = {it: run.status(it)["settings"]["revision"] for it in run.daemons}
    cluster.check(set(revisions.values()) == {1},
                  f"expected revision 1 on all hosts while the platform is down: {revisions}")
    run.set_platform_mode("up")
    run.wait_for_revision(2)


def restore_old_platform(run, joining):
    """Replaces the platform by one that has the first revision again."""
    run.end_process(run.platform_process)
    run.start_platform()

    def counts():
        return json.loads(cluster.demo.fetch(f"http://{run.platform}/counts"))

    # Two hosts read the platform, each at least twice.
    run.wait_until("hosts read the old platform", lambda: counts()["settings_reads"] >= 4)
    run.wait_for_revision(2)
    cluster.check(run.end_daemon(joining) == 0, f"{joining} did not end with status 0")
    run.start_daemon(joining)

    def ready_status():
        status = run.status(joining)
        return status if status["ready"] else None

    # The old platform answers the host too, which must not serve before its
    # peers have answered.
    status = run.wait_until(f"{joining} is ready", ready_status)
    cluster.check(status["settings"]["revision"] == 2,
                  f"{joining} serves with revision {status['settings']['revision']}, expected 2")
    run.wait_for_revision(2)


def publish_invalid_revision(run):
    document = make_revision(run, 3, slots="two")
    text = json.dumps(document, indent=2)
    cluster.demo.fetch(f"http://{run.platform}/control/settings", text.encode())
    line = 1 + next(n for n, it in enumerate(text.splitlines()) if '"two"' in it)

    def refusals():
        report = run.run_auburnctl_json("status", sorted(run.daemons))
        return [it for host in report["hosts"] for it in host["settings"]["refusals"]
                if it["revision"] == 3]

    found = run.wait_until("the status shows the refusal of revision 3", refusals)
    run.observed["refusals"] = found
    cluster.check(all(f":{line}: " in it["errors"] and "slots" in it["errors"]
                      and "services.counter.backendServers" in it["errors"] for it in found),
                  f"expected line {line} and the path of slots in {found}")
    run.wait_for_requests(30)
    run.wait_for_revision(2)


def scenario(run):
    joining = run.spare[0]
    run.start_caller()
    run.wait_for_requests(60)
    join_during_outage(run, joining)
    publish_during_outage(run)
    restore_old_platform(run, joining)
    publish_invalid_revision(run)
    run.publish(make_revision(run, 4, weight=3))
    run.publish(make_revision(run, 5, state="draining"))
    run.wait_for_revision(5)
    digests = {run.status(it)["settings"]["digest"] for it in run.daemons}
    cluster.check(len(digests) == 1, f"digests differ: {digests}")
    # Publishes the first content again, as a new revision.
    run.publish(make_revision(run, 6))
    run.wait_for_revision(6)
    before = run.accepted_count("counter-1")
    run.wait_until("counter-1 accepts work after the undo",
                   lambda: run.accepted_count("counter-1") > before)
    run.finish()


cluster.main(scenario, spare_hosts=1)
END

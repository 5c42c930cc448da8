#!/usr/bin/env bash
# Guards against hosts that go back to an older revision, or apply a bad one,
# when the platform is down, restored from an old copy or publishes quickly.
# First argument: folder of the programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import copy
import json

import cluster


def revised(run, revision, **changes):
    """The first document as another revision; changes: members of counter-1."""
    document = copy.deepcopy(run.document)
    document["revision"] = revision
    run.servers(document, "counter")["counter-1"].update(changes)
    return document


def join_while_down(run, joining):
    run.platform_mode("down")
    run.start_daemon(joining)
    run.until_revision(1, [joining])
    run.until(f"{joining} is ready", lambda: run.status(joining)["ready"])
    cluster.check(run.metric(joining, "auburnroute_platform_reads_total") ==
                  run.metric(joining, "auburnroute_platform_failures_total"),
                  f"{joining} read something from the platform")
    run.until_executed(30)


def publish_while_down(run):
    run.publish(revised(run, 2))
    run.until_executed(30)
    revisions = {it: run.status(it)["settings"]["revision"] for it in run.daemons}
    cluster.check(set(revisions.values()) == {1}, f"not read while down: {revisions}")
    run.platform_mode("up")
    run.until_revision(2)


def become_stale(run, joining):
    """The platform is replaced by one with the first revision."""
    run.end(run.platform_process)
    run.start_platform()

    def counts():
        return json.loads(cluster.demo.fetch(f"http://{run.platform}/counts"))

    # Two readers, each at least twice.
    run.until("hosts read the old platform", lambda: counts()["settings_reads"] >= 4)
    run.until_revision(2)
    cluster.check(run.end_daemon(joining) == 0, f"{joining} did not end well")
    run.start_daemon(joining)

    def ready_status():
        status = run.status(joining)
        return status if status["ready"] else None

    # The old platform answers it too, but it must not serve before its peers do.
    status = run.until(f"{joining} is ready", ready_status)
    cluster.check(status["settings"]["revision"] == 2,
                  f"{joining} serves with revision {status['settings']['revision']}, not 2")
    run.until_revision(2)


def refuse(run):
    document = revised(run, 3, slots="two")
    text = json.dumps(document, indent=2)
    cluster.demo.fetch(f"http://{run.platform}/control/settings", text.encode())
    line = 1 + next(n for n, it in enumerate(text.splitlines()) if '"two"' in it)

    def refusals():
        report = run.ctl_json("status", sorted(run.daemons))
        return [it for host in report["hosts"] for it in host["settings"]["refusals"]
                if it["revision"] == 3]

    found = run.until("the refusal is shown", refusals)
    run.observed["refusals"] = found
    cluster.check(all(f":{line}: " in it["errors"] and "slots" in it["errors"]
                      and "services.counter.backendServers" in it["errors"] for it in found),
                  f"line {line} and the path of slots are not named in {found}")
    run.until_executed(30)
    run.until_revision(2)


def scenario(run):
    joining = run.spare[0]
    run.start_caller()
    run.until_executed(60)
    join_while_down(run, joining)
    publish_while_down(run)
    become_stale(run, joining)
    refuse(run)
    run.publish(revised(run, 4, weight=3))
    run.publish(revised(run, 5, state="draining"))
    run.until_revision(5)
    digests = {run.status(it)["settings"]["digest"] for it in run.daemons}
    cluster.check(len(digests) == 1, f"digests differ: {digests}")
    # The undo is the first content as a new revision.
    run.publish(revised(run, 6))
    run.until_revision(6)
    before = run.accepted("counter-1")
    run.until("counter-1 takes work after the undo", lambda: run.accepted("counter-1") > before)
    run.finish()


cluster.main(scenario, spare_hosts=1)
END

"""Runs daemons and stand-ins as processes on loopback for the process tests.

Uses only the standard library. A scenario is a function that takes a Cluster. It
applies changes and faults while callers run and ends with Cluster.finish(),
which checks the guarantees that hold in every scenario.
"""

import importlib.machinery
import importlib.util
import json
import os
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", "..", ".."))
# Below the range of scripts/demo, so that both can run at once.
PORT_RANGE = (4000, 11900)
POLL_INTERVAL_SECONDS = 0.05
WATCH_INTERVAL_SECONDS = 0.2
# Generous, since a process may wait for the processor on a busy machine.
HTTP_TIMEOUT_SECONDS = 10
# Conditions are met within some seconds; only a failure takes longer.
CONDITION_TIMEOUT_SECONDS = 40
# R8: a revision is in force on all hosts within this time.
IN_FORCE_SECONDS = 9
# R6: a draining backend server gets no new work after this time.
DRAIN_SECONDS = 3
# Below the time-out of ctest, so that the test still ends its processes.
WATCHDOG_SECONDS = 170


def load_demo():
    """Loads scripts/demo-tool, which has no file extension, as a module."""
    sys.dont_write_bytecode = True
    path = os.path.join(ROOT, "scripts", "demo-tool")
    loader = importlib.machinery.SourceFileLoader("demo_tool", path)
    module = importlib.util.module_from_spec(
        importlib.util.spec_from_loader("demo_tool", loader))
    loader.exec_module(module)
    module.PORT_RANGE = PORT_RANGE
    return module


demo = load_demo()


class CheckFailure(Exception):
    """A check failed."""


def check(condition, message):
    if not condition:
        raise CheckFailure(message)


def metric(text, name):
    """Returns the value of a metric; name includes its labels, if any."""
    for line in text.splitlines():
        if line.rpartition(" ")[0] == name:
            return int(line.rpartition(" ")[2])
    raise CheckFailure(f"no metric {name}")


def metric_sum(text, name):
    """Returns the sum of a metric over all its labels."""
    return sum(int(line.rpartition(" ")[2]) for line in text.splitlines()
               if line.startswith(name + "{"))


def add_counts(total, counts):
    for key, count in counts.items():
        total[key] = total.get(key, 0) + count


class StatusWatcher(threading.Thread):
    """Polls the status of all daemons and records revisions that decrease."""

    def __init__(self, cluster):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.stopped = threading.Event()
        self.revision_by_process = {}
        self.ready_revision_by_host = {}
        self.reverts = []

    def run(self):
        while not self.stopped.wait(WATCH_INTERVAL_SECONDS):
            for host, process in list(self.cluster.daemons.items()):
                try:
                    status = self.cluster.status(host, timeout=0.5)
                except (OSError, ValueError):
                    continue
                # Ignores the answer if the process was replaced meanwhile.
                if self.cluster.daemons.get(host) is process:
                    self.record_revision(host, process.pid, status)

    def record_revision(self, host, pid, status):
        revision = status["settings"]["revision"]
        if revision < self.revision_by_process.get(pid, 0):
            self.reverts.append(f"{host} from {self.revision_by_process[pid]} to {revision}")
        self.revision_by_process[pid] = revision
        # A new process may start without settings, but must have them once it is ready.
        if status["ready"]:
            if revision < self.ready_revision_by_host.get(host, 0):
                self.reverts.append(f"{host} served {revision} after "
                                    f"{self.ready_revision_by_host[host]}")
            self.ready_revision_by_host[host] = revision


class Cluster:
    """The processes of a run and their settings."""

    def __init__(self, bin_dir, seed, zones=("sando",), hosts=3, spare_hosts=0, adjust_document=None):
        """spare_hosts: hosts of the first zone that have settings but are not started."""
        self.bin = bin_dir
        self.seed = seed
        self.zones = list(zones)
        self.dir = tempfile.mkdtemp(prefix="auburnroute-process.")
        self.processes = []
        self.daemons = {}
        self.callers = []
        self.backends = {}
        self.past_results = []
        self.observed = {}
        self.watcher = StatusWatcher(self)
        self._prepare(hosts, spare_hosts, adjust_document)

    # --- Settings ---

    def _prepare(self, hosts, spare_hosts, adjust_document):
        self.document = demo.read_json(os.path.join(ROOT, "examples", "carenage.json"))
        if adjust_document:
            adjust_document(self.document)
        servers = [it for service in self.document["services"].values()
                   for it in service["backendServers"]]
        count = hosts * len(self.zones) + spare_hosts
        ports = demo.free_ports(2 * len(servers) + 4 * count + 3 * len(self.zones) + 1)

        def endpoint():
            return f"127.0.0.1:{next(ports)}"

        for n, server in enumerate(servers):
            server["zone"] = self.zones[n % len(self.zones)]
            server["tunnel"] = endpoint()
            server["loadReport"] = endpoint()
        self.zone_of_server = {it["name"]: it["zone"] for it in servers}
        self.platform = endpoint()
        self.fabrics = {zone: endpoint() for zone in self.zones}
        self.fabric_operators = {zone: endpoint() for zone in self.zones}
        self.backend_operators = {zone: endpoint() for zone in self.zones}
        self.hosts = {}
        for zone in self.zones:
            spare = spare_hosts if zone == self.zones[0] else 0
            for n in range(1, hosts + spare + 1):
                self.hosts[f"{zone}-{n}"] = {
                    "name": f"{zone}-{n}", "zone": zone, "state": "live",
                    "packets": endpoint(), "admission": endpoint(),
                    "peer": endpoint(), "operator": endpoint()}
        self.spare = [f"{self.zones[0]}-{hosts + 1 + n}" for n in range(spare_hosts)]
        key = secrets.token_hex(16)
        for host in self.hosts.values():
            demo.write_json(self.path(f"{host['name']}.json"), {
                "host": host["name"], "zone": host["zone"], "packets": host["packets"],
                "admission": host["admission"], "peer": host["peer"],
                "operator": host["operator"], "gateway": self.fabrics[host["zone"]],
                "platform": self.platform, "sharedKey": key, "trafficThreads": 1,
                "seeds": [it["peer"] for it in self.hosts.values() if it is not host]})
        demo.write_json(self.path("settings.json"), self.document)
        self.host_list = {"version": 1, "leavingBackendServers": [],
                          "hosts": [it for name, it in self.hosts.items()
                                    if name not in self.spare]}
        demo.write_json(self.path("hosts.json"), self.host_list)

    def path(self, name):
        return os.path.join(self.dir, name)

    def servers(self, document, service):
        return {it["name"]: it for it in document["services"][service]["backendServers"]}

    # --- Processes ---

    def start(self, name, program, *arguments):
        with open(self.path(f"{name}.out"), "ab") as out, \
                open(self.path(f"{name}.log"), "ab") as log:
            process = subprocess.Popen([os.path.join(self.bin, program), *arguments],
                                       stdin=subprocess.DEVNULL, stdout=out, stderr=log)
        process.name = name
        process.expected_to_run = True
        self.processes.append(process)
        return process

    def start_platform(self, settings="settings.json", hosts="hosts.json"):
        self.platform_process = self.start(
            "platform", "standin-platform", "--listen", self.platform,
            "--settings", self.path(settings), "--hosts", self.path(hosts))

    def start_daemon(self, host):
        self.daemons[host] = self.start(host, "auburnrouted", "--settings",
                                        self.path(f"{host}.json"))

    def start_backends(self, zone):
        # Uses another seed after a restart, so that sequence numbers don't recur.
        seed = (self.seed * 100 + len(self.past_results)) * 1000 + self.zones.index(zone) * 500
        self.backends[zone] = self.start(
            f"backend-{zone}", "standin-backend", "--settings", self.path("settings.json"),
            "--zone", zone, "--fabric", self.fabrics[zone], "--operator",
            self.backend_operators[zone], "--seed", str(seed))

    def restart_backends(self, zone):
        """Restarts all backend servers of a zone; they lose their flows."""
        status = self.end_process(self.backends[zone])
        check(status == 0, f"backend-{zone} ended with status {status}")
        with open(self.path(f"backend-{zone}.out"), encoding="utf-8") as file:
            self.past_results.append(json.loads(file.readlines()[-1]))
        self.start_backends(zone)
        self.wait_until(f"the backend servers of {zone} answer", self.results)

    def start_all(self):
        """Starts everything but the callers and waits until all hosts are ready."""
        self.start_platform()
        for n, zone in enumerate(self.zones):
            others = [self.fabrics[it] for it in self.zones if it != zone]
            self.start(f"fabric-{zone}", "standin-fabric", "--listen", self.fabrics[zone],
                       "--platform", self.platform, "--operator", self.fabric_operators[zone],
                       "--zone", zone, "--seed", str(self.seed * 10 + n),
                       *(["--neighbours", ",".join(others)] if others else []))
            self.start_backends(zone)
        for host in self.hosts:
            if host not in self.spare:
                self.start_daemon(host)
        self.watcher.start()
        self.wait_until("all hosts are ready", self.are_all_hosts_ready)

    def are_all_hosts_ready(self):
        """Returns whether each fabric sends to all running hosts of its zone and these
        agree on the admission owner."""
        for zone in self.zones:
            running = {it for it in self.daemons if self.hosts[it]["zone"] == zone}
            listed = {it["name"] for it in self.host_list["hosts"]}
            if set(self.fabric_counts(zone)["ready_hosts"]) != running & listed:
                return False
            if self.agreed_owner("counter", zone) is None:
                return False
        return True

    def start_caller(self, zone=None, rate=80, feeds=24, service=None, straggler_share=0.02):
        """Starts a caller process for one service, or all if None; returns its number."""
        zone = zone or self.zones[0]
        number = len(self.callers)
        document = dict(self.document)
        if service:
            document["services"] = {service: document["services"][service]}
        demo.write_json(self.path(f"caller-{number}.settings"), document)
        self.callers.append(self.start(
            f"caller-{number}", "standin-caller", "--settings",
            self.path(f"caller-{number}.settings"), "--fabric", self.fabrics[zone],
            "--seed", str(self.seed * 10 + number), "--seconds", "600",
            "--requests_per_second", str(rate), "--feeds", str(feeds),
            "--first_caller", str(1 + 20 * number),
            "--straggler_share", str(straggler_share),
            "--ids", self.path(f"ids-{number}.json")))
        return number

    def send_signal(self, process, number):
        if process.poll() is None:
            process.send_signal(number)

    def end_process(self, process, number=signal.SIGTERM, limit=CONDITION_TIMEOUT_SECONDS):
        """Ends a process and returns its status."""
        process.expected_to_run = False
        self.send_signal(process, number)
        try:
            return process.wait(limit)
        except subprocess.TimeoutExpired:
            raise CheckFailure(f"{process.name} did not end within {limit} s") from None

    def end_daemon(self, host, number=signal.SIGTERM):
        return self.end_process(self.daemons.pop(host), number)

    def end_callers(self):
        """Ends the callers; returns their summaries and lists of request ids."""
        for it in self.callers:
            it.expected_to_run = False
            self.send_signal(it, signal.SIGTERM)
        for it in self.callers:
            # Returns the status of callers that have ended before too.
            status = self.end_process(it)
            check(status == 0, f"{it.name} ended with status {status}")
        return ([demo.read_json(self.path(f"caller-{n}.out")) for n in range(len(self.callers))],
                [demo.read_json(self.path(f"ids-{n}.json")) for n in range(len(self.callers))])

    def close(self):
        """Ends all processes of this run and removes its files."""
        self.watcher.stopped.set()
        for it in self.processes:
            # A stopped process handles SIGTERM only after SIGCONT.
            self.send_signal(it, signal.SIGCONT)
            self.send_signal(it, signal.SIGTERM)
        end = time.monotonic() + 5
        for it in self.processes:
            try:
                it.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                it.kill()
                it.wait()
        if os.environ.get("AUBURN_TEST_KEEP"):
            print(f"logs and settings are in {self.dir}", file=sys.stderr)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    # --- Conditions ---

    def check_running(self):
        for it in self.processes:
            check(not it.expected_to_run or it.poll() is None,
                  f"{it.name} ended unexpectedly with status {it.returncode}")

    def wait_until(self, what, condition, limit=CONDITION_TIMEOUT_SECONDS):
        """Polls until the condition is true and returns its result.

        An HTTP error counts as false.
        """
        end = time.monotonic() + limit
        while True:
            self.check_running()
            try:
                result = condition()
            except (OSError, ValueError):
                result = None
            if result:
                return result
            if time.monotonic() >= end:
                raise CheckFailure(f"timed out after {limit} s: {what}")
            time.sleep(POLL_INTERVAL_SECONDS)

    def status(self, host, timeout=HTTP_TIMEOUT_SECONDS):
        return json.loads(self.get(host, "/status", timeout))

    def get(self, host, path, timeout=HTTP_TIMEOUT_SECONDS):
        return demo.fetch(f"http://{self.hosts[host]['operator']}{path}", timeout=timeout)

    def metric(self, host, name):
        return metric(self.get(host, "/metrics"), name)

    def fabric_counts(self, zone):
        return json.loads(demo.fetch(f"http://{self.fabric_operators[zone]}/counts",
                                     timeout=HTTP_TIMEOUT_SECONDS))

    def agreed_owner(self, service, zone=None, hosts=None):
        """The admission owner that all running hosts of the zone agree on, or None."""
        zone = zone or self.zones[0]
        names = set()
        for host in hosts or [it for it in self.daemons if self.hosts[it]["zone"] == zone]:
            found = {it["name"]: it["admission_owner"] for it in self.status(host)["services"]}
            names.add(found.get(service))
        return names.pop() if len(names) == 1 else None

    def results(self):
        """Returns the sum of GET /results over all backend servers."""
        total = {"executed": {}, "servers": {}, "wrong_service_packets": 0,
                 "new_work_on_leaving_after_limit": 0}
        for part in self.past_results + [
                json.loads(demo.fetch(f"http://{it}/results", timeout=HTTP_TIMEOUT_SECONDS))
                for it in self.backend_operators.values()]:
            add_counts(total["executed"], part["executed"])
            for name, counts in part["servers"].items():
                add_counts(total["servers"].setdefault(name, {}), counts)
            for key in ("wrong_service_packets", "new_work_on_leaving_after_limit"):
                total[key] += part[key]
        return total

    def accepted_count(self, server):
        """Returns the number of feeds and requests that a backend server accepted."""
        counts = self.results()["servers"][server]
        return counts["feeds_accepted"] + counts["requests_accepted"]

    def wait_for_requests(self, more, limit=CONDITION_TIMEOUT_SECONDS):
        """Waits until this many more requests have been executed."""
        wanted = len(self.results()["executed"]) + more
        self.wait_until(f"{more} more requests are executed",
                        lambda: len(self.results()["executed"]) >= wanted, limit)

    def wait_for_revision(self, revision, hosts=None, limit=IN_FORCE_SECONDS):
        self.wait_until(f"revision {revision} is in force on all hosts",
                        lambda: all(self.status(it)["settings"]["revision"] == revision
                                    for it in hosts or self.daemons), limit)

    # --- Actions ---

    def publish(self, document):
        demo.fetch(f"http://{self.platform}/control/settings", json.dumps(document).encode(),
                   HTTP_TIMEOUT_SECONDS)

    def publish_hosts(self, **changes):
        self.host_list = dict(self.host_list, version=self.host_list["version"] + 1, **changes)
        demo.fetch(f"http://{self.platform}/control/hosts", json.dumps(self.host_list).encode(),
                   HTTP_TIMEOUT_SECONDS)

    def set_platform_mode(self, mode):
        demo.fetch(f"http://{self.platform}/control/state?mode={mode}", b"", HTTP_TIMEOUT_SECONDS)

    def set_server_mode(self, server, mode):
        operator = self.backend_operators[self.zone_of_server[server]]
        demo.fetch(f"http://{operator}/control?server={server}&mode={mode}", b"", HTTP_TIMEOUT_SECONDS)

    def run_auburnctl(self, command, hosts, *flags):
        """Runs auburnctl; returns its status, output and errors."""
        operators = ",".join(self.hosts[it]["operator"] for it in hosts)
        done = subprocess.run([os.path.join(self.bin, "auburnctl"), command, "--hosts",
                               operators, *flags], capture_output=True, text=True,
                              timeout=CONDITION_TIMEOUT_SECONDS, check=False)
        return done.returncode, done.stdout, done.stderr

    def run_auburnctl_json(self, command, hosts):
        status, out, err = self.run_auburnctl(command, hosts, "--json")
        check(status == 0, f"auburnctl {command}: status {status}: {err}")
        return json.loads(out)

    def replace_hosts(self, zone, requests):
        """Replaces all hosts of a zone in turn; waits for requests between the steps."""
        for host in [it for it in self.daemons if self.hosts[it]["zone"] == zone]:
            status = self.end_daemon(host)
            self.observed[f"status of {host}"] = status
            check(status == 0, f"{host} ended with status {status}")
            self.wait_for_requests(requests)
            self.start_daemon(host)
            self.wait_until(f"{host} is ready again", self.are_all_hosts_ready)
            self.wait_for_requests(requests)

    # --- End of a scenario ---

    def finish(self, may_break=(), may_be_unknown=False):
        """Ends the run and checks the guarantees that hold in every scenario.

        may_break: backend servers whose feeds may end. may_be_unknown: whether
        requests may end with an unknown outcome.
        """
        summaries, ids = self.end_callers()
        results = self.results()
        self.check_running()
        statuses = {it: self.end_daemon(it) for it in list(self.daemons)}
        self.watcher.stopped.set()
        self.watcher.join()
        executed = results["executed"]
        told = {it for lists in ids for it in lists["told_not_run"]}
        answered = {it for lists in ids for it in lists["answered"]}
        broken = [it for summary in summaries for it in summary["feeds_broken"]]
        self.observed.update({
            key: sum(it[key] for it in summaries)
            for key in ("requests_sent", "requests_answered", "requests_told_not_run",
                        "requests_unknown", "wrong_answers", "feeds_opened", "feeds_refused",
                        "retransmissions")})
        self.observed.update({
            "feeds_broken": broken,
            "unknown": [it for lists in ids for it in lists["unknown_details"]][:20],
            "executed_more_than_once": [it for it, n in executed.items() if n > 1],
            "told_not_run_but_executed": sorted(told & executed.keys()),
            "answered_but_not_executed": sorted(answered - executed.keys()),
            "wrong_service_packets": results["wrong_service_packets"],
            "new_work_on_leaving_after_limit": results["new_work_on_leaving_after_limit"],
            "settings_reverts": self.watcher.reverts,
            "daemon_statuses": statuses})
        for key in ("executed_more_than_once", "told_not_run_but_executed",
                    "answered_but_not_executed", "wrong_service_packets", "wrong_answers",
                    "new_work_on_leaving_after_limit", "settings_reverts"):
            check(not self.observed[key], f"{key}: expected none, got {self.observed[key]}")
        check(all(it["server"] in may_break for it in broken), f"feeds broke: {broken}")
        check(may_be_unknown or self.observed["requests_unknown"] == 0,
              f"requests with an unknown outcome: {self.observed['unknown']}")
        check(answered, "no request was answered")
        check(self.observed["feeds_opened"] > 0, "no feed was opened")
        check(not any(statuses.values()), f"expected status 0 of all daemons, got {statuses}")
        return summaries, ids, results


def on_signal(number, _):
    raise CheckFailure(f"signal {signal.Signals(number).name}")


def print_failure(cluster, fault):
    print(f"failed with seed {cluster.seed}: {fault}")
    print(json.dumps(cluster.observed))
    for host in cluster.hosts:
        try:
            with open(cluster.path(f"{host}.log"), encoding="utf-8", errors="replace") as file:
                print(f"--- {host}\n" + "".join(file.readlines()[-12:]), end="")
        except OSError:
            continue


def main(scenario, **options):
    """Runs a scenario once per seed with the programs in the first argument's folder."""
    for it in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(it, on_signal)
    for seed in map(int, os.environ.get("AUBURN_TEST_SEEDS", "1").split()):
        signal.alarm(WATCHDOG_SECONDS)
        cluster = Cluster(sys.argv[1], seed, **options)
        failed = False
        try:
            cluster.start_all()
            scenario(cluster)
        except Exception as ex:  # The processes are ended after any error.
            failed = True
            print_failure(cluster, ex if isinstance(ex, CheckFailure)
                          else traceback.format_exc(chain=False))
        finally:
            signal.alarm(0)
            cluster.close()
        if failed:
            sys.exit(1)
        print(json.dumps({"seed": seed, **cluster.observed}))

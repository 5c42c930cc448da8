"""Stand-ins for the platform's store, backend servers, callers and routers.

They speak what the users' PROTOCOL.md says, on loopback addresses and the real
clock, and start the daemon with the command of deploy/system.toml and the
template deploy/edge.json. Everything that is sent, answered and run goes into a
record.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

HEADER = struct.Struct(">IBIIHIHIIH")  # sum flags seq ack sport src dport dst echo len
SYN, ACK, FIN, RST = 8, 128, 64, 4
KEYED_SUM = 0x51A7C0DE  # stands for the keyed sum of a sender; a reset of a host has 0
PACKETS, READY, CONTROL, PEERS, METRICS, STORE, SERVER = 8172, 8167, 8166, 7720, 9102, 8169, 8080
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now():
    return time.monotonic()


def to_int(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def to_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, dst, flags, seq=0, ack=0, echo=0, data=b"", keyed=KEYED_SUM):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, seq, ack
        self.echo, self.data, self.keyed = echo, data, keyed

    def encode(self):
        return HEADER.pack(self.keyed, self.flags, self.seq, self.ack, self.src[1], to_int(self.src[0]),
                           self.dst[1], to_int(self.dst[0]), self.echo, len(self.data)) + self.data

    @staticmethod
    def decode(buf):
        keyed, flags, seq, ack, sport, src, dport, dst, echo, _ = HEADER.unpack(buf[:31])
        return Packet((to_text(src), sport), (to_text(dst), dport), flags, seq, ack, echo, buf[31:], keyed)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.handler(data, addr)


async def open_udp(at, handler):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Datagrams(handler), local_addr=at)
    return transport


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.out, self.began = open(path, "w"), now()

    def write(self, text):
        self.out.write(f"{now() - self.began:9.4f} {text}\n")

    def close(self):
        self.out.close()


class Store:
    """The platform's store: items in pages, watches, one revision counter."""

    PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000  # "at most about 500 items or 1 MB"
    RETENTION_S = 20.0  # platform.retention_s

    def __init__(self, world):
        self.world, self.items, self.events, self.revision = world, {}, [], 1
        self.history_start = 0
        self.changed = asyncio.Event()
        self.on_watch_answered = []  # called when a watch ends without an event
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.world.store_ip, STORE)

    async def wait_view_confirmed(self):
        """Waits until a watch ended without an event, which confirms the view of the host that reads the store."""
        done = asyncio.get_running_loop().create_future()

        def on_answer():
            if not done.done():
                done.set_result(None)

        self.on_watch_answered.append(on_answer)
        try:
            await asyncio.wait_for(done, 10)
        finally:
            self.on_watch_answered.remove(on_answer)

    def put(self, key, value):
        """Writes an item; the return is the ack."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        self.notify(item)
        self.world.record.write(f"store: acknowledged {key} at revision {self.revision}: {len(data)} bytes, {data[:160]!r}")
        return now()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.notify({"key": key, "revision": self.revision, "tombstone": True})
            self.world.record.write(f"store: removed {key} at revision {self.revision}")

    def forget(self):
        """Drops the history that is older than the retention."""
        while self.events and now() - self.events[0][0] > self.RETENTION_S:
            self.history_start = self.events.pop(0)[1]["revision"]

    def notify(self, event):
        self.events.append((now(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                request = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.calls += 1
                path, _, query = request.split(" ")[1].partition("?")
                parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, body = await self.answer(path, parameters)
                text = json.dumps(body)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n{text}".encode())
                await writer.drain()
                if path == "/kv-watch" and status == 200 and not body["events"]:
                    for it in list(self.on_watch_answered):
                        it()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, parameters):
        if path == "/kv-range":
            found = [it for key, it in sorted(self.items.items())
                     if key.startswith(parameters.get("prefix", "")) and key > parameters.get("after", "")]
            page, size = [], 0
            for it in found[:self.PAGE_ITEMS]:
                size += len(it["value"])
                if page and size > self.PAGE_BYTES:
                    break
                page.append(it)
            return 200, {"items": page, "has_more": len(found) > len(page), "at_rev": self.revision}
        if path != "/kv-watch":
            return 404, {}
        after = int(parameters["after"])
        self.forget()
        if after > self.revision or after < self.history_start:
            return 410, {}
        until = now() + int(parameters["wait_ms"]) / 1000
        while True:
            changed = self.changed
            found = [it for _, it in self.events if it["revision"] > after]
            if found or now() >= until:
                return 200, {"events": found, "at_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass


class Server:
    """A backend server: one lifetime, reached in the form "echo"."""

    WORK_S = 0.005
    ANSWER_BYTES = 2000

    def __init__(self, world, number, service, zone):
        self.world, self.service, self.zone = world, service, zone
        self.identity = 0x7F3A910000 + number
        self.name = f"i-{self.identity:x}"
        self.ip = world.address(2, number)
        self.sequence, self.state, self.born = 0, "ready", int(time.time() * 1000)
        self.flows, self.draining_at = {}, None
        self.started = []  # (time, host, request) of requests that it ran
        self.opening_at = {}  # arrival and host of the opening packet of each flow

    async def start(self):
        self.transport = await open_udp((self.ip, SERVER), self.on_datagram)
        self.check_in()

    def check_in(self):
        self.sequence += 1
        return self.world.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"{self.ip}:{SERVER}", "zone": self.zone, "version": "v1", "slots": 2,
            "state": self.state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born})

    def drain(self):
        self.state = "draining"
        self.draining_at = self.check_in()
        return self.draining_at

    def send(self, packet):
        self.transport.sendto(packet.encode(), (packet.dst[0], PACKETS))

    def on_datagram(self, data, addr):
        if addr[0] in self.world.cut_hosts:
            return  # The network lost it: the host is cut off.
        identity = struct.unpack(">Q", data[:8])[0]
        if identity not in (0, self.identity):
            return
        p = Packet.decode(data[8:])
        flow = self.flows.get(p.src)
        if p.flags & SYN and not p.flags & ACK:
            if flow is None:
                flow = self.flows[p.src] = {"seq": random.getrandbits(30), "next": p.seq + 1, "answer": None}
                self.opening_at[p.src] = (now(), addr[0])
                self.world.record.write(f"server {self.name} ({self.state}): opening packet of {p.src[0]}:{p.src[1]} "
                                        f"from {self.world.host_name(addr[0])}")
            flow["echo"] = p.echo
            self.send(Packet(p.dst, p.src, SYN | ACK, flow["seq"], p.seq + 1, p.echo))
            return
        if flow is None or p.flags & RST:
            if flow is None and not p.flags & RST:
                self.send(Packet(p.dst, p.src, RST, p.ack, 0, p.echo))
            self.flows.pop(p.src, None)
            return
        flow["echo"] = p.echo
        if p.data and p.seq == flow["next"]:
            flow["next"] += len(p.data)
            asyncio.ensure_future(self.run(p, flow, addr[0]))
        elif p.data:
            for it in flow["answer"] or []:
                self.send(it)
        if p.flags & FIN:
            self.send(Packet(p.dst, p.src, FIN | ACK, flow["seq"] + 1, p.seq + len(p.data) + 1, p.echo))
            self.flows.pop(p.src, None)

    async def run(self, p, flow, host):
        request = p.data.decode().split("\r\n")[1].partition(": ")[2]
        self.started.append((now(), host, request))
        self.world.record.write(f"server {self.name} ({self.state}): runs request {request}")
        await asyncio.sleep(self.WORK_S)
        if flow is not self.flows.get(p.src):
            return
        body = f"{request} {self.name}".ljust(self.ANSWER_BYTES)
        text = (f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()
        seq, ack = flow["seq"] + 1, p.seq + len(p.data)
        flow["answer"] = [Packet(p.dst, p.src, ACK, seq + at, ack, flow["echo"], text[at:at + 1200])
                          for at in range(0, len(text), 1200)]
        flow["seq"] += len(text)
        for it in flow["answer"]:
            self.send(it)


class Host:
    """An entry host with one daemon."""

    def __init__(self, world, number, zone):
        self.world, self.zone, self.ip = world, zone, world.address(1, number)
        self.name = f"front-{zone}-{number}"
        self.process = None

    def fields(self, bootstrap):
        world = self.world
        return {"node": self.name, "zone": self.zone, "ip": self.ip, "heartbeat_ms": world.heartbeat_ms,
                "listen.datagram_addr": f"{self.ip}:{PACKETS}", "listen.ready": f"{self.ip}:{READY}",
                "listen.control": f"{self.ip}:{CONTROL}", "internal_port_range.0": PEERS,
                "platform.address": f"{world.store_ip}:{STORE}",
                "seeds": [f"{it.ip}:{CONTROL}" for it in world.hosts[:3]], "bootstrap": bootstrap,
                **{f"bounds.{key}": value for key, value in world.bounds.items()}}

    def settings(self, bootstrap):
        with open(os.path.join(ROOT, "deploy", "edge.json")) as file:
            text = file.read()
        fields = self.fields(bootstrap)
        text = re.sub(r"\{\{#seeds\}\}(.*?)\{\{/seeds\}\}", lambda it: ",".join(
            it.group(1).replace("{{.}}", seed).replace("{{,}}", "") for seed in fields["seeds"]), text)
        text = re.sub(r"\{\{#bootstrap\}\}(.*?)\{\{/bootstrap\}\}", lambda it: it.group(1) if bootstrap else "", text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda it: str(fields[it.group(1)]), text)

    async def start(self, bootstrap=False):
        path = os.path.join(self.world.folder, f"{self.name}.json")
        with open(path, "w") as out:
            out.write(self.settings(bootstrap))
        with open(os.path.join(self.world.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target", "bin", "auburnedge"), cwd=ROOT, stdout=log, stderr=log,
                env={"AUBURNROUTE_CONFIG": path, "PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", ""), "LANG": "C"})
        self.world.record.write(f"{self.name}: started")

    def kill(self):
        self.process.kill()
        self.world.record.write(f"{self.name}: killed")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY), 0.4)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Flow:
    """An open flow of a caller, all of whose packets the routers give to one host."""

    def __init__(self, caller, host, me, route, queue):
        self.caller, self.host, self.me, self.route, self.queue = caller, host, me, route, queue
        self.seq = random.getrandbits(30)
        self.ack = self.echo = 0
        self.server = None
        self.reset = None  # the reset that ended it
        self.opened_at = None

    def __str__(self):
        return f"flow {self.me[0]}:{self.me[1]}"

    def send(self, flags, data=b"", ack=None):
        self.caller.send(self.host, Packet(self.me, self.route, flags, self.seq, self.ack if ack is None else ack,
                                           self.echo, data))

    async def exchange(self, send, is_done, limit_s):
        """Sends and repeats after 200 ms, doubled up to 1.6 s, until is_done(packet) or a reset; None after the limit."""
        until, pause, copies = now() + limit_s, 0.2, 0
        while now() < until:
            send(copies)
            pause_ends = min(until, now() + pause)
            while now() < pause_ends:
                try:
                    p = await asyncio.wait_for(self.queue.get(), max(0.001, pause_ends - now()))
                except asyncio.TimeoutError:
                    break
                if p.flags & RST:
                    self.reset = p
                    return p
                if is_done(p):
                    return p
            pause, copies = min(pause * 2, 1.6), copies + 1
        return None

    def reset_by(self):
        return "reset by the host" if self.reset.keyed == 0 else "reset by a server"

    async def open(self):
        """Returns the outcome: opened, not opened, or who reset it."""
        p = await self.exchange(lambda copies: self.send(SYN, ack=copies), lambda it: it.flags & SYN, 1.4)
        if p is None or self.reset:
            outcome = self.reset_by() if self.reset else "not opened"
            self.caller.world.record.write(f"{self}: {outcome}")
            return outcome
        self.seq, self.ack, self.echo = self.seq + 1, p.seq + 1, p.echo
        self.server, self.opened_at = self.caller.world.server_at(p.source), now()
        self.caller.world.record.write(f"{self}: opened at {self.server.name} through {self.host.name}")
        self.send(ACK)
        return "opened"

    async def request(self, name, limit_s):
        """Sends one request; returns the outcome."""
        text = f"GET / HTTP/1.1\r\nAuburnroute-Request-Id: {name}\r\nHost: x\r\n\r\n".encode()
        self.caller.world.record.write(f"{self}: sends request {name}")
        end = self.ack + 2000  # more than one packet; the rest of the answer has come by the last one
        got = {}

        def is_done(p):
            if p.data and p.seq >= self.ack:
                got[p.seq] = p.data
                self.echo = p.echo
            size = sum(len(it) for it in got.values())
            return size >= end - self.ack and self.ack in got

        p = await self.exchange(lambda _: self.send(ACK, text), is_done, limit_s)
        if p is None or self.reset:
            outcome = self.reset_by() if self.reset else "no answer"
            self.caller.world.record.write(f"{self}: request {name}: {outcome} on the open flow")
            return outcome
        body = b"".join(got[it] for it in sorted(got))
        self.seq, self.ack = self.seq + len(text), self.ack + len(body)
        self.send(ACK)
        answer = body.partition(b"\r\n\r\n")[2].decode().strip()
        self.caller.world.record.write(f"{self}: request {name}: answered {answer!r}")
        return "answered" if answer.split()[0] == name else "foreign answer"

    def take_reset(self):
        """The reset that arrived while no request was pending, or None."""
        while not self.queue.empty():
            p = self.queue.get_nowait()
            if p.flags & RST:
                self.reset = p
                self.caller.world.record.write(f"{self}: {self.reset_by()} on the open flow")
        return self.reset

    def close(self):
        self.send(FIN | ACK)
        self.caller.flows.pop(self.me[1], None)


class Caller:
    """One address of callers; opens flows through a chosen host."""

    def __init__(self, world, number):
        self.world, self.ip, self.port, self.flows = world, world.address(3, number), 20000, {}

    async def start(self):
        self.transport = await open_udp((self.ip, PACKETS), self.on_datagram)

    def on_datagram(self, data, addr):
        p = Packet.decode(data)
        p.source = addr[0]
        queue = self.flows.get(p.dst[1])
        if queue is not None:
            queue.put_nowait(p)

    def send(self, host, packet):
        self.transport.sendto(packet.encode(), (host.ip, PACKETS))

    def new_flow(self, host, route):
        self.port = self.port + 1 if self.port < 60000 else 20000
        queue = self.flows[self.port] = asyncio.Queue()
        return Flow(self, host, (self.ip, self.port), route, queue)

    async def request(self, host, route, name):
        """One request on a flow of its own. Returns (outcome, time of the first SYN)."""
        sent_at, flow = now(), self.new_flow(host, route)
        outcome = await flow.open()
        if outcome == "opened":
            outcome = await flow.request(name, 2.0)
        if outcome == "answered":
            flow.close()
        self.flows.pop(flow.me[1], None)
        return outcome, sent_at


class World:
    def __init__(self, folder, heartbeat_ms=770, bounds=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        seed = int(os.environ.get("SEED", "1"))
        random.seed(seed)
        self.record.write(f"seed {seed}")
        self.folder = tempfile.mkdtemp(prefix="auburnroute-review-")
        self.net = self.free_net()
        self.heartbeat_ms = heartbeat_ms
        self.bounds = bounds or {"drain_ms": 3000, "flow_lifetime_s": 60, "grace_s": 6}
        self.store_ip = self.address(4, 1)
        self.store, self.hosts, self.servers, self.callers = Store(self), [], [], []
        self.version, self.routes, self.services = 0, [], []
        self.cut_hosts = set()  # addresses of hosts whose packets reach no server

    @staticmethod
    def free_net():
        for _ in range(50):
            net = random.SystemRandom().randint(64, 250)
            try:
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.4.1", STORE))
                return net
            except OSError:
                continue
        raise OSError("no free loopback network")

    def address(self, group, number):
        return f"127.{self.net}.{group}.{number}"

    def host_name(self, ip):
        return next((it.name for it in self.hosts if it.ip == ip), ip)

    def server_at(self, ip):
        return next(it for it in self.servers if it.ip == ip)

    def add_hosts(self, zones):
        for zone in zones:
            self.hosts.append(Host(self, len(self.hosts) + 1, zone))

    async def add_server(self, service, zone):
        server = Server(self, len(self.servers) + 1, service, zone)
        self.servers.append(server)
        await server.start()
        return server

    async def add_caller(self):
        caller = Caller(self, len(self.callers) + 1)
        self.callers.append(caller)
        await caller.start()
        return caller

    def publish(self):
        """Writes the next version of the configuration; the return is its ack."""
        self.version += random.randint(1, 3)
        return self.store.put("op/config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": it, "health_path": "/health", "max_flows": 2000, "protocol": "h1", "tls": False}
                         for it in self.services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})

    @staticmethod
    def route(name, address, service, kind="safe"):
        return {"name": name, "host": address[0], "prefix": f"/{address[1]}/", "type": kind, "timeout_ms": 500,
                "aim_ms": 100, "priority": 2, "service": service, "max_attempts": 2}

    async def wait_ready(self, hosts, limit_s=15):
        until = now() + limit_s
        while now() < until:
            if all(await asyncio.gather(*(it.is_ready() for it in hosts))):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for it in self.hosts:
            if it.process is not None and it.process.returncode is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
        for it in self.hosts:
            if it.process is not None:
                await it.process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

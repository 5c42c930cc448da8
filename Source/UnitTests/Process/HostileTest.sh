#!/usr/bin/env bash
# Guards against packets and messages from other senders than the fabric and the
# peers that end a daemon or stop its traffic. First argument: folder of the
# programs.
PYTHONPATH=$(dirname "$0") exec python3 -B - "$1" <<'END'
import hashlib
import hmac
import random
import socket
import struct

import cluster

HAND_OVER_MAGIC = b"\xabRH1"
SYN, FINISH = 1, 2
DATAGRAMS_PER_PORT = 300
MAX_DATAGRAM_BYTES = 65507


def checksum(data):
    total = sum(struct.unpack(f">{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return 0xFFFF - total


def packet(source, destination, port, flags):
    """Returns an IPv4 packet with a TCP header, timestamps and valid checksums."""
    options = b"\x01\x01\x08\x0a" + struct.pack(">II", 1, 0)
    tcp = struct.pack(">HHIIBBHHH", 4321, port, 1, 0, 8 << 4, flags, 65535, 0, 0) + options
    ends = socket.inet_aton(source) + socket.inet_aton(destination)
    tcp_sum = checksum(ends + struct.pack(">BBH", 0, 6, len(tcp)) + tcp)
    tcp = tcp[:16] + struct.pack(">H", tcp_sum) + tcp[18:]
    ip = struct.pack(">BBHHHBBH", 0x45, 0, 20 + len(tcp), 0, 0, 64, 6, 0) + ends
    return ip[:10] + struct.pack(">H", checksum(ip)) + ip[12:] + tcp


def hand_over(kind, body, key):
    header = HAND_OVER_MAGIC + bytes([kind, 1, 0, 0])
    return header + hmac.new(key, header + body, hashlib.sha256).digest()[:8] + body


def address(endpoint):
    host, _, port = endpoint.partition(":")
    return host, int(port)


def datagrams(rng):
    """Returns a generator of hostile datagrams for each kind, by name."""
    syn = packet("203.0.113.250", "198.51.100.1", 7002, 2)
    rst = packet("203.0.113.250", "192.0.2.11", 9002, 4)
    return {
        "random": lambda: rng.randbytes(rng.randrange(1, 1500)),
        "empty": lambda: b"",
        "truncated": lambda: syn[:rng.randrange(1, len(syn))],
        "flipped": lambda: bytes(it ^ (rng.randrange(256) if rng.random() < 0.1 else 0)
                                 for it in syn),
        "oversized": lambda: rng.randbytes(MAX_DATAGRAM_BYTES),
        "long packet": lambda: syn + rng.randbytes(MAX_DATAGRAM_BYTES - len(syn)),
        "unknown address": lambda: packet("203.0.113.250", "198.51.100.99", 7002, 2),
        "no tag": lambda: packet("203.0.113.250", "198.51.100.1", 7002, 16),
        "forged SYN": lambda: hand_over(SYN, syn, b"not the shared key"),
        "forged finish": lambda: hand_over(FINISH, rst, b"not the shared key"),
        "cut hand-over": lambda: hand_over(SYN, syn, b"x")[:rng.randrange(4, 16)],
        "bad kind": lambda: hand_over(rng.randrange(3, 256), syn, b"not the shared key"),
    }


def attack_datagrams(run, rng):
    kinds = datagrams(rng)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(DATAGRAMS_PER_PORT):
            for host in run.daemons:
                for port in ("packets", "admission"):
                    sock.sendto(kinds[rng.choice(sorted(kinds))](),
                                address(run.hosts[host][port]))


# ZMTP 3.0 (RFC 23 of ZeroMQ): greeting without security, and READY as a DEALER.
GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(16) + b"\x00" + bytes(31)
READY = b"\x05READY" + b"\x0bSocket-Type" + struct.pack(">I", 6) + b"DEALER"
HANDSHAKE = GREETING + b"\x04" + bytes([len(READY)]) + READY


def frames(rng):
    """Returns ZMTP frames as a peer sends them, with random content."""
    sizes = [0, 1, 31, 32, 33, 200, 5000] + [rng.randrange(300) for _ in range(20)]
    return b"".join(b"\x02" + struct.pack(">Q", n) + rng.randbytes(n) for n in sizes)


def attack_streams(run, rng):
    lines = (b"GET /status HTTP/1.1\r\n", b"GET " + b"/" * 9000 + b" HTTP/1.1\r\n\r\n",
             b"POST /status HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
             b"GET /cause?since=-9223372036854775809 HTTP/1.1\r\n\r\n",
             b"GET /cause?since=99999999999999999999 HTTP/1.1\r\n\r\n",
             b"GET /cause?since=%00x HTTP/1.1\r\n\r\n")
    for host in run.daemons:
        for _ in range(20):
            for port, start in (("peer", rng.choice((b"", GREETING, HANDSHAKE))),
                                ("operator", rng.choice((b"", *lines)))):
                with socket.socket() as sock:
                    sock.settimeout(2)
                    sock.connect(address(run.hosts[host][port]))
                    try:
                        sock.sendall(start + rng.randbytes(rng.randrange(2000)))
                    except OSError:
                        pass  # The daemon may close the connection meanwhile.


# For each kind, at least one of these counters must increase on each host.
COUNTED = {
    "malformed packets": ("Truncated", "NotIpv4", "NotTcp", "BadHeader"),
    "forged hand-overs": ("BadHandOver",),
    "unknown addresses": ("UnknownAddress", "UnknownSource"),
    "flows without a tag": ("MissingTag", "UnknownTag"),
}


REFUSED_FRAMES = "auburnroute_peer_frames_refused_total"


def attack_peers(run, rng):
    """Sends frames after a complete handshake; each connection stays open until the
    daemon has counted a refused frame."""
    for host in run.daemons:
        before = cluster.metric_sum(run.get(host, "/metrics"), REFUSED_FRAMES)
        with socket.create_connection(address(run.hosts[host]["peer"]), 2) as sock:
            sock.sendall(HANDSHAKE)
            # libzmq ignores frames that arrive in one segment with the handshake.
            received = b""
            while b"ROUTER" not in received:
                part = sock.recv(1000)
                cluster.check(part, f"{host} closed the connection of a peer")
                received += part
            sock.sendall(frames(rng))
            run.wait_until(f"{host} counts refused frames", lambda: cluster.metric_sum(
                run.get(host, "/metrics"), REFUSED_FRAMES) > before)


def cause_counts(run, host):
    text = run.get(host, "/metrics")
    return {kind: sum(cluster.metric(text, f'auburnroute_causes_total{{cause="{it}"}}')
                      for it in causes) for kind, causes in COUNTED.items()}


def scenario(run):
    rng = random.Random(run.seed)
    run.start_caller()
    run.wait_for_requests(60)
    before = {it: cause_counts(run, it) for it in run.daemons}
    attack_datagrams(run, rng)
    attack_streams(run, rng)
    attack_peers(run, rng)
    attack_datagrams(run, rng)

    def is_each_kind_counted():
        run.observed["causes"] = {it: cause_counts(run, it) for it in run.daemons}
        return all(run.observed["causes"][it][kind] > before[it][kind]
                   for it in run.daemons for kind in COUNTED)

    run.observed["causes before"] = before
    run.wait_until("each host counts each kind", is_each_kind_counted)
    run.wait_until("all hosts are still ready", run.are_all_hosts_ready)
    run.wait_for_requests(150)
    run.finish()


cluster.main(scenario)
END

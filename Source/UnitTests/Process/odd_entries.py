"""Entries that another writer leaves among those of the backend servers."""
import json
import random

VALUE_BYTES = 1048576  # limit of the registry for values
KEY_BYTES = 200  # limit of the registry for keys


def repeated(text):
    return (text * (VALUE_BYTES // len(text))).encode()


class OddEntryWriter:
    """Writes and removes random entries that name no server to use, or one of a service without a route."""

    def __init__(self, registry, seed):
        self.registry, self.random = registry, random.Random(f"odd entries {seed}")
        self.count = 0
        self.keys = set()

    def key(self):
        self.count += 1
        identity = f"9{self.count:07x}"
        name = self.random.choice([
            f"i-{identity}", f"i-{identity}", f"i-{identity}/notes", f"R&D-{identity}", f"a b+c%d#e=f?{identity}",
            f"notes {identity}\r\nX: y", f"\u00e4\U0001f3ed-{identity}", "n" * (KEY_BYTES - 20) + f"-{identity}",
            f"i-{identity}0000000000000000"])
        return f"servers/{name}" if self.random.random() < 0.9 else f"{name}/servers/"

    def entry(self, **fields):
        entry = {"service": "press", "address": f"198.51.100.{self.random.randint(1, 250)}:8000", "zone": "a",
                 "version": "v1", "slots": 2, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1}
        entry.update(fields)
        return json.dumps(entry).encode()

    def large_value(self):
        pick = self.random
        return pick.choice([
            lambda: repeated("["), lambda: repeated('{"a":'), lambda: b"[" + repeated("[],")[:-3] + b"[]]",
            lambda: b'{"service":[' + repeated('{"":0},')[:-20] + b"0]}", lambda: pick.randbytes(VALUE_BYTES),
            lambda: b'{"service":"' + b"x" * (VALUE_BYTES - 14) + b'"}'])()

    def small_value(self):
        pick = self.random
        return pick.choice([
            lambda: b"", lambda: b"\xff\x00\x01", lambda: b"[" * 5000, lambda: b"null", lambda: b'{"service":"a"',
            lambda: self.entry(slots=2**32 + 1), lambda: self.entry(slots=-1), lambda: self.entry(sequence=2**64),
            lambda: self.entry(born=2**63), lambda: self.entry(cold_left_ms=2**64), lambda: self.entry(slots=1e300),
            lambda: self.entry(address="198.51.100.1:65536"), lambda: self.entry(address="198.51.100.1:4294975376"),
            lambda: self.entry(address="198.51.100.1"), lambda: self.entry(state="napping"),
            lambda: self.entry(zone=[]), lambda: self.entry(service={"a": 1}), lambda: self.entry(service="or\"ders"),
            lambda: self.entry(service="p" * 200, zone="z" * 200), lambda: self.entry(),
            lambda: self.entry(service=f"press-{self.count}", zone=f"zone-{self.count}")])()

    def write_some(self):
        """Writes one entry, or several at once; returns how many."""
        n, make = self.random.choice([(1, self.small_value), (1, self.small_value), (1, self.large_value),
                                      (30, self.small_value), (6, self.large_value)])
        for _ in range(n):
            key = self.random.choice(sorted(self.keys)) if self.keys and self.random.random() < 0.2 else self.key()
            self.keys.add(key)
            self.registry.put(key, make())
        return n

    def remove_some(self):
        self.remove(self.random.sample(sorted(self.keys), len(self.keys) // 2))

    def remove_all(self, own_keys):
        """Removes all entries but those under own_keys, also those that a restored registry has again."""
        self.remove(sorted(set(self.registry.items) - own_keys))

    def remove(self, keys):
        for key in keys:
            self.keys.discard(key)
            self.registry.remove(key)

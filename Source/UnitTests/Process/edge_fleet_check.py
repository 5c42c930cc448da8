"""Tests the soak's checks of open flows with packets at given times, without processes."""
import types
import unittest

import edge_fleet

CALLER, SERVICE = ("127.2.1.1", 1024), ("198.18.0.1", 443)


class OpenFlowChecks(unittest.TestCase):
    def setUp(self):
        self.time, clock = 100.0, edge_fleet.now
        edge_fleet.now = lambda: self.time
        self.addCleanup(setattr, edge_fleet, "now", clock)
        self.fleet = edge_fleet.Fleet("", 1, "", 0)
        self.fleet.began = 0.0
        self.own, self.other = (types.SimpleNamespace(name=it, host=it, alive=True, disturbed_at=0.0, flows={})
                                for it in ("own", "other"))
        self.fleet.servers = [self.own, self.other]
        self.own.flows[CALLER] = {"open": True}
        self.fleet.flows[CALLER] = {"server": self.own, "me": CALLER, "to": SERVICE, "is_reset": False,
                                    "reached_at": self.time, "strays": []}

    def failures_of_packets(self, *arrivals):
        for seconds, server in arrivals:
            self.time = 100.0 + seconds
            self.fleet.on_packet_arrived(server, edge_fleet.Packet(CALLER, SERVICE, edge_fleet.ACK))
        return len(self.fleet.failures)

    def failures_of_reset(self, source):
        self.fleet.on_reset(edge_fleet.Packet(SERVICE, CALLER, edge_fleet.RST, keyed=0), source)
        return len(self.fleet.failures)

    def test_reset_by_a_host_or_another_server_is_reported(self):
        self.assertEqual(self.failures_of_reset("host"), 1)
        self.fleet.flows[CALLER]["is_reset"] = False
        self.assertEqual(self.failures_of_reset("other"), 2)

    def test_reset_by_the_own_server_is_allowed(self):
        self.assertEqual(self.failures_of_reset("own"), 0)

    def test_reset_before_the_handshake_ends_is_allowed(self):
        self.own.flows[CALLER]["open"] = False
        self.assertEqual(self.failures_of_reset("host"), 0)

    def test_reset_is_allowed_until_4_s_after_a_disturbance(self):
        self.own.disturbed_at = 96.0
        self.assertEqual(self.failures_of_reset("host"), 0)

    def test_reset_later_than_4_s_after_a_disturbance_is_reported(self):
        self.own.disturbed_at = 95.9
        self.assertEqual(self.failures_of_reset("host"), 1)

    def test_disturbed_registry_or_hosts_excuse_nothing(self):
        self.fleet.registry.set_mode("silent")
        self.assertEqual(self.failures_of_reset("host"), 1)

    def test_three_strays_and_none_to_the_own_server_for_2_s_are_reported(self):
        self.assertEqual(self.failures_of_packets((1, self.other), (1.5, self.other), (2.1, self.other)), 1)

    def test_strays_are_reported_when_the_own_server_is_reached_too_late(self):
        self.assertEqual(self.failures_of_packets((1, self.other), (1.2, self.other), (1.4, self.other), (2.2, self.own)), 1)

    def test_strays_are_allowed_if_the_own_server_is_reached_within_2_s(self):
        self.assertEqual(self.failures_of_packets((1, self.other), (1.2, self.other), (1.4, self.other), (1.9, self.own)), 0)
        self.assertEqual(self.failures_of_packets((3, self.other), (3.2, self.own), (4, self.other), (5, self.other)), 0)

    def failures_of_syn(self, seconds_after_evacuation, zone, host_disturbed_at=0.0):
        self.fleet.evacuated["a"] = 100.0
        self.time = 100.0 + seconds_after_evacuation
        host = types.SimpleNamespace(name="host", disturbed_at=host_disturbed_at, knows_evacuations=True)
        self.fleet.check_evacuation(types.SimpleNamespace(name="s", zone=zone), host)
        return len(self.fleet.failures)

    def test_new_flow_in_a_zone_evacuated_for_longer_than_the_bound_is_reported(self):
        self.assertEqual(self.failures_of_syn(5.1, "a"), 1)

    def test_new_flow_before_the_bound_or_in_another_zone_is_allowed(self):
        self.assertEqual(self.failures_of_syn(4.9, "a"), 0)
        self.assertEqual(self.failures_of_syn(5.1, "b"), 0)

    def test_host_or_registry_disturbed_within_the_bound_excuses_a_new_flow(self):
        self.assertEqual(self.failures_of_syn(20, "a", host_disturbed_at=115.1), 0)
        self.assertEqual(self.failures_of_syn(20, "a", host_disturbed_at=114.9), 1)
        self.fleet.registry.set_mode("up")
        self.assertEqual(self.failures_of_syn(24.9, "a"), 1)
        self.assertEqual(self.failures_of_syn(25.1, "a"), 2)


if __name__ == "__main__":
    unittest.main()

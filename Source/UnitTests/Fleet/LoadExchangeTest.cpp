#include "UnitTests/Fleet/LoadZone.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace auburnroute;
using namespace std::chrono_literals;
using unittests::LoadZone;

namespace {

std::size_t sharingHosts(const LoadZone &zone) {
  std::size_t n = 0;
  for (const auto &it : zone.Hosts)
    n += it->Loads.sharedCount();
  return n;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadExchangeTest)

// Deployments whose servers are not busy must not pay for the exchange.
BOOST_AUTO_TEST_CASE(NothingIsSentAtLowLoad) {
  LoadZone zone(22, 50);
  // 10 of 100 slots are busy.
  for (routing::ServerId id = 0; id < 10; ++id)
    zone.addRequest(id, id);
  zone.run(20s);
  for (const auto &it : zone.Hosts) {
    BOOST_TEST(it->Messages == 0U);
    BOOST_TEST(it->Loads.ownZoneLoads(zone.Clock.now()).empty());
  }
}

// The sharing must not switch on and off around one utilization, and must end.
BOOST_AUTO_TEST_CASE(SharingHasHysteresis) {
  LoadZone zone(4, 10);
  for (std::size_t n = 0; n < 8; ++n) // 8 of 20 slots.
    zone.addRequest(n % 4, static_cast<routing::ServerId>(n));
  zone.run(15s);
  BOOST_TEST(sharingHosts(zone) == 4U);
  for (std::size_t n = 0; n < 3; ++n) // 5 of 20 slots.
    zone.endRequest(n % 4, static_cast<routing::ServerId>(n));
  zone.run(20s);
  BOOST_TEST(sharingHosts(zone) == 4U);
  for (std::size_t n = 3; n < 8; ++n)
    zone.endRequest(n % 4, static_cast<routing::ServerId>(n));
  zone.run(20s);
  BOOST_TEST(sharingHosts(zone) == 0U);
  BOOST_TEST(zone.Hosts[0]->Loads.takeSharingChanges().size() == 2U);
}

// Each host must see the flows of all others once, and its own not at all.
BOOST_AUTO_TEST_CASE(TotalsExcludeTheOwnPart) {
  LoadZone zone(5, 10);
  zone.loadAll(3);
  zone.run(10s);
  for (routing::ServerId id = 0; id < 10; ++id)
    BOOST_TEST(zone.largestError(id) == 0);
  BOOST_TEST(zone.Hosts[0]->Loads.elsewhere(0, zone.Clock.now()).Outstanding >
             1.9);
}

// Lost messages delay the loads and must not falsify them.
BOOST_AUTO_TEST_CASE(LossDelaysTotals) {
  LoadZone zone(22, 20);
  zone.loadAll(11);
  zone.run(10s);
  zone.setLoss(0.1);
  double sum = 0;
  for (int i = 0; i < 10; ++i) {
    zone.run(1s);
    for (routing::ServerId id = 0; id < 20; ++id)
      sum += zone.largestError(id);
  }
  // 11 flows a server. A collector that lost several messages of a host lacks
  // its flow.
  BOOST_TEST(sum / 200 < 2.5);
}

// A collector that is killed, or whose messages are lost, must be replaced.
BOOST_AUTO_TEST_CASE(LostCollectorsAreReplaced) {
  for (const bool isKilled : {true, false}) {
    LoadZone zone(6, 12);
    zone.loadAll(3);
    zone.run(10s);
    (isKilled ? zone.Hosts[2]->IsDown : zone.Hosts[2]->IsMute) = true;
    for (routing::ServerId id = 0; id < 12; ++id)
      while (zone.Hosts[2]->Health.activity(id).Load.flows() > 0)
        zone.endRequest(2, id);
    // Three intervals, and the reports of the new collector's round.
    zone.run(8s);
    for (routing::ServerId id = 0; id < 12; ++id)
      BOOST_TEST(zone.largestError(id) == 0, "server " << id);
  }
}

// Hosts that know different members split the load over two collectors; no one
// may see more than there is.
BOOST_AUTO_TEST_CASE(DifferentMembershipNeverExaggerates) {
  LoadZone zone(6, 12);
  zone.loadAll(4);
  // Host 0 alone hears of a host that does not exist.
  for (std::uint64_t beat = 2; beat < 40; ++beat) {
    zone.Hosts[0]->Peers.applyDirectUpdate(
        {LoadZone::addressOf(200), "a", 7, beat}, zone.Clock.now());
    zone.run(500ms);
    for (routing::ServerId id = 0; id < 12; ++id)
      for (const auto &it : zone.Hosts)
        BOOST_TEST(it->Loads.elsewhere(id, zone.Clock.now()).OpenFlows <= 4.);
  }
  BOOST_TEST(zone.Hosts[0]->Loads.sharedCount() == 1U);
}

// Totals that nobody renews must not be used.
BOOST_AUTO_TEST_CASE(OldTotalsAreIgnored) {
  LoadZone zone(4, 8);
  zone.loadAll(3);
  zone.run(10s);
  auto &loads = zone.Hosts[0]->Loads;
  BOOST_TEST(loads.elsewhere(0, zone.Clock.now()).OpenFlows > 0);
  zone.Clock.advance(10s);
  BOOST_TEST(loads.elsewhere(0, zone.Clock.now()).OpenFlows == 0);
  BOOST_TEST(!loads.zoneLoad(0, 0, zone.Clock.now()).has_value());
}

// The load of a zone is scaled up from the hosts that were heard; the zones
// differ in load.
BOOST_AUTO_TEST_CASE(ZoneLoadsAreScaledUp) {
  LoadZone zone(10, 10, {"a", "b"});
  // Host n of zone a has 2 requests, of zone b 1, all in the own zone.
  for (std::size_t n = 0; n < 10; ++n) {
    zone.addRequest(n, static_cast<routing::ServerId>(n));
    zone.addRequest(n, static_cast<routing::ServerId>((n + 1) % 10));
    zone.addRequest(n + 10, static_cast<routing::ServerId>(n + 10));
  }
  zone.run(15s);
  for (const auto &it : zone.Hosts) {
    const auto a = it->Loads.zoneLoad(0, 0, zone.Clock.now());
    const auto b = it->Loads.zoneLoad(0, 1, zone.Clock.now());
    BOOST_REQUIRE(a.has_value());
    BOOST_REQUIRE(b.has_value());
    BOOST_TEST(a->Outstanding == 20., boost::test_tools::tolerance(0.02));
    BOOST_TEST(a->Slots == 20);
    BOOST_TEST(b->utilization() == 0.5, boost::test_tools::tolerance(0.02));
  }
}

// Large zones must keep to the byte limit by longer intervals.
BOOST_AUTO_TEST_CASE(BytesAreBounded) {
  for (const std::size_t hosts : {22, 59})
    for (const std::size_t servers : {50, 120}) {
      LoadZone zone(hosts, servers);
      zone.loadAll(hosts / 3);
      zone.run(15s);
      std::size_t before = 0;
      for (auto &it : zone.Hosts) {
        before += std::exchange(it->Bytes, 0);
      }
      zone.run(20s);
      double sum = 0;
      double most = 0;
      for (const auto &it : zone.Hosts) {
        sum += static_cast<double>(it->Bytes) / 20;
        most = std::max(most, static_cast<double>(it->Bytes) / 20);
      }
      const double mean = sum / static_cast<double>(hosts);
      BOOST_TEST_MESSAGE(
          hosts << " hosts, " << servers << " servers: mean " << mean
                << " B/s, most " << most << ", interval "
                << zone.Hosts[0]->Loads.interval().count()
                << " ms, largest datagram " << zone.LargestMessage
                << ", total age "
                << zone.Hosts[0]->Loads.totalAge(zone.Clock.now()).count());
      BOOST_TEST(before > 0U);
      BOOST_TEST(mean < 2100);
      // Rendezvous hashing gives some hosts up to 5 servers where the mean is
      // 0.85, and the reporters decide how often these answer.
      BOOST_TEST(most < 4000);
      BOOST_TEST(zone.LargestMessage <= fleet::GossipCodec::MaxDatagramBytes);
    }
}

// Reports come from any process on the internal network.
BOOST_AUTO_TEST_CASE(HostileMessagesAreBounded) {
  LoadZone zone(3, 4);
  zone.loadAll(3);
  zone.run(10s);
  auto &host = *zone.Hosts[0];
  const auto now = zone.Clock.now();
  fleet::GossipMessage message;
  message.Sender = {LoadZone::addressOf(99), "a", 1, 1};
  message.LoadReports.push_back({1, 1e300, ~0U});
  host.Loads.onMessage(message, now); // Of an unknown host.
  BOOST_TEST(host.Loads.takeOutgoing().empty());
  message.Sender.Address = LoadZone::addressOf(1);
  message.LoadReports.assign(500, {77, 1e300, ~0U}); // An unknown server.
  message.ZoneLoads.assign(100, {"nowhere", "nothing", 1e300, -1});
  const auto read =
      fleet::GossipCodec::decode(fleet::GossipCodec::encode(message));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->LoadReports.size() == fleet::GossipCodec::MaxServerLoads);
  BOOST_TEST(read->LoadReports[0].Outstanding ==
             fleet::GossipCodec::MaxOutstanding);
  BOOST_TEST(read->ZoneLoads.size() == fleet::GossipCodec::MaxZoneLoads);
  BOOST_TEST(read->ZoneLoads[0].Rate == 0);
  host.Loads.onMessage(*read, now);
  BOOST_TEST(host.Loads.takeOutgoing().empty());
  BOOST_TEST(host.Directory.zoneNames().size() == 1U);
  // A flood of reports gets few answers.
  message.LoadReports.assign(1, {1, 0, 0});
  for (int i = 0; i < 100; ++i)
    host.Loads.onMessage(message, now);
  BOOST_TEST(host.Loads.takeOutgoing().size() <= 8U);
}

BOOST_AUTO_TEST_SUITE_END()

#include "Fleet/GossipCodec.h"
#include "Fleet/RegistryReader.h"
#include "UnitTests/Fleet/FleetFixture.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::FleetView;
using routing::ServerState;
using unittests::samplePage;
using unittests::sampleServer;
using unittests::ViewFixture;

namespace {

constexpr std::uint64_t ManyEntries = 60000;

/// A server of a service that no route of sampleConfiguration() has.
routing::ServerRegistration foreignServer(std::uint64_t n) {
  auto server = sampleServer(n, n);
  server.Name = "foreign-" + std::to_string(n);
  server.Service = "press";
  return server;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ViewLimitsTest)

// Guards against a view that grows with the entries of another writer until the
// process exceeds its memory, and against entries that displace living servers.
BOOST_AUTO_TEST_CASE(EntriesWithoutARouteDoNotDisplaceOthers) {
  ViewFixture it;
  common::ManualClock clock;
  it.View.applyChanges(samplePage(1, {}, 1), clock.now(), clock.now());
  std::vector<routing::ServerRegistration> foreign;
  for (std::uint64_t n = 1; n <= ManyEntries; ++n)
    foreign.push_back(foreignServer(n));
  it.View.applyChanges(samplePage(ManyEntries, foreign), clock.now(),
                       clock.now());
  BOOST_TEST(it.View.refused() > 0U);
  BOOST_TEST(it.Observer.Refused == it.View.refused());
  BOOST_TEST(it.Directory.size() + it.View.refused() == ManyEntries);
  std::vector<routing::ServerRegistration> own;
  for (std::uint64_t n = 1; n <= 1000; ++n)
    own.push_back(sampleServer(ManyEntries + n, ManyEntries + n));
  it.View.applyChanges(samplePage(ManyEntries + 1000, own), clock.now(),
                       clock.now());
  for (const auto &server : own)
    BOOST_TEST((it.stateOf(server.Name) == ServerState::Ready));
  // The snapshot must fit the size limit of an answer with a configuration of
  // 1 MiB.
  const fleet::AgedSnapshot snapshot{it.View.snapshotSince(0, 0), 0ms};
  BOOST_TEST(fleet::GossipCodec::encode(snapshot).size() <=
             FleetView::MaxBytes);
}

// Guards against a living server whose changes are ignored when the view is
// full.
BOOST_AUTO_TEST_CASE(KnownServersChangeInAFullView) {
  ViewFixture it;
  common::ManualClock clock;
  it.View.applyChanges(samplePage(1, {sampleServer(1, 1)}, 1), clock.now(),
                       clock.now());
  std::vector<routing::ServerRegistration> servers;
  for (std::uint64_t n = 2; n <= ManyEntries; ++n) {
    auto server = sampleServer(n, n);
    server.Name = std::string(150, 'x') + std::to_string(n);
    servers.push_back(server);
  }
  it.View.applyChanges(samplePage(ManyEntries, servers), clock.now(),
                       clock.now());
  BOOST_TEST(it.View.refused() > 0U);
  it.View.applyChanges(
      samplePage(ManyEntries + 1,
                 {sampleServer(1, ManyEntries + 1, ServerState::Draining)}),
      clock.now(), clock.now());
  BOOST_TEST((it.stateOf("s1") == ServerState::Draining));
  fleet::RegistryPage removal;
  removal.Revision = ManyEntries + 2;
  removal.Removed.push_back({"s1", ManyEntries + 2});
  it.View.applyChanges(removal, clock.now(), clock.now());
  BOOST_TEST((it.stateOf("s1") == ServerState::Lapsed));
}

// Guards against a table of names that grows each time another writer gives its
// entry a new service or zone.
BOOST_AUTO_TEST_CASE(NamesOfChangingEntriesAreLimited) {
  ViewFixture it;
  common::ManualClock clock;
  it.View.applyChanges(samplePage(1, {}, 1), clock.now(), clock.now());
  for (std::uint64_t n = 2; n <= 20000; ++n) {
    auto server = foreignServer(1);
    server.Revision = n;
    server.Service = "press-" + std::to_string(n);
    server.Zone = "zone-" + std::to_string(n);
    it.View.applyChanges(samplePage(n, {server}), clock.now(), clock.now());
  }
  BOOST_TEST(it.Directory.serviceNames().size() <= FleetView::MaxNames + 1);
  BOOST_TEST(it.Directory.zoneNames().size() <= FleetView::MaxNames + 1);
  fleet::RegistryPage removal;
  removal.Revision = 20001;
  removal.Removed.push_back({"foreign-1", 20001});
  it.View.applyChanges(removal, clock.now(), clock.now());
  BOOST_TEST((it.stateOf("foreign-1") == ServerState::Lapsed));
  // A new service with a route is not affected.
  auto configuration = unittests::sampleConfiguration(2);
  configuration.Routes.front().Services.front().Service = "labels";
  auto server = sampleServer(7, 20002);
  server.Service = "labels";
  server.Zone = "zone-2";
  auto page = samplePage(20002, {server});
  page.Configuration = configuration;
  it.View.applyChanges(page, clock.now(), clock.now());
  server.Revision = 20003;
  it.View.applyChanges(samplePage(20003, {server}), clock.now(), clock.now());
  BOOST_TEST((it.stateOf("s7") == ServerState::Ready));
}

// Guards against a service that stays without servers when it gets its route
// after they were refused.
BOOST_AUTO_TEST_CASE(RefusedServersAreListedForANewRoute) {
  ViewFixture it;
  common::ManualClock clock;
  fleet::RegistryReader reader(it.View);
  BOOST_REQUIRE(reader.nextCall(clock.now()).has_value());
  std::vector<routing::ServerRegistration> foreign;
  for (std::uint64_t n = 1; n <= ManyEntries; ++n)
    foreign.push_back(foreignServer(n));
  reader.onPage(samplePage(ManyEntries, foreign, 1), clock.now());
  BOOST_TEST(it.View.refused() > 0U);
  clock.advance(reader.timing().WatchPause);
  auto call = reader.nextCall(clock.now());
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->Kind == fleet::RegistryCallKind::Watch));
  auto page = samplePage(ManyEntries + 1, {});
  page.Configuration = unittests::sampleConfiguration(2);
  page.Configuration->Routes.front().Services.push_back({"press", 1});
  reader.onPage(page, clock.now());
  clock.advance(reader.timing().WatchPause);
  call = reader.nextCall(clock.now());
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->Kind == fleet::RegistryCallKind::List));
  reader.onPage(samplePage(ManyEntries + 1, foreign), clock.now());
  BOOST_TEST((it.stateOf(foreign[20000].Name) == ServerState::Ready));
  clock.advance(reader.timing().WatchPause);
  call = reader.nextCall(clock.now());
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->Kind == fleet::RegistryCallKind::Watch));
}

// Guards against a record for each entry that was never readable, which hosts
// would keep for the lifetime of a flow and tell each other.
BOOST_AUTO_TEST_CASE(UnreadableEntriesOfUnknownServersAreNotKept) {
  ViewFixture it;
  common::ManualClock clock;
  it.View.applyChanges(samplePage(1, {sampleServer(1, 1)}, 1), clock.now(),
                       clock.now());
  fleet::RegistryPage page;
  page.Revision = ManyEntries;
  for (std::uint64_t n = 2; n <= ManyEntries; ++n)
    page.Removed.push_back({"foreign-" + std::to_string(n), n, true});
  page.Removed.push_back({"s1", ManyEntries, true});
  it.View.applyChanges(page, clock.now(), clock.now());
  BOOST_TEST(it.Directory.size() == 1U);
  BOOST_TEST((it.stateOf("s1") == ServerState::Lapsed));
  BOOST_TEST(it.View.recentChanges(8).Servers.size() == 1U);
}

// An entry that was readable before it became unreadable must not come back
// from a peer that has not heard of it.
BOOST_AUTO_TEST_CASE(PeersDoNotBringBackUnreadableEntries) {
  common::ManualClock clock;
  ViewFixture peer;
  peer.View.applyChanges(samplePage(5, {sampleServer(1, 5)}, 1), clock.now(),
                         clock.now());
  ViewFixture it;
  fleet::RegistryPage page = samplePage(10, {}, 1);
  page.Removed.push_back({"s1", 9, true});
  it.View.applyChanges(page, clock.now(), clock.now());
  it.View.applyPeerChanges(peer.View.recentChanges(8), 0ms, clock.now());
  BOOST_TEST((it.stateOf("s1") == ServerState::Lapsed));
  const auto changes = it.View.recentChanges(8);
  if (!peer.View.applyPeerChanges(changes, 0ms, clock.now()))
    peer.View.applySnapshot(
        it.View.snapshotSince(peer.View.revision(), 1, peer.View.era()), 0ms,
        clock.now());
  BOOST_TEST((peer.stateOf("s1") == ServerState::Lapsed));
}

BOOST_AUTO_TEST_SUITE_END()

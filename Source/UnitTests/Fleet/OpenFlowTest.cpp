#include "Fleet/FleetView.h"
#include "UnitTests/Fleet/FleetFixture.h"
#include "UnitTests/Routing/RoutingFixture.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using routing::ForwardPacket;
using routing::ResetFlow;
using unittests::RoutingFixture;
using unittests::sampleServer;
using unittests::ViewFixture;

// No host may reset an open flow whose backend server serves.
BOOST_AUTO_TEST_SUITE(OpenFlowTest)

// A host that waited seconds for its first view forwards SYNs whose callers
// have given up, so nobody acknowledges the answers. It must not take the
// servers for dead and reset their open flows.
BOOST_AUTO_TEST_CASE(SynsOfCallersThatGaveUpResetNoOpenFlow) {
  RoutingFixture it;
  for (std::uint64_t n = 1; n <= 4; ++n)
    it.add(n);
  for (std::uint16_t port = 100; port < 130; ++port)
    for (std::uint32_t copy = 0; copy < 3; ++copy)
      it.syn(port, copy);
  it.Clock.advance(181ms);
  it.Router.checkOpeningFlows(it.Clock.now());
  const auto live = it.Directory.at(3).Tag;
  it.Clock.advance(240ms);
  it.data(20, live, 1000, 5000, 100);
  it.Clock.advance(10ms);
  it.data(20, live, 1100, 6000, 0);
  for (routing::ServerId id = 0; id < 4; ++id)
    BOOST_TEST(std::holds_alternative<ForwardPacket>(
        it.data(static_cast<std::uint16_t>(id + 1), it.Directory.at(id).Tag,
                1000, 5000, 100)));
}

// The registry lacks a living server whose entry expired. A host that starts
// then learns its address from the peers that knew it, and forwards its flows
// as they do.
BOOST_AUTO_TEST_CASE(StartingHostForwardsFlowsOfLapsedServers) {
  common::ManualClock clock;
  ViewFixture peer;
  peer.View.applyChanges(
      unittests::samplePage(5, {sampleServer(1, 4), sampleServer(2, 5)}, 1),
      clock.now(), clock.now());
  const auto tag = peer.Directory.findByName("s1")->Tag;
  fleet::RegistryPage removal = unittests::samplePage(6, {});
  removal.Removed.push_back({"s1", 6});
  peer.View.applyChanges(removal, clock.now(), clock.now());

  ViewFixture started;
  started.View.applySnapshot(peer.View.snapshotSince(0, 0), 0ms, clock.now());
  const auto *known = started.Directory.findByTag(tag, 0);
  BOOST_REQUIRE(known != nullptr);
  BOOST_TEST((known->Registration.State == routing::ServerState::Lapsed));
  BOOST_TEST((known->Registration.Address == sampleServer(1, 4).Address));
  BOOST_TEST((known->Tag == tag));
}

// A complete directory that lacks a server does not show that it has ended: its
// entry may have expired while the registry was away.
BOOST_AUTO_TEST_CASE(ServerMissingInACompleteDirectoryKeepsItsFlows) {
  RoutingFixture it;
  it.add(1);
  for (int n = 0; n < 4; ++n) {
    it.Clock.advance(200ms);
    BOOST_TEST(
        !std::holds_alternative<ResetFlow>(it.data(1, 77, 1000, 5000, 100)));
  }
}

// A host that has not learned of a new route yet gets packets of flows that
// another host opened.
BOOST_AUTO_TEST_CASE(RouteNotKnownYetKeepsItsFlows) {
  RoutingFixture it;
  it.add(1, "sheets");
  const auto tag = it.Directory.at(0).Tag;
  RoutingFixture behind;
  behind.add(1, "sheets");
  routing::RoutingConfiguration older;
  older.Version = 2;
  older.Routes.push_back(RoutingFixture::route("orders", it.Orders));
  behind.Routes = routing::RouteTable();
  behind.Routes.apply(older);
  BOOST_TEST(!std::holds_alternative<ResetFlow>(
      behind.data(1, tag, 1000, 5000, 100, RoutingFixture::Sheets)));
}

BOOST_AUTO_TEST_SUITE_END()

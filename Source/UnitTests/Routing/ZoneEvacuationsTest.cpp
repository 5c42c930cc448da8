#include "Routing/ZoneEvacuations.h"
#include "UnitTests/Routing/RoutingFixture.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using routing::RefusalReason;
using routing::ResetFlow;
using routing::ZoneEvacuations;
using unittests::forwardOf;

namespace {

using Zones = std::vector<std::string>;

/// A router whose placement asks for evacuations. Its own zone is "a".
struct EvacuatedFixture : unittests::RoutingFixture {
  EvacuatedFixture() { Placement.setParts({.Evacuations = &Evacuations}); }
  void evacuate(const std::string &zone, bool isActive = true) {
    Evacuations.apply({zone, isActive, 1, ++Revision});
  }

  ZoneEvacuations Evacuations;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneEvacuationsTest)

// Guards against new flows to an evacuated zone, and against a zone that stays
// unused when its evacuation has ended.
BOOST_AUTO_TEST_CASE(EvacuatedZonesGetNoNewFlows) {
  EvacuatedFixture it;
  const auto local = it.add(1);
  const auto remote = it.add(2, "orders", "b");
  it.evacuate("a");
  for (std::uint16_t port = 1; port <= 50; ++port)
    BOOST_TEST(forwardOf(it.syn(port)).Server == remote);
  it.evacuate("a", false);
  BOOST_TEST(forwardOf(it.syn(100)).Server == local);
}

// A caller must not wait for its timeout when no server may be used. Lapsed
// servers of the zone are no way out.
BOOST_AUTO_TEST_CASE(SynsAreRefusedWhenAllZonesAreEvacuated) {
  EvacuatedFixture it;
  it.add(1);
  it.add(2, "orders", "b");
  it.add(3, "orders", "b");
  it.lapse(3);
  it.Router.setUsesLapsed(true);
  it.evacuate("a");
  it.evacuate("b");
  BOOST_TEST(std::holds_alternative<ResetFlow>(it.syn(1)));
  BOOST_TEST((it.Observer.Refused.back() == RefusalReason::NoServer));
}

// A SYN that is under way when the zone is evacuated must not be sent there
// again.
BOOST_AUTO_TEST_CASE(RetransmittedSynsLeaveAnEvacuatedZone) {
  EvacuatedFixture it;
  it.add(1);
  it.add(2);
  const auto remote = it.add(3, "orders", "b");
  it.add(4, "orders", "a");
  it.lapse(4);
  it.Router.setUsesLapsed(true);
  BOOST_TEST(forwardOf(it.syn(1)).Server != remote);
  it.evacuate("a");
  for (std::uint32_t copy = 1; copy <= 3; ++copy) {
    it.Clock.advance(200ms);
    BOOST_TEST(forwardOf(it.syn(1, copy)).Server == remote);
  }
}

// Evacuations end no flows.
BOOST_AUTO_TEST_CASE(OpenFlowsOfAnEvacuatedZoneGoOn) {
  EvacuatedFixture it;
  it.add(1);
  it.add(2, "orders", "b");
  const auto sent = forwardOf(it.syn(1));
  it.request(1, sent);
  it.evacuate("a");
  for (std::uint32_t n = 1; n <= 20; ++n) {
    it.Clock.advance(100ms);
    BOOST_TEST(
        forwardOf(it.data(1, sent.Tag, 1000 + n * 100, 5000 + n * 100, 100))
            .Server == sent.Server);
  }
}

// Guards against an era that ends what another one says, and against entries
// of former eras that count for ever.
BOOST_AUTO_TEST_CASE(AnyEraEvacuatesUntilItIsDiscarded) {
  ZoneEvacuations it;
  BOOST_TEST(it.apply({"a", true, 1, 10}));
  BOOST_TEST(!it.apply({"a", true, 2, 3}));
  BOOST_TEST(!it.apply({"a", false, 2, 4}));
  BOOST_TEST(it.apply({"b", true, 1, 11}));
  BOOST_TEST(!it.apply({"b", true, 2, 5}));
  BOOST_TEST((it.evacuatedZones() == Zones{"a", "b"}));
  const auto count = it.changeCount();
  BOOST_TEST((it.discardErasBefore(2) == Zones{"a"}));
  BOOST_TEST(it.changeCount() != count);
  BOOST_TEST((it.evacuatedZones() == Zones{"b"}));
  BOOST_TEST(it.entries().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

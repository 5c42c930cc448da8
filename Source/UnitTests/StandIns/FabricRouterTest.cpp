#include "StandIns/FabricRouter.h"

#include "Protocol/PacketBuilder.h"
#include "Protocol/PacketView.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;

namespace {

constexpr std::uint32_t LoopbackAddress = 0x7F000001;
constexpr common::Endpoint ClientSocket{LoopbackAddress, 500};
constexpr common::Endpoint Neighbour{LoopbackAddress, 600};
constexpr common::Endpoint Client{0xCB007101, 20000};
constexpr common::Endpoint Service{0xC6336401, 7001};

constexpr const char *HostList = R"({"version": 4, "hosts": [
  {"name": "a-1", "zone": "a", "state": "live", "packets": "127.0.0.1:1",
   "admission": "127.0.0.1:2", "operator": "127.0.0.1:3"},
  {"name": "a-2", "zone": "a", "state": "live", "packets": "127.0.0.1:11",
   "admission": "127.0.0.1:12", "operator": "127.0.0.1:13"},
  {"name": "a-3", "zone": "a", "state": "leaving", "packets": "127.0.0.1:21",
   "admission": "127.0.0.1:22", "operator": "127.0.0.1:23"},
  {"name": "b-1", "zone": "b", "state": "live", "packets": "127.0.0.1:31",
   "admission": "127.0.0.1:32", "operator": "127.0.0.1:33"}]})";

struct Fixture {
  Fixture() {
    BOOST_REQUIRE(Pool.applyHostList(HostList, Version).ok());
    for (const auto *host : {"a-1", "a-2", "a-3", "b-1"})
      Pool.onProbeResult(host, 200);
  }

  std::vector<common::Endpoint>
  route(common::Endpoint sender, common::Endpoint from, common::Endpoint to) {
    protocol::Segment segment;
    segment.Source = from;
    segment.Destination = to;
    segment.Flags = protocol::PacketView::AckFlag;
    auto packet = protocol::buildPacket(segment);
    return Router.route(sender, packet);
  }

  /// Ports of the hosts that 200 packets of one flow went to.
  std::set<std::uint16_t> portsReached() {
    std::set<std::uint16_t> ports;
    for (int i = 0; i < 200; ++i)
      for (const auto &it : route(ClientSocket, Client, Service))
        ports.insert(it.Port);
    return ports;
  }

  std::uint64_t Version = 0;
  standins::HostPool Pool{{"a"}};
  standins::FabricRouter Router{Pool, {Neighbour}, 1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FabricRouterTest, Fixture)

// Guards against sending all packets of a flow to one host, which would hide
// faults of stateless forwarding, and against using hosts that are not ready.
BOOST_AUTO_TEST_CASE(PacketsOfOneFlowReachAllReadyHosts) {
  BOOST_TEST(Version == 4);
  BOOST_TEST((portsReached() == std::set<std::uint16_t>{1, 11}));
  Pool.onProbeResult("a-2", 503);
  BOOST_TEST((portsReached() == std::set<std::uint16_t>{1}));
  Pool.onProbeResult("a-1", 0);
  BOOST_TEST((portsReached() == std::set<std::uint16_t>{1}));
  Pool.onProbeResult("a-1", 0);
  BOOST_TEST(portsReached().empty());
  Pool.onProbeResult("a-2", 200);
  BOOST_TEST((portsReached() == std::set<std::uint16_t>{11}));
}

// Guards against losing replies that come from the admission socket of a host
// or from a host or fabric of another zone.
BOOST_AUTO_TEST_CASE(RepliesReachTheClient) {
  const common::Endpoint admission{LoopbackAddress, 2};
  const auto neighbours = route(admission, Service, Client);
  BOOST_REQUIRE(neighbours.size() == 1);
  BOOST_TEST((neighbours[0] == Neighbour));
  BOOST_TEST(route(Neighbour, Service, Client).empty());
  portsReached();
  for (const auto &sender :
       {admission, common::Endpoint{LoopbackAddress, 31},
        common::Endpoint{LoopbackAddress, 21}, Neighbour}) {
    const auto to = route(sender, Service, Client);
    BOOST_REQUIRE(to.size() == 1);
    BOOST_TEST((to[0] == ClientSocket));
  }
}

BOOST_AUTO_TEST_SUITE_END()

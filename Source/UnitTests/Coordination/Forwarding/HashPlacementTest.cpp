#include "Coordination/Forwarding/HashPlacement.h"
#include "Coordination/Forwarding/ForwardingEngine.h"
#include "ForwardingSettings.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace auburnroute;
using namespace auburnroute::forwarding;

namespace {

constexpr int Flows = 60000;

PacketSummary packetOf(int flow) {
  PacketSummary packet;
  packet.Source = {CallerAddress, static_cast<std::uint16_t>(flow + 1)};
  packet.Destination = {CounterAddress, 7001};
  packet.Ack = true;
  return packet;
}

struct HashFixture {
  state::Settings Settings = makeSettings(9);
  HashFixture() {
    Settings.Services[0].PolicyByZone[0].Timestamps =
        state::TimestampMode::Hash;
  }

  state::Service &counter() { return Settings.Services[0]; }

  /// The backend server address of each flow; 0 if its packets are dropped.
  std::vector<std::uint32_t> choices(bool syn = false) const {
    ForwardingEngine engine;
    engine.setTable(makeTable(Settings));
    std::vector<std::uint32_t> result(Flows);
    for (int i = 0; i < Flows; ++i) {
      auto packet = packetOf(i);
      packet.Syn = syn;
      const auto outcome = engine.onCallerPacket(packet);
      if (const auto *n = std::get_if<ForwardToBackendServer>(&outcome))
        result[static_cast<std::size_t>(i)] = n->Destination.Address;
    }
    return result;
  }
};

/// Number of flows that moved, per pair of old and new backend server.
std::map<std::pair<std::uint32_t, std::uint32_t>, int>
moves(const std::vector<std::uint32_t> &before,
      const std::vector<std::uint32_t> &after) {
  std::map<std::pair<std::uint32_t, std::uint32_t>, int> result;
  for (std::size_t i = 0; i < before.size(); ++i)
    if (before[i] != after[i])
      ++result[{before[i], after[i]}];
  return result;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(HashPlacementTest, HashFixture)

BOOST_AUTO_TEST_CASE(SharesFollowWeights) {
  counter().BackendServers[0].Weight = 2;
  counter().BackendServers[1].Weight = 0;
  std::map<std::uint32_t, int> counts;
  for (const auto it : choices())
    ++counts[it];
  BOOST_TEST(counts.size() == 8U);
  for (const auto &[address, n] : counts) {
    const double expected = address == ServerAddress + 1 ? 2.0 / 9 : 1.0 / 9;
    BOOST_TEST(n / double{Flows} == expected,
               boost::test_tools::tolerance(0.05));
  }
}

// Guards against a change that moves flows between other servers than those
// that were changed.
BOOST_AUTO_TEST_CASE(ChangesMoveOnlyTheirShare) {
  const auto before = choices();
  counter().BackendServers.push_back(makeServer(0, 10));
  int moved = 0;
  for (const auto &[pair, n] : moves(before, choices())) {
    BOOST_TEST(pair.second == ServerAddress + 10);
    moved += n;
  }
  BOOST_TEST(moved / double{Flows} == 0.1, boost::test_tools::tolerance(0.05));
  counter().BackendServers.pop_back();
  counter().BackendServers[2].Weight = 3;
  for (const auto &[pair, n] : moves(before, choices()))
    BOOST_TEST(pair.second == ServerAddress + 3);
  counter().BackendServers.erase(counter().BackendServers.begin() + 2);
  for (const auto &[pair, n] : moves(before, choices()))
    BOOST_TEST(pair.first == ServerAddress + 3);
}

// Guards against a drain that moves established flows, and against new flows to
// the draining server.
BOOST_AUTO_TEST_CASE(DrainingServerKeepsItsFlowsAndGetsNoNewOnes) {
  const auto before = choices();
  counter().BackendServers[2].Mode = state::BackendServerMode::Draining;
  BOOST_TEST(moves(before, choices()).empty());
  const auto placed = choices(true);
  for (std::size_t i = 0; i < before.size(); ++i)
    BOOST_REQUIRE(placed[i] ==
                  (before[i] == ServerAddress + 3 ? 0 : before[i]));
}

BOOST_AUTO_TEST_SUITE_END()

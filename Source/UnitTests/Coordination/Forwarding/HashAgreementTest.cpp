#include "Coordination/Forwarding/HashPlacement.h"
#include "State/RendezvousHash.h"
#include "UnitTests/State/SettingsSamples.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace auburnroute;
using namespace forwarding;

BOOST_AUTO_TEST_SUITE(HashAgreementTest)

// Guards against `auburnctl diff` using another hash for its estimate than
// HashPlacement uses for packets without a tag.
BOOST_AUTO_TEST_CASE(EstimateAndPlacementAgree) {
  for (const auto seed : state::testSeeds()) {
    std::mt19937_64 random(seed);
    for (int round = 0; round < 200; ++round) {
      std::vector<state::BackendServerEntry> servers;
      std::vector<state::RendezvousHash::Candidate> candidates;
      const auto count = static_cast<std::uint16_t>(1 + round % 20);
      for (std::uint16_t n = 1; n <= count; ++n) {
        state::BackendServerEntry entry;
        entry.Number = n;
        entry.Weight = static_cast<std::uint32_t>(1 + random() % 10);
        servers.push_back(entry);
        candidates.push_back({n, entry.Weight});
      }
      const auto hash = random();
      const auto *chosen = HashPlacement::choose(servers, hash);
      BOOST_REQUIRE(chosen != nullptr);
      BOOST_TEST(chosen->Number ==
                 state::RendezvousHash::choose(candidates, hash));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

#include "UnitTests/Routing/RoutingFixture.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace auburnroute;
using namespace std::chrono_literals;
using routing::ForwardPacket;
using routing::ServerState;
using unittests::RoutingFixture;

BOOST_AUTO_TEST_SUITE(RoutingRandomTest)

// Applies random registrations, removals, configurations and packets, including
// inconsistent ones. A SYN may only reach a ready server of its route's
// service, and a later packet only the server that its tag identifies.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomEvents) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4, 5})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937_64 random(seed);
      RoutingFixture it(seed);
      std::uint64_t next = 1;
      std::uint64_t version = 1;
      std::map<std::uint32_t, std::string> tags;
      const auto below = [&](std::uint64_t n) { return random() % n; };
      for (int step = 0; step < 4000; ++step) {
        it.Clock.advance(std::chrono::milliseconds(below(40)));
        const auto service = below(2) == 0 ? "orders" : "sheets";
        const auto to =
            below(2) == 0 ? RoutingFixture::Orders : RoutingFixture::Sheets;
        switch (below(12)) {
        case 0:
          it.add(next++, service, below(2) == 0 ? "a" : "b");
          break;
        case 1:
          it.add(1 + below(next), service, "a", ServerState::Draining);
          break;
        case 2:
          it.lapse(1 + below(next));
          break;
        case 3:
          it.configure(below(3) == 0 ? ++version : 1 + below(version));
          it.Router.onTick(it.Clock.now());
          break;
        case 4:
        case 5:
        case 6:
        case 7: {
          const auto outcome = it.syn(below(300), below(4), to);
          const auto *sent = std::get_if<ForwardPacket>(&outcome);
          if (sent == nullptr)
            break;
          const auto &server = it.Directory.at(sent->Server);
          BOOST_TEST((server.Registration.State == ServerState::Ready));
          BOOST_TEST(server.Registration.Service ==
                     it.Routes.find(to)->Services.front().Service);
          tags[sent->Tag] = server.Registration.Name;
          break;
        }
        default: {
          if (tags.empty())
            break;
          auto known = tags.begin();
          std::advance(known, below(tags.size()));
          const auto outcome =
              it.data(below(300), known->first, 1000 + below(500),
                      5000 + below(500), below(1200), to);
          if (const auto *sent = std::get_if<ForwardPacket>(&outcome))
            BOOST_TEST(it.Directory.at(sent->Server).Registration.Name ==
                       known->second);
        }
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

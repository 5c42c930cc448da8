#include "Routing/SilenceRule.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;

namespace {

struct RuleFixture {
  common::ManualClock Clock;
  routing::SilenceRule Rule;
  routing::AnswerQuality Quality{50ms, false};

  bool isDead(std::uint32_t requests, std::uint32_t syns,
              std::chrono::milliseconds silence = 500ms,
              bool hasSeveralCallers = true) const {
    return Rule.isDead({.Since = Clock.now() - silence,
                        .RequestCount = requests,
                        .SynCount = syns,
                        .HasSeveralCallers = hasSeveralCallers},
                       Quality, Clock.now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SilenceRuleTest, RuleFixture)

// A caller that gave up does not acknowledge the answer to its SYN, and a full
// server ignores SYNs, so no number of them may help to end open flows.
BOOST_AUTO_TEST_CASE(SynsShowNoDeath) {
  BOOST_TEST(!isDead(0, 1000));
  BOOST_TEST(!isDead(1, 1000));
  BOOST_TEST(isDead(2, 0));
}

// A caller that lost its connectivity retransmits on all its flows.
BOOST_AUTO_TEST_CASE(OneCallerShowsNoDeath) {
  BOOST_TEST(!isDead(10, 10, 500ms, /*hasSeveralCallers=*/false));
}

// A slow server is silent for as long as it works.
BOOST_AUTO_TEST_CASE(SilenceIsComparedWithTheSlowestAnswer) {
  BOOST_TEST(!isDead(5, 0, 399ms));
  BOOST_TEST(isDead(5, 0, 400ms));
  Quality.Slowest = 300ms;
  BOOST_TEST(!isDead(5, 0, 599ms));
  BOOST_TEST(isDead(5, 0, 600ms));
}

// On a lossy network two requests in a row are lost now and then.
BOOST_AUTO_TEST_CASE(LossNeedsMoreRequests) {
  Quality.HasManyRetransmissions = true;
  BOOST_TEST(!isDead(2, 10));
  BOOST_TEST(isDead(3, 0));
}

BOOST_AUTO_TEST_SUITE_END()

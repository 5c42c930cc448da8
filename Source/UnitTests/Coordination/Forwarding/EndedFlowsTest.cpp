#include "Coordination/Forwarding/EndedFlows.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using forwarding::EndedFlows;
using forwarding::FlowKey;
using namespace std::chrono_literals;

namespace {

FlowKey flow(std::uint16_t port) {
  return {{0xCB007101, port}, {0xC6336401, 7002}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndedFlowsTest)

// Guards against counting a reset in answer to a late segment as a broken flow,
// and against counting a retransmitted FIN twice.
BOOST_AUTO_TEST_CASE(EachEndCountsOnce) {
  common::ManualClock clock;
  EndedFlows ended;
  BOOST_TEST(ended.recordEnd(clock.now(), flow(1)));
  clock.advance(1s);
  BOOST_TEST(!ended.recordEnd(clock.now(), flow(1)));
  BOOST_TEST(ended.recordEnd(clock.now(), flow(2)));
}

// Guards against missing the end of a flow whose port was used before.
BOOST_AUTO_TEST_CASE(ReusedPortIsANewFlow) {
  common::ManualClock clock;
  EndedFlows ended;
  ended.recordEnd(clock.now(), flow(1));
  clock.advance(1s);
  ended.onNewFlow(flow(1));
  BOOST_TEST(ended.recordEnd(clock.now(), flow(1)));
  clock.advance(EndedFlows::RetentionTime);
  BOOST_TEST(!ended.recordEnd(clock.now(), flow(1)));
}

// Guards against memory use that grows with time or with the rate of flows.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  common::ManualClock clock;
  EndedFlows ended;
  for (std::uint32_t i = 0; i < EndedFlows::MaxFlows + 1000; ++i)
    ended.recordEnd(clock.now(),
                    {{0xCB007101 + (i >> 16), static_cast<std::uint16_t>(i)},
                     {0xC6336401, 7002}});
  BOOST_TEST(ended.size() <= EndedFlows::MaxFlows);
  clock.advance(EndedFlows::RetentionTime + 1s);
  ended.recordEnd(clock.now(), flow(1));
  BOOST_TEST(ended.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

#include "Emulator/EventQueue.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace auburnroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(EventQueueTest)

// Guards against runs of one seed that differ: events of equal times run in the
// order in which they were scheduled, and a handler may schedule an event for
// the current time.
BOOST_AUTO_TEST_CASE(RunsEventsInOrderOfTimeAndScheduling) {
  emulator::EventQueue queue;
  std::vector<int> order;
  queue.scheduleAfter(2ms, [&] { order.push_back(3); });
  queue.scheduleAfter(1ms, [&] {
    order.push_back(1);
    queue.scheduleAfter(-5ms, [&] { order.push_back(2); });
  });
  queue.scheduleAfter(2ms, [&] { order.push_back(4); });
  queue.scheduleAfter(10ms, [&] { order.push_back(5); });
  const auto start = queue.now();
  queue.runUntil(start + 5ms);
  BOOST_TEST(order == (std::vector{1, 2, 3, 4}),
             boost::test_tools::per_element());
  BOOST_TEST((queue.now() == start + 5ms));
}

BOOST_AUTO_TEST_SUITE_END()

#include "Common/Invariant.h"

#include <boost/test/execution_monitor.hpp>
#include <boost/test/unit_test.hpp>

using auburnroute::common::invariant;

BOOST_AUTO_TEST_SUITE(InvariantTest)

// Guards against a check that is compiled out or only logs. A broken invariant,
// such as a packet forwarded to another service, must end the process.
BOOST_AUTO_TEST_CASE(BrokenInvariantAborts) {
  boost::execution_monitor monitor;
  monitor.p_catch_system_errors.value = true;
  BOOST_CHECK_NO_THROW(monitor.vexecute([] { invariant(true, "this holds"); }));
  bool aborted = false;
  try {
    monitor.vexecute([] { invariant(false, "this does not hold"); });
  } catch (const boost::execution_exception &ex) {
    aborted = ex.code() == boost::execution_exception::system_fatal_error ||
              ex.code() == boost::execution_exception::system_error;
  }
  BOOST_TEST(aborted);
}

BOOST_AUTO_TEST_SUITE_END()

#include "UnitTests/Coordination/Placement/AdmissionFixture.h"

#include <map>
#include <set>

using namespace auburnroute;
using namespace auburnroute::forwarding;
using namespace auburnroute::health;
using namespace auburnroute::placement;
using namespace std::chrono_literals;
using state::Cause;

BOOST_FIXTURE_TEST_SUITE(AdmissionReportsTest, AdmissionFixture)

// Guards against full load on a server that was restarted between reports, and
// against records of the flows that it lost.
BOOST_AUTO_TEST_CASE(RestartIsSeenInTheReport) {
  addServers(2);
  apply();
  for (int i = 0; i < 8; ++i)
    syn(newKey(FeedAddress));
  for (int i = 0; i < 3; ++i) {
    Clock.advance(1s);
    report(0, 0, 4);
  }
  Clock.advance(1s);
  Controller.onReportFailure(Clock.now(), 0);
  Clock.advance(1s);
  report(0, 0, 0);
  BOOST_TEST((health(0) == HealthState::Starting));
  BOOST_TEST(feeds(0) == 0);
  BOOST_TEST(feeds(1) == 4);
  BOOST_TEST(eventCount(Cause::BackendServerDown) == 4);
}

// Guards against ends that the owner never sees holding a slot for ever, and
// against a single lagging report freeing slots that are in use.
BOOST_AUTO_TEST_CASE(ReportsGiveUpRecordsOnlyAfterSeveral) {
  addServers(1, 2);
  apply();
  syn();
  syn();
  int reports = 0;
  for (; requests(0) == 2 && reports < 20; ++reports) {
    Clock.advance(1s);
    report(0, 1, 1);
  }
  BOOST_TEST(reports >= 4);
  BOOST_TEST(reports <= 6);
  BOOST_TEST(requests(0) == 1);
  for (int i = 0; i < 20; ++i) {
    Clock.advance(1s);
    report(0, i % 2, 1); // every other report lags
  }
  BOOST_TEST(requests(0) == 1);
}

// Guards against records without a report that last for ever.
BOOST_AUTO_TEST_CASE(RecordsExpireByAge) {
  addServers(1, 1);
  apply();
  syn();
  Clock.advance(AdmissionController::MaxRequestAge + 1s);
  poll();
  BOOST_TEST(requests(0) == 0);
}

// Guards against a report that lags: own flows are not taken for another's.
BOOST_AUTO_TEST_CASE(LaggingReportsAreNotLoadOfOthers) {
  addServers(3, 2);
  apply();
  std::vector<FlowKey> keys;
  for (int i = 0; i < 6; ++i) {
    keys.push_back(newKey());
    syn(keys.back());
  }
  Clock.advance(500ms);
  for (const auto &it : keys)
    finish(it);
  for (std::uint32_t id = 0; id < 3; ++id)
    report(id, 2, 2);
  for (int i = 0; i < 6; ++i)
    BOOST_TEST(numberOf(syn()) != 0);
}

// Guards against a new owner that takes busy servers for idle.
BOOST_AUTO_TEST_CASE(NewOwnerStartsFromReports) {
  addServers(3, 2);
  apply();
  for (std::uint32_t id = 0; id < 3; ++id)
    report(id, 2, 2);
  BOOST_TEST(isHeld(syn()));
  const auto other = newKey(); // placed by the owner before
  Controller.onFinish(Clock.now(), other, FinishKind::Ended, 2);
  const auto released = poll();
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST(numberOf(released[0].Decision) == 2);
}

// Guards against one wrong report that takes a server out of use.
BOOST_AUTO_TEST_CASE(LoneBusyReportIsNotBelieved) {
  addServers(3, 1);
  apply();
  report(0, 100, 0);
  report(1, 0, 0);
  report(2, 0, 0);
  std::set<int> used;
  for (int i = 0; i < 3; ++i)
    used.insert(numberOf(syn()));
  BOOST_TEST((used == std::set<int>{1, 2, 3}));
}

// Guards against reports older than reportTtl that still decide.
BOOST_AUTO_TEST_CASE(StaleReportsAreNotUsed) {
  addServers(3, 2);
  apply();
  for (std::uint32_t id = 0; id < 3; ++id)
    report(id, 2, 2);
  BOOST_TEST(isHeld(syn()));
  Clock.advance(policy().ReportTtl + 1ms);
  BOOST_TEST(numberOf(syn()) != 0);
}

// Guards against slots that stay idle during handshakes, and against requests
// placed ahead on the strength of one server's reports.
BOOST_AUTO_TEST_CASE(RequestsInTransitMayExceedTheSlots) {
  addServers(3, 2);
  apply();
  std::vector<FlowKey> keys;
  for (int i = 0; i < 6; ++i)
    syn(keys.emplace_back(newKey()));
  Clock.advance(10ms);
  for (const auto &it : keys) // learns the usual duration
    finish(it);
  const auto reportsOfOne = [&](std::uint32_t id, std::uint32_t busy) {
    for (int i = 0; i < 30; ++i)
      report(id, busy);
  };
  for (int i = 0; i < 6; ++i)
    syn();
  reportsOfOne(0, 0);
  BOOST_TEST(isHeld(syn())); // one server alone is not believed
  BOOST_TEST(poll().empty());
  reportsOfOne(1, 1);
  reportsOfOne(2, 1);
  BOOST_TEST(poll().size() == 1);
  BOOST_TEST(requests(0) + requests(1) + requests(2) == 7);
  // Requests that run long let none go ahead.
  Clock.advance(500ms);
  BOOST_TEST(isHeld(syn()));
  BOOST_TEST(poll().empty());
}

BOOST_AUTO_TEST_SUITE_END()

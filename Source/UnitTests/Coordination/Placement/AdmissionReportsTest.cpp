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
// against keeping the records of the flows that the restart ended.
BOOST_AUTO_TEST_CASE(RestartIsDetectedFromReports) {
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

// Guards against flows that occupy a slot forever because their end was missed,
// and against a single lagging report that frees slots in use.
BOOST_AUTO_TEST_CASE(RecordsAreRemovedOnlyAfterSeveralReports) {
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

// Guards against keeping records forever if there are no reports.
BOOST_AUTO_TEST_CASE(RecordsExpireByAge) {
  addServers(1, 1);
  apply();
  syn();
  Clock.advance(AdmissionController::MaxRequestAge + 1s);
  poll();
  BOOST_TEST(requests(0) == 0);
}

// Guards against counting own flows in a lagging report as load by other hosts.
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

// Guards against a new owner that assumes that busy servers are idle.
BOOST_AUTO_TEST_CASE(NewOwnerStartsFromReports) {
  addServers(3, 2);
  apply();
  for (std::uint32_t id = 0; id < 3; ++id)
    report(id, 2, 2);
  BOOST_TEST(isHeld(syn()));
  const auto other = newKey(); // placed by the previous owner
  Controller.onFinish(Clock.now(), other, FinishKind::Ended, 2);
  const auto released = poll();
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST(numberOf(released[0].Decision) == 2);
}

// Guards against one wrong report that stops all flows to a server.
BOOST_AUTO_TEST_CASE(LoadThatOnlyOneServerReportsIsIgnored) {
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

// Guards against decisions based on reports older than reportTtl.
BOOST_AUTO_TEST_CASE(StaleReportsAreNotUsed) {
  addServers(3, 2);
  apply();
  for (std::uint32_t id = 0; id < 3; ++id)
    report(id, 2, 2);
  BOOST_TEST(isHeld(syn()));
  Clock.advance(policy().ReportTtl + 1ms);
  BOOST_TEST(numberOf(syn()) != 0);
}

// Guards against slots that stay idle during handshakes, and against
// overcommitting because of the reports of a single server.
BOOST_AUTO_TEST_CASE(RequestsInTransitMayExceedTheSlots) {
  addServers(3, 2);
  apply();
  std::vector<FlowKey> keys;
  for (int i = 0; i < 6; ++i)
    syn(keys.emplace_back(newKey()));
  Clock.advance(10ms);
  for (const auto &it : keys) // sets the median duration
    finish(it);
  const auto reportsOfOne = [&](std::uint32_t id, std::uint32_t busy) {
    for (int i = 0; i < 30; ++i)
      report(id, busy);
  };
  for (int i = 0; i < 6; ++i)
    syn();
  reportsOfOne(0, 0);
  BOOST_TEST(isHeld(syn())); // the report of one server is not enough
  BOOST_TEST(poll().empty());
  reportsOfOne(1, 1);
  reportsOfOne(2, 1);
  BOOST_TEST(poll().size() == 1);
  BOOST_TEST(requests(0) + requests(1) + requests(2) == 7);
  // No overcommitting behind requests that have run long.
  Clock.advance(500ms);
  BOOST_TEST(isHeld(syn()));
  BOOST_TEST(poll().empty());
}

BOOST_AUTO_TEST_SUITE_END()

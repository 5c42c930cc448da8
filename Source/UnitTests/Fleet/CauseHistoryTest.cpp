#include "Fleet/CauseHistory.h"
#include "Common/ManualClock.h"
#include "Fleet/GossipCodec.h"
#include "State/BurnReportCodec.h"
#include "State/CauseCodec.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::CauseHistory;
using state::Cause;

namespace {

std::vector<state::CauseEntry> entriesOf(const CauseHistory &history) {
  return state::decodeCauses(history.causes(1h)).value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(CauseHistoryTest)

// Causes must survive the host that recorded them, also when all hosts are
// replaced one after another.
BOOST_AUTO_TEST_CASE(CopiesOutliveTheirHost) {
  common::ManualClock clock;
  CauseHistory second("b-1", "192.0.2.2", clock);
  {
    CauseHistory first("a-1", "192.0.2.1", clock);
    first.record(Cause::BackendServerDown, "orders", 7, "s-1");
    first.record(Cause::BackendServerDown, "orders", 7, "s-1");
    first.recordForHost(Cause::HostPaused);
    second.merge(first.takeBatch());
    BOOST_TEST(!first.hasPendingEntries());
  }
  clock.advance(50min);
  CauseHistory third("c-1", "192.0.2.3", clock);
  third.merge(second.newestEntries());
  const auto entries = entriesOf(third);
  BOOST_REQUIRE(entries.size() == 2U);
  const auto down =
      std::ranges::find(entries, Cause::BackendServerDown,
                        [](const auto &it) { return it.Key.Cause; });
  BOOST_REQUIRE(down != entries.end());
  BOOST_TEST(down->Count == 2U);
  BOOST_TEST(down->Key.Origin == "a-1");
  BOOST_TEST(down->Key.Subject == "s-1");
  BOOST_TEST(!third.hasPendingEntries());
}

// A batch that does not fit into a datagram would be lost.
BOOST_AUTO_TEST_CASE(BatchFitsIntoADatagram) {
  common::ManualClock clock;
  const std::string longest(200, 'x');
  for (const auto &name : {std::string("i-1234567890"), longest}) {
    CauseHistory history(name, "192.0.2.1", clock);
    for (std::uint64_t version = 1; version <= 30; ++version)
      history.record(Cause::NoRoute, name, version, name);
    std::size_t sent = 0;
    while (history.hasPendingEntries()) {
      fleet::GossipMessage message;
      message.Sender = {0xc0000201, "availability-zone-1", 1769245012022, 1000};
      message.Causes = history.takeBatch();
      BOOST_REQUIRE(!message.Causes.empty());
      sent += message.Causes.size();
      BOOST_TEST(fleet::GossipCodec::encode(message).size() <=
                 fleet::GossipCodec::MaxDatagramBytes);
    }
    BOOST_TEST(sent == 30U);
  }
}

// A step of the wall clock must neither expire nor postdate recent causes.
BOOST_AUTO_TEST_CASE(WallClockStepsDoNotAffectEntries) {
  common::ManualClock clock;
  CauseHistory history("a-1", "192.0.2.1", clock);
  history.record(Cause::NoBackendServer, "orders", 1, {});
  history.count("orders", {.Refused = 1});
  for (const auto step : {26h, -52h}) {
    clock.stepWallClock(step);
    clock.advance(1min);
    history.expire();
    BOOST_TEST(entriesOf(history).size() == 1U);
  }
  const auto burn = state::decodeBurnReport(history.burn()).value();
  BOOST_TEST(burn.Services.at("orders").Windows.at(5min).Refused == 1U);
  clock.advance(62min);
  history.expire();
  BOOST_TEST(entriesOf(history).empty());
}

// The number of causes must be bounded, and so must the number that a newly
// started host is sent.
BOOST_AUTO_TEST_CASE(NumberOfCausesIsBounded) {
  common::ManualClock clock;
  CauseHistory history("a-1", "192.0.2.1", clock);
  for (std::uint64_t version = 1; version <= 5000; ++version)
    history.record(Cause::SettingsApplied, {}, version, {});
  BOOST_TEST(entriesOf(history).size() == CauseHistory::MaxEntries);
  clock.advance(1min);
  history.record(Cause::NoRoute, {}, 1, {});
  const auto handedOver = history.newestEntries();
  BOOST_REQUIRE(handedOver.size() == CauseHistory::MaxNewestEntries);
  BOOST_TEST((handedOver.front().Key.Cause == Cause::NoRoute));
}

// Guards against a time range so long that the subtraction overflows and no
// cause is found.
BOOST_AUTO_TEST_CASE(LongRangesGiveAllCauses) {
  common::ManualClock clock;
  CauseHistory history("a-1", "192.0.2.1", clock);
  history.recordForHost(Cause::HostPaused);
  clock.advance(10min);
  for (const auto range :
       {std::chrono::seconds(3600), std::chrono::seconds(10'000'000'000),
        std::chrono::seconds(18'446'744'074), std::chrono::seconds::max()}) {
    const auto entries = state::decodeCauses(history.causes(range));
    BOOST_REQUIRE(entries.ok());
    BOOST_TEST(entries->size() == 1U, range.count());
  }
  BOOST_TEST(state::decodeCauses(history.causes(1min)).value().empty());
}

// Guards against causes of a peer with minutes in the far future, which would
// never expire and displace all others.
BOOST_AUTO_TEST_CASE(CausesOfOtherMinutesAreNotKept) {
  common::ManualClock clock;
  CauseHistory history("a-1", "192.0.2.1", clock);
  history.recordForHost(Cause::HostPaused);
  std::vector<state::CauseEntry> entries;
  const auto now = clock.wallTime();
  for (std::uint64_t n = 0; n < 2 * CauseHistory::MaxEntries; ++n) {
    state::CauseEntry entry;
    entry.Key = {"b-1", 1, state::minuteOf(now), Cause::NoRoute, "orders",
                 n,     ""};
    entry.Count = 1;
    entry.First = entry.Last = now;
    if (n % 2 == 0)
      entry.Key.Minute += n + 1;
    else
      entry.First = entry.Last = now + std::chrono::hours(n + 2);
    if (n % 2 != 0)
      entry.Key.Minute = state::minuteOf(entry.Last);
    entries.push_back(entry);
  }
  history.merge(entries);
  BOOST_TEST(entriesOf(history).size() == 1U);
  auto valid = entries.front();
  valid.Key.Minute = state::minuteOf(valid.First);
  history.merge({valid});
  BOOST_TEST(entriesOf(history).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

#include "Fleet/RegistryReader.h"
#include "UnitTests/Fleet/FleetFixture.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::RegistryCallKind;
using fleet::RegistryFailure;
using fleet::RegistryReader;
using unittests::samplePage;
using unittests::sampleServer;
using unittests::ViewFixture;

namespace {

struct Fixture {
  common::ManualClock Clock;
  ViewFixture View;
  RegistryReader Reader{View.View};

  fleet::RegistryCall call() {
    const auto it = Reader.nextCall(Clock.now());
    BOOST_REQUIRE(it.has_value());
    return *it;
  }
  void list() {
    call();
    Reader.onPage(samplePage(10, {sampleServer(1, 3)}, 1), Clock.now());
    Clock.advance(Reader.timing().WatchPause);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RegistryReaderTest)

// Only one call may be pending at a time, and there must be a pause between
// calls, since each has a cost.
BOOST_AUTO_TEST_CASE(ListThenPacedWatches) {
  Fixture it;
  BOOST_TEST((it.call().Kind == RegistryCallKind::List));
  BOOST_TEST(!it.Reader.nextCall(it.Clock.now()).has_value());
  it.Reader.onPage(samplePage(10, {sampleServer(1, 3)}, 1), it.Clock.now());
  BOOST_TEST(it.View.View.isComplete());
  BOOST_TEST(!it.Reader.nextCall(it.Clock.now()).has_value());
  it.Clock.advance(it.Reader.timing().WatchPause);
  const auto watch = it.call();
  BOOST_TEST((watch.Kind == RegistryCallKind::Watch));
  BOOST_TEST(watch.Revision == 10U);
}

// All pages of a list must be read.
BOOST_AUTO_TEST_CASE(ListsAreReadToTheLastPage) {
  Fixture it;
  it.call();
  auto page = samplePage(10, {sampleServer(1, 3)}, 1);
  page.HasMore = true;
  page.LastKey = "servers/s1";
  it.Reader.onPage(page, it.Clock.now());
  BOOST_TEST(!it.View.View.isComplete());
  const auto second = it.call();
  BOOST_TEST(second.After == "servers/s1");
  it.Reader.onPage(samplePage(12, {sampleServer(2, 11)}), it.Clock.now());
  BOOST_TEST(it.View.View.isComplete());
  // The list may lack changes made after its first page was read.
  BOOST_TEST(it.View.View.revision() == 10U);
}

// Guards against a watch that is repeated until its changes leave the history,
// because they exceed the size limit of an answer.
BOOST_AUTO_TEST_CASE(TooLargeWatchLeadsToAList) {
  Fixture it;
  it.list();
  it.call();
  it.Reader.onFailure(RegistryFailure::TooLarge, it.Clock.now());
  BOOST_TEST((it.call().Kind == RegistryCallKind::List));
  BOOST_TEST(!it.Reader.isRegistryUnavailable());
  it.Reader.onPage(samplePage(20, {sampleServer(1, 3)}, 1), it.Clock.now());
  BOOST_TEST(it.View.View.revision() == 20U);
  it.Clock.advance(it.Reader.timing().WatchPause);
  const auto next = it.call();
  BOOST_TEST((next.Kind == RegistryCallKind::Watch));
  BOOST_TEST(next.Revision == 20U);
}

// Guards against a page that is too large being asked for without a pause.
BOOST_AUTO_TEST_CASE(TooLargePageIsAFailedCall) {
  Fixture it;
  it.call();
  it.Reader.onFailure(RegistryFailure::TooLarge, it.Clock.now());
  BOOST_TEST(!it.Reader.nextCall(it.Clock.now()).has_value());
  BOOST_TEST(it.Reader.failures() == 1U);
}

// Guards against a list that reads the same page for ever, without a pause, if
// the registry does not go on after its last key.
BOOST_AUTO_TEST_CASE(ListWithoutProgressFails) {
  for (const std::string key : {"servers/s1", ""}) {
    Fixture it;
    it.call();
    auto page = samplePage(10, {sampleServer(1, 3)}, 1);
    page.HasMore = true;
    page.LastKey = "servers/s1";
    BOOST_TEST(!it.Reader.onPage(page, it.Clock.now()).has_value());
    it.call();
    page.LastKey = key;
    BOOST_TEST(
        (it.Reader.onPage(page, it.Clock.now()) == RegistryFailure::Malformed));
    BOOST_TEST(!it.View.View.isComplete());
    BOOST_TEST(!it.Reader.nextCall(it.Clock.now()).has_value());
    it.Clock.advance(it.Reader.timing().InitialBackoff);
    const auto next = it.call();
    BOOST_TEST((next.Kind == RegistryCallKind::List));
    BOOST_TEST(next.After.empty());
  }
}

// After a compaction the reader must read a new list instead of watching a
// history that no longer exists.
BOOST_AUTO_TEST_CASE(CompactionLeadsToANewList) {
  Fixture it;
  it.list();
  it.call();
  it.Reader.onFailure(RegistryFailure::Compacted, it.Clock.now());
  BOOST_TEST((it.call().Kind == RegistryCallKind::List));
  BOOST_TEST(!it.Reader.isRegistryUnavailable());
}

// Calls to a failing registry must back off.
BOOST_AUTO_TEST_CASE(FailuresBackOff) {
  Fixture it;
  it.list();
  std::chrono::milliseconds total{0};
  for (int i = 0; i < 6; ++i) {
    it.call();
    it.Reader.onFailure(RegistryFailure::Refused, it.Clock.now());
    const auto wait = it.Reader.nextCallAt() - it.Clock.now();
    BOOST_TEST((wait >= 200ms));
    BOOST_TEST((wait <= 1600ms));
    total += std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    it.Clock.advance(wait);
  }
  BOOST_TEST((total >= 5s));
  BOOST_TEST(it.Reader.isRegistryUnavailable());
  it.call();
  it.Reader.onPage(samplePage(11, {}), it.Clock.now());
  BOOST_TEST(!it.Reader.isRegistryUnavailable());
}

// A late answer must not make the view look current: a watch that returns
// changes is only as recent as the start of its call.
BOOST_AUTO_TEST_CASE(LateAnswersDoNotRefreshTheView) {
  Fixture it;
  it.list();
  it.call();
  it.Clock.advance(1500ms);
  it.Reader.onPage(samplePage(11, {sampleServer(2, 11)}), it.Clock.now());
  BOOST_TEST((it.View.View.age(it.Clock.now()) >= 1500ms));
  it.Clock.advance(it.Reader.timing().WatchPause);
  it.call();
  it.Clock.advance(it.Reader.timing().WatchWait + 200ms);
  it.Reader.onPage(samplePage(11, {}), it.Clock.now());
  BOOST_TEST((it.View.View.age(it.Clock.now()) == 200ms));
}

// A host that takes over reading must not read a full list if peers already
// supplied the view.
BOOST_AUTO_TEST_CASE(ViewFromPeersNeedsNoList) {
  Fixture it;
  it.View.View.applySnapshot(
      {0, 20, unittests::sampleConfiguration(3), {sampleServer(1, 3)}}, 0ms,
      it.Clock.now());
  const auto call = it.call();
  BOOST_TEST((call.Kind == RegistryCallKind::Watch));
  BOOST_TEST(call.Revision == 20U);
}

// The bound must hold in the worst case: the reader dies right after a change,
// the last host in order takes over, and the answer is slow.
BOOST_AUTO_TEST_CASE(TakeoverMeetsTheChangeBound) {
  for (const auto bound : {3000ms, 5000ms, 9000ms}) {
    const auto timing = fleet::RegistryReadTiming::forBound(bound);
    const auto cycle = timing.WatchPause + timing.WatchWait;
    BOOST_TEST((cycle < timing.TakeoverAge));
    const auto last =
        timing.TakeoverAge +
        timing.TakeoverStep * static_cast<int>(timing.MaxTakeoverSteps);
    BOOST_TEST((last <= bound * 3 / 4));
  }
}

// Load pattern: the registry is away and 59 hosts of a zone have an old view.
// All of them read at the same time, 77 of 89 hosts in an incident; each call
// has a price and fails. Up to the bound only four of a zone may.
BOOST_AUTO_TEST_CASE(OutageIsReadByAFewHostsOfAZone) {
  const auto timing = fleet::RegistryReadTiming::forBound(6s);
  std::size_t readers = 0;
  for (std::size_t rank = 0; rank < 59; ++rank)
    readers += timing.takeoverAge(rank, true) < 6s;
  BOOST_TEST(readers == 4U);
  // Hosts before them may be turned away, so the others follow one by one.
  for (std::size_t rank = 4; rank < 59; ++rank)
    BOOST_TEST((timing.takeoverAge(rank, true) <= 12s));
}

// A host that is cut off from all others, but not from the registry, must learn
// of changes within the bound, whatever rank it believes to have.
BOOST_AUTO_TEST_CASE(IsolatedHostReadsForItself) {
  const auto timing = fleet::RegistryReadTiming::forBound(3s);
  BOOST_TEST((timing.takeoverAge(58, false) <= 1500ms));
}

// Every answer states the era, also a refusal. A reader that waits for an
// answer with status 410 goes on with revisions of the lost history if the
// restored registry has passed them by then.
BOOST_AUTO_TEST_CASE(EraOfARefusalLeadsToAList) {
  Fixture it;
  it.list();
  it.call();
  it.Reader.onEra(1);
  it.Reader.onFailure(RegistryFailure::Refused, it.Clock.now());
  it.Clock.advance(1600ms);
  BOOST_TEST((it.call().Kind == RegistryCallKind::List));
}

// The pages of a list must be of one history: a server that registered in the
// lost seconds would otherwise be taken for registered.
BOOST_AUTO_TEST_CASE(ListThatSpansARestoreIsReadAgain) {
  Fixture it;
  it.call();
  auto page = samplePage(30, {sampleServer(1, 29)}, 1);
  page.Era = 1;
  page.HasMore = true;
  page.LastKey = "servers/s1";
  it.Reader.onPage(page, it.Clock.now());
  it.call();
  page = samplePage(12, {sampleServer(2, 11)});
  page.Era = 2;
  it.Reader.onPage(page, it.Clock.now());
  BOOST_TEST(!it.View.View.isComplete());
  const auto call = it.call();
  BOOST_TEST((call.Kind == RegistryCallKind::List));
  BOOST_TEST(call.After.empty());
}

// An answer from before the restore that arrives late must not bring back what
// the registry has lost, nor count as current.
BOOST_AUTO_TEST_CASE(AnswerOfAnEarlierEraIsDropped) {
  Fixture it;
  it.call();
  auto page = samplePage(12, {sampleServer(1, 3)}, 1);
  page.Era = 2;
  it.Reader.onPage(page, it.Clock.now());
  it.Clock.advance(it.Reader.timing().WatchPause);
  it.call();
  page = samplePage(40, {sampleServer(9, 39)});
  page.Era = 1;
  it.Reader.onPage(page, it.Clock.now());
  BOOST_TEST(it.View.View.revision() == 12U);
  BOOST_TEST(it.View.Directory.findByName("s9") == nullptr);
  BOOST_TEST(it.Reader.failures() == 1U);
}

// A watch that was sent before the view entered a new era asked for changes
// after a revision of the old one.
BOOST_AUTO_TEST_CASE(WatchAcrossARestoreDoesNotAdvanceTheView) {
  Fixture it;
  it.list();
  it.call();
  fleet::ViewSnapshot snapshot{
      0, 8, unittests::sampleConfiguration(1), {sampleServer(1, 3)}};
  snapshot.Era = 1;
  it.View.View.applySnapshot(snapshot, 0ms, it.Clock.now());
  auto page = samplePage(12, {sampleServer(2, 12)});
  page.Era = 1;
  it.Reader.onPage(page, it.Clock.now());
  BOOST_TEST(it.View.View.revision() == 8U);
  const auto call = it.call();
  BOOST_TEST((call.Kind == RegistryCallKind::Watch));
  BOOST_TEST(call.Revision == 8U);
}

// Load pattern: all hosts of a fleet see the restore at once. A host that gets
// the new view from a peer must not read a list as well.
BOOST_AUTO_TEST_CASE(ViewOfAPeerReplacesTheListAfterARestore) {
  Fixture it;
  it.list();
  it.call();
  it.Reader.onEra(1);
  it.Reader.onFailure(RegistryFailure::Compacted, it.Clock.now());
  fleet::ViewSnapshot snapshot{
      0, 8, unittests::sampleConfiguration(1), {sampleServer(1, 3)}};
  snapshot.Era = 1;
  it.View.View.applySnapshot(snapshot, 0ms, it.Clock.now());
  BOOST_TEST((it.call().Kind == RegistryCallKind::Watch));
}

BOOST_AUTO_TEST_SUITE_END()

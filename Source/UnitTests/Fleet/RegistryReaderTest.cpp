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
    const auto it = Reader.next(Clock.now());
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

// Guards against more than one call under way, and against calls that follow
// each other without a pause: each has a price.
BOOST_AUTO_TEST_CASE(ListThenPacedWatches) {
  Fixture it;
  BOOST_TEST((it.call().Kind == RegistryCallKind::List));
  BOOST_TEST(!it.Reader.next(it.Clock.now()).has_value());
  it.Reader.onPage(samplePage(10, {sampleServer(1, 3)}, 1), it.Clock.now());
  BOOST_TEST(it.View.View.isComplete());
  BOOST_TEST(!it.Reader.next(it.Clock.now()).has_value());
  it.Clock.advance(it.Reader.timing().WatchPause);
  const auto watch = it.call();
  BOOST_TEST((watch.Kind == RegistryCallKind::Watch));
  BOOST_TEST(watch.Revision == 10U);
}

// Guards against a list whose later pages are left out.
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
  // Changes after the first page may be missing in it.
  BOOST_TEST(it.View.View.revision() == 10U);
}

// Guards against a reader that waits for a history that is gone.
BOOST_AUTO_TEST_CASE(CompactionLeadsToANewList) {
  Fixture it;
  it.list();
  it.call();
  it.Reader.onFailure(RegistryFailure::Compacted, it.Clock.now());
  BOOST_TEST((it.call().Kind == RegistryCallKind::List));
  BOOST_TEST(!it.Reader.isRegistryUnavailable());
}

// Guards against calls without pause to a registry that is down.
BOOST_AUTO_TEST_CASE(FailuresBackOff) {
  Fixture it;
  it.list();
  std::chrono::milliseconds total{0};
  for (int i = 0; i < 6; ++i) {
    it.call();
    it.Reader.onFailure(RegistryFailure::Refused, it.Clock.now());
    const auto wait = it.Reader.nextAt() - it.Clock.now();
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

// Guards against a view that looks current because an answer came late: a watch
// that brings changes is as old as its call.
BOOST_AUTO_TEST_CASE(LateAnswersAreOld) {
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

// Guards against a stand-in that reads a whole list although peers brought it.
BOOST_AUTO_TEST_CASE(AViewFromPeersNeedsNoList) {
  Fixture it;
  it.View.View.applySnapshot(
      {0, 20, unittests::sampleConfiguration(3), {sampleServer(1, 3)}}, 0ms,
      it.Clock.now());
  const auto call = it.call();
  BOOST_TEST((call.Kind == RegistryCallKind::Watch));
  BOOST_TEST(call.Revision == 20U);
}

// Guards against a pace that misses the bound: the reader dies right after a
// change, the last stand-in reads, and the answer takes its time.
BOOST_AUTO_TEST_CASE(StandInsKeepTheBound) {
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

BOOST_AUTO_TEST_SUITE_END()

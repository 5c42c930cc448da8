#include "Fleet/InitialViewSource.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::InitialViewSource;
using fleet::InitialViewTiming;
using Mode = InitialViewSource::Mode;

namespace {

struct StartFixture {
  common::ManualClock Clock;
  InitialViewSource Source{InitialViewTiming::forBound(6s)};

  StartFixture() { Source.start(Mode::Restart, Clock.now()); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(InitialViewSourceTest, StartFixture)

// Load pattern: 421 of 295 hosts' starts in a day of rolls find live peers;
// each read the whole registry in three calls.
BOOST_AUTO_TEST_CASE(HostWithPeersAsksNoRegistry) {
  BOOST_TEST(!Source.shouldAskRegistry(Clock.now()));
  Clock.advance(5ms);
  BOOST_TEST(Source.onPeerView(300ms, Clock.now()));
  Clock.advance(100ms);
  BOOST_TEST(!Source.shouldAskRegistry(Clock.now()));
}

// When all hosts start at once no peer has a view.
BOOST_AUTO_TEST_CASE(HostWithoutPeersAsksTheRegistrySoon) {
  Clock.advance(39ms);
  BOOST_TEST(!Source.shouldAskRegistry(Clock.now()));
  Clock.advance(1ms);
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));
}

BOOST_AUTO_TEST_CASE(HostWithoutSeedsAsksTheRegistryAtOnce) {
  Source.start(Mode::WithoutPeers, Clock.now());
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));
}

// The peer may be killed, paused or cut off while it sends its view.
BOOST_AUTO_TEST_CASE(FailedFetchLeadsToTheRegistry) {
  BOOST_TEST(Source.onPeerView(300ms, Clock.now()));
  Source.onFetchFailed();
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));

  InitialViewSource silent;
  silent.start(Mode::Restart, Clock.now());
  silent.onPeerView(300ms, Clock.now());
  Clock.advance(250ms);
  BOOST_TEST(silent.shouldAskRegistry(Clock.now()));
}

// After a restart a server that had left, or a route that was removed, must not
// be used again because a peer with an old view answered first.
BOOST_AUTO_TEST_CASE(OldViewsAreUsedOnlyWithoutARegistry) {
  BOOST_TEST(!Source.onPeerView(3001ms, Clock.now()));
  Clock.advance(50ms);
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));
  BOOST_TEST(!Source.onPeerView(3001ms, Clock.now()));
  Source.onRegistryFailed();
  BOOST_TEST(Source.onPeerView(3001ms, Clock.now()));
}

// Load pattern: 295 hosts that start for the first time made 1,200 calls. Only
// the seeds ask at once; the others wait for the views of the seeds to spread,
// and for no longer than the time before the first callers.
BOOST_AUTO_TEST_CASE(FirstStartLeavesTheRegistryToTheSeeds) {
  Source.start(Mode::FirstAsSeed, Clock.now());
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));
  Source.start(Mode::First, Clock.now());
  Clock.advance(600ms);
  BOOST_TEST(Source.onPeerView(100ms, Clock.now()));
  Source.onFetchFailed();
  BOOST_TEST(!Source.shouldAskRegistry(Clock.now()));
  Clock.advance(2400ms);
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));
}

// A registry that does not answer at all must not keep a host from serving.
BOOST_AUTO_TEST_CASE(OldViewsAreUsedWhenTheRegistryIsSilent) {
  Clock.advance(400ms);
  BOOST_TEST(Source.onPeerView(10s, Clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()

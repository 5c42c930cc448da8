#include "Fleet/InitialViewSource.h"
#include "Common/ManualClock.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

using namespace auburnroute;
using namespace std::chrono_literals;
using fleet::InitialViewSource;
using fleet::InitialViewTiming;
using Mode = InitialViewSource::Mode;

namespace {

constexpr std::uint32_t Seed = 1;
constexpr auto Refused = InitialViewSource::FetchFailure::Refused;
constexpr auto TimedOut = InitialViewSource::FetchFailure::TimedOut;

struct StartFixture {
  common::ManualClock Clock;
  InitialViewSource Source{InitialViewTiming::forBound(6s)};

  StartFixture() { start(Source, Mode::Restart); }

  void start(InitialViewSource &source, Mode mode) const {
    source.start(mode, {Seed}, Clock.now());
  }
  /// Host asked next, 0 if none. \p hosts: the live hosts.
  std::uint32_t next(const std::vector<std::uint32_t> &hosts) {
    const auto fetch = Source.nextFetch(hosts, Clock.now());
    return fetch ? fetch->Host : 0;
  }
  /// Whether the seed's view of \p age is fetched.
  static bool offer(InitialViewSource &source, std::chrono::milliseconds age,
                    common::TimePoint now) {
    source.onOffer(Seed, age, now);
    return source.nextFetch(std::array{Seed}, now).has_value();
  }
  bool offer(std::chrono::milliseconds age) {
    return offer(Source, age, Clock.now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(InitialViewSourceTest, StartFixture)

// Load pattern: 421 of 295 hosts' starts in a day of rolls find live peers;
// each read the whole registry in three calls.
BOOST_AUTO_TEST_CASE(HostWithPeersAsksNoRegistry) {
  BOOST_TEST(!Source.shouldAskRegistry(Clock.now()));
  Clock.advance(5ms);
  BOOST_TEST(offer(300ms));
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
  start(Source, Mode::WithoutPeers);
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));
}

// The peer may be killed, paused or cut off while it sends its view.
BOOST_AUTO_TEST_CASE(FailedFetchLeadsToTheRegistry) {
  BOOST_TEST(offer(300ms));
  Source.onFetchFailed(Refused);
  BOOST_TEST(next({Seed}) == 0U);
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));

  InitialViewSource silent;
  start(silent, Mode::Restart);
  BOOST_TEST(offer(silent, 300ms, Clock.now()));
  Clock.advance(250ms);
  BOOST_TEST(silent.shouldAskRegistry(Clock.now()));
}

// After a restart a server that had left, or a route that was removed, must not
// be used again because a peer with an old view answered first.
BOOST_AUTO_TEST_CASE(OldViewsAreUsedOnlyWithoutARegistry) {
  BOOST_TEST(!offer(3001ms));
  Clock.advance(50ms);
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));
  BOOST_TEST(!offer(3001ms));
  Source.onRegistryFailed();
  BOOST_TEST(next({Seed}) == Seed);
}

// Load pattern: 295 hosts that start for the first time made 1,200 calls. Only
// the seeds ask at once; the others wait for the views of the seeds to spread,
// and for no longer than the time before the first callers.
BOOST_AUTO_TEST_CASE(FirstStartLeavesTheRegistryToTheSeeds) {
  start(Source, Mode::FirstAsSeed);
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));
  start(Source, Mode::First);
  Clock.advance(600ms);
  BOOST_TEST(offer(100ms));
  Source.onFetchFailed(Refused);
  BOOST_TEST(next({Seed}) == 0U);
  BOOST_TEST(!Source.shouldAskRegistry(Clock.now()));
  Clock.advance(2400ms);
  BOOST_TEST(Source.shouldAskRegistry(Clock.now()));
}

// A registry that does not answer at all must not keep a host from serving.
BOOST_AUTO_TEST_CASE(OldViewsAreUsedWhenTheRegistryIsSilent) {
  Clock.advance(400ms);
  BOOST_TEST(offer(10s));
}

// Issue 30: all hosts of a zone started at once and fetched the view from each
// other only, since hosts of the own zone came first at each attempt.
BOOST_AUTO_TEST_CASE(HostWithoutAViewIsNotAskedAgainBeforeOthers) {
  Source.onOffer(Seed, 300ms, Clock.now());
  BOOST_TEST(next({2, 3, Seed}) == 2U);
  BOOST_TEST(next({2, 3, Seed}) == 0U); // One fetch at a time.
  Source.onFetchFailed(Refused);
  BOOST_TEST(!Source.shouldAskRegistry(Clock.now()));
  BOOST_TEST(next({2, 3, Seed}) == 3U);
  Source.onFetchFailed(Refused);
  BOOST_TEST(next({2, 3, Seed}) == Seed);
  Source.onFetchFailed(Refused);
  BOOST_TEST(next({2, 3, Seed}) == 0U);
  // Host 2 has got a view meanwhile.
  Source.onOffer(2, 300ms, Clock.now());
  BOOST_TEST(next({2, 3, Seed}) == 2U);
}

// Hosts that are down are thought alive for some seconds. Each that was asked
// took the whole timeout.
BOOST_AUTO_TEST_CASE(TimeoutLeadsToAHostThatOfferedItsView) {
  Source.onOffer(Seed, 300ms, Clock.now());
  const auto first =
      Source.nextFetch(std::array<std::uint32_t, 3>{2, 3, Seed}, Clock.now());
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first->Host == 2U);
  BOOST_TEST((first->Timeout <= 250ms));
  Source.onFetchFailed(TimedOut);
  BOOST_TEST(next({3, 2, Seed}) == Seed);
}

// Whole views of a large fleet must not all come from the seeds.
BOOST_AUTO_TEST_CASE(OfferOfAHostThatIsNoSeedComesFirst) {
  Source.onOffer(Seed, 300ms, Clock.now());
  Source.onOffer(4, 300ms, Clock.now());
  BOOST_TEST(next({2, Seed, 4}) == 4U);
}

// Hosts without a view must not ask the others in a tight loop.
BOOST_AUTO_TEST_CASE(RetriesArePaced) {
  Source.onOffer(Seed, 300ms, Clock.now());
  Source.onRegistryFailed();
  std::size_t attempts = 0;
  for (int i = 0; i < 10000; ++i) {
    if (next({2, Seed}) != 0) {
      ++attempts;
      Source.onFetchFailed(Refused);
    }
    Clock.advance(1ms);
  }
  // Passes over both hosts after 0, 0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8, 9.4 s.
  BOOST_TEST(attempts == 18U);
}

// The asked host may be cut off from the registry, unlike the one whose offer
// led to the fetch.
BOOST_AUTO_TEST_CASE(FetchedViewThatIsTooOldIsLeftForAYoungerOne) {
  Source.onOffer(Seed, 300ms, Clock.now());
  BOOST_TEST(next({2, Seed}) == 2U);
  BOOST_TEST(!Source.onFetched(20s, Clock.now()));
  BOOST_TEST(next({2, Seed}) == Seed);
  BOOST_TEST(Source.onFetched(300ms, Clock.now()));
}

// Without a registry any view is better than none, but not the oldest.
BOOST_AUTO_TEST_CASE(YoungestOfOldViewsIsUsed) {
  Source.onOffer(2, 60s, Clock.now());
  Source.onOffer(3, 10s, Clock.now());
  Source.onRegistryFailed();
  BOOST_TEST(next({2, 3}) == 3U);
  Source.onFetchFailed(TimedOut);
  BOOST_TEST(next({2, 3}) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

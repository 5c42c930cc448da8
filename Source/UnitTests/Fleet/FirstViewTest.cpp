#include "Common/ManualClock.h"
#include "Fleet/InitialViewSource.h"
#include "Fleet/PeerTable.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace auburnroute;
using namespace std::chrono_literals;
using common::TimePoint;
using fleet::InitialViewSource;
using fleet::InitialViewTiming;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds RoundInterval{500};
constexpr milliseconds Transit{1};
constexpr milliseconds ViewTransfer{5};
constexpr std::size_t FanOut = 3;
constexpr std::size_t MaxBroadcastHosts = 10;
constexpr std::size_t RelayedHosts = 8;

/// What the hosts of a fleet do while the registry is away: some have a view,
/// some are down, the others start at the same time. No network.
class StartingFleet {
public:
  struct Options {
    std::size_t Zones = 3;
    std::size_t HostsPerZone = 2;
    milliseconds ViewAge{1000}; ///< Of the hosts that have one.
    /// Registry calls hang instead of being reset.
    bool IsRegistrySilent = false;
  };

  StartingFleet(std::uint64_t seed, const Options &options)
      : Random(seed), Opts(options) {
    const auto n = Opts.Zones * Opts.HostsPerZone;
    for (std::size_t i = 0; i < n; ++i) {
      Hosts.push_back(std::make_unique<Host>(infoOf(i, 1), Random()));
      Hosts[i]->HasView = true;
    }
    for (const auto &it : Hosts)
      for (std::size_t i = 0; i < n; ++i)
        it->Peers.applyRelayedUpdate(infoOf(i, 1), Clock.now());
    // The first hosts of the first zones.
    for (std::size_t zone = 0; zone < std::min<std::size_t>(3, Opts.Zones);
         ++zone)
      Seeds.push_back(addressOf(zone * Opts.HostsPerZone));
  }

  std::size_t size() const { return Hosts.size(); }
  std::size_t below(std::size_t n) { return Random() % n; }
  void takeDown(std::size_t n) { Hosts[n]->IsDown = true; }
  void restart(std::size_t n) {
    Hosts[n] = std::make_unique<Host>(infoOf(n, 2), Random());
    Hosts[n]->IsStarting = true;
  }

  /// \p isFirst: the hosts start now.
  void run(milliseconds time, bool isFirst = true) {
    for (std::size_t n = 0; isFirst && n < Hosts.size(); ++n) {
      if (Hosts[n]->IsDown)
        continue;
      if (Hosts[n]->IsStarting)
        begin(n);
      else
        at(milliseconds(below(RoundInterval.count())), [=, this] { round(n); });
    }
    const auto end = Clock.now() + time;
    while (!Events.empty() && Events.begin()->first <= end) {
      const auto event = Events.extract(Events.begin());
      Clock.advance(event.key() - Clock.now());
      event.mapped()();
    }
    Clock.advance(end - Clock.now());
  }

  std::vector<std::size_t> hostsWithoutView() const {
    std::vector<std::size_t> all;
    for (std::size_t n = 0; n < Hosts.size(); ++n)
      if (!Hosts[n]->IsDown && !Hosts[n]->HasView)
        all.push_back(n);
    return all;
  }
  /// Whether a host has no view although it has had an offer for \p time.
  bool hasUnusedOffer(milliseconds time) const {
    return std::ranges::any_of(Hosts, [&](const auto &it) {
      return !it->IsDown && !it->HasView && it->FirstOfferAt &&
             Clock.now() - *it->FirstOfferAt > time;
    });
  }
  std::size_t viewsFromSeeds() const { return ViewsFromSeeds; }
  std::size_t viewsFromOthers() const { return ViewsFromOthers; }

private:
  struct Host {
    Host(fleet::PeerInfo info, std::uint64_t seed)
        : Peers(std::move(info), seed) {}
    fleet::PeerTable Peers;
    InitialViewSource Source{InitialViewTiming::forBound(3s)};
    bool IsDown = false;
    bool IsStarting = false;
    bool HasView = false;
    std::optional<TimePoint> FirstOfferAt;
  };

  static std::uint32_t addressOf(std::size_t n) {
    return static_cast<std::uint32_t>(n + 1);
  }
  static std::size_t indexOf(std::uint32_t address) { return address - 1; }
  fleet::PeerInfo infoOf(std::size_t n, std::uint64_t incarnation) const {
    return {addressOf(n), "z" + std::to_string(n / Opts.HostsPerZone),
            incarnation, 1, false};
  }
  bool isSeed(std::uint32_t address) const {
    return std::ranges::find(Seeds, address) != Seeds.end();
  }
  void at(milliseconds delay, std::function<void()> event) {
    Events.emplace(Clock.now() + delay, std::move(event));
  }

  void begin(std::size_t n) {
    auto others = Seeds;
    std::erase(others, addressOf(n));
    Hosts[n]->Source.start(InitialViewSource::Mode::Restart, others,
                           Clock.now());
    send(n, others, /*wantsAnswer=*/true);
    at(RoundInterval, [=, this] { round(n); });
    if (!Opts.IsRegistrySilent)
      at(60ms, [=, this] { Hosts[n]->Source.onRegistryFailed(); });
    tick(n);
  }

  void tick(std::size_t n) {
    fetch(n);
    if (!Hosts[n]->HasView)
      at(50ms, [=, this] { tick(n); });
  }

  void round(std::size_t n) {
    auto &peers = Hosts[n]->Peers;
    peers.advanceHeartbeat(Clock.now());
    auto to = peers.choose(FanOut, Clock.now());
    if (to.empty())
      to = Seeds;
    send(n, to, !Hosts[n]->HasView);
    at(RoundInterval, [=, this] { round(n); });
  }

  void send(std::size_t from, const std::vector<std::uint32_t> &to,
            bool wantsAnswer) {
    auto &sender = *Hosts[from];
    const auto hosts = sender.Peers.sample(RelayedHosts, Clock.now());
    for (const auto address : to)
      at(Transit,
         [=, this, info = sender.Peers.self(), hasView = sender.HasView] {
           receive(indexOf(address), info, hosts, hasView, wantsAnswer);
         });
  }

  void receive(std::size_t n, const fleet::PeerInfo &sender,
               const std::vector<fleet::PeerInfo> &hosts, bool hasView,
               bool wantsAnswer) {
    auto &host = *Hosts[n];
    if (host.IsDown || sender.Address == addressOf(n))
      return;
    host.Peers.applyDirectUpdate(sender, Clock.now());
    for (const auto &it : hosts)
      host.Peers.applyRelayedUpdate(it, Clock.now());
    if (hasView && !host.HasView) {
      host.FirstOfferAt = host.FirstOfferAt.value_or(Clock.now());
      host.Source.onOffer(sender.Address, Opts.ViewAge, Clock.now());
      fetch(n);
    }
    if (wantsAnswer)
      send(n, {sender.Address}, /*wantsAnswer=*/false);
  }

  void fetch(std::size_t n) {
    auto &host = *Hosts[n];
    if (host.HasView)
      return;
    const auto now = Clock.now();
    const auto next =
        host.Source.nextFetch(host.Peers.choose(Hosts.size(), now), now);
    if (!next)
      return;
    const auto &asked = *Hosts[indexOf(next->Host)];
    if (asked.IsDown)
      at(next->Timeout, [=, this] { fail(n, /*isTimeout=*/true); });
    else if (!asked.HasView)
      at(2 * Transit, [=, this] { fail(n, /*isTimeout=*/false); });
    else
      at(ViewTransfer, [=, this] { take(n, next->Host); });
  }

  void fail(std::size_t n, bool isTimeout) {
    using Failure = InitialViewSource::FetchFailure;
    Hosts[n]->Source.onFetchFailed(isTimeout ? Failure::TimedOut
                                             : Failure::Refused);
    fetch(n);
  }

  void take(std::size_t n, std::uint32_t from) {
    auto &host = *Hosts[n];
    if (!host.Source.onFetched(Opts.ViewAge, Clock.now())) {
      fetch(n);
      return;
    }
    host.HasView = true;
    ++(isSeed(from) ? ViewsFromSeeds : ViewsFromOthers);
    const auto all = host.Peers.aliveCount(Clock.now());
    send(n,
         host.Peers.choose(all <= MaxBroadcastHosts ? all : FanOut + 1,
                           Clock.now()),
         /*wantsAnswer=*/false);
  }

  std::mt19937_64 Random;
  Options Opts;
  common::ManualClock Clock;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<std::uint32_t> Seeds;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::size_t ViewsFromSeeds = 0;
  std::size_t ViewsFromOthers = 0;
};

std::vector<std::uint64_t> firstSeeds(std::size_t n) {
  std::vector<std::uint64_t> all(n);
  std::iota(all.begin(), all.end(), 1);
  return all;
}

/// A view is expected within this time of a start.
constexpr milliseconds MaxStartTime{1000};

} // namespace

BOOST_AUTO_TEST_SUITE(FirstViewTest)

// Issue 30: the hosts of a zone that all started while the registry was away
// asked only each other, and had no view until it answered.
BOOST_AUTO_TEST_CASE(HostsOfAZoneThatAllStartGetAViewOfAnotherZone) {
  for (const auto seed : unittests::seeds(firstSeeds(300))) {
    StartingFleet fleet(seed, {.ViewAge = milliseconds(seed % 2 ? 1000 : 20000),
                               .IsRegistrySilent = seed % 3 == 0});
    const auto zone = fleet.below(3);
    for (std::size_t n = 0; n < fleet.size(); ++n)
      if (n / 2 == zone)
        fleet.restart(n);
    fleet.run(MaxStartTime);
    BOOST_TEST(fleet.hostsWithoutView().empty(), "seed " << seed);
  }
}

// A host that restarts is told of hosts that are down, and any of the seeds may
// be down. One host with a view is enough once it was heard of.
BOOST_AUTO_TEST_CASE(OneHostWithAViewIsEnough) {
  for (const auto seed : unittests::seeds(firstSeeds(300))) {
    StartingFleet fleet(seed, {.Zones = 3, .HostsPerZone = 3});
    const auto survivor = fleet.below(fleet.size());
    for (std::size_t n = 0; n < fleet.size(); ++n) {
      if (n == survivor)
        continue;
      if (fleet.below(4) == 0)
        fleet.takeDown(n);
      else
        fleet.restart(n);
    }
    for (int i = 0; i < 8; ++i) {
      fleet.run(250ms, /*isFirst=*/i == 0);
      BOOST_TEST(!fleet.hasUnusedOffer(MaxStartTime / 2), "seed " << seed);
    }
    // The first host of each zone is a seed.
    if (survivor % 3 == 0)
      BOOST_TEST(fleet.hostsWithoutView().empty(), "seed " << seed);
  }
}

// Load pattern: all hosts that start ask the same three seeds. Their whole
// views must come from all hosts of the fleet.
BOOST_AUTO_TEST_CASE(ViewsOfALargeFleetDoNotComeFromTheSeeds) {
  for (const auto seed : unittests::seeds(firstSeeds(5))) {
    StartingFleet fleet(seed, {.Zones = 18, .HostsPerZone = 40});
    const auto zone = fleet.below(18);
    for (std::size_t n = 0; n < fleet.size(); ++n)
      if (n / 40 == zone)
        fleet.restart(n);
    fleet.run(MaxStartTime);
    BOOST_TEST(fleet.hostsWithoutView().empty(), "seed " << seed);
    BOOST_TEST(fleet.viewsFromSeeds() * 10 <= fleet.viewsFromOthers(),
               "seed " << seed << ": " << fleet.viewsFromSeeds() << " and "
                       << fleet.viewsFromOthers());
  }
}

// Two thirds of a large fleet start at once, so most hosts that are asked have
// no view either.
BOOST_AUTO_TEST_CASE(MostOfALargeFleetMayStartAtOnce) {
  for (const auto seed : unittests::seeds(firstSeeds(3))) {
    StartingFleet fleet(seed, {.Zones = 18, .HostsPerZone = 20});
    for (std::size_t n = 0; n < fleet.size(); ++n)
      if (fleet.below(3) != 0)
        fleet.restart(n);
    fleet.run(MaxStartTime);
    BOOST_TEST(fleet.hostsWithoutView().empty(), "seed " << seed);
    BOOST_TEST(fleet.viewsFromSeeds() * 10 <= fleet.viewsFromOthers(),
               "seed " << seed << ": " << fleet.viewsFromSeeds() << " and "
                       << fleet.viewsFromOthers());
  }
}

BOOST_AUTO_TEST_SUITE_END()

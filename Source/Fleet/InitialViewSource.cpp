#include "Fleet/InitialViewSource.h"

#include <algorithm>

namespace auburnroute::fleet {

using common::TimePoint;
using std::chrono::milliseconds;

InitialViewTiming InitialViewTiming::forBound(milliseconds bound) {
  InitialViewTiming timing;
  timing.MaxPeerViewAge = bound / 2;
  return timing;
}

void InitialViewSource::start(Mode mode,
                              const std::vector<std::uint32_t> &seeds,
                              TimePoint now) {
  StartedAt = now;
  StartMode = mode;
  Seeds = seeds;
}

void InitialViewSource::onOffer(std::uint32_t host, milliseconds age,
                                TimePoint now) {
  const auto [it, isFirst] = Offers.insert_or_assign(host, now - age);
  // Without an offer it may have been asked before it had a view.
  if (isFirst)
    Asked.erase(host);
  if (Offers.size() > MaxOffers)
    Offers.erase(std::ranges::min_element(
        Offers, {}, [](const auto &offer) { return offer.second; }));
}

bool InitialViewSource::isUsable(TimePoint freshAt, TimePoint now) const {
  if (now - freshAt <= Timing.MaxPeerViewAge)
    return true;
  if (!HasRegistryFailed && now - StartedAt < Timing.RegistryTimeout)
    return false;
  return std::ranges::none_of(Offers, [&](const auto &offer) {
    return offer.second - freshAt > Timing.MaxPeerViewAge;
  });
}

std::optional<std::uint32_t>
InitialViewSource::chooseHost(std::span<const std::uint32_t> hosts,
                              TimePoint now) const {
  // At a first start only the hosts with an offer have a view.
  const bool asksAny = !HasTimedOut && StartMode != Mode::First &&
                       StartMode != Mode::FirstAsSeed;
  std::optional<std::uint32_t> seed;
  std::optional<std::uint32_t> other;
  for (const auto host : hosts) {
    if (Asked.contains(host))
      continue;
    const bool isSeed = std::ranges::find(Seeds, host) != Seeds.end();
    if (const auto offer = Offers.find(host); offer != Offers.end()) {
      if (!isUsable(offer->second, now))
        continue;
      if (!isSeed)
        return host;
      seed = seed.value_or(host);
    } else if (asksAny && !isSeed) {
      other = other.value_or(host);
    }
  }
  return other ? other : seed;
}

void InitialViewSource::scheduleRetry(TimePoint now) {
  HasFetchFailed = true;
  const auto doublings = std::min(Retries++, 5U);
  RetryAt = now + std::min(Timing.InitialRetryPause * (1U << doublings),
                           Timing.MaxRetryPause);
}

std::optional<InitialViewSource::Fetch>
InitialViewSource::nextFetch(std::span<const std::uint32_t> hosts,
                             TimePoint now) {
  if (Pending || std::ranges::none_of(Offers, [&](const auto &offer) {
        return isUsable(offer.second, now);
      }))
    return std::nullopt;
  if (RetryAt && now >= *RetryAt) {
    RetryAt.reset();
    Asked.clear();
    HasTimedOut = false;
  }
  const auto host = chooseHost(hosts, now);
  if (!host) {
    if (!RetryAt && !Asked.empty())
      scheduleRetry(now);
    return std::nullopt;
  }
  Asked.insert(*host);
  Pending = {*host, Offers.contains(*host) ? Timing.OfferedFetchTimeout
                                           : Timing.FetchTimeout};
  return Pending;
}

bool InitialViewSource::onFetched(milliseconds age, TimePoint now) {
  if (!Pending)
    return true;
  const auto host = Pending->Host;
  Pending.reset();
  if (isUsable(now - age, now))
    return true;
  onOffer(host, age, now);
  Asked.insert(host);
  return false;
}

void InitialViewSource::onFetchFailed(FetchFailure failure) {
  Pending.reset();
  HasTimedOut = HasTimedOut || failure == FetchFailure::TimedOut;
}

bool InitialViewSource::shouldAskRegistry(TimePoint now) const {
  switch (StartMode) {
  case Mode::WithoutPeers:
  case Mode::FirstAsSeed:
    return true;
  case Mode::First:
    return now - StartedAt >= Timing.FirstStartTimeout;
  case Mode::Restart:
    break;
  }
  return HasFetchFailed ||
         now - StartedAt >=
             (Pending ? Timing.FetchTimeout : Timing.PeerAnswerTimeout);
}

} // namespace auburnroute::fleet

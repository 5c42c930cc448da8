#include "Coordination/Membership/OwnerWatch.h"

#include <algorithm>

namespace auburnroute::membership {

namespace {

// Gaps that the mean looks back over. With fewer the mean, and with it the
// length of silence that raises a doubt, varies too much.
constexpr int GapsInMean = 16;

} // namespace

void OwnerWatch::reset(std::size_t services) { Entries.assign(services, {}); }

void OwnerWatch::onNewOwner(std::uint32_t service) {
  auto &it = Entries[service];
  it.Syns = 0;
  it.Pause = FirstPause;
  it.NextDoubt = {};
}

bool OwnerWatch::onSyn(common::TimePoint now, std::uint32_t service) {
  auto &it = Entries[service];
  if (it.Syns == 0 || now - it.FirstSyn > MaxSilence) {
    it.FirstSyn = now;
    it.Syns = 0;
  }
  ++it.Syns;
  const auto needed = std::max(GapsToDoubt * it.MeanGap, MinSilence);
  if (it.Syns < MinSyns || now - it.FirstSyn < needed || now < it.NextDoubt)
    return false;
  it.NextDoubt = now + it.Pause;
  it.Pause = std::min(it.Pause * 2, MaxPause);
  return true;
}

void OwnerWatch::onSign(common::TimePoint now, std::uint32_t service) {
  auto &it = Entries[service];
  if (it.LastSign != common::TimePoint()) {
    // Bounded, since an idle service says little about its next busy time.
    const auto gap = std::min<Duration>(now - it.LastSign, MaxSilence);
    it.Gaps = std::min(it.Gaps + 1, GapsInMean);
    it.MeanGap += (gap - it.MeanGap) / it.Gaps;
  }
  it.LastSign = now;
  it.Syns = 0;
  it.Pause = FirstPause;
}

} // namespace auburnroute::membership

#include "Coordination/Membership/OwnerFailureDetector.h"

#include <algorithm>

namespace auburnroute::membership {

namespace {

// Window of the moving mean. With fewer gaps, the mean varies too much, and so
// does the silence after which a probe is requested.
constexpr int MaxGapsInMean = 16;

} // namespace

void OwnerFailureDetector::reset(std::size_t services) {
  Entries.assign(services, {});
}

void OwnerFailureDetector::onNewOwner(std::uint32_t service) {
  auto &it = Entries[service];
  it.SynsSinceSynAck = 0;
  it.ProbeInterval = InitialProbeInterval;
  it.NextProbe = {};
}

bool OwnerFailureDetector::onSyn(common::TimePoint now, std::uint32_t service) {
  auto &it = Entries[service];
  if (it.SynsSinceSynAck == 0 || now - it.FirstSyn > MaxSilence) {
    it.FirstSyn = now;
    it.SynsSinceSynAck = 0;
  }
  ++it.SynsSinceSynAck;
  const auto needed = std::max(GapsToProbe * it.MeanGap, MinSilence);
  if (it.SynsSinceSynAck < MinSyns || now - it.FirstSyn < needed ||
      now < it.NextProbe)
    return false;
  it.NextProbe = now + it.ProbeInterval;
  it.ProbeInterval = std::min(it.ProbeInterval * 2, MaxProbeInterval);
  return true;
}

void OwnerFailureDetector::onSynAck(common::TimePoint now,
                                    std::uint32_t service) {
  auto &it = Entries[service];
  if (it.LastSynAck != common::TimePoint()) {
    // Bounded, since the gaps of an idle service do not predict those under
    // load.
    const auto gap = std::min<Duration>(now - it.LastSynAck, MaxSilence);
    it.GapCount = std::min(it.GapCount + 1, MaxGapsInMean);
    it.MeanGap += (gap - it.MeanGap) / it.GapCount;
  }
  it.LastSynAck = now;
  it.SynsSinceSynAck = 0;
  it.ProbeInterval = InitialProbeInterval;
}

} // namespace auburnroute::membership

#include "Coordination/Membership/OwnerFailureDetector.h"

#include <algorithm>

namespace auburnroute::membership {

namespace {

// Once 16 gaps were seen, each new gap has a weight of 1/16 in the mean. With a
// higher weight, the mean varies too much, and so does the required silence,
// which is a multiple of it.
constexpr int MaxMeanDivisor = 16;

} // namespace

void OwnerFailureDetector::reset(std::size_t services) {
  Entries.assign(services, {});
}

void OwnerFailureDetector::onNewOwner(std::uint32_t service) {
  auto &entry = Entries[service];
  entry.UnansweredSyns = 0;
  entry.ProbeInterval = InitialProbeInterval;
  entry.NextProbe = {};
}

bool OwnerFailureDetector::onSyn(common::TimePoint now, std::uint32_t service) {
  auto &entry = Entries[service];
  if (entry.UnansweredSyns == 0 || now - entry.FirstSyn > MaxSilence) {
    entry.FirstSyn = now;
    entry.UnansweredSyns = 0; // Restart the count after a longer silence.
  }
  ++entry.UnansweredSyns;
  const auto requiredSilence =
      std::max(GapsToProbe * entry.MeanGap, MinSilence);
  if (entry.UnansweredSyns < MinSyns ||
      now - entry.FirstSyn < requiredSilence || now < entry.NextProbe)
    return false;
  entry.NextProbe = now + entry.ProbeInterval;
  entry.ProbeInterval = std::min(entry.ProbeInterval * 2, MaxProbeInterval);
  return true;
}

void OwnerFailureDetector::onSynAck(common::TimePoint now,
                                    std::uint32_t service) {
  auto &entry = Entries[service];
  if (entry.LastSynAck != common::TimePoint()) {
    // Limited, since a gap while the service is idle may be very long and would
    // raise the required silence for the time when it is busy again.
    const auto gap = std::min<Duration>(now - entry.LastSynAck, MaxSilence);
    entry.MeanDivisor = std::min(entry.MeanDivisor + 1, MaxMeanDivisor);
    entry.MeanGap += (gap - entry.MeanGap) / entry.MeanDivisor;
  }
  entry.LastSynAck = now;
  entry.UnansweredSyns = 0;
  entry.ProbeInterval = InitialProbeInterval;
}

} // namespace auburnroute::membership

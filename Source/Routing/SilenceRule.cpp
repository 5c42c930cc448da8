#include "Routing/SilenceRule.h"

#include <algorithm>

namespace auburnroute::routing {

bool SilenceRule::isDead(const SilenceEvidence &evidence,
                         const AnswerQuality &quality,
                         std::size_t reporterCount,
                         common::TimePoint now) const {
  const auto silence = std::max(MinSilence, LatencyFactor * quality.Slowest);
  // A single caller that lost its own connectivity also retransmits packets
  // that were answered.
  if (!evidence.HasSeveralCallers || now - evidence.Since < silence)
    return false;
  if (quality.HasManyRetransmissions)
    return evidence.RequestCount >= RequestsUnderLoss;
  return evidence.RequestCount >= Requests ||
         (evidence.RequestCount > 0 && reporterCount >= MinReporters &&
          evidence.RequestCount + evidence.SynCount >= RequestsAndSyns);
}

} // namespace auburnroute::routing

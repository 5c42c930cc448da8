#include "Routing/SilenceRule.h"

#include <algorithm>

namespace auburnroute::routing {

bool SilenceRule::isDead(const SilenceEvidence &evidence,
                         const AnswerQuality &quality,
                         common::TimePoint now) const {
  const auto silence = std::max(MinSilence, LatencyFactor * quality.Slowest);
  const auto needed =
      quality.HasManyRetransmissions ? RequestsUnderLoss : Requests;
  // A single caller that lost its own connectivity also retransmits packets
  // that were answered.
  return evidence.RequestCount >= needed && evidence.HasSeveralCallers &&
         now - evidence.Since >= silence;
}

} // namespace auburnroute::routing

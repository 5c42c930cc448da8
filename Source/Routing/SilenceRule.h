#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>

namespace auburnroute::routing {

/// Unanswered packets of one backend server, as one or several hosts saw them.
/// With any requests among them, the times and callers are those of the
/// requests.
struct SilenceEvidence {
  /// When the first unanswered packet was sent.
  common::TimePoint Since;
  /// Retransmitted requests on open flows.
  std::uint32_t RequestCount = 0;
  std::uint32_t SynCount = 0;
  std::uint32_t Caller = 0; ///< IPv4 address of one of the callers.
  bool HasSeveralCallers = false;
};

/// How fast and how reliably servers answer the requests of a host.
struct AnswerQuality {
  std::chrono::milliseconds Slowest{0}; ///< Of the recent answers.
  /// Many requests were answered only after a retransmission.
  bool HasManyRetransmissions = false;
};

/// Decides from which silence on a backend server is dead. Every reset of an
/// open flow that rests on silence follows this rule.
///
/// Only requests on open flows count. A server without a free place for a flow
/// ignores SYNs, a caller that gave up does not acknowledge the answer to one,
/// and the acknowledgement may reach another host when the routers move flows.
struct SilenceRule {
  /// Unanswered requests.
  std::uint32_t Requests = 2;
  /// The number of requests where many are retransmitted: then several in a row
  /// are lost now and then.
  std::uint32_t RequestsUnderLoss = 3;
  /// Shortest silence. Callers retransmit after 200 ms, so at least one
  /// retransmission went unanswered, too.
  std::chrono::milliseconds MinSilence{400};
  /// A dead server is silent for this many times the slowest recent answer.
  int LatencyFactor = 2;

  bool isDead(const SilenceEvidence &evidence, const AnswerQuality &quality,
              common::TimePoint now) const;
};

} // namespace auburnroute::routing

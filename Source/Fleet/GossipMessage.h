#pragma once

#include "Fleet/FleetView.h"
#include "Fleet/PeerTable.h"
#include "Routing/OutcomeTracker.h"
#include "Routing/OutlierRule.h"
#include "State/CauseStore.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace auburnroute::fleet {

/// A backend server that a host suspects.
struct ReportedSuspect {
  std::uint64_t Identity = 0;
  std::chrono::milliseconds SilentFor{0}; ///< Since the unanswered packet.
  /// Unanswered packets of the server; 0 if the message is periodic gossip.
  std::uint32_t RequestCount = 0;
  std::uint32_t SynCount = 0;
  std::uint32_t Caller = 0; ///< IPv4 address of one of the callers.
  bool HasSeveralCallers = false;

  bool hasEvidence() const { return RequestCount + SynCount > 0; }
};

/// What the hosts of a zone hold of a backend server that was silent.
enum class VerdictKind : std::uint8_t {
  Suspected, ///< Gets no new flows while others can take them.
  Dead,      ///< Its open flows are reset.
  Answering, ///< It answered, which refutes the others.
};

std::string_view toString(VerdictKind kind);

/// A verdict on one run of a backend server.
struct ServerVerdict {
  std::uint64_t Identity = 0;
  /// Start time of the run, see ServerRegistration.
  std::int64_t StartTimeMs = 0;
  VerdictKind Kind = VerdictKind::Suspected;
  /// Time since the first unanswered packet was sent; for Answering, since the
  /// answer.
  std::chrono::milliseconds Age{0};
};

/// An answer of a backend server.
struct ReportedAnswer {
  std::uint64_t Identity = 0;
  std::chrono::milliseconds Age{0};
};

/// Load of one backend server.
struct ReportedServerLoad {
  std::uint64_t Identity = 0;
  double Outstanding = 0; ///< Mean number of requests without an answer.
  std::uint32_t OpenFlows = 0;
};

/// Load that one host causes on the servers of a service in a zone.
struct ReportedZoneLoad {
  std::string Zone;
  std::string Service;
  double Outstanding = 0; ///< Mean number of requests without an answer.
  double Rate = 0;        ///< Requests a second.
};

/// What one host saw of a run of a backend server that may be an outlier.
struct OutcomeReport {
  std::uint64_t Identity = 0;
  std::int64_t StartTimeMs = 0;
  routing::ServerOutcomes Outcomes;
};

/// A run of a backend server is an outlier, or may be one.
struct OutlierVerdict {
  std::uint64_t Identity = 0;
  std::int64_t StartTimeMs = 0;
  /// See routing::DegradedServers. 0 asks the hosts of the zone for reports.
  int Level = 0;
  std::chrono::milliseconds Hold{0};
  routing::OutlierKind Kind = routing::OutlierKind::None;
};

/// Content of one gossip datagram.
struct GossipMessage {
  PeerInfo Sender;
  std::vector<PeerInfo> Hosts;
  ViewChanges Changes;
  std::chrono::milliseconds ViewAge{0};
  std::vector<ReportedSuspect> Suspects;
  std::vector<ServerVerdict> Verdicts;
  std::vector<ReportedAnswer> Answers;
  std::vector<OutcomeReport> OutcomeReports;
  std::vector<OutlierVerdict> OutlierVerdicts;
  /// Causes that the sender recorded. Copies keep the last hour available after
  /// the sender is gone.
  std::vector<state::CauseEntry> Causes;
  /// Tags of open flows that identify no server known to the sender.
  std::vector<std::uint32_t> UnknownTags;
  /// Servers that the receiver asked for by their tags, of era Changes.Era and
  /// earlier ones.
  std::vector<routing::ServerRegistration> NamedServers;
  /// What the sender causes on servers that the receiver collects the load of.
  std::vector<ReportedServerLoad> LoadReports;
  /// What the other hosts of the zone cause on the servers that the receiver
  /// has reported.
  std::vector<ReportedServerLoad> LoadTotals;
  /// What the sender causes by zone and service.
  std::vector<ReportedZoneLoad> ZoneLoads;
  /// Set by a host whose view is incomplete or outdated.
  bool WantsAnswer = false;
  /// Number of servers that were left out of a decoded message, since no server
  /// can have their names.
  std::size_t SkippedServers = 0;
};

/// A snapshot and its age when it was sent.
struct AgedSnapshot {
  ViewSnapshot View;
  std::chrono::milliseconds Age{0};
  /// See GossipMessage::SkippedServers.
  std::size_t SkippedServers = 0;
};

} // namespace auburnroute::fleet

#pragma once

#include "Routing/OutcomeTracker.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace auburnroute::routing {

/// By what a server differs from the others of its service.
enum class OutlierKind : std::uint8_t {
  None,
  Unanswered, ///< Requests stay without an answer.
  FailedSyns, ///< Handshakes are not answered.
  EndedFlows, ///< Flows end after the first answer, as after an error.
  Slow,       ///< Answers take several times as long.
};

std::string_view toString(OutlierKind kind);

/// Outcomes of a server and of the others of its service and zone, summed over
/// the hosts of a zone.
struct OutlierEvidence {
  ServerOutcomes Outcomes;
  /// Of Outcomes.All and Outcomes.Others.
  std::chrono::milliseconds Time{0};
  std::uint32_t Hosts = 0;     ///< Hosts that saw failures.
  std::uint32_t Callers = 0;   ///< Lower bound of the callers of the failures.
  std::uint32_t Reporters = 0; ///< Hosts that reported, with failures or not.
  std::uint32_t Slots = 1;     ///< Of the server.
};

/// Decides from which outcomes on a server is an outlier.
///
/// A share of failures counts if it exceeds that of the other servers by a
/// margin, and if the probability of as many failures, at the share of the
/// others, is below MaxChance (binomial distribution). So what befalls all
/// servers, such as lost packets, overload or a cut, makes none an outlier.
struct OutlierRule {
  /// How much evidence a step takes.
  struct Criteria {
    /// Probability of the failures by chance.
    double MaxChance = 0;
    std::uint32_t MinFailures = 0;
    /// With fewer outcomes of the other servers their share is unknown.
    std::uint32_t MinOthers = 0;
    /// Failures that are added to those of the others, as few outcomes without
    /// any don't show that there are none.
    double Prior = 1;
    /// Part of the margins by which the share must exceed that of the others.
    double MarginFactor = 1;
  };
  /// Of a host that reports a server: one failure, where others rarely fail.
  Criteria Report{0.04, 1, 8, 0.5, 0};
  /// Of an owner that asks all hosts for reports.
  Criteria Question{1e-3, 3, 30, 1, 0.5};
  /// Of a verdict. At 600 servers that are judged twice a second this is one
  /// wrong verdict in three hours, if all were judged all the time; only those
  /// with failures at several hosts are.
  Criteria Verdict{1e-7, 4, 30, 1, 1};
  /// Of a verdict that stands and is to be renewed: the server gets few
  /// requests.
  Criteria Renewal{0.02, 1, 30, 1, 1};
  std::uint32_t MinCallers = 2;
  /// Hosts that must have seen failures, in a zone of MinZoneHosts or more.
  std::uint32_t MinHosts = 2;
  std::uint32_t MinZoneHosts = 4;
  /// The share of the others is taken as at least this.
  double MinUsualShare = 0.01;
  /// The share of failures must exceed that of the others by this.
  double UnansweredMargin = 0.25;
  double FailedSynsMargin = 0.4;
  double EndedFlowsMargin = 0.4;
  double SlowMargin = 0.3;
  /// A slow server takes this many times as long as the others would at its
  /// load.
  double SlowFactor = 3;
  /// A server that would be busier at the others' speed is slow, or refuses
  /// requests, because of its load.
  double MaxUtilization = 0.7;
  /// Share of the zone's hosts that must have reported: those that saw failures
  /// report first.
  double MinReporters = 0.5;
  /// The same where the load of the server matters, which is unknown otherwise.
  double MinLoadReporters = 0.8;
  /// A server whose flows end answers faster than this part of the others' time
  /// fails whatever its load; a full one makes most requests wait.
  double FastFactor = 0.5;

  /// Whether a host should report what it has seen of a server.
  bool isReportable(const ServerOutcomes &outcomes) const;
  /// Whether all \p zoneHosts hosts should be asked for reports.
  bool isSuspicious(const OutlierEvidence &evidence,
                    std::uint32_t zoneHosts) const;
  /// \p zoneHosts: hosts that may have seen failures.
  OutlierKind judge(const OutlierEvidence &evidence,
                    std::uint32_t zoneHosts) const;
  /// Whether few outcomes of a server that was found to be an outlier show that
  /// it still is.
  bool isStillFailing(const OutlierEvidence &evidence) const;

private:
  /// The first sort of failures by which the server differs; not the load of a
  /// slow server.
  OutlierKind differenceIn(const ServerOutcomes &outcomes,
                           const Criteria &criteria) const;
  /// The load that the server would have at the speed of the others, in parts
  /// of its slots.
  static double utilization(const OutlierEvidence &evidence);
  bool hasEnoughSources(const OutlierEvidence &evidence,
                        std::uint32_t zoneHosts) const;
};

} // namespace auburnroute::routing

#pragma once

#include "Common/Clock.h"
#include "Routing/OutcomeTracker.h"
#include "Routing/OutlierRule.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace auburnroute::fleet {

/// Times and thresholds of the verdicts on outliers.
struct OutlierLimits {
  routing::OutlierRule Rule;
  /// Reports are renewed each 0.7 s; older ones don't count.
  std::chrono::milliseconds ReportLifetime{2500};
  /// Time for the answers of the hosts that were asked for reports.
  std::chrono::milliseconds AnswerTime{200};
  /// How long the first verdict stands; each further one stands twice as long,
  /// up to MaxHold.
  std::chrono::milliseconds Hold{4000};
  std::chrono::milliseconds MaxHold{60000};
  /// A verdict is renewed this long before it ends, if the server still fails.
  std::chrono::milliseconds RenewBefore{500};
  /// A server that failed none of its requests for this long starts again with
  /// the first hold time.
  std::chrono::milliseconds Memory{120000};
  /// How often a verdict is renewed while no request of the server shows
  /// anything: the few flows that it gets may go unseen.
  std::uint32_t MaxRenewalsWithoutEvidence = 1;
  int Level = 4;     ///< Of servers that fail.
  int SlowLevel = 3; ///< Of servers that are slow.
  /// Reports come from other hosts, so their number is bounded.
  std::size_t MaxServers = 256;
  std::size_t MaxReporters = 128;
};

/// The reports of the hosts of a zone on the servers that this host is
/// responsible for, and what follows from them.
class OutlierCases {
public:
  explicit OutlierCases(OutlierLimits limits = {}) : Limits(limits) {}

  /// Replaces the previous report of \p reporter (IPv4 address).
  void onReport(std::uint64_t identity, std::int64_t startTimeMs,
                std::uint32_t reporter, const routing::ServerOutcomes &outcomes,
                std::uint32_t slots, common::TimePoint now);

  struct Decision {
    std::uint64_t Identity = 0;
    std::int64_t StartTimeMs = 0;
    int Level = 0; ///< 0: all hosts should report the server.
    /// A standing verdict is announced again, since messages are lost, and
    /// hosts should go on to report the server.
    bool IsReminder = false;
    std::chrono::milliseconds Hold{0};
    routing::OutlierKind Kind = routing::OutlierKind::None;
    routing::OutlierEvidence Evidence;
  };
  /// What is to be done now. A decision that is not carried out, see onDone(),
  /// is returned again. \p watchInterval: time between two questions for
  /// reports on a server.
  std::vector<Decision> decisions(std::uint32_t zoneHosts,
                                  std::chrono::milliseconds watchInterval,
                                  common::TimePoint now);
  /// \p decision was announced.
  void onDone(const Decision &decision, common::TimePoint now);
  /// Discards reports, for example after a pause of the process.
  void clear() { Servers.clear(); }
  std::size_t size() const { return Servers.size(); }

private:
  struct Report {
    std::uint32_t Reporter = 0;
    routing::ServerOutcomes Outcomes;
    common::TimePoint ReceivedAt;
  };
  struct Case {
    std::int64_t StartTimeMs = 0;
    std::uint32_t Slots = 1;
    std::vector<Report> Reports;
    common::TimePoint WatchedAt;
    common::TimePoint FirstWatchedAt; ///< Of an unbroken series.
    routing::OutlierKind Kind = routing::OutlierKind::None;
    int Level = 0;
    common::TimePoint HeldUntil;
    std::chrono::milliseconds Hold{0}; ///< Of the last verdict.
    std::uint32_t RenewalsWithoutEvidence = 0;
  };
  static routing::OutlierEvidence total(const Case &it);
  std::vector<Decision> decide(std::uint64_t identity, Case &it,
                               std::uint32_t zoneHosts,
                               std::chrono::milliseconds watchInterval,
                               common::TimePoint now) const;

  OutlierLimits Limits;
  std::map<std::uint64_t, Case> Servers;
};

} // namespace auburnroute::fleet

#pragma once

#include "Common/Clock.h"
#include "Coordination/Health/LoadReport.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace auburnroute::health {

/// Numbers of placed flows by kind.
struct FlowCounts {
  std::uint32_t Requests = 0;
  std::uint32_t Feeds = 0;
};

/// Compares the load reports of one backend server with the flows that this
/// host has placed on it, to estimate the load by other hosts and to find flows
/// whose end was missed.
///
/// A report is compared with the peak of the own counts over the last two
/// report intervals, not with their current value. So a report that lags by up
/// to one interval neither hides load nor adds any, and the estimate does not
/// vary with the own placements.
class BackendServerLoad {
public:
  /// Consecutive reports that must show fewer flows than are recorded before
  /// records are removed. A single one may lag or be wrong.
  static constexpr unsigned ReportsToExpire = 3;
  /// Flows that must disappear at once to count as a restart if no report
  /// failed in between. Fewer may be flows whose end was missed.
  static constexpr std::uint32_t MinLostFlowsForRestart = 3;

  /// Takes the own counts after a placement.
  void onPlaced(std::uint32_t requests, std::uint32_t feeds);
  /// A flow that another host placed has ended.
  void onOtherHostFlowEnded(state::ListenerKind kind);
  /// Handles a report. \p requests and \p feeds are the own counts,
  /// \p beforeCutoff those of them that were placed before reportCutoff().
  /// Returns how many of the oldest records to remove.
  FlowCounts onReport(common::TimePoint now, const LoadReport &report,
                      std::uint32_t requests, std::uint32_t feeds,
                      FlowCounts beforeCutoff);
  /// Whether \p report shows that the server was restarted; call before
  /// onReport. \p failures is the number of reports that failed since the last
  /// successful one.
  bool showsRestart(const LoadReport &report, std::uint32_t failures,
                    FlowCounts beforeCutoff) const;
  /// Flows that were placed before this time are included in every correct
  /// report, even if it lags by one interval.
  common::TimePoint reportCutoff() const { return PreviousReportTime; }

  common::TimePoint lastReportTime() const { return LastReportTime; }

  /// Whether the last report is not older than \p ttl.
  bool hasFreshReport(common::TimePoint now,
                      std::chrono::milliseconds ttl) const;
  /// The lower of \p configured and the reported slots; \p configured if there
  /// is no fresh report with slots.
  std::uint32_t slots(common::TimePoint now, std::uint32_t configured,
                      std::chrono::milliseconds ttl) const;
  /// Busy and queued requests in excess of the own ones.
  std::uint32_t otherRequests() const { return OtherRequests; }
  /// Connections in excess of the own ones.
  std::uint32_t otherConnections() const { return OtherConnections; }
  /// Share of the own requests, 0 to 1, that were not yet or no longer at the
  /// server when it reported: during the handshake, or until this host learned
  /// of the end. Averaged over about 16 reports to even out lag and noise.
  double inTransitShare() const;
  /// Whether the last report confirms \p requests own requests.
  bool confirms(std::uint32_t requests) const;

private:
  struct Peak {
    std::uint32_t Requests = 0;
    std::uint32_t Flows = 0;
  };

  bool HasReport = false;
  LoadReport LastReport;
  common::TimePoint LastReportTime;
  common::TimePoint PreviousReportTime;
  /// Peaks since the last report and in the interval before it.
  std::array<Peak, 2> Peaks;
  /// Records in excess of each of the last reports.
  std::array<FlowCounts, ReportsToExpire> ExcessRecords;
  unsigned NextExcessIndex = 0;
  // Exponentially decaying sums over the reports. RequestSum starts with 4
  // requests of which none was in transit, so that the first few reports have
  // little weight.
  double InTransitSum = 0;
  double RequestSum = 4;
  std::uint32_t OtherRequests = 0;
  std::uint32_t OtherConnections = 0;
};

} // namespace auburnroute::health

#pragma once

#include "Common/Clock.h"
#include "Coordination/Health/LoadReport.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace auburnroute::health {

/// Own flows of a backend server that were placed before the window that its
/// report can lag behind.
struct FlowCounts {
  std::uint32_t Requests = 0;
  std::uint32_t Feeds = 0;
};

/// Compares the load reports of one backend server with the own counts.
///
/// A report is compared with the extremes of the own counts over the last two
/// report intervals, never with their present value, so a report that lags by
/// up to one interval neither hides nor invents load, and the estimate does
/// not follow the own placements.
class BackendServerLoad {
public:
  /// Reports in a row that must show fewer flows than the records before
  /// records are given up. One alone may be a lag or a fault.
  static constexpr unsigned ReportsToExpire = 3;
  /// Flows that must have disappeared at once, without a failed report, to be
  /// taken for a restart. Fewer may be ends that were not seen.
  static constexpr std::uint32_t MinLostFlowsForRestart = 3;

  /// The own counts after a placement.
  void onPlaced(std::uint32_t requests, std::uint32_t feeds);
  /// A flow ended that another host had placed.
  void onOtherHostFlowEnded(state::ListenerKind kind);
  /// Takes a report. \p requests and \p feeds are the own counts, \p old the
  /// part of them that was placed before oldBefore(). Returns the records to
  /// give up.
  FlowCounts onReport(common::TimePoint now, const LoadReport &report,
                      std::uint32_t requests, std::uint32_t feeds,
                      FlowCounts beforeCutoff);
  /// Whether \p report shows that the server was restarted; call before
  /// onReport. \p failures is the number of reports that failed before it.
  bool showsRestart(const LoadReport &report, std::uint32_t failures,
                    FlowCounts beforeCutoff) const;
  /// Flows placed before this time are in every honest report.
  common::TimePoint reportCutoff() const { return PreviousReportTime; }

  common::TimePoint lastReportTime() const { return LastReportTime; }

  /// Whether there is a report not older than \p ttl.
  bool hasFreshReport(common::TimePoint now,
                      std::chrono::milliseconds ttl) const;
  /// The lower of \p configured and the reported slots.
  std::uint32_t slots(common::TimePoint now, std::uint32_t configured,
                      std::chrono::milliseconds ttl) const;
  /// Busy and queued requests beyond the own ones.
  std::uint32_t otherRequests() const { return OtherRequests; }
  /// Connections beyond the own ones.
  std::uint32_t otherConnections() const { return OtherConnections; }
  /// Share of the own requests that were not yet or no longer at the server
  /// when it reported: handshake and notice of the end. Averaged over about
  /// 16 reports, so that lag and chance cancel out. 0 to 1.
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
  std::array<Peak, 2> Peaks; ///< Since the last report and the one before.
  std::array<FlowCounts, ReportsToExpire>
      ExcessRecords; ///< Of the last reports.
  unsigned NextExcessIndex = 0;
  // Decaying sums over the reports. The first total stands for requests that
  // were all at the server, so that a few reports do not decide.
  double InTransitSum = 0;
  double RequestSum = 4;
  std::uint32_t OtherRequests = 0;
  std::uint32_t OtherConnections = 0;
};

} // namespace auburnroute::health

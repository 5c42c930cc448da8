#pragma once

#include "Common/Clock.h"
#include "Coordination/Distribution/SettingsFollower.h"
#include "Coordination/Membership/Membership.h"
#include "Protocol/PeerCodec.h"
#include "State/CauseStore.h"
#include "State/DaemonSettings.h"
#include "State/FlowOutcomeHistory.h"
#include "State/WaitStatistics.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace auburnroute::daemon {

/// References to the control state that ControlReports reads.
struct ControlView {
  const state::DaemonSettings &Local;
  const common::Clock &Clock;
  common::TimePoint StartTime;
  const membership::Membership &Members;
  const distribution::SettingsFollower &Follower;
  const protocol::PeerCodec &Codec;
  const state::CauseStore &Causes;
  const state::FlowOutcomeHistory &FlowOutcomes;
  const state::WaitSummary &Waits;
  bool IsConfirmed = false;
  bool IsReady = false;
  bool IsPlatformReachable = false;
  std::uint64_t HostListVersion = 0;
};

/// Renders the operator's reports: status, causes, burn and metrics.
class ControlReports {
public:
  explicit ControlReports(const ControlView &view) : View(view) {}

  /// Status as JSON. \p bytesSent and \p bytesReceived are the totals of the
  /// peer link.
  std::string statusJson(std::uint64_t bytesSent,
                         std::uint64_t bytesReceived) const;
  /// Causes that occurred within the last \p since seconds.
  std::string causesJson(std::chrono::seconds since) const;
  /// Flow outcomes and the current policy of each service, as JSON.
  std::string burnJson() const;
  /// Gauges and counters of the control state, as Prometheus text.
  std::string metricsText() const;

private:
  const ControlView &View;
};

} // namespace auburnroute::daemon

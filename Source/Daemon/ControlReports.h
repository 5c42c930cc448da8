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

/// The control state that reports are made of.
struct ControlView {
  const state::DaemonSettings &Local;
  const common::Clock &Clock;
  common::TimePoint Started;
  const membership::Membership &Members;
  const distribution::SettingsFollower &Follower;
  const protocol::PeerCodec &Codec;
  const state::CauseStore &Causes;
  const state::FlowOutcomeHistory &Burn;
  const state::WaitSummary &Waits;
  bool Confirmed = false;
  bool Ready = false;
  bool PlatformReachable = false;
  std::uint64_t HostListVersion = 0;
};

/// Reports for operators.
class ControlReports {
public:
  explicit ControlReports(const ControlView &view) : View(view) {}

  /// Status as JSON; \p bytesSent and \p bytesReceived are those of the link.
  std::string statusJson(std::uint64_t bytesSent,
                         std::uint64_t bytesReceived) const;
  std::string causesJson(std::chrono::seconds since) const;
  std::string burnJson() const;
  /// Gauges and counters of the control state, as Prometheus text.
  std::string metricsText() const;

private:
  const ControlView &View;
};

} // namespace auburnroute::daemon

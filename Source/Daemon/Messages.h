#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Coordination/Health/LoadReport.h"
#include "Daemon/AdmissionSummary.h"

#include <caf/all.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnroute::daemon {

/// A settings document from the platform.
struct PlatformSettings {
  std::string Text;
};

/// A host list from the platform.
struct PlatformHosts {
  std::string Text;
};

/// The platform became reachable or unreachable.
struct PlatformReachability {
  bool IsReachable = false;
  std::string Reason; ///< Error; empty if reachable.
};

/// Result of polling a backend server for its load.
struct BackendServerPollResult {
  std::uint64_t Revision = 0; ///< Settings revision that the id is valid in.
  std::uint32_t BackendServer = 0;          ///< Table id.
  std::optional<health::LoadReport> Report; ///< Empty if the poll failed.
};

/// A traffic thread found that the admission owner with this socket places no
/// flows.
struct OwnerUnresponsive {
  common::Endpoint Admission;
};

/// A frame received from a peer.
struct PeerFrameReceived {
  std::string Bytes;
};

/// A frame for the peer link to send.
struct PeerFrameToSend {
  common::Endpoint To;
  std::string Bytes;
};

/// Periodic wake-up of the control actor.
struct ControlTick {};

/// Starts a graceful stop.
struct BeginStop {};

/// The graceful stop reached stopTimeout.
struct StopTimedOut {};

/// Asks the control actor for a report.
struct ReportQuery {
  enum class Kind { Status, Ready, Metrics, Cause, Burn };
  Kind Requested = Kind::Status;
  std::chrono::seconds Since{3600}; ///< Maximum age of causes.
};

/// The answer to a ReportQuery.
struct Report {
  /// False if there is no report or, for Kind::Ready, the daemon is not ready.
  bool IsOk = true;
  std::string Text;
};

} // namespace auburnroute::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::PlatformSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::PlatformHosts)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::PlatformReachability)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::BackendServerPollResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::OwnerUnresponsive)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::PeerFrameReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::PeerFrameToSend)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::AdmissionSummary)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::ControlTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::BeginStop)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::StopTimedOut)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::ReportQuery)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(auburnroute::daemon::Report)

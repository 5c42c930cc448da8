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

/// A settings document that the platform gave.
struct PlatformSettings {
  std::string Text;
};

/// A host list that the platform gave.
struct PlatformHosts {
  std::string Text;
};

/// The platform did not answer, or answers again.
struct PlatformReachability {
  bool IsReachable = false;
  std::string Reason;
};

/// What a poll of a backend server brought.
struct BackendServerPollResult {
  std::uint64_t Revision = 0; ///< Of the table that the id belongs to.
  std::uint32_t BackendServer = 0;
  std::optional<health::LoadReport> Report; ///< None if it failed.
};

/// A traffic thread doubts that the admission owner with this socket works.
struct OwnerUnresponsive {
  common::Endpoint Admission;
};

/// A frame that arrived from a peer.
struct PeerFrameReceived {
  std::string Bytes;
};

/// A frame for the link to send.
struct PeerFrameToSend {
  common::Endpoint To;
  std::string Bytes;
};

/// Wakes the control actor at its interval.
struct ControlTick {};

/// Begins a graceful stop.
struct BeginStop {};

/// The graceful stop reached its limit.
struct StopTimedOut {};

/// Asks the control actor for a report.
struct ReportQuery {
  enum class Kind { Status, Ready, Metrics, Cause, Burn };
  Kind Requested = Kind::Status;
  std::chrono::seconds Since{3600}; ///< For Cause.
};

/// The answer to a ReportQuery.
struct Report {
  bool IsOk = true; ///< Whether the daemon is ready, for Kind::Ready.
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

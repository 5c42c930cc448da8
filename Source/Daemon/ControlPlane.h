#pragma once

#include "Common/Clock.h"
#include "Coordination/Distribution/SettingsFollower.h"
#include "Coordination/Membership/ByteBudget.h"
#include "Coordination/Membership/Membership.h"
#include "Daemon/AdmissionSummary.h"
#include "Daemon/ControlReports.h"
#include "Daemon/ControlSnapshot.h"
#include "Protocol/PeerCodec.h"
#include "State/CauseStore.h"
#include "State/DaemonSettings.h"
#include "State/FlowOutcomeHistory.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::daemon {

/// An encoded frame and its destination.
struct PeerFrame {
  common::Endpoint To;
  std::string Bytes;
};

/// Control state of a daemon: current settings, membership, causes and flow
/// outcomes.
///
/// Connects the components of the coordination layer. Callers pass events in
/// and take frames and snapshots out. Used from the control thread only; opens
/// no socket.
class ControlPlane {
public:
  /// \p incarnation is the start time of the process in milliseconds since the
  /// epoch.
  ControlPlane(const state::DaemonSettings &settings,
               const common::Clock &clock, std::uint64_t incarnation);

  void onPlatformSettings(std::string_view text);
  void onPlatformHosts(std::string_view text);
  /// The platform became reachable or unreachable; \p reason is the error in
  /// the second case.
  void onPlatformReachable(bool reachable, const std::string &reason);
  void onPeerFrame(std::string_view frame);
  void onAdmissionSummary(const AdmissionSummary &summary);
  /// A traffic thread found that the admission owner with this socket places no
  /// flows. Probes the host.
  void onOwnerUnresponsive(common::Endpoint admission);
  /// Call at least every 100 ms.
  void onTick();
  void beginStop();
  /// The graceful stop reached stopTimeout with packets still arriving.
  void onStopTimeout();

  /// Frames queued since the last call.
  std::vector<PeerFrame> takeFrames();
  /// A new snapshot, or nullptr if nothing changed since the last call.
  std::shared_ptr<const ControlSnapshot> takeSnapshot();

  /// Whether this host is up to date and may place new flows.
  bool isConfirmed() const;
  /// Whether the fabric may send packets here.
  bool isReady() const;
  /// Whether this host is one of the platform readers of its zone, or has no
  /// settings yet.
  bool readsPlatform() const;
  /// Current revision; GET /settings waits for a higher one.
  std::uint64_t settingsRevision() const { return Follower.stamp().Revision; }
  /// Current version; GET /hosts waits for a higher one.
  std::uint64_t hostListVersion() const { return HostListVersion; }

  /// Input of ControlReports; valid until the next event.
  ControlView view() const;

private:
  void send(const common::Endpoint &to, const messages::PeerMessage &message);
  void send(const distribution::AddressedRequest &request);
  void onHeartbeat(const messages::PeerMessage &message);
  void onSettingsRequest(const messages::PeerMessage &message);
  void onSettingsReply(const messages::PeerMessage &message);
  void onSettingsInForce();
  void recordSettingsRefusal();
  void recordStateChanges();
  void replicateChangedCauses();
  void replicateAllCauses();
  std::vector<common::Endpoint> causeReplicas() const;
  void record(state::Cause reason, const std::string &subject);

  state::DaemonSettings Local;
  const common::Clock &Clock;
  common::TimePoint StartTime;
  membership::Membership Members;
  distribution::SettingsFollower Follower;
  protocol::PeerCodec Codec;
  state::CauseStore Causes;
  state::FlowOutcomeHistory FlowOutcomes;
  state::WaitSummary Waits;
  std::shared_ptr<const state::ServiceTable> Table;
  std::vector<messages::LeavingBackendServer> LeavingBackendServers;
  std::vector<PeerFrame> Outbox;
  membership::ByteBudget Budget;
  std::uint64_t HostListVersion = 0;
  std::uint64_t PublishedOwnershipVersion = 0;
  std::uint64_t RecordedRefusals = 0;
  std::uint64_t RecordedPauses = 0;
  common::TimePoint NextReplication;
  bool IsPlatformReachable = false;
  bool IsStopping = false;
  bool WasConfirmed = false;
  bool IsSnapshotDue = false;
};

} // namespace auburnroute::daemon

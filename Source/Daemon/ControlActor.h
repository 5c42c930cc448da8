#pragma once

#include "Daemon/ControlPlane.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/Messages.h"

#include <caf/all.hpp>

#include <functional>

namespace auburnroute::daemon {

/// Callbacks from the control actor into the daemon. They are called on the
/// control thread, from the first message on.
struct ControlCallbacks {
  /// Sends a frame to a peer.
  std::function<void(PeerFrame)> SendFrame;
  /// Enables or disables the platform readers, and sets the versions to wait
  /// beyond.
  std::function<void(bool enabled, std::uint64_t settingsRevision,
                     std::uint64_t hostListVersion)>
      ConfigureReaders;
  /// Total bytes that the peer link sent and received, in this order.
  std::function<std::pair<std::uint64_t, std::uint64_t>()> LinkByteCounts;
};

/// Runs the control plane on the control thread: delivers messages and ticks to
/// it, publishes its snapshots and sends its frames.
class ControlActor : public caf::event_based_actor {
public:
  ControlActor(caf::actor_config &config, const state::DaemonSettings &settings,
               const common::Clock &clock, SnapshotPublisher &snapshots,
               ControlCallbacks callbacks);

  caf::behavior make_behavior() override; // NOLINT: name fixed by CAF

private:
  void tick();
  /// Sends the frames, publishes the snapshot and updates the readers after an
  /// event.
  void dispatchOutput();
  Report report(const ReportQuery &query) const;

  const common::Clock &Clock;
  SnapshotPublisher &Snapshots;
  ControlCallbacks Callbacks;
  ControlPlane Plane;
};

} // namespace auburnroute::daemon

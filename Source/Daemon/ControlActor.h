#pragma once

#include "Daemon/ControlPlane.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/Messages.h"

#include <caf/all.hpp>

#include <functional>

namespace auburnroute::daemon {

/// What the control actor needs of the daemon around it. Functions may be
/// called from the control thread at any time.
struct ControlCallbacks {
  /// Sends a frame to a peer.
  std::function<void(PeerFrame)> SendFrame;
  /// Whether this host reads the platform, and from which versions on.
  std::function<void(bool enabled, std::uint64_t settingsRevision,
                     std::uint64_t hostListVersion)>
      ConfigureReaders;
  /// Bytes that the peer link sent and received.
  std::function<std::pair<std::uint64_t, std::uint64_t>()> LinkByteCounts;
};

/// Runs the control plane on the control thread: feeds it messages and ticks,
/// publishes its snapshots and sends its frames.
class ControlActor : public caf::event_based_actor {
public:
  ControlActor(caf::actor_config &config, const state::DaemonSettings &settings,
               const common::Clock &clock, SnapshotPublisher &snapshots,
               ControlCallbacks callbacks);

  caf::behavior make_behavior() override; // NOLINT: name fixed by CAF

private:
  void tick();
  /// Passes on what an event brought about.
  void dispatchOutput();
  Report report(const ReportQuery &query) const;

  const common::Clock &Clock;
  SnapshotPublisher &Snapshots;
  ControlCallbacks Callbacks;
  ControlPlane Plane;
};

} // namespace auburnroute::daemon

#pragma once

#include "Common/Clock.h"
#include "State/ServiceTable.h"
#include "State/Settings.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace auburnroute::daemon {

/// State that the control thread publishes to the traffic, admission and load
/// poller threads. Immutable once published.
struct ControlSnapshot {
  std::shared_ptr<const state::Settings> Settings;
  std::shared_ptr<const state::ServiceTable> Table;
  /// Admission socket of the owner of each service, by service index.
  std::vector<common::Endpoint> AdmissionOwners;
  /// Admission socket of the host that packets are relayed to if the settings
  /// here lack their listener or backend server. It is a platform reader, which
  /// gets new settings first.
  std::optional<common::Endpoint> RelayEndpoint;
  /// Admission sockets of hosts that are suspect or dead and did not leave
  /// gracefully; SYNs handed over to them may be lost.
  std::vector<common::Endpoint> UnreachableAdmissionEndpoints;
  /// Table ids of the backend servers that the host list marks as leaving.
  std::vector<std::uint32_t> LeavingBackendServers;
  bool IsConfirmed = false; ///< This host may place new flows.
  bool IsStopping = false;  ///< A graceful stop has begun.
};

/// Publishes snapshots from the control thread to the other threads.
class SnapshotPublisher {
public:
  /// Control thread only.
  void publish(std::shared_ptr<const ControlSnapshot> snapshot) {
    Current.store(std::move(snapshot));
    Version.fetch_add(1, std::memory_order_release);
  }
  /// Incremented by each publication. Readers compare it once per batch, so
  /// that the packet path does not access the atomic shared pointer.
  std::uint64_t version() const {
    return Version.load(std::memory_order_acquire);
  }
  /// Records that the host was up to date at \p now. Control thread only.
  void setConfirmedAt(common::TimePoint now) {
    ConfirmedAt.store(now.time_since_epoch().count(),
                      std::memory_order_release);
  }
  /// When the host was last up to date. A thread that detected a pause places
  /// no flows until this is later than the pause.
  common::TimePoint confirmedAt() const {
    return common::TimePoint(common::TimePoint::duration(
        ConfirmedAt.load(std::memory_order_acquire)));
  }
  /// The latest snapshot; nullptr before the first.
  std::shared_ptr<const ControlSnapshot> load() const { return Current.load(); }

private:
  std::atomic<std::shared_ptr<const ControlSnapshot>> Current;
  std::atomic<std::uint64_t> Version{0};
  std::atomic<common::TimePoint::rep> ConfirmedAt{0};
};

} // namespace auburnroute::daemon

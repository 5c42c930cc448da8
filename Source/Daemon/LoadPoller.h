#pragma once

#include "Common/Clock.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/Messages.h"
#include "Transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <map>

namespace auburnroute::daemon {

/// Asks the backend servers of the services that this host admits for their
/// load. Runs on a thread of its own.
class LoadPoller {
public:
  using ResultReceiver = std::function<void(const BackendServerPollResult &)>;

  /// \p self is the admission socket of this host, \p zone its zone.
  LoadPoller(common::Endpoint self, std::string zone,
             const common::Clock &clock, const SnapshotPublisher &snapshots,
             ResultReceiver onResult);

  /// Polls until \p stop is set.
  void run(const std::atomic<bool> &stop);

private:
  void pollService(const ControlSnapshot &snapshot, std::uint32_t service,
                   const std::atomic<bool> &stop);
  BackendServerPollResult poll(const ControlSnapshot &snapshot,
                               std::uint32_t id, common::Endpoint endpoint);

  common::Endpoint Self;
  std::string Zone;
  const common::Clock &Clock;
  const SnapshotPublisher &Snapshots;
  ResultReceiver OnResult;
  std::map<common::Endpoint, std::unique_ptr<transport::HttpClient>> Clients;
  std::map<std::string, common::TimePoint> NextPoll; ///< By service name.
};

} // namespace auburnroute::daemon

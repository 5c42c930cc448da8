#pragma once

#include "Common/Clock.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/Messages.h"
#include "Transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <map>

namespace auburnroute::daemon {

/// Polls the load reports (GET /load) of the backend servers whose service this
/// host is the admission owner of. Runs on its own thread.
class LoadPoller {
public:
  using ResultReceiver = std::function<void(const BackendServerPollResult &)>;

  /// \p self is the admission socket of this host and \p zone its zone. Calls
  /// \p onResult on the polling thread.
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

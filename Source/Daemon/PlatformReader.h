#pragma once

#include "Daemon/Messages.h"
#include "State/Counters.h"
#include "Transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <string>

namespace auburnroute::daemon {

/// Watches one value of the platform by long polls. Runs on a thread of its
/// own; while it is disabled it makes no calls.
class PlatformReader {
public:
  /// Gets a new document; returns the version to wait beyond.
  using Receiver = std::function<std::uint64_t(std::string)>;
  /// Told when the platform stops or starts answering.
  using ReachabilityReceiver =
      std::function<void(const PlatformReachability &)>;

  /// \p path is the value, such as "/settings".
  PlatformReader(common::Endpoint platform, std::string path, Receiver receiver,
                 ReachabilityReceiver reachability);

  /// Reads until \p stop is set.
  void run(const std::atomic<bool> &stop);
  /// Whether this host is one of the readers of its zone.
  void enable(bool on) { Enabled = on; }
  const state::CounterSet &counters() const { return Counters; }

private:
  void readOnce();
  void reachable(bool now, const std::string &why);

  transport::HttpClient Client;
  std::string Path;
  Receiver Deliver;
  ReachabilityReceiver TellReachability;
  std::atomic<bool> Enabled{true};
  std::uint64_t After = 0;
  bool Reachable = true;
  state::CounterSet Counters;
};

} // namespace auburnroute::daemon

#pragma once

#include "Daemon/Messages.h"
#include "State/Counters.h"
#include "Transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace auburnroute::daemon {

/// Watches one value of the platform by long polls. Runs on a thread of its
/// own; while it is disabled it makes no calls.
class PlatformReader {
public:
  /// Gets a new document.
  using Receiver = std::function<void(std::string)>;
  /// Told when the platform stops or starts answering.
  using ReachabilityReceiver =
      std::function<void(const PlatformReachability &)>;

  /// \p path is the value, such as "/settings".
  PlatformReader(common::Endpoint platform, std::string path, Receiver receiver,
                 ReachabilityReceiver reachability);

  /// Reads until \p stop is set.
  void run(const std::atomic<bool> &stop);
  /// Whether to read, and the version to wait beyond. Any thread.
  void steer(bool enabled, std::uint64_t after) {
    Enabled.store(enabled, std::memory_order_relaxed);
    After.store(after, std::memory_order_relaxed);
  }
  const state::CounterSet &counters() const { return Counters; }

private:
  void readOnce(const std::atomic<bool> &stop);
  void awaitSteering(std::uint64_t before, const std::atomic<bool> &stop);
  void reachable(bool now, const std::string &why);

  transport::HttpClient Client;
  std::string Path;
  Receiver Deliver;
  ReachabilityReceiver TellReachability;
  std::atomic<bool> Enabled{true};
  std::atomic<std::uint64_t> After{0};
  /// Nothing before the first answer or failure.
  std::optional<bool> Reachable;
  state::CounterSet Counters;
};

} // namespace auburnroute::daemon

#pragma once

#include "Daemon/Messages.h"
#include "State/Counters.h"
#include "Transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace auburnroute::daemon {

/// Watches one document of the platform by long polling. Runs on its own
/// thread; makes no requests while disabled.
class PlatformReader {
public:
  /// Called with each document that the platform returns.
  using DocumentReceiver = std::function<void(std::string)>;
  /// Called when the platform becomes reachable or unreachable.
  using ReachabilityReceiver =
      std::function<void(const PlatformReachability &)>;

  /// \p path is the HTTP path of the document, such as "/settings".
  PlatformReader(common::Endpoint platform, std::string path,
                 DocumentReceiver receiver, ReachabilityReceiver reachability);

  /// Reads until \p stop is set.
  void run(const std::atomic<bool> &stop);
  /// Sets whether to read, and the version to wait beyond. Any thread.
  void configure(bool enabled, std::uint64_t after) {
    IsEnabled.store(enabled, std::memory_order_relaxed);
    AfterVersion.store(after, std::memory_order_relaxed);
  }
  const state::CounterSet &counters() const { return Counters; }

private:
  void readOnce(const std::atomic<bool> &stop);
  /// Waits until configure() sets a version other than \p before, at most
  /// LongPollTime.
  void awaitConfiguration(std::uint64_t before, const std::atomic<bool> &stop);
  void reportReachability(bool now, const std::string &why);

  transport::HttpClient Client;
  std::string Path;
  DocumentReceiver OnDocument;
  ReachabilityReceiver OnReachability;
  std::atomic<bool> IsEnabled{true};
  std::atomic<std::uint64_t> AfterVersion{0};
  /// Empty before the first response or failure.
  std::optional<bool> IsReachable;
  state::CounterSet Counters;
};

} // namespace auburnroute::daemon

#pragma once

#include "absl/status/status.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace auburnroute::standins {

/// How the platform answers.
enum class PlatformMode {
  Up,
  Down,  ///< Every read fails.
  Stale, ///< Reads get the documents that were current on entry.
};

/// The documents of the platform and the reads of them. Thread-safe.
class PlatformStore {
public:
  /// Result of a read.
  struct ReadResult {
    int Status = 204;     ///< HTTP status: 200, 204 or 503.
    std::string Document; ///< Set with 200.
  };
  struct Counts {
    std::uint64_t SettingsReads = 0;
    std::uint64_t HostsReads = 0;
  };

  /// Publishes a settings document. It is not checked beyond its revision, so
  /// that tests can publish bad ones. Errors: InvalidArgument.
  absl::Status setSettings(std::string document);
  /// Publishes a host list. Errors: InvalidArgument.
  absl::Status setHosts(std::string document);
  void setMode(PlatformMode mode);

  /// Waits at most \p wait for a settings document newer than \p after.
  ReadResult readSettings(std::uint64_t after, std::chrono::milliseconds wait);
  /// Waits at most \p wait for a host list newer than \p after.
  ReadResult readHosts(std::uint64_t after, std::chrono::milliseconds wait);
  /// Ends all waits; later reads do not wait.
  void shutDown();

  Counts counts() const;

private:
  struct Document {
    std::uint64_t Version = 0;
    std::string Text;
    std::uint64_t ServedVersion = 0; ///< Differs from Version while stale.
    std::string ServedText;
  };

  absl::Status set(Document &document, const char *versionKey,
                   std::string text);
  ReadResult read(const Document &document, std::uint64_t after,
                  std::chrono::milliseconds wait);
  void publish(Document &document) const;

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  PlatformMode Mode = PlatformMode::Up;
  bool IsShutDown = false;
  Document Settings;
  Document Hosts;
  Counts ReadCounts;
};

} // namespace auburnroute::standins

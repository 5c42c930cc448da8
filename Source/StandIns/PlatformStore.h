#pragma once

#include "absl/status/status.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace auburnroute::standins {

/// How the platform responds to reads.
enum class PlatformMode {
  Up,
  Down,  ///< Every read fails.
  Stale, ///< Reads return the documents published before this mode was set.
};

/// The settings and the host list that the platform serves, with counts of
/// their reads. Thread-safe.
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

  /// Publishes a settings document. Only its revision is validated, so that
  /// tests can publish invalid ones. Errors: InvalidArgument if it is not a
  /// JSON object with an unsigned "revision".
  absl::Status setSettings(std::string document);
  /// Publishes a host list. Errors: InvalidArgument if it is not a JSON object
  /// with an unsigned "version".
  absl::Status setHosts(std::string document);
  void setMode(PlatformMode mode);

  /// Waits at most \p wait for a settings document newer than \p after. Fails
  /// at once with 503 while the platform is down.
  ReadResult readSettings(std::uint64_t after, std::chrono::milliseconds wait);
  /// As readSettings(), for a host list newer than \p after.
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

  absl::Status setDocument(Document &document, const char *versionKey,
                           std::string text);
  ReadResult read(const Document &document, std::uint64_t after,
                  std::chrono::milliseconds wait);
  void updateServed(Document &document) const;

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  PlatformMode Mode = PlatformMode::Up;
  bool IsShutDown = false;
  Document Settings;
  Document Hosts;
  Counts ReadCounts;
};

} // namespace auburnroute::standins

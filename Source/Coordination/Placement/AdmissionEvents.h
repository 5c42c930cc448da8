#pragma once

#include "Common/Clock.h"
#include "State/Cause.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnroute::placement {

/// A refusal, an ejection or another change, with its cause. Equal events since
/// the last take() are merged. Refers to services and backend servers by name,
/// as ids change with each revision.
struct AdmissionEvent {
  state::Cause Why = state::Cause::None;
  std::string Service;       ///< Empty if no service listens on the address.
  std::string BackendServer; ///< Empty if the event concerns no single server.
  std::uint64_t Count = 0;
  common::TimePoint First;
  common::TimePoint Last;
};

/// Collects events until they are taken.
class AdmissionEvents {
public:
  /// Limit on distinct events between two calls of take(). Further events are
  /// dropped and counted.
  static constexpr std::size_t MaxEvents = 4096;

  void add(common::TimePoint now, state::Cause why, std::string_view service,
           std::string_view backendServer, std::uint64_t count = 1);
  /// Removes and returns the events, in order of their first occurrence.
  std::vector<AdmissionEvent> take();
  /// Number of events dropped since the start.
  std::uint64_t dropped() const { return Dropped; }

private:
  using Key = std::pair<state::Cause, std::pair<std::string, std::string>>;

  std::vector<AdmissionEvent> Events;
  absl::flat_hash_map<Key, std::size_t> Index;
  std::uint64_t Dropped = 0;
};

} // namespace auburnroute::placement

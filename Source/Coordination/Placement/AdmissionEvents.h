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

/// A refusal, an ejection or another change with its cause. Equal ones since
/// the last take are one event. Names, as ids change with each revision.
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
  /// Bound on distinct events between two takes; more are counted only.
  static constexpr std::size_t MaxEvents = 4096;

  void add(common::TimePoint now, state::Cause why, std::string_view service,
           std::string_view backendServer, std::uint64_t count = 1);
  /// Returns the events in the order of their first time and forgets them.
  std::vector<AdmissionEvent> take();
  /// Events that found no room, since the start.
  std::uint64_t dropped() const { return Dropped; }

private:
  using Key = std::pair<state::Cause, std::pair<std::string, std::string>>;

  std::vector<AdmissionEvent> Events;
  absl::flat_hash_map<Key, std::size_t> Index;
  std::uint64_t Dropped = 0;
};

} // namespace auburnroute::placement

#pragma once

#include "State/CauseStore.h"

#include <string>
#include <vector>

namespace auburnroute::state {

/// A change or failure that may have led to bad outcomes.
struct Trigger {
  state::Cause Cause = state::Cause::None;
  std::string Subject;
  std::uint64_t Revision = 0;
  common::WallTime First;

  bool operator==(const Trigger &) const = default;
};

/// One kind of bad outcome of a service and its possible triggers.
struct Finding {
  std::string Service;
  state::Cause Cause = state::Cause::None;
  std::string Subject;
  std::uint64_t Count = 0;
  common::WallTime First;
  common::WallTime Last;
  /// Changes and failures that may explain it, latest first. Empty if the
  /// trigger is not known.
  std::vector<Trigger> Triggers;
};

/// Whether \p why is a bad outcome for a caller, and not a change or failure.
bool isOutcome(Cause why);
/// Whether \p why is a change or failure that may lead to bad outcomes.
bool isTrigger(Cause why);

/// Longest time from a trigger to an outcome that it explains. Covers the
/// detection of a dead host and the ramp of a slow start.
constexpr std::chrono::seconds TriggerWindow{60};

/// Combines the entries of several hosts into findings; copies of an entry
/// count once. An empty \p service means all. Ordered by first occurrence.
std::vector<Finding> findCauses(const std::vector<CauseEntry> &entries,
                                const std::string &service);

/// All changes and failures, whether they led to anything or not; a change that
/// several hosts report counts once. Ordered by time.
std::vector<Trigger> findTriggers(const std::vector<CauseEntry> &entries);

/// A finding in one or two sentences.
std::string describe(const Finding &finding);
/// A change or failure as a clause with its time.
std::string describe(const Trigger &trigger);

} // namespace auburnroute::state

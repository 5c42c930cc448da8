#pragma once

#include "Common/Clock.h"
#include "Fleet/FleetView.h"
#include "Fleet/RegistryCall.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace auburnroute::fleet {

/// Timing and limits of registry reads. Each call has a cost, so reads are as
/// rare as the bound on change propagation allows.
struct RegistryReadTiming {
  /// Pause between two watch calls.
  std::chrono::milliseconds WatchPause{375};
  /// A watch without a change returns after this time, which confirms that the
  /// view is current. A broken connection goes unnoticed for this long.
  std::chrono::milliseconds WatchWait{750};
  /// Another host takes over reading when its view is older than this: the
  /// current reader has failed or is unreachable.
  std::chrono::milliseconds TakeoverAge{1500};
  /// Each further host of a zone waits this much longer, so that one of them
  /// takes over first.
  std::chrono::milliseconds TakeoverStep{200};
  /// Hosts of a zone that take over within the bound. The others could not read
  /// either if the registry is away; if these are turned away, hosts of other
  /// zones pass changes on.
  static constexpr std::size_t MaxTakeoverSteps = 4;
  /// Time allowed for an answer beyond the wait. A slow registry takes 240 ms.
  std::chrono::milliseconds AnswerTimeout{900};
  std::chrono::milliseconds InitialBackoff{200};
  std::chrono::milliseconds MaxBackoff{1600};

  /// Timing with which a change reaches all hosts within \p bound: half of it
  /// until another host takes over, a quarter for the staggering of takeovers,
  /// and a quarter for the answer and its distribution.
  static RegistryReadTiming forBound(std::chrono::milliseconds bound);
  /// The age of the view at which a host takes over. \p rank: number of hosts
  /// of the zone that come before it. \p hearsPeers: it received a message of a
  /// peer within TakeoverAge; without one it depends on itself.
  std::chrono::milliseconds takeoverAge(std::size_t rank,
                                        bool hearsPeers) const;
};

/// Keeps a FleetView current by reading the registry: first a list of all
/// entries, then watches from its revision, and a new list after a compaction
/// or if the changes are too large for one answer.
/// Only decides which call comes next; the caller performs it.
class RegistryReader {
public:
  explicit RegistryReader(FleetView &view, RegistryReadTiming timing = {})
      : View(view), Timing(timing) {}

  /// The next call, if one is due and none is pending.
  std::optional<RegistryCall> nextCall(common::TimePoint now);
  /// Time at which nextCall() should be called.
  common::TimePoint nextCallAt() const { return NextCallAt; }
  /// Called first for each answer, whatever its status: \p era is the era that
  /// it states.
  void onEra(std::uint64_t era) { SeenEra = std::max(SeenEra, era); }
  /// Applies the answer to the pending call. Returns why it counts as a failure
  /// of the call, if it does.
  std::optional<RegistryFailure> onPage(const RegistryPage &page,
                                        common::TimePoint now);
  void onFailure(RegistryFailure failure, common::TimePoint now);
  /// Sets whether this host reads the registry. A pending call is not
  /// cancelled.
  void setActive(bool active) { IsActive = active; }
  const RegistryReadTiming &timing() const { return Timing; }
  const FleetView &view() const { return View; }
  /// Makes the next call due at \p now at the latest, for example after a pause
  /// of the process.
  void scheduleNextCallAt(common::TimePoint now);

  /// Whether at least two consecutive calls failed.
  bool isRegistryUnavailable() const { return Failures >= 2; }
  /// Number of consecutive failed calls.
  std::uint32_t failures() const { return Failures; }

private:
  enum class Step : std::uint8_t { List, NextPage, Watch };
  void finishList(common::TimePoint now);
  /// Whether the list can go on after \p page. A page that ends with the key
  /// after which it began would be read for ever.
  bool makesProgress(const RegistryPage &page) const;
  /// Whether a watch cannot go on from the view: the registry is in a later
  /// era, or it cannot give the changes after the view's revision.
  bool isListNeeded() const;

  FleetView &View;
  RegistryReadTiming Timing;
  Step NextStep = Step::List;
  /// Highest era that the registry stated.
  std::uint64_t SeenEra = 0;
  std::uint64_t CallEra = 0; ///< Era of the view when the call was made.
  std::uint64_t CallRevision = 0;
  /// Changes after this revision cannot be read: the registry's history does
  /// not have it, or they exceed the size limit of an answer.
  std::uint64_t LostEra = 0;
  std::uint64_t LostRevision = 0;
  bool IsActive = true;
  bool IsCallPending = false;
  std::uint32_t Failures = 0;
  common::TimePoint NextCallAt;
  common::TimePoint CallStartedAt;
  std::string After;
  ListStart FirstPage;
  std::set<std::string> ListedNames;
  std::set<std::string> ListedZones; ///< Those that are evacuated.
};

} // namespace auburnroute::fleet

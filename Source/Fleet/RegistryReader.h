#pragma once

#include "Common/Clock.h"
#include "Fleet/FleetView.h"
#include "Fleet/RegistryCall.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace auburnroute::fleet {

/// Pace and limits of the reads. Each call has a price, so they are as rare as
/// the bound on changes allows.
struct RegistryReadTiming {
  /// Pause between two watches.
  std::chrono::milliseconds WatchPause{375};
  /// A waiting watch ends after this time, which shows that the view is
  /// current. A silent connection is noticed this late.
  std::chrono::milliseconds WatchWait{750};
  /// Another host reads when its view is older than this: the reader is gone,
  /// or out of reach.
  std::chrono::milliseconds TakeoverAge{1500};
  /// Each further host of a zone waits this much longer, so that one comes
  /// first.
  std::chrono::milliseconds TakeoverStep{200};
  static constexpr std::size_t MaxTakeoverSteps = 4;
  /// Time for an answer beyond the wait. A slow registry takes 240 ms.
  std::chrono::milliseconds AnswerTimeout{900};
  std::chrono::milliseconds InitialBackoff{200};
  std::chrono::milliseconds MaxBackoff{1600};

  /// The pace at which a change is in force everywhere within \p bound: half
  /// of it passes before a stand-in reads, a quarter for the stand-ins' order
  /// and a quarter for the answer and its way to other hosts.
  static RegistryReadTiming forBound(std::chrono::milliseconds bound);
};

/// Keeps a FleetView current by reading the registry: a list of all entries
/// first, then watches from its revision; a new list when the history is gone.
/// Decides which call comes next; sends nothing itself.
class RegistryReader {
public:
  explicit RegistryReader(FleetView &view, RegistryReadTiming timing = {})
      : View(view), Timing(timing) {}

  /// The next call, if one is due and none is under way.
  std::optional<RegistryCall> next(common::TimePoint now);
  /// When next() is due; call it then.
  common::TimePoint nextAt() const { return NextAt; }
  void onPage(const RegistryPage &page, common::TimePoint now);
  void onFailure(RegistryFailure failure, common::TimePoint now);
  /// Whether this host reads at all; a call under way is not cut off.
  void setActive(bool active) { IsActive = active; }
  const RegistryReadTiming &timing() const { return Timing; }
  /// Makes the next call due at once, as after a pause of the process.
  void scheduleNextCallAt(common::TimePoint now);

  bool isRegistryUnavailable() const { return Failures >= 2; }
  std::uint32_t failures() const { return Failures; }

private:
  enum class Step : std::uint8_t { List, NextPage, Watch };
  void finishList(common::TimePoint now);

  FleetView &View;
  RegistryReadTiming Timing;
  Step NextStep = Step::List;
  bool IsListNeeded = false; ///< The history after the view's revision is gone.
  bool IsActive = true;
  bool IsCallPending = false;
  std::uint32_t Failures = 0;
  common::TimePoint NextAt;
  common::TimePoint CallStartedAt;
  std::string After;
  std::uint64_t ListRevision = 0; ///< Of the first answer of a list.
  common::TimePoint ListStartedAt;
  std::set<std::string> ListedNames;
};

} // namespace auburnroute::fleet

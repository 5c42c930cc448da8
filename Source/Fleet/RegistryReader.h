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
struct RegistryPace {
  /// Pause between two watches.
  std::chrono::milliseconds WatchPause{375};
  /// A waiting watch ends after this time, which shows that the view is
  /// current. A silent connection is noticed this late.
  std::chrono::milliseconds WatchWait{750};
  /// Another host reads when its view is older than this: the reader is gone,
  /// or out of reach.
  std::chrono::milliseconds StandInAge{1500};
  /// Each further host of a zone waits this much longer, so that one comes
  /// first.
  std::chrono::milliseconds StandInStep{200};
  static constexpr std::size_t MaxStandInSteps = 4;
  /// Time for an answer beyond the wait. A slow registry takes 240 ms.
  std::chrono::milliseconds AnswerTime{900};
  std::chrono::milliseconds FirstBackoff{200};
  std::chrono::milliseconds LongestBackoff{1600};

  /// The pace at which a change is in force everywhere within \p bound: half
  /// of it passes before a stand-in reads, a quarter for the stand-ins' order
  /// and a quarter for the answer and its way to other hosts.
  static RegistryPace forBound(std::chrono::milliseconds bound);
};

/// Keeps a FleetView current by reading the registry: a list of all entries
/// first, then watches from its revision; a new list when the history is gone.
/// Decides which call comes next; sends nothing itself.
class RegistryReader {
public:
  explicit RegistryReader(FleetView &view, RegistryPace pace = {})
      : View(view), Pace(pace) {}

  /// The next call, if one is due and none is under way.
  std::optional<RegistryCall> next(common::TimePoint now);
  /// When next() is due; call it then.
  common::TimePoint nextAt() const { return NextAt; }
  void onPage(const RegistryPage &page, common::TimePoint now);
  void onFailure(RegistryFailure failure, common::TimePoint now);
  /// Whether this host reads at all; a call under way is not cut off.
  void setActive(bool active) { Active = active; }
  const RegistryPace &pace() const { return Pace; }
  /// Makes the next call due at once, as after a pause of the process.
  void hurry(common::TimePoint now);

  bool isAway() const { return Failures >= 2; }
  std::uint32_t failures() const { return Failures; }

private:
  enum class Step : std::uint8_t { List, NextPage, Watch };
  void finishList(common::TimePoint now);

  FleetView &View;
  RegistryPace Pace;
  Step Next = Step::List;
  bool ListNeeded = false; ///< The history after the view's revision is gone.
  bool Active = true;
  bool UnderWay = false;
  std::uint32_t Failures = 0;
  common::TimePoint NextAt;
  common::TimePoint CalledAt;
  std::string After;
  std::uint64_t BaseRevision = 0; ///< Of the first answer of a list.
  common::TimePoint BaseAt;
  std::set<std::string> Listed;
};

} // namespace auburnroute::fleet

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

/// Pace and limits of the reads.
struct RegistryPace {
  /// Pause between two watches. Each call has a price; changes have to be in
  /// force within 3 s.
  std::chrono::milliseconds WatchPause{500};
  /// A waiting watch ends after this time, which shows that the view is
  /// current. A silent connection is noticed this late.
  std::chrono::milliseconds WatchWait{1000};
  /// Time for an answer beyond the wait. A slow registry takes 240 ms.
  std::chrono::milliseconds AnswerTime{900};
  std::chrono::milliseconds FirstBackoff{200};
  std::chrono::milliseconds LongestBackoff{1600};
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
  /// Makes the next call due at once, as after a pause of the process.
  void hurry(common::TimePoint now);

  bool isReachable() const { return Failures == 0 && Answered; }
  bool isAway() const { return Failures >= 2; }
  std::uint32_t failures() const { return Failures; }

private:
  enum class Step : std::uint8_t { Configuration, Servers, Watch };
  void finishList(common::TimePoint now);

  FleetView &View;
  RegistryPace Pace;
  Step Next = Step::Configuration;
  bool Active = true;
  bool UnderWay = false;
  bool Answered = false;
  std::uint32_t Failures = 0;
  common::TimePoint NextAt;
  common::TimePoint CalledAt;
  std::string After;
  std::uint64_t BaseRevision = 0; ///< Of the first answer of a list.
  common::TimePoint BaseAt;
  std::set<std::string> Listed;
};

} // namespace auburnroute::fleet

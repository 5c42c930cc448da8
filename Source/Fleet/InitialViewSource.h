#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstdint>

namespace auburnroute::fleet {

/// Timeouts of a starting host.
struct InitialViewTiming {
  /// A host that hears of no view of a peer for this long asks the registry.
  /// Peers answer within some milliseconds; a start of all hosts is delayed by
  /// this time.
  std::chrono::milliseconds PeerAnswerTimeout{40};
  /// The registry is asked as well if a peer has not sent its view by then.
  std::chrono::milliseconds FetchTimeout{250};
  /// Views of peers that are older are used only if the registry fails or takes
  /// longer than RegistryTimeout. Such a peer may be cut off, and its view may
  /// have servers and routes that are gone.
  std::chrono::milliseconds MaxPeerViewAge{1500};
  std::chrono::milliseconds RegistryTimeout{400};
  /// In place of PeerAnswerTimeout when the fleet starts for the first time and
  /// no callers wait: some rounds of gossip, in which the views of the seeds
  /// spread.
  std::chrono::milliseconds FirstStartTimeout{3000};

  /// Timing for changes that must be in force within \p bound: a view that a
  /// host may serve with is at most half of that old.
  static InitialViewTiming forBound(std::chrono::milliseconds bound);
};

/// Decides where a starting host gets its first view from: from a peer if one
/// answers, since a registry call has a price and the registry's capacity does
/// not grow with the fleet; otherwise from the registry.
class InitialViewSource {
public:
  explicit InitialViewSource(InitialViewTiming timing = {}) : Timing(timing) {}

  /// How a host starts.
  enum class Mode : std::uint8_t {
    Restart,      ///< Peers were asked.
    WithoutPeers, ///< There was no one to ask.
    First,        ///< The fleet starts for the first time.
    FirstAsSeed,  ///< The others will ask this host.
  };

  void start(Mode mode, common::TimePoint now);
  /// A peer offers a view of \p age. Returns whether to fetch it; the caller
  /// then reports a failure.
  bool onPeerView(std::chrono::milliseconds age, common::TimePoint now);
  void onFetchFailed();
  void onRegistryFailed() { HasRegistryFailed = true; }
  /// Whether to read the registry while the host has no view.
  bool shouldAskRegistry(common::TimePoint now) const;

private:
  InitialViewTiming Timing;
  common::TimePoint StartedAt;
  Mode StartMode = Mode::WithoutPeers;
  bool IsFetching = false;
  bool HasFetchFailed = false;
  bool HasRegistryFailed = false;
};

} // namespace auburnroute::fleet

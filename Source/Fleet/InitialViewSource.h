#pragma once

#include "Common/Clock.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace auburnroute::fleet {

/// Timeouts of a starting host.
struct InitialViewTiming {
  /// A host that hears of no view of a peer for this long asks the registry.
  /// Peers answer within some milliseconds; a start of all hosts is delayed by
  /// this time.
  std::chrono::milliseconds PeerAnswerTimeout{40};
  /// The registry is asked as well if a peer has not sent its view by then. A
  /// host that may have no view, or may be down, gets no longer than this.
  std::chrono::milliseconds FetchTimeout{250};
  /// Time allowed to a host that offered its view. Transfers within an
  /// availability zone or a region take a few milliseconds.
  std::chrono::milliseconds OfferedFetchTimeout{600};
  /// Pause once all known hosts have failed; doubles up to MaxRetryPause.
  std::chrono::milliseconds InitialRetryPause{200};
  std::chrono::milliseconds MaxRetryPause{1600};
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
///
/// All hosts that restart ask the same seeds, so whole views are fetched from
/// other hosts first: those that offered theirs, then any that is known. The
/// latter may have no view, as all hosts of a zone may have started at once, so
/// each failure leads to another host, and a host that does not answer at all
/// leads to those with an offer. Each host is asked once before any is asked
/// again.
class InitialViewSource {
public:
  /// Offers kept, the youngest ones.
  static constexpr std::size_t MaxOffers = 64;

  explicit InitialViewSource(InitialViewTiming timing = {}) : Timing(timing) {}

  /// How a host starts.
  enum class Mode : std::uint8_t {
    Restart,      ///< Peers were asked.
    WithoutPeers, ///< There was no one to ask.
    First,        ///< The fleet starts for the first time.
    FirstAsSeed,  ///< The others will ask this host.
  };

  /// A view to fetch.
  struct Fetch {
    std::uint32_t Host = 0; ///< IPv4 address.
    std::chrono::milliseconds Timeout{0};
  };
  enum class FetchFailure : std::uint8_t {
    Refused, ///< The host answered without a view, or its port is closed.
    TimedOut,
  };

  void start(Mode mode, const std::vector<std::uint32_t> &seeds,
             common::TimePoint now);
  /// \p host has a complete view of \p age.
  void onOffer(std::uint32_t host, std::chrono::milliseconds age,
               common::TimePoint now);
  bool hasOffers() const { return !Offers.empty(); }
  /// The view to fetch now, unless a fetch is pending. \p hosts: the known live
  /// hosts, in the order in which they are asked. The caller reports the result
  /// and calls this again after a failure.
  std::optional<Fetch> nextFetch(std::span<const std::uint32_t> hosts,
                                 common::TimePoint now);
  /// The pending fetch succeeded with a view of \p age. Returns whether to use
  /// it: the asked host's view may be older than the views on offer.
  bool onFetched(std::chrono::milliseconds age, common::TimePoint now);
  void onFetchFailed(FetchFailure failure);
  void onRegistryFailed() { HasRegistryFailed = true; }
  /// Whether to read the registry while the host has no view.
  bool shouldAskRegistry(common::TimePoint now) const;

private:
  /// Whether a view that was current at \p freshAt may be used.
  bool isUsable(common::TimePoint freshAt, common::TimePoint now) const;
  std::optional<std::uint32_t> chooseHost(std::span<const std::uint32_t> hosts,
                                          common::TimePoint now) const;
  /// Allows all hosts to be asked again after a pause.
  void scheduleRetry(common::TimePoint now);

  InitialViewTiming Timing;
  common::TimePoint StartedAt;
  Mode StartMode = Mode::WithoutPeers;
  std::vector<std::uint32_t> Seeds;
  /// When the views on offer were current, by host.
  absl::flat_hash_map<std::uint32_t, common::TimePoint> Offers;
  absl::flat_hash_set<std::uint32_t> Asked; ///< Hosts not to ask for now.
  std::optional<Fetch> Pending;
  bool HasTimedOut = false; ///< One of the hosts in Asked.
  /// Unset while there are hosts to ask.
  std::optional<common::TimePoint> RetryAt;
  std::uint32_t Retries = 0;
  bool HasFetchFailed = false;
  bool HasRegistryFailed = false;
};

} // namespace auburnroute::fleet

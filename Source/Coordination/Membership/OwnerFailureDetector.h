#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnroute::membership {

/// Detects from packets that the admission owner of a service places no flows.
/// One instance per traffic thread.
///
/// A SYN-ACK of a backend server of the service shows that admission works. The
/// fabric spreads packets over all hosts, so a host sees about as many SYN-ACKs
/// as it hands over SYNs. A probe of the owner is requested once MinSyns SYNs
/// were handed over since the last SYN-ACK and these SYNs span at least
/// GapsToProbe mean gaps between SYN-ACKs, and at least MinSilence. Both
/// conditions are needed: the count alone is often met by chance at high rates,
/// the time alone when few SYNs arrive.
///
/// When all slots are busy, SYNs are queued and SYN-ACKs arrive at the rate at
/// which slots free up; the mean gap adapts to that rate. Silence that takes
/// longer than MaxSilence to detect is left to the heartbeats, which detect it
/// in the same time.
///
/// The detector only requests a probe; whether the host becomes suspect depends
/// on its answer (Membership::requestProbe). All calls but reset() take
/// constant time and do not allocate.
class OwnerFailureDetector {
public:
  using Duration = std::chrono::nanoseconds;

  /// SYNs without a SYN-ACK before a probe. If SYNs and SYN-ACKs are equally
  /// frequent, 8 SYNs in a row occur with a probability of 1 in 256; the time
  /// condition makes a false probe rarer.
  static constexpr std::uint32_t MinSyns = 8;
  /// If SYN-ACKs arrive at random times, a gap of 8 mean gaps or more has a
  /// probability of 1 in 3,000.
  static constexpr int GapsToProbe = 8;
  /// Longer than a handshake across zones or a short stall of a backend server.
  static constexpr Duration MinSilence = std::chrono::milliseconds(100);
  /// The default of `suspectAfter`. A longer silence restarts the count, so no
  /// probe is requested below MinSyns SYNs per second.
  static constexpr Duration MaxSilence = std::chrono::seconds(1);
  /// Time between two probes requested for a service. Doubles with each probe,
  /// up to MaxProbeInterval, until a SYN-ACK arrives, so that a service without
  /// backend servers does not load its owner with probes.
  static constexpr Duration InitialProbeInterval = std::chrono::seconds(1);
  static constexpr Duration MaxProbeInterval = std::chrono::seconds(32);

  /// Discards all state; there are \p services services from now on.
  void reset(std::size_t services);
  /// \p service has another admission owner from now on.
  void onNewOwner(std::uint32_t service);
  /// A SYN was handed over to the owner, which is another host. Returns whether
  /// to request a probe of the owner.
  bool onSyn(common::TimePoint now, std::uint32_t service);
  /// A backend server of \p service sent a SYN-ACK.
  void onSynAck(common::TimePoint now, std::uint32_t service);

private:
  struct Entry {
    common::TimePoint LastSynAck;
    common::TimePoint FirstSyn;  ///< Valid if UnansweredSyns > 0.
    common::TimePoint NextProbe; ///< No probe before.
    Duration MeanGap = MaxSilence;
    Duration ProbeInterval = InitialProbeInterval;
    /// SYNs handed over since the last SYN-ACK, or since the count was
    /// restarted after MaxSilence.
    std::uint32_t UnansweredSyns = 0;
    /// Gaps seen, at most MaxMeanDivisor. A new gap has a weight of
    /// 1 / MeanDivisor in MeanGap.
    int MeanDivisor = 0;
  };

  std::vector<Entry> Entries; ///< By service.
};

} // namespace auburnroute::membership

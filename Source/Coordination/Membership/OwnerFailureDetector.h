#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnroute::membership {

/// Notices from the packets that a service's admission owner places no flows.
/// One per traffic thread.
///
/// The sign that admission works is a SYN-ACK of one of the service's backend
/// servers. The fabric spreads packets over all hosts, so a host sees about as
/// many signs as it hands SYNs over. An owner is doubted if MinSyns SYNs were
/// handed over without a sign since, and the silence lasts as long as
/// GapsToProbe mean gaps between signs, at least MinSilence. Both conditions
/// are needed: the count alone is often met by chance at high rates, the time
/// alone when few SYNs arrive.
///
/// When all slots are busy, SYNs are held and signs come at the rate at which
/// slots free up; the mean gap follows it. Silence that takes longer than
/// MaxSilence to tell is left to the heartbeats, which need no longer.
///
/// A doubt is a question, not a verdict: Membership::requestProbe asks the
/// host. All calls are constant-time and allocate nothing, but for reset().
class OwnerFailureDetector {
public:
  using Duration = std::chrono::nanoseconds;

  /// SYNs without a sign. With as many signs as SYNs, a row of 8 has a chance
  /// of 1 in 256 to arise; the condition on time makes it rarer.
  static constexpr std::uint32_t MinSyns = 8;
  /// For signs at random times, a silence of 8 mean gaps has a chance of
  /// 1 in 3,000 per gap.
  static constexpr int GapsToProbe = 8;
  /// A handshake across zones and a backend server's short stall stay below.
  static constexpr Duration MinSilence = std::chrono::milliseconds(100);
  /// The default of `suspectAfter`. A longer silence starts the count anew, so
  /// there is never a doubt below MinSyns SYNs per second.
  static constexpr Duration MaxSilence = std::chrono::seconds(1);
  /// Time from one doubt to the next of a service; doubles with each doubt up
  /// to MaxProbeInterval until a sign is seen, so that a service without
  /// backend servers does not keep its owner busy with probes.
  static constexpr Duration InitialProbeInterval = std::chrono::seconds(1);
  static constexpr Duration MaxProbeInterval = std::chrono::seconds(32);

  /// Forgets all; there are \p services services from now on.
  void reset(std::size_t services);
  /// The owner of \p service is another host from now on.
  void onNewOwner(std::uint32_t service);
  /// A SYN was handed over to the owner, another host. Returns whether the
  /// owner is to be doubted.
  bool onSyn(common::TimePoint now, std::uint32_t service);
  /// A backend server of \p service sent a SYN-ACK.
  void onSynAck(common::TimePoint now, std::uint32_t service);

private:
  struct Entry {
    common::TimePoint LastSynAck;
    common::TimePoint
        FirstSyn; ///< Since the last sign, if SynsSinceSynAck > 0.
    common::TimePoint NextProbe; ///< No doubt before.
    Duration MeanGap = MaxSilence;
    Duration ProbeInterval = InitialProbeInterval;
    std::uint32_t SynsSinceSynAck = 0; ///< Without a sign since.
    int GapCount = 0; ///< In the mean; stops at its full weight.
  };

  std::vector<Entry> Entries; ///< By service.
};

} // namespace auburnroute::membership

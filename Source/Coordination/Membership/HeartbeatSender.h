#pragma once

#include "Common/Clock.h"
#include "Coordination/Membership/MembershipOptions.h"
#include "Coordination/Membership/PeerRecord.h"
#include "Coordination/Membership/UpdateQueue.h"
#include "Coordination/Messages/PeerMessage.h"
#include "State/HostTable.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnroute::membership {

/// Builds the heartbeats of a host and numbers its messages.
class HeartbeatSender {
public:
  /// Input for heartbeats; valid during a call only.
  struct Context {
    const HostIdentity &Self;
    const MembershipOptions &Options;
    state::HostTable &Hosts;
    PeerRecords &Peers;
    const std::vector<std::string> &Neighbours;
    messages::Heartbeat Body; ///< Common to all receivers.
  };

  HeartbeatSender(common::TimePoint now, const MembershipOptions &options);

  /// Queues the state of \p host for the heartbeats of the next rounds.
  void queueUpdate(const std::string &host) {
    PendingUpdates.push(host);
    IsEarlyRoundRequested = true;
  }
  /// Starts the next round as soon as MinRoundInterval has passed since the
  /// last one.
  void requestEarlyRound() { IsEarlyRoundRequested = true; }
  /// Makes the next round due at \p now.
  void scheduleRound(common::TimePoint now) { NextRound = now; }
  bool isRoundDue(common::TimePoint now,
                  const MembershipOptions &options) const;
  std::uint64_t nextSequence() { return ++Sequence; }
  std::uint64_t lastSequence() const { return Sequence; }

  /// Sends a heartbeat to each neighbour, to each host that waits for an
  /// answer, and to one of the endpoints that seem unreachable.
  void sendRound(common::TimePoint now, const Context &context,
                 std::vector<messages::OutgoingMessage> &out);
  /// Sends heartbeats to the hosts that wait for an answer, between rounds.
  void sendAnswers(common::TimePoint now, const Context &context,
                   std::vector<messages::OutgoingMessage> &out);
  /// Probes neighbours that were not heard from for ProbeAfter. Returns the
  /// number of probes.
  std::size_t sendProbes(common::TimePoint now, const Context &context,
                         std::vector<messages::OutgoingMessage> &out);
  void sendTo(const Context &context, state::Host &host, std::uint64_t sequence,
              const std::vector<messages::HostUpdate> &updates, bool isProbe,
              std::vector<messages::OutgoingMessage> &out);

private:
  void sendToUnreachable(const Context &context,
                         std::vector<messages::OutgoingMessage> &out);
  std::vector<messages::HostUpdate> takeUpdates(const Context &context);
  static void addSyncUpdates(const Context &context, PeerRecord &peer,
                             state::HostState peerState,
                             messages::Heartbeat &heartbeat);

  UpdateQueue PendingUpdates;
  common::TimePoint LastRound;
  common::TimePoint NextRound;
  std::uint64_t Sequence = 0;
  std::uint64_t UnreachableCursor = 0;
  bool IsEarlyRoundRequested = false;
};

} // namespace auburnroute::membership

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

/// Composes the heartbeats of a host and numbers its messages.
class HeartbeatSender {
public:
  /// What heartbeats are made from; used during a call only.
  struct Context {
    const HostIdentity &Self;
    const MembershipOptions &Options;
    state::HostTable &Hosts;
    PeerRecords &Peers;
    const std::vector<std::string> &Neighbours;
    messages::Heartbeat Body; ///< What all receivers get.
  };

  HeartbeatSender(common::TimePoint now, const MembershipOptions &options);

  /// The state of a host is news for the neighbours.
  void queueUpdate(const std::string &host) {
    PendingUpdates.push(host);
    EarlyRoundRequested = true;
  }
  /// The next round need not wait for the interval.
  void requestEarlyRound() { EarlyRoundRequested = true; }
  /// The next round is due at \p now.
  void scheduleRound(common::TimePoint now) { NextRound = now; }
  bool isRoundDue(common::TimePoint now,
                  const MembershipOptions &options) const;
  std::uint64_t nextSequence() { return ++Sequence; }
  std::uint64_t lastSequence() const { return Sequence; }

  /// One heartbeat to each neighbour, each host that waits for an answer, and
  /// one that was unreachable.
  void sendRound(common::TimePoint now, const Context &context,
                 std::vector<messages::OutgoingMessage> &out);
  /// To hosts that wait for an answer.
  void sendAnswers(common::TimePoint now, const Context &context,
                   std::vector<messages::OutgoingMessage> &out);
  /// To neighbours that have been silent. Returns how many were due.
  std::size_t sendProbes(common::TimePoint now, const Context &context,
                         std::vector<messages::OutgoingMessage> &out);
  void sendTo(const Context &context, state::Host &host, std::uint64_t sequence,
              const std::vector<messages::HostUpdate> &updates, bool probe,
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
  bool EarlyRoundRequested = false;
};

} // namespace auburnroute::membership

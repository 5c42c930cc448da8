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
  struct Source {
    const HostIdentity &Self;
    const MembershipOptions &Options;
    state::HostTable &Hosts;
    PeerRecords &Peers;
    const std::vector<std::string> &Neighbours;
    messages::Heartbeat Body; ///< What all receivers get.
  };

  HeartbeatSender(common::TimePoint now, const MembershipOptions &options);

  /// The state of a host is news for the neighbours.
  void addNews(const std::string &host) {
    News.push(host);
    EarlyWanted = true;
  }
  /// The next round need not wait for the interval.
  void hurry() { EarlyWanted = true; }
  /// The next round is due at \p now.
  void restart(common::TimePoint now) { NextRound = now; }
  bool isRoundDue(common::TimePoint now,
                  const MembershipOptions &options) const;
  std::uint64_t nextSequence() { return ++Sequence; }
  std::uint64_t lastSequence() const { return Sequence; }

  /// One heartbeat to each neighbour, each host that waits for an answer, and
  /// one that was lost.
  void sendRound(common::TimePoint now, const Source &from,
                 std::vector<messages::OutgoingMessage> &out);
  /// To hosts that wait for an answer.
  void sendAnswers(common::TimePoint now, const Source &from,
                   std::vector<messages::OutgoingMessage> &out);
  /// To neighbours that have been silent. Returns how many were due.
  std::size_t sendProbes(common::TimePoint now, const Source &from,
                         std::vector<messages::OutgoingMessage> &out);
  void sendTo(const Source &from, state::Host &host, std::uint64_t sequence,
              const std::vector<messages::HostUpdate> &news, bool probe,
              std::vector<messages::OutgoingMessage> &out);

private:
  void sendToLost(const Source &from,
                  std::vector<messages::OutgoingMessage> &out);
  std::vector<messages::HostUpdate> newsOfRound(const Source &from);
  static void addView(const Source &from, PeerRecord &peer,
                      state::HostState peerState,
                      messages::Heartbeat &heartbeat);

  UpdateQueue News;
  common::TimePoint LastRound;
  common::TimePoint NextRound;
  std::uint64_t Sequence = 0;
  std::uint64_t LostCursor = 0;
  bool EarlyWanted = false;
};

} // namespace auburnroute::membership

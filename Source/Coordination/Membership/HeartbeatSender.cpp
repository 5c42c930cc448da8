#include "Coordination/Membership/HeartbeatSender.h"

#include "Coordination/Membership/HostReport.h"

#include <algorithm>
#include <utility>

namespace auburnroute::membership {

using common::TimePoint;
using state::Host;
using state::HostState;

namespace {

// Each update is sent to each neighbour twice. Updates that are lost both times
// are recovered by the comparison of view digests.
constexpr std::uint32_t RoundsPerUpdate = 2;

messages::Introduction makeIntroduction(const HostIdentity &self) {
  return {self.Zone, self.Addresses};
}

} // namespace

HeartbeatSender::HeartbeatSender(TimePoint now,
                                 const MembershipOptions &options)
    : PendingUpdates(RoundsPerUpdate),
      LastRound(now - options.MinRoundInterval), NextRound(now) {}

bool HeartbeatSender::isRoundDue(TimePoint now,
                                 const MembershipOptions &options) const {
  return now >= NextRound ||
         (IsEarlyRoundRequested && now - LastRound >= options.MinRoundInterval);
}

void HeartbeatSender::sendRound(TimePoint now, const Context &context,
                                std::vector<messages::OutgoingMessage> &out) {
  LastRound = now;
  NextRound = now + context.Options.HeartbeatInterval;
  const auto updates = takeUpdates(context);
  IsEarlyRoundRequested = !PendingUpdates.empty();
  const auto sequence = ++Sequence;
  for (const auto &name : context.Neighbours)
    sendTo(context, *context.Hosts.find(name), sequence, updates, false, out);
  for (auto &[name, peer] : context.Peers)
    if (peer.NeedsAnswer && !peer.IsNeighbour)
      sendTo(context, *context.Hosts.find(name), sequence, updates, false, out);
  sendToUnreachable(context, out);
}

void HeartbeatSender::sendAnswers(TimePoint now, const Context &context,
                                  std::vector<messages::OutgoingMessage> &out) {
  if (now - LastRound < context.Options.MinRoundInterval)
    return;
  std::uint64_t sequence = 0;
  for (auto &[name, peer] : context.Peers) {
    if (!peer.NeedsAnswer)
      continue;
    if (sequence == 0)
      sequence = ++Sequence;
    sendTo(context, *context.Hosts.find(name), sequence, {}, false, out);
  }
}

std::size_t
HeartbeatSender::sendProbes(TimePoint now, const Context &context,
                            std::vector<messages::OutgoingMessage> &out) {
  std::size_t sent = 0;
  for (const auto &name : context.Neighbours) {
    auto &host = *context.Hosts.find(name);
    auto &peer = context.Peers[name];
    if (isDown(host.State) ||
        now - host.LastHeard < context.Options.ProbeAfter ||
        now - peer.NeighbourSince < context.Options.ProbeAfter ||
        now - peer.LastProbe < context.Options.MinRoundInterval)
      continue;
    peer.LastProbe = now;
    ++sent;
    sendTo(context, host, ++Sequence, {}, true, out);
  }
  return sent;
}

// Sends to one endpoint per round, in turn, of the dead hosts and of the seeds
// that belong to no living host: after a partition each side considers the
// hosts of the other dead. A host that knows no other host yet tries all seeds
// at once.
void HeartbeatSender::sendToUnreachable(
    const Context &context, std::vector<messages::OutgoingMessage> &out) {
  std::vector<common::Endpoint> unreachable;
  std::vector<common::Endpoint> reachable{context.Self.Addresses.Peer};
  for (const auto &[name, host] : context.Hosts) {
    const auto &endpoint = host.Addresses.Peer;
    if (host.State == HostState::Dead && isKnown(endpoint))
      unreachable.push_back(endpoint);
    else if (host.Incarnation != 0)
      reachable.push_back(endpoint);
  }
  for (const auto &seed : context.Options.Seeds)
    if (std::find(reachable.begin(), reachable.end(), seed) == reachable.end())
      unreachable.push_back(seed);
  if (unreachable.empty())
    return;
  auto body = context.Body;
  body.Intro = makeIntroduction(context.Self);
  const bool isAlone = reachable.size() == 1;
  for (std::size_t n = isAlone ? unreachable.size() : 1; n > 0; --n)
    out.push_back(
        {unreachable[UnreachableCursor++ % unreachable.size()],
         {context.Self.Name, context.Self.Incarnation, ++Sequence, body}});
}

void HeartbeatSender::sendTo(const Context &context, Host &host,
                             std::uint64_t sequence,
                             const std::vector<messages::HostUpdate> &updates,
                             bool isProbe,
                             std::vector<messages::OutgoingMessage> &out) {
  auto &peer = context.Peers[host.Name];
  peer.NeedsAnswer = false;
  if (!isKnown(host.Addresses.Peer))
    return;
  auto body = context.Body;
  body.EchoIncarnation = low32Bits(peer.HeardIncarnation);
  body.EchoSequence = peer.HeardSequence;
  body.IsAnswer = !peer.IsNeighbour;
  body.IsProbe = isProbe;
  if (!peer.HasEchoed)
    body.Intro = makeIntroduction(context.Self);
  body.Updates = updates;
  if (peer.ViewDiffers)
    addSyncUpdates(context, peer, host.State, body);
  out.push_back({host.Addresses.Peer,
                 {context.Self.Name, context.Self.Incarnation, sequence,
                  std::move(body)}});
}

std::vector<messages::HostUpdate>
HeartbeatSender::takeUpdates(const Context &context) {
  std::vector<messages::HostUpdate> out;
  for (const auto &name :
       PendingUpdates.takeRound(context.Options.MaxUpdatesPerHeartbeat))
    if (const auto *host = context.Hosts.find(name); host != nullptr)
      out.push_back(makeUpdate(*host));
  return out;
}

void HeartbeatSender::addSyncUpdates(const Context &context, PeerRecord &peer,
                                     HostState peerState,
                                     messages::Heartbeat &heartbeat) {
  const auto limit =
      std::min(context.Hosts.size(), peerState == HostState::Joining
                                         ? context.Options.MaxJoinUpdates
                                         : context.Options.MaxSyncUpdates);
  auto next = context.Hosts.after(peer.SyncCursor);
  for (std::size_t n = 0; n < limit; ++n) {
    if (next == context.Hosts.end())
      next = context.Hosts.begin();
    if (next->first != context.Self.Name)
      heartbeat.Updates.push_back(makeUpdate(next->second));
    peer.SyncCursor = next->first;
    ++next;
  }
}

} // namespace auburnroute::membership

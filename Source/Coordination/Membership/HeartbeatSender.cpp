#include "Coordination/Membership/HeartbeatSender.h"

#include "Coordination/Membership/HostReport.h"

#include <algorithm>
#include <utility>

namespace auburnroute::membership {

using common::TimePoint;
using state::Host;
using state::HostState;

namespace {

// News goes to each neighbour twice; what is lost both times is found by the
// comparison of view digests.
constexpr std::uint32_t NewsRounds = 2;

messages::Introduction introductionOf(const HostIdentity &self) {
  return {self.Zone, self.Addresses};
}

} // namespace

HeartbeatSender::HeartbeatSender(TimePoint now,
                                 const MembershipOptions &options)
    : News(NewsRounds), LastRound(now - options.EarlyInterval), NextRound(now) {
}

bool HeartbeatSender::isRoundDue(TimePoint now,
                                 const MembershipOptions &options) const {
  return now >= NextRound ||
         (EarlyWanted && now - LastRound >= options.EarlyInterval);
}

void HeartbeatSender::sendRound(TimePoint now, const Source &from,
                                std::vector<messages::OutgoingMessage> &out) {
  LastRound = now;
  NextRound = now + from.Options.HeartbeatInterval;
  const auto news = newsOfRound(from);
  EarlyWanted = !News.empty();
  const auto sequence = ++Sequence;
  for (const auto &name : from.Neighbours)
    sendTo(from, *from.Hosts.find(name), sequence, news, false, out);
  for (auto &[name, peer] : from.Peers)
    if (peer.AnswerDue && !peer.Watched)
      sendTo(from, *from.Hosts.find(name), sequence, news, false, out);
  sendToLost(from, out);
}

void HeartbeatSender::sendAnswers(TimePoint now, const Source &from,
                                  std::vector<messages::OutgoingMessage> &out) {
  if (now - LastRound < from.Options.EarlyInterval)
    return;
  std::uint64_t sequence = 0;
  for (auto &[name, peer] : from.Peers) {
    if (!peer.AnswerDue)
      continue;
    if (sequence == 0)
      sequence = ++Sequence;
    sendTo(from, *from.Hosts.find(name), sequence, {}, false, out);
  }
}

std::size_t
HeartbeatSender::sendProbes(TimePoint now, const Source &from,
                            std::vector<messages::OutgoingMessage> &out) {
  std::size_t sent = 0;
  for (const auto &name : from.Neighbours) {
    auto &host = *from.Hosts.find(name);
    auto &peer = from.Peers[name];
    if (isDown(host.State) || now - host.LastHeard < from.Options.ProbeAfter ||
        now - peer.WatchedSince < from.Options.ProbeAfter ||
        now - peer.LastProbe < from.Options.EarlyInterval)
      continue;
    peer.LastProbe = now;
    ++sent;
    sendTo(from, host, ++Sequence, {}, true, out);
  }
  return sent;
}

// Dead hosts and seeds that no living host answers for take turns, one per
// round: after a partition both sides hold each other for dead. A host that
// knows nobody yet tries all seeds.
void HeartbeatSender::sendToLost(const Source &from,
                                 std::vector<messages::OutgoingMessage> &out) {
  std::vector<common::Endpoint> lost;
  std::vector<common::Endpoint> found{from.Self.Addresses.Peer};
  for (const auto &[name, host] : from.Hosts) {
    const auto &endpoint = host.Addresses.Peer;
    if (host.State == HostState::Dead && known(endpoint))
      lost.push_back(endpoint);
    else if (host.Incarnation != 0)
      found.push_back(endpoint);
  }
  for (const auto &it : from.Options.Seeds)
    if (std::find(found.begin(), found.end(), it) == found.end())
      lost.push_back(it);
  if (lost.empty())
    return;
  auto body = from.Body;
  body.Intro = introductionOf(from.Self);
  const bool alone = found.size() == 1;
  for (std::size_t n = alone ? lost.size() : 1; n > 0; --n)
    out.push_back({lost[LostCursor++ % lost.size()],
                   {from.Self.Name, from.Self.Incarnation, ++Sequence, body}});
}

void HeartbeatSender::sendTo(const Source &from, Host &host,
                             std::uint64_t sequence,
                             const std::vector<messages::HostUpdate> &news,
                             bool probe,
                             std::vector<messages::OutgoingMessage> &out) {
  auto &peer = from.Peers[host.Name];
  peer.AnswerDue = false;
  if (!known(host.Addresses.Peer))
    return;
  auto body = from.Body;
  body.EchoIncarnation = lowBits(peer.HeardIncarnation);
  body.EchoSequence = peer.HeardSequence;
  body.Answer = !peer.Watched;
  body.Probe = probe;
  if (!peer.KnowsMe)
    body.Intro = introductionOf(from.Self);
  body.Updates = news;
  if (peer.ViewDiffers)
    addView(from, peer, host.State, body);
  out.push_back(
      {host.Addresses.Peer,
       {from.Self.Name, from.Self.Incarnation, sequence, std::move(body)}});
}

std::vector<messages::HostUpdate>
HeartbeatSender::newsOfRound(const Source &from) {
  std::vector<messages::HostUpdate> out;
  for (const auto &name : News.takeRound(from.Options.MaxUpdates))
    if (const auto *host = from.Hosts.find(name); host != nullptr)
      out.push_back(updateOf(*host));
  return out;
}

void HeartbeatSender::addView(const Source &from, PeerRecord &peer,
                              HostState peerState,
                              messages::Heartbeat &heartbeat) {
  const auto limit =
      std::min(from.Hosts.size(), peerState == HostState::Joining
                                      ? from.Options.MaxJoinUpdates
                                      : from.Options.MaxViewUpdates);
  auto it = from.Hosts.after(peer.ViewCursor);
  for (std::size_t n = 0; n < limit; ++n) {
    if (it == from.Hosts.end())
      it = from.Hosts.begin();
    if (it->first != from.Self.Name)
      heartbeat.Updates.push_back(updateOf(it->second));
    peer.ViewCursor = it->first;
    ++it;
  }
}

} // namespace auburnroute::membership

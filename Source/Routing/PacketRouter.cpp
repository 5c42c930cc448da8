#include "Routing/PacketRouter.h"

#include "absl/hash/hash.h"

#include <limits>
#include <span>

namespace auburnroute::routing {

using common::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Callers give up on a connection attempt 1.4 s after the first SYN.
constexpr milliseconds SynLifetime{1500};
/// Under a verdict, requests of one in this many flows are forwarded all the
/// same: a server that answers one of them is alive, and its flows are reset no
/// more.
constexpr std::uint32_t FlowsPerProbe = 4;
/// Matches no service of the directory.
constexpr auto NoService = std::numeric_limits<NameTable::Id>::max();
/// How long unknown tags are kept, so that their number is bounded.
constexpr milliseconds UnknownTagMemory{2000};

} // namespace

std::string_view toString(RefusalReason refusal) {
  switch (refusal) {
  case RefusalReason::NoConfiguration:
    return "no_configuration";
  case RefusalReason::NoRoute:
    return "no_route";
  case RefusalReason::RouteRemoved:
    return "route_removed";
  case RefusalReason::UnknownRoute:
    return "unknown_route";
  case RefusalReason::NoServer:
    return "no_server";
  case RefusalReason::UnknownServer:
    return "unknown_server";
  case RefusalReason::ServerGone:
    return "server_gone";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::Malformed:
    return "malformed";
  case RefusalReason::Count:
    break;
  }
  return "invalid";
}

std::string_view toString(EndReason reason) {
  switch (reason) {
  case EndReason::None:
    return "none";
  case EndReason::AddressTaken:
    return "address_taken";
  case EndReason::LapsedAndSilent:
    return "lapsed_and_silent";
  case EndReason::Verdict:
    return "verdict";
  }
  return "invalid";
}

RoutingOutcome PacketRouter::onPacket(const FlowPacket &packet, TimePoint now) {
  const FlowId id{packet.Source, packet.Destination};
  if (Routes.version() == 0)
    return refuse({.Flow = id,
                   .Why = RefusalReason::NoConfiguration,
                   .IsDropped = true,
                   .IsSyn = packet.Syn});
  if (const auto *route = Routes.find(packet.Destination)) {
    if (packet.Syn && !packet.Ack)
      return onSyn(*route, packet, now);
    return onFlowPacket(*route, packet, now);
  }
  return onPacketWithoutRoute(packet, now);
}

RoutingOutcome PacketRouter::onPacketWithoutRoute(const FlowPacket &packet,
                                                  TimePoint now) {
  RefusedPacket refused{.Flow = {packet.Source, packet.Destination},
                        .Why = RefusalReason::NoRoute,
                        .IsDropped = packet.Rst,
                        .IsSyn = packet.Syn,
                        .Tag = packet.Echo};
  if (packet.Rst || packet.Syn)
    return refuse(refused);
  if (Routes.wasRemoved(packet.Destination)) {
    refused.Why = RefusalReason::RouteRemoved;
    return refuse(refused);
  }
  // A host with a later configuration has opened the flow. The tag alone says
  // where it belongs; without a route, no service is preferred.
  const auto *server = Directory.findByTag(packet.Echo, NoService);
  if (server != nullptr && !endOf(*server, now))
    return ForwardPacket{Directory.idOf(*server), packet.Echo};
  refused.Why = RefusalReason::UnknownRoute;
  refused.IsDropped = true;
  return refuse(refused);
}

RoutingOutcome PacketRouter::refuse(const RefusedPacket &packet) {
  Observer.onRefused(packet);
  if (packet.IsDropped)
    return DropPacket{packet.Why};
  return ResetFlow{packet.Why};
}

NameTable::Id PacketRouter::serviceOf(const Route &route, const FlowId &id) {
  std::uint64_t total = 0;
  for (const auto &it : route.Services)
    total += it.Weight;
  auto rest = total == 0 ? 0 : absl::HashOf(id) % total;
  for (const auto &it : route.Services) {
    if (rest < it.Weight)
      return Directory.serviceNames().idOf(it.Service);
    rest -= it.Weight;
  }
  return Directory.serviceNames().idOf(route.Services.front().Service);
}

void PacketRouter::recordRetransmission(ServerId server, SuspicionReason why,
                                        const FlowId &id, TimePoint sentAt,
                                        TimePoint now) {
  // The run before did not answer it.
  if (sentAt < Directory.at(server).RunSeenAt)
    return;
  if (Health.onRetransmission(server, why, id.Caller.Address, sentAt, now))
    Observer.onSuspected(
        id, server, why,
        std::chrono::duration_cast<milliseconds>(now - sentAt));
}

void PacketRouter::recordAnswer(ServerId server, TimePoint sentAt,
                                TimePoint now) {
  const bool wasSuspect = Health.isSuspect(server, now);
  Health.onAnswer(server, Directory.at(server).Zone, sentAt, now);
  if (wasSuspect)
    Observer.onSuspicionCleared(server);
}

RoutingOutcome PacketRouter::onSyn(const Route &route, const FlowPacket &packet,
                                   TimePoint now) {
  const FlowId id{packet.Source, packet.Destination};
  PendingSyn untracked;
  auto &pending =
      PendingSyns.size() < MaxPendingSyns || PendingSyns.contains(id)
          ? PendingSyns[id]
          : untracked;
  if (packet.Acknowledgement == 0 ||
      pending.TriedServers.size() == MaxTriedServers ||
      now - pending.LastSent > SynLifetime)
    pending.TriedServers.clear();
  else if (const auto *flow = Flows.find(id);
           flow != nullptr && flow->Phase == FlowPhase::Opening &&
           !flow->IsSynReported)
    recordRetransmission(flow->Server, SuspicionReason::SynUnanswered, id,
                         flow->LastSeen, now);
  const auto service = serviceOf(route, id);
  // Copies follow an admitted SYN, which a server may have answered.
  if (Admission != nullptr && packet.Acknowledgement == 0 &&
      !Admission->admits(id, route, service, now)) {
    PendingSyns.erase(id);
    return refuse({.Flow = id,
                   .Why = RefusalReason::Overloaded,
                   .IsSyn = true,
                   .Service = service});
  }
  const auto server = PlacementPolicy.choose(
      service, std::span<const ServerId>(pending.TriedServers), UsesLapsed,
      now);
  if (!server) {
    PendingSyns.erase(id);
    return refuse({.Flow = id,
                   .Why = RefusalReason::NoServer,
                   .IsSyn = true,
                   .Service = service});
  }
  pending.TriedServers.push_back(*server);
  pending.LastSent = now;
  Flows.onSyn(id, *server, packet, now);
  if (Outcomes != nullptr)
    Outcomes->onSyn(id, *server, packet, now);
  Observer.onPlaced(id, *server, packet.Acknowledgement);
  return ForwardPacket{*server, Directory.at(*server).Tag};
}

ServerEnd PacketRouter::endOf(const KnownServer &server, TimePoint now) {
  const auto id = Directory.idOf(server);
  const auto endBy = [&](EndReason reason) {
    const auto &activity = Health.activity(id);
    ServerEnd end{.Reason = reason,
                  .RequestCount = activity.RetransmittedRequests,
                  .SynCount = activity.RetransmissionCount -
                              activity.RetransmittedRequests};
    if (activity.RetransmissionCount > 0)
      end.Silence = std::chrono::duration_cast<milliseconds>(
          now - activity.FirstUnansweredAt);
    return end;
  };
  if (Health.isDead(id, now))
    return endBy(EndReason::Verdict);
  if (server.Registration.State != ServerState::Lapsed)
    return {};
  if (server.IsAddressReused)
    return endBy(EndReason::AddressTaken);
  // The entry alone shows nothing: it also expires while the registry is away,
  // and a server that drains may serve on for many seconds.
  return Health.isSilent(id, server.Zone, now)
             ? endBy(EndReason::LapsedAndSilent)
             : ServerEnd();
}

bool PacketRouter::mayProbe(const ServerEnd &end, const Route &route,
                            const FlowId &id) {
  if (end.Reason != EndReason::Verdict)
    return false;
  // The first copy of a request: later ones would wait for the caller's
  // timeout.
  const auto *flow = Flows.find(id);
  if (flow == nullptr || flow->RetransmissionCount > 0)
    return false;
  // A reset gains the caller of a non-idempotent request nothing.
  return route.Kind == RequestKind::NonIdempotent ||
         (id.Caller.Address + id.Caller.Port) % FlowsPerProbe == 0;
}

RoutingOutcome PacketRouter::onFlowPacket(const Route &route,
                                          const FlowPacket &packet,
                                          TimePoint now) {
  const FlowId id{packet.Source, packet.Destination};
  const auto service = serviceOf(route, id);
  const auto *server = Directory.findByTag(packet.Echo, service);
  if (server == nullptr)
    return onUnknownTag(id, service, packet, now);
  const auto serverId = Directory.idOf(*server);
  PendingSyns.erase(id);
  if (Outcomes != nullptr)
    Outcomes->onPacket(id, serverId, packet, now);
  const auto *known = Flows.find(id);
  const auto sentAt = known == nullptr ? now : known->PhaseSince;
  const bool wasBusy = known != nullptr && known->Phase == FlowPhase::Busy;
  const bool wasOpening =
      known != nullptr && known->Phase == FlowPhase::Opening;
  const bool isHandshake = wasOpening && known->Server == serverId;
  switch (Flows.onPacket(id, serverId, packet, now, route.Timeout)) {
  case FlowEvent::Answered:
    recordAnswer(serverId, wasBusy || wasOpening ? sentAt : TimePoint(), now);
    if (isHandshake && Delays != nullptr)
      Delays->onHandshake(server->Zone, now - sentAt);
    if (wasBusy)
      Observer.onAnswered(
          id, serverId, std::chrono::duration_cast<milliseconds>(now - sentAt),
          route.Objective);
    break;
  case FlowEvent::Retransmitted:
    recordRetransmission(serverId, SuspicionReason::DataUnanswered, id, sentAt,
                         now);
    break;
  case FlowEvent::RetransmittedAgain:
    Health.onSecondRetransmission(serverId);
    break;
  case FlowEvent::None:
    break;
  }
  // A reset lets the caller retry on a new flow at once instead of waiting for
  // a timeout.
  if (packet.PayloadSize > 0)
    if (const auto end = endOf(*server, now);
        end && !mayProbe(end, route, id)) {
      Flows.erase(id);
      return refuse({.Flow = id,
                     .Why = RefusalReason::ServerGone,
                     .Service = service,
                     .Server = serverId,
                     .Tag = packet.Echo,
                     .End = end});
    }
  return ForwardPacket{serverId, packet.Echo};
}

std::vector<FlowPacket> PacketRouter::abandonFlowsOf(ServerId server,
                                                     TimePoint now) {
  std::vector<FlowPacket> abandoned;
  const auto end = endOf(Directory.at(server), now);
  // An answer may have refuted the verdict since.
  if (!end)
    return abandoned;
  for (const auto &[id, acknowledged] : Flows.busyFlowsOf(server)) {
    const auto *route = Routes.find(id.Service);
    if (route == nullptr || route->Kind == RequestKind::NonIdempotent)
      continue;
    Flows.erase(id);
    refuse({.Flow = id,
            .Why = RefusalReason::ServerGone,
            .Service = serviceOf(*route, id),
            .Server = server,
            .Tag = Directory.at(server).Tag,
            .End = end});
    FlowPacket packet;
    packet.Source = id.Caller;
    packet.Destination = id.Service;
    packet.Acknowledgement = acknowledged;
    abandoned.push_back(packet);
  }
  return abandoned;
}

RoutingOutcome PacketRouter::onUnknownTag(const FlowId &id,
                                          NameTable::Id service,
                                          const FlowPacket &packet,
                                          TimePoint now) {
  // A directory that lacks the server does not show that it has ended: its
  // entry may have expired while the registry was away.
  if (packet.Echo != ServerTag::None && (UnknownTags.size() < MaxUnknownTags ||
                                         UnknownTags.contains(packet.Echo))) {
    auto &tag = UnknownTags[packet.Echo];
    tag.LastSeen = now;
    if (!tag.IsListed && now - tag.TakenAt >= TagRetryInterval) {
      tag.IsListed = true;
      NewUnknownTags.push_back(packet.Echo);
    }
  }
  return refuse({.Flow = id,
                 .Why = RefusalReason::UnknownServer,
                 .IsDropped = true,
                 .Service = service,
                 .Tag = packet.Echo});
}

std::vector<std::uint32_t> PacketRouter::takeUnknownTags(std::size_t limit,
                                                         TimePoint now) {
  std::vector<std::uint32_t> tags;
  std::erase_if(NewUnknownTags, [&](std::uint32_t tag) {
    const auto it = UnknownTags.find(tag);
    if (it == UnknownTags.end())
      return true;
    if (tags.size() == limit)
      return false;
    it->second.TakenAt = now;
    it->second.IsListed = false;
    tags.push_back(tag);
    return true;
  });
  return tags;
}

void PacketRouter::checkOpeningFlows(TimePoint now) {
  for (const auto &it : Flows.takeUnansweredSyns(now))
    recordRetransmission(it.Server, SuspicionReason::SynUnanswered, it.Flow,
                         it.SentAt, now);
}

void PacketRouter::discardEvidence(TimePoint now) {
  Flows.discardPending(now);
  if (Outcomes != nullptr)
    Outcomes->discard(now);
  Health.discardEvidence();
}

void PacketRouter::onTick(TimePoint now) {
  absl::erase_if(UnknownTags, [&](const auto &it) {
    return now - it.second.LastSeen > UnknownTagMemory;
  });
  Flows.expire(now, Routes.configuration().IdleTimeout);
  absl::erase_if(PendingSyns, [&](const auto &it) {
    return now - it.second.LastSent > SynLifetime;
  });
}

} // namespace auburnroute::routing

#include "Coordination/Forwarding/ForwardingEngine.h"

#include "Common/Invariant.h"
#include "Coordination/Forwarding/FlowTag.h"
#include "Coordination/Forwarding/HashPlacement.h"

#include <unordered_map>

namespace auburnroute::forwarding {

using state::Cause;

void ForwardingEngine::setTable(
    std::shared_ptr<const state::ServiceTable> table) {
  common::invariant(table != nullptr,
                    "ForwardingEngine::setTable: the table must not be null");
  std::vector<std::optional<std::uint32_t>> last(
      table->backendServers().size());
  if (Table) {
    // Ids change between revisions, so match servers by address.
    std::unordered_map<std::uint32_t, std::optional<std::uint32_t>> byAddress;
    for (const auto &it : Table->backendServers())
      byAddress[it.Address] = LastTimestamp[it.Id];
    for (const auto &it : table->backendServers())
      if (const auto n = byAddress.find(it.Address); n != byAddress.end())
        last[it.Id] = n->second;
  }
  LastTimestamp = std::move(last);
  Table = std::move(table);
}

Outcome ForwardingEngine::onPacket(const PacketSummary &packet) {
  if (!Table)
    return Drop{Cause::NoSettings};
  return Table->findListener(packet.Destination) != nullptr
             ? onCallerPacket(packet)
             : onBackendServerPacket(packet);
}

Outcome ForwardingEngine::onCallerPacket(const PacketSummary &packet) {
  if (!Table)
    return Drop{Cause::NoSettings};
  const auto *listener = Table->findListener(packet.Destination);
  if (listener == nullptr)
    return Drop{Cause::UnknownAddress};
  if (packet.SynAck)
    return Drop{Cause::BadHeader};
  if (packet.Syn)
    return onSyn(*listener, packet);
  const FlowKey key{packet.Source, packet.Destination};
  if (!packet.HasTimestamps) {
    const auto *server = listener->Timestamps == state::TimestampMode::Hash
                             ? chooseByHash(listener->Service, key)
                             : nullptr;
    return server == nullptr ? Outcome{Drop{Cause::MissingTag}}
                             : forwardTo(*server, *listener, packet, 0);
  }
  // With ACK, every value is a valid echo, 0 included. Without ACK, the field
  // is 0 and there is no echo.
  if (!packet.Ack && packet.TimestampEcho == 0)
    return Drop{Cause::MissingTag};
  const auto number = FlowTag::decode(key, FlowTag::tagOf(packet.TimestampEcho),
                                      Table->flowSeed());
  const auto *server = Table->findBackendServer(listener->Service, number);
  if (server == nullptr)
    return Drop{Cause::UnknownTag};
  return forwardTo(*server, *listener, packet, echoFor(server->Id, packet));
}

Outcome ForwardingEngine::onSyn(const state::ListenerEntry &listener,
                                const PacketSummary &packet) const {
  // A spoofed source: replies would be sent to a service or backend server
  // address and be handled as packets from a caller.
  if (Table->findListener(packet.Source) != nullptr ||
      Table->findSource(packet.Source).BackendServer != nullptr)
    return Drop{Cause::BadHeader};
  if (packet.HasTimestamps)
    return HandOver{listener.Service};
  if (listener.Timestamps != state::TimestampMode::Hash)
    return Refuse{listener.Service, Cause::MissingTimestamps};
  const auto *server =
      chooseByHash(listener.Service, {packet.Source, packet.Destination});
  if (server == nullptr)
    return Refuse{listener.Service, Cause::NoBackendServer};
  if (server->Mode == state::BackendServerMode::Draining)
    return Refuse{listener.Service, Cause::BackendServerDraining};
  return forwardTo(*server, listener, packet, 0);
}

Outcome ForwardingEngine::onBackendServerPacket(const PacketSummary &packet) {
  if (!Table)
    return Drop{Cause::NoSettings};
  const auto source = Table->findSource(packet.Source);
  if (source.BackendServer == nullptr)
    return Drop{Cause::UnknownSource};
  const auto &server = *source.BackendServer;
  const auto &listener = *source.Listener;
  common::invariant(
      server.Service == listener.Service,
      "a reply must be sent from an address of its backend server's service");
  if (packet.Syn)
    return Drop{Cause::BadHeader};
  const FlowKey key{packet.Destination, listener.Address};
  // Without timestamps, the caller's next packets carry no tag and would not
  // reach this server, unless it is the one that the hash selects.
  if (packet.SynAck && !packet.HasTimestamps &&
      (listener.Timestamps != state::TimestampMode::Hash ||
       chooseByHash(server.Service, key) != &server))
    return Drop{Cause::MissingTimestamps};
  ForwardToCaller forward;
  forward.BackendServer = server.Id;
  forward.Service = server.Service;
  forward.Number = server.Number;
  forward.Source = listener.Address;
  forward.EndsFlow = packet.Fin || packet.Rst;
  if (packet.HasTimestamps) {
    LastTimestamp[server.Id] = packet.TimestampValue;
    forward.TimestampValue = FlowTag::tagValue(
        packet.TimestampValue,
        FlowTag::encode(key, server.Number, Table->flowSeed()));
  }
  return forward;
}

Outcome ForwardingEngine::forwardSyn(std::uint32_t service,
                                     std::uint16_t number,
                                     const PacketSummary &packet) const {
  if (!Table)
    return Drop{Cause::NoSettings};
  const auto *listener = Table->findListener(packet.Destination);
  if (listener == nullptr || listener->Service != service)
    return Drop{Cause::UnknownAddress};
  const auto *server = Table->findBackendServer(service, number);
  if (server == nullptr)
    return Drop{Cause::NoBackendServer};
  return forwardTo(*server, *listener, packet, packet.TimestampEcho);
}

Outcome ForwardingEngine::forwardTo(const state::BackendServerEntry &server,
                                    const state::ListenerEntry &listener,
                                    const PacketSummary &packet,
                                    std::uint32_t echo) const {
  common::invariant(
      server.Service == listener.Service &&
          listener.Address == packet.Destination,
      "a packet must be forwarded to a backend server of the service that "
      "it is addressed to");
  return ForwardToBackendServer{
      server.Id, server.Tunnel,    {server.Address, listener.BackendPort},
      echo,      listener.Service, packet.Rst};
}

std::uint32_t ForwardingEngine::echoFor(std::uint32_t server,
                                        const PacketSummary &packet) const {
  const auto &last = LastTimestamp[server];
  return last ? FlowTag::restoreEcho(packet.TimestampEcho, *last) : 0;
}

const state::BackendServerEntry *
ForwardingEngine::chooseByHash(std::uint32_t service,
                               const FlowKey &key) const {
  return HashPlacement::choose(Table->backendServersOf(service),
                               key.hash(Table->flowSeed()));
}

} // namespace auburnroute::forwarding

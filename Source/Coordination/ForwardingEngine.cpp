#include "Coordination/ForwardingEngine.h"

#include "Coordination/FlowTag.h"

#include <unordered_map>

namespace auburnroute::coordination {

using state::Cause;

void ForwardingEngine::setTable(
    std::shared_ptr<const state::ServiceTable> table) {
  std::vector<std::uint32_t> last(table->backendServers().size(), 0);
  if (Table) {
    // Ids change with the settings; addresses identify servers across them.
    std::unordered_map<std::uint32_t, std::uint32_t> byAddress;
    for (const auto &it : Table->backendServers())
      byAddress[it.Address] = LastTimestamp[it.Id];
    for (const auto &it : table->backendServers())
      if (const auto n = byAddress.find(it.Address); n != byAddress.end())
        last[it.Id] = n->second;
  }
  LastTimestamp = std::move(last);
  Table = std::move(table);
}

Outcome ForwardingEngine::onCallerPacket(const PacketSummary &packet) {
  if (!Table)
    return Drop{Cause::NoSettings};
  const auto *listener = Table->findListener(packet.Destination);
  if (listener == nullptr)
    return Drop{Cause::UnknownAddress};
  if (packet.Syn) {
    if (!packet.HasTimestamps)
      return Refuse{listener->Service, Cause::MissingTimestamps};
    return HandOver{listener->Service};
  }
  if (!packet.HasTimestamps || packet.TimestampEcho == 0)
    return Drop{Cause::MissingTag};
  const FlowKey key{packet.Source, packet.Destination};
  const auto number = FlowTag::decode(key, FlowTag::tagOf(packet.TimestampEcho),
                                      Table->flowSeed());
  const auto *server = Table->findBackendServer(listener->Service, number);
  if (server == nullptr)
    return Drop{Cause::UnknownTag};
  return ForwardToBackendServer{
      server->Id,
      server->Tunnel,
      {server->Address, listener->BackendPort},
      FlowTag::restoreEcho(packet.TimestampEcho, LastTimestamp[server->Id]),
      listener->Service,
      packet.Rst};
}

Outcome ForwardingEngine::onBackendServerPacket(const PacketSummary &packet) {
  if (!Table)
    return Drop{Cause::NoSettings};
  const auto source = Table->findSource(packet.Source);
  if (source.BackendServer == nullptr)
    return Drop{Cause::UnknownSource};
  const auto &server = *source.BackendServer;
  const auto &listener = *source.Listener;
  ForwardToCaller forward;
  forward.BackendServer = server.Id;
  forward.Service = server.Service;
  forward.Number = server.Number;
  forward.Source = listener.Address;
  forward.EndsFlow = packet.Fin || packet.Rst;
  if (packet.HasTimestamps) {
    LastTimestamp[server.Id] = packet.TimestampValue;
    const FlowKey key{packet.Destination, listener.Address};
    forward.TimestampValue = FlowTag::tagValue(
        packet.TimestampValue,
        FlowTag::encode(key, server.Number, Table->flowSeed()));
  }
  return forward;
}

Outcome ForwardingEngine::forwardSyn(std::uint32_t service,
                                     std::uint16_t number,
                                     const PacketSummary &packet) const {
  const auto *listener = Table->findListener(packet.Destination);
  const auto *server = Table->findBackendServer(service, number);
  if (listener == nullptr || server == nullptr)
    return Drop{Cause::UnknownAddress};
  return ForwardToBackendServer{server->Id,
                                server->Tunnel,
                                {server->Address, listener->BackendPort},
                                packet.TimestampEcho,
                                service};
}

} // namespace auburnroute::coordination

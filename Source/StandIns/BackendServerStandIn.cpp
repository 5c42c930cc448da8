#include "StandIns/BackendServerStandIn.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace auburnroute::standins {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds PushInterval{200};
// Hosts must send a draining server no new connections after this time.
constexpr milliseconds DrainGracePeriod{3000};
constexpr std::uint32_t MaxWorkMs = 60000;

const char *stateName(BackendServerBehaviour behaviour) {
  switch (behaviour) {
  case BackendServerBehaviour::Draining:
    return "draining";
  case BackendServerBehaviour::Shedding:
    return "shedding";
  default:
    return "active";
  }
}

} // namespace

BackendServerStandIn::BackendServerStandIn(const state::Service &service,
                                           const state::BackendServer &server,
                                           std::uint64_t seed)
    : ServiceName(service.Name), Name(server.Name), SlotCount(server.Slots),
      Tcp(seed), Requests(server.Slots) {
  for (const auto &listener : service.Listeners) {
    const common::Endpoint local{server.Address, listener.BackendPort};
    Endpoints[local] = listener.Kind;
    Tcp.listen(local);
  }
}

void BackendServerStandIn::onDatagram(common::TimePoint now,
                                      std::span<std::byte> datagram) {
  protocol::PacketView view;
  const bool valid = view.parse(datagram) == state::Cause::None;
  if (Behaviour == BackendServerBehaviour::Dead) {
    if (valid && view.isSyn())
      ++Observed.SynsWhileDead;
    return;
  }
  if (valid && !Endpoints.contains(view.destination())) {
    ++Observed.WrongServicePackets;
    return;
  }
  Tcp.onDatagram(now, datagram);
  handleEvents(now);
}

void BackendServerStandIn::onTimer(common::TimePoint now) {
  if (Behaviour == BackendServerBehaviour::Dead)
    return;
  Tcp.onTimer(now);
  handleEvents(now);
  processRequests(now);
  pushMessages(now);
}

void BackendServerStandIn::setBehaviour(common::TimePoint now,
                                        BackendServerBehaviour behaviour) {
  Behaviour = behaviour;
  BehaviourSince = now;
  Tcp.setShedding(behaviour == BackendServerBehaviour::Shedding);
}

std::vector<std::vector<std::byte>> BackendServerStandIn::takePackets() {
  return Tcp.takePackets();
}

std::string BackendServerStandIn::loadReport() const {
  if (Behaviour == BackendServerBehaviour::Dead)
    return {};
  const nlohmann::json report = {
      {"service", ServiceName},      {"state", stateName(Behaviour)},
      {"slots", SlotCount},          {"busy", Requests.busy()},
      {"queued", Requests.queued()}, {"connections", Sessions.size()}};
  return report.dump();
}

void BackendServerStandIn::handleEvents(common::TimePoint now) {
  for (const auto &event : Tcp.takeEvents())
    std::visit([&](const auto &it) { onEvent(now, it); }, event);
}

void BackendServerStandIn::onEvent(common::TimePoint now,
                                   const HandshakeStarted &) {
  if (Behaviour != BackendServerBehaviour::Draining)
    return;
  ++Observed.ConnectionsWhileDraining;
  if (now - BehaviourSince > DrainGracePeriod)
    ++Observed.ConnectionsAfterDrainGrace;
}

void BackendServerStandIn::onEvent(common::TimePoint now,
                                   const Accepted &event) {
  Session session;
  session.Kind = Endpoints.at(event.Local);
  session.NextPush = now + PushInterval;
  ++(session.Kind == state::ListenerKind::Feed ? Observed.FeedsAccepted
                                               : Observed.RequestsAccepted);
  Sessions[event.Id] = std::move(session);
}

void BackendServerStandIn::onEvent(common::TimePoint now,
                                   const Received &event) {
  const auto it = Sessions.find(event.Id);
  if (it == Sessions.end())
    return;
  it->second.Input.append(event.Bytes);
  while (const auto line = it->second.Input.takeLine())
    onLine(now, event.Id, it->second.Kind, *line);
}

void BackendServerStandIn::onEvent(common::TimePoint now,
                                   const PeerClosed &event) {
  const auto it = Sessions.find(event.Id);
  if (it != Sessions.end() && it->second.Kind == state::ListenerKind::Feed)
    Tcp.close(now, event.Id);
}

void BackendServerStandIn::onEvent(common::TimePoint, const Closed &event) {
  removeSession(event.Id);
}

void BackendServerStandIn::onEvent(common::TimePoint, const Reset &event) {
  removeSession(event.Id);
}

void BackendServerStandIn::onEvent(common::TimePoint, const TimedOut &event) {
  removeSession(event.Id);
}

void BackendServerStandIn::removeSession(ConnectionId id) {
  Requests.cancelQueued(id);
  Sessions.erase(id);
}

void BackendServerStandIn::onLine(common::TimePoint now, ConnectionId id,
                                  state::ListenerKind kind,
                                  const std::string &line) {
  const auto words = splitWords(line);
  if (words.size() < 3 || words[1] != ServiceName) {
    ++Observed.WrongServicePackets;
    Tcp.send(now, id, "ERR wrong service\n");
    Tcp.close(now, id);
    return;
  }
  if (kind == state::ListenerKind::Request)
    onRequest(now, id, words);
  else
    Tcp.send(
        now, id,
        absl::StrCat("ECHO ", ServiceName, " ", Name, " ", words[2], "\n"));
}

void BackendServerStandIn::onRequest(common::TimePoint now, ConnectionId id,
                                     const std::vector<std::string> &words) {
  std::uint32_t work = 0;
  if (words.size() != 4 || words[0] != "REQ" ||
      !absl::SimpleAtoi(words[3], &work) || work > MaxWorkMs) {
    Tcp.send(now, id, "ERR bad request\n");
    Tcp.close(now, id);
    return;
  }
  Requests.enqueue({id, words[2], milliseconds(work)});
  processRequests(now);
}

void BackendServerStandIn::processRequests(common::TimePoint now) {
  for (const auto &work : Requests.takeFinished(now)) {
    Tcp.send(
        now, work.Connection,
        absl::StrCat("OK ", ServiceName, " ", work.RequestId, " ", Name, "\n"));
    Tcp.close(now, work.Connection);
  }
  for (const auto &work : Requests.startQueued(now))
    ++Observed.ExecutionsById[work.RequestId];
}

void BackendServerStandIn::pushMessages(common::TimePoint now) {
  for (auto &[id, session] : Sessions) {
    if (session.Kind != state::ListenerKind::Feed || now < session.NextPush)
      continue;
    Tcp.send(now, id,
             absl::StrCat("PUSH ", ServiceName, " ", Name, " ",
                          ++session.Pushed, "\n"));
    session.NextPush += PushInterval;
  }
}

} // namespace auburnroute::standins

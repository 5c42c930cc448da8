#pragma once

#include "StandIns/LineBuffer.h"
#include "StandIns/SlotQueue.h"
#include "StandIns/TcpEndpoint.h"
#include "State/Settings.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburnroute::standins {

/// How a backend server behaves.
enum class BackendServerBehaviour {
  Active,
  Draining, ///< Works on, reports that it is leaving.
  Shedding, ///< Resets every SYN.
  Dead,     ///< Neither receives nor sends.
};

/// One backend server: takes feeds and requests over TcpEndpoint.
///
/// Feed: each line "MSG service n" is answered with "ECHO service server n",
/// and "PUSH service server n" is sent every 200 ms. Request: the line "REQ
/// service id work-ms" takes a slot for that time and is answered with "OK
/// service id server" and a FIN. A line that names another service is answered
/// with "ERR". No socket and no clock.
class BackendServerStandIn {
public:
  /// What the backend server saw.
  struct Results {
    std::map<std::string, std::uint64_t>
        ExecutionsById; ///< Starts, by request id.
    std::uint64_t WrongServicePackets = 0;
    std::uint64_t ConnectionsWhileDraining = 0;
    /// New connections over 3 s after draining began.
    std::uint64_t ConnectionsAfterDrainGrace = 0;
    std::uint64_t SynsWhileDead = 0; ///< Dropped unanswered.
    std::uint64_t FeedsAccepted = 0;
    std::uint64_t RequestsAccepted = 0;
  };

  BackendServerStandIn(const state::Service &service,
                       const state::BackendServer &server, std::uint64_t seed);

  /// A datagram that arrived at the tunnel endpoint.
  void onDatagram(common::TimePoint now, std::span<std::byte> datagram);
  /// Runs timers, slots and pushes. Call every few milliseconds.
  void onTimer(common::TimePoint now);
  void setBehaviour(common::TimePoint now, BackendServerBehaviour behaviour);

  /// Packets to send since the last call.
  std::vector<std::vector<std::byte>> takePackets();
  /// Body of GET /load, or an empty string if the backend server is dead.
  std::string loadReport() const;
  const Results &results() const { return Observed; }
  const TcpCounters &tcpCounters() const { return Tcp.counters(); }
  const std::string &name() const { return Name; }

private:
  struct Session {
    state::ListenerKind Kind = state::ListenerKind::Request;
    LineBuffer Input;
    common::TimePoint NextPush;
    std::uint64_t Pushed = 0;
  };

  void handleEvents(common::TimePoint now);
  void onEvent(common::TimePoint now, const HandshakeStarted &event);
  void onEvent(common::TimePoint now, const Accepted &event);
  void onEvent(common::TimePoint now, const Received &event);
  void onEvent(common::TimePoint now, const PeerClosed &event);
  void onEvent(common::TimePoint now, const Closed &event);
  void onEvent(common::TimePoint now, const Reset &event);
  void onEvent(common::TimePoint now, const TimedOut &event);
  void onEvent(common::TimePoint, const Connected &) {}
  void onEvent(common::TimePoint, const Refused &) {}
  void onLine(common::TimePoint now, ConnectionId id, state::ListenerKind kind,
              const std::string &line);
  void onRequest(common::TimePoint now, ConnectionId id,
                 const std::vector<std::string> &words);
  void removeSession(ConnectionId id);
  void processRequests(common::TimePoint now);
  void pushMessages(common::TimePoint now);

  std::string ServiceName;
  std::string Name;
  std::size_t SlotCount;
  std::map<common::Endpoint, state::ListenerKind> Endpoints;
  TcpEndpoint Tcp;
  SlotQueue Requests;
  std::map<ConnectionId, Session> Sessions;
  BackendServerBehaviour Behaviour = BackendServerBehaviour::Active;
  common::TimePoint BehaviourSince;
  Results Observed;
};

} // namespace auburnroute::standins

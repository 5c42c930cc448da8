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
  Draining, ///< Serves all connections and reports "draining".
  Shedding, ///< Resets every SYN.
  Dead,     ///< Drops all packets and sends none.
};

/// One backend server that serves feeds and requests over TCP.
///
/// Feed: a line "MSG service n" is answered with "ECHO service server n",
/// and "PUSH service server n" is sent every 200 ms. Request: the line "REQ
/// service id work-ms" occupies a slot for that time and is then answered with
/// "OK service id server" and a FIN. A line that names another service is
/// answered with "ERR" and a FIN.
///
/// Performs no I/O: datagrams and the time are passed in, packets are taken
/// out.
class BackendServerStandIn {
public:
  /// Counts of received connections and executed requests.
  struct Results {
    /// How often each request was started, by request id. More than one means
    /// a duplicate execution.
    std::map<std::string, std::uint64_t> ExecutionsById;
    /// Packets to an endpoint that is not served, and lines that do not name
    /// this service.
    std::uint64_t WrongServicePackets = 0;
    std::uint64_t ConnectionsWhileDraining = 0;
    /// New connections more than 3 s after draining began.
    std::uint64_t ConnectionsAfterDrainGrace = 0;
    std::uint64_t SynsWhileDead = 0; ///< Dropped unanswered.
    std::uint64_t FeedsAccepted = 0;
    std::uint64_t RequestsAccepted = 0;
  };

  BackendServerStandIn(const state::Service &service,
                       const state::BackendServer &server, std::uint64_t seed);

  /// Handles a datagram that arrived at the tunnel endpoint.
  void onDatagram(common::TimePoint now, std::span<std::byte> datagram);
  /// Runs TCP timers, finishes and starts requests and sends due pushes. Call
  /// every few milliseconds.
  void onTimer(common::TimePoint now);
  void setBehaviour(common::TimePoint now, BackendServerBehaviour behaviour);

  /// Removes and returns the packets to send.
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

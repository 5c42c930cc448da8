#pragma once

#include "StandIns/TcpConnection.h"

#include <map>
#include <random>
#include <set>
#include <utility>

namespace auburnroute::standins {

/// Opens, accepts and demultiplexes TCP connections. Performs no I/O: IPv4
/// packets and the time are passed in, packets and events are taken out.
class TcpEndpoint {
public:
  /// \p seed determines the initial sequence numbers.
  explicit TcpEndpoint(std::uint64_t seed, TcpOptions options = {});

  /// Accepts connections to \p local.
  void listen(common::Endpoint local);
  /// While \p shedding, SYNs are answered with a reset.
  void setShedding(bool shedding) { IsShedding = shedding; }

  /// Opens a connection. An earlier one between the same endpoints is ended
  /// without an event.
  ConnectionId connect(common::TimePoint now, common::Endpoint local,
                       common::Endpoint remote);
  /// Queues payload. An unknown \p id is ignored.
  void send(common::TimePoint now, ConnectionId id, std::string_view bytes);
  /// Sends a FIN after the queued payload.
  void close(common::TimePoint now, ConnectionId id);
  /// Sends a reset and removes the connection without an event.
  void abort(common::TimePoint now, ConnectionId id);

  /// Handles one IPv4 packet. Malformed packets and those with a wrong checksum
  /// are counted and dropped.
  void onDatagram(common::TimePoint now, std::span<std::byte> datagram);
  /// Runs the timers that are due.
  void onTimer(common::TimePoint now);
  /// When the earliest timer is due; nothing if none is set.
  std::optional<common::TimePoint> nextTimer() const;

  /// Whether a connection between these endpoints exists in any state but
  /// TIME-WAIT.
  bool isInUse(common::Endpoint local, common::Endpoint remote) const;
  std::size_t connectionCount() const { return Connections.size(); }
  const TcpCounters &counters() const { return Output.Counters; }

  /// Removes and returns the events, in order.
  std::vector<TcpEvent> takeEvents();
  /// Removes and returns the packets to send, in order.
  std::vector<std::vector<std::byte>> takePackets();

private:
  /// Local and remote endpoint.
  using FlowId = std::pair<common::Endpoint, common::Endpoint>;

  void onUnmatchedSegment(common::TimePoint now,
                          const protocol::PacketView &segment);
  void onNewSyn(common::TimePoint now, const protocol::PacketView &syn);
  void sendReset(common::TimePoint now, const protocol::PacketView &segment);
  /// Runs \p action on a connection, updates its timer and removes it if it is
  /// closed.
  template <typename Action> void apply(ConnectionId id, Action action);
  void removeConnection(ConnectionId id);
  std::uint32_t randomInitialSequence();

  TcpOptions Options;
  std::mt19937_64 Random;
  bool IsShedding = false;
  std::set<common::Endpoint> ListeningEndpoints;
  std::map<ConnectionId, TcpConnection> Connections;
  std::map<FlowId, ConnectionId> IdByFlow;
  std::set<std::pair<common::TimePoint, ConnectionId>> Timers;
  ConnectionId NextId = 1;
  TcpOutput Output;
};

} // namespace auburnroute::standins

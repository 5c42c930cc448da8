#pragma once

#include "Common/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnroute::standins {

/// Identifies a connection of one TcpEndpoint; never reused.
using ConnectionId = std::uint64_t;

/// A SYN arrived for a listening endpoint. Nothing is established yet.
struct HandshakeStarted {
  ConnectionId Id = 0;
  common::Endpoint Local;
  common::Endpoint Remote;
};
/// The handshake of a connection to a listening endpoint is complete.
struct Accepted {
  ConnectionId Id = 0;
  common::Endpoint Local;
  common::Endpoint Remote;
};
/// The handshake of a connection opened by connect() is complete.
struct Connected {
  ConnectionId Id = 0;
};
/// Payload in sequence.
struct Received {
  ConnectionId Id = 0;
  std::string Bytes;
};
/// The peer sent its FIN; it sends nothing more.
struct PeerClosed {
  ConnectionId Id = 0;
};
/// Both directions were closed with a FIN, or the peer sent none within
/// TcpOptions::FinWait.
struct Closed {
  ConnectionId Id = 0;
};
/// A reset answered the SYN.
struct Refused {
  ConnectionId Id = 0;
};
/// A reset arrived after the SYN-ACK had been received or sent.
struct Reset {
  ConnectionId Id = 0;
};
/// The last retransmission expired without an acknowledgement.
struct TimedOut {
  ConnectionId Id = 0;
  bool WasEstablished = false; ///< Whether the handshake was complete.
};

/// A change of a connection that its user must handle.
using TcpEvent = std::variant<HandshakeStarted, Accepted, Connected, Received,
                              PeerClosed, Closed, Refused, Reset, TimedOut>;

/// Segment counts of one TcpEndpoint.
struct TcpCounters {
  std::uint64_t ChecksumErrors = 0;
  std::uint64_t Malformed = 0;
  /// Dropped segments that belong to no open connection or to an earlier
  /// connection between the same endpoints.
  std::uint64_t LateSegments = 0;
  std::uint64_t Duplicates = 0; ///< Dropped; received before.
  std::uint64_t Retransmissions = 0;
  std::uint64_t ChallengeAcks = 0; ///< RFC 5961.
  std::uint64_t ResetsSent = 0;
};

/// Packets, events and counters that calls of a connection append to.
struct TcpOutput {
  std::vector<std::vector<std::byte>> Packets; ///< IPv4 packets to send.
  std::vector<TcpEvent> Events;
  TcpCounters Counters;
};

} // namespace auburnroute::standins

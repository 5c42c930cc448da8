#pragma once

#include "Coordination/Forwarding/PacketSummary.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnroute::forwarding {

using Millis = std::chrono::milliseconds;

/// One TCP segment. Each message takes one sequence number.
struct SimulatedSegment {
  PacketSummary Headers;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  bool HasPayload = false;
  std::uint32_t Flow = 0;  ///< Payload: the flow that it belongs to.
  std::uint32_t Index = 0; ///< Payload: position in the flow.
  /// The service that the caller sent it to. For checks only; the simulated
  /// endpoints do not use it.
  common::Endpoint Service;
};

/// Orders endpoints in maps.
struct ByKey {
  bool operator()(const common::Endpoint &a, const common::Endpoint &b) const {
    return a.key() < b.key();
  }
};

using Send = std::function<void(const SimulatedSegment &)>;
using ReportViolation = std::function<void(const std::string &)>;

/// Serial number arithmetic (RFC 1982) on sequence numbers and timestamps.
inline bool isBefore(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) < 0;
}

/// Timer of go-back-N retransmission, with exponential backoff.
struct RetransmissionTimer {
  static constexpr Millis First{200};
  static constexpr Millis Longest{2000};
  Millis Due{0};
  Millis Timeout = First;

  void restart(Millis now) {
    Timeout = First;
    Due = now + Timeout;
  }
  bool expired(Millis now) {
    if (now < Due)
      return false;
    Timeout = std::min(Timeout * 2, Longest);
    Due = now + Timeout;
    return true;
  }
};

/// The caller's endpoint of one flow: a request with an answer, or a feed.
class SimulatedCaller {
public:
  enum class Phase { Connecting, Established, Done, Refused, GaveUp, Broken };

  SimulatedCaller(std::uint32_t flow, common::Endpoint own,
                  common::Endpoint service, bool isFeed, std::uint32_t iss,
                  Millis now)
      : Flow(flow), Own(own), Service(service), IsFeed(isFeed), Next(iss + 1),
        Unacknowledged(iss), LastProgress(now) {
    Timer.Due = now;
  }

  const std::uint32_t Flow;
  const common::Endpoint Own;
  const common::Endpoint Service;
  const bool IsFeed;
  Phase State = Phase::Connecting;
  std::uint32_t Received = 0;
  std::uint32_t PawsDrops = 0;

  bool isOpen() const {
    return State == Phase::Connecting || State == Phase::Established;
  }

  void tick(Millis now, const Send &send) {
    if (!isOpen() || !Timer.expired(now))
      return;
    // Longer than the longest pause and revision skew, with timers backed off.
    constexpr Millis GiveUpAfter{60000};
    if (now - LastProgress > GiveUpAfter)
      State = State == Phase::Established ? Phase::Broken : Phase::GaveUp;
    else if (State == Phase::Connecting)
      emit(now, send, Unacknowledged, {.Syn = true});
    else if (Unacknowledged != Next)
      emit(now, send, Unacknowledged, {.Payload = true});
  }

  void giveUp(Millis now, const Send &send) {
    if (State == Phase::Established)
      emit(now, send, Next, {.Rst = true});
    State = Phase::GaveUp;
  }

  void receive(Millis now, const SimulatedSegment &segment, const Send &send,
               const ReportViolation &report) {
    const auto &headers = segment.Headers;
    if (State == Phase::Connecting)
      return connect(now, segment, send);
    if (State == Phase::Done && !headers.Rst && headers.HasTimestamps)
      return emit(now, send, Next, {.Fin = true});
    if (State != Phase::Established) {
      if (!headers.Rst)
        reset(segment, send);
      return;
    }
    if (headers.Rst) {
      // RFC 5961: only a reset with the exact sequence number is accepted.
      if (segment.Sequence == Expected)
        State = Phase::Broken;
      return;
    }
    if (headers.HasTimestamps && isBefore(headers.TimestampValue, Recent)) {
      ++PawsDrops;
      return emit(now, send, Next, {});
    }
    if (headers.SynAck || segment.Sequence != Expected)
      return emit(now, send, Next, {});
    if (headers.HasTimestamps)
      Recent = headers.TimestampValue;
    if (isBefore(Unacknowledged, segment.Acknowledgement) &&
        !isBefore(Next, segment.Acknowledgement)) {
      Unacknowledged = segment.Acknowledgement;
      LastProgress = now;
      Timer.restart(now);
    }
    if (segment.HasPayload) {
      if (segment.Flow != Flow || segment.Index != Received)
        report("flow " + std::to_string(Flow) + " got message " +
               std::to_string(segment.Index) + " of flow " +
               std::to_string(segment.Flow));
      ++Received;
      ++Expected;
      LastProgress = now;
      emit(now, send, Next, {});
    } else if (headers.Fin) {
      ++Expected;
      State = Phase::Done;
      emit(now, send, Next, {.Fin = true});
    }
  }

private:
  struct Kind {
    bool Syn = false;
    bool Fin = false;
    bool Rst = false;
    bool Payload = false;
  };

  void connect(Millis now, const SimulatedSegment &segment, const Send &send) {
    const auto &headers = segment.Headers;
    if (segment.Acknowledgement != Next) {
      if (!headers.Rst)
        reset(segment, send);
      return;
    }
    if (headers.Rst) {
      State = Phase::Refused;
      return;
    }
    if (!headers.SynAck)
      return;
    State = Phase::Established;
    LastProgress = now;
    Unacknowledged = Next;
    Expected = segment.Sequence + 1;
    Recent = headers.TimestampValue;
    Timer.restart(now);
    emit(now, send, Next, {});
    if (!IsFeed)
      emit(now, send, Next++, {.Payload = true});
  }

  void emit(Millis now, const Send &send, std::uint32_t sequence, Kind kind) {
    SimulatedSegment segment;
    auto &headers = segment.Headers;
    headers.Source = Own;
    headers.Destination = Service;
    headers.Syn = kind.Syn;
    headers.Ack = !kind.Syn;
    headers.Fin = kind.Fin;
    headers.Rst = kind.Rst;
    headers.HasTimestamps = true;
    headers.TimestampValue = static_cast<std::uint32_t>(now.count());
    headers.TimestampEcho = kind.Syn ? 0 : Recent;
    segment.Sequence = sequence;
    segment.Acknowledgement = kind.Syn ? 0 : Expected;
    segment.HasPayload = kind.Payload;
    segment.Flow = Flow;
    segment.Service = Service;
    send(segment);
  }

  /// Sends a reset without timestamps, as TCP stacks do for unknown flows.
  void reset(const SimulatedSegment &cause, const Send &send) const {
    SimulatedSegment segment;
    segment.Headers.Source = Own;
    segment.Headers.Destination = Service;
    segment.Headers.Rst = true;
    segment.Sequence = cause.Acknowledgement;
    segment.Service = Service;
    send(segment);
  }

  std::uint32_t Next;
  std::uint32_t Unacknowledged;
  std::uint32_t Expected = 0;
  std::uint32_t Recent = 0;
  Millis LastProgress;
  RetransmissionTimer Timer;
};

/// A backend server with its connections.
class SimulatedServer {
public:
  /// \p clockBase is the timestamp in ms at time 0. If \p isStrict,
  /// the server completes a handshake only if it echoes a timestamp of its
  /// SYN-ACKs, or 0.
  SimulatedServer(common::Endpoint own, std::uint32_t service, bool isStrict,
                  std::uint32_t clockBase)
      : Own(own), Service(service), IsStrict(isStrict), ClockBase(clockBase) {}

  const common::Endpoint Own;
  const std::uint32_t Service;

  std::size_t connections() const { return Connections.size(); }

  /// \p ran is called with the flow of each request that is executed; \p length
  /// is the number of messages that a flow gets.
  void receive(Millis now, const SimulatedSegment &segment, std::uint32_t iss,
               bool isFeed, std::uint32_t length, const Send &send,
               const std::function<void(std::uint32_t)> &ran,
               const ReportViolation &report) {
    const auto &headers = segment.Headers;
    const auto it = Connections.find(headers.Source);
    if (headers.Syn) {
      // An open connection answers a SYN with a challenge ACK. A half-open or
      // closing one is replaced if the SYN has a newer timestamp.
      if (it != Connections.end()) {
        const bool isOpen = it->second.IsEstablished && !it->second.IsClosing;
        if (isOpen || !isBefore(it->second.Recent, headers.TimestampValue))
          return it->second.IsEstablished
                     ? emit(now, it->first, it->second, send, {})
                     : sendSynAck(now, it->first, it->second, send);
      }
      Connection fresh;
      fresh.Iss = fresh.Unacknowledged = iss;
      fresh.Expected = segment.Sequence + 1;
      fresh.Flow = segment.Flow;
      fresh.Length = length;
      fresh.IsFeed = isFeed;
      fresh.Recent = headers.TimestampValue;
      if (it == Connections.end() || it->second.Expected != fresh.Expected)
        Connections[headers.Source] = fresh;
      Connections[headers.Source].LastHeard = now;
      return;
    }
    if (it == Connections.end()) {
      if (!headers.Rst)
        reset(segment, send);
      return;
    }
    auto &connection = it->second;
    checkEcho(now, headers, report);
    if (headers.Rst) {
      if (segment.Sequence == connection.Expected)
        Connections.erase(it);
      return;
    }
    if (isBefore(headers.TimestampValue, connection.Recent))
      return emit(now, it->first, connection, send, {});
    advance(now, it->first, connection, segment, send, ran);
    if (headers.Fin && connection.IsClosing)
      Connections.erase(it);
  }

  void tick(Millis now, const Send &send) {
    // Connections whose caller went away without a reset are closed after this.
    constexpr Millis IdleLimit{90000};
    constexpr Millis HandshakeLimit{15000};
    std::erase_if(Connections, [&](const auto &it) {
      return now - it.second.LastHeard >
             (it.second.IsEstablished ? IdleLimit : HandshakeLimit);
    });
    for (auto &[caller, connection] : Connections) {
      produce(now, connection);
      if (connection.Timer.expired(now))
        retransmit(now, caller, connection, send);
    }
  }

private:
  struct Connection {
    std::uint32_t Iss = 0;
    std::uint32_t Unacknowledged = 0;
    std::uint32_t Expected = 0;
    std::uint32_t Recent = 0;                 ///< Last timestamp of the caller.
    std::optional<std::uint32_t> FirstSynAck; ///< Timestamps that were sent.
    std::uint32_t LastSynAck = 0;
    std::uint32_t Flow = 0;
    std::uint32_t Length = 0;   ///< Messages to send in all.
    std::uint32_t Produced = 0; ///< Messages ready so far.
    bool IsFeed = false;
    bool IsEstablished = false;
    bool IsClosing = false; ///< All messages were acknowledged.
    Millis LastHeard{0};
    Millis NextMessage{0};
    RetransmissionTimer Timer;
  };
  struct Kind {
    bool SynAck = false;
    bool Fin = false;
    std::optional<std::uint32_t> Index{};
  };

  std::uint32_t timestamp(Millis now) const {
    return ClockBase + static_cast<std::uint32_t>(now.count());
  }

  /// Checks that the echo is 0 or a recent time (ms) of this server's clock.
  void checkEcho(Millis now, const PacketSummary &headers,
                 const ReportViolation &report) const {
    constexpr std::uint32_t Oldest = 200000;
    if (headers.HasTimestamps && headers.TimestampEcho != 0 &&
        timestamp(now) - headers.TimestampEcho > Oldest)
      report("expected an echo of at most " + std::to_string(Oldest) +
             " ms before " + std::to_string(timestamp(now)) + ", got " +
             std::to_string(headers.TimestampEcho));
  }

  void advance(Millis now, common::Endpoint caller, Connection &connection,
               const SimulatedSegment &segment, const Send &send,
               const std::function<void(std::uint32_t)> &ran) {
    if (!connection.IsEstablished) {
      if (segment.Acknowledgement != connection.Iss + 1)
        return reset(segment, send);
      const auto echo = segment.Headers.TimestampEcho;
      if (IsStrict && echo != 0 &&
          (isBefore(echo, *connection.FirstSynAck) ||
           isBefore(connection.LastSynAck, echo)))
        return emit(now, caller, connection, send, {});
      connection.IsEstablished = true;
      connection.Unacknowledged = connection.Iss + 1;
      connection.Produced = 0;
    }
    const auto last = connection.Iss + 1 + connection.Produced;
    if (!isBefore(segment.Acknowledgement, connection.Iss + 1) &&
        !isBefore(last + 1, segment.Acknowledgement)) {
      connection.LastHeard = now;
      if (isBefore(connection.Unacknowledged, segment.Acknowledgement)) {
        connection.Unacknowledged = segment.Acknowledgement;
        connection.Timer.Due = now;
        connection.Timer.Timeout = RetransmissionTimer::First;
      }
    }
    if (segment.HasPayload && segment.Sequence == connection.Expected) {
      ++connection.Expected;
      connection.Recent = segment.Headers.TimestampValue;
      ran(segment.Flow);
      connection.Produced = connection.Length;
      connection.Timer.Due = now;
    }
    if (segment.HasPayload)
      emit(now, caller, connection, send, {});
  }

  static void produce(Millis now, Connection &connection) {
    constexpr Millis Interval{150};
    if (!connection.IsFeed || !connection.IsEstablished ||
        connection.Produced == connection.Length ||
        now < connection.NextMessage)
      return;
    ++connection.Produced;
    connection.NextMessage = now + Interval;
    if (connection.Unacknowledged == connection.Iss + connection.Produced)
      connection.Timer.Due = now;
  }

  void retransmit(Millis now, common::Endpoint caller, Connection &connection,
                  const Send &send) const {
    if (!connection.IsEstablished)
      return sendSynAck(now, caller, connection, send);
    const auto sent = connection.Unacknowledged - (connection.Iss + 1);
    for (auto n = sent; n < connection.Produced; ++n)
      emit(now, caller, connection, send, {.Index = n});
    if (connection.Produced == connection.Length && sent >= connection.Length) {
      connection.IsClosing = true;
      emit(now, caller, connection, send, {.Fin = true});
    }
  }

  void sendSynAck(Millis now, common::Endpoint caller, Connection &connection,
                  const Send &send) const {
    connection.LastSynAck = timestamp(now);
    if (!connection.FirstSynAck)
      connection.FirstSynAck = connection.LastSynAck;
    emit(now, caller, connection, send, {.SynAck = true});
  }

  void emit(Millis now, common::Endpoint caller, const Connection &connection,
            const Send &send, Kind kind) const {
    SimulatedSegment segment;
    auto &headers = segment.Headers;
    headers.Source = Own;
    headers.Destination = caller;
    headers.SynAck = kind.SynAck;
    headers.Ack = true;
    headers.Fin = kind.Fin;
    headers.HasTimestamps = true;
    headers.TimestampValue = timestamp(now);
    segment.Acknowledgement = connection.Expected;
    segment.Sequence = kind.SynAck  ? connection.Iss
                       : kind.Index ? connection.Iss + 1 + *kind.Index
                                    : connection.Unacknowledged;
    segment.HasPayload = kind.Index.has_value();
    segment.Flow = connection.Flow;
    segment.Index = kind.Index.value_or(0);
    send(segment);
  }

  void reset(const SimulatedSegment &cause, const Send &send) const {
    SimulatedSegment segment;
    segment.Headers.Source = Own;
    segment.Headers.Destination = cause.Headers.Source;
    segment.Headers.Rst = true;
    segment.Sequence = cause.Acknowledgement;
    send(segment);
  }

  bool IsStrict;
  std::uint32_t ClockBase;
  std::map<common::Endpoint, Connection, ByKey> Connections;
};

} // namespace auburnroute::forwarding

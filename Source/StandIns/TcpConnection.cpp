#include "StandIns/TcpConnection.h"

#include "Common/SequenceNumber.h"
#include "Protocol/PacketBuilder.h"

#include <algorithm>

namespace auburnroute::standins {

namespace {

using common::sequenceBefore;
using protocol::PacketView;
using std::chrono::milliseconds;

constexpr std::uint32_t WindowBytes = 65535; // No window scaling.
constexpr std::size_t MaxSegmentSize = 1400; // Bytes of payload.
// Bounds the reassembly buffer.
constexpr std::size_t MaxOutOfOrderSegments = 64;
constexpr unsigned MaxBackoffShift = 16;

std::uint32_t lengthOf(const PacketView &segment) {
  return static_cast<std::uint32_t>(segment.payloadSize()) +
         (segment.hasFlag(PacketView::SynFlag) ? 1 : 0) +
         (segment.isFin() ? 1 : 0);
}

} // namespace

std::uint32_t timestampOf(common::TimePoint now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
}

TcpConnection::TcpConnection(ConnectionId id, common::Endpoint local,
                             common::Endpoint remote,
                             std::uint32_t initialSequence,
                             const TcpOptions &options)
    : Id(id), Local(local), Remote(remote), Options(options),
      SendInitial(initialSequence), SendUnacked(initialSequence),
      SendNext(initialSequence + 1) {}

TcpConnection TcpConnection::open(common::TimePoint now, ConnectionId id,
                                  common::Endpoint local,
                                  common::Endpoint remote,
                                  std::uint32_t initialSequence,
                                  const TcpOptions &options, TcpOutput &out) {
  TcpConnection connection(id, local, remote, initialSequence, options);
  connection.State = TcpState::SynSent;
  connection.transmit(now, PacketView::SynFlag, initialSequence, {}, out);
  connection.startTimer(now);
  return connection;
}

TcpConnection TcpConnection::accept(common::TimePoint now, ConnectionId id,
                                    const PacketView &syn,
                                    std::uint32_t initialSequence,
                                    const TcpOptions &options, TcpOutput &out) {
  TcpConnection connection(id, syn.destination(), syn.source(), initialSequence,
                           options);
  connection.State = TcpState::SynReceived;
  connection.ReceiveInitial = syn.sequence();
  connection.ReceiveNext = syn.sequence() + 1;
  connection.UsesTimestamps = syn.hasTimestamps();
  if (connection.UsesTimestamps)
    connection.RecentTimestamp = syn.timestampValue();
  connection.transmit(now, PacketView::SynFlag | PacketView::AckFlag,
                      initialSequence, {}, out);
  connection.startTimer(now);
  return connection;
}

bool TcpConnection::canBeReplacedBy(const PacketView &syn) const {
  if (State != TcpState::TimeWait && State != TcpState::SynReceived)
    return false;
  return UsesTimestamps && syn.hasTimestamps() &&
         syn.sequence() != ReceiveInitial &&
         sequenceBefore(RecentTimestamp, syn.timestampValue());
}

void TcpConnection::onSegment(common::TimePoint now, const PacketView &segment,
                              TcpOutput &out) {
  if (State == TcpState::Closed)
    return;
  if (State == TcpState::SynSent) {
    onSegmentInSynSent(now, segment, out);
    return;
  }
  if (State == TcpState::SynReceived && segment.isSyn() &&
      segment.sequence() == ReceiveInitial) {
    updateRecentTimestamp(segment);
    transmit(now, PacketView::SynFlag | PacketView::AckFlag, SendInitial, {},
             out);
    return;
  }
  if (UsesTimestamps && !segment.isRst()) {
    // RFC 7323, section 3.2: drop a segment without the option; section 5
    // (PAWS): drop one with an old timestamp.
    if (!segment.hasTimestamps())
      return;
    if (sequenceBefore(segment.timestampValue(), RecentTimestamp)) {
      countUnacceptable(segment, out);
      sendAck(now, out);
      return;
    }
  }
  if (!isAcceptable(segment)) {
    countUnacceptable(segment, out);
    if (!segment.isRst())
      sendAck(now, out);
    return;
  }
  if (segment.isRst()) {
    onReset(now, segment, out);
    return;
  }
  if (segment.hasFlag(PacketView::SynFlag)) {
    sendChallengeAck(now, out);
    return;
  }
  if (!segment.hasFlag(PacketView::AckFlag))
    return;
  updateRecentTimestamp(segment);
  if (!onAcknowledgement(now, segment, out))
    return;
  if (segment.payloadSize() > 0 || segment.isFin())
    onPayload(now, segment, out);
  flush(now, out);
}

void TcpConnection::onSegmentInSynSent(common::TimePoint now,
                                       const PacketView &segment,
                                       TcpOutput &out) {
  const bool acknowledgesSyn = segment.hasFlag(PacketView::AckFlag) &&
                               segment.acknowledgement() == SendNext;
  if (segment.isRst()) {
    if (!acknowledgesSyn) {
      ++out.Counters.LateSegments;
      return;
    }
    out.Events.emplace_back(Refused{Id});
    enterClosed();
    return;
  }
  if (!acknowledgesSyn) {
    ++out.Counters.LateSegments;
    // Resets an acknowledgement of data that was never sent, so that a peer
    // that still holds the earlier flow ends it (RFC 9293, section 3.10.7.3).
    // Echoing the segment's timestamp makes the hosts route the reset to that
    // peer.
    if (segment.hasFlag(PacketView::AckFlag)) {
      const auto kept = RecentTimestamp;
      if (segment.hasTimestamps())
        RecentTimestamp = segment.timestampValue();
      transmit(now, PacketView::RstFlag, segment.acknowledgement(), {}, out);
      ++out.Counters.ResetsSent;
      RecentTimestamp = kept;
    }
    return;
  }
  if (!segment.isSynAck()) {
    ++out.Counters.LateSegments;
    return;
  }
  ReceiveInitial = segment.sequence();
  ReceiveNext = ReceiveInitial + 1;
  UsesTimestamps = segment.hasTimestamps();
  if (UsesTimestamps)
    RecentTimestamp = segment.timestampValue();
  SendUnacked = SendNext;
  Retries = 0;
  Deadline.reset();
  State = TcpState::Established;
  out.Events.emplace_back(Connected{Id});
  sendAck(now, out);
  flush(now, out);
}

bool TcpConnection::isAcceptable(const PacketView &segment) const {
  const auto sequence = segment.sequence();
  const auto length = lengthOf(segment);
  const bool startsInWindow = sequence - ReceiveNext < WindowBytes;
  if (length == 0)
    return startsInWindow;
  return startsInWindow || sequence + length - 1 - ReceiveNext < WindowBytes;
}

void TcpConnection::countUnacceptable(const PacketView &segment,
                                      TcpOutput &out) const {
  const auto age = ReceiveNext - segment.sequence();
  const bool isOfThisFlow = age <= ReceiveNext - ReceiveInitial;
  ++(isOfThisFlow ? out.Counters.Duplicates : out.Counters.LateSegments);
}

void TcpConnection::onReset(common::TimePoint now, const PacketView &segment,
                            TcpOutput &out) {
  // An old duplicate can cause the peer to send a reset that would end
  // TIME-WAIT early (RFC 1337).
  if (State == TcpState::TimeWait)
    return;
  if (segment.sequence() != ReceiveNext) {
    sendChallengeAck(now, out);
    return;
  }
  // Both sides have sent their FIN, so the reset interrupts no data.
  if (State == TcpState::LastAck || State == TcpState::Closing)
    out.Events.emplace_back(Closed{Id});
  else
    out.Events.emplace_back(Reset{Id});
  enterClosed();
}

void TcpConnection::sendChallengeAck(common::TimePoint now, TcpOutput &out) {
  ++out.Counters.ChallengeAcks;
  sendAck(now, out);
}

void TcpConnection::updateRecentTimestamp(const PacketView &segment) {
  if (UsesTimestamps && segment.hasTimestamps() &&
      !sequenceBefore(segment.timestampValue(), RecentTimestamp) &&
      !sequenceBefore(ReceiveNext, segment.sequence()))
    RecentTimestamp = segment.timestampValue();
}

bool TcpConnection::onAcknowledgement(common::TimePoint now,
                                      const PacketView &segment,
                                      TcpOutput &out) {
  const auto ack = segment.acknowledgement();
  if (State == TcpState::SynReceived) {
    if (ack != SendNext) {
      ++out.Counters.LateSegments;
      transmit(now, PacketView::RstFlag, ack, {}, out);
      ++out.Counters.ResetsSent;
      return false;
    }
    SendUnacked = ack;
    State = TcpState::Established;
    Retries = 0;
    Deadline.reset();
    out.Events.emplace_back(Accepted{Id, Local, Remote});
    return true;
  }
  if (sequenceBefore(SendNext, ack) ||
      sequenceBefore(ack, SendUnacked - WindowBytes)) {
    sendChallengeAck(now, out);
    return false;
  }
  if (!sequenceBefore(SendUnacked, ack))
    return true;
  const auto bytes = std::min<std::size_t>(ack - SendUnacked, Unacked.size());
  Unacked.erase(0, bytes);
  SendUnacked = ack;
  Retries = 0;
  if (SendUnacked == SendNext)
    Deadline.reset();
  else
    startTimer(now);
  if (IsRecovering && sequenceBefore(ack, RecoveryPoint))
    retransmit(now, out);
  else
    IsRecovering = false;
  if (FinSent && ack == SendNext)
    onFinAcknowledged(now, out);
  return State != TcpState::Closed;
}

void TcpConnection::onFinAcknowledged(common::TimePoint now, TcpOutput &out) {
  if (State == TcpState::FinWait1) {
    State = TcpState::FinWait2;
    Deadline = now + Options.FinWait;
  } else if (State == TcpState::Closing) {
    enterTimeWait(now, out);
  } else if (State == TcpState::LastAck) {
    out.Events.emplace_back(Closed{Id});
    enterClosed();
  }
}

void TcpConnection::onPayload(common::TimePoint now, const PacketView &segment,
                              TcpOutput &out) {
  const auto payload = segment.payload();
  const std::string_view bytes(reinterpret_cast<const char *>(payload.data()),
                               payload.size());
  if (segment.isFin() && !PeerFinSequence)
    PeerFinSequence =
        segment.sequence() + static_cast<std::uint32_t>(bytes.size());
  if (!bytes.empty() && OutOfOrder.size() < MaxOutOfOrderSegments)
    OutOfOrder.push_back({segment.sequence(), std::string(bytes)});
  std::string received;
  for (bool progress = true; progress;) {
    const auto before = ReceiveNext;
    for (const auto &it : OutOfOrder)
      appendInOrder(it.Sequence, it.Bytes, received);
    progress = ReceiveNext != before;
  }
  std::erase_if(OutOfOrder, [this](const BufferedSegment &it) {
    return !sequenceBefore(
        ReceiveNext, it.Sequence + static_cast<std::uint32_t>(it.Bytes.size()));
  });
  if (!received.empty())
    out.Events.emplace_back(Received{Id, std::move(received)});
  if (PeerFinSequence && *PeerFinSequence == ReceiveNext)
    onPeerFin(now, out);
  sendAck(now, out);
}

void TcpConnection::appendInOrder(std::uint32_t sequence,
                                  std::string_view bytes,
                                  std::string &received) {
  const auto skip = ReceiveNext - sequence;
  if (sequenceBefore(ReceiveNext, sequence) || skip >= bytes.size())
    return;
  bytes.remove_prefix(skip);
  received.append(bytes);
  ReceiveNext += static_cast<std::uint32_t>(bytes.size());
}

void TcpConnection::onPeerFin(common::TimePoint now, TcpOutput &out) {
  switch (State) {
  case TcpState::Established:
    State = TcpState::CloseWait;
    break;
  case TcpState::FinWait1:
    State = TcpState::Closing;
    break;
  case TcpState::FinWait2:
    break;
  default: // A repeated FIN.
    return;
  }
  ++ReceiveNext;
  out.Events.emplace_back(PeerClosed{Id});
  if (State == TcpState::FinWait2)
    enterTimeWait(now, out);
}

void TcpConnection::enterTimeWait(common::TimePoint now, TcpOutput &out) {
  State = TcpState::TimeWait;
  Deadline = now + Options.TimeWait;
  out.Events.emplace_back(Closed{Id});
}

void TcpConnection::send(common::TimePoint now, std::string_view bytes,
                         TcpOutput &out) {
  if (FinQueued || State == TcpState::Closed)
    return;
  Unacked.append(bytes);
  flush(now, out);
}

void TcpConnection::close(common::TimePoint now, TcpOutput &out) {
  if (State == TcpState::SynSent) {
    enterClosed();
    return;
  }
  FinQueued = true;
  flush(now, out);
}

void TcpConnection::abort(common::TimePoint now, TcpOutput &out) {
  if (State != TcpState::SynSent && State != TcpState::Closed &&
      State != TcpState::TimeWait) {
    transmit(now, PacketView::RstFlag | PacketView::AckFlag, SendNext, {}, out);
    ++out.Counters.ResetsSent;
  }
  enterClosed();
}

void TcpConnection::flush(common::TimePoint now, TcpOutput &out) {
  if (State != TcpState::Established && State != TcpState::CloseWait)
    return;
  bool sent = false;
  for (;;) {
    const std::size_t flight = SendNext - SendUnacked;
    const auto pending = Unacked.size() - flight;
    if (pending == 0 || flight >= WindowBytes)
      break;
    const auto n = std::min({pending, MaxSegmentSize, WindowBytes - flight});
    transmit(now, PacketView::AckFlag | PacketView::PshFlag, SendNext,
             std::string_view(Unacked).substr(flight, n), out);
    SendNext += static_cast<std::uint32_t>(n);
    sent = true;
  }
  if (FinQueued && SendNext - SendUnacked == Unacked.size()) {
    transmit(now, PacketView::FinFlag | PacketView::AckFlag, SendNext, {}, out);
    ++SendNext;
    FinSent = true;
    State =
        State == TcpState::CloseWait ? TcpState::LastAck : TcpState::FinWait1;
    sent = true;
  }
  if (sent && !Deadline)
    startTimer(now);
}

void TcpConnection::retransmit(common::TimePoint now, TcpOutput &out) {
  ++out.Counters.Retransmissions;
  if (State == TcpState::SynSent) {
    transmit(now, PacketView::SynFlag, SendInitial, {}, out);
    return;
  }
  if (State == TcpState::SynReceived) {
    transmit(now, PacketView::SynFlag | PacketView::AckFlag, SendInitial, {},
             out);
    return;
  }
  const auto n = std::min(Unacked.size(), MaxSegmentSize);
  const bool fin = FinSent && n == Unacked.size();
  const auto flags = static_cast<std::uint8_t>(
      PacketView::AckFlag | (n > 0 ? PacketView::PshFlag : 0) |
      (fin ? PacketView::FinFlag : 0));
  transmit(now, flags, SendUnacked, std::string_view(Unacked).substr(0, n),
           out);
}

void TcpConnection::onTimer(common::TimePoint now, TcpOutput &out) {
  if (!Deadline || now < *Deadline)
    return;
  if (State == TcpState::TimeWait) {
    enterClosed();
    return;
  }
  if (State == TcpState::FinWait2) {
    out.Events.emplace_back(Closed{Id});
    enterClosed();
    return;
  }
  const bool isHandshake =
      State == TcpState::SynSent || State == TcpState::SynReceived;
  if (Retries >= (isHandshake ? Options.SynRetries : Options.DataRetries)) {
    out.Events.emplace_back(TimedOut{Id, !isHandshake});
    enterClosed();
    return;
  }
  ++Retries;
  IsRecovering = !isHandshake;
  RecoveryPoint = SendNext;
  retransmit(now, out);
  startTimer(now);
}

void TcpConnection::startTimer(common::TimePoint now) {
  const bool isHandshake =
      State == TcpState::SynSent || State == TcpState::SynReceived;
  const auto base = isHandshake ? Options.SynTimeout : Options.DataTimeout;
  auto timeout = base * (1U << std::min(Retries, MaxBackoffShift));
  if (!isHandshake)
    timeout = std::min(timeout, Options.MaxTimeout);
  Deadline = now + timeout;
}

void TcpConnection::transmit(common::TimePoint now, std::uint8_t flags,
                             std::uint32_t sequence, std::string_view payload,
                             TcpOutput &out) {
  protocol::Segment segment;
  segment.Source = Local;
  segment.Destination = Remote;
  segment.Flags = flags;
  segment.Sequence = sequence;
  if ((flags & PacketView::AckFlag) != 0)
    segment.Acknowledgement = ReceiveNext;
  if (UsesTimestamps)
    segment.Times = protocol::Timestamps{timestampOf(now), RecentTimestamp};
  segment.Payload = std::as_bytes(std::span(payload));
  out.Packets.push_back(protocol::buildPacket(segment));
}

void TcpConnection::sendAck(common::TimePoint now, TcpOutput &out) {
  transmit(now, PacketView::AckFlag, SendNext, {}, out);
}

void TcpConnection::enterClosed() {
  State = TcpState::Closed;
  Deadline.reset();
}

} // namespace auburnroute::standins

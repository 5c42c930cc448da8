#pragma once

#include "Common/Clock.h"
#include "Protocol/PacketView.h"
#include "StandIns/TcpEvent.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::standins {

/// Timers and retries of a connection.
struct TcpOptions {
  std::chrono::milliseconds SynTimeout{1000}; ///< RFC 6298.
  unsigned SynRetries = 4;
  std::chrono::milliseconds DataTimeout{200};
  std::chrono::milliseconds MaxTimeout{3200}; ///< Limit of data backoff.
  unsigned DataRetries = 8;
  std::chrono::milliseconds TimeWait{1000};
  std::chrono::milliseconds FinWait{10000}; ///< Limit of FIN-WAIT-2.
};

/// States of RFC 9293, section 3.3.2.
enum class TcpState {
  SynSent,
  SynReceived,
  Established,
  FinWait1,
  FinWait2,
  CloseWait,
  Closing,
  LastAck,
  TimeWait,
  Closed,
};

/// One TCP connection (RFC 9293) with timestamps (RFC 7323) and the reset
/// rules of RFC 5961. No congestion control, window scaling or urgent data.
///
/// Performs no I/O: the time is passed in, and each call appends its packets
/// and events to a TcpOutput.
class TcpConnection {
public:
  /// Opens a connection: sends a SYN.
  static TcpConnection open(common::TimePoint now, ConnectionId id,
                            common::Endpoint local, common::Endpoint remote,
                            std::uint32_t initialSequence,
                            const TcpOptions &options, TcpOutput &out);
  /// Accepts a connection: answers \p syn with a SYN-ACK.
  static TcpConnection accept(common::TimePoint now, ConnectionId id,
                              const protocol::PacketView &syn,
                              std::uint32_t initialSequence,
                              const TcpOptions &options, TcpOutput &out);

  /// Handles a segment of this connection whose checksums are valid.
  void onSegment(common::TimePoint now, const protocol::PacketView &segment,
                 TcpOutput &out);
  /// Retransmits, times out or leaves TIME-WAIT if deadline() has passed.
  void onTimer(common::TimePoint now, TcpOutput &out);
  /// Queues payload. Ignored once close() was called.
  void send(common::TimePoint now, std::string_view bytes, TcpOutput &out);
  /// Sends a FIN after the queued payload.
  void close(common::TimePoint now, TcpOutput &out);
  /// Sends a reset and ends the connection without an event.
  void abort(common::TimePoint now, TcpOutput &out);

  ConnectionId id() const { return Id; }
  TcpState state() const { return State; }
  common::Endpoint local() const { return Local; }
  common::Endpoint remote() const { return Remote; }
  /// When onTimer() is due next.
  std::optional<common::TimePoint> deadline() const { return Deadline; }
  /// Whether a SYN with this timestamp may replace the connection (RFC 6191).
  bool canBeReplacedBy(const protocol::PacketView &syn) const;

private:
  /// Payload that waits for the gap before it to be filled.
  struct BufferedSegment {
    std::uint32_t Sequence = 0;
    std::string Bytes;
  };

  TcpConnection(ConnectionId id, common::Endpoint local,
                common::Endpoint remote, std::uint32_t initialSequence,
                const TcpOptions &options);

  void onSegmentInSynSent(common::TimePoint now,
                          const protocol::PacketView &segment, TcpOutput &out);
  /// Whether any part lies in the receive window (RFC 9293, section 3.10.7.4).
  bool isAcceptable(const protocol::PacketView &segment) const;
  void countUnacceptable(const protocol::PacketView &segment,
                         TcpOutput &out) const;
  void onReset(common::TimePoint now, const protocol::PacketView &segment,
               TcpOutput &out);
  void sendChallengeAck(common::TimePoint now, TcpOutput &out);
  void updateRecentTimestamp(const protocol::PacketView &segment);
  /// Returns false if the rest of the segment must be ignored.
  bool onAcknowledgement(common::TimePoint now,
                         const protocol::PacketView &segment, TcpOutput &out);
  void onFinAcknowledged(common::TimePoint now, TcpOutput &out);
  void onPayload(common::TimePoint now, const protocol::PacketView &segment,
                 TcpOutput &out);
  void appendInOrder(std::uint32_t sequence, std::string_view bytes,
                     std::string &received);
  void onPeerFin(common::TimePoint now, TcpOutput &out);
  void enterTimeWait(common::TimePoint now, TcpOutput &out);
  void flush(common::TimePoint now, TcpOutput &out);
  void retransmit(common::TimePoint now, TcpOutput &out);
  void startTimer(common::TimePoint now);
  void transmit(common::TimePoint now, std::uint8_t flags,
                std::uint32_t sequence, std::string_view payload,
                TcpOutput &out);
  void sendAck(common::TimePoint now, TcpOutput &out);
  void enterClosed();

  ConnectionId Id;
  common::Endpoint Local;
  common::Endpoint Remote;
  TcpOptions Options;
  TcpState State = TcpState::Closed;
  std::uint32_t SendInitial;       ///< ISS.
  std::uint32_t SendUnacked;       ///< SND.UNA.
  std::uint32_t SendNext;          ///< SND.NXT.
  std::string Unacked;             ///< Payload from SND.UNA on.
  bool FinQueued = false;          ///< close() was called.
  bool FinSent = false;            ///< SND.NXT includes the FIN.
  std::uint32_t RecoveryPoint = 0; ///< SND.NXT at the last timeout.
  bool IsRecovering = false;
  std::uint32_t ReceiveInitial = 0;             ///< IRS.
  std::uint32_t ReceiveNext = 0;                ///< RCV.NXT.
  std::vector<BufferedSegment> OutOfOrder;      ///< Payload beyond RCV.NXT.
  std::optional<std::uint32_t> PeerFinSequence; ///< Set once a FIN arrived.
  bool UsesTimestamps = true;        ///< Whether both sides use the option.
  std::uint32_t RecentTimestamp = 0; ///< TS.Recent of RFC 7323.
  unsigned Retries = 0;
  std::optional<common::TimePoint> Deadline;
};

/// The TSval of \p now: milliseconds of the monotonic clock without a random
/// offset per connection, as with net.ipv4.tcp_timestamps=2.
std::uint32_t timestampOf(common::TimePoint now);

} // namespace auburnroute::standins

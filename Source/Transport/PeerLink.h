#pragma once

#include "Common/Endpoint.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace auburnroute::transport {

/// Counts of a PeerLink since its start.
struct PeerLinkCounters {
  std::uint64_t FramesSent = 0;
  std::uint64_t BytesSent = 0; ///< Frames with their ZeroMQ headers.
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t FramesDropped = 0; ///< Queue full, or no socket to be had.
};

/// Frames to and from other hosts: a ROUTER bound on the peer endpoint takes
/// them, one DEALER per receiver sends them.
///
/// Sending never waits: a receiver that does not keep up loses frames, which
/// are repeated by the protocol above. The frames of one receiver stay in
/// order. Used from one thread.
class PeerLink {
public:
  /// Gets each frame; the bytes are valid during the call.
  using Handler = std::function<void(std::string_view)>;

  /// Frames that wait for one receiver at most. Covers bursts of news; with
  /// settings of 1 MB it bounds a receiver that is stuck to 32 MB.
  static constexpr int QueueFrames = 32;
  /// Longest frame; a connection that sends a longer one is closed.
  static constexpr std::int64_t MaxFrameBytes = 1'250'000;
  /// Receivers at once. The one unused for longest is closed for a new one.
  static constexpr std::size_t MaxReceivers = 128;
  /// Frames that one poll() handles at most, so that timers get their turn.
  static constexpr int MaxFramesPerPoll = 1024;

  /// Binds to \p endpoint. Errors: Unavailable, with the endpoint and reason.
  static absl::StatusOr<PeerLink> bind(common::Endpoint endpoint);

  PeerLink(PeerLink &&other) noexcept;
  PeerLink &operator=(PeerLink &&other) noexcept;
  ~PeerLink();

  /// Queues a frame, or drops and counts it.
  void send(common::Endpoint to, std::string_view frame);
  /// Waits up to \p timeout for frames and hands those that are there to
  /// \p handler. The handler may call send().
  void poll(std::chrono::milliseconds timeout, const Handler &handler);
  /// Closes the connection to a host that is gone.
  void disconnect(common::Endpoint to);

  const PeerLinkCounters &counters() const;

private:
  struct Sockets;
  explicit PeerLink(std::unique_ptr<Sockets> sockets);

  std::unique_ptr<Sockets> Storage;
};

} // namespace auburnroute::transport

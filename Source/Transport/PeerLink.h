#pragma once

#include "Common/Endpoint.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace auburnroute::transport {

/// Traffic of a PeerLink since it was bound.
struct PeerLinkCounters {
  std::uint64_t FramesSent = 0;
  std::uint64_t BytesSent = 0; ///< Including ZeroMQ frame headers.
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t FramesDropped = 0; ///< Queue full or no socket available.
};

/// Exchanges frames with other hosts over ZeroMQ: one ROUTER socket, bound to
/// the peer endpoint, receives; one DEALER socket per peer sends.
///
/// Sending never blocks. Frames to a peer that does not keep up are dropped;
/// the protocol above sends them again. Frames to one peer stay in order. Not
/// thread-safe.
class PeerLink {
public:
  /// Called with each received frame, which is only valid during the call.
  using Handler = std::function<void(std::string_view)>;

  /// Frames queued per peer. Absorbs bursts of updates, and limits the memory
  /// for a stuck peer to 32 MB when each frame carries settings of 1 MB.
  static constexpr int MaxQueuedFrames = 32;
  /// Largest frame accepted; ZeroMQ closes a connection that sends a larger
  /// one.
  static constexpr std::int64_t MaxFrameBytes = 1'250'000;
  /// Open sending sockets. A further peer replaces the least recently used one.
  static constexpr std::size_t MaxPeerSockets = 128;
  /// Frames handled by one poll(), so that a flood does not delay timers.
  static constexpr int MaxFramesPerPoll = 1024;

  /// Binds to \p endpoint. Errors: Unavailable, with the endpoint and reason.
  static absl::StatusOr<PeerLink> bind(common::Endpoint endpoint);

  PeerLink(PeerLink &&other) noexcept;
  PeerLink &operator=(PeerLink &&other) noexcept;
  ~PeerLink();

  /// Queues a frame to \p to, or drops it and counts it in FramesDropped.
  void send(common::Endpoint to, std::string_view frame);
  /// Waits up to \p timeout for frames and passes those that have arrived to
  /// \p handler, which may call send().
  void poll(std::chrono::milliseconds timeout, const Handler &handler);
  /// Closes the sending socket of a peer that is no longer a member.
  void disconnect(common::Endpoint to);

  const PeerLinkCounters &counters() const;

private:
  struct Implementation;
  explicit PeerLink(std::unique_ptr<Implementation> impl);

  std::unique_ptr<Implementation> Impl;
};

} // namespace auburnroute::transport

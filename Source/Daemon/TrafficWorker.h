#pragma once

#include "Common/Clock.h"
#include "Coordination/Distribution/RelayPolicy.h"
#include "Coordination/Forwarding/ForwardingEngine.h"
#include "Coordination/Forwarding/SynRing.h"
#include "Coordination/Membership/OwnerFailureDetector.h"
#include "Daemon/AdmissionSummary.h"
#include "Daemon/ControlSnapshot.h"
#include "Protocol/HandOverCodec.h"
#include "Protocol/PacketView.h"
#include "State/Counters.h"
#include "State/DaemonSettings.h"
#include "Transport/UdpSocket.h"

#include <array>
#include <atomic>
#include <functional>

namespace auburnroute::daemon {

/// Receives packets from the fabric and forwards them. One per traffic thread.
/// The only per-flow state is the SYNs of the last second.
class TrafficWorker {
public:
  /// Called with the refusals of this thread.
  using SummaryFunction = std::function<void(AdmissionSummary)>;
  /// Called with the admission socket of an owner that seems to place no flows.
  using OwnerUnresponsiveFunction = std::function<void(common::Endpoint)>;

  /// \p onOwnerUnresponsive is called on the traffic thread, at most once per
  /// second and service; it may allocate.
  TrafficWorker(const state::DaemonSettings &settings,
                const common::Clock &clock, const SnapshotPublisher &snapshots,
                transport::UdpSocket socket,
                OwnerUnresponsiveFunction onOwnerUnresponsive);

  /// \p onSummary is called on the traffic thread at most every 200 ms, if
  /// flows were refused. Call before run().
  void setSummaryFunction(SummaryFunction onSummary) {
    OnSummary = std::move(onSummary);
  }
  /// Handles packets until \p stop is set.
  void run(const std::atomic<bool> &stop);

  const state::CounterSet &counters() const { return Counters; }
  /// Monotonic time of the last packet, in nanoseconds since the clock's epoch.
  std::int64_t lastPacketNanoseconds() const {
    return LastPacketNanoseconds.load(std::memory_order_relaxed);
  }

private:
  void refreshSnapshot();
  void sendRefusalSummary();
  void onNewOwner(std::uint32_t service, common::Endpoint previous);
  void handle(std::span<std::byte> datagram);
  void apply(const forwarding::ForwardToBackendServer &outcome,
             protocol::PacketView &view);
  void apply(const forwarding::ForwardToCaller &outcome,
             protocol::PacketView &view);
  void apply(const forwarding::HandOver &outcome, protocol::PacketView &view);
  void apply(const forwarding::Refuse &outcome, protocol::PacketView &view);
  void apply(const forwarding::Drop &outcome, protocol::PacketView &view);
  void handOver(common::Endpoint to, protocol::HandOverKind kind,
                const protocol::PacketView &view);
  common::Endpoint ownerOf(std::uint32_t service) const {
    return Snapshot->AdmissionOwners[service];
  }

  const common::Clock &Clock;
  const SnapshotPublisher &Snapshots;
  common::Endpoint Gateway;
  common::Endpoint Self; ///< Admission socket of this host.
  transport::UdpSocket Socket;
  protocol::HandOverCodec Codec;
  OwnerUnresponsiveFunction OnOwnerUnresponsive;
  SummaryFunction OnSummary;
  /// FlowOutcomes only; events are collected in RefusalEvents.
  AdmissionSummary RefusalSummary;
  placement::AdmissionEvents RefusalEvents;
  common::TimePoint NextSummary;
  forwarding::ForwardingEngine Engine;
  distribution::RelayPolicy Relays;
  membership::OwnerFailureDetector FailureDetector;
  forwarding::SynRing RecentSyns;
  common::TimePoint Now; ///< When the current batch was received.
  std::shared_ptr<const ControlSnapshot> Snapshot;
  std::uint64_t SnapshotVersion = 0;
  state::CounterSet Counters;
  std::atomic<std::int64_t> LastPacketNanoseconds{0};
  /// Hand-over headers of the current batch. Queued datagrams refer to them
  /// until Socket.flush().
  std::array<std::array<std::byte, protocol::HandOverCodec::HeaderSize>,
             transport::UdpSocket::BatchSize>
      Headers{};
  std::size_t HeadersUsed = 0;
};

} // namespace auburnroute::daemon

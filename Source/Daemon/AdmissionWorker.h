#pragma once

#include "Common/Clock.h"
#include "Coordination/Forwarding/EndedFlows.h"
#include "Coordination/Forwarding/ForwardingEngine.h"
#include "Coordination/Placement/AdmissionController.h"
#include "Daemon/AdmissionSummary.h"
#include "Daemon/ControlSnapshot.h"
#include "Protocol/HandOverCodec.h"
#include "Protocol/PacketView.h"
#include "State/Counters.h"
#include "State/DaemonSettings.h"
#include "Transport/UdpSocket.h"

#include "absl/container/flat_hash_map.h"

#include <atomic>
#include <vector>

namespace auburnroute::daemon {

/// Places the new flows that hosts hand over to this host, forwards the packets
/// that end them, and relays packets for hosts with older settings. Runs on the
/// admission thread.
class AdmissionWorker {
public:
  AdmissionWorker(const state::DaemonSettings &settings,
                  const common::Clock &clock,
                  const SnapshotPublisher &snapshots,
                  transport::UdpSocket socket);

  /// Handles one batch of datagrams, waiting at most 2 ms for it, and places or
  /// refuses the held SYNs that are due.
  void runOnce();

  /// Events and flow outcomes since the last call.
  AdmissionSummary takeSummary();

  void onLoadReport(std::uint64_t revision, std::uint32_t backendServer,
                    const health::LoadReport &report);
  void onReportFailure(std::uint64_t revision, std::uint32_t backendServer);

  const state::CounterSet &counters() const { return Counters; }
  /// Number of SYNs held at present. Any thread.
  std::size_t heldFlows() const {
    return HeldCount.load(std::memory_order_relaxed);
  }

private:
  void refreshSnapshot(common::TimePoint now);
  void checkPause(common::TimePoint now);
  bool canPlaceFlows() const;
  void handle(common::TimePoint now, std::span<std::byte> datagram);
  void onSyn(common::TimePoint now, const protocol::HandOverView &handOver,
             protocol::PacketView &view);
  void admit(common::TimePoint now, protocol::PacketView &view);
  void onFinish(common::TimePoint now, const protocol::HandOverView &handOver,
                protocol::PacketView &view);
  void endFlow(common::TimePoint now, protocol::PacketView &view);
  /// Forwards a packet that the sending host could not route, as its settings
  /// lack the listener or the backend server.
  void relay(protocol::PacketView &view);
  template <typename Forward>
  void forward(const Forward &outcome, common::Endpoint to,
               protocol::PacketView &view);
  void place(const placement::Place &place, protocol::PacketView &view);
  void refuse(const placement::RefuseFlow &refusal,
              const protocol::PacketView &view);
  void releaseHeldSyns(common::TimePoint now);
  void applySnapshot(common::TimePoint now);
  /// Hands a packet over to another host with a hop count of 2, so that the
  /// receiver does not hand it over again.
  void sendSecondHop(common::Endpoint next, protocol::HandOverKind kind,
                     std::span<const std::byte> packet);
  /// On a graceful stop, hands the held SYNs over to the new admission owners.
  void handOverHeldSyns();
  void recordWait(std::uint32_t service, std::chrono::nanoseconds waitTime);
  /// Outcome counts of a service since the last summary.
  state::FlowOutcomeCounts &outcomesOf(std::uint32_t service);

  const common::Clock &Clock;
  const SnapshotPublisher &Snapshots;
  common::Endpoint Gateway;
  std::chrono::milliseconds PauseLimit;
  transport::UdpSocket Socket;
  protocol::HandOverCodec Codec;
  forwarding::ForwardingEngine Engine;
  placement::AdmissionController Controller;
  std::shared_ptr<const ControlSnapshot> Snapshot;
  std::uint64_t SnapshotVersion = 0;
  common::TimePoint LastRun;
  common::TimePoint PauseDetectedAt; ///< Last pause of this thread.
  struct HeldSyn {
    std::vector<std::byte> Bytes;
    common::TimePoint HeldSince;
  };
  absl::flat_hash_map<forwarding::FlowKey, HeldSyn> HeldSyns;
  forwarding::EndedFlows RecentlyEnded;
  state::WaitStatistics WaitTimes;
  std::map<std::string, state::FlowOutcomeCounts> FlowOutcomes;
  common::Endpoint Self;
  std::string Zone;
  std::atomic<std::size_t> HeldCount{0};
  state::CounterSet Counters;
};

} // namespace auburnroute::daemon

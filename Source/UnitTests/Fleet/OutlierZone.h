#pragma once

#include "Common/ManualClock.h"
#include "Fleet/GossipCodec.h"
#include "Fleet/OutlierDetector.h"
#include "Routing/PacketRouter.h"
#include "Routing/ServerPlacement.h"
#include "UnitTests/Fleet/FleetFixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace auburnroute::unittests {

/// How a server of an OutlierZone fails.
enum class ServerFault : std::uint8_t {
  None,
  Hang,   ///< Accepts flows and requests, never answers.
  Errors, ///< Answers with an error at once; callers close the flow.
  Reset,  ///< Resets flows at their next request.
  Slow,   ///< Takes five times as long.
  Flap,   ///< Down and up by turns, 1.4 s each.
};

/// The hosts of one zone with callers and servers, on a virtual clock. Callers
/// send requests on flows of their own (note) and on long-lived ones (sync);
/// packets may be lost and are retransmitted.
class OutlierZone final {
public:
  static constexpr std::uint32_t FirstAddress = 0x0a010001; // 10.1.0.1
  static constexpr std::chrono::milliseconds FlapTime{1400};

  struct Options {
    std::uint32_t Hosts = 22;
    std::uint64_t Servers = 40;
    double RatePerServer = 12; ///< Requests a second.
    /// Share of the requests on long-lived flows.
    double LongShare = 2.0 / 3;
    double MeanWorkMs = 30;
    double Sigma = 0.8; ///< Of the lognormal time of a request.
    double Loss = 0;    ///< Of packets and messages.
    /// Share of the servers that have just started, half as fast.
    double ColdShare = 0;
    /// Share of the long-lived flows that send five times as often.
    double BusyCallerShare = 0;
    /// Share of the callers that close each flow after its first answer, and
    /// that give up after 300 ms.
    double HastyCallerShare = 0;
  };

  OutlierZone(const Options &options, std::uint64_t seed);

  void run(std::chrono::milliseconds time);
  void setFault(routing::ServerId id, ServerFault fault) {
    Servers[id].Fault = fault;
    Servers[id].FaultSince = Clock.now();
  }
  /// A host that is gone: callers use the others.
  void kill(std::size_t host) { Hosts[host]->IsDown = true; }
  /// A host that receives nothing: its callers' packets and messages are lost.
  void setCut(std::size_t host, bool isCut) { Hosts[host]->IsCut = isCut; }
  /// A host whose packets reach no server, while callers and hosts reach it.
  void setIsolated(std::size_t host, bool is) { Hosts[host]->IsIsolated = is; }
  /// A process that stands still, and goes on as EdgeNode does after a pause.
  void pause(std::size_t host, std::chrono::milliseconds time);
  /// Makes the hosts from \p first on unknown to those before it.
  void hideHostsFrom(std::size_t first);

  struct Verdict {
    common::TimePoint At;
    std::size_t Host = 0;
    routing::ServerId Server = 0;
    routing::OutlierKind Kind = routing::OutlierKind::None;
    std::chrono::milliseconds Hold{0};
    /// Set on the host that decided.
    std::optional<routing::OutlierEvidence> Evidence;
    bool IsNew = false;
  };
  std::vector<Verdict> Verdicts;
  std::size_t MessageBytes = 0;
  std::uint64_t Answered = 0;
  /// New flows forwarded to each server.
  std::vector<std::uint64_t> Placed;
  /// Resets of open flows by hosts.
  std::uint64_t ResetFlows = 0;
  common::ManualClock Clock;

  /// The hosts that hold a verdict on \p id.
  std::size_t degradedAt(std::size_t host) const {
    return Hosts[host]->Degraded.count(Clock.now());
  }
  std::size_t hostsWithVerdict(routing::ServerId id) const;
  /// Time from \p from until the last host that runs had a verdict on \p id.
  std::chrono::milliseconds knownAfter(routing::ServerId id,
                                       common::TimePoint from) const;
  /// Time from \p from until the first verdict on \p id.
  std::chrono::milliseconds firstAfter(routing::ServerId id,
                                       common::TimePoint from) const {
    const auto it = std::ranges::find(Verdicts, id, &Verdict::Server);
    return it == Verdicts.end()
               ? std::chrono::milliseconds::max()
               : std::chrono::duration_cast<std::chrono::milliseconds>(it->At -
                                                                       from);
  }

private:
  struct Host final : routing::RoutingObserver, fleet::OutlierObserver {
    Host(OutlierZone &zone, std::size_t index, std::uint64_t seed);
    void onPlaced(const routing::FlowId &, routing::ServerId server,
                  std::uint32_t) override {
      ++Zone.Placed[server];
    }
    void onRefused(const routing::RefusedPacket &packet) override {
      Zone.ResetFlows += !packet.IsSyn && !packet.IsDropped;
    }
    void onSuspected(const routing::FlowId &, routing::ServerId,
                     routing::SuspicionReason,
                     std::chrono::milliseconds) override {}
    void onSuspicionCleared(routing::ServerId) override {}
    void onAnswered(const routing::FlowId &, routing::ServerId,
                    std::chrono::milliseconds,
                    std::chrono::milliseconds) override {}
    void onDegraded(const fleet::OutlierEvent &event) override;
    void onDegradedEnd(routing::ServerId, std::chrono::milliseconds) override {}
    void onRejected(fleet::EvidenceRejection, std::uint64_t,
                    std::uint32_t) override {}

    OutlierZone &Zone;
    std::size_t Index;
    routing::RouteTable Routes;
    routing::ServerDirectory Directory{LapsedServerRetention};
    routing::ServerHealthTracker Health;
    fleet::PeerTable Peers;
    routing::OutcomeTracker Outcomes{Directory};
    routing::DegradedServers Degraded;
    fleet::OutlierDetector Detector;
    routing::ServerPlacement Placement;
    routing::PacketRouter Router;
    bool IsDown = false;
    bool IsCut = false;
    bool IsIsolated = false;
    common::TimePoint PausedUntil;
    bool WasPaused = false;
  };
  struct Server {
    ServerFault Fault = ServerFault::None;
    common::TimePoint FaultSince;
    common::TimePoint ColdUntil;
    std::uint32_t Running = 0;
    std::vector<std::pair<std::size_t, std::uint32_t>> Queue;
  };
  struct Flow {
    routing::FlowId Id;
    std::size_t Host = 0;
    routing::ServerId Server = 0;
    std::uint32_t Tag = 0;
    std::uint32_t Sequence = 1000;
    std::uint32_t Acknowledged = 5000;
    bool IsLong = false;
    bool IsOpen = false;
    bool IsBusy = false;
    bool IsClosed = false;
    bool IsReceived = false; ///< The pending request, by the server.
    int Retries = 0;
    bool IsHasty = false;
    double Pause = 1; ///< Between two requests, s.
  };

  void after(std::chrono::nanoseconds delay, std::function<void()> action) {
    Events.emplace(Clock.now() + delay, std::move(action));
  }
  bool isLost() { return Unit(Random) < Opts.Loss; }
  bool isUp(const Server &server) const;
  void arrive(bool isLong);
  void openFlow(bool isLong, int retries);
  void sendSyn(std::size_t flow, std::uint32_t copy);
  void request(std::size_t flow);
  void sendData(std::size_t flow, std::uint32_t sequence,
                std::chrono::milliseconds delay);
  void serverReceives(std::size_t flow, std::uint32_t sequence);
  void startWork(routing::ServerId id, std::size_t flow,
                 std::uint32_t sequence);
  void answer(std::size_t flow, std::uint32_t sequence, bool isError);
  /// Sends a packet of a caller through its host, if nothing is in the way.
  std::optional<routing::ForwardPacket> send(std::size_t flow,
                                             routing::FlowPacket packet);
  routing::FlowPacket packetOf(const Flow &flow) const;
  void end(std::size_t flow, bool isAnnounced, bool retry);
  void tickHosts();
  void exchange(Host &host);

  Options Opts;
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Unit{0, 1};
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Server> Servers;
  std::vector<Flow> Flows;
  std::multimap<common::TimePoint, std::function<void()>> Events;
  std::uint64_t Heartbeat = 1;
  std::size_t HiddenFrom = ~std::size_t{0};
};

} // namespace auburnroute::unittests

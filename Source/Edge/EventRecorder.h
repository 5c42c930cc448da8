#pragma once

#include "Edge/EventLog.h"
#include "Fleet/FleetView.h"
#include "Routing/RoutingObserver.h"

#include <array>
#include <cstdint>
#include <string>

namespace auburnroute::edge {

/// Counters of an edge daemon since its start.
struct EdgeCounters {
  std::uint64_t CallerPackets = 0;
  std::uint64_t PacketsForwarded = 0;
  std::uint64_t FlowsPlaced = 0;
  std::uint64_t SynsRepeated = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(routing::Refusal::Count)>
      Refusals{};
  std::uint64_t Suspicions = 0;
  std::uint64_t RegistryCalls = 0;
  std::uint64_t RegistryFailures = 0;
  std::uint64_t GossipSent = 0;
  std::uint64_t GossipBytesSent = 0;
  std::uint64_t GossipReceived = 0;
  std::uint64_t GossipMalformed = 0;
  std::uint64_t SnapshotsFetched = 0;
  std::uint64_t Pauses = 0;
  std::uint64_t StalePacketsDropped = 0;
};

/// Turns decisions into log lines and counts.
class EventRecorder final : public routing::RoutingObserver,
                            public fleet::ViewObserver {
public:
  EventRecorder(EventLog &log, const common::Clock &clock,
                const routing::ServerDirectory &directory,
                const routing::ServerEvidence &evidence)
      : Log(log), Clock(clock), Directory(directory), Evidence(evidence) {}

  void onPlaced(const routing::FlowId &flow, routing::ServerId server,
                std::uint32_t copy) override;
  void onRefused(const routing::FlowId &flow, routing::Refusal why,
                 bool silent) override;
  void onSuspected(routing::ServerId server, routing::Suspicion why,
                   std::chrono::milliseconds silence) override;
  void onCleared(routing::ServerId server) override;
  void onConfiguration(std::uint64_t version) override;
  void onServer(const routing::ServerRegistration &server,
                routing::DirectoryChange change) override;

  /// The view that decisions are taken on, for the lines.
  void setView(const fleet::FleetView *view) { View = view; }
  EdgeCounters &counters() { return Counters; }

private:
  std::string serverField(routing::ServerId server) const;
  std::string viewFields() const;

  EventLog &Log;
  const common::Clock &Clock;
  const routing::ServerDirectory &Directory;
  const routing::ServerEvidence &Evidence;
  const fleet::FleetView *View = nullptr;
  EdgeCounters Counters;
};

} // namespace auburnroute::edge

#pragma once

#include "Edge/EdgeMetrics.h"
#include "Edge/EventLog.h"
#include "Fleet/CauseHistory.h"
#include "Fleet/FleetView.h"
#include "Fleet/OutlierDetector.h"
#include "Fleet/SharedColdStartLimiter.h"
#include "Fleet/SharedFailureDetector.h"
#include "Routing/RoutingObserver.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburnroute::edge {

/// Records routing decisions as log lines, metrics and causes.
class EventRecorder final : public routing::RoutingObserver,
                            public fleet::VerdictObserver,
                            public fleet::ColdStartObserver,
                            public fleet::OutlierObserver {
public:
  /// References must outlive the object.
  EventRecorder(EventLog &log, const common::Clock &clock,
                const routing::ServerDirectory &directory,
                const routing::ServerHealthTracker &health,
                fleet::CauseHistory &history)
      : Log(log), Clock(clock), Directory(directory), Health(health),
        History(history) {}

  void onPlaced(const routing::FlowId &flow, routing::ServerId server,
                std::uint32_t copy) override;
  void onRefused(const routing::RefusedPacket &packet) override;
  void onSuspected(const routing::FlowId &flow, routing::ServerId server,
                   routing::SuspicionReason why,
                   std::chrono::milliseconds silence) override;
  void onSuspicionCleared(routing::ServerId server) override;
  void onAnswered(const routing::FlowId &flow, routing::ServerId server,
                  std::chrono::milliseconds time,
                  std::chrono::milliseconds objective) override;
  void onVerdict(const fleet::VerdictEvent &verdict) override;
  void onVerdictEnd(const fleet::VerdictEnd &end) override;
  void onDegraded(const fleet::OutlierEvent &event) override;
  void onDegradedEnd(routing::ServerId server,
                     std::chrono::milliseconds duration) override;
  void onRejected(fleet::EvidenceRejection why, std::uint64_t identity,
                  std::uint32_t sender) override;
  void onCold(routing::ServerId server, std::uint32_t share) override;
  void onWarm(routing::ServerId server) override;
  void onLimited(std::optional<routing::ServerId> server) override;
  void recordConfiguration(std::uint64_t version);
  void recordEvacuation(const routing::ZoneEvacuation &evacuation);
  void recordEra(const fleet::EraChange &change);
  void recordRejectedEntry(const fleet::RejectedEntry &entry);
  void recordReconciliation(const fleet::EraReconciliation &result);
  /// Backend servers of the first view are not logged individually; the "ready"
  /// line has their number.
  void recordServer(const routing::ServerRegistration &server,
                    routing::DirectoryChange change);

  /// Sets the view whose revision and age are logged with each decision; none
  /// if null. It must outlive the object.
  void setView(const fleet::FleetView *view) { View = view; }
  EdgeMetrics &metrics() { return Metrics; }
  const EdgeMetrics &metrics() const { return Metrics; }

private:
  std::string serverField(routing::ServerId server) const;
  /// Records cause \p why with \p server and its service.
  void recordCause(state::Cause why, routing::ServerId server);
  const std::string &serviceOf(routing::ServerId server) const;
  /// The tag of a packet of an open flow, and why its server is taken to have
  /// ended.
  std::string openFlowFields(const routing::RefusedPacket &packet) const;
  std::string viewFields() const;

  EventLog &Log;
  const common::Clock &Clock;
  const routing::ServerDirectory &Directory;
  const routing::ServerHealthTracker &Health;
  fleet::CauseHistory &History;
  const fleet::FleetView *View = nullptr;
  EdgeMetrics Metrics;
};

} // namespace auburnroute::edge

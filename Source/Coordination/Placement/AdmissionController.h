#pragma once

#include "Common/Clock.h"
#include "Coordination/Forwarding/FlowKey.h"
#include "Coordination/Health/LoadReport.h"
#include "Coordination/Placement/AdmissionEvents.h"
#include "Coordination/Placement/AdmittedService.h"
#include "Coordination/Placement/CandidateList.h"
#include "State/Cause.h"
#include "State/ServiceTable.h"
#include "State/Settings.h"

#include "absl/container/flat_hash_set.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace auburnroute::placement {

/// Send the SYN to this backend server.
struct Place {
  std::uint32_t Service = 0;
  std::uint16_t Number = 0;
};

/// Keep the SYN until poll() returns a decision for its flow.
struct Hold {};

/// Answer the SYN with a reset; it was not forwarded.
struct RefuseFlow {
  std::uint32_t Service = 0;
  state::Cause Why = state::Cause::None;
};

using AdmissionDecision = std::variant<Place, Hold, RefuseFlow>;

/// The decision for a flow whose SYN was held.
struct ReleasedFlow {
  forwarding::FlowKey Key;
  AdmissionDecision Decision; ///< Place or RefuseFlow.
};

/// How a flow ended.
enum class FinishKind {
  Ended,       ///< The backend server's FIN.
  Reset,       ///< The backend server's RST on an established flow.
  SynRefused,  ///< The backend server's RST in answer to the SYN: sequence
               ///< number 0 and ACK set (RFC 9293, 3.5.2).
  CallerReset, ///< The caller's RST.
};

/// Chooses the backend server of each new flow. Runs on the host that is the
/// admission owner of a service.
///
/// A deterministic function of events and their times; uses no socket, clock or
/// thread. Tables are bounded by queueLimit and MaxHeld (held SYNs),
/// FlowRecords::MaxRecords (placed flows) and AdmissionEvents::MaxEvents
/// (events). Each refusal, ejection and change of health is reported as an
/// event with its cause.
class AdmissionController {
public:
  /// A repeated SYN goes to the same server for this long, which covers the
  /// first three retransmissions (after 1, 3 and 7 s). Later, the flow is
  /// considered dead or its port reused, and a new decision is made.
  static constexpr std::chrono::seconds SynRepeatWindow{10};
  /// Limit on the held SYNs of all services together.
  static constexpr std::size_t MaxHeld = 65'536;
  /// Age at which the record of a request is removed, unless the server's
  /// report confirms its requests.
  static constexpr std::chrono::minutes MaxRequestAge{5};
  /// Age at which the record of a feed is removed. Feeds last for hours; an
  /// older record means that the end of the feed was missed.
  static constexpr std::chrono::hours MaxFeedAge{24};
  static constexpr std::chrono::seconds AgeCheckInterval{1};

  /// \p zone is the availability zone of this host.
  explicit AdmissionController(std::string zone);
  // Not copyable: Candidates refers to other members.
  AdmissionController(const AdmissionController &) = delete;
  AdmissionController &operator=(const AdmissionController &) = delete;

  /// Applies a settings revision. Keeps held SYNs, and the counts and health of
  /// servers that remain (same service and address).
  void onSettings(common::TimePoint now,
                  std::shared_ptr<const state::Settings> settings,
                  std::shared_ptr<const state::ServiceTable> table);
  /// Sets which backend servers (table ids) the host list names as leaving.
  /// Call again after onSettings, as ids change.
  void onLeaving(common::TimePoint now,
                 const absl::flat_hash_set<std::uint32_t> &backendServers);
  /// Decides on a SYN. A repeated SYN of a placed flow goes to the same server
  /// if that still takes new flows; one of a held flow stays held.
  AdmissionDecision onSyn(common::TimePoint now,
                          const forwarding::FlowKey &key);
  /// A flow ended. \p number is the number of its backend server, 0 if unknown;
  /// it is needed for flows that another host placed.
  void onFinish(common::TimePoint now, const forwarding::FlowKey &key,
                FinishKind kind = FinishKind::Ended, std::uint16_t number = 0);
  /// Handles a load report of the backend server with this table id.
  void onLoadReport(common::TimePoint now, std::uint32_t backendServer,
                    const health::LoadReport &report);
  /// The load report could not be fetched.
  void onReportFailure(common::TimePoint now, std::uint32_t backendServer);
  /// Returns decisions for held flows: those for which a slot is free, and
  /// those whose deadline has passed. Call after each event and at least every
  /// 10 ms.
  std::vector<ReleasedFlow> poll(common::TimePoint now);

  /// Returns the events since the last call.
  std::vector<AdmissionEvent> takeEvents() { return Events.take(); }
  /// Removes and returns all held SYNs, earliest deadline first per service, so
  /// that they can be passed to the next admission owner.
  std::vector<HeldSyn> takeHeld();

  /// Number of held SYNs of a service (index in the settings).
  std::size_t held(std::uint32_t service) const {
    return service < Services.size() ? Services[service].Queue.size() : 0;
  }
  /// Number of placed flows of this kind without a known end.
  std::uint32_t outstanding(std::uint32_t backendServer,
                            state::ListenerKind kind) const {
    return Flows.count(backendServer, kind);
  }
  health::HealthState health(common::TimePoint now,
                             std::uint32_t backendServer) const;

private:
  void addServers(common::TimePoint now, std::vector<AdmittedServer> before);
  void requeueHeld(common::TimePoint now, const std::vector<HeldSyn> &syns);
  /// Whether the next poll() returns a decision for this flow. If its SYN is
  /// repeated before that, there must not be a second decision.
  bool hasPendingDecision(const forwarding::FlowKey &key) const;
  std::optional<Place> placementForRepeatedSyn(common::TimePoint now,
                                               const forwarding::FlowKey &key);
  AdmissionDecision admit(common::TimePoint now, const forwarding::FlowKey &key,
                          const state::ListenerEntry &listener);
  ServerChoice choose(common::TimePoint now, std::uint32_t service,
                      state::ListenerKind kind);
  Place place(common::TimePoint now, const forwarding::FlowKey &key,
              std::uint32_t id, state::ListenerKind kind);
  RefuseFlow refuse(common::TimePoint now, const forwarding::FlowKey &key,
                    std::optional<std::uint32_t> service, state::Cause why);
  void refuseExpired(common::TimePoint now, std::uint32_t service);
  void placeHeld(common::TimePoint now, std::uint32_t service);
  bool placeFirstHeld(common::TimePoint now, std::uint32_t service);
  void onOtherHostFlowEnded(const forwarding::FlowKey &key,
                            std::uint16_t number);
  void onRestart(common::TimePoint now, std::uint32_t id);
  void updateMedians(std::uint32_t service);
  void expireByAge(common::TimePoint now);
  void addEvent(common::TimePoint now, state::Cause why, std::uint32_t id,
                std::uint64_t count = 1);
  const state::ServicePolicy &policyOf(std::uint32_t id) const;
  health::FlowCounts flowsBeforeCutoff(std::uint32_t id) const;

  std::string Zone;
  std::shared_ptr<const state::Settings> CurrentSettings;
  std::shared_ptr<const state::ServiceTable> Table;
  FlowRecords Flows;
  std::vector<AdmittedServer> Servers; ///< By backend server id.
  std::vector<AdmittedService> Services;
  std::set<std::uint32_t> ServicesWithHeldSyns;
  std::size_t HeldCount = 0; ///< Held SYNs of all services.
  std::vector<ReleasedFlow> Released;
  CandidateList Candidates{Zone, Flows, Servers, Services};
  AdmissionEvents Events;
  common::TimePoint NextAgeCheck;
};

} // namespace auburnroute::placement

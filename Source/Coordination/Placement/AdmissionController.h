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

/// Keep the SYN until a later decision names its flow.
struct Hold {};

/// Answer the SYN with a reset; it was not forwarded.
struct RefuseFlow {
  std::uint32_t Service = 0;
  state::Cause Why = state::Cause::None;
};

using AdmissionDecision = std::variant<Place, Hold, RefuseFlow>;

/// A decision on a flow that was held.
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
/// Pure decisions over (time, event); no socket, clock or thread. Tables are
/// bounded by queueLimit and MaxHeld (held SYNs), FlowRecords::MaxRecords
/// (placed flows) and AdmissionEvents::MaxEvents (events). Each refusal,
/// ejection and change of health is an event with its cause.
class AdmissionController {
public:
  /// A repeated SYN goes to the same server for this long, which covers the
  /// first three retransmissions (1, 3 and 7 s). After that the flow is taken
  /// for dead or its port for reused, and a new decision is made.
  static constexpr std::chrono::seconds SynRepeatWindow{10};
  /// Held SYNs of all services together.
  static constexpr std::size_t MaxHeld = 65'536;
  /// Age at which a request's record is given up if no report confirms it.
  static constexpr std::chrono::minutes MaxRequestAge{5};
  /// Age at which a feed's record is given up. Feeds live for hours; records
  /// older than a day are ends that were not seen.
  static constexpr std::chrono::hours MaxFeedAge{24};
  static constexpr std::chrono::seconds AgeCheckInterval{1};

  /// \p zone is the availability zone of this host.
  explicit AdmissionController(std::string zone);
  // Candidates refers to other members.
  AdmissionController(const AdmissionController &) = delete;
  AdmissionController &operator=(const AdmissionController &) = delete;

  /// Applies a settings revision. Counts and health of servers that remain
  /// (same service and address) are kept, and so are held SYNs.
  void onSettings(common::TimePoint now,
                  std::shared_ptr<const state::Settings> settings,
                  std::shared_ptr<const state::ServiceTable> table);
  /// The backend servers (table ids) that the host list names as leaving; all
  /// others are not. Call again after onSettings, as ids change.
  void onLeaving(common::TimePoint now,
                 const absl::flat_hash_set<std::uint32_t> &backendServers);
  /// A SYN. A repeated SYN of a flow that was placed goes to the same server
  /// while that takes new flows; one of a flow that is held stays held.
  AdmissionDecision onSyn(common::TimePoint now,
                          const forwarding::FlowKey &key);
  /// A flow ended. \p number is that of the backend server if known, else 0;
  /// it serves to count flows that another host placed.
  void onFinish(common::TimePoint now, const forwarding::FlowKey &key,
                FinishKind kind = FinishKind::Ended, std::uint16_t number = 0);
  /// A load report of the backend server with this table id.
  void onLoadReport(common::TimePoint now, std::uint32_t backendServer,
                    const health::LoadReport &report);
  /// The load report could not be had.
  void onReportFailure(common::TimePoint now, std::uint32_t backendServer);
  /// Decisions on held flows that are due: slots that are free, deadlines that
  /// have passed. Call after each event and at least every 10 ms.
  std::vector<ReleasedFlow> poll(common::TimePoint now);

  /// Returns the events since the last call.
  std::vector<AdmissionEvent> takeEvents() { return Events.take(); }
  /// Gives up all held SYNs, earliest deadline first per service, so that the
  /// next admission owner can have them.
  std::vector<HeldSyn> takeHeld();

  /// Held SYNs of a service (index in the settings).
  std::size_t held(std::uint32_t service) const {
    return service < Services.size() ? Services[service].Queue.size() : 0;
  }
  /// Placed flows of this kind that have not been seen to end.
  std::uint32_t outstanding(std::uint32_t backendServer,
                            state::ListenerKind kind) const {
    return Flows.count(backendServer, kind);
  }
  health::HealthState health(common::TimePoint now,
                             std::uint32_t backendServer) const;

private:
  void addServers(common::TimePoint now, std::vector<AdmittedServer> before);
  void requeueHeld(common::TimePoint now, const std::vector<HeldSyn> &syns);
  /// Whether the next poll() returns a decision on this flow. A SYN that is
  /// repeated before that must not lead to another one.
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
  std::set<std::uint32_t> ServicesWithHeldSyns; ///< Services that hold SYNs.
  std::size_t HeldCount = 0;                    ///< SYNs over all services.
  std::vector<ReleasedFlow> Released;
  CandidateList Candidates{Zone, Flows, Servers, Services};
  AdmissionEvents Events;
  common::TimePoint NextAgeCheck;
};

} // namespace auburnroute::placement

#pragma once

#include "Common/Clock.h"
#include "Coordination/FlowKey.h"
#include "Coordination/LoadReport.h"
#include "State/Cause.h"
#include "State/ServiceTable.h"
#include "State/Settings.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace auburnroute::coordination {

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
  FlowKey Key;
  AdmissionDecision Decision; ///< Place or RefuseFlow.
};

/// Chooses the backend server of each new flow. Runs on the host that is the
/// admission owner of a service, or on any host in fallback.
///
/// Pure decisions over (time, event); no socket, clock or thread.
class AdmissionController {
public:
  /// \p zone is the availability zone of this host.
  explicit AdmissionController(std::string zone);

  /// Applies a settings revision. Counts of servers that remain are kept.
  void onSettings(common::TimePoint now,
                  std::shared_ptr<const state::Settings> settings,
                  std::shared_ptr<const state::ServiceTable> table);
  /// A SYN. A repeated SYN of a flow that was placed goes to the same server;
  /// one of a flow that is held stays held.
  AdmissionDecision onSyn(common::TimePoint now, const FlowKey &key);
  /// The backend server ended a request flow (FIN or RST).
  void onFinish(common::TimePoint now, const FlowKey &key);
  /// A load report of the backend server with this table id.
  void onLoadReport(common::TimePoint now, std::uint32_t backendServer,
                    const LoadReport &report);
  /// The load report could not be had.
  void onReportFailure(common::TimePoint now, std::uint32_t backendServer);
  /// Decisions on held flows that are due: slots that are free, deadlines that
  /// have passed. Call after each event and at least every 10 ms.
  std::vector<ReleasedFlow> poll(common::TimePoint now);

private:
  struct Outstanding {
    std::uint32_t BackendServer = 0;
    std::uint16_t Number = 0;
    std::uint32_t Service = 0;
    common::TimePoint Since;
  };

  std::string Zone;
  std::shared_ptr<const state::Settings> InForce;
  std::shared_ptr<const state::ServiceTable> Table;
  absl::flat_hash_map<FlowKey, Outstanding> Flows;
  std::vector<std::uint32_t> OpenFlows; ///< By backend server id.
};

} // namespace auburnroute::coordination

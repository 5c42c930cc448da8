#pragma once

#include <string>
#include <string_view>

namespace auburnroute::state {

/// Kind of a difference between two settings.
enum class ChangeKind {
  RegionChanged,
  FlowSeedChanged,
  ZoneAdded,
  ZoneRemoved,
  ServiceAdded,
  ServiceRemoved,
  OwnerChanged,
  ListenerAdded,
  ListenerRemoved,
  ListenerChanged,
  BackendServerAdded,
  BackendServerRemoved,
  BackendServerDrained,
  BackendServerActivated,
  BackendServerReweighted,
  BackendServerChanged,
  PolicyChanged,
};

/// Stable name of a kind, as in JSON reports.
std::string_view toString(ChangeKind kind);

/// One difference between two settings.
struct SettingsChange {
  ChangeKind Kind = ChangeKind::PolicyChanged;
  std::string Subject; ///< Name of the changed object, such as "counter-1".
  std::string Before;  ///< Empty if the object was added.
  std::string After;   ///< Empty if the object was removed.
};

/// Why a change of settings may harm flows.
enum class WarningKind {
  RevisionNotHigher,      ///< Hosts do not apply such a document.
  FlowSeedChanged,        ///< Breaks every established flow.
  NumberReused,           ///< A number identifies another address.
  RemovedWithoutDraining, ///< Flows of the backend server break.
  AddressMoved,           ///< From one service directly to another.
  ListenerRemoved,        ///< Flows through the listener break.
};

/// Stable name of a kind, as in JSON reports.
std::string_view toString(WarningKind kind);

/// A risk of a change with its reason.
struct SettingsWarning {
  WarningKind Kind = WarningKind::RevisionNotHigher;
  std::string Text;
};

} // namespace auburnroute::state

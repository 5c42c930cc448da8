#pragma once

#include "Common/Clock.h"
#include "Daemon/ControlSnapshot.h"
#include "Daemon/Messages.h"
#include "State/DaemonSettings.h"

#include <caf/all.hpp>

#include <memory>

namespace auburnroute::daemon {

/// Owns the control state of the daemon: settings in force, membership and
/// reports. Runs on the control thread; publishes snapshots for the others.
class ControlActor : public caf::event_based_actor {
public:
  ControlActor(caf::actor_config &config, const state::DaemonSettings &settings,
               const common::Clock &clock, SnapshotPublisher &snapshots);

  caf::behavior make_behavior() override; // NOLINT: name fixed by CAF

private:
  void onSettings(const std::string &text);
  void publish();
  Report report(const ReportQuery &query) const;
  std::string statusJson() const;

  state::DaemonSettings Local;
  const common::Clock &Clock;
  SnapshotPublisher &Snapshots;
  common::TimePoint Started;
  std::shared_ptr<const state::Settings> InForce;
  std::string LastRefusal;
  bool Leaving = false;
};

} // namespace auburnroute::daemon

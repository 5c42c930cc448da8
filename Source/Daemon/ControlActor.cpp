#include "Daemon/ControlActor.h"

#include "Common/Log.h"
#include "State/SettingsLoader.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

namespace auburnroute::daemon {

using common::LogLevel;

ControlActor::ControlActor(caf::actor_config &config,
                           const state::DaemonSettings &settings,
                           const common::Clock &clock,
                           SnapshotPublisher &snapshots)
    : caf::event_based_actor(config), Local(settings), Clock(clock),
      Snapshots(snapshots), Started(clock.now()) {}

caf::behavior ControlActor::make_behavior() {
  return {
      [this](const PlatformSettings &it) { onSettings(it.Text); },
      [](const PlatformHosts &) {},
      [](const PlatformReachability &it) {
        if (it.Reachable)
          common::logLine(LogLevel::Info, "platform answers");
        else
          common::logLine(
              LogLevel::Warning,
              absl::StrCat("platform unreachable, last settings stay in "
                           "force: ",
                           it.Why));
      },
      [this](const BeginStop &) {
        Leaving = true;
        publish();
      },
      [this](const ReportQuery &query) { return report(query); },
  };
}

void ControlActor::onSettings(const std::string &text) {
  auto settings = state::loadSettings(text, "settings");
  if (!settings.ok()) {
    LastRefusal = std::string(settings.status().message());
    common::logLine(LogLevel::Error,
                    absl::StrCat("settings refused: ", LastRefusal));
    return;
  }
  if (InForce && settings->Revision <= InForce->Revision)
    return;
  InForce = std::make_shared<const state::Settings>(*std::move(settings));
  common::logLine(LogLevel::Info, absl::StrCat("settings revision ",
                                               InForce->Revision, " in force"));
  publish();
}

void ControlActor::publish() {
  if (!InForce)
    return;
  auto snapshot = std::make_shared<ControlSnapshot>();
  snapshot->Settings = InForce;
  snapshot->Table =
      std::make_shared<const state::ServiceTable>(*InForce, Local.Zone);
  snapshot->AdmissionOwners.assign(InForce->Services.size(), Local.Admission);
  snapshot->Confirmed = true;
  snapshot->Leaving = Leaving;
  snapshot->ConfirmedAt = Clock.now();
  Snapshots.publish(std::move(snapshot));
}

Report ControlActor::report(const ReportQuery &query) const {
  switch (query.What) {
  case ReportQuery::Kind::Ready:
    return {InForce && !Leaving, InForce && !Leaving ? "ready\n" : "no\n"};
  case ReportQuery::Kind::Status:
    return {true, statusJson()};
  default:
    return {true, "{}"};
  }
}

std::string ControlActor::statusJson() const {
  nlohmann::json root;
  root["host"] = Local.Host;
  root["zone"] = Local.Zone;
  root["state"] = Leaving ? "leaving" : InForce ? "live" : "joining";
  root["uptime_seconds"] =
      std::chrono::duration_cast<std::chrono::seconds>(Clock.now() - Started)
          .count();
  root["settings"]["revision"] = InForce ? InForce->Revision : 0;
  root["settings"]["last_refusal"] = LastRefusal;
  root["control"]["bytes_sent"] = 0;
  root["control"]["bytes_received"] = 0;
  return root.dump(2) + "\n";
}

} // namespace auburnroute::daemon

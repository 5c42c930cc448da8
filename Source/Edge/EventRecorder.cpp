#include "Edge/EventRecorder.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

namespace auburnroute::edge {

using common::toAbsl;
using routing::DirectoryChange;
using routing::FlowId;
using routing::Refusal;
using routing::ServerId;
using routing::Suspicion;

namespace {

std::string_view nameOf(DirectoryChange change) {
  switch (change) {
  case DirectoryChange::None:
    return "none";
  case DirectoryChange::Refreshed:
    return "refreshed";
  case DirectoryChange::Added:
    return "added";
  case DirectoryChange::Updated:
    return "updated";
  case DirectoryChange::Restarted:
    return "restarted";
  case DirectoryChange::Draining:
    return "draining";
  case DirectoryChange::Lapsed:
    return "lapsed";
  }
  return "invalid";
}

std::string flowField(const FlowId &flow) {
  return absl::StrCat("\"flow\":\"", routing::toString(flow), "\"");
}

} // namespace

std::string EventRecorder::serverField(ServerId server) const {
  return absl::StrCat("\"server\":\"", Directory.at(server).Registration.Name,
                      "\"");
}

std::string EventRecorder::viewFields() const {
  if (View == nullptr)
    return {};
  return absl::StrCat(",\"revision\":", View->revision(),
                      ",\"view_age_ms\":", View->age(Clock.now()).count());
}

void EventRecorder::onPlaced(const FlowId &flow, ServerId server,
                             std::uint32_t copy) {
  Metrics.add(EdgeCounter::FlowsPlaced);
  if (copy > 0)
    Metrics.add(EdgeCounter::SynsRepeated);
  if (!Log.admits(LogEvent::Placed))
    return;
  const auto &activity = Evidence.activity(server);
  Log.write(LogEvent::Placed,
            absl::StrCat(flowField(flow), ",", serverField(server),
                         ",\"copy\":", copy, ",\"busy\":", activity.Busy,
                         ",\"open\":", activity.Open, viewFields()));
}

void EventRecorder::onRefused(const FlowId &flow, Refusal why, bool silent) {
  Metrics.add(silent ? EdgeCounter::PacketsDropped : EdgeCounter::FlowsReset);
  if (!Log.admits(LogEvent::Refused))
    return;
  Log.write(LogEvent::Refused,
            absl::StrCat(flowField(flow), ",\"cause\":\"",
                         toAbsl(routing::toString(why)), "\",\"reset\":",
                         silent ? "false" : "true", viewFields()));
}

void EventRecorder::onSuspected(const FlowId &flow, ServerId server,
                                Suspicion why,
                                std::chrono::milliseconds silence) {
  Metrics.add(EdgeCounter::Suspicions);
  if (!Log.admits(LogEvent::Suspected))
    return;
  Log.write(LogEvent::Suspected,
            absl::StrCat(flowField(flow), ",", serverField(server),
                         ",\"cause\":\"", toAbsl(routing::toString(why)),
                         "\",\"silent_ms\":", silence.count()));
}

void EventRecorder::onCleared(ServerId server) {
  if (Log.admits(LogEvent::Cleared))
    Log.write(LogEvent::Cleared, serverField(server));
}

void EventRecorder::onAnswered(const FlowId &flow, ServerId server,
                               std::chrono::milliseconds time,
                               std::chrono::milliseconds objective) {
  Metrics.addAnswerTime(time);
  if (objective.count() == 0 || time <= objective ||
      !Log.admits(LogEvent::Late))
    return;
  Log.write(LogEvent::Late,
            absl::StrCat(flowField(flow), ",", serverField(server),
                         ",\"answer_ms\":", time.count(),
                         ",\"objective_ms\":", objective.count(),
                         ",\"busy\":", Evidence.activity(server).Busy));
}

void EventRecorder::recordConfiguration(std::uint64_t version) {
  if (Log.admits(LogEvent::Configuration))
    Log.write(LogEvent::Configuration,
              absl::StrCat("\"version\":", version, viewFields()));
}

void EventRecorder::recordServer(const routing::ServerRegistration &server,
                                 DirectoryChange change) {
  const bool first = View != nullptr && View->revision() == 0 &&
                     change == DirectoryChange::Added;
  if (first || !Log.admits(LogEvent::Server))
    return;
  Log.write(LogEvent::Server,
            absl::StrCat("\"server\":\"", server.Name, "\",\"service\":\"",
                         server.Service, "\",\"zone\":\"", server.Zone,
                         "\",\"address\":\"", common::toString(server.Address),
                         "\",\"state\":\"",
                         toAbsl(routing::toString(server.State)),
                         "\",\"change\":\"", toAbsl(nameOf(change)),
                         "\",\"entry_revision\":", server.Revision));
}

} // namespace auburnroute::edge

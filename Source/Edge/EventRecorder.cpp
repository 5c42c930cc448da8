#include "Edge/EventRecorder.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

namespace auburnroute::edge {

using common::toAbsl;
using routing::DirectoryChange;
using routing::EndReason;
using routing::FlowId;
using routing::RefusalReason;
using routing::ServerId;
using routing::SuspicionReason;

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

state::Cause causeOf(RefusalReason why) {
  switch (why) {
  case RefusalReason::NoConfiguration:
    return state::Cause::NoSettings;
  case RefusalReason::NoRoute:
    return state::Cause::NoRoute;
  case RefusalReason::RouteRemoved:
    return state::Cause::RouteRemoved;
  case RefusalReason::UnknownRoute:
    return state::Cause::NoRoute;
  case RefusalReason::NoServer:
    return state::Cause::NoBackendServer;
  case RefusalReason::Overloaded:
    return state::Cause::QueueFull;
  case RefusalReason::UnknownServer:
    return state::Cause::UnknownServer;
  case RefusalReason::ServerGone:
    return state::Cause::BackendServerDown;
  case RefusalReason::Malformed:
    return state::Cause::BadHeader;
  case RefusalReason::Count:
    break;
  }
  return state::Cause::None;
}

/// The counter of resets of open flows for the reason of \p packet.
std::optional<EdgeCounter>
resetCounterOf(const routing::RefusedPacket &packet) {
  if (packet.IsDropped || packet.IsSyn)
    return std::nullopt;
  switch (packet.Why) {
  case RefusalReason::RouteRemoved:
    return EdgeCounter::ResetsRouteRemoved;
  case RefusalReason::ServerGone:
    break;
  default:
    return std::nullopt;
  }
  switch (packet.End.Reason) {
  case EndReason::AddressTaken:
    return EdgeCounter::ResetsAddressTaken;
  case EndReason::LapsedAndSilent:
    return EdgeCounter::ResetsLapsedAndSilent;
  case EndReason::Verdict:
    return EdgeCounter::ResetsVerdict;
  case EndReason::None:
    break;
  }
  return std::nullopt;
}

/// The counter of verdicts that ended for \p why.
std::optional<EdgeCounter> endCounterOf(fleet::VerdictEndReason why) {
  switch (why) {
  case fleet::VerdictEndReason::Answer:
    return EdgeCounter::VerdictsEndedByAnswer;
  case fleet::VerdictEndReason::PeerAnswer:
    return EdgeCounter::VerdictsEndedByPeerAnswer;
  case fleet::VerdictEndReason::Time:
    return EdgeCounter::VerdictsEndedByTime;
  case fleet::VerdictEndReason::ServerChanged:
    break;
  }
  return std::nullopt;
}

/// A log field with the IPv4 address of a host; empty for 0, an unknown host.
std::string hostField(std::string_view name, std::uint32_t address) {
  if (address == 0)
    return {};
  return absl::StrCat(",\"", toAbsl(name), "\":\"",
                      common::addressToString(address), "\"");
}

std::string basisFields(const fleet::VerdictBasis &basis) {
  const auto &[evidence, quality, reporters] = basis;
  return absl::StrCat(
      ",\"requests\":", evidence.RequestCount, ",\"syns\":", evidence.SynCount,
      ",\"reporters\":", reporters,
      ",\"several_callers\":", evidence.HasSeveralCallers ? "true" : "false",
      ",\"slowest_answer_ms\":", quality.Slowest.count(),
      ",\"many_retransmissions\":",
      quality.HasManyRetransmissions ? "true" : "false");
}

/// \p prefix goes before each name.
std::string outcomeFields(std::string_view prefix,
                          const routing::OutcomeCounts &counts) {
  const auto name = [&](std::string_view field) {
    return absl::StrCat(",\"", toAbsl(prefix), toAbsl(field), "\":");
  };
  return absl::StrCat(
      name("requests"), counts.requests(), name("unanswered"),
      counts.Unanswered, name("slow"), counts.Slow, name("handshakes"),
      counts.Syns, name("failed_handshakes"), counts.FailedSyns, name("flows"),
      counts.Flows, name("ended_flows"), counts.EndedFlows,
      name("mean_answer_ms"), counts.meanTime().count());
}

std::string flowField(const FlowId &flow) {
  return absl::StrCat("\"flow\":\"", routing::toString(flow), "\"");
}

} // namespace

std::string EventRecorder::serverField(ServerId server) const {
  return absl::StrCat("\"server\":\"", Directory.at(server).Registration.Name,
                      "\"");
}

const std::string &EventRecorder::serviceOf(ServerId server) const {
  return Directory.at(server).Registration.Service;
}

void EventRecorder::recordCause(state::Cause why, ServerId server) {
  History.record(why, serviceOf(server), 0,
                 Directory.at(server).Registration.Name);
}

std::string
EventRecorder::openFlowFields(const routing::RefusedPacket &packet) const {
  if (packet.IsSyn || packet.Tag == routing::ServerTag::None)
    return {};
  std::string fields =
      absl::StrCat(",\"tag\":\"", absl::Hex(packet.Tag, absl::kZeroPad8), "\"");
  if (packet.End && packet.Server) {
    const auto &server = Directory.at(*packet.Server);
    absl::StrAppend(
        &fields, ",\"reason\":\"", toAbsl(routing::toString(packet.End.Reason)),
        "\",\"requests\":", packet.End.RequestCount,
        ",\"syns\":", packet.End.SynCount,
        ",\"silent_ms\":", packet.End.Silence.count(), ",\"server_state\":\"",
        toAbsl(routing::toString(server.Registration.State)), "\"");
  }
  return fields;
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
  if (copy > 0) {
    Metrics.add(EdgeCounter::SynsRepeated);
    History.record(state::Cause::SynUnanswered, serviceOf(server), 0, {});
  }
  if (!Log.tryAdmit(LogEvent::Placed))
    return;
  const auto &activity = Health.activity(server);
  Log.write(LogEvent::Placed,
            absl::StrCat(flowField(flow), ",", serverField(server),
                         ",\"copy\":", copy,
                         ",\"busy\":", activity.PendingRequests,
                         ",\"open\":", activity.OpenFlows, viewFields()));
}

void EventRecorder::onRefused(const routing::RefusedPacket &packet) {
  Metrics.add(packet.IsDropped ? EdgeCounter::PacketsDropped
                               : EdgeCounter::FlowsReset);
  if (const auto counter = resetCounterOf(packet))
    Metrics.add(*counter);
  if (!packet.IsDropped) {
    const auto &service = packet.Service
                              ? Directory.serviceNames().nameOf(*packet.Service)
                              : std::string();
    History.record(causeOf(packet.Why), service,
                   View == nullptr ? 0 : View->configurationVersion(),
                   packet.Server
                       ? Directory.at(*packet.Server).Registration.Name
                       : std::string());
    History.count(service, packet.IsSyn
                               ? state::FlowOutcomeCounts{.Refused = 1}
                               : state::FlowOutcomeCounts{.Broken = 1});
  }
  if (!Log.tryAdmit(LogEvent::Refused))
    return;
  Log.write(LogEvent::Refused,
            absl::StrCat(flowField(packet.Flow), ",\"cause\":\"",
                         toAbsl(routing::toString(packet.Why)),
                         "\",\"reset\":", packet.IsDropped ? "false" : "true",
                         packet.Server
                             ? absl::StrCat(",", serverField(*packet.Server))
                             : std::string(),
                         openFlowFields(packet), viewFields()));
}

void EventRecorder::onSuspected(const FlowId &flow, ServerId server,
                                SuspicionReason why,
                                std::chrono::milliseconds silence) {
  Metrics.add(EdgeCounter::Suspicions);
  recordCause(state::Cause::BackendServerSilent, server);
  if (!Log.tryAdmit(LogEvent::Suspected))
    return;
  Log.write(LogEvent::Suspected,
            absl::StrCat(flowField(flow), ",", serverField(server),
                         ",\"cause\":\"", toAbsl(routing::toString(why)),
                         "\",\"silent_ms\":", silence.count()));
}

void EventRecorder::onSuspicionCleared(ServerId server) {
  if (Log.tryAdmit(LogEvent::Cleared))
    Log.write(LogEvent::Cleared, serverField(server));
}

void EventRecorder::onVerdict(const fleet::VerdictEvent &verdict) {
  if (verdict.IsNew) {
    switch (verdict.Kind) {
    case fleet::VerdictKind::Suspected:
      Metrics.add(EdgeCounter::SuspectedVerdicts);
      break;
    case fleet::VerdictKind::Dead:
      Metrics.add(EdgeCounter::DeadVerdicts);
      break;
    case fleet::VerdictKind::Answering:
      Metrics.add(EdgeCounter::AnsweringVerdicts);
      break;
    }
  }
  if (Log.tryAdmit(LogEvent::Verdict))
    Log.write(LogEvent::Verdict,
              absl::StrCat(serverField(verdict.Server), ",\"verdict\":\"",
                           toAbsl(fleet::toString(verdict.Kind)),
                           "\",\"age_ms\":", verdict.Age.count(),
                           hostField("decided_by", verdict.DecidedBy),
                           verdict.Basis ? basisFields(*verdict.Basis)
                                         : std::string(),
                           hostField("answer_seen_by", verdict.AnswerSeenBy)));
}

void EventRecorder::onVerdictEnd(const fleet::VerdictEnd &end) {
  if (const auto counter = endCounterOf(end.Why))
    Metrics.add(*counter);
  if (end.Kind == fleet::VerdictKind::Dead &&
      (end.Why == fleet::VerdictEndReason::Answer ||
       end.Why == fleet::VerdictEndReason::PeerAnswer))
    Metrics.add(EdgeCounter::DeadVerdictsRefuted);
  if (Log.tryAdmit(LogEvent::VerdictEnded))
    Log.write(LogEvent::VerdictEnded,
              absl::StrCat(serverField(end.Server), ",\"verdict\":\"",
                           toAbsl(fleet::toString(end.Kind)),
                           "\",\"ended_by\":\"",
                           toAbsl(fleet::toString(end.Why)),
                           "\",\"stood_ms\":", end.Duration.count(),
                           ",\"age_ms\":", end.Age.count(),
                           hostField("decided_by", end.DecidedBy),
                           hostField("told_by", end.ToldBy),
                           hostField("answer_seen_by", end.AnswerSeenBy)));
}

void EventRecorder::onDegraded(const fleet::OutlierEvent &event) {
  if (event.IsNew) {
    Metrics.add(EdgeCounter::DegradedVerdicts);
    recordCause(state::Cause::BackendServerEjected, event.Server);
  }
  if ((event.IsNew || event.Evidence) && Log.tryAdmit(LogEvent::Degraded))
    Log.write(
        LogEvent::Degraded,
        absl::StrCat(
            serverField(event.Server), ",\"reason\":\"",
            toAbsl(routing::toString(event.Kind)), "\",\"level\":", event.Level,
            ",\"hold_ms\":", event.Hold.count(),
            hostField("decided_by", event.DecidedBy),
            event.Evidence
                ? absl::StrCat(
                      outcomeFields("", event.Evidence->Outcomes.All),
                      outcomeFields("others_", event.Evidence->Outcomes.Others),
                      ",\"reporters\":", event.Evidence->Hosts,
                      ",\"callers\":", event.Evidence->Callers)
                : std::string()));
}

void EventRecorder::onDegradedEnd(ServerId server,
                                  std::chrono::milliseconds duration) {
  Metrics.add(EdgeCounter::DegradedEnds);
  if (Log.tryAdmit(LogEvent::DegradedEnded))
    Log.write(
        LogEvent::DegradedEnded,
        absl::StrCat(serverField(server), ",\"stood_ms\":", duration.count()));
}

void EventRecorder::onRejected(fleet::EvidenceRejection why,
                               std::uint64_t identity, std::uint32_t sender) {
  Metrics.add(EdgeCounter::VerdictsRejected);
  if (Log.tryAdmit(LogEvent::VerdictRejected))
    Log.write(LogEvent::VerdictRejected,
              absl::StrCat("\"reason\":\"", toAbsl(fleet::toString(why)),
                           "\",\"identity\":\"", absl::Hex(identity),
                           "\",\"sender\":\"", common::addressToString(sender),
                           "\""));
}

void EventRecorder::onAnswered(const FlowId &flow, ServerId server,
                               std::chrono::milliseconds time,
                               std::chrono::milliseconds objective) {
  Metrics.addAnswerTime(time);
  const bool isLate = objective.count() != 0 && time > objective;
  History.count(serviceOf(server),
                {.Good = 1, .Slow = isLate ? 1U : 0U, .Placed = 1});
  if (isLate)
    recordCause(state::Cause::AnsweredLate, server);
  if (!isLate || !Log.tryAdmit(LogEvent::Late))
    return;
  Log.write(LogEvent::Late,
            absl::StrCat(flowField(flow), ",", serverField(server),
                         ",\"answer_ms\":", time.count(),
                         ",\"objective_ms\":", objective.count(), ",\"busy\":",
                         Health.activity(server).PendingRequests));
}

void EventRecorder::onCold(ServerId server, std::uint32_t share) {
  if (Log.tryAdmit(LogEvent::ColdStart))
    Log.write(LogEvent::ColdStart,
              absl::StrCat(serverField(server),
                           ",\"phase\":\"began\",\"share\":", share));
}

void EventRecorder::onWarm(ServerId server) {
  if (Log.tryAdmit(LogEvent::ColdStart))
    Log.write(LogEvent::ColdStart,
              absl::StrCat(serverField(server), ",\"phase\":\"ended\""));
}

void EventRecorder::onLimited(std::optional<ServerId> server) {
  Metrics.add(EdgeCounter::SynsKeptFromCold);
  if (Log.tryAdmit(LogEvent::ColdLimited))
    Log.write(LogEvent::ColdLimited,
              server ? serverField(*server) : "\"refused\":true");
}

void EventRecorder::recordConfiguration(std::uint64_t version) {
  History.record(state::Cause::SettingsApplied, {}, version, {});
  if (Log.tryAdmit(LogEvent::Configuration))
    Log.write(LogEvent::Configuration,
              absl::StrCat("\"version\":", version, viewFields()));
}

void EventRecorder::recordEvacuation(
    const routing::ZoneEvacuation &evacuation) {
  Metrics.add(EdgeCounter::EvacuationChanges);
  if (Log.tryAdmit(LogEvent::Evacuation))
    Log.write(LogEvent::Evacuation,
              absl::StrCat(
                  "\"zone\":\"", evacuation.Zone,
                  "\",\"active\":", evacuation.IsActive ? "true" : "false",
                  ",\"entry_revision\":", evacuation.Revision, viewFields()));
}

void EventRecorder::recordEra(const fleet::EraChange &change) {
  Metrics.add(EdgeCounter::EraChanges);
  History.recordForHost(state::Cause::PlatformRestored);
  if (Log.tryAdmit(LogEvent::RegistryEra))
    Log.write(LogEvent::RegistryEra,
              absl::StrCat("\"phase\":\"entered\",\"from\":", change.From,
                           ",\"to\":", change.To,
                           ",\"revision_before\":", change.RevisionBefore,
                           ",\"revision\":", change.Revision));
}

void EventRecorder::recordRejectedEntry(const fleet::RejectedEntry &entry) {
  if (Log.tryAdmit(LogEvent::EntryRejected))
    Log.write(LogEvent::EntryRejected,
              absl::StrCat("\"key\":", EventLog::quoted(entry.Key),
                           ",\"reason\":\"", toAbsl(fleet::toString(entry.Why)),
                           "\",\"bytes\":", entry.Bytes,
                           ",\"entry_revision\":", entry.Revision));
}

void EventRecorder::recordReconciliation(
    const fleet::EraReconciliation &result) {
  if (Log.tryAdmit(LogEvent::RegistryEra))
    Log.write(LogEvent::RegistryEra,
              absl::StrCat("\"phase\":\"reconciled\",\"to\":", result.Era,
                           ",\"lapsed\":", result.Lapsed,
                           ",\"confirmed\":", result.Confirmed));
}

void EventRecorder::recordServer(const routing::ServerRegistration &server,
                                 DirectoryChange change) {
  const bool isInitialView = View != nullptr && View->revision() == 0 &&
                             change == DirectoryChange::Added;
  // Nothing was sent to a server without a route, so it explains no failure.
  // Causes are few; entries of other writers would displace them.
  const bool isRouted = View == nullptr || View->isRouted(server.Service);
  if (isRouted && change == DirectoryChange::Draining)
    History.record(state::Cause::BackendServerDraining, server.Service, 0,
                   server.Name);
  else if (isRouted && change == DirectoryChange::Lapsed)
    if (const auto *known = Directory.findByName(server.Name);
        known != nullptr && known->Registration.HasLapsedUnannounced)
      History.record(state::Cause::BackendServerLapsed, server.Service, 0,
                     server.Name);
  if (isInitialView || !Log.tryAdmit(LogEvent::Server))
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

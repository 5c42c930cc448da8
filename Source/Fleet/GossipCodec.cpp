#include "Fleet/GossipCodec.h"

#include "Common/EpochTime.h"
#include "Routing/DegradedServers.h"
#include "Routing/NameTable.h"

#include "Fleet.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace auburnroute::fleet {

using routing::RequestKind;
using routing::ServerState;
using std::chrono::milliseconds;

namespace {

/// \p time as a field of a message, limited to 0 to 2^31 - 1 ms.
std::uint32_t clampedMilliseconds(milliseconds time) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      time.count(), 0, std::numeric_limits<std::int32_t>::max()));
}

bool isValidPort(std::uint32_t port) { return port != 0 && port <= 65535; }

void write(const PeerInfo &peer, wire::Host &out) {
  out.set_address(peer.Address);
  out.set_zone(peer.Zone);
  out.set_incarnation(peer.Incarnation);
  out.set_heartbeat(peer.Heartbeat);
  out.set_leaving(peer.IsLeaving);
}

PeerInfo read(const wire::Host &in) {
  return {in.address(), in.zone(), in.incarnation(), in.heartbeat(),
          in.leaving()};
}

/// \p era: era of the message.
void write(const routing::ServerRegistration &server, std::uint64_t era,
           wire::Server &out) {
  out.set_name(server.Name);
  out.set_identity(server.Identity);
  out.set_service(server.Service);
  out.set_address(server.Address.Address);
  out.set_port(server.Address.Port);
  out.set_zone(server.Zone);
  out.set_slots(server.Slots);
  out.set_state(static_cast<std::uint32_t>(server.State));
  out.set_cold_left_ms(clampedMilliseconds(server.WarmUpLeft));
  out.set_lifetime(server.StartTimeMs);
  out.set_sequence(server.Sequence);
  out.set_era_offset(static_cast<std::int64_t>(server.Era - era));
  out.set_revision(server.Revision);
  out.set_lapsed_unannounced(server.HasLapsedUnannounced);
  out.set_lapsed_ms(clampedMilliseconds(server.LapsedFor));
}

/// \p era: era of the message.
std::optional<routing::ServerRegistration> read(const wire::Server &in,
                                                std::uint64_t era) {
  // Lapsed is the highest value of ServerState.
  if (!routing::isValidName(in.name()) ||
      in.state() > static_cast<std::uint32_t>(ServerState::Lapsed))
    return std::nullopt;
  const auto state = static_cast<ServerState>(in.state());
  // The removal of a server that the sender did not know has its name only.
  const bool isNameOnly = state == ServerState::Lapsed && in.identity() == 0;
  if (!isNameOnly &&
      (!isValidPort(in.port()) || in.identity() == 0 ||
       !routing::isValidName(in.service()) || !routing::isValidName(in.zone())))
    return std::nullopt;
  return routing::ServerRegistration{
      .Name = in.name(),
      .Identity = in.identity(),
      .Service = in.service(),
      .Address = {in.address(), static_cast<std::uint16_t>(in.port())},
      .Zone = in.zone(),
      .Slots = std::max(1U, in.slots()),
      .State = state,
      .WarmUpLeft = milliseconds(in.cold_left_ms()),
      .StartTimeMs = in.lifetime(),
      .Sequence = in.sequence(),
      .Era = era + static_cast<std::uint64_t>(in.era_offset()),
      .Revision = in.revision(),
      .HasLapsedUnannounced = in.lapsed_unannounced(),
      .LapsedFor = milliseconds(in.lapsed_ms())};
}

/// Reads the changes or servers of a view. Returns false if one is invalid:
/// without it, the view would not be complete. Entries whose names no server
/// can have are no part of it; they are counted in \p skipped.
bool read(const google::protobuf::RepeatedPtrField<wire::Server> &in,
          std::uint64_t era, std::vector<routing::ServerRegistration> &out,
          std::size_t &skipped) {
  for (const auto &it : in) {
    if (!routing::isValidName(it.name())) {
      ++skipped;
      continue;
    }
    auto server = read(it, era);
    if (!server)
      return false;
    out.push_back(*std::move(server));
  }
  return true;
}

/// \p era: era of the message.
void write(const std::vector<routing::ZoneEvacuation> &evacuations,
           std::uint64_t era,
           google::protobuf::RepeatedPtrField<wire::Evacuation> &out) {
  for (const auto &it : evacuations) {
    auto &evacuation = *out.Add();
    evacuation.set_zone(it.Zone);
    evacuation.set_active(it.IsActive);
    evacuation.set_revision(it.Revision);
    evacuation.set_era_offset(static_cast<std::int64_t>(it.Era - era));
  }
}

/// Reads evacuations. Those of names that no zone can have are left out.
std::vector<routing::ZoneEvacuation>
read(const google::protobuf::RepeatedPtrField<wire::Evacuation> &in,
     std::uint64_t era) {
  std::vector<routing::ZoneEvacuation> evacuations;
  for (const auto &it : in)
    if (routing::isValidName(it.zone()))
      evacuations.push_back({it.zone(), it.active(),
                             era + static_cast<std::uint64_t>(it.era_offset()),
                             it.revision()});
  return evacuations;
}

void write(const routing::RoutingConfiguration &configuration,
           wire::Configuration &out) {
  out.set_version(configuration.Version);
  out.set_idle_timeout_ms(clampedMilliseconds(configuration.IdleTimeout));
  for (const auto &it : configuration.ColdStarts) {
    auto &service = *out.add_services();
    service.set_name(it.Service);
    service.set_cold_start_ms(clampedMilliseconds(it.Duration));
    service.set_cold_millirate(static_cast<std::uint32_t>(
        std::clamp(it.FlowsPerSecond, 0.0, 1e6) * 1000));
  }
  for (const auto &route : configuration.Routes) {
    auto &wireRoute = *out.add_routes();
    wireRoute.set_name(route.Name);
    wireRoute.set_address(route.Address.Address);
    wireRoute.set_port(route.Address.Port);
    wireRoute.set_kind(static_cast<std::uint32_t>(route.Kind));
    wireRoute.set_timeout_ms(clampedMilliseconds(route.Timeout));
    wireRoute.set_objective_ms(clampedMilliseconds(route.Objective));
    wireRoute.set_priority(route.Priority);
    for (const auto &share : route.Services) {
      auto &service = *wireRoute.add_services();
      service.set_service(share.Service);
      service.set_weight(share.Weight);
    }
  }
}

std::optional<routing::RoutingConfiguration>
read(const wire::Configuration &in) {
  routing::RoutingConfiguration configuration;
  configuration.Version = in.version();
  configuration.IdleTimeout = milliseconds(in.idle_timeout_ms());
  for (const auto &it : in.routes()) {
    // Download is the highest value of RequestKind.
    if (!isValidPort(it.port()) || it.services().empty() ||
        it.kind() > static_cast<std::uint32_t>(RequestKind::Download))
      return std::nullopt;
    routing::Route route;
    route.Name = it.name();
    route.Address = {it.address(), static_cast<std::uint16_t>(it.port())};
    route.Kind = static_cast<RequestKind>(it.kind());
    route.Timeout = milliseconds(it.timeout_ms());
    route.Objective = milliseconds(it.objective_ms());
    route.Priority = it.priority();
    for (const auto &share : it.services())
      route.Services.push_back({share.service(), share.weight()});
    configuration.Routes.push_back(std::move(route));
  }
  for (const auto &it : in.services())
    configuration.ColdStarts.push_back({it.name(),
                                        milliseconds(it.cold_start_ms()),
                                        it.cold_millirate() / 1000.0});
  return configuration;
}

/// \p value, limited to 0 to \p max, in hundredths.
std::uint32_t toHundredths(double value, double max) {
  return static_cast<std::uint32_t>(
      std::lround(std::clamp(value, 0.0, max) * 100));
}

double fromHundredths(std::uint32_t value, double max) {
  return std::min(value / 100.0, max);
}

void write(const ReportedServerLoad &load, wire::ServerLoad &out) {
  out.set_identity(load.Identity);
  out.set_outstanding_centi(
      toHundredths(load.Outstanding, GossipCodec::MaxOutstanding));
  out.set_open_flows(std::min(load.OpenFlows, GossipCodec::MaxOpenFlows));
}

void write(const ReportedZoneLoad &load, wire::ZoneLoad &out) {
  out.set_zone(load.Zone);
  out.set_service(load.Service);
  out.set_outstanding_centi(
      toHundredths(load.Outstanding, GossipCodec::MaxOutstanding));
  out.set_rate_centi(toHundredths(load.Rate, GossipCodec::MaxRate));
}

/// Reads at most MaxServerLoads loads.
void read(const google::protobuf::RepeatedPtrField<wire::ServerLoad> &in,
          std::vector<ReportedServerLoad> &out) {
  for (const auto &it : in) {
    if (out.size() == GossipCodec::MaxServerLoads)
      return;
    out.push_back(
        {it.identity(),
         fromHundredths(it.outstanding_centi(), GossipCodec::MaxOutstanding),
         std::min(it.open_flows(), GossipCodec::MaxOpenFlows)});
  }
}

/// Reads at most MaxZoneLoads loads; those with invalid names are skipped.
void read(const google::protobuf::RepeatedPtrField<wire::ZoneLoad> &in,
          std::vector<ReportedZoneLoad> &out) {
  for (const auto &it : in) {
    if (out.size() == GossipCodec::MaxZoneLoads)
      return;
    if (routing::isValidName(it.zone()) && routing::isValidName(it.service()))
      out.push_back(
          {it.zone(), it.service(),
           fromHundredths(it.outstanding_centi(), GossipCodec::MaxOutstanding),
           fromHundredths(it.rate_centi(), GossipCodec::MaxRate)});
  }
}

void write(const state::CauseEntry &from, wire::CauseEntry &to) {
  to.set_origin(from.Key.Origin);
  to.set_incarnation(from.Key.Incarnation);
  to.set_minute(from.Key.Minute);
  to.set_cause(static_cast<std::uint32_t>(from.Key.Cause));
  to.set_service(from.Key.Service);
  to.set_revision(from.Key.Revision);
  to.set_subject(from.Key.Subject);
  to.set_count(from.Count);
  to.set_first_ms(common::toEpochMilliseconds(from.First));
  to.set_last_ms(common::toEpochMilliseconds(from.Last));
}

/// Returns nullopt for a cause of a newer protocol version, an invalid name, or
/// a time outside the range of the wall clock.
std::optional<state::CauseEntry> read(const wire::CauseEntry &from) {
  const auto isValidNameOrEmpty = [](const std::string &text) {
    return text.empty() || routing::isValidName(text);
  };
  // Count is one above the highest cause.
  if (!common::isValidEpochTime(from.first_ms()) ||
      !common::isValidEpochTime(from.last_ms()) ||
      from.cause() >= static_cast<std::uint32_t>(state::Cause::Count) ||
      !routing::isValidName(from.origin()) ||
      !isValidNameOrEmpty(from.service()) ||
      !isValidNameOrEmpty(from.subject()))
    return std::nullopt;
  return state::CauseEntry{{from.origin(), from.incarnation(), from.minute(),
                            static_cast<state::Cause>(from.cause()),
                            from.service(), from.revision(), from.subject()},
                           from.count(),
                           common::fromEpochMilliseconds(from.first_ms()),
                           common::fromEpochMilliseconds(from.last_ms())};
}

void write(const routing::OutcomeCounts &from, wire::OutcomeCounts &to) {
  to.set_sent(from.Sent);
  to.set_answered(from.Answered);
  to.set_unanswered(from.Unanswered);
  to.set_slow(from.Slow);
  to.set_syns(from.Syns);
  to.set_failed_syns(from.FailedSyns);
  to.set_flows(from.Flows);
  to.set_ended_flows(from.EndedFlows);
  to.set_answer_time_ms(clampedMilliseconds(from.AnswerTime));
}

/// Counts are limited, and no part exceeds the whole: the sender may be faulty.
routing::OutcomeCounts read(const wire::OutcomeCounts &from) {
  const auto count = [](std::uint32_t n) {
    return std::min(n, GossipCodec::MaxOutcomes);
  };
  routing::OutcomeCounts to;
  to.Sent = count(from.sent());
  to.Answered = count(from.answered());
  to.Unanswered = count(from.unanswered());
  to.Slow = std::min(from.slow(), to.Answered);
  to.Syns = count(from.syns());
  to.FailedSyns = std::min(from.failed_syns(), to.Syns);
  to.Flows = count(from.flows());
  to.EndedFlows = std::min(from.ended_flows(), to.Flows);
  to.AnswerTime = milliseconds(from.answer_time_ms());
  return to;
}

void write(const OutcomeReport &from, wire::OutcomeReport &to) {
  to.set_identity(from.Identity);
  to.set_lifetime(from.StartTimeMs);
  write(from.Outcomes.Recent, *to.mutable_recent());
  write(from.Outcomes.All, *to.mutable_all());
  write(from.Outcomes.Others, *to.mutable_others());
  to.set_caller(from.Outcomes.Caller);
  to.set_several_callers(from.Outcomes.HasSeveralCallers);
}

OutcomeReport read(const wire::OutcomeReport &from) {
  return {from.identity(),
          from.lifetime(),
          {read(from.recent()), read(from.all()), read(from.others()),
           from.caller(), from.several_callers()}};
}

/// Returns nullopt for a level or kind of a newer version.
std::optional<OutlierVerdict> read(const wire::OutlierVerdict &from) {
  // Slow is the highest value of OutlierKind.
  if (from.level() > routing::DegradedServers::MaxLevel ||
      from.kind() > static_cast<std::uint32_t>(routing::OutlierKind::Slow))
    return std::nullopt;
  return OutlierVerdict{
      from.identity(), from.lifetime(), static_cast<int>(from.level()),
      std::min<milliseconds>(milliseconds(from.hold_ms()),
                             routing::DegradedServers::MaxHold),
      static_cast<routing::OutlierKind>(from.kind())};
}

} // namespace

std::string_view toString(VerdictKind kind) {
  switch (kind) {
  case VerdictKind::Suspected:
    return "suspected";
  case VerdictKind::Dead:
    return "dead";
  case VerdictKind::Answering:
    return "answering";
  }
  return "invalid";
}

std::string GossipCodec::encode(const GossipMessage &message) {
  wire::Gossip out;
  write(message.Sender, *out.mutable_sender());
  for (const auto &it : message.Hosts)
    write(it, *out.add_hosts());
  // Revision of the sender's view.
  out.set_revision(message.Changes.To);
  out.set_era(message.Changes.Era);
  out.set_age_ms(clampedMilliseconds(message.ViewAge));
  out.set_configuration_version(message.Changes.ConfigurationVersion);
  out.set_changes_from(message.Changes.From);
  for (const auto &it : message.Changes.Servers)
    write(it, message.Changes.Era, *out.add_changes());
  write(message.Changes.Evacuations, message.Changes.Era,
        *out.mutable_evacuations());
  out.set_has_evacuations(true);
  for (const auto &it : message.Suspects) {
    auto &suspect = *out.add_suspects();
    suspect.set_identity(it.Identity);
    suspect.set_silent_ms(clampedMilliseconds(it.SilentFor));
    suspect.set_requests(it.RequestCount);
    suspect.set_syns(it.SynCount);
    suspect.set_caller(it.Caller);
    suspect.set_several_callers(it.HasSeveralCallers);
  }
  for (const auto &it : message.Verdicts) {
    auto &verdict = *out.add_verdicts();
    verdict.set_identity(it.Identity);
    verdict.set_lifetime(it.StartTimeMs);
    verdict.set_kind(static_cast<std::uint32_t>(it.Kind));
    verdict.set_age_ms(clampedMilliseconds(it.Age));
  }
  for (const auto &it : message.Answers) {
    auto &answer = *out.add_answers();
    answer.set_identity(it.Identity);
    answer.set_age_ms(clampedMilliseconds(it.Age));
  }
  for (const auto &it : message.OutcomeReports)
    write(it, *out.add_outcome_reports());
  for (const auto &it : message.OutlierVerdicts) {
    auto &verdict = *out.add_outlier_verdicts();
    verdict.set_identity(it.Identity);
    verdict.set_lifetime(it.StartTimeMs);
    verdict.set_level(static_cast<std::uint32_t>(it.Level));
    verdict.set_hold_ms(clampedMilliseconds(it.Hold));
    verdict.set_kind(static_cast<std::uint32_t>(it.Kind));
  }
  for (const auto &it : message.Causes)
    write(it, *out.add_causes());
  for (const auto tag : message.UnknownTags)
    out.add_unknown_tags(tag);
  for (const auto &it : message.NamedServers)
    write(it, message.Changes.Era, *out.add_named_servers());
  for (const auto &it : message.LoadReports)
    write(it, *out.add_load_reports());
  for (const auto &it : message.LoadTotals)
    write(it, *out.add_load_totals());
  for (const auto &it : message.ZoneLoads)
    write(it, *out.add_zone_loads());
  out.set_wants_answer(message.WantsAnswer);
  return out.SerializeAsString();
}

std::optional<GossipMessage> GossipCodec::decode(std::string_view bytes) {
  wire::Gossip in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      !in.has_sender() || in.sender().address() == 0 ||
      !routing::isValidName(in.sender().zone()))
    return std::nullopt;
  GossipMessage message;
  message.Sender = read(in.sender());
  for (const auto &it : in.hosts())
    if (routing::isValidName(it.zone()))
      message.Hosts.push_back(read(it));
  message.Changes.To = in.revision();
  message.Changes.Era = in.era();
  message.Changes.From = in.changes_from();
  if (!read(in.changes(), in.era(), message.Changes.Servers,
            message.SkippedServers))
    return std::nullopt;
  message.Changes.Evacuations = read(in.evacuations(), in.era());
  message.Changes.HasEvacuations = in.has_evacuations();
  message.ViewAge = milliseconds(in.age_ms());
  message.Changes.ConfigurationVersion = in.configuration_version();
  for (const auto &it : in.suspects())
    message.Suspects.push_back({it.identity(), milliseconds(it.silent_ms()),
                                it.requests(), it.syns(), it.caller(),
                                it.several_callers()});
  // Answering is the highest value of VerdictKind. Unknown ones are skipped: a
  // newer version may have more.
  for (const auto &it : in.verdicts())
    if (it.kind() <= static_cast<std::uint32_t>(VerdictKind::Answering))
      message.Verdicts.push_back({it.identity(), it.lifetime(),
                                  static_cast<VerdictKind>(it.kind()),
                                  milliseconds(it.age_ms())});
  for (const auto &it : in.answers())
    message.Answers.push_back({it.identity(), milliseconds(it.age_ms())});
  for (const auto &it : in.outcome_reports())
    message.OutcomeReports.push_back(read(it));
  for (const auto &it : in.outlier_verdicts())
    if (const auto verdict = read(it))
      message.OutlierVerdicts.push_back(*verdict);
  // Invalid causes are skipped: a newer version may have causes that are
  // unknown here.
  for (const auto &it : in.causes())
    if (auto cause = read(it))
      message.Causes.push_back(*std::move(cause));
  message.UnknownTags.assign(in.unknown_tags().begin(),
                             in.unknown_tags().end());
  for (const auto &it : in.named_servers())
    if (auto server = read(it, in.era()))
      message.NamedServers.push_back(*std::move(server));
  read(in.load_reports(), message.LoadReports);
  read(in.load_totals(), message.LoadTotals);
  read(in.zone_loads(), message.ZoneLoads);
  message.WantsAnswer = in.wants_answer();
  return message;
}

std::string GossipCodec::encode(const AgedSnapshot &snapshot) {
  wire::Snapshot out;
  out.set_revision(snapshot.View.Revision);
  out.set_from(snapshot.View.From);
  out.set_age_ms(clampedMilliseconds(snapshot.Age));
  out.set_era(snapshot.View.Era);
  out.set_era_age_ms(clampedMilliseconds(snapshot.View.EraAge));
  write(snapshot.View.Configuration, *out.mutable_configuration());
  for (const auto &it : snapshot.View.Servers)
    write(it, snapshot.View.Era, *out.add_servers());
  write(snapshot.View.Evacuations, snapshot.View.Era,
        *out.mutable_evacuations());
  out.set_has_evacuations(true);
  return out.SerializeAsString();
}

std::optional<AgedSnapshot>
GossipCodec::decodeSnapshot(std::string_view bytes) {
  wire::Snapshot in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  AgedSnapshot snapshot;
  snapshot.View.Revision = in.revision();
  snapshot.View.From = in.from();
  snapshot.View.Era = in.era();
  snapshot.View.EraAge = milliseconds(in.era_age_ms());
  snapshot.Age = milliseconds(in.age_ms());
  if (auto configuration = read(in.configuration()))
    snapshot.View.Configuration = *std::move(configuration);
  else
    return std::nullopt;
  if (!read(in.servers(), in.era(), snapshot.View.Servers,
            snapshot.SkippedServers))
    return std::nullopt;
  snapshot.View.Evacuations = read(in.evacuations(), in.era());
  snapshot.View.HasEvacuations = in.has_evacuations();
  return snapshot;
}

std::string GossipCodec::encode(const std::vector<state::CauseEntry> &causes) {
  wire::CauseBatch out;
  for (const auto &it : causes)
    write(it, *out.add_entries());
  return out.SerializeAsString();
}

std::optional<std::vector<state::CauseEntry>>
GossipCodec::decodeCauses(std::string_view bytes) {
  wire::CauseBatch in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  std::vector<state::CauseEntry> causes;
  for (const auto &it : in.entries())
    if (auto cause = read(it))
      causes.push_back(*std::move(cause));
  return causes;
}

} // namespace auburnroute::fleet

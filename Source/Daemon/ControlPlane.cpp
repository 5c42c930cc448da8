#include "Daemon/ControlPlane.h"

#include "Common/Log.h"
#include "Common/Text.h"
#include "Daemon/SnapshotResolver.h"
#include "Protocol/HostListCodec.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace auburnroute::daemon {

namespace {

using common::LogLevel;
using distribution::SettingsUpdateOutcome;
using state::Cause;
using state::HostState;

constexpr std::chrono::seconds ReplicationInterval{1};
constexpr std::size_t MaxCausesPerBatch = 16;
/// Encoded size of a cause entry, with its share of the frame.
constexpr std::size_t EstimatedCauseEntryBytes = 100;
/// Control traffic may use 5,000 bytes/s; the rest is left for ZeroMQ's
/// headers.
constexpr std::size_t ControlBytesPerSecond = 4500;
constexpr std::chrono::seconds ControlBurst{10};
constexpr std::size_t CauseReplicaCount = 2;

membership::HostIdentity identityOf(const state::DaemonSettings &settings,
                                    std::uint64_t incarnation) {
  return {
      settings.Host,
      settings.Zone,
      {settings.Packets, settings.Admission, settings.Peer, settings.Operator},
      incarnation};
}

membership::MembershipOptions optionsOf(const state::DaemonSettings &settings) {
  membership::MembershipOptions options;
  options.HeartbeatInterval = settings.HeartbeatInterval;
  options.SuspectAfter = settings.SuspectAfter;
  options.DeadAfter = settings.DeadAfter;
  options.PauseLimit = settings.PauseLimit;
  options.JoinTimeout = settings.JoinTimeout;
  options.Seeds = settings.Seeds;
  return options;
}

} // namespace

ControlPlane::ControlPlane(const state::DaemonSettings &settings,
                           const common::Clock &clock,
                           std::uint64_t incarnation)
    : Local(settings), Clock(clock), StartTime(clock.now()),
      Members(clock.now(), identityOf(settings, incarnation),
              optionsOf(settings)),
      Codec(settings.SharedKey), Causes(settings.Host, incarnation),
      Budget(clock.now(), ControlBytesPerSecond, ControlBurst) {}

void ControlPlane::onPlatformSettings(std::string_view text) {
  if (Follower.onPlatformDocument(text) == SettingsUpdateOutcome::InForce)
    onSettingsInForce();
  recordSettingsRefusal();
}

void ControlPlane::onPlatformHosts(std::string_view text) {
  const auto list = protocol::decodeHostList(text);
  if (!list.ok()) {
    common::logLine(LogLevel::Error,
                    absl::StrCat("host list refused: ",
                                 std::string(list.status().message())));
    return;
  }
  // A platform restored from a backup serves an old list; ignore it.
  if (list->Version <= HostListVersion)
    return;
  HostListVersion = list->Version;
  Members.onHostList(Clock.now(), *list);
  LeavingBackendServers = list->LeavingBackendServers;
  IsSnapshotDue = true;
}

void ControlPlane::onPlatformReachable(bool reachable,
                                       const std::string &reason) {
  if (reachable == IsPlatformReachable)
    return;
  IsPlatformReachable = reachable;
  if (reachable) {
    common::logLine(LogLevel::Info, "platform reachable");
    return;
  }
  record(Cause::PlatformUnreachable, Local.Host);
  common::logLine(
      LogLevel::Warning,
      absl::StrCat("platform unreachable, keeping the current settings: ",
                   reason));
}

void ControlPlane::onPeerFrame(std::string_view frame) {
  const auto decoded = Codec.decode(frame);
  // The codec counts the frames that it refuses.
  const auto *message = std::get_if<messages::PeerMessage>(&decoded);
  if (message == nullptr)
    return;
  if (std::holds_alternative<messages::Heartbeat>(message->Body))
    onHeartbeat(*message);
  else if (std::holds_alternative<messages::SettingsRequest>(message->Body))
    onSettingsRequest(*message);
  else if (std::holds_alternative<messages::SettingsReply>(message->Body))
    onSettingsReply(*message);
  else
    for (const auto &it : std::get<messages::CauseBatch>(message->Body).Entries)
      Causes.merge(Clock.wallTime(), it);
}

void ControlPlane::onHeartbeat(const messages::PeerMessage &message) {
  const auto now = Clock.now();
  Members.onHeartbeat(now, message);
  const auto &heartbeat = std::get<messages::Heartbeat>(message.Body);
  if (const auto request =
          Follower.onPeerSettings(now, message.Sender, heartbeat.Settings))
    send(*request);
}

void ControlPlane::onSettingsRequest(const messages::PeerMessage &message) {
  const auto &request = std::get<messages::SettingsRequest>(message.Body);
  const auto to = Members.peerEndpoint(message.Sender);
  if (auto reply = Follower.onSettingsRequest(request); reply && to)
    send(*to, Members.makeMessage(*std::move(reply)));
}

void ControlPlane::onSettingsReply(const messages::PeerMessage &message) {
  const auto outcome =
      Follower.onSettingsReply(Clock.now(), message.Sender,
                               std::get<messages::SettingsReply>(message.Body));
  if (outcome.Outcome == SettingsUpdateOutcome::InForce)
    onSettingsInForce();
  recordSettingsRefusal();
  if (outcome.Next)
    send(*outcome.Next);
}

void ControlPlane::onSettingsInForce() {
  const auto &settings = *Follower.settings();
  Members.onSettings(Clock.now(), Follower.stamp());
  std::vector<std::string> services;
  for (const auto &it : settings.Services)
    services.push_back(it.Name);
  Members.setServices(services);
  Table = std::make_shared<const state::ServiceTable>(settings, Local.Zone);
  IsSnapshotDue = true;
  record(Cause::SettingsApplied, "");
  common::logLine(LogLevel::Info, absl::StrCat("settings revision ",
                                               settings.Revision, " in force"));
}

void ControlPlane::recordSettingsRefusal() {
  const auto refused = Follower.counters().Refused;
  if (refused == RecordedRefusals || Follower.refusals().empty())
    return;
  RecordedRefusals = refused;
  const auto &last = Follower.refusals().back();
  record(Cause::SettingsRefused,
         absl::StrCat("settings revision ", last.Stamp.Revision));
  common::logLine(LogLevel::Error,
                  absl::StrCat("settings revision ", last.Stamp.Revision,
                               " refused: ", last.Errors));
}

void ControlPlane::onAdmissionSummary(const AdmissionSummary &summary) {
  const auto now = Clock.now();
  const auto wall = Clock.wallTime();
  const auto revision = Follower.stamp().Revision;
  for (const auto &it : summary.Events) {
    const auto age =
        std::chrono::duration_cast<common::WallTime::duration>(now - it.Last);
    Causes.record(wall - age, it.Why, it.Service, revision, it.BackendServer,
                  it.Count);
  }
  for (const auto &[service, counts] : summary.FlowOutcomes)
    FlowOutcomes.add(wall, service, counts);
  if (summary.Waits)
    Waits = *summary.Waits;
}

void ControlPlane::onOwnerUnresponsive(common::Endpoint admission) {
  const auto &hosts = Members.hosts();
  const auto it =
      std::find_if(hosts.begin(), hosts.end(), [&](const auto &entry) {
        const auto &host = entry.second;
        return host.State == HostState::Live && host.Name != Local.Host &&
               host.Addresses.Admission == admission;
      });
  if (it == hosts.end())
    return;
  for (const auto &probe : Members.requestProbe(Clock.now(), it->first))
    send(probe.To, probe.Message);
}

void ControlPlane::onTick() {
  const auto now = Clock.now();
  for (const auto &it : Members.onTick(now))
    send(it.To, it.Message);
  if (const auto request = Follower.onTick(now))
    send(*request);
  for (const auto &it : Members.takeForgotten())
    Codec.forgetSender(it);
  recordStateChanges();
  // A stopping host may exit before the interval is over.
  if (now >= NextReplication || IsStopping) {
    NextReplication = now + ReplicationInterval;
    Causes.expire(Clock.wallTime());
    replicateChangedCauses();
  }
}

void ControlPlane::recordStateChanges() {
  for (const auto &it : Members.takeTransitions()) {
    common::logLine(LogLevel::Info,
                    absl::StrCat("host ", it.Host, ": ",
                                 common::toAbsl(state::toString(it.From)),
                                 " -> ",
                                 common::toAbsl(state::toString(it.To))));
    // Every host sees the change; only the zone's two platform readers record
    // it.
    if (!Members.isSettingsReader())
      continue;
    const auto *host = Members.hosts().find(it.Host);
    const bool left = host != nullptr && host->IsLeaving;
    // A host that stopped gracefully goes silent without having failed.
    if (it.To == HostState::Dead && !left)
      record(Cause::HostDead, it.Host);
    else if (it.To == HostState::Leaving)
      record(Cause::HostLeaving, it.Host);
  }
  if (Members.counters().Pauses != RecordedPauses) {
    RecordedPauses = Members.counters().Pauses;
    record(Cause::HostPaused, Local.Host);
    common::logLine(LogLevel::Warning,
                    "process was paused; placing no new flows until a peer "
                    "confirms that this host is up to date");
  }
  const bool confirmed = isConfirmed();
  if (confirmed != WasConfirmed) {
    WasConfirmed = confirmed;
    IsSnapshotDue = true;
    common::logLine(
        LogLevel::Info,
        absl::StrCat("confirmation: ", common::toAbsl(membership::toString(
                                           Members.confirmation()))));
  }
  if (Members.ownershipVersion() != PublishedOwnershipVersion)
    IsSnapshotDue = true;
}

void ControlPlane::beginStop() {
  IsStopping = true;
  Members.announceLeaving(Clock.now());
  replicateAllCauses();
  IsSnapshotDue = true;
}

void ControlPlane::onStopTimeout() {
  record(Cause::StopTimeout, Local.Host);
  replicateAllCauses();
}

std::vector<PeerFrame> ControlPlane::takeFrames() {
  return std::exchange(Outbox, {});
}

std::shared_ptr<const ControlSnapshot> ControlPlane::takeSnapshot() {
  if (!IsSnapshotDue || !Table)
    return nullptr;
  IsSnapshotDue = false;
  PublishedOwnershipVersion = Members.ownershipVersion();
  auto snapshot = std::make_shared<ControlSnapshot>();
  snapshot->Settings = Follower.settings();
  snapshot->Table = Table;
  const SnapshotResolver resolver(Local, Members, *snapshot->Settings, *Table);
  snapshot->AdmissionOwners = resolver.admissionOwners();
  snapshot->RelayEndpoint = resolver.relayEndpoint();
  snapshot->UnreachableAdmissionEndpoints =
      resolver.unreachableAdmissionEndpoints();
  snapshot->LeavingBackendServers =
      resolver.leavingBackendServers(LeavingBackendServers);
  snapshot->IsConfirmed = isConfirmed();
  snapshot->IsStopping = IsStopping;
  return snapshot;
}

void ControlPlane::replicateChangedCauses() {
  const auto replicas = causeReplicas();
  if (replicas.empty())
    return;
  // Heartbeats and settings have priority; causes use the bandwidth left over.
  const auto affordable = Budget.available(Clock.now()) /
                          (replicas.size() * EstimatedCauseEntryBytes);
  auto entries = Causes.takeChanged(std::min(MaxCausesPerBatch, affordable));
  if (entries.empty())
    return;
  const messages::CauseBatch batch{std::move(entries)};
  for (const auto &it : replicas)
    send(it, Members.makeMessage(batch));
}

// Includes causes that originated on other hosts: when a zone is replaced host
// by host, the origin of a cause and both its replicas stop one after another.
void ControlPlane::replicateAllCauses() {
  const auto entries =
      Causes.since(Clock.wallTime() - state::CauseStore::Retention);
  const auto replicas = causeReplicas();
  constexpr std::size_t Limit = protocol::PeerCodec::MaxCauseEntries;
  for (std::size_t i = 0; i < entries.size(); i += Limit) {
    const auto first = entries.begin() + static_cast<std::ptrdiff_t>(i);
    const auto n = std::min(Limit, entries.size() - i);
    const messages::CauseBatch batch{
        {first, first + static_cast<std::ptrdiff_t>(n)}};
    for (const auto &it : replicas)
      send(it, Members.makeMessage(batch));
  }
}

std::vector<common::Endpoint> ControlPlane::causeReplicas() const {
  std::vector<common::Endpoint> replicas;
  const auto &hosts = Members.hosts();
  const auto take = [&](auto from, auto to) {
    for (; from != to && replicas.size() < CauseReplicaCount; ++from)
      if (from->first != Local.Host && from->second.State == HostState::Live &&
          from->second.Addresses.Peer.Port != 0)
        replicas.push_back(from->second.Addresses.Peer);
  };
  // The next live hosts in name order, wrapping around.
  take(hosts.after(Local.Host), hosts.end());
  take(hosts.begin(), hosts.after(Local.Host));
  return replicas;
}

void ControlPlane::record(Cause reason, const std::string &subject) {
  Causes.record(Clock.wallTime(), reason, "", Follower.stamp().Revision,
                subject);
}

void ControlPlane::send(const common::Endpoint &to,
                        const messages::PeerMessage &message) {
  auto bytes = Codec.encode(message);
  if (bytes.ok()) {
    Budget.spend(Clock.now(), bytes->size());
    Outbox.push_back({to, *std::move(bytes)});
  } else {
    common::logLine(LogLevel::Error,
                    absl::StrCat("cannot encode message to peer ",
                                 common::toString(to), ": ",
                                 std::string(bytes.status().message())));
  }
}

void ControlPlane::send(const distribution::AddressedRequest &request) {
  if (const auto to = Members.peerEndpoint(request.Peer))
    send(*to, Members.makeMessage(request.Request));
}

bool ControlPlane::isConfirmed() const {
  return Members.isConfirmed(Clock.now());
}

bool ControlPlane::isReady() const {
  return Table && !IsStopping && Members.selfState() == HostState::Live;
}

bool ControlPlane::readsPlatform() const {
  return !Table || Members.isSettingsReader();
}

ControlView ControlPlane::view() const {
  return {Local,          Clock,         StartTime, Members,
          Follower,       Codec,         Causes,    FlowOutcomes,
          Waits,          isConfirmed(), isReady(), IsPlatformReachable,
          HostListVersion};
}

} // namespace auburnroute::daemon

#include "Daemon/ControlPlane.h"

#include "Common/Log.h"
#include "Common/Text.h"
#include "Daemon/SnapshotSource.h"
#include "Protocol/PlatformCodec.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace auburnroute::daemon {

namespace {

using common::LogLevel;
using distribution::SettingsUpdateOutcome;
using state::Cause;
using state::HostState;

constexpr std::chrono::seconds ReplicationInterval{1};
constexpr std::size_t CausesPerBatch = 16;
/// A cause entry as encoded, with its share of the frame.
constexpr std::size_t CauseEntryBytes = 100;
/// Of the 5,000 bytes a second that control may use; the rest is for the
/// headers of ZeroMQ.
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
    : Local(settings), Clock(clock), Started(clock.now()),
      Members(clock.now(), identityOf(settings, incarnation),
              optionsOf(settings)),
      Codec(settings.SharedKey), Causes(settings.Host, incarnation),
      Budget(clock.now(), ControlBytesPerSecond, ControlBurst) {}

void ControlPlane::onPlatformSettings(std::string_view text) {
  if (Follower.onPlatformDocument(text) == SettingsUpdateOutcome::InForce)
    onSettingsInForce();
  noteRefusals();
}

void ControlPlane::onPlatformHosts(std::string_view text) {
  const auto list = protocol::decodeHostList(text);
  if (!list.ok()) {
    common::logLine(LogLevel::Error,
                    absl::StrCat("host list refused: ",
                                 std::string(list.status().message())));
    return;
  }
  // A platform that was restored from a backup must not bring back old hosts.
  if (list->Version <= HostListVersion)
    return;
  HostListVersion = list->Version;
  Members.onHostList(Clock.now(), *list);
  ListedLeaving = list->LeavingBackendServers;
  SnapshotDue = true;
}

void ControlPlane::onPlatformReachable(bool reachable, const std::string &why) {
  if (reachable == PlatformReachable)
    return;
  PlatformReachable = reachable;
  if (reachable) {
    common::logLine(LogLevel::Info, "platform answers");
    return;
  }
  record(Cause::PlatformUnreachable, Local.Host);
  common::logLine(
      LogLevel::Warning,
      absl::StrCat("platform unreachable, last settings stay in force: ", why));
}

void ControlPlane::onPeerFrame(std::string_view frame) {
  const auto decoded = Codec.decode(frame);
  // Refusals are counted by the codec.
  const auto *message = std::get_if<messages::PeerMessage>(&decoded);
  if (message == nullptr)
    return;
  if (std::holds_alternative<messages::Heartbeat>(message->Body))
    onHeartbeat(*message);
  else if (std::holds_alternative<messages::SettingsRequest>(message->Body))
    onRequest(*message);
  else if (std::holds_alternative<messages::SettingsReply>(message->Body))
    onReply(*message);
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

void ControlPlane::onRequest(const messages::PeerMessage &message) {
  const auto &request = std::get<messages::SettingsRequest>(message.Body);
  const auto to = Members.peerEndpoint(message.Sender);
  if (auto reply = Follower.onSettingsRequest(request); reply && to)
    send(*to, Members.makeMessage(*std::move(reply)));
}

void ControlPlane::onReply(const messages::PeerMessage &message) {
  const auto outcome =
      Follower.onSettingsReply(Clock.now(), message.Sender,
                               std::get<messages::SettingsReply>(message.Body));
  if (outcome.Outcome == SettingsUpdateOutcome::InForce)
    onSettingsInForce();
  noteRefusals();
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
  SnapshotDue = true;
  record(Cause::SettingsApplied, "");
  common::logLine(LogLevel::Info, absl::StrCat("settings revision ",
                                               settings.Revision, " in force"));
}

void ControlPlane::noteRefusals() {
  const auto refused = Follower.counters().Refused;
  if (refused == NotedRefusals || Follower.refusals().empty())
    return;
  NotedRefusals = refused;
  const auto &last = Follower.refusals().back();
  record(Cause::SettingsRefused,
         absl::StrCat("settings revision ", last.Stamp.Revision));
  common::logLine(LogLevel::Error,
                  absl::StrCat("settings revision ", last.Stamp.Revision,
                               " refused: ", last.Errors));
}

void ControlPlane::onAdmission(const AdmissionSummary &summary) {
  const auto now = Clock.now();
  const auto wall = Clock.wallTime();
  const auto revision = Follower.stamp().Revision;
  for (const auto &it : summary.Events) {
    const auto age =
        std::chrono::duration_cast<common::WallTime::duration>(now - it.Last);
    Causes.record(wall - age, it.Why, it.Service, revision, it.BackendServer,
                  it.Count);
  }
  for (const auto &[service, counts] : summary.Burn)
    Burn.add(wall, service, counts);
  if (summary.Waits)
    Waits = *summary.Waits;
}

void ControlPlane::onOwnerDoubted(common::Endpoint admission) {
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
    Codec.forget(it);
  noteTransitions();
  // A stopping host may end before the interval is over.
  if (now >= NextReplication || Leaving) {
    NextReplication = now + ReplicationInterval;
    Causes.expire(Clock.wallTime());
    replicateCauses();
  }
}

void ControlPlane::noteTransitions() {
  for (const auto &it : Members.takeTransitions()) {
    common::logLine(LogLevel::Info,
                    absl::StrCat("host ", it.Host, ": ",
                                 common::toAbsl(state::toString(it.From)),
                                 " -> ",
                                 common::toAbsl(state::toString(it.To))));
    // Each host sees the change; the two readers of the zone report it.
    if (!Members.isSettingsReader())
      continue;
    const auto *host = Members.hosts().find(it.Host);
    const bool left = host != nullptr && host->IsLeaving;
    // The silence of a host that stopped gracefully is its end, not a failure.
    if (it.To == HostState::Dead && !left)
      record(Cause::HostDead, it.Host);
    else if (it.To == HostState::Leaving)
      record(Cause::HostLeaving, it.Host);
  }
  if (Members.counters().Pauses != NotedPauses) {
    NotedPauses = Members.counters().Pauses;
    record(Cause::HostPaused, Local.Host);
    common::logLine(LogLevel::Warning,
                    "resumed after a pause; places no new flows until a peer "
                    "answers");
  }
  const bool confirmed = isConfirmed();
  if (confirmed != WasConfirmed) {
    WasConfirmed = confirmed;
    SnapshotDue = true;
    common::logLine(
        LogLevel::Info,
        absl::StrCat("up to date: ", common::toAbsl(membership::toString(
                                         Members.confirmation()))));
  }
  if (Members.ownershipVersion() != PublishedOwnership)
    SnapshotDue = true;
}

void ControlPlane::beginStop() {
  Leaving = true;
  Members.announceLeaving(Clock.now());
  passOnCauses();
  SnapshotDue = true;
}

void ControlPlane::onStopTimeout() {
  record(Cause::StopTimeout, Local.Host);
  passOnCauses();
}

std::vector<PeerFrame> ControlPlane::takeFrames() {
  return std::exchange(Outbox, {});
}

std::shared_ptr<const ControlSnapshot> ControlPlane::takeSnapshot() {
  if (!SnapshotDue || !Table)
    return nullptr;
  SnapshotDue = false;
  PublishedOwnership = Members.ownershipVersion();
  auto snapshot = std::make_shared<ControlSnapshot>();
  snapshot->Settings = Follower.settings();
  snapshot->Table = Table;
  const SnapshotSource source(Local, Members, *snapshot->Settings, *Table);
  snapshot->AdmissionOwners = source.admissionOwners();
  snapshot->Relay = source.relay();
  snapshot->LostAdmission = source.lostAdmission();
  snapshot->LeavingBackendServers = source.leavingBackendServers(ListedLeaving);
  snapshot->Confirmed = isConfirmed();
  snapshot->Leaving = Leaving;
  return snapshot;
}

void ControlPlane::replicateCauses() {
  const auto replicas = causeReplicas();
  if (replicas.empty())
    return;
  // Heartbeats and settings come first; causes take what they leave.
  const auto affordable =
      Budget.available(Clock.now()) / (replicas.size() * CauseEntryBytes);
  auto entries = Causes.takeChanged(std::min(CausesPerBatch, affordable));
  if (entries.empty())
    return;
  const messages::CauseBatch batch{std::move(entries)};
  for (const auto &it : replicas)
    send(it, Members.makeMessage(batch));
}

// Also the copies of other hosts' causes: when a zone is replaced host by host,
// the origin of a cause and both its replicas end one after another.
void ControlPlane::passOnCauses() {
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
  // The next live hosts in the order of names, wrapping around.
  take(hosts.after(Local.Host), hosts.end());
  take(hosts.begin(), hosts.after(Local.Host));
  return replicas;
}

void ControlPlane::record(Cause why, const std::string &subject) {
  Causes.record(Clock.wallTime(), why, "", Follower.stamp().Revision, subject);
}

void ControlPlane::send(const common::Endpoint &to,
                        const messages::PeerMessage &message) {
  auto bytes = Codec.encode(message);
  if (bytes.ok()) {
    Budget.spend(Clock.now(), bytes->size());
    Outbox.push_back({to, *std::move(bytes)});
  } else {
    common::logLine(LogLevel::Error,
                    absl::StrCat("message to a peer not sent: ",
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
  return Table && !Leaving && Members.selfState() == HostState::Live;
}

bool ControlPlane::readsPlatform() const {
  return !Table || Members.isSettingsReader();
}

ControlView ControlPlane::view() const {
  return {Local,          Clock,         Started,   Members,
          Follower,       Codec,         Causes,    Burn,
          Waits,          isConfirmed(), isReady(), PlatformReachable,
          HostListVersion};
}

} // namespace auburnroute::daemon

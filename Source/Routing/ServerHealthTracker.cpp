#include "Routing/ServerHealthTracker.h"

#include <algorithm>

namespace auburnroute::routing {

using common::TimePoint;
using std::chrono::milliseconds;

namespace {

void decrement(std::uint32_t &n) {
  if (n > 0)
    --n;
}

} // namespace

std::string_view toString(SuspicionReason suspicion) {
  switch (suspicion) {
  case SuspicionReason::None:
    return "none";
  case SuspicionReason::SynUnanswered:
    return "syn_unanswered";
  case SuspicionReason::DataUnanswered:
    return "data_unanswered";
  case SuspicionReason::Reported:
    return "reported";
  }
  return "invalid";
}

HealthLimits HealthLimits::forHeartbeat(milliseconds heartbeat,
                                        milliseconds changeBound) {
  HealthLimits limits;
  limits.SuspicionHold = 3 * heartbeat + changeBound / 2;
  return limits;
}

ServerActivity &ServerHealthTracker::activityRef(ServerId id) {
  if (Activities.size() <= id)
    Activities.resize(id + 1);
  return Activities[id];
}

const ServerActivity &ServerHealthTracker::activity(ServerId id) const {
  static const ServerActivity none;
  return id < Activities.size() ? Activities[id] : none;
}

void ServerHealthTracker::onSynSent(ServerId id) {
  ++activityRef(id).PendingSyns;
}
void ServerHealthTracker::onSynAbandoned(ServerId id) {
  decrement(activityRef(id).PendingSyns);
}
void ServerHealthTracker::onOpened(ServerId id) { ++activityRef(id).OpenFlows; }
void ServerHealthTracker::onClosed(ServerId id) {
  decrement(activityRef(id).OpenFlows);
}
void ServerHealthTracker::onRequest(ServerId id) {
  ++activityRef(id).PendingRequests;
}
void ServerHealthTracker::onRequestDone(ServerId id) {
  decrement(activityRef(id).PendingRequests);
}

void ServerHealthTracker::onAnswer(ServerId id, TimePoint now) {
  auto &server = activityRef(id);
  server.LastAnswer = now;
  server.Why = SuspicionReason::None;
  server.RetransmissionCount = 0;
  server.HasSeveralCallers = false;
  server.DeadUntil = {};
  if (LastAnsweringServer != id) {
    OtherAnswerAt = LastAnswerAt;
    LastAnsweringServer = id;
  }
  LastAnswerAt = now;
}

void ServerHealthTracker::onAnswerTime(milliseconds time, TimePoint now) {
  if (now - WindowStartedAt > Limits.SlowestAnswerWindow) {
    SlowestInPreviousWindow = SlowestInWindow;
    SlowestInWindow = milliseconds(0);
    WindowStartedAt = now;
  }
  SlowestInWindow = std::max(SlowestInWindow, time);
}

milliseconds ServerHealthTracker::slowestAnswer() const {
  return std::max(SlowestInWindow, SlowestInPreviousWindow);
}

bool ServerHealthTracker::isUnresponsive(ServerId id, std::uint32_t flows,
                                         milliseconds time,
                                         TimePoint now) const {
  const auto &server = activity(id);
  return server.RetransmissionCount >= flows &&
         now - server.LastRetransmissionAt < Limits.RetransmissionWindow &&
         now - server.FirstUnansweredAt >= time;
}

bool ServerHealthTracker::isDead(ServerId id, TimePoint now) {
  auto &server = activityRef(id);
  if (now < server.DeadUntil)
    return true;
  const auto otherAnswerAt =
      LastAnsweringServer == id ? OtherAnswerAt : LastAnswerAt;
  const auto silence = std::max(Limits.MinDeadSilence,
                                Limits.DeadLatencyFactor * slowestAnswer());
  const bool dead =
      server.HasSeveralCallers &&
      isUnresponsive(id, Limits.DeadRetransmissions, silence, now) &&
      now - otherAnswerAt < Limits.OtherAnswerWindow;
  if (dead)
    server.DeadUntil = now + Limits.SuspicionHold;
  return dead;
}

bool ServerHealthTracker::onRetransmission(ServerId id, SuspicionReason why,
                                           std::uint32_t caller,
                                           TimePoint sentAt, TimePoint now) {
  auto &server = activityRef(id);
  if (server.LastAnswer > sentAt ||
      now - sentAt < Limits.MinRetransmissionDelay)
    return false;
  if (now - server.LastRetransmissionAt > Limits.RetransmissionWindow) {
    server.RetransmissionCount = 0;
    server.HasSeveralCallers = false;
  }
  server.LastRetransmissionAt = now;
  if (server.RetransmissionCount++ == 0) {
    server.FirstUnansweredAt = sentAt;
    server.FirstRetransmittingCaller = caller;
  }
  server.FirstUnansweredAt = std::min(server.FirstUnansweredAt, sentAt);
  server.HasSeveralCallers |= caller != server.FirstRetransmittingCaller;
  const bool raised = !isSuspect(id, now);
  if (raised) {
    server.Why = why;
    server.SuspectedAt = now;
  }
  server.SuspectUntil = now + Limits.SuspicionHold;
  return raised;
}

bool ServerHealthTracker::onReport(ServerId id, TimePoint since,
                                   TimePoint now) {
  auto &server = activityRef(id);
  if (server.LastAnswer >= since || isSuspect(id, now))
    return false;
  server.Why = SuspicionReason::Reported;
  server.SuspectedAt = now;
  server.SuspectUntil = since + Limits.SuspicionHold;
  return server.SuspectUntil > now;
}

void ServerHealthTracker::reset(ServerId id) {
  activityRef(id) = ServerActivity{};
}

bool ServerHealthTracker::isSuspect(ServerId id, TimePoint now) const {
  const auto &server = activity(id);
  return server.Why != SuspicionReason::None && now < server.SuspectUntil;
}

std::vector<bool>
ServerHealthTracker::unreachableZones(const ServerDirectory &directory,
                                      NameTable::Id ownZone,
                                      TimePoint now) const {
  std::vector<std::uint32_t> suspects(directory.zoneNames().size());
  std::vector<bool> answered(suspects.size());
  for (const auto &server : directory.all()) {
    if (!server.IsOccupied || server.Registration.State == ServerState::Lapsed)
      continue;
    const auto id = directory.idOf(server);
    suspects[server.Zone] += isSuspect(id, now);
    if (now - activity(id).LastAnswer < Limits.ZoneAnswerWindow)
      answered[server.Zone] = true;
  }
  std::vector<bool> silent(suspects.size());
  for (std::size_t i = 0; i < suspects.size(); ++i)
    silent[i] =
        i != ownZone && !answered[i] && suspects[i] >= Limits.MinZoneSuspects;
  return silent;
}

} // namespace auburnroute::routing

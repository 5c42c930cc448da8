#include "Routing/ServerHealthTracker.h"

#include <algorithm>
#include <utility>

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

void ServerHealthTracker::clearEvidence(ServerActivity &server) {
  server.RetransmissionCount = 0;
  server.RetransmittedRequests = 0;
  server.TwiceRetransmittedRequests = 0;
  server.HasSeveralCallers = false;
}

void ServerHealthTracker::clearSuspicion(ServerActivity &server) {
  server.Why = SuspicionReason::None;
  clearEvidence(server);
  server.DeadUntil = {};
}

void ServerHealthTracker::discardEvidence() {
  for (auto &it : Activities) {
    clearEvidence(it);
    it.DeadUntil = {};
  }
  takeRetransmissions();
}

void ServerHealthTracker::recordZoneAnswer(ServerId id, NameTable::Id zone,
                                           TimePoint sentAt) {
  if (AnswersByZone.size() <= zone)
    AnswersByZone.resize(zone + 1);
  auto &answers = AnswersByZone[zone];
  if (answers.Server == id) {
    answers.SentAt = std::max(answers.SentAt, sentAt);
  } else if (sentAt > answers.SentAt) {
    answers.OtherSentAt = answers.SentAt;
    answers.SentAt = sentAt;
    answers.Server = id;
  } else {
    answers.OtherSentAt = std::max(answers.OtherSentAt, sentAt);
  }
}

void ServerHealthTracker::onAnswer(ServerId id, NameTable::Id zone,
                                   TimePoint sentAt, TimePoint now) {
  auto &server = activityRef(id);
  server.LastAnswer = now;
  clearSuspicion(server);
  if (std::exchange(server.IsWatched, false))
    Answered.push_back(id);
  recordZoneAnswer(id, zone, sentAt);
}

void ServerHealthTracker::onAnswerTime(milliseconds time, bool wasRetransmitted,
                                       TimePoint now) {
  if (now - AnswersSince > Limits.RetransmittedShareWindow) {
    PreviousAnswers = std::exchange(Answers, {});
    AnswersSince = now;
  }
  ++Answers.All;
  Answers.Retransmitted += wasRetransmitted;
  if (now - WindowStartedAt > Limits.SlowestAnswerWindow) {
    SlowestInPreviousWindow = SlowestInWindow;
    SlowestInWindow = milliseconds(0);
    WindowStartedAt = now;
  }
  SlowestInWindow = std::max(SlowestInWindow, time);
}

bool ServerHealthTracker::hasManyRetransmissions() const {
  const auto all = Answers.All + PreviousAnswers.All;
  const auto retransmitted =
      Answers.Retransmitted + PreviousAnswers.Retransmitted;
  return all < Limits.MinAnswersForShare ||
         retransmitted > Limits.MaxRetransmittedShare * all;
}

milliseconds ServerHealthTracker::slowestAnswer() const {
  return std::max(SlowestInWindow, SlowestInPreviousWindow);
}

bool ServerHealthTracker::isSilent(ServerId id, NameTable::Id zone,
                                   TimePoint now) const {
  const auto unanswered = evidence(id, zone, now);
  return unanswered && Rule.isDead(*unanswered, answerQuality(), now);
}

void ServerHealthTracker::addRetransmission(ServerId id,
                                            ServerActivity &server) {
  if (!std::exchange(server.HasNewRetransmission, true))
    Retransmissions.push_back(id);
}

void ServerHealthTracker::onSecondRetransmission(ServerId id) {
  auto &server = activityRef(id);
  // Otherwise the server has answered since.
  if (server.TwiceRetransmittedRequests >= server.RetransmittedRequests)
    return;
  ++server.TwiceRetransmittedRequests;
  addRetransmission(id, server);
}

bool ServerHealthTracker::onRetransmission(ServerId id, SuspicionReason why,
                                           std::uint32_t caller,
                                           TimePoint sentAt, TimePoint now) {
  auto &server = activityRef(id);
  if (std::max(server.LastAnswer, server.PeerAnswerAt) > sentAt ||
      now - sentAt < Limits.MinRetransmissionDelay)
    return false;
  // Evidence from which a verdict has ended cannot carry the next one.
  if (now - server.LastRetransmissionAt > Limits.RetransmissionWindow ||
      now - server.FirstUnansweredAt >= Limits.SuspicionHold)
    clearEvidence(server);
  const bool isRequest = why == SuspicionReason::DataUnanswered;
  addRetransmission(id, server);
  server.LastRetransmissionAt = now;
  // SYNs say little about the server, so requests take the place of them.
  const bool isFirst = isRequest ? server.RetransmittedRequests == 0
                                 : server.RetransmissionCount == 0;
  ++server.RetransmissionCount;
  server.RetransmittedRequests += isRequest;
  if (isFirst) {
    server.FirstUnansweredAt = sentAt;
    server.FirstRetransmittingCaller = caller;
    server.HasSeveralCallers = false;
  } else if (isRequest || server.RetransmittedRequests == 0) {
    server.FirstUnansweredAt = std::min(server.FirstUnansweredAt, sentAt);
    server.HasSeveralCallers |= caller != server.FirstRetransmittingCaller;
  }
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
  server.ReportedSince = since;
  server.SuspectUntil = since + Limits.SuspicionHold;
  return server.SuspectUntil > now;
}

bool ServerHealthTracker::onDeadVerdict(ServerId id, TimePoint since,
                                        TimePoint now) {
  auto &server = activityRef(id);
  if (server.LastAnswer > since ||
      server.PeerAnswerAt > since + Limits.MaxReportedAgeError ||
      since + Limits.SuspicionHold <= now)
    return false;
  if (!isSuspect(id, now)) {
    server.Why = SuspicionReason::Reported;
    server.SuspectedAt = now;
  }
  server.ReportedSince = since;
  // Counted from the silence and not from the message: a verdict that is told
  // again must not outlast its evidence.
  server.DeadUntil = std::max(server.DeadUntil, since + Limits.SuspicionHold);
  server.SuspectUntil = std::max(server.SuspectUntil, server.DeadUntil);
  return true;
}

void ServerHealthTracker::onPeerAnswer(ServerId id, TimePoint answeredAt) {
  auto &server = activityRef(id);
  server.PeerAnswerAt = std::max(server.PeerAnswerAt, answeredAt);
  // Later unanswered packets of this host keep a suspicion, but are no verdict.
  if (answeredAt > server.ReportedSince)
    server.DeadUntil = {};
  const auto since =
      server.RetransmissionCount > 0
          ? std::max(server.FirstUnansweredAt, server.ReportedSince)
          : server.ReportedSince;
  if (answeredAt > since)
    clearSuspicion(server);
}

bool ServerHealthTracker::hasRetransmissions(ServerId id, TimePoint now) const {
  const auto &server = activity(id);
  return server.RetransmissionCount > 0 &&
         now - server.LastRetransmissionAt <= Limits.RetransmissionWindow;
}

std::optional<SilenceEvidence>
ServerHealthTracker::evidence(ServerId id, NameTable::Id zone,
                              TimePoint now) const {
  if (!hasRetransmissions(id, now) || zone >= AnswersByZone.size())
    return std::nullopt;
  const auto &server = activity(id);
  const auto &answers = AnswersByZone[zone];
  const auto otherSentAt =
      answers.Server == id ? answers.OtherSentAt : answers.SentAt;
  if (otherSentAt <= server.FirstUnansweredAt)
    return std::nullopt;
  const bool isDoubtful = hasManyRetransmissions();
  if (isDoubtful && server.TwiceRetransmittedRequests == 0)
    return std::nullopt;
  SilenceEvidence evidence;
  evidence.Since = server.FirstUnansweredAt;
  evidence.Caller = server.FirstRetransmittingCaller;
  evidence.HasSeveralCallers = server.HasSeveralCallers;
  evidence.RequestCount = isDoubtful ? server.TwiceRetransmittedRequests
                                     : server.RetransmittedRequests;
  if (!isDoubtful)
    evidence.SynCount =
        server.RetransmissionCount - server.RetransmittedRequests;
  return evidence;
}

std::vector<ServerId> ServerHealthTracker::takeRetransmissions() {
  auto list = std::exchange(Retransmissions, {});
  for (const auto id : list)
    activityRef(id).HasNewRetransmission = false;
  return list;
}

std::vector<ServerId> ServerHealthTracker::takeAnswered() {
  return std::exchange(Answered, {});
}

void ServerHealthTracker::reset(ServerId id) {
  // The id may be listed for takeRetransmissions() already.
  const bool isListed = activityRef(id).HasNewRetransmission;
  activityRef(id) = ServerActivity{};
  activityRef(id).HasNewRetransmission = isListed;
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

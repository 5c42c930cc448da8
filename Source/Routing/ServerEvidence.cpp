#include "Routing/ServerEvidence.h"

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

std::string_view toString(Suspicion suspicion) {
  switch (suspicion) {
  case Suspicion::None:
    return "none";
  case Suspicion::SynUnanswered:
    return "syn_unanswered";
  case Suspicion::DataUnanswered:
    return "data_unanswered";
  case Suspicion::Reported:
    return "reported";
  }
  return "invalid";
}

EvidenceLimits EvidenceLimits::of(milliseconds heartbeat,
                                  milliseconds changeBound) {
  EvidenceLimits limits;
  limits.SuspicionHold = 3 * heartbeat + changeBound / 2;
  return limits;
}

ServerActivity &ServerEvidence::ref(ServerId id) {
  if (Activities.size() <= id)
    Activities.resize(id + 1);
  return Activities[id];
}

const ServerActivity &ServerEvidence::activity(ServerId id) const {
  static const ServerActivity none;
  return id < Activities.size() ? Activities[id] : none;
}

void ServerEvidence::onSynSent(ServerId id) { ++ref(id).Opening; }
void ServerEvidence::onSynGivenUp(ServerId id) { decrement(ref(id).Opening); }
void ServerEvidence::onOpened(ServerId id) { ++ref(id).Open; }
void ServerEvidence::onClosed(ServerId id) { decrement(ref(id).Open); }
void ServerEvidence::onRequest(ServerId id) { ++ref(id).Busy; }
void ServerEvidence::onRequestDone(ServerId id) { decrement(ref(id).Busy); }

void ServerEvidence::onAnswer(ServerId id, TimePoint now) {
  auto &it = ref(id);
  it.LastAnswer = now;
  it.Why = Suspicion::None;
  it.SilentFlows = 0;
  it.SeveralCallers = false;
  it.DeadUntil = {};
  if (LastAnswering != id) {
    OtherAnswerAt = LastAnswerAt;
    LastAnswering = id;
  }
  LastAnswerAt = now;
}

void ServerEvidence::onAnswerTime(milliseconds time, TimePoint now) {
  if (now - SlowestSince > Limits.SlowestMemory) {
    SlowestBefore = SlowestNow;
    SlowestNow = milliseconds(0);
    SlowestSince = now;
  }
  SlowestNow = std::max(SlowestNow, time);
}

milliseconds ServerEvidence::slowestAnswer() const {
  return std::max(SlowestNow, SlowestBefore);
}

bool ServerEvidence::isSilent(ServerId id, std::uint32_t flows,
                              milliseconds time, TimePoint now) const {
  const auto &it = activity(id);
  return it.SilentFlows >= flows &&
         now - it.LastSilenceAt < Limits.SilenceMemory &&
         now - it.SilentSince >= time;
}

bool ServerEvidence::isDead(ServerId id, TimePoint now) {
  auto &it = ref(id);
  if (now < it.DeadUntil)
    return true;
  const auto otherAnswerAt = LastAnswering == id ? OtherAnswerAt : LastAnswerAt;
  const auto silence =
      std::max(Limits.DeadSilence, Limits.DeadFactor * slowestAnswer());
  const bool dead = it.SeveralCallers &&
                    isSilent(id, Limits.DeadFlows, silence, now) &&
                    now - otherAnswerAt < Limits.OwnReach;
  if (dead)
    it.DeadUntil = now + Limits.SuspicionHold;
  return dead;
}

bool ServerEvidence::onSilence(ServerId id, Suspicion why, std::uint32_t caller,
                               TimePoint sentAt, TimePoint now) {
  auto &it = ref(id);
  if (it.LastAnswer > sentAt || now - sentAt < Limits.ShortestSilence)
    return false;
  if (now - it.LastSilenceAt > Limits.SilenceMemory) {
    it.SilentFlows = 0;
    it.SeveralCallers = false;
  }
  it.LastSilenceAt = now;
  if (it.SilentFlows++ == 0) {
    it.SilentSince = sentAt;
    it.FirstSilentCaller = caller;
  }
  it.SilentSince = std::min(it.SilentSince, sentAt);
  it.SeveralCallers |= caller != it.FirstSilentCaller;
  const bool raised = !isSuspect(id, now);
  if (raised) {
    it.Why = why;
    it.SuspectedAt = now;
  }
  it.SuspectUntil = now + Limits.SuspicionHold;
  return raised;
}

bool ServerEvidence::onReport(ServerId id, TimePoint since, TimePoint now) {
  auto &it = ref(id);
  if (it.LastAnswer >= since || isSuspect(id, now))
    return false;
  it.Why = Suspicion::Reported;
  it.SuspectedAt = now;
  it.SuspectUntil = since + Limits.SuspicionHold;
  return it.SuspectUntil > now;
}

void ServerEvidence::reset(ServerId id) { ref(id) = ServerActivity{}; }

bool ServerEvidence::isSuspect(ServerId id, TimePoint now) const {
  const auto &it = activity(id);
  return it.Why != Suspicion::None && now < it.SuspectUntil;
}

std::vector<bool> ServerEvidence::silentZones(const ServerDirectory &directory,
                                              Names::Id ownZone,
                                              TimePoint now) const {
  std::vector<std::uint32_t> suspects(directory.zoneNames().size());
  std::vector<bool> answered(suspects.size());
  for (const auto &server : directory.all()) {
    if (!server.Used || server.Registration.State == ServerState::Lapsed)
      continue;
    const auto id = directory.idOf(server);
    suspects[server.Zone] += isSuspect(id, now);
    if (now - activity(id).LastAnswer < Limits.ZoneSilence)
      answered[server.Zone] = true;
  }
  std::vector<bool> silent(suspects.size());
  for (std::size_t i = 0; i < suspects.size(); ++i)
    silent[i] =
        i != ownZone && !answered[i] && suspects[i] >= Limits.ZoneSuspects;
  return silent;
}

} // namespace auburnroute::routing

#include "Routing/OutcomeTracker.h"

#include "Common/SequenceNumber.h"

#include <algorithm>
#include <utility>

namespace auburnroute::routing {

using common::sequenceAfter;
using common::TimePoint;
using std::chrono::milliseconds;

namespace {

/// How long after a request other servers must have answered a later one.
constexpr milliseconds OtherAnswersWithin{2000};
/// How many windows before or after a request another server's answered request
/// may have been sent.
constexpr std::int64_t OtherAnswersWindows = 2;
/// Between two updates of the groups' totals, which read all servers.
constexpr milliseconds GroupUpdateInterval{500};
/// Flows without a packet for this long are forgotten.
constexpr milliseconds FlowLifetime{30000};
constexpr milliseconds FlowExpiryInterval{2000};
/// The share of flows of a route that end early is taken over about this many.
constexpr double RouteMemory = 500;
/// With fewer flows of a route it is not known whether they usually go on.
constexpr double MinRouteFlows = 20;
/// Gaps are judged once this many events gave the usual one.
constexpr std::uint32_t MinGapEvents = 50;
/// Weight of a new gap in the mean.
constexpr double GapWeight = 0.02;

milliseconds since(TimePoint time, TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(now - time);
}

} // namespace

bool OutcomeTracker::GapDetector::onEvent(TimePoint now) {
  const auto last = std::exchange(LastAt, now);
  if (last == TimePoint())
    return false;
  const auto gap = now - last;
  const double gapMs = std::chrono::duration<double, std::milli>(gap).count();
  const bool isUnusual =
      gap > MinGap && Count >= MinGapEvents && gapMs > GapFactor * MeanMs;
  if (Count < MinGapEvents)
    MeanMs += (gapMs - MeanMs) / ++Count;
  else if (!isUnusual)
    MeanMs += GapWeight * (gapMs - MeanMs);
  return isUnusual;
}

std::int64_t OutcomeTracker::windowOf(TimePoint time) {
  return time.time_since_epoch() / WindowTime;
}

std::uint64_t OutcomeTracker::groupOf(ServerId id) const {
  const auto &server = Directory.at(id);
  return std::uint64_t{server.Service} << 32 | server.Zone;
}

OutcomeTracker::Server &OutcomeTracker::serverRef(ServerId id, TimePoint now) {
  if (Servers.size() <= id)
    Servers.resize(id + 1);
  auto &server = Servers[id];
  const auto &registration = Directory.at(id).Registration;
  if (server.Identity != registration.Identity ||
      server.StartTimeMs != registration.StartTimeMs) {
    const bool isListed = server.IsFailing;
    server = {};
    server.IsFailing = isListed;
    server.Identity = registration.Identity;
    server.StartTimeMs = registration.StartTimeMs;
    server.LastWindow = windowOf(now);
  }
  const auto window = windowOf(now);
  const auto size = static_cast<std::int64_t>(WindowCount);
  for (auto it = std::max(server.LastWindow + 1, window - size + 1);
       it <= window; ++it)
    server.Windows[static_cast<std::size_t>(it % size)] = {};
  server.LastWindow = std::max(server.LastWindow, window);
  return server;
}

OutcomeCounts &OutcomeTracker::countsOf(ServerId id, TimePoint now) {
  auto &server = serverRef(id, now);
  return server.Windows[static_cast<std::size_t>(
      server.LastWindow % static_cast<std::int64_t>(WindowCount))];
}

OutcomeCounts OutcomeTracker::sum(const Server &server, milliseconds time,
                                  TimePoint now) {
  OutcomeCounts total;
  const auto size = static_cast<std::int64_t>(WindowCount);
  const auto window = windowOf(now);
  for (auto it = std::max(window - time / WindowTime + 1,
                          server.LastWindow - size + 1);
       it <= server.LastWindow; ++it)
    total += server.Windows[static_cast<std::size_t>(it % size)];
  return total;
}

void OutcomeTracker::updateGroups(TimePoint now) {
  GroupsUpdatedAt = now;
  for (auto &[key, group] : Groups)
    group.Total = {};
  for (ServerId id = 0; id < Servers.size(); ++id)
    if (Directory.at(id).IsOccupied &&
        Directory.at(id).Registration.Identity == Servers[id].Identity)
      Groups[groupOf(id)].Total += sum(Servers[id], MemoryTime, now);
}

OutcomeCounts OutcomeTracker::others(ServerId id) const {
  const auto group = Groups.find(groupOf(id));
  if (group == Groups.end())
    return {};
  auto counts = group->second.Total;
  if (id >= Servers.size())
    return counts;
  // The total is from the last update, the server's own counts go on.
  counts -= sum(Servers[id], MemoryTime, GroupsUpdatedAt);
  return counts;
}

bool OutcomeTracker::othersAnswered(ServerId id, TimePoint time,
                                    bool after) const {
  const auto group = Groups.find(groupOf(id));
  if (group == Groups.end())
    return false;
  const auto window = windowOf(time);
  const auto first = after ? window + 1 : window - OtherAnswersWindows;
  const auto size = static_cast<std::int64_t>(WindowCount);
  for (auto it = first; it < first + OtherAnswersWindows; ++it) {
    const auto &answered =
        group->second.Answered[static_cast<std::size_t>(it % size)];
    if (answered.Window == it &&
        (answered.Server != id || answered.HasSeveralServers))
      return true;
  }
  return false;
}

void OutcomeTracker::recordAnswered(ServerId id, TimePoint sentAt) {
  const auto window = windowOf(sentAt);
  auto &answered = Groups[groupOf(id)].Answered[static_cast<std::size_t>(
      window % static_cast<std::int64_t>(WindowCount))];
  if (answered.Window < window)
    answered = {window, id, false};
  else if (answered.Window == window && answered.Server != id)
    answered.HasSeveralServers = true;
}

void OutcomeTracker::recordFailure(ServerId id, const FlowId &flow,
                                   std::uint32_t OutcomeCounts::*count,
                                   TimePoint now) {
  ++(countsOf(id, now).*count);
  auto &server = Servers[id];
  const auto caller = flow.Caller.Address;
  if (server.Caller != caller) {
    server.OtherCaller = server.Caller;
    server.OtherCallerAt = server.CallerAt;
    server.Caller = caller;
  }
  server.CallerAt = now;
  if (!std::exchange(server.IsFailing, true))
    Failing.push_back(id);
}

void OutcomeTracker::onArrival(bool isMoved, TimePoint now) {
  if (std::exchange(ArrivalWindow, windowOf(now)) != windowOf(now))
    Arrivals = MovedFlows = 0;
  // What waited during the start says nothing about servers.
  if (QuarantineUntil == TimePoint())
    QuarantineUntil = now + Quarantine;
  ++Arrivals;
  MovedFlows += isMoved;
  const bool haveFlowsMoved = isMoved && MovedFlows >= MinMovedFlows &&
                              MovedFlows > MaxMovedShare * Arrivals &&
                              !isQuarantined(now);
  if (PacketGap.onEvent(now) || haveFlowsMoved)
    discard(now);
}

void OutcomeTracker::discard(TimePoint now) {
  ++DiscardCount;
  QuarantineUntil = now + Quarantine;
  Waits.clear();
  for (auto &[id, flow] : Flows) {
    flow.Phase = FlowPhase::Idle;
    flow.IsAnswerOpen = false;
    flow.IsFromSyn = false;
  }
  for (auto &it : Servers) {
    it.Windows = {};
    it.CallerAt = it.OtherCallerAt = {};
  }
  Groups.clear();
}

void OutcomeTracker::onSyn(const FlowId &id, ServerId server,
                           const FlowPacket &packet, TimePoint now) {
  onArrival(/*isMoved=*/false, now);
  const auto known = Flows.find(id);
  if (known == Flows.end() && Flows.size() >= MaxFlows)
    return;
  auto &flow = known == Flows.end() ? Flows[id] : known->second;
  // A copy: the server before did not answer.
  if (flow.Phase == FlowPhase::Opening && packet.Acknowledgement > 0 &&
      flow.Server != server && !isQuarantined(now) &&
      othersAnswered(flow.Server, flow.SentAt, /*after=*/false)) {
    recordFailure(flow.Server, id, &OutcomeCounts::FailedSyns, now);
    ++countsOf(flow.Server, now).Syns;
  }
  flow = {};
  flow.Server = server;
  flow.Phase = FlowPhase::Opening;
  flow.IsFromSyn = true;
  flow.SentAt = flow.LastSeen = now;
  Waits.push_back({id, FlowPhase::Opening, now});
}

void OutcomeTracker::recordContinuation(const FlowId &id, Flow &flow,
                                        bool hasEnded, TimePoint now) {
  flow.IsAnswerOpen = false;
  if (isQuarantined(now))
    return;
  auto &route = RouteEnds[id.Service.key()];
  const bool isUsual = route.Flows >= MinRouteFlows &&
                       route.Ended <= MaxUsualEndShare * route.Flows;
  if (route.Flows >= RouteMemory) {
    route.Flows /= 2;
    route.Ended /= 2;
  }
  ++route.Flows;
  route.Ended += hasEnded;
  if (!isUsual)
    return;
  ++countsOf(flow.Server, now).Flows;
  if (hasEnded)
    recordFailure(flow.Server, id, &OutcomeCounts::EndedFlows, now);
}

void OutcomeTracker::onAnswered(const FlowId &id, Flow &flow, TimePoint now) {
  flow.Phase = FlowPhase::Idle;
  recordAnswered(flow.Server, flow.SentAt);
  if (AnswerGap.onEvent(now))
    discard(now);
  flow.IsAnswerOpen = true;
  if (flow.IsFromSyn && !std::exchange(flow.HasFirstAnswer, true))
    Waits.push_back({id, FlowPhase::Idle, now});
  if (isQuarantined(now))
    return;
  const auto time = since(flow.SentAt, now);
  auto &counts = countsOf(flow.Server, now);
  ++counts.Answered;
  counts.AnswerTime += time;
  const auto rest = others(flow.Server);
  const bool isCold = now < Directory.at(flow.Server).ColdUntil;
  // Whether a slow server is only busy shows in the rate of its requests.
  const bool isRateKnown = now - QuarantineUntil >= RecentTime;
  if (isRateKnown && !isCold && rest.Answered >= MinAnswersOfOthers &&
      time >= MinSlow && time > SlowFactor * rest.meanTime())
    recordFailure(flow.Server, id, &OutcomeCounts::Slow, now);
}

void OutcomeTracker::onPacket(const FlowId &id, ServerId server,
                              const FlowPacket &packet, TimePoint now) {
  auto it = Flows.find(id);
  onArrival(it == Flows.end(), now);
  const bool isEnd = packet.Fin || packet.Rst;
  if (it == Flows.end()) {
    if (isEnd || Flows.size() >= MaxFlows)
      return;
    it = Flows.try_emplace(id).first;
    it->second.Server = server;
    it->second.NextSequence = packet.Sequence;
    it->second.Acknowledged = packet.Acknowledgement;
  }
  auto &flow = it->second;
  flow.LastSeen = now;
  if (flow.Server != server) {
    // A copy of the SYN went elsewhere, and the other server has answered.
    flow.Server = server;
    flow.Phase = FlowPhase::Idle;
    flow.NextSequence = packet.Sequence;
    flow.Acknowledged = packet.Acknowledgement;
  } else if (flow.Phase == FlowPhase::Opening) {
    flow.Phase = FlowPhase::Idle;
    flow.NextSequence = packet.Sequence;
    flow.Acknowledged = packet.Acknowledgement;
    if (!isQuarantined(now))
      ++countsOf(server, now).Syns;
  } else if (sequenceAfter(packet.Acknowledgement, flow.Acknowledged)) {
    flow.Acknowledged = packet.Acknowledgement;
    if (flow.Phase == FlowPhase::Busy)
      onAnswered(id, flow, now);
  }
  const auto end = packet.Sequence + packet.PayloadSize;
  if (isEnd) {
    if (flow.IsAnswerOpen)
      recordContinuation(id, flow, /*hasEnded=*/true, now);
    // Callers that close sooner than answers take did not wait for one.
    const auto rest = others(server);
    if (flow.Phase == FlowPhase::Busy && packet.PayloadSize == 0 &&
        !isQuarantined(now) && rest.Answered >= MinAnswersOfOthers &&
        now - flow.SentAt > SlowFactor * std::max(rest.meanTime(), MinSlow) &&
        othersAnswered(server, flow.SentAt, /*after=*/false) &&
        othersAnswered(server, flow.SentAt, /*after=*/true))
      recordFailure(server, id, &OutcomeCounts::Unanswered, now);
    Flows.erase(it);
    return;
  }
  if (packet.PayloadSize == 0 || !sequenceAfter(end, flow.NextSequence))
    return;
  flow.NextSequence = end;
  if (flow.IsAnswerOpen)
    recordContinuation(id, flow, /*hasEnded=*/false, now);
  if (flow.Phase == FlowPhase::Idle && !isQuarantined(now))
    ++countsOf(server, now).Sent;
  flow.Phase = FlowPhase::Busy;
  flow.SentAt = now;
  Waits.push_back({id, FlowPhase::Busy, now});
}

bool OutcomeTracker::settleRequest(const Wait &wait, Flow &flow,
                                   TimePoint now) {
  const auto rest = others(flow.Server);
  const auto overdue = std::clamp<milliseconds>(OverdueFactor * rest.meanTime(),
                                                MinOverdue, MaxOverdue);
  if (now - wait.Since < overdue)
    return false;
  const bool isJudged =
      rest.Answered >= MinAnswersOfOthers &&
      othersAnswered(flow.Server, wait.Since, /*after=*/false) &&
      othersAnswered(flow.Server, wait.Since, /*after=*/true);
  if (!isJudged && now - wait.Since < overdue + OtherAnswersWithin)
    return false;
  // A late answer changes nothing.
  flow.Phase = FlowPhase::Idle;
  if (isJudged)
    recordFailure(flow.Server, wait.Flow, &OutcomeCounts::Unanswered, now);
  return true;
}

bool OutcomeTracker::settle(const Wait &wait, TimePoint now) {
  const auto it = Flows.find(wait.Flow);
  if (it == Flows.end())
    return true;
  auto &flow = it->second;
  if (wait.Phase == FlowPhase::Idle) {
    if (!flow.IsAnswerOpen)
      return true;
    if (now - wait.Since < AnswerPause)
      return false;
    recordContinuation(wait.Flow, flow, /*hasEnded=*/true, now);
    return true;
  }
  if (flow.Phase != wait.Phase || flow.SentAt != wait.Since)
    return true;
  if (wait.Phase == FlowPhase::Busy)
    return settleRequest(wait, flow, now);
  if (now - wait.Since < SynTimeout)
    return false;
  if (othersAnswered(flow.Server, wait.Since, /*after=*/false)) {
    recordFailure(flow.Server, wait.Flow, &OutcomeCounts::FailedSyns, now);
    ++countsOf(flow.Server, now).Syns;
  }
  Flows.erase(it);
  return true;
}

void OutcomeTracker::advance(TimePoint now) {
  if (now - GroupsUpdatedAt >= GroupUpdateInterval)
    updateGroups(now);
  std::erase_if(Waits, [&](const Wait &it) { return settle(it, now); });
  if (now - FlowsExpiredAt < FlowExpiryInterval)
    return;
  FlowsExpiredAt = now;
  absl::erase_if(Flows, [&](const auto &it) {
    return now - it.second.LastSeen > FlowLifetime;
  });
}

ServerOutcomes OutcomeTracker::outcomesOf(ServerId id, TimePoint now) const {
  ServerOutcomes out;
  out.Others = others(id);
  if (id >= Servers.size())
    return out;
  const auto &server = Servers[id];
  out.All = sum(server, MemoryTime, now);
  out.Recent = sum(server, RecentTime, now);
  if (now - server.CallerAt < MemoryTime)
    out.Caller = server.Caller;
  out.HasSeveralCallers = out.Caller != 0 && server.OtherCaller != 0 &&
                          now - server.OtherCallerAt < MemoryTime;
  return out;
}

std::vector<ServerId> OutcomeTracker::takeFailing() {
  auto list = std::exchange(Failing, {});
  for (const auto id : list)
    Servers[id].IsFailing = false;
  return list;
}

} // namespace auburnroute::routing

#include "Routing/FlowTable.h"

#include "Common/SequenceNumber.h"

#include <algorithm>
#include <utility>

namespace auburnroute::routing {

using common::sequenceAfter;
using common::TimePoint;

FlowState *FlowTable::find(const FlowId &id) {
  const auto it = Flows.find(id);
  return it == Flows.end() ? nullptr : &it->second;
}

void FlowTable::setPhase(FlowState &flow, FlowPhase phase, TimePoint now) {
  if (flow.Phase == phase)
    return;
  const auto isOpen = [](FlowPhase it) {
    return it == FlowPhase::Idle || it == FlowPhase::Busy;
  };
  if (flow.Phase == FlowPhase::Opening)
    Health.onSynAbandoned(flow.Server);
  if (flow.Phase == FlowPhase::Busy)
    Health.onRequestDone(flow.Server);
  if (isOpen(flow.Phase) && !isOpen(phase))
    Health.onClosed(flow.Server);
  if (!isOpen(flow.Phase) && isOpen(phase))
    Health.onOpened(flow.Server);
  if (phase == FlowPhase::Opening)
    Health.onSynSent(flow.Server);
  if (phase == FlowPhase::Busy)
    Health.onRequest(flow.Server);
  flow.Phase = phase;
  flow.PhaseSince = now;
  if (!isOpen(phase)) {
    setLoadCounted(flow, false);
    endOutstanding(flow, now);
  }
}

void FlowTable::setLoadCounted(FlowState &flow, bool isCounted) {
  if (std::exchange(flow.IsLoadCounted, isCounted) == isCounted)
    return;
  if (isCounted)
    Health.load(flow.Server).onFlow();
  else
    Health.load(flow.Server).onFlowEnd();
}

void FlowTable::beginOutstanding(FlowState &flow,
                                 std::chrono::milliseconds timeout,
                                 TimePoint now) {
  if (flow.OutstandingUntil == TimePoint())
    Health.load(flow.Server).onRequest(now);
  // Routes may state no timeout.
  timeout = timeout.count() == 0 ? MaxOutstandingTime
                                 : std::min(timeout, MaxOutstandingTime);
  flow.OutstandingUntil =
      now + (mayHaveMoved(now) ? std::min(timeout, MovedRequestTime) : timeout);
}

void FlowTable::endOutstanding(FlowState &flow, TimePoint now) {
  if (flow.OutstandingUntil == TimePoint())
    return;
  flow.OutstandingUntil = {};
  Health.load(flow.Server).onRequestEnd(now);
}

void FlowTable::limitOutstanding(TimePoint now) {
  for (auto &[id, flow] : Flows)
    if (flow.OutstandingUntil != TimePoint())
      flow.OutstandingUntil =
          std::min(flow.OutstandingUntil, now + MovedRequestTime);
}

void FlowTable::onRoutersChanged(TimePoint now) {
  RoutersChangedAt = now;
  limitOutstanding(now);
}

void FlowTable::onSyn(const FlowId &id, ServerId server,
                      const FlowPacket &packet, TimePoint now) {
  if (Flows.size() >= MaxFlows && !Flows.contains(id))
    return;
  const auto [it, added] = Flows.try_emplace(id);
  auto &flow = it->second;
  if (!added)
    setPhase(flow, FlowPhase::Closed, now);
  flow = FlowState{};
  flow.Phase = FlowPhase::Closed;
  flow.Server = server;
  flow.NextSequence = packet.Sequence;
  flow.LastSeen = now;
  setPhase(flow, FlowPhase::Opening, now);
  SentSyns.emplace_back(id, now);
}

std::vector<UnansweredSyn> FlowTable::takeUnansweredSyns(TimePoint now) {
  std::vector<UnansweredSyn> list;
  while (!SentSyns.empty() && now - SentSyns.front().second >= MaxOpeningTime) {
    const auto [id, sentAt] = SentSyns.front();
    SentSyns.pop_front();
    auto *flow = find(id);
    // A copy of the SYN has an entry of its own.
    if (flow == nullptr || flow->Phase != FlowPhase::Opening ||
        flow->PhaseSince != sentAt)
      continue;
    flow->IsSynReported = true;
    list.push_back({id, flow->Server, sentAt});
  }
  return list;
}

FlowEvent FlowTable::onPacket(const FlowId &id, ServerId server,
                              const FlowPacket &packet, TimePoint now,
                              std::chrono::milliseconds timeout) {
  if (Flows.size() >= MaxFlows && !Flows.contains(id))
    return FlowEvent::None;
  const auto [it, added] = Flows.try_emplace(id);
  auto &flow = it->second;
  const auto end = packet.Sequence + packet.PayloadSize;
  if (added) {
    flow.Server = server;
    flow.Phase = FlowPhase::Closed;
    flow.NextSequence = packet.Sequence;
    flow.Acknowledged = packet.Acknowledgement;
    setPhase(flow, FlowPhase::Idle, now);
  } else if (flow.Server != server) {
    const auto phase = flow.Phase;
    setPhase(flow, FlowPhase::Closed, now);
    flow.Server = server;
    setPhase(flow, phase == FlowPhase::Opening ? FlowPhase::Idle : phase, now);
  }
  flow.LastSeen = now;

  auto event = FlowEvent::None;
  if (flow.Phase == FlowPhase::Opening) {
    // Callers send further packets only after the SYN was answered.
    event = FlowEvent::Answered;
    flow.NextSequence = packet.Sequence;
    flow.Acknowledged = packet.Acknowledgement;
    setPhase(flow, FlowPhase::Idle, now);
  } else if (sequenceAfter(packet.Acknowledgement, flow.Acknowledged)) {
    event = FlowEvent::Answered;
    flow.Acknowledged = packet.Acknowledgement;
    endOutstanding(flow, now);
    if (flow.Phase == FlowPhase::Busy) {
      Health.onAnswerTime(std::chrono::duration_cast<std::chrono::milliseconds>(
                              now - flow.PhaseSince),
                          flow.RetransmissionCount > 0, now);
      setPhase(flow, FlowPhase::Idle, now);
    }
  }
  if (packet.Fin || packet.Rst) {
    setPhase(flow, FlowPhase::Closed, now);
    return event;
  }
  if (flow.Phase != FlowPhase::Closed)
    setLoadCounted(flow, true);
  if (packet.PayloadSize == 0)
    return event;
  if (sequenceAfter(end, flow.NextSequence)) {
    flow.NextSequence = end;
    flow.RetransmissionCount = 0;
    if (flow.Phase == FlowPhase::Busy)
      flow.PhaseSince = now;
    setPhase(flow, FlowPhase::Busy, now);
    setLoadCounted(flow, true);
    beginOutstanding(flow, timeout, now);
  } else if (event == FlowEvent::None && flow.Phase == FlowPhase::Busy &&
             now - flow.PhaseSince >= MinRetransmissionDelay) {
    if (flow.RetransmissionCount == 0)
      event = FlowEvent::Retransmitted;
    else if (flow.RetransmissionCount == 1)
      event = FlowEvent::RetransmittedAgain;
    flow.RetransmissionCount =
        std::min<std::uint8_t>(flow.RetransmissionCount + 1, 3);
  }
  return event;
}

void FlowTable::expire(TimePoint now, std::chrono::milliseconds idleTimeout) {
  const bool isMoving = mayHaveMoved(now);
  for (auto it = Flows.begin(); it != Flows.end();) {
    auto &flow = it->second;
    const auto limit =
        flow.Phase == FlowPhase::Closed || flow.Phase == FlowPhase::Opening
            ? ClosedFlowLifetime
            : idleTimeout;
    if (now - flow.LastSeen > limit) {
      setPhase(flow, FlowPhase::Closed, now);
      Flows.erase(it++);
      continue;
    }
    if (isMoving && now - flow.LastSeen > RoutersSettleTime)
      setLoadCounted(flow, false);
    if (now > flow.OutstandingUntil)
      endOutstanding(flow, now);
    if (flow.Phase == FlowPhase::Busy && flow.RetransmissionCount == 0 &&
        now - flow.PhaseSince > AnswerAssumedAfter)
      setPhase(flow, FlowPhase::Idle, now);
    ++it;
  }
}

void FlowTable::discardPending(TimePoint now) {
  for (auto &[id, flow] : Flows) {
    if (flow.Phase == FlowPhase::Opening)
      setPhase(flow, FlowPhase::Closed, now);
    else if (flow.Phase == FlowPhase::Busy)
      setPhase(flow, FlowPhase::Idle, now);
    flow.RetransmissionCount = 0;
  }
  SentSyns.clear();
  limitOutstanding(now);
}

std::vector<std::pair<FlowId, std::uint32_t>>
FlowTable::busyFlowsOf(ServerId server) const {
  std::vector<std::pair<FlowId, std::uint32_t>> flows;
  for (const auto &[id, flow] : Flows)
    if (flow.Server == server && flow.Phase == FlowPhase::Busy)
      flows.emplace_back(id, flow.Acknowledged);
  return flows;
}

void FlowTable::erase(const FlowId &id) {
  const auto it = Flows.find(id);
  if (it == Flows.end())
    return;
  setPhase(it->second, FlowPhase::Closed, it->second.LastSeen);
  Flows.erase(it);
}

} // namespace auburnroute::routing

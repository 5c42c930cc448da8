#include "Emulator/EmulatedServer.h"

#include <utility>

namespace auburnroute::emulator {

EmulatedServer::EmulatedServer(const ServiceSpec &spec, EventQueue &queue,
                               Reply reply, bool cold)
    : Spec(spec), Queue(queue), Send(std::move(reply)),
      ColdUntil(cold ? queue.now() + spec.ColdDuration : common::TimePoint()) {}

void EmulatedServer::onPacket(FlowNumber flow,
                              const routing::FlowPacket &packet,
                              Milliseconds work) {
  if (!Alive)
    return;
  if (packet.Syn) {
    AcceptedFlows += Flows.try_emplace(flow).second;
    Send(flow, {ReplyKind::SynAck, packet.Echo, packet.Sequence});
    return;
  }
  const auto it = Flows.find(flow);
  if (it == Flows.end()) {
    if (packet.PayloadSize > 0)
      Send(flow, {ReplyKind::UnknownFlow, packet.Echo, packet.Sequence});
    return;
  }
  if (packet.Fin || packet.Rst)
    Flows.erase(it);
  else if (packet.PayloadSize > 0)
    onRequest(flow, it->second, packet, work);
}

void EmulatedServer::onRequest(FlowNumber number, Flow &flow,
                               const routing::FlowPacket &packet,
                               Milliseconds work) {
  if (flow.Sequence == packet.Sequence) {
    // A retransmission: the request is still running, or its answer has not
    // reached the caller yet.
    if (!flow.Busy)
      Send(number, flow.LastReply);
    return;
  }
  flow.Sequence = packet.Sequence;
  if (AcknowledgesAtOnce)
    Send(number, {ReplyKind::Acknowledgement, packet.Echo, packet.Sequence});
  flow.LastReply = {ReplyKind::Answer, packet.Echo, packet.Sequence};
  if (RunningJobs < Spec.Slots) {
    flow.Busy = true;
    start({number, work});
  } else if (WaitingJobs.size() < Spec.QueueLimit) {
    flow.Busy = true;
    WaitingJobs.push_back({number, work});
  } else {
    flow.LastReply.Kind = ReplyKind::Shed;
    Send(number, flow.LastReply);
  }
}

void EmulatedServer::start(const Job &job) {
  ++RunningJobs;
  const double cold = Queue.now() < ColdUntil ? Spec.ColdFactor : 1.0;
  Queue.scheduleAfter(std::chrono::duration_cast<std::chrono::nanoseconds>(
                          job.Work * SlowdownFactor * cold),
                      [this, flow = job.Flow] { finish(flow); });
}

void EmulatedServer::finish(FlowNumber number) {
  if (!Alive)
    return;
  --RunningJobs;
  // The caller may have closed the flow in the meantime.
  if (const auto it = Flows.find(number); it != Flows.end()) {
    it->second.Busy = false;
    Send(number, it->second.LastReply);
  }
  if (WaitingJobs.empty())
    return;
  const auto next = WaitingJobs.front();
  WaitingJobs.pop_front();
  start(next);
}

} // namespace auburnroute::emulator

#include "Daemon/AdmissionWorker.h"

#include "Coordination/Forwarding/FlowTag.h"
#include "Protocol/PacketRewriter.h"
#include "Protocol/ResetBuilder.h"

namespace auburnroute::daemon {

namespace {

// Upper bound of the extra delay before a held SYN is placed.
constexpr std::chrono::milliseconds ReceiveTimeout{2};

using placement::FinishKind;

FinishKind finishKindOf(const protocol::PacketView &view) {
  if (!view.isRst())
    return FinishKind::Ended;
  // A reset in response to a SYN has sequence number 0 and ACK set
  // (RFC 9293, 3.5.2).
  const bool answersSyn =
      view.hasFlag(protocol::PacketView::AckFlag) && view.sequence() == 0;
  return answersSyn ? FinishKind::SynRefused : FinishKind::Reset;
}

/// Number of the backend server that ended the flow; 0 if the packet has no
/// valid tag.
std::uint16_t backendServerNumberOf(const forwarding::FlowKey &key,
                                    const protocol::PacketView &view,
                                    std::uint64_t seed) {
  using forwarding::FlowTag;
  return view.hasTimestamps()
             ? FlowTag::decode(key, FlowTag::tagOf(view.timestampValue()), seed)
             : 0;
}

} // namespace

using forwarding::FlowKey;
using state::Cause;
using state::Counter;

AdmissionWorker::AdmissionWorker(const state::DaemonSettings &settings,
                                 const common::Clock &clock,
                                 const SnapshotPublisher &snapshots,
                                 transport::UdpSocket socket)
    : Clock(clock), Snapshots(snapshots), Gateway(settings.Gateway),
      PauseLimit(settings.PauseLimit), Socket(std::move(socket)),
      Codec(settings.SharedKey), Controller(settings.Zone),
      LastRun(clock.now()), PauseDetectedAt(clock.now()),
      Self(settings.Admission), Zone(settings.Zone) {}

void AdmissionWorker::runOnce() {
  const auto batch = Socket.receive(ReceiveTimeout);
  const auto now = Clock.now();
  checkPause(now);
  refreshSnapshot(now);
  for (const auto &it : batch)
    handle(now, it.Bytes);
  releaseHeldSyns(now);
  Socket.flush();
  HeldCount.store(HeldSyns.size(), std::memory_order_relaxed);
}

void AdmissionWorker::checkPause(common::TimePoint now) {
  if (now - LastRun > PauseLimit) {
    PauseDetectedAt = now;
    Counters.add(Counter::PausesDetected);
  }
  LastRun = now;
}

bool AdmissionWorker::canPlaceFlows() const {
  return Snapshot && Snapshot->IsConfirmed && !Snapshot->IsStopping &&
         Snapshots.confirmedAt() > PauseDetectedAt;
}

void AdmissionWorker::refreshSnapshot(common::TimePoint now) {
  const auto version = Snapshots.version();
  if (version == SnapshotVersion)
    return;
  SnapshotVersion = version;
  Snapshot = Snapshots.load();
  applySnapshot(now);
}

void AdmissionWorker::applySnapshot(common::TimePoint now) {
  if (Snapshot->Table.get() != Engine.table()) {
    Engine.setTable(Snapshot->Table);
    Controller.onSettings(now, Snapshot->Settings, Snapshot->Table);
  }
  const auto &leaving = Snapshot->LeavingBackendServers;
  Controller.onLeaving(now, {leaving.begin(), leaving.end()});
  if (Snapshot->IsStopping)
    handOverHeldSyns();
}

void AdmissionWorker::sendSecondHop(common::Endpoint next,
                                    protocol::HandOverKind kind,
                                    std::span<const std::byte> packet) {
  constexpr std::uint8_t SecondHop = 2;
  const auto header = Codec.encode(kind, packet, SecondHop);
  Socket.queue(next, header, packet);
  // The queued datagram refers to the header, which is a local variable.
  Socket.flush();
  Counters.add(Counter::HandOverPacketsSent);
}

void AdmissionWorker::handOverHeldSyns() {
  for (const auto &it : Controller.takeHeld()) {
    const auto held = HeldSyns.find(it.Key);
    const auto *listener = Snapshot->Table->findListener(it.Key.Service);
    if (held == HeldSyns.end() || listener == nullptr)
      continue;
    // If no other host takes over, the caller's TCP retransmits the SYN.
    const auto next = Snapshot->AdmissionOwners[listener->Service];
    if (next == Self)
      continue;
    sendSecondHop(next, protocol::HandOverKind::Syn, held->second.Bytes);
  }
  HeldSyns.clear();
}

void AdmissionWorker::handle(common::TimePoint now,
                             std::span<std::byte> datagram) {
  protocol::HandOverView handOver;
  if (const auto cause = Codec.decode(datagram, handOver);
      cause != Cause::None) {
    Counters.add(cause);
    return;
  }
  Counters.add(Counter::HandOverPacketsReceived);
  protocol::PacketView view;
  if (const auto cause = view.parse(handOver.Packet); cause != Cause::None) {
    Counters.add(cause);
    return;
  }
  if (!Snapshot) {
    Counters.add(Cause::NoSettings);
    return;
  }
  switch (handOver.Kind) {
  case protocol::HandOverKind::Syn:
    onSyn(now, handOver, view);
    return;
  case protocol::HandOverKind::Finish:
    onFinish(now, handOver, view);
    return;
  case protocol::HandOverKind::Relay:
    relay(view);
    return;
  }
}

void AdmissionWorker::onSyn(common::TimePoint now,
                            const protocol::HandOverView &handOver,
                            protocol::PacketView &view) {
  const auto *listener = Snapshot->Table->findListener(view.destination());
  if (listener != nullptr && handOver.mayHandOverAgain(Snapshot->IsStopping) &&
      Snapshot->AdmissionOwners[listener->Service] != Self)
    sendSecondHop(Snapshot->AdmissionOwners[listener->Service],
                  protocol::HandOverKind::Syn, view.bytes());
  else
    admit(now, view);
}

void AdmissionWorker::admit(common::TimePoint now, protocol::PacketView &view) {
  if (!canPlaceFlows()) {
    Counters.add(Cause::Unconfirmed);
    return;
  }
  const FlowKey key{view.source(), view.destination()};
  RecentlyEnded.onNewFlow(key);
  const auto decision = Controller.onSyn(now, key);
  if (const auto *it = std::get_if<placement::Place>(&decision)) {
    recordWait(it->Service, std::chrono::nanoseconds(0));
    place(*it, view);
  } else if (const auto *refused =
                 std::get_if<placement::RefuseFlow>(&decision)) {
    refuse(*refused, view);
  } else {
    const auto bytes = view.bytes();
    const auto [held, added] =
        HeldSyns.try_emplace(key, HeldSyn{{bytes.begin(), bytes.end()}, now});
    if (added)
      Counters.add(Counter::FlowsHeld);
  }
}

void AdmissionWorker::onFinish(common::TimePoint now,
                               const protocol::HandOverView &handOver,
                               protocol::PacketView &view) {
  const auto &table = *Snapshot->Table;
  const auto *listener = table.findSource(view.destination()).Listener;
  if (listener == nullptr)
    listener = table.findListener(view.source());
  // The new owner places the SYNs that a stopping host hands over. It must also
  // see these flows end, or it counts their slots as busy until load reports
  // correct the count.
  if (listener != nullptr && handOver.mayHandOverAgain(Snapshot->IsStopping) &&
      Snapshot->AdmissionOwners[listener->Service] != Self)
    sendSecondHop(Snapshot->AdmissionOwners[listener->Service],
                  protocol::HandOverKind::Finish, view.bytes());
  else
    endFlow(now, view);
}

void AdmissionWorker::endFlow(common::TimePoint now,
                              protocol::PacketView &view) {
  Counters.add(Counter::FlowsFinished);
  const auto &table = *Snapshot->Table;
  if (const auto to = table.findSource(view.destination());
      to.BackendServer != nullptr) {
    const FlowKey key{view.source(), to.Listener->Address};
    Controller.onFinish(now, key, FinishKind::CallerReset,
                        to.BackendServer->Number);
    RecentlyEnded.recordEnd(now, key);
    Socket.queue(to.BackendServer->Tunnel, {}, view.bytes());
    return;
  }
  Socket.queue(Gateway, {}, view.bytes());
  const auto *listener = table.findListener(view.source());
  if (listener == nullptr)
    return;
  const FlowKey key{view.destination(), view.source()};
  const auto kind = finishKindOf(view);
  Controller.onFinish(now, key, kind,
                      backendServerNumberOf(key, view, table.flowSeed()));
  if (!RecentlyEnded.recordEnd(now, key))
    return;
  auto &outcomes = outcomesOf(listener->Service);
  if (kind == FinishKind::Ended)
    ++outcomes.Good;
  else if (kind == FinishKind::Reset)
    ++outcomes.Broken;
  else
    ++outcomes.Refused;
}

void AdmissionWorker::relay(protocol::PacketView &view) {
  const auto outcome =
      Engine.onPacket(protocol::PacketRewriter::summarise(view));
  if (const auto *server =
          std::get_if<forwarding::ForwardToBackendServer>(&outcome))
    forward(*server, server->Tunnel, view);
  else if (const auto *caller =
               std::get_if<forwarding::ForwardToCaller>(&outcome))
    forward(*caller, Gateway, view);
  else if (const auto *syn = std::get_if<forwarding::HandOver>(&outcome))
    sendSecondHop(Snapshot->AdmissionOwners[syn->Service],
                  protocol::HandOverKind::Syn, view.bytes());
  else if (const auto *drop = std::get_if<forwarding::Drop>(&outcome))
    Counters.add(drop->Why);
}

template <typename Forward>
void AdmissionWorker::forward(const Forward &outcome, common::Endpoint to,
                              protocol::PacketView &view) {
  if (const auto cause = protocol::PacketRewriter::apply(outcome, view);
      cause != Cause::None) {
    Counters.add(cause);
    return;
  }
  Socket.queue(to, {}, view.bytes());
}

void AdmissionWorker::place(const placement::Place &place,
                            protocol::PacketView &view) {
  const auto outcome = Engine.forwardSyn(
      place.Service, place.Number, protocol::PacketRewriter::summarise(view));
  if (const auto *to =
          std::get_if<forwarding::ForwardToBackendServer>(&outcome)) {
    forward(*to, to->Tunnel, view);
    Counters.add(Counter::FlowsPlaced);
  } else {
    Counters.add(std::get<forwarding::Drop>(outcome).Why);
  }
}

void AdmissionWorker::refuse(const placement::RefuseFlow &refusal,
                             const protocol::PacketView &view) {
  Counters.add(refusal.Why);
  Counters.add(Counter::FlowsRefused);
  // A SYN for an unknown address belongs to no service.
  if (refusal.Why != Cause::UnknownAddress)
    ++outcomesOf(refusal.Service).Refused;
  const auto reset = protocol::ResetBuilder::build(view);
  Socket.queue(Gateway, {}, reset);
  // The queued datagram refers to the reset, which is a local variable.
  Socket.flush();
}

state::FlowOutcomeCounts &AdmissionWorker::outcomesOf(std::uint32_t service) {
  return FlowOutcomes[Snapshot->Settings->Services[service].Name];
}

void AdmissionWorker::recordWait(std::uint32_t service,
                                 std::chrono::nanoseconds waitTime) {
  WaitTimes.add(waitTime);
  const auto &settings = *Snapshot->Settings;
  const auto &policies = settings.Services[service].PolicyByZone;
  auto &outcomes = outcomesOf(service);
  ++outcomes.Placed;
  const auto zone = settings.zoneIndex(Zone);
  if (zone && waitTime > policies[*zone].WaitObjective)
    ++outcomes.Slow;
}

AdmissionSummary AdmissionWorker::takeSummary() {
  return {Controller.takeEvents(), std::exchange(FlowOutcomes, {}),
          WaitTimes.summary()};
}

void AdmissionWorker::releaseHeldSyns(common::TimePoint now) {
  if (!canPlaceFlows())
    return;
  for (const auto &it : Controller.poll(now)) {
    const auto held = HeldSyns.find(it.Key);
    if (held == HeldSyns.end())
      continue;
    protocol::PacketView view;
    view.parse(held->second.Bytes);
    if (const auto *to = std::get_if<placement::Place>(&it.Decision)) {
      recordWait(to->Service, now - held->second.HeldSince);
      place(*to, view);
    } else if (const auto *refused =
                   std::get_if<placement::RefuseFlow>(&it.Decision)) {
      refuse(*refused, view);
    }
    // Queued datagrams refer to the held bytes, so send before erasing them.
    Socket.flush();
    HeldSyns.erase(held);
  }
}

void AdmissionWorker::onLoadReport(std::uint64_t revision,
                                   std::uint32_t backendServer,
                                   const health::LoadReport &report) {
  Counters.add(Counter::LoadReportsReceived);
  // Backend server ids are valid within one settings revision only.
  if (Snapshot && Snapshot->Table->revision() == revision)
    Controller.onLoadReport(Clock.now(), backendServer, report);
}

void AdmissionWorker::onReportFailure(std::uint64_t revision,
                                      std::uint32_t backendServer) {
  Counters.add(Counter::LoadReportFailures);
  if (Snapshot && Snapshot->Table->revision() == revision)
    Controller.onReportFailure(Clock.now(), backendServer);
}

} // namespace auburnroute::daemon

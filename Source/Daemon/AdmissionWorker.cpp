#include "Daemon/AdmissionWorker.h"

#include "Daemon/PacketSummaries.h"
#include "Protocol/ResetBuilder.h"

namespace auburnroute::daemon {

namespace {

// Bounds how late a held flow is released.
constexpr std::chrono::milliseconds ReceiveTimeout{2};

} // namespace

using coordination::FlowKey;
using state::Cause;
using state::Counter;

AdmissionWorker::AdmissionWorker(const state::DaemonSettings &settings,
                                 const common::Clock &clock,
                                 const SnapshotPublisher &snapshots,
                                 transport::UdpSocket socket)
    : Clock(clock), Snapshots(snapshots), Gateway(settings.Gateway),
      PauseLimit(settings.PauseLimit), Socket(std::move(socket)),
      Codec(settings.SharedKey), Controller(settings.Zone),
      LastTurn(clock.now()), PausedUntil(clock.now()) {}

void AdmissionWorker::turn() {
  const auto batch = Socket.receive(ReceiveTimeout);
  const auto now = Clock.now();
  checkPause(now);
  refreshSnapshot(now);
  for (const auto &it : batch)
    handle(now, it.Bytes);
  release(now);
  Socket.flush();
  HeldCount.store(HeldSyns.size(), std::memory_order_relaxed);
}

void AdmissionWorker::checkPause(common::TimePoint now) {
  if (now - LastTurn > PauseLimit) {
    PausedUntil = now;
    Counters.add(Counter::PausesDetected);
  }
  LastTurn = now;
}

bool AdmissionWorker::mayPlace() const {
  return Snapshot && Snapshot->Confirmed &&
         Snapshot->ConfirmedAt >= PausedUntil;
}

void AdmissionWorker::refreshSnapshot(common::TimePoint now) {
  const auto version = Snapshots.version();
  if (version == SnapshotVersion)
    return;
  SnapshotVersion = version;
  Snapshot = Snapshots.load();
  if (Snapshot->Table.get() == Engine.table())
    return;
  Engine.setTable(Snapshot->Table);
  Controller.onSettings(now, Snapshot->Settings, Snapshot->Table);
}

void AdmissionWorker::handle(common::TimePoint now,
                             std::span<std::byte> datagram) {
  protocol::HandOverView handOver;
  if (const auto why = Codec.decode(datagram, handOver); why != Cause::None) {
    Counters.add(why);
    return;
  }
  Counters.add(Counter::HandOverPacketsReceived);
  protocol::PacketView view;
  if (const auto why = view.parse(handOver.Packet); why != Cause::None) {
    Counters.add(why);
    return;
  }
  if (!Snapshot) {
    Counters.add(Cause::NoSettings);
    return;
  }
  if (handOver.Kind == protocol::HandOverKind::Syn)
    admit(now, view);
  else
    finish(now, view);
}

void AdmissionWorker::admit(common::TimePoint now, protocol::PacketView &view) {
  if (!mayPlace()) {
    Counters.add(Cause::Unconfirmed);
    return;
  }
  const FlowKey key{view.source(), view.destination()};
  const auto decision = Controller.onSyn(now, key);
  if (const auto *it = std::get_if<coordination::Place>(&decision)) {
    place(*it, view);
  } else if (const auto *no =
                 std::get_if<coordination::RefuseFlow>(&decision)) {
    refuse(no->Why, view);
  } else {
    const auto bytes = view.bytes();
    if (HeldSyns.try_emplace(key, bytes.begin(), bytes.end()).second)
      Counters.add(Counter::FlowsHeld);
  }
}

void AdmissionWorker::finish(common::TimePoint now,
                             protocol::PacketView &view) {
  Counters.add(Counter::FlowsFinished);
  const auto &table = *Snapshot->Table;
  if (const auto to = table.findSource(view.destination());
      to.BackendServer != nullptr) {
    Controller.onFinish(now, {view.source(), to.Listener->Address});
    Socket.queue(to.BackendServer->Tunnel, {}, view.bytes());
    return;
  }
  Controller.onFinish(now, {view.destination(), view.source()});
  Socket.queue(Gateway, {}, view.bytes());
}

void AdmissionWorker::place(const coordination::Place &place,
                            protocol::PacketView &view) {
  const auto outcome =
      Engine.forwardSyn(place.Service, place.Number, summarise(view));
  if (const auto *to =
          std::get_if<coordination::ForwardToBackendServer>(&outcome)) {
    view.setDestination(to->Destination);
    Socket.queue(to->Tunnel, {}, view.bytes());
    Counters.add(Counter::FlowsPlaced);
    return;
  }
  Counters.add(Cause::UnknownAddress);
}

void AdmissionWorker::refuse(Cause why, const protocol::PacketView &view) {
  Counters.add(why);
  Counters.add(Counter::FlowsRefused);
  const auto reset = protocol::buildReset(view);
  Socket.queue(Gateway, {}, reset);
  // The reset lives in this scope only.
  Socket.flush();
}

void AdmissionWorker::release(common::TimePoint now) {
  if (!mayPlace())
    return;
  for (const auto &it : Controller.poll(now)) {
    const auto held = HeldSyns.find(it.Key);
    if (held == HeldSyns.end())
      continue;
    protocol::PacketView view;
    view.parse(held->second);
    if (const auto *to = std::get_if<coordination::Place>(&it.Decision))
      place(*to, view);
    else if (const auto *no =
                 std::get_if<coordination::RefuseFlow>(&it.Decision))
      refuse(no->Why, view);
    // The held bytes must outlive the datagram that refers to them.
    Socket.flush();
    HeldSyns.erase(held);
  }
}

void AdmissionWorker::onLoadReport(std::uint64_t revision,
                                   std::uint32_t backendServer,
                                   const coordination::LoadReport &report) {
  Counters.add(Counter::LoadReportsReceived);
  // Ids belong to one revision; a report from before a change is useless.
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

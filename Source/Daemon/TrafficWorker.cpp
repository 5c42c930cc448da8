#include "Daemon/TrafficWorker.h"

#include "Protocol/PacketRewriter.h"
#include "Protocol/ResetBuilder.h"

#include <algorithm>
#include <utility>

namespace auburnroute::daemon {

namespace {

// Upper bound of the time in which an idle thread notices a stop or a snapshot.
constexpr std::chrono::milliseconds ReceiveTimeout{20};
constexpr std::chrono::milliseconds SummaryInterval{200};

} // namespace

using protocol::PacketRewriter;
using state::Cause;
using state::Counter;

TrafficWorker::TrafficWorker(const state::DaemonSettings &settings,
                             const common::Clock &clock,
                             const SnapshotPublisher &snapshots,
                             transport::UdpSocket socket,
                             OwnerUnresponsiveFunction onOwnerUnresponsive)
    : Clock(clock), Snapshots(snapshots), Gateway(settings.Gateway),
      Self(settings.Admission), Socket(std::move(socket)),
      Codec(settings.SharedKey),
      OnOwnerUnresponsive(std::move(onOwnerUnresponsive)) {}

void TrafficWorker::run(const std::atomic<bool> &stop) {
  while (!stop.load(std::memory_order_relaxed)) {
    const auto batch = Socket.receive(ReceiveTimeout);
    Now = Clock.now();
    refreshSnapshot();
    HeadersUsed = 0;
    for (const auto &it : batch)
      handle(it.Bytes);
    Socket.flush();
    sendRefusalSummary();
    if (!batch.empty())
      LastPacketNanoseconds.store(
          std::chrono::duration_cast<std::chrono::nanoseconds>(
              Now.time_since_epoch())
              .count(),
          std::memory_order_relaxed);
  }
}

void TrafficWorker::refreshSnapshot() {
  const auto version = Snapshots.version();
  if (version == SnapshotVersion)
    return;
  SnapshotVersion = version;
  const auto previous = std::exchange(Snapshot, Snapshots.load());
  if (Snapshot->Table.get() != Engine.table()) {
    Engine.setTable(Snapshot->Table);
    // Service indexes refer to the new table from here on.
    FailureDetector.reset(Snapshot->AdmissionOwners.size());
    return;
  }
  for (std::uint32_t i = 0; i < Snapshot->AdmissionOwners.size(); ++i)
    if (previous->AdmissionOwners[i] != Snapshot->AdmissionOwners[i])
      onNewOwner(i, previous->AdmissionOwners[i]);
}

void TrafficWorker::onNewOwner(std::uint32_t service,
                               common::Endpoint previous) {
  FailureDetector.onNewOwner(service);
  // An owner that leaves gracefully hands over the SYNs that it holds itself.
  const auto &unreachable = Snapshot->UnreachableAdmissionEndpoints;
  if (std::find(unreachable.begin(), unreachable.end(), previous) ==
      unreachable.end())
    return;
  const auto owner = Snapshot->AdmissionOwners[service];
  const auto resend = [&](std::span<const std::byte> syn) {
    const auto header = Codec.encode(protocol::HandOverKind::Syn, syn);
    Socket.queue(owner, header, syn);
    // The queued datagram refers to the header, which is a local variable.
    Socket.flush();
    Counters.add(Counter::HandOverPacketsSent);
    Counters.add(Counter::SynsRepeated);
  };
  for (const auto &it : Snapshot->Settings->Services[service].Listeners)
    RecentSyns.take(Now, previous, it.Address, resend);
}

void TrafficWorker::sendRefusalSummary() {
  if (Now < NextSummary || RefusalSummary.FlowOutcomes.empty() || !OnSummary)
    return;
  NextSummary = Now + SummaryInterval;
  RefusalSummary.Events = RefusalEvents.take();
  OnSummary(std::exchange(RefusalSummary, {}));
}

void TrafficWorker::handle(std::span<std::byte> datagram) {
  protocol::PacketView view;
  if (const auto cause = view.parse(datagram); cause != Cause::None) {
    Counters.add(cause);
    return;
  }
  if (Engine.table() == nullptr) {
    Counters.add(Cause::NoSettings);
    return;
  }
  std::visit([&](const auto &it) { apply(it, view); },
             Engine.onPacket(PacketRewriter::summarise(view)));
}

void TrafficWorker::apply(const forwarding::ForwardToBackendServer &outcome,
                          protocol::PacketView &view) {
  if (const auto cause = PacketRewriter::apply(outcome, view);
      cause != Cause::None) {
    Counters.add(cause);
    return;
  }
  Counters.add(Counter::CallerPackets);
  if (outcome.EndsFlow)
    handOver(ownerOf(outcome.Service), protocol::HandOverKind::Finish, view);
  else
    Socket.queue(outcome.Tunnel, {}, view.bytes());
}

void TrafficWorker::apply(const forwarding::ForwardToCaller &outcome,
                          protocol::PacketView &view) {
  if (const auto cause = PacketRewriter::apply(outcome, view);
      cause != Cause::None) {
    Counters.add(cause);
    return;
  }
  Counters.add(Counter::BackendServerPackets);
  if (view.isSynAck()) {
    FailureDetector.onSynAck(Now, outcome.Service);
    RecentSyns.onPlaced({view.destination(), outcome.Source});
  }
  if (outcome.EndsFlow)
    handOver(ownerOf(outcome.Service), protocol::HandOverKind::Finish, view);
  else
    Socket.queue(Gateway, {}, view.bytes());
}

void TrafficWorker::apply(const forwarding::HandOver &outcome,
                          protocol::PacketView &view) {
  const auto owner = ownerOf(outcome.Service);
  handOver(owner, protocol::HandOverKind::Syn, view);
  if (owner == Self)
    return;
  RecentSyns.add(Now, owner, {view.source(), view.destination()}, view.bytes());
  if (FailureDetector.onSyn(Now, outcome.Service))
    OnOwnerUnresponsive(owner);
}

void TrafficWorker::apply(const forwarding::Refuse &outcome,
                          protocol::PacketView &view) {
  Counters.add(outcome.Why);
  Counters.add(Counter::FlowsRefused);
  const auto &service = Snapshot->Settings->Services[outcome.Service].Name;
  ++RefusalSummary.FlowOutcomes[service].Refused;
  RefusalEvents.add(Now, outcome.Why, service, "");
  const auto reset = protocol::ResetBuilder::build(view);
  Socket.queue(Gateway, {}, reset);
  // The queued datagram refers to the reset, which is a local variable.
  Socket.flush();
}

void TrafficWorker::apply(const forwarding::Drop &outcome,
                          protocol::PacketView &view) {
  Counters.add(outcome.Why);
  if (Snapshot->RelayEndpoint && Relays.shouldRelay(Now, outcome.Why))
    handOver(*Snapshot->RelayEndpoint, protocol::HandOverKind::Relay, view);
}

void TrafficWorker::handOver(common::Endpoint to, protocol::HandOverKind kind,
                             const protocol::PacketView &view) {
  auto &header = Headers[HeadersUsed++];
  header = Codec.encode(kind, view.bytes());
  Socket.queue(to, header, view.bytes());
  Counters.add(Counter::HandOverPacketsSent);
}

} // namespace auburnroute::daemon

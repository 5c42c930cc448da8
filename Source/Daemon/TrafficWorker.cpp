#include "Daemon/TrafficWorker.h"

#include "Protocol/PacketRewriter.h"
#include "Protocol/ResetBuilder.h"

namespace auburnroute::daemon {

namespace {

// Bounds how long a stop or a new snapshot waits for an idle thread.
constexpr std::chrono::milliseconds ReceiveTimeout{20};

} // namespace

using protocol::PacketRewriter;
using state::Cause;
using state::Counter;

TrafficWorker::TrafficWorker(const state::DaemonSettings &settings,
                             const common::Clock &clock,
                             const SnapshotPublisher &snapshots,
                             transport::UdpSocket socket)
    : Clock(clock), Snapshots(snapshots), Gateway(settings.Gateway),
      Socket(std::move(socket)), Codec(settings.SharedKey) {}

void TrafficWorker::run(const std::atomic<bool> &stop) {
  while (!stop.load(std::memory_order_relaxed)) {
    const auto batch = Socket.receive(ReceiveTimeout);
    refreshSnapshot();
    HeadersUsed = 0;
    for (const auto &it : batch)
      handle(it.Bytes);
    Socket.flush();
    if (!batch.empty())
      LastPacket.store(std::chrono::duration_cast<std::chrono::nanoseconds>(
                           Clock.now().time_since_epoch())
                           .count(),
                       std::memory_order_relaxed);
  }
}

void TrafficWorker::refreshSnapshot() {
  const auto version = Snapshots.version();
  if (version == SnapshotVersion)
    return;
  SnapshotVersion = version;
  Snapshot = Snapshots.load();
  if (Snapshot->Table.get() != Engine.table())
    Engine.setTable(Snapshot->Table);
}

void TrafficWorker::handle(std::span<std::byte> datagram) {
  protocol::PacketView view;
  if (const auto why = view.parse(datagram); why != Cause::None) {
    Counters.add(why);
    return;
  }
  if (Engine.table() == nullptr) {
    Counters.add(Cause::NoSettings);
    return;
  }
  const auto packet = PacketRewriter::summarise(view);
  const auto outcome = Engine.table()->findListener(packet.Destination)
                           ? Engine.onCallerPacket(packet)
                           : Engine.onBackendServerPacket(packet);
  std::visit([&](const auto &it) { apply(it, view); }, outcome);
}

void TrafficWorker::apply(const coordination::ForwardToBackendServer &outcome,
                          protocol::PacketView &view) {
  if (const auto why = PacketRewriter::apply(outcome, view);
      why != Cause::None) {
    Counters.add(why);
    return;
  }
  Counters.add(Counter::CallerPackets);
  if (outcome.EndsFlow)
    handOver(ownerOf(outcome.Service), protocol::HandOverKind::Finish, view);
  else
    Socket.queue(outcome.Tunnel, {}, view.bytes());
}

void TrafficWorker::apply(const coordination::ForwardToCaller &outcome,
                          protocol::PacketView &view) {
  if (const auto why = PacketRewriter::apply(outcome, view);
      why != Cause::None) {
    Counters.add(why);
    return;
  }
  Counters.add(Counter::BackendServerPackets);
  if (outcome.EndsFlow)
    handOver(ownerOf(outcome.Service), protocol::HandOverKind::Finish, view);
  else
    Socket.queue(Gateway, {}, view.bytes());
}

void TrafficWorker::apply(const coordination::HandOver &outcome,
                          protocol::PacketView &view) {
  handOver(ownerOf(outcome.Service), protocol::HandOverKind::Syn, view);
}

void TrafficWorker::apply(const coordination::Refuse &outcome,
                          protocol::PacketView &view) {
  Counters.add(outcome.Why);
  Counters.add(Counter::FlowsRefused);
  const auto reset = protocol::ResetBuilder::build(view);
  Socket.queue(Gateway, {}, reset);
  // The reset lives in this scope only.
  Socket.flush();
}

void TrafficWorker::apply(const coordination::Drop &outcome,
                          protocol::PacketView &view) {
  Counters.add(outcome.Why);
  if (Snapshot->Relay && Relays.shouldRelay(Clock.now(), outcome.Why))
    handOver(*Snapshot->Relay, protocol::HandOverKind::Relay, view);
}

void TrafficWorker::handOver(common::Endpoint to, protocol::HandOverKind kind,
                             const protocol::PacketView &view) {
  auto &header = Headers[HeadersUsed++];
  header = Codec.encode(kind, view.bytes());
  Socket.queue(to, header, view.bytes());
  Counters.add(Counter::HandOverPacketsSent);
}

} // namespace auburnroute::daemon

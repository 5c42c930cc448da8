// Measures the complete forwarding path of one traffic thread over loopback
// sockets: receiving, parsing, the forwarding decision, rewriting and sending.
// Prints one JSON object per line; the exit status is 1 if a bound is missed.
// The baseline is a thread that relays the same datagrams unchanged, with the
// same socket class.

#include "Bench/Figure.h"
#include "Common/SystemClock.h"
#include "Coordination/Forwarding/FlowTag.h"
#include "Daemon/TrafficWorker.h"
#include "Protocol/PacketBuilder.h"
#include "State/SettingsLoader.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <atomic>
#include <concepts>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace auburnroute;
using namespace std::chrono_literals;

namespace {

using Packet = std::vector<std::byte>;
using SteadyClock = std::chrono::steady_clock;
using transport::UdpSocket;

constexpr std::uint32_t Loopback = 0x7F000001;
constexpr std::uint64_t FlowSeed = 7321;
constexpr std::uint32_t FlowCount = 100'000;
constexpr std::size_t PayloadBytes = 64;
constexpr std::size_t Rounds = 3;
constexpr auto RoundLength = 2s;
constexpr auto DrainLimit = 1s; ///< Longest wait for packets in flight.
constexpr std::chrono::milliseconds ReceiveTimeout{20};
// Packets in flight. A receive buffer of the kernel's default limit, 416 KiB,
// holds about 550 packets of this size.
constexpr std::int64_t Window = 512;

constexpr std::uint32_t ServerNetwork = 0xC0000200;
constexpr std::uint16_t BackendPort = 9001;

/// A service in the settings document.
struct ServiceShape {
  const char *Name;
  common::Endpoint Listener;
  std::uint16_t Servers;
};
constexpr ServiceShape Services[] = {{"counter", {0xC6336401, 7001}, 15},
                                     {"catalogue", {0xC6336402, 7001}, 4}};

/// A backend server as packets address it.
struct Server {
  common::Endpoint Listener;
  std::uint32_t Address = 0;
  std::uint16_t Number = 0;
};

/// Returns the backend servers of both services.
std::vector<Server> makeServers() {
  std::vector<Server> servers;
  for (const auto &service : Services)
    for (std::uint16_t n = 1; n <= service.Servers; ++n) {
      const auto host = static_cast<std::uint32_t>(servers.size() + 1);
      servers.push_back({service.Listener, ServerNetwork + host, n});
    }
  return servers;
}

/// Returns a settings document in which all backend servers receive packets at
/// \p tunnel.
std::string makeDocument(common::Endpoint tunnel) {
  std::string out = absl::StrCat(
      "{\"revision\": 1, \"flowSeed\": ", FlowSeed,
      ", \"region\": \"tt-south\", \"defaults\": {}, \"zones\": {\"sando\": "
      "{}}, \"owners\": {\"carenage\": {}}, \"services\": {");
  std::uint32_t host = 0;
  for (const auto &service : Services) {
    absl::StrAppend(&out, host == 0 ? "" : ",", "\"", service.Name,
                    "\": {\"owner\": \"carenage\", \"listeners\": "
                    "[{\"address\": \"",
                    common::toString(service.Listener),
                    "\", \"kind\": \"feed\", \"backendPort\": ", BackendPort,
                    "}], \"backendServers\": [");
    for (int n = 1; n <= service.Servers; ++n) {
      // Nothing is sent to this port, but validation requires distinct ports.
      const auto loadReport = static_cast<std::uint16_t>(32'000 + ++host);
      absl::StrAppend(
          &out, n == 1 ? "" : ",", "{\"name\": \"", service.Name, "-", n,
          "\", \"number\": ", n, ", \"zone\": \"sando\", \"address\": \"",
          common::addressToString(ServerNetwork + host), "\", \"tunnel\": \"",
          common::toString(tunnel), "\", \"loadReport\": \"",
          common::toString({Loopback, loadReport}),
          "\", \"slots\": 2, \"connections\": 2000, \"weight\": 1, "
          "\"state\": \"active\"}");
    }
    out += "]}";
  }
  return out + "}}";
}

/// Returns one packet for each established flow. The first byte of the payload
/// is the last byte of the backend server's address, which the receiver checks.
std::vector<Packet> makeFlowPackets() {
  constexpr std::uint32_t Ports = 60'000;
  const auto servers = makeServers();
  std::vector<Packet> packets;
  packets.reserve(FlowCount);
  for (std::uint32_t i = 0; i < FlowCount; ++i) {
    const auto &server = servers[i % servers.size()];
    const forwarding::FlowKey key{
        {0xCB007100 + i / Ports, static_cast<std::uint16_t>(1024 + i % Ports)},
        server.Listener};
    std::vector<std::byte> payload(PayloadBytes);
    payload[0] = static_cast<std::byte>(server.Address);
    const auto echo = forwarding::FlowTag::tagValue(
        5'000'000 + i,
        forwarding::FlowTag::encode(key, server.Number, FlowSeed));
    packets.push_back(protocol::buildPacket(
        {key.Caller, key.Service, protocol::PacketView::AckFlag, 1, 2,
         protocol::Timestamps{7, echo}, payload}));
  }
  return packets;
}

/// Returns a reply of each backend server, from which a host learns the
/// server's timestamp clock.
std::vector<Packet> makeServerReplies() {
  std::vector<Packet> packets;
  for (const auto &it : makeServers())
    packets.push_back(protocol::buildPacket({{it.Address, BackendPort},
                                             {0xCB007100, 1024},
                                             protocol::PacketView::AckFlag,
                                             1,
                                             2,
                                             protocol::Timestamps{6'000'000, 7},
                                             {}}));
  return packets;
}

/// Returns the value, or prints the error and exits with status 2.
template <typename T> T valueOrExit(absl::StatusOr<T> result) {
  if (result.ok())
    return *std::move(result);
  std::fprintf(stderr, "%s\n", result.status().ToString().c_str());
  std::exit(2);
}

struct BoundSocket {
  UdpSocket Socket;
  common::Endpoint Address;
};

/// Binds to the first free port of a range, since other programs may use some
/// of them.
BoundSocket bindFreePort() {
  constexpr std::uint16_t FirstPort = 24'500;
  constexpr std::uint16_t LastPort = 24'599;
  common::Endpoint address{Loopback, FirstPort};
  auto socket = UdpSocket::bind(address, false);
  while (!socket.ok() && address.Port < LastPort) {
    ++address.Port;
    socket = UdpSocket::bind(address, false);
  }
  return {valueOrExit(std::move(socket)), address};
}

/// Results of one forwarder in one round.
struct Result {
  double PacketsPerSecond = 0;
  /// Processor time of the forwarding thread per packet.
  double Nanoseconds = 0;
  double Busy = 0; ///< Its processor time in percent of the round.
  std::uint64_t Lost = 0;
  std::uint64_t Misdirected = 0; ///< Packets with a wrong destination.
};

/// A sender, a forwarding thread and a receiver on loopback.
class Round {
public:
  explicit Round(const std::vector<Packet> &packets) : Packets(packets) {}

  /// The address to which the forwarding thread sends.
  common::Endpoint target() const { return Target.Address; }
  /// Hands over the socket on which the forwarding thread receives. Call it
  /// once.
  UdpSocket takeSocket() { return std::move(Forwarder.Socket); }

  /// Runs \p forward on a thread until the round ends; it must return once its
  /// argument is set. \p first are packets to send beforehand, which don't
  /// reach the target. \p rewritten tells whether the forwarder rewrites
  /// destinations.
  template <std::invocable<const std::atomic<bool> &> Forward>
  Result run(Forward forward, const std::vector<Packet> &first,
             bool rewritten) {
    std::atomic<bool> stop{false};
    double processorTime = 0;
    std::thread forwarder([&] {
      const auto before = threadTime();
      forward(stop);
      processorTime = threadTime() - before;
    });
    std::thread receiver([&] { receive(stop, rewritten); });
    const auto begin = SteadyClock::now();
    const auto sent = send(first, begin + RoundLength);
    const std::chrono::duration<double, std::nano> took =
        SteadyClock::now() - begin;
    stop = true;
    forwarder.join();
    receiver.join();
    const auto n = static_cast<double>(Received.load());
    return {n / took.count() * 1e9, processorTime / n,
            processorTime / took.count() * 100,
            static_cast<std::uint64_t>(sent - Received.load()), Misdirected};
  }

private:
  /// Processor time of the calling thread in nanoseconds.
  static double threadTime() {
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 +
           static_cast<double>(time.tv_nsec);
  }

  /// Sends until \p end, then waits for the packets in flight. Returns the
  /// number of packets sent. A lost packet occupies its place in the window
  /// until the end.
  std::int64_t send(const std::vector<Packet> &first,
                    SteadyClock::time_point end) {
    for (const auto &it : first)
      Sender.Socket.queue(Forwarder.Address, {}, it);
    Sender.Socket.flush();
    constexpr auto Batch = static_cast<std::int64_t>(UdpSocket::BatchSize);
    std::int64_t sent = 0;
    std::size_t next = 0;
    while (SteadyClock::now() < end) {
      if (sent + Batch - Received.load(std::memory_order_acquire) > Window) {
        std::this_thread::yield();
        continue;
      }
      for (std::int64_t i = 0; i < Batch; ++i) {
        Sender.Socket.queue(Forwarder.Address, {}, Packets[next]);
        next = next + 1 == Packets.size() ? 0 : next + 1;
      }
      Sender.Socket.flush();
      sent += Batch;
    }
    while (Received.load(std::memory_order_acquire) < sent &&
           SteadyClock::now() < end + DrainLimit)
      std::this_thread::yield();
    return sent;
  }

  void receive(const std::atomic<bool> &stop, bool rewritten) {
    while (!stop.load(std::memory_order_relaxed)) {
      const auto batch = Target.Socket.receive(ReceiveTimeout);
      for (const auto &it : batch)
        Misdirected += hasExpectedDestination(it.Bytes, rewritten) ? 0 : 1;
      Received.fetch_add(static_cast<std::int64_t>(batch.size()),
                         std::memory_order_release);
    }
  }

  static bool hasExpectedDestination(std::span<std::byte> datagram,
                                     bool rewritten) {
    protocol::PacketView view;
    if (view.parse(datagram) != state::Cause::None ||
        view.payloadSize() != PayloadBytes)
      return false;
    const auto host = std::to_integer<std::uint32_t>(view.payload()[0]);
    const common::Endpoint server{ServerNetwork + host, BackendPort};
    return (view.destination() == server) == rewritten;
  }

  const std::vector<Packet> &Packets;
  BoundSocket Sender = bindFreePort();
  BoundSocket Forwarder = bindFreePort();
  BoundSocket Target = bindFreePort();
  std::atomic<std::int64_t> Received{0};
  std::uint64_t Misdirected = 0;
};

Result runPlainRelay(const std::vector<Packet> &packets) {
  Round round(packets);
  auto socket = round.takeSocket();
  const auto relay = [&](const std::atomic<bool> &stop) {
    while (!stop.load(std::memory_order_relaxed)) {
      for (const auto &it : socket.receive(ReceiveTimeout))
        socket.queue(round.target(), {}, it.Bytes);
      socket.flush();
    }
  };
  return round.run(relay, {}, false);
}

Result runDaemon(const std::vector<Packet> &packets) {
  Round round(packets);
  // Receives the replies; nobody reads them.
  const auto callers = bindFreePort();
  const auto settings = std::make_shared<const state::Settings>(valueOrExit(
      state::loadSettings(makeDocument(round.target()), "RelayBench")));
  const auto snapshot = std::make_shared<daemon::ControlSnapshot>();
  snapshot->Settings = settings;
  snapshot->Table =
      std::make_shared<const state::ServiceTable>(*settings, "sando");
  snapshot->AdmissionOwners.resize(settings->Services.size(), callers.Address);
  daemon::SnapshotPublisher snapshots;
  snapshots.publish(snapshot);

  state::DaemonSettings local;
  local.Gateway = callers.Address;
  local.Admission = callers.Address;
  local.SharedKey = "key-of-this-bench";
  const common::SystemClock clock;
  daemon::TrafficWorker worker(local, clock, snapshots, round.takeSocket(),
                               [](common::Endpoint) {});
  return round.run([&](const std::atomic<bool> &stop) { worker.run(stop); },
                   makeServerReplies(), true);
}

/// Returns the median of a value over all rounds.
double median(const std::vector<Result> &results, double Result::*figure) {
  std::vector<double> values;
  values.reserve(results.size());
  for (const auto &it : results)
    values.push_back(it.*figure);
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// Returns the sum of a count over all rounds.
double total(const std::vector<Result> &results, std::uint64_t Result::*count) {
  std::uint64_t sum = 0;
  for (const auto &it : results)
    sum += it.*count;
  return static_cast<double>(sum);
}

} // namespace

int main() {
  const auto packets = makeFlowPackets();
  std::vector<Result> plain;
  std::vector<Result> full;
  for (std::size_t i = 0; i < Rounds; ++i) {
    plain.push_back(runPlainRelay(packets));
    full.push_back(runDaemon(packets));
  }
  const auto figure = [&](const char *name, double Result::*member,
                          const char *unit) {
    bench::printFigure(name, median(plain, member), median(full, member), unit,
                       std::nullopt);
  };
  const auto count = [&](const char *name, std::uint64_t Result::*member) {
    return bench::printFigure(name, total(plain, member), total(full, member),
                              "packets", 0);
  };
  figure("relay.rate", &Result::PacketsPerSecond, "packets/s");
  figure("relay.busy", &Result::Busy, "percent");
  figure("relay.processor", &Result::Nanoseconds, "ns/packet");
  bool holds = count("relay.lost", &Result::Lost);
  holds &= count("relay.misdirected", &Result::Misdirected);
  // Parsing, deciding and rewriting must not take longer than the socket calls,
  // which make up nearly all of the plain relay's work.
  constexpr double RatioBound = 2;
  const double ratio =
      median(full, &Result::Nanoseconds) / median(plain, &Result::Nanoseconds);
  holds &=
      bench::printFigure("relay.processorRatio", 1, ratio, "ratio", RatioBound);
  return holds ? 0 : 1;
}

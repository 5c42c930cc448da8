// Measures the cost of an admission owner: processor time and memory per placed
// flow for several numbers of open flows and backend servers, encoding and
// decoding of hand-over datagrams, and a load poll over loopback. Prints one
// JSON object per line. No value has a bound; docs/CAPACITY.md is computed from
// them.

#include "Bench/Figure.h"
#include "Common/ManualClock.h"
#include "Coordination/Placement/AdmissionController.h"
#include "Protocol/HandOverCodec.h"
#include "Protocol/LoadReportCodec.h"
#include "Transport/HttpClient.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace auburnroute;
using namespace auburnroute::forwarding;
using namespace auburnroute::placement;

namespace {

constexpr common::Endpoint Address{0xC6336401, 7002};
constexpr std::size_t OperationCount = 100'000;
constexpr int PollCount = 2000;

/// Returns the processor time of the calling thread in nanoseconds.
double threadProcessorNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double NanosecondsPerSecond = 1e9;
  return static_cast<double>(time.tv_sec) * NanosecondsPerSecond +
         static_cast<double>(time.tv_nsec);
}

/// Returns the number of heap bytes in use.
double heapBytesInUse() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void print(const std::string &name, double value, const char *unit) {
  bench::printFigure(name, std::nullopt, value, unit, std::nullopt);
}

/// Drives an AdmissionController with one service. Its backend servers have
/// enough slots for all flows, so that each SYN is placed immediately.
class AdmissionWorkload {
public:
  AdmissionWorkload(std::size_t flows, std::uint16_t servers) {
    state::Settings settings;
    settings.Zones = {"sando"};
    auto &service = settings.Services.emplace_back();
    service.Name = "counter";
    service.Listeners = {{Address, state::ListenerKind::Request, 9002}};
    service.PolicyByZone.resize(1);
    for (std::uint16_t n = 1; n <= servers; ++n) {
      auto &it = service.BackendServers.emplace_back();
      it.Name = "counter-" + std::to_string(n);
      it.Number = n;
      it.Zone = "sando";
      it.Address = 0xC0000200 + n;
      it.Slots = static_cast<std::uint32_t>(2 * flows / servers + 2);
      it.Connections = it.Slots;
    }
    auto shared = std::make_shared<state::Settings>(settings);
    auto table = std::make_shared<state::ServiceTable>(*shared, "sando");
    Controller.onSettings(Clock.now(), shared, table);
    OpenFlows.reserve(flows);
  }

  /// Places the flow of a new caller; aborts if it is held or refused.
  void placeFlow() {
    ++CallerCount;
    constexpr std::uint32_t Ports = 60000;
    const FlowKey key{{0xCB007100 + CallerCount / Ports,
                       static_cast<std::uint16_t>(1024 + CallerCount % Ports)},
                      Address};
    if (!std::holds_alternative<Place>(Controller.onSyn(Clock.now(), key)))
      std::abort(); // Held and refused flows must not be measured as placed.
    OpenFlows.push_back(key);
  }

  /// Finishes a randomly chosen flow and places a new one.
  void replaceFlow() {
    std::swap(OpenFlows[Random() % OpenFlows.size()], OpenFlows.back());
    Controller.onFinish(Clock.now(), OpenFlows.back());
    OpenFlows.pop_back();
    placeFlow();
    Controller.poll(Clock.now());
    // Keeps the mean flow lifetime at 10 s.
    Clock.advance(std::chrono::nanoseconds(10'000'000'000 / OpenFlows.size()));
  }

private:
  common::ManualClock Clock;
  AdmissionController Controller{"sando"};
  std::vector<FlowKey> OpenFlows;
  std::uint32_t CallerCount = 0;
  std::mt19937_64 Random{7321};
};

void measureFlows(std::size_t flows, std::uint16_t servers) {
  AdmissionWorkload workload(flows, servers);
  const auto name = "admission." + std::to_string(flows) + "flows." +
                    std::to_string(servers) + "servers";
  const auto heap = heapBytesInUse();
  for (std::size_t i = 0; i < flows; ++i)
    workload.placeFlow();
  print(name + ".memory",
        (heapBytesInUse() - heap) / static_cast<double>(flows), "bytes/flow");
  const auto begin = threadProcessorNanoseconds();
  for (std::size_t i = 0; i < OperationCount; ++i)
    workload.replaceFlow();
  print(name + ".time", (threadProcessorNanoseconds() - begin) / OperationCount,
        "ns/flow");
}

void measureHandOver() {
  const protocol::HandOverCodec codec("change-me-please-16");
  constexpr std::size_t SynBytes = 60;
  std::vector<std::byte> datagram(SynBytes);
  const auto begin = threadProcessorNanoseconds();
  for (std::size_t i = 0; i < OperationCount; ++i) {
    const auto header =
        codec.encode(protocol::HandOverKind::Syn,
                     std::span<const std::byte>(datagram).first(SynBytes));
    std::vector<std::byte> received(header.begin(), header.end());
    received.insert(received.end(), datagram.begin(), datagram.end());
    protocol::HandOverView view;
    if (codec.decode(received, view) != state::Cause::None)
      std::abort();
  }
  print("handOver.time",
        (threadProcessorNanoseconds() - begin) / OperationCount,
        "ns/datagram, both ends");
}

/// Answers GET /load on one connection. Counts HTTP bytes, without the TCP and
/// IP headers.
class LoadServer {
public:
  LoadServer() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (bind(Listener, generic, size) != 0 || listen(Listener, 1) != 0 ||
        getsockname(Listener, generic, &size) != 0)
      std::abort();
    Port = ntohs(address.sin_port);
    Thread = std::thread([this] { serve(); });
  }
  ~LoadServer() {
    Thread.join();
    close(Listener);
  }
  LoadServer(const LoadServer &) = delete;
  LoadServer &operator=(const LoadServer &) = delete;

  common::Endpoint endpoint() const { return {INADDR_LOOPBACK, Port}; }
  double received() const { return static_cast<double>(Received.load()); }
  double sent() const { return static_cast<double>(Sent.load()); }

private:
  void serve() {
    const int connection = accept(Listener, nullptr, nullptr);
    const std::string body =
        R"({"service":"counter","state":"active","slots":2,"busy":1,)"
        R"("queued":0,"connections":17})";
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    std::array<char, 4096> buf{};
    // A request is short enough to arrive in a single recv().
    for (ssize_t n = 0;
         (n = recv(connection, buf.data(), buf.size(), 0)) > 0;) {
      Received += static_cast<std::size_t>(n);
      Sent += static_cast<std::size_t>(
          send(connection, response.data(), response.size(), MSG_NOSIGNAL));
    }
    close(connection);
  }

  int Listener = socket(AF_INET, SOCK_STREAM, 0);
  std::uint16_t Port = 0;
  std::atomic<std::size_t> Received{0};
  std::atomic<std::size_t> Sent{0};
  std::thread Thread;
};

void measureLoadPoll() {
  LoadServer server;
  const auto heap = heapBytesInUse();
  transport::HttpClient client(server.endpoint(), std::chrono::seconds(1));
  const auto begin = threadProcessorNanoseconds();
  const auto wallBegin = std::chrono::steady_clock::now();
  for (int i = 0; i < PollCount; ++i) {
    const auto response = client.get("/load");
    if (!response.ok() || !protocol::decodeLoadReport(response->Body).ok())
      std::abort();
  }
  const std::chrono::duration<double, std::micro> wall =
      std::chrono::steady_clock::now() - wallBegin;
  constexpr double NanosecondsPerMicrosecond = 1000;
  print("loadPoll.time",
        (threadProcessorNanoseconds() - begin) / PollCount /
            NanosecondsPerMicrosecond,
        "us/poll");
  print("loadPoll.wall", wall.count() / PollCount, "us/poll");
  print("loadPoll.request", server.received() / PollCount, "bytes/poll");
  print("loadPoll.response", server.sent() / PollCount, "bytes/poll");
  print("loadPoll.memory", heapBytesInUse() - heap, "bytes/server");
}

} // namespace

int main() {
  constexpr std::uint16_t Servers = 15;
  for (const std::size_t flows : {1000, 10'000, 100'000})
    measureFlows(flows, Servers);
  for (const std::uint16_t servers : {150, 1500})
    measureFlows(10'000, servers);
  measureHandOver();
  measureLoadPoll();
  return 0;
}

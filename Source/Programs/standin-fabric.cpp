#include "Common/Clock.h"
#include "StandIns/DatagramSocket.h"
#include "StandIns/FabricRouter.h"
#include "StandIns/HostWatcher.h"
#include "StandIns/HttpService.h"
#include "StandIns/StopSignal.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <nlohmann/json.hpp>
#include <poll.h>

#include <array>
#include <chrono>
#include <deque>
#include <iostream>
#include <optional>

ABSL_FLAG(std::string, listen, "127.0.0.1:20000", "UDP endpoint for packets");
ABSL_FLAG(std::string, platform, "127.0.0.1:19000",
          "HTTP endpoint of the platform");
ABSL_FLAG(std::string, operator, "", "HTTP endpoint that serves GET /counts");
ABSL_FLAG(std::vector<std::string>, zone, {},
          "availability zones served, comma-separated; all if empty");
ABSL_FLAG(std::vector<std::string>, neighbours, {},
          "UDP endpoints of the fabrics of other zones, comma-separated");
ABSL_FLAG(std::uint64_t, seed, 1, "random seed for the choice of hosts");
ABSL_FLAG(std::uint32_t, delay_ms, 0, "one-way latency in milliseconds");

using namespace auburnroute;

namespace {

constexpr std::size_t OperatorWorkers = 2;
constexpr int IdleWaitMs = 50;
// Datagrams received before delayed packets that are due are sent.
constexpr int BatchSize = 256;

/// A packet in flight. All have the same latency, so they are due in the order
/// of their arrival.
struct DelayedPacket {
  common::TimePoint Due;
  common::Endpoint To;
  std::vector<std::byte> Bytes;
};

class Fabric {
public:
  Fabric(standins::DatagramSocket socket, standins::FabricRouter router,
         std::chrono::milliseconds delay)
      : Socket(std::move(socket)), Router(std::move(router)), Delay(delay) {}

  void run() {
    while (!standins::StopSignal::hasArrived()) {
      pollfd entry{Socket.descriptor(), POLLIN, 0};
      poll(&entry, 1, InFlight.empty() ? IdleWaitMs : 1);
      receiveBatch();
      deliverDue();
    }
  }

  nlohmann::json counts(const standins::HostPool &pool) {
    const std::lock_guard lock(Mutex);
    const auto &counts = Router.counts();
    return {{"packets_to_hosts", counts.ToHosts},
            {"packets_to_clients", counts.ToClients},
            {"packets_to_neighbours", counts.ToNeighbours},
            {"no_ready_host", counts.NoReadyHost},
            {"unknown_client", counts.UnknownClient},
            {"malformed", counts.Malformed},
            {"ready_hosts", pool.readyHosts()}};
  }

private:
  void receiveBatch() {
    std::array<std::byte, standins::DatagramSocket::MaxDatagramBytes> buf;
    const std::lock_guard lock(Mutex);
    for (int i = 0; i < BatchSize; ++i) {
      const auto datagram = Socket.receive(buf);
      if (!datagram)
        return;
      for (const auto &to : Router.route(datagram->From, datagram->Bytes))
        deliver(to, datagram->Bytes);
    }
  }

  void deliver(const common::Endpoint &to, std::span<const std::byte> bytes) {
    if (Delay.count() == 0)
      Socket.send(to, bytes);
    else
      InFlight.push_back({std::chrono::steady_clock::now() + Delay, to,
                          std::vector(bytes.begin(), bytes.end())});
  }

  void deliverDue() {
    const auto now = std::chrono::steady_clock::now();
    while (!InFlight.empty() && InFlight.front().Due <= now) {
      Socket.send(InFlight.front().To, InFlight.front().Bytes);
      InFlight.pop_front();
    }
  }

  standins::DatagramSocket Socket;
  std::mutex Mutex;
  standins::FabricRouter Router;
  std::chrono::milliseconds Delay;
  std::deque<DelayedPacket> InFlight;
};

absl::StatusOr<std::set<common::Endpoint>>
parseEndpoints(const std::vector<std::string> &texts) {
  std::set<common::Endpoint> endpoints;
  for (const auto &text : texts) {
    const auto endpoint = common::parseEndpoint(text);
    if (!endpoint.ok())
      return endpoint.status();
    endpoints.insert(*endpoint);
  }
  return endpoints;
}

absl::Status startOperator(standins::HttpService &service, Fabric &fabric,
                           const standins::HostPool &pool) {
  const auto text = absl::GetFlag(FLAGS_operator);
  if (text.empty())
    return absl::OkStatus();
  const auto endpoint = common::parseEndpoint(text);
  if (!endpoint.ok())
    return endpoint.status();
  service.server().Get("/counts", [&](const auto &, auto &response) {
    response.set_content(fabric.counts(pool).dump(), "application/json");
  });
  return service.start(*endpoint);
}

absl::Status serve() {
  const auto listen = common::parseEndpoint(absl::GetFlag(FLAGS_listen));
  const auto platform = common::parseEndpoint(absl::GetFlag(FLAGS_platform));
  auto neighbours = parseEndpoints(absl::GetFlag(FLAGS_neighbours));
  for (const auto &status :
       {listen.status(), platform.status(), neighbours.status()})
    if (!status.ok())
      return status;
  auto socket = standins::DatagramSocket::bind(*listen);
  if (!socket.ok())
    return socket.status();
  const auto zones = absl::GetFlag(FLAGS_zone);
  standins::HostPool pool({zones.begin(), zones.end()});
  Fabric fabric(*std::move(socket),
                standins::FabricRouter(pool, *std::move(neighbours),
                                       absl::GetFlag(FLAGS_seed)),
                std::chrono::milliseconds(absl::GetFlag(FLAGS_delay_ms)));
  standins::HttpService service(OperatorWorkers);
  if (auto status = startOperator(service, fabric, pool); !status.ok())
    return status;
  const standins::HostWatcher watcher(pool, *platform);
  fabric.run();
  std::cout << fabric.counts(pool).dump() << std::endl;
  return absl::OkStatus();
}

} // namespace

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage(
      "Stand-in for the network fabric: distributes packets of clients and "
      "backend servers over the ready hosts. For tests only.");
  absl::ParseCommandLine(argc, argv);
  standins::StopSignal::install();
  if (auto status = serve(); !status.ok()) {
    std::cerr << "standin-fabric: " << status.message() << "\n";
    return 1;
  }
  return 0;
}

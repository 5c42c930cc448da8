#include "Common/Files.h"
#include "StandIns/CallerReport.h"
#include "StandIns/DatagramSocket.h"
#include "StandIns/StopSignal.h"
#include "State/SettingsLoader.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <poll.h>

#include <array>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "settings document");
ABSL_FLAG(std::string, fabric, "127.0.0.1:20000", "UDP endpoint of the fabric");
ABSL_FLAG(std::uint64_t, seed, 1,
          "random seed for arrivals, work and sequence numbers");
ABSL_FLAG(double, seconds, 10, "seconds during which requests are sent");
ABSL_FLAG(double, requests_per_second, 100,
          "mean rate of all callers together");
ABSL_FLAG(std::uint32_t, feeds, 20, "feeds that stay open for the whole run");
ABSL_FLAG(std::uint32_t, callers, 8, "callers, one address each");
ABSL_FLAG(std::uint32_t, first_caller, 1,
          "last byte of the first caller's address, 203.0.113.x");
ABSL_FLAG(std::uint32_t, ports, 500,
          "ports per caller; with fewer ports each is reused sooner");
ABSL_FLAG(double, straggler_share, 0.02, "share of requests with long work");
ABSL_FLAG(std::string, ids, "", "file to write request ids to, by outcome");

using namespace auburnroute;

namespace {

constexpr int TickMs = 2;
constexpr int BatchSize = 256; // Datagrams per loop iteration.
constexpr std::uint32_t ClientNetwork = 0xCB007100; // 203.0.113.0/24.
constexpr std::uint32_t MaxLastByte = 254;
// Longer than the response timeout, so that every request ends with an outcome.
constexpr std::chrono::seconds SettleTimeout{12};
// Time to exchange the FINs of the feeds.
constexpr std::chrono::milliseconds CloseTimeout{300};

/// Event loop between the callers and the fabric's socket.
class CallerLoop {
public:
  CallerLoop(standins::CallerStandIn &callers, standins::DatagramSocket &socket,
             common::Endpoint fabric)
      : Callers(callers), Socket(socket), Fabric(fabric) {}

  /// Runs until \p end or until \p isDone returns true.
  template <typename Predicate>
  void runUntil(common::TimePoint end, Predicate isDone) {
    while (!isDone()) {
      pollfd entry{Socket.descriptor(), POLLIN, 0};
      poll(&entry, 1, TickMs);
      const auto now = std::chrono::steady_clock::now();
      receiveBatch(now);
      Callers.onTimer(now);
      for (const auto &packet : Callers.takePackets())
        Socket.send(Fabric, packet);
      if (now >= end)
        return;
    }
  }

private:
  void receiveBatch(common::TimePoint now) {
    std::array<std::byte, standins::DatagramSocket::MaxDatagramBytes> buf;
    for (int i = 0; i < BatchSize; ++i) {
      const auto datagram = Socket.receive(buf);
      if (!datagram)
        return;
      Callers.onDatagram(now, datagram->Bytes);
    }
  }

  standins::CallerStandIn &Callers;
  standins::DatagramSocket &Socket;
  common::Endpoint Fabric;
};

absl::StatusOr<standins::CallerOptions> optionsFromFlags() {
  const auto first = absl::GetFlag(FLAGS_first_caller);
  const auto callers = absl::GetFlag(FLAGS_callers);
  const auto ports = absl::GetFlag(FLAGS_ports);
  if (first == 0 || callers == 0 || first > MaxLastByte ||
      callers > MaxLastByte || first + callers - 1 > MaxLastByte)
    return absl::InvalidArgumentError(
        "the callers' addresses must be within 203.0.113.1 to 203.0.113.254");
  if (ports == 0 || ports > 40000)
    return absl::InvalidArgumentError("--ports must be 1 to 40000");
  standins::CallerOptions options;
  options.Seed = absl::GetFlag(FLAGS_seed);
  options.FirstAddress = ClientNetwork + first;
  options.CallerCount = callers;
  options.PortsPerCaller = static_cast<std::uint16_t>(ports);
  options.RequestsPerSecond = absl::GetFlag(FLAGS_requests_per_second);
  options.FeedCount = absl::GetFlag(FLAGS_feeds);
  options.StragglerShare = absl::GetFlag(FLAGS_straggler_share);
  options.IdPrefix = "c" + std::to_string(first);
  return options;
}

void runCallers(standins::CallerStandIn &callers,
                standins::DatagramSocket &socket, common::Endpoint fabric) {
  using Seconds = std::chrono::duration<double>;
  const auto isStopped = [] { return standins::StopSignal::hasArrived(); };
  const auto start = std::chrono::steady_clock::now();
  const auto length = std::chrono::duration_cast<common::TimePoint::duration>(
      Seconds(absl::GetFlag(FLAGS_seconds)));
  CallerLoop loop(callers, socket, fabric);
  callers.start(start);
  loop.runUntil(start + length, isStopped);
  callers.stopSending();
  // Also after a stop signal, so that requests in progress get an outcome.
  loop.runUntil(std::chrono::steady_clock::now() + SettleTimeout,
                [&] { return callers.pendingRequests() == 0; });
  const auto end = std::chrono::steady_clock::now();
  callers.finish(end);
  loop.runUntil(end + CloseTimeout, [] { return false; });
}

absl::Status run() {
  const auto path = absl::GetFlag(FLAGS_settings);
  const auto text = common::readFile(path);
  if (!text.ok())
    return text.status();
  const auto settings = state::loadSettings(*text, path);
  const auto fabric = common::parseEndpoint(absl::GetFlag(FLAGS_fabric));
  const auto options = optionsFromFlags();
  for (const auto &status :
       {settings.status(), fabric.status(), options.status()})
    if (!status.ok())
      return status;
  auto socket = standins::DatagramSocket::bind({0x7F000001, 0});
  if (!socket.ok())
    return socket.status();
  standins::CallerStandIn callers(*settings, *options);
  const standins::CallerReport report(callers, std::chrono::steady_clock::now(),
                                      std::chrono::system_clock::now());
  runCallers(callers, *socket, *fabric);
  if (const auto ids = absl::GetFlag(FLAGS_ids); !ids.empty()) {
    std::ofstream file(ids);
    file << report.requestIds() << "\n";
    if (!file)
      return absl::UnavailableError("cannot write " + ids);
  }
  std::cout << report.summary() << std::endl;
  return absl::OkStatus();
}

} // namespace

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage(
      "Stand-in for clients: keeps feeds open and sends requests over packets "
      "in UDP datagrams. For tests only.");
  absl::ParseCommandLine(argc, argv);
  standins::StopSignal::install();
  if (auto status = run(); !status.ok()) {
    std::cerr << "standin-caller: " << status.message() << "\n";
    return 1;
  }
  return 0;
}

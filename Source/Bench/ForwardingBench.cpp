// Measures the packet path of one traffic thread: parsing, the forwarding
// decision and rewriting. Prints one JSON object per line; the exit status is 1
// if a bound is missed. The baseline is the same path with a table of all flows
// instead of flow tags.

#include "Bench/Figure.h"
#include "Bench/PacketPathCounters.h"
#include "Coordination/Forwarding/FlowTag.h"
#include "Coordination/Forwarding/ForwardingEngine.h"
#include "Protocol/PacketBuilder.h"
#include "Protocol/PacketRewriter.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace auburnroute;
using namespace auburnroute::forwarding;

namespace {

constexpr common::Endpoint ServiceAddress{0xC6336401, 7001};
constexpr std::uint32_t ServerAddress = 0xC0000200;
constexpr std::uint16_t BackendPort = 9001;
constexpr std::uint16_t ServerCount = 15;
constexpr std::uint64_t Seed = 7321;
constexpr std::size_t PacketsPerBatch = 256;
constexpr std::size_t BatchCount = 4000;

using Clock = std::chrono::steady_clock;

/// A flow whose caller echoes a timestamp with a flow tag.
struct EstablishedFlow {
  FlowKey Key;
  std::uint32_t Echo = 0;
  std::uint16_t Number = 0;
};

struct Result {
  double Nanoseconds = 0; ///< Per packet, median over all batches.
  double FullTableNanoseconds = 0;
  std::uint64_t Allocations = 0;
  std::uint64_t AllocatedBytes = 0;
  std::uint64_t Locks = 0;
  std::uint64_t Forwarded = 0;
};

std::shared_ptr<const state::ServiceTable> makeServiceTable() {
  state::Settings settings;
  settings.FlowSeed = Seed;
  settings.Zones = {"sando"};
  state::Service service;
  service.Listeners = {
      {ServiceAddress, state::ListenerKind::Feed, BackendPort}};
  for (std::uint16_t n = 1; n <= ServerCount; ++n) {
    state::BackendServer server;
    server.Number = n;
    server.Address = ServerAddress + n;
    service.BackendServers.push_back(server);
  }
  service.PolicyByZone.resize(1);
  settings.Services.push_back(service);
  return std::make_shared<const state::ServiceTable>(settings, "sando");
}

std::vector<EstablishedFlow> makeFlows(std::size_t count) {
  std::vector<EstablishedFlow> flows(count);
  constexpr std::uint32_t Ports = 60000;
  for (std::uint32_t i = 0; i < count; ++i) {
    auto &it = flows[i];
    it.Key = {
        {0xCB007100 + i / Ports, static_cast<std::uint16_t>(1024 + i % Ports)},
        ServiceAddress};
    it.Number = static_cast<std::uint16_t>(1 + i % ServerCount);
    it.Echo = FlowTag::tagValue(5'000'000 + i,
                                FlowTag::encode(it.Key, it.Number, Seed));
  }
  return flows;
}

class Measurement {
public:
  explicit Measurement(std::size_t count) : Flows(makeFlows(count)) {
    Engine.setTable(makeServiceTable());
    Servers = Engine.table()->backendServersOf(0);
    for (std::uint16_t n = 1; n <= ServerCount; ++n)
      observeReply(n);
    for (const auto &it : Flows)
      FullTable[it.Key] = it.Number;
    Packets.resize(PacketsPerBatch);
  }

  Result run() {
    Result result;
    std::vector<double> times;
    std::vector<double> tableTimes;
    times.reserve(BatchCount); // Reallocation would be counted.
    tableTimes.reserve(BatchCount);
    for (std::size_t i = 0; i < BatchCount; ++i) {
      refillPackets();
      const auto before = bench::Counters;
      const auto begin = Clock::now();
      for (auto &it : Packets)
        result.Forwarded += forward(it) ? 1 : 0;
      times.push_back(nanosecondsPerPacketSince(begin));
      const auto &after = bench::Counters;
      result.Allocations += after.Allocations - before.Allocations;
      result.AllocatedBytes += after.AllocatedBytes - before.AllocatedBytes;
      result.Locks += after.Locks - before.Locks;
      refillPackets();
      const auto beginTable = Clock::now();
      for (auto &it : Packets)
        forwardByTable(it);
      tableTimes.push_back(nanosecondsPerPacketSince(beginTable));
    }
    result.Nanoseconds = median(times);
    result.FullTableNanoseconds = median(tableTimes);
    return result;
  }

private:
  static double nanosecondsPerPacketSince(Clock::time_point begin) {
    const std::chrono::duration<double, std::nano> took = Clock::now() - begin;
    return took.count() / static_cast<double>(PacketsPerBatch);
  }
  static double median(std::vector<double> &values) {
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
  }

  /// Lets the engine learn the timestamp clock of backend server \p number.
  void observeReply(std::uint16_t number) {
    PacketSummary reply;
    reply.Source = {ServerAddress + number, BackendPort};
    reply.Destination = {0xCB007101, 40000};
    reply.Ack = reply.HasTimestamps = true;
    reply.TimestampValue = 6'000'000;
    Engine.onBackendServerPacket(reply);
  }

  /// Fills the batch with packets of randomly chosen flows, as the socket would
  /// deliver them.
  void refillPackets() {
    for (auto &it : Packets) {
      const auto &flow = Flows[Random() % Flows.size()];
      it = protocol::buildPacket({flow.Key.Caller, flow.Key.Service,
                                  protocol::PacketView::AckFlag, 1, 2,
                                  protocol::Timestamps{7, flow.Echo}, Payload});
    }
  }

  bool forward(std::vector<std::byte> &buf) {
    protocol::PacketView view;
    if (view.parse(buf) != state::Cause::None)
      return false;
    const auto outcome =
        Engine.onCallerPacket(protocol::PacketRewriter::summarise(view));
    const auto *to = std::get_if<ForwardToBackendServer>(&outcome);
    return to != nullptr &&
           protocol::PacketRewriter::apply(*to, view) == state::Cause::None;
  }

  void forwardByTable(std::vector<std::byte> &buf) {
    protocol::PacketView view;
    if (view.parse(buf) != state::Cause::None)
      return;
    const auto it = FullTable.find(FlowKey{view.source(), view.destination()});
    if (it == FullTable.end())
      return;
    const auto &server = Servers[it->second - 1U];
    ForwardToBackendServer to;
    to.Destination = {server.Address, BackendPort};
    to.TimestampEcho = view.timestampEcho();
    protocol::PacketRewriter::apply(to, view);
  }

  std::vector<EstablishedFlow> Flows;
  ForwardingEngine Engine;
  std::span<const state::BackendServerEntry> Servers;
  absl::flat_hash_map<FlowKey, std::uint16_t> FullTable;
  std::vector<std::vector<std::byte>> Packets;
  std::vector<std::byte> Payload = std::vector<std::byte>(200);
  std::mt19937_64 Random{42};
};

} // namespace

int main() {
  bool holds = true;
  std::vector<Result> results;
  for (const std::size_t flows : {10'000, 100'000, 1'000'000}) {
    const auto result = Measurement(flows).run();
    const auto prefix = "forward." + std::to_string(flows);
    holds &= bench::printFigure(prefix + ".time", result.FullTableNanoseconds,
                                result.Nanoseconds, "ns/packet", std::nullopt);
    holds &= bench::printFigure(prefix + ".allocations", std::nullopt,
                                static_cast<double>(result.Allocations),
                                "allocations", 0);
    holds &= bench::printFigure(prefix + ".locks", std::nullopt,
                                static_cast<double>(result.Locks), "locks", 0);
    holds &= bench::printFigure(
        prefix + ".lost", std::nullopt,
        static_cast<double>(PacketsPerBatch * BatchCount - result.Forwarded),
        "packets", 0);
    constexpr double FlowBytesBound = 100;
    holds &= bench::printFigure(prefix + ".bytesPerFlow", std::nullopt,
                                static_cast<double>(result.AllocatedBytes) /
                                    static_cast<double>(flows),
                                "bytes", FlowBytesBound);
    results.push_back(result);
  }
  constexpr double GrowthBound = 2;
  holds &= bench::printFigure("forward.growth",
                              results.back().FullTableNanoseconds /
                                  results.front().FullTableNanoseconds,
                              results.back().Nanoseconds /
                                  results.front().Nanoseconds,
                              "ratio", GrowthBound);
  return holds ? 0 : 1;
}

// Measures the control plane's cost per host and its latency for zones of
// different sizes. Prints one JSON object per line; the exit status is 1 if a
// bound is missed. All times except processor time are virtual. Arguments: zone
// sizes in hosts, "3 8 32 100 722" by default.

#include "Bench/Figure.h"
#include "Bench/ZoneSimulation.h"
#include "Protocol/PeerCodec.h"
#include "State/SettingsLoader.h"
#include "Transport/PeerLink.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <iostream>
#include <optional>

#include <malloc.h>

using namespace auburnroute;
using namespace std::chrono_literals;

namespace {

constexpr double MaxBytesPerSecond = 5000;
constexpr double MaxCorePercent = 4.8;
constexpr double MaxMegabytes = 256;
constexpr double MaxInForceSeconds = 9;
constexpr double MaxSuspectSeconds = 2;
constexpr double MaxDeadSeconds = 4;

constexpr double ChangesPerSecond = 0.3; ///< About 26,000 per day.
constexpr int RevisionCount = 20;
/// As in the first deployments.
constexpr std::size_t ServersPerService = 15;
constexpr std::size_t ZoneServices = 10;
/// Yields a settings document of almost 1 MB, the size that the capacity plan
/// assumes.
constexpr std::size_t LargeDocumentServices = 290;
constexpr std::uint64_t Seed = 7;

/// Returns the size of a ZeroMQ frame including its header: 2 bytes for frames
/// of up to 255 bytes, otherwise 9.
std::size_t bytesOnWire(std::size_t frame) {
  return frame + (frame <= 255 ? 2 : 9);
}

double processorSeconds() {
  timespec at{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) +
         static_cast<double>(at.tv_nsec) * 1e-9;
}

double allocatedMegabytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

template <class Duration> double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool AllBoundsHold = true;

void report(const std::string &name, std::optional<double> baseline,
            double value, const char *unit, std::optional<double> bound) {
  AllBoundsHold &= bench::printFigure(name, baseline, value, unit, bound);
}

/// Counts the bytes and frames that the hosts of a zone send. It encodes and
/// decodes each message so that the measured processor time includes the
/// codec.
class TrafficMeter {
public:
  explicit TrafficMeter(bench::ZoneSimulation &zone)
      : Bytes(zone.Nodes.size()) {
    zone.OnSend = [this](std::size_t from, const auto &message) {
      count(from, message);
    };
  }

  void reset() {
    std::fill(Bytes.begin(), Bytes.end(), 0);
    Heartbeats = HeartbeatBytes = Frames = 0;
  }

  std::vector<std::uint64_t> Bytes; ///< By sender.
  std::uint64_t Frames = 0;
  std::uint64_t Heartbeats = 0;
  std::uint64_t HeartbeatBytes = 0;

private:
  void count(std::size_t from, const messages::PeerMessage &message) {
    const auto frame = Codec.encode(message).value();
    // The codec refuses copies of one sequence number to several receivers as
    // replays, but only after all other checks; decoding them costs as much as
    // decoding an accepted frame.
    Codec.decode(frame);
    const auto n = bytesOnWire(frame.size());
    Bytes[from] += n;
    ++Frames;
    if (std::holds_alternative<messages::Heartbeat>(message.Body)) {
      ++Heartbeats;
      HeartbeatBytes += n;
    }
  }

  protocol::PeerCodec Codec{"bench-key"};
};

std::string makeDocument(std::uint64_t revision, std::size_t services) {
  return bench::sampleDocument(revision, services, ServersPerService, revision);
}

/// Measures the processor time in seconds that ZeroMQ takes to send and receive
/// a frame of the size of a heartbeat over loopback, both ends together.
/// Returns 0 if a port can't be bound or fewer than a quarter of the frames
/// arrive.
double measureLinkSecondsPerFrame() {
  constexpr int Frames = 20000;
  constexpr int Burst = 8;
  auto from = transport::PeerLink::bind({0x7F000001, 29401});
  auto to = transport::PeerLink::bind({0x7F000001, 29402});
  if (!from.ok() || !to.ok())
    return 0;
  const std::string frame(90, 'x');
  std::uint64_t received = 0;
  // Polls after each burst, since the sender's queue needs time to drain.
  const auto burst = [&](int frames) {
    for (int i = 0; i < frames; ++i)
      from->send({0x7F000001, 29402}, frame);
    to->poll(1ms, [&](std::string_view) { ++received; });
  };
  for (int i = 0; i < 100; ++i)
    burst(1);
  received = 0;
  const auto begin = processorSeconds();
  for (int sent = 0; sent < Frames; sent += Burst)
    burst(Burst);
  return received < Frames / 4
             ? 0
             : (processorSeconds() - begin) / static_cast<double>(received);
}

/// Starts all hosts of a zone at the same time and runs it until each host sees
/// all others as live. \p coldStart receives the time that this took, in
/// seconds.
bench::ZoneSimulation startConvergedZone(std::size_t hosts, std::uint64_t seed,
                                         double *coldStart = nullptr) {
  bench::ZoneSimulation zone(hosts, seed);
  for (std::size_t i = 0; i < ZoneServices; ++i)
    zone.Services.push_back("service-" + std::to_string(i));
  zone.startAll();
  zone.publish(0, makeDocument(1, ZoneServices));
  const auto took = zone.runUntil([&] { return zone.allHostsLive(); }, 120s);
  if (coldStart != nullptr)
    *coldStart = seconds(took);
  zone.run(5s);
  return zone;
}

std::size_t findSettingsReader(const bench::ZoneSimulation &zone) {
  const auto &name = zone.Nodes[0].Members->settingsReaders().front();
  for (std::size_t i = 0; i < zone.Nodes.size(); ++i)
    if (zone.Nodes[i].Name == name)
      return i;
  return 0;
}

/// Publishes RevisionCount revisions at ChangesPerSecond. Returns the longest
/// time until a revision was in force on all hosts, in seconds.
double publishRevisions(bench::ZoneSimulation &zone) {
  double longest = 0;
  for (int i = 0; i < RevisionCount; ++i) {
    const auto reader = findSettingsReader(zone);
    zone.publish(reader,
                 makeDocument(static_cast<std::uint64_t>(i) + 2, ZoneServices));
    const auto stamp = zone.Nodes[reader].Follower->stamp();
    const auto took =
        zone.runUntil([&] { return zone.allHaveSettings(stamp); }, 30s);
    longest = std::max(longest, seconds(took));
    const auto rest =
        std::chrono::duration<double>(1 / ChangesPerSecond) - took;
    if (rest > 0s)
      zone.run(std::chrono::duration_cast<std::chrono::nanoseconds>(rest));
  }
  return longest;
}

void measureZone(std::size_t hosts, double linkSeconds) {
  const auto suffix = "_" + std::to_string(hosts) + "_hosts";
  const auto before = allocatedMegabytes();
  double coldStart = 0;
  auto zone = startConvergedZone(hosts, Seed, &coldStart);
  TrafficMeter meter(zone);
  const auto began = zone.Now;
  const auto processor = processorSeconds();
  const auto inForce = publishRevisions(zone);
  const auto used = processorSeconds() - processor;
  const auto length = seconds(zone.Now - began);
  const auto perHost = length * static_cast<double>(hosts);
  double total = 0;
  for (const auto it : meter.Bytes)
    total += static_cast<double>(it);
  const auto most = static_cast<double>(
      *std::max_element(meter.Bytes.begin(), meter.Bytes.end()));
  // Baseline: each host sends two heartbeats per second to all others.
  const auto fullMesh = 2 * static_cast<double>(hosts - 1) *
                        static_cast<double>(meter.HeartbeatBytes) /
                        static_cast<double>(meter.Heartbeats);
  report("control_bytes_mean" + suffix, fullMesh, total / perHost,
         "bytes sent per second and host", MaxBytesPerSecond);
  report("control_bytes_most" + suffix, fullMesh, most / length,
         "bytes sent per second by the busiest host", MaxBytesPerSecond);
  report("heartbeat_bytes" + suffix, {},
         static_cast<double>(meter.HeartbeatBytes) /
             static_cast<double>(meter.Heartbeats),
         "bytes per heartbeat", {});
  const auto link = static_cast<double>(meter.Frames) * linkSeconds;
  report("processor" + suffix, {}, (used + link) / perHost * 100,
         "percent of a core per host", MaxCorePercent);
  report("memory" + suffix, {},
         (allocatedMegabytes() - before) / static_cast<double>(hosts),
         "MB per host", MaxMegabytes);
  report("cold_start" + suffix, {}, coldStart, "s until all are live for all",
         {});
  report("in_force" + suffix, {}, inForce, "s, longest of 20 revisions",
         MaxInForceSeconds);
}

/// Measures a settings follower that applies deltas to a document of almost
/// 1 MB.
void measureLargeDocument() {
  const auto before = allocatedMegabytes();
  distribution::SettingsFollower source;
  distribution::SettingsFollower follower;
  const auto text = makeDocument(1, LargeDocumentServices);
  source.onPlatformDocument(text);
  follower.onPlatformDocument(text);
  const common::TimePoint now{1h};
  double taking = 0;
  double serving = 0;
  double deltaBytes = 0;
  for (std::uint64_t revision = 2; revision < 2 + RevisionCount; ++revision) {
    source.onPlatformDocument(makeDocument(revision, LargeDocumentServices));
    const auto want = follower.onPeerSettings(now, "peer", source.stamp());
    const auto start = processorSeconds();
    const auto reply = source.onSettingsRequest(want->Request);
    const auto served = processorSeconds();
    follower.onSettingsReply(now, "peer", *reply);
    taking += processorSeconds() - served;
    serving += served - start;
    deltaBytes += static_cast<double>(reply->Text.size());
  }
  const bool same = follower.stamp() == source.stamp();
  const auto check = processorSeconds();
  const bool valid = state::loadSettings(text, "settings").ok();
  const auto checked = processorSeconds() - check;
  report("plan_document_bytes", {}, static_cast<double>(text.size()), "bytes",
         1e6);
  report("plan_delta_bytes", static_cast<double>(text.size()),
         deltaBytes / RevisionCount, "bytes per change", {});
  report("plan_changes_missed", {}, same && valid ? 0 : 1, "followers behind",
         0);
  report("plan_settings_processor", {},
         (taking + serving) / RevisionCount * ChangesPerSecond * 100,
         "percent of a core per host", MaxCorePercent);
  report("plan_check_time", {}, checked, "s of processor for one document", {});
  report("plan_taking_time", {}, taking / RevisionCount,
         "s of processor per change, check included", MaxInForceSeconds);
  report("plan_serving_time", {}, serving / RevisionCount,
         "s of processor per change, whatever the number of peers",
         MaxInForceSeconds);
  report("plan_settings_memory", {}, (allocatedMegabytes() - before) / 2,
         "MB per host", MaxMegabytes);
}

void measureDetection(double loss) {
  constexpr std::size_t Hosts = 32;
  const auto suffix =
      "_loss_" + std::to_string(static_cast<int>(loss * 100)) + "_percent";
  double suspect = 0;
  double dead = 0;
  double suspicions = 0;
  double deaths = 0;
  constexpr int Runs = 10;
  for (int run = 0; run < Runs; ++run) {
    auto zone =
        startConvergedZone(Hosts, Seed + static_cast<std::uint64_t>(run));
    zone.Network.LossShare = loss;
    for (auto &it : zone.Nodes)
      it.Transitions.clear();
    zone.run(60s + std::chrono::milliseconds(53 * run));
    for (const auto &node : zone.Nodes) {
      suspicions += static_cast<double>(node.Members->counters().Suspicions);
      for (const auto &it : node.Transitions)
        deaths += it.To == state::HostState::Dead ? 1 : 0;
    }
    zone.kill(3);
    const auto &name = zone.Nodes[3].Name;
    const auto all = [&](auto accepts) {
      return [&zone, &name, accepts] {
        return std::all_of(
            zone.Nodes.begin(), zone.Nodes.end(), [&](const auto &node) {
              return !node.Running ||
                     accepts(node.Members->hosts().find(name)->State);
            });
      };
    };
    const auto first =
        zone.runUntil(all([](state::HostState state) {
                        return state == state::HostState::Suspect ||
                               state == state::HostState::Dead;
                      }),
                      10s);
    const auto second = zone.runUntil(all([](state::HostState state) {
                                        return state == state::HostState::Dead;
                                      }),
                                      10s);
    suspect = std::max(suspect, seconds(first));
    dead = std::max(dead, seconds(first + second));
  }
  report("suspect_everywhere" + suffix, {}, suspect, "s, longest of 10 kills",
         MaxSuspectSeconds);
  report("dead_everywhere" + suffix, {}, dead, "s, longest of 10 kills",
         MaxDeadSeconds);
  report("false_suspicions" + suffix, {}, suspicions / Runs,
         "per minute in a zone of 32", {});
  report("false_deaths" + suffix, {}, deaths / Runs,
         "per minute in a zone of 32", 0);
}

} // namespace

int main(int argc, char **argv) {
  std::vector<std::size_t> sizes{3, 8, 32, 100, 722};
  if (argc > 1) {
    sizes.clear();
    for (int i = 1; i < argc; ++i)
      sizes.push_back(
          std::max<std::size_t>(2, std::strtoul(argv[i], nullptr, 10)));
  }
  const auto link = measureLinkSecondsPerFrame();
  report("link_processor", {}, link * 1e6, "us per frame, both ends", {});
  for (const auto hosts : sizes)
    measureZone(hosts, link);
  measureLargeDocument();
  for (const auto loss : {0.0, 0.01, 0.05})
    measureDetection(loss);
  return AllBoundsHold ? 0 : 1;
}

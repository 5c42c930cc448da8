#include "Daemon/PlatformReader.h"

#include "absl/strings/str_cat.h"

#include <thread>

namespace auburnroute::daemon {

namespace {

// A waiting watch counts as one read; a stop waits for it at most this long.
constexpr std::chrono::milliseconds WatchTime{1000};
constexpr std::chrono::milliseconds Timeout = WatchTime * 2;
constexpr std::chrono::milliseconds SteeringInterval{10};
// Spares a platform that fails at once.
constexpr std::chrono::milliseconds RetryInterval{500};

} // namespace

using state::Counter;

PlatformReader::PlatformReader(common::Endpoint platform, std::string path,
                               Receiver receiver,
                               ReachabilityReceiver reachability)
    : Client(platform, Timeout), Path(std::move(path)),
      Deliver(std::move(receiver)), TellReachability(std::move(reachability)) {}

void PlatformReader::run(const std::atomic<bool> &stop) {
  while (!stop) {
    if (Enabled)
      readOnce(stop);
    else
      std::this_thread::sleep_for(RetryInterval);
  }
}

void PlatformReader::readOnce(const std::atomic<bool> &stop) {
  const auto after = After.load(std::memory_order_relaxed);
  Counters.add(Counter::PlatformReads);
  auto response = Client.get(
      absl::StrCat(Path, "?after=", after, "&wait=", WatchTime.count()));
  if (response.ok() && response->Status == common::HttpResponse::Ok) {
    reachable(true, "");
    Deliver(std::move(response->Body));
    awaitSteering(after, stop);
    return;
  }
  if (response.ok() && response->Status == 204) {
    reachable(true, "");
    return;
  }
  Counters.add(Counter::PlatformFailures);
  reachable(false, response.ok()
                       ? absl::StrCat(Path, ": status ", response->Status)
                       : std::string(response.status().message()));
  std::this_thread::sleep_for(RetryInterval);
}

void PlatformReader::awaitSteering(std::uint64_t before,
                                   const std::atomic<bool> &stop) {
  // A document that was refused leaves the version as it was; the platform
  // then offers it again at once.
  for (auto waited = SteeringInterval;
       waited < WatchTime && !stop && After.load() == before;
       waited += SteeringInterval)
    std::this_thread::sleep_for(SteeringInterval);
}

void PlatformReader::reachable(bool now, const std::string &why) {
  if (now == Reachable)
    return;
  Reachable = now;
  TellReachability({now, why});
}

} // namespace auburnroute::daemon

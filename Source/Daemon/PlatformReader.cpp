#include "Daemon/PlatformReader.h"

#include "absl/strings/str_cat.h"

#include <thread>

namespace auburnroute::daemon {

namespace {

// A waiting watch counts as one read; a stop waits for it at most this long.
constexpr std::chrono::milliseconds LongPollTime{1000};
constexpr std::chrono::milliseconds RequestTimeout = LongPollTime * 2;
constexpr std::chrono::milliseconds ConfigurationCheckInterval{10};
// Spares a platform that fails at once.
constexpr std::chrono::milliseconds RetryInterval{500};

} // namespace

using state::Counter;

PlatformReader::PlatformReader(common::Endpoint platform, std::string path,
                               DocumentReceiver receiver,
                               ReachabilityReceiver reachability)
    : Client(platform, RequestTimeout), Path(std::move(path)),
      OnDocument(std::move(receiver)), OnReachability(std::move(reachability)) {
}

void PlatformReader::run(const std::atomic<bool> &stop) {
  while (!stop) {
    if (IsEnabled)
      readOnce(stop);
    else
      std::this_thread::sleep_for(RetryInterval);
  }
}

void PlatformReader::readOnce(const std::atomic<bool> &stop) {
  const auto after = AfterVersion.load(std::memory_order_relaxed);
  Counters.add(Counter::PlatformReads);
  auto response = Client.get(
      absl::StrCat(Path, "?after=", after, "&wait=", LongPollTime.count()));
  if (response.ok() && response->Status == common::HttpResponse::Ok) {
    reportReachability(true, "");
    OnDocument(std::move(response->Body));
    awaitConfiguration(after, stop);
    return;
  }
  if (response.ok() && response->Status == 204) {
    reportReachability(true, "");
    return;
  }
  Counters.add(Counter::PlatformFailures);
  reportReachability(
      false, response.ok() ? absl::StrCat(Path, ": status ", response->Status)
                           : std::string(response.status().message()));
  std::this_thread::sleep_for(RetryInterval);
}

void PlatformReader::awaitConfiguration(std::uint64_t before,
                                        const std::atomic<bool> &stop) {
  // A document that was refused leaves the version as it was; the platform
  // then offers it again at once.
  for (auto waited = ConfigurationCheckInterval;
       waited < LongPollTime && !stop && AfterVersion.load() == before;
       waited += ConfigurationCheckInterval)
    std::this_thread::sleep_for(ConfigurationCheckInterval);
}

void PlatformReader::reportReachability(bool now, const std::string &why) {
  if (now == IsReachable)
    return;
  IsReachable = now;
  OnReachability({now, why});
}

} // namespace auburnroute::daemon

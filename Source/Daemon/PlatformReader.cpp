#include "Daemon/PlatformReader.h"

#include "absl/strings/str_cat.h"

#include <thread>

namespace auburnroute::daemon {

namespace {

// Duration of a long poll, which counts as one read. A stop of the daemon waits
// this long for it at most.
constexpr std::chrono::milliseconds LongPollTime{1000};
constexpr std::chrono::milliseconds RequestTimeout = LongPollTime * 2;
constexpr std::chrono::milliseconds ConfigurationCheckInterval{10};
// Limits the request rate to a platform that fails immediately.
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
  // A refused document leaves the version unchanged, and the platform would
  // return it again immediately. Wait for the control thread to take it.
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

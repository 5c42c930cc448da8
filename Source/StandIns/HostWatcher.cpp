#include "StandIns/HostWatcher.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <chrono>

namespace auburnroute::standins {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ProbeInterval{200};
constexpr milliseconds ProbeTimeout{300};
// Bounds how long the destructor waits for a pending long poll.
constexpr milliseconds LongPollWait{500};
constexpr milliseconds LongPollTimeout{2000};
constexpr milliseconds RetryDelay{100};

httplib::Client clientFor(const common::Endpoint &endpoint,
                          milliseconds timeout) {
  const auto text = common::toString(endpoint);
  httplib::Client client(text.substr(0, text.rfind(':')), endpoint.Port);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  return client;
}

} // namespace

HostWatcher::HostWatcher(HostPool &pool, common::Endpoint platform)
    : Pool(pool), Platform(platform), WatchThread([this] { watchHostList(); }) {
}

HostWatcher::~HostWatcher() {
  IsStopped = true;
  WatchThread.join();
}

void HostWatcher::watchHostList() {
  std::uint64_t version = 0;
  while (!IsStopped) {
    auto client = clientFor(Platform, LongPollTimeout);
    const auto result = client.Get(
        absl::StrCat("/hosts?after=", version, "&wait=", LongPollWait.count()));
    if (result && result->status == 200 &&
        Pool.applyHostList(result->body, version).ok())
      updateProbers();
    else if (!result || result->status != 204)
      std::this_thread::sleep_for(RetryDelay);
  }
  for (auto &[name, prober] : Probers)
    stopProber(prober);
}

void HostWatcher::updateProbers() {
  std::map<std::string, common::Endpoint> wanted;
  for (const auto &host : Pool.hostsOfZones())
    wanted.emplace(host.Name, host.Operator);
  for (auto it = Probers.begin(); it != Probers.end();) {
    const auto at = wanted.find(it->first);
    if (at != wanted.end() && at->second == it->second.Operator) {
      ++it;
      continue;
    }
    stopProber(it->second);
    it = Probers.erase(it);
  }
  for (const auto &[name, endpoint] : wanted) {
    const auto [it, added] = Probers.try_emplace(name);
    if (!added)
      continue;
    it->second.Operator = endpoint;
    it->second.Thread = std::thread(
        [this, &prober = it->second, host = name] { runProber(prober, host); });
  }
}

void HostWatcher::runProber(Prober &prober, const std::string &name) {
  while (!prober.IsStopped) {
    auto client = clientFor(prober.Operator, ProbeTimeout);
    const auto result = client.Get("/ready");
    Pool.onProbeResult(name, result ? result->status : 0);
    std::this_thread::sleep_for(ProbeInterval);
  }
}

void HostWatcher::stopProber(Prober &prober) {
  prober.IsStopped = true;
  prober.Thread.join();
}

} // namespace auburnroute::standins

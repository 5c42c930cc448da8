#include "Daemon/LoadPoller.h"

#include "Protocol/LoadReportCodec.h"

#include <algorithm>
#include <thread>

namespace auburnroute::daemon {

namespace {

// Servers answer within milliseconds. They are polled one after another, so a
// longer timeout would delay the other servers' reports.
constexpr std::chrono::milliseconds PollTimeout{250};
constexpr std::chrono::milliseconds IdleInterval{20};

/// Finds a server by number in the unordered list of \p service; nullptr if
/// there is none.
const state::BackendServer *findByNumber(const state::Service &service,
                                         std::uint16_t number) {
  const auto it =
      std::find_if(service.BackendServers.begin(), service.BackendServers.end(),
                   [&](const auto &server) { return server.Number == number; });
  return it == service.BackendServers.end() ? nullptr : &*it;
}

} // namespace

LoadPoller::LoadPoller(common::Endpoint self, std::string zone,
                       const common::Clock &clock,
                       const SnapshotPublisher &snapshots,
                       ResultReceiver onResult)
    : Self(self), Zone(std::move(zone)), Clock(clock), Snapshots(snapshots),
      OnResult(std::move(onResult)) {}

void LoadPoller::run(const std::atomic<bool> &stop) {
  while (!stop) {
    const auto snapshot = Snapshots.load();
    for (std::uint32_t i = 0;
         snapshot && i < snapshot->AdmissionOwners.size() && !stop; ++i)
      if (snapshot->AdmissionOwners[i] == Self)
        pollService(*snapshot, i, stop);
    std::this_thread::sleep_for(IdleInterval);
  }
}

void LoadPoller::pollService(const ControlSnapshot &snapshot,
                             std::uint32_t service,
                             const std::atomic<bool> &stop) {
  const auto &settings = snapshot.Settings->Services[service];
  auto &nextPoll = NextPoll[settings.Name];
  if (Clock.now() < nextPoll)
    return;
  const auto zone = snapshot.Settings->zoneIndex(Zone);
  nextPoll = Clock.now() +
             (zone ? settings.PolicyByZone[*zone] : state::ServicePolicy{})
                 .ReportInterval;
  for (const auto &entry : snapshot.Table->backendServersOf(service)) {
    const auto *server = findByNumber(settings, entry.Number);
    if (stop || server == nullptr)
      return;
    if (server->LoadReport.Port != 0)
      OnResult(poll(snapshot, entry.Id, server->LoadReport));
  }
}

BackendServerPollResult LoadPoller::poll(const ControlSnapshot &snapshot,
                                         std::uint32_t id,
                                         common::Endpoint endpoint) {
  auto &client = Clients[endpoint];
  if (!client)
    client = std::make_unique<transport::HttpClient>(endpoint, PollTimeout);
  BackendServerPollResult result{snapshot.Table->revision(), id, std::nullopt};
  const auto response = client->get("/load");
  if (response.ok() && response->Status == common::HttpResponse::Ok)
    if (auto report = protocol::decodeLoadReport(response->Body); report.ok())
      result.Report = *std::move(report);
  return result;
}

} // namespace auburnroute::daemon

#include "StandIns/PlatformRoutes.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburnroute::standins {

namespace {

constexpr std::uint64_t MaxWaitMs = 60000; // Longest long poll.

std::uint64_t numberParameter(const httplib::Request &request,
                              const char *name) {
  std::uint64_t value = 0;
  if (!absl::SimpleAtoi(request.get_param_value(name), &value))
    return 0;
  return value;
}

std::chrono::milliseconds waitParameter(const httplib::Request &request) {
  return std::chrono::milliseconds(
      std::min(numberParameter(request, "wait"), MaxWaitMs));
}

void writeResponse(httplib::Response &response,
                   const PlatformStore::ReadResult &result) {
  response.status = result.Status;
  if (result.Status == 200)
    response.set_content(result.Document, "application/json");
}

void writeResponse(httplib::Response &response, const absl::Status &status) {
  if (status.ok())
    return;
  response.status = 400;
  response.set_content(std::string(status.message()) + "\n", "text/plain");
}

absl::Status setMode(PlatformStore &store, const std::string &mode) {
  if (mode == "up")
    store.setMode(PlatformMode::Up);
  else if (mode == "down")
    store.setMode(PlatformMode::Down);
  else if (mode == "stale")
    store.setMode(PlatformMode::Stale);
  else
    return absl::InvalidArgumentError(
        absl::StrCat("mode must be up, down or stale, got \"", mode, "\""));
  return absl::OkStatus();
}

} // namespace

void addPlatformRoutes(HttpService &service, PlatformStore &store) {
  auto &server = service.server();
  server.Get("/settings", [&store](const auto &request, auto &response) {
    writeResponse(response,
                  store.readSettings(numberParameter(request, "after"),
                                     waitParameter(request)));
  });
  server.Get("/hosts", [&store](const auto &request, auto &response) {
    writeResponse(response, store.readHosts(numberParameter(request, "after"),
                                            waitParameter(request)));
  });
  server.Post("/control/settings",
              [&store](const auto &request, auto &response) {
                writeResponse(response, store.setSettings(request.body));
              });
  server.Post("/control/hosts", [&store](const auto &request, auto &response) {
    writeResponse(response, store.setHosts(request.body));
  });
  server.Post("/control/state", [&store](const auto &request, auto &response) {
    writeResponse(response, setMode(store, request.get_param_value("mode")));
  });
  server.Get("/counts", [&store](const auto &, auto &response) {
    const auto counts = store.counts();
    const nlohmann::json body = {{"settings_reads", counts.SettingsReads},
                                 {"hosts_reads", counts.HostsReads}};
    response.set_content(body.dump(), "application/json");
  });
}

} // namespace auburnroute::standins

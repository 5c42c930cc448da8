#include "Common/Files.h"
#include "StandIns/BackendServerGroup.h"
#include "StandIns/StopSignal.h"
#include "State/SettingsLoader.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <iostream>

ABSL_FLAG(std::string, settings, "", "settings document");
ABSL_FLAG(std::string, service, "",
          "service whose servers to run; all if empty");
ABSL_FLAG(std::string, zone, "", "availability zone to run; all if empty");
ABSL_FLAG(std::string, fabric, "127.0.0.1:20000", "UDP endpoint of the fabric");
ABSL_FLAG(std::string, operator, "", "HTTP endpoint for control and results");
ABSL_FLAG(std::uint64_t, seed, 1, "random seed for initial sequence numbers");

using namespace auburnroute;

namespace {

absl::Status addServers(standins::BackendServerGroup &group,
                        const state::Settings &settings) {
  const auto serviceName = absl::GetFlag(FLAGS_service);
  const auto zone = absl::GetFlag(FLAGS_zone);
  for (const auto &service : settings.Services) {
    if (!serviceName.empty() && service.Name != serviceName)
      continue;
    for (const auto &server : service.BackendServers) {
      if (!zone.empty() && server.Zone != zone)
        continue;
      if (auto status = group.add(service, server); !status.ok())
        return status;
    }
  }
  return absl::OkStatus();
}

absl::Status serve() {
  const auto path = absl::GetFlag(FLAGS_settings);
  const auto text = common::readFile(path);
  if (!text.ok())
    return text.status();
  const auto settings = state::loadSettings(*text, path);
  const auto fabric = common::parseEndpoint(absl::GetFlag(FLAGS_fabric));
  for (const auto &status : {settings.status(), fabric.status()})
    if (!status.ok())
      return status;
  standins::BackendServerGroup group(*fabric, absl::GetFlag(FLAGS_seed));
  if (auto status = addServers(group, *settings); !status.ok())
    return status;
  if (const auto address = absl::GetFlag(FLAGS_operator); !address.empty()) {
    const auto endpoint = common::parseEndpoint(address);
    if (!endpoint.ok())
      return endpoint.status();
    if (auto status = group.serveOperator(*endpoint); !status.ok())
      return status;
  }
  group.run();
  std::cout << group.results() << std::endl;
  return absl::OkStatus();
}

} // namespace

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage(
      "Stand-in for backend servers: serves feeds and requests over packets in "
      "UDP datagrams. For tests only.");
  absl::ParseCommandLine(argc, argv);
  standins::StopSignal::install();
  if (auto status = serve(); !status.ok()) {
    std::cerr << "standin-backend: " << status.message() << "\n";
    return 1;
  }
  return 0;
}

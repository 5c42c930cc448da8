#include "Common/Files.h"
#include "StandIns/PlatformRoutes.h"
#include "StandIns/StopSignal.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:19000", "HTTP endpoint to serve on");
ABSL_FLAG(std::string, settings, "", "settings document to publish at start");
ABSL_FLAG(std::string, hosts, "", "host list to publish at start");

using namespace auburnroute;

namespace {

// Each pending watch request occupies one worker thread.
constexpr std::size_t Workers = 64;

absl::Status loadDocuments(standins::PlatformStore &store) {
  if (const auto path = absl::GetFlag(FLAGS_settings); !path.empty()) {
    const auto text = common::readFile(path);
    if (!text.ok())
      return text.status();
    if (auto status = store.setSettings(*text); !status.ok())
      return status;
  }
  if (const auto path = absl::GetFlag(FLAGS_hosts); !path.empty()) {
    const auto text = common::readFile(path);
    if (!text.ok())
      return text.status();
    return store.setHosts(*text);
  }
  return absl::OkStatus();
}

absl::Status serve() {
  const auto listen = common::parseEndpoint(absl::GetFlag(FLAGS_listen));
  if (!listen.ok())
    return listen.status();
  standins::PlatformStore store;
  if (auto status = loadDocuments(store); !status.ok())
    return status;
  standins::HttpService service(Workers);
  standins::addPlatformRoutes(service, store);
  if (auto status = service.start(*listen); !status.ok())
    return status;
  standins::StopSignal::wait();
  store.shutDown();
  service.stop();
  return absl::OkStatus();
}

} // namespace

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage("Stand-in for the platform: serves settings and "
                               "the host list over HTTP. For tests only.");
  absl::ParseCommandLine(argc, argv);
  standins::StopSignal::install();
  if (auto status = serve(); !status.ok()) {
    std::cerr << "standin-platform: " << status.message() << "\n";
    return 1;
  }
  return 0;
}

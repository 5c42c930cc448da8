#include "Common/Files.h"
#include "Common/Log.h"
#include "Common/SystemClock.h"
#include "Daemon/Daemon.h"
#include "State/DaemonSettingsLoader.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"

#include <iostream>

ABSL_FLAG(std::string, settings, "", "local settings file of this daemon");

namespace {

using namespace auburnroute;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

int run() {
  const auto fileName = absl::GetFlag(FLAGS_settings);
  if (fileName.empty()) {
    std::cerr << "auburnrouted: --settings FILE is required\n";
    return ExitUsage;
  }
  const auto text = common::readFile(fileName);
  if (!text.ok()) {
    std::cerr << "auburnrouted: " << text.status().message() << "\n";
    return ExitFailure;
  }
  const auto settings = state::loadDaemonSettings(*text, fileName);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return ExitFailure;
  }
  common::initialiseLog();
  const common::SystemClock clock;
  const auto status = daemon::runDaemon(*settings, clock);
  if (!status.ok()) {
    std::cerr << "auburnrouted: " << status.message() << "\n";
    return ExitFailure;
  }
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage(
      "the auburnroute daemon\n\n  auburnrouted --settings FILE");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return std::string("auburnrouted " AUBURN_VERSION "\n");
  };
  absl::SetFlagsUsageConfig(usage);
  if (absl::ParseCommandLine(argc, argv).size() > 1) {
    std::cerr << "auburnrouted: takes flags only, see --help\n";
    return ExitUsage;
  }
  return run();
}

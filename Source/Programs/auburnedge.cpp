#include "Common/BootClock.h"
#include "Common/Files.h"
#include "Edge/EdgeNode.h"
#include "State/EdgeSettings.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"

#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string, settings, "",
          "local settings file; AUBURNROUTE_CONFIG by default");

namespace {

using namespace auburnroute;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

int run() {
  auto fileName = absl::GetFlag(FLAGS_settings);
  if (const char *fromEnvironment = std::getenv("AUBURNROUTE_CONFIG");
      fileName.empty() && fromEnvironment != nullptr)
    fileName = fromEnvironment;
  if (fileName.empty()) {
    std::cerr << "auburnedge: --settings FILE is required\n";
    return ExitUsage;
  }
  const auto text = common::readFile(fileName);
  if (!text.ok()) {
    std::cerr << "auburnedge: " << text.status().message() << "\n";
    return ExitFailure;
  }
  auto settings = state::loadEdgeSettings(*text, fileName);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return ExitFailure;
  }
  const common::BootClock clock;
  edge::EdgeNode node(*std::move(settings), fileName, clock);
  const auto status = node.run();
  if (!status.ok()) {
    std::cerr << "auburnedge: " << status.message() << "\n";
    return ExitFailure;
  }
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage(
      "the auburnroute edge daemon\n\n  auburnedge --settings FILE");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return std::string("auburnedge " AUBURN_VERSION "\n");
  };
  absl::SetFlagsUsageConfig(usage);
  if (absl::ParseCommandLine(argc, argv).size() > 1) {
    std::cerr << "auburnedge: takes flags only, see --help\n";
    return ExitUsage;
  }
  return run();
}

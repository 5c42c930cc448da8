#include "Common/Files.h"
#include "Emulator/Emulation.h"
#include "Emulator/ExperimentReport.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"

#include <chrono>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, deployment, "", "deployment file, JSON with comments");
ABSL_FLAG(std::uint64_t, seed, 1,
          "random seed of the first day; each further day adds 1");
ABSL_FLAG(std::uint32_t, days, 3, "days to emulate per candidate");
ABSL_FLAG(std::string, html, "", "HTML file to write, with plots");
ABSL_FLAG(bool, json, false, "write the table as JSON");

namespace {

using namespace auburnroute;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

bool writePage(const emulator::ExperimentReport &report,
               const std::string &fileName) {
  std::ofstream file(fileName);
  file << report.html();
  file.flush();
  return file.good();
}

int run() {
  const auto fileName = absl::GetFlag(FLAGS_deployment);
  const auto days = absl::GetFlag(FLAGS_days);
  if (fileName.empty() || days == 0) {
    std::cerr << "auburnsim: --deployment FILE and --days above 0 are "
                 "required\n";
    return ExitUsage;
  }
  const auto text = common::readFile(fileName);
  if (!text.ok()) {
    std::cerr << "auburnsim: " << text.status().message() << "\n";
    return ExitFailure;
  }
  const auto deployment = emulator::loadDeployment(*text, fileName);
  if (!deployment.ok()) {
    std::cerr << deployment.status().message() << "\n";
    return ExitFailure;
  }
  const auto started = std::chrono::steady_clock::now();
  std::uint64_t events = 0;
  std::vector<emulator::CandidateResult> results;
  for (const auto &candidate : deployment->Candidates) {
    auto &result = results.emplace_back();
    result.Name = candidate.Name;
    for (std::uint32_t n = 0; n < days; ++n) {
      result.Runs.push_back(emulator::Emulation(*deployment, candidate,
                                                absl::GetFlag(FLAGS_seed) + n)
                                .run());
      events += result.Runs.back().EventCount;
    }
  }
  const emulator::ExperimentReport report(*deployment, results);
  std::cout << (absl::GetFlag(FLAGS_json) ? report.json() : report.text());
  std::cerr << events << " events in "
            << std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now() - started)
                   .count()
            << " ms\n";
  const auto html = absl::GetFlag(FLAGS_html);
  if (!html.empty() && !writePage(report, html)) {
    std::cerr << "auburnsim: " << html << ": cannot be written\n";
    return ExitFailure;
  }
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage(
      "emulates days of a deployment and compares candidates\n\n"
      "  auburnsim --deployment FILE [--days N] [--seed N] [--html FILE]");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return std::string("auburnsim " AUBURN_VERSION "\n");
  };
  absl::SetFlagsUsageConfig(usage);
  if (absl::ParseCommandLine(argc, argv).size() > 1) {
    std::cerr << "auburnsim: takes flags only, see --help\n";
    return ExitUsage;
  }
  return run();
}

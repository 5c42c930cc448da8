#pragma once

#include "Emulator/EmulationResult.h"

#include <string>
#include <vector>

namespace auburnroute::emulator {

/// The runs of a candidate, one per seed.
struct CandidateResult {
  std::string Name;
  std::vector<EmulationResult> Runs;
};

/// Compares candidates that ran under the same traffic.
class ExperimentReport {
public:
  /// References must outlive the object. Each candidate needs at least one
  /// run.
  ExperimentReport(const Deployment &deployment,
                   const std::vector<CandidateResult> &candidates)
      : Config(deployment), Candidates(candidates) {}

  /// Plain-text table of the means over the runs, with the standard deviation
  /// of the credit.
  std::string text() const;
  std::string json() const;
  /// Self-contained page with the table and a plot of the credit by second.
  std::string html() const;

private:
  struct Row {
    std::string Name;
    double Credit = 0;
    double Deviation = 0; ///< Standard deviation of the credit over the runs.
    double WorstWindowCredit = 0;
    double MedianMs = 0;
    double Percentile99Ms = 0;
    std::vector<double> LateByRequest;
    std::vector<double> FailedByRequest;
    std::vector<double> LateByZone;
    std::vector<double> BusiestOverMean; ///< By service.
  };
  std::vector<Row> rows() const;
  Row makeRow(const CandidateResult &candidate) const;
  std::string plotCredit(const CandidateResult &candidate) const;

  const Deployment &Config;
  const std::vector<CandidateResult> &Candidates;
};

} // namespace auburnroute::emulator

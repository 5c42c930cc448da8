#pragma once

#include "Emulator/EmulationResult.h"

#include <string>
#include <vector>

namespace auburnroute::emulator {

/// The days that a candidate was played on, one per seed.
struct CandidateResult {
  std::string Name;
  std::vector<EmulationResult> Runs;
};

/// Compares candidates that were played on the same days.
class ExperimentReport {
public:
  /// References must outlive the object. Each candidate has a day at least.
  ExperimentReport(const Deployment &deployment,
                   const std::vector<CandidateResult> &candidates)
      : Config(deployment), Candidates(candidates) {}

  /// A table of means, with the deviation of the credit between seeds.
  std::string text() const;
  std::string json() const;
  /// The table and plots by second, as a page that needs no other file.
  std::string html() const;

private:
  struct Row {
    std::string Name;
    double Credit = 0;
    double Deviation = 0; ///< Of the credit, between the days.
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

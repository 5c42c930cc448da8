#pragma once

#include "StandIns/CallerStandIn.h"

#include <string>

namespace auburnroute::standins {

/// Formats the log of a run as JSON.
class CallerReport {
public:
  /// \p monotonic and \p wall are readings of the two clocks at the same
  /// moment; they convert monotonic times to seconds since 1970.
  CallerReport(const CallerStandIn &callers, common::TimePoint monotonic,
               common::WallTime wall);

  /// One line with the counts of the run and the list of broken feeds.
  std::string summary() const;
  /// One line with the request ids of each outcome.
  std::string requestIds() const;

private:
  double epochSeconds(common::TimePoint time) const;

  const CallerStandIn &Callers;
  common::TimePoint Monotonic;
  common::WallTime Wall;
};

} // namespace auburnroute::standins

#pragma once

#include "StandIns/CallerStandIn.h"

#include <string>

namespace auburnroute::standins {

/// Writes the log of a run as JSON.
class CallerReport {
public:
  /// \p monotonic and \p wall are readings of both clocks at the same moment;
  /// they turn times into seconds since 1970.
  CallerReport(const CallerStandIn &callers, common::TimePoint monotonic,
               common::WallTime wall);

  /// One line with the counts of the run and the broken feeds.
  std::string summary() const;
  /// Lists of request ids by outcome.
  std::string requestIds() const;

private:
  double epochSeconds(common::TimePoint time) const;

  const CallerStandIn &Callers;
  common::TimePoint Monotonic;
  common::WallTime Wall;
};

} // namespace auburnroute::standins

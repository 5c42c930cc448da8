#pragma once

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>

namespace auburnroute::routing {

/// Which part of the recent SYNs came from callers with more than a fair share.
/// Bounded: further callers share one entry.
class CallerShares {
public:
  static constexpr std::size_t MaxCallers = 2048;

  /// \p address: IPv4 address of the caller.
  void onSyn(std::uint32_t address) { ++countOf(address); }
  /// Takes the shares anew and multiplies all counts by \p kept, 0 to 1.
  void age(double kept);

  /// Part of the SYNs of \p address beyond its fair share, 0 to 1.
  double excessOf(std::uint32_t address) const;
  /// Part of all SYNs that were beyond the fair share of their callers, 0 to 1.
  double totalExcess() const { return TotalExcess; }

private:
  double &countOf(std::uint32_t address);
  double excess(double count) const {
    return count > Allowance ? 1 - Allowance / count : 0;
  }

  absl::flat_hash_map<std::uint32_t, double> Counts;
  double Others = 0; ///< SYNs of callers beyond MaxCallers.
  double Allowance = 0;
  double TotalExcess = 0;
};

} // namespace auburnroute::routing

#include "Routing/CallerShares.h"

#include <algorithm>
#include <limits>

namespace auburnroute::routing {

namespace {

/// A caller may send this many times the mean of all callers: requests come in
/// bursts, and several callers may share an address.
constexpr double FairFactor = 3;
/// Recent SYNs that any caller may send: one of many hosts sees few of each.
constexpr double MinAllowance = 6;
constexpr double ForgottenBelow = 0.1; ///< SYNs

} // namespace

double &CallerShares::countOf(std::uint32_t address) {
  if (const auto it = Counts.find(address); it != Counts.end())
    return it->second;
  return Counts.size() < MaxCallers ? Counts[address] : Others;
}

void CallerShares::age(double kept) {
  double sum = 0;
  for (const auto &[address, count] : Counts)
    sum += count;
  Allowance =
      Counts.empty()
          ? std::numeric_limits<double>::max()
          : std::max(MinAllowance,
                     FairFactor * sum / static_cast<double>(Counts.size()));
  double beyond = 0;
  for (const auto &[address, count] : Counts)
    beyond += count * excess(count);
  TotalExcess = sum > 0 ? beyond / (sum + Others) : 0;
  Others *= kept;
  absl::erase_if(Counts, [kept](auto &it) {
    it.second *= kept;
    return it.second < ForgottenBelow;
  });
}

double CallerShares::excessOf(std::uint32_t address) const {
  const auto it = Counts.find(address);
  return it == Counts.end() ? 0 : excess(it->second);
}

} // namespace auburnroute::routing

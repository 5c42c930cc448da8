#include "Coordination/Membership/ZoneView.h"

#include "Coordination/Membership/HostReport.h"
#include "Coordination/Membership/OwnerTable.h"

#include <algorithm>
#include <array>
#include <functional>
#include <tuple>

#include <xxhash.h>

namespace auburnroute::membership {

using state::HostState;

namespace {

constexpr std::size_t ReaderCount = 2;
constexpr std::string_view ReaderKey = "settings reader";

} // namespace

// Prefers live hosts, then joining ones, since a zone in which all hosts have
// just started has no live host; then the rest, so that there is always a
// reader.
std::vector<std::string> selectSettingsReaders(const state::HostTable &hosts) {
  const auto key = rendezvousHash(ReaderKey);
  std::vector<std::tuple<int, std::uint64_t, const std::string *>> order;
  for (const auto &[name, host] : hosts) {
    if (isDown(host.State) || host.Incarnation == 0)
      continue;
    const int preference = host.State == HostState::Live      ? 2
                           : host.State == HostState::Joining ? 1
                                                              : 0;
    order.emplace_back(preference, rendezvousWeight(key, rendezvousHash(name)),
                       &name);
  }
  const auto n = std::min(ReaderCount, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(n), order.end(),
                    std::greater<>());
  std::vector<std::string> readers;
  for (std::size_t i = 0; i < n; ++i)
    readers.push_back(*std::get<2>(order[i]));
  return readers;
}

// Dead hosts are excluded, since each host removes them at a different time.
std::uint32_t computeViewDigest(const state::HostTable &hosts) {
  std::uint64_t digest = 0;
  for (const auto &[name, host] : hosts) {
    if (host.State == HostState::Dead)
      continue;
    const std::array<std::uint64_t, 3> words{
        host.Incarnation, static_cast<std::uint64_t>(host.State),
        static_cast<std::uint64_t>(host.IsLeaving)};
    digest ^=
        XXH3_64bits_withSeed(words.data(), sizeof(words), rendezvousHash(name));
  }
  return static_cast<std::uint32_t>(digest);
}

} // namespace auburnroute::membership

#pragma once

#include "Routing/SharedLoad.h"

#include "absl/container/flat_hash_map.h"

namespace auburnroute::emulator {

/// Loads by identity of the server.
using LoadByServer = absl::flat_hash_map<std::uint64_t, routing::RemoteLoad>;

/// The load by other hosts as of the last exchange. A host that uses a subset
/// of the servers sees the others as overloaded.
class EmulatedSharedLoad final : public routing::SharedLoad {
public:
  /// \p directory must outlive the object. \p subset: share of the servers to
  /// use; \p seed decides which.
  EmulatedSharedLoad(const routing::ServerDirectory &directory, double subset,
                     std::uint64_t seed)
      : Directory(directory), Subset(subset), Seed(seed) {}

  void setTotals(const LoadByServer &totals, const LoadByServer &own) {
    Totals = totals;
    for (const auto &[server, load] : own) {
      auto &others = Totals[server];
      others.Outstanding -= load.Outstanding;
      others.OpenFlows -= load.OpenFlows;
    }
  }

  routing::RemoteLoad elsewhere(routing::ServerId server,
                                common::TimePoint) const override {
    const auto identity = Directory.at(server).Registration.Identity;
    if (!isInSubset(identity))
      return {Unused, 0};
    const auto it = Totals.find(identity);
    return it == Totals.end() ? routing::RemoteLoad() : it->second;
  }
  std::optional<routing::ZoneLoad> zoneLoad(routing::NameTable::Id,
                                            routing::NameTable::Id,
                                            common::TimePoint) const override {
    return std::nullopt;
  }

private:
  /// More requests than a server can have.
  static constexpr double Unused = 1e6;

  bool isInSubset(std::uint64_t identity) const {
    return Subset >= 1 || static_cast<double>(absl::HashOf(identity, Seed) >>
                                              1) < Subset * 0x1p63;
  }

  const routing::ServerDirectory &Directory;
  double Subset;
  std::uint64_t Seed;
  LoadByServer Totals;
};

} // namespace auburnroute::emulator

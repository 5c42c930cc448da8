#pragma once

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::membership {

/// Weight of \p hostHash for \p keyHash in rendezvous hashing; the host with
/// the highest weight is chosen.
std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t hostHash);
/// Hash of a service or host name for rendezvousWeight.
std::uint64_t rendezvousHash(std::string_view name);

/// Admission owner of each service, by rendezvous hashing.
///
/// Owners are recomputed when hosts or services change. A host that is added is
/// compared with the owner of each service; when a host is removed, only its
/// services are reassigned.
class OwnerTable {
public:
  /// Replaces the services. Order and duplicates do not matter.
  void setServices(const std::vector<std::string> &services);
  /// Replaces the eligible hosts. \p hosts is sorted and without duplicates.
  /// Returns whether the owner of a service changed.
  bool setHosts(std::vector<std::string> hosts);
  /// The owner, or nullptr if the service is unknown or no host is eligible.
  const std::string *find(std::string_view service) const;
  /// The eligible hosts, sorted.
  std::span<const std::string> hosts() const { return Hosts; }

private:
  struct Entry {
    std::uint64_t Hash = 0;
    std::uint64_t Weight = 0; ///< Of the owner.
    std::string Owner;        ///< Empty if there is none.
  };

  void assignOwner(Entry &entry) const;

  absl::flat_hash_map<std::string, Entry> Services;
  std::vector<std::string> Hosts;
};

} // namespace auburnroute::membership

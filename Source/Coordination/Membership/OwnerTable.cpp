#include "Coordination/Membership/OwnerTable.h"

#include "Common/Text.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>

#include <xxhash.h>

namespace auburnroute::membership {

namespace {

std::vector<std::string> difference(const std::vector<std::string> &from,
                                    const std::vector<std::string> &without) {
  std::vector<std::string> out;
  std::set_difference(from.begin(), from.end(), without.begin(), without.end(),
                      std::back_inserter(out));
  return out;
}

} // namespace

std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t hostHash) {
  const std::array<std::uint64_t, 2> words{keyHash, hostHash};
  return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t rendezvousHash(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

void OwnerTable::setServices(const std::vector<std::string> &services) {
  absl::flat_hash_map<std::string, Entry> next;
  for (const auto &name : services) {
    const auto it = Services.find(name);
    if (it != Services.end()) {
      next.emplace(name, it->second);
      continue;
    }
    Entry entry{rendezvousHash(name), 0, {}};
    assignOwner(entry);
    next.emplace(name, std::move(entry));
  }
  Services = std::move(next);
}

bool OwnerTable::setHosts(std::vector<std::string> hosts) {
  if (hosts == Hosts)
    return false;
  const auto added = difference(hosts, Hosts);
  const auto removed = difference(Hosts, hosts);
  Hosts = std::move(hosts);
  bool changed = false;
  for (auto &[name, entry] : Services) {
    const auto before = entry.Owner;
    if (std::binary_search(removed.begin(), removed.end(), entry.Owner))
      assignOwner(entry);
    for (const auto &host : added) {
      const auto weight = rendezvousWeight(entry.Hash, rendezvousHash(host));
      if (entry.Owner.empty() ||
          std::tie(weight, host) > std::tie(entry.Weight, entry.Owner)) {
        entry.Weight = weight;
        entry.Owner = host;
      }
    }
    changed = changed || before != entry.Owner;
  }
  return changed;
}

const std::string *OwnerTable::find(std::string_view service) const {
  const auto it = Services.find(common::toAbsl(service));
  return it == Services.end() || it->second.Owner.empty() ? nullptr
                                                          : &it->second.Owner;
}

void OwnerTable::assignOwner(Entry &entry) const {
  entry.Owner.clear();
  entry.Weight = 0;
  for (const auto &host : Hosts) {
    const auto weight = rendezvousWeight(entry.Hash, rendezvousHash(host));
    if (entry.Owner.empty() ||
        std::tie(weight, host) > std::tie(entry.Weight, entry.Owner)) {
      entry.Weight = weight;
      entry.Owner = host;
    }
  }
}

} // namespace auburnroute::membership

#include "Fleet/EvidenceOwners.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <numeric>

using auburnroute::fleet::EvidenceOwners;

namespace {

std::vector<std::uint32_t> hosts(std::uint32_t n) {
  std::vector<std::uint32_t> list(n);
  std::iota(list.begin(), list.end(), 0x0a010001U); // 10.1.0.1
  return list;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EvidenceOwnersTest)

// Hosts that know the same zone must choose the same owners, and the loss of a
// host must move no other host's servers: evidence would be split.
BOOST_AUTO_TEST_CASE(OnlyServersOfALostHostMove) {
  const auto all = hosts(60);
  auto reversed = all;
  std::ranges::reverse(reversed);
  auto fewer = all;
  const auto lost = fewer[17];
  fewer.erase(fewer.begin() + 17);
  for (std::uint64_t identity = 1; identity <= 500; ++identity) {
    const auto before = EvidenceOwners::choose(identity, all, 2);
    BOOST_TEST(before == EvidenceOwners::choose(identity, reversed, 2),
               boost::test_tools::per_element());
    if (std::ranges::find(before, lost) != before.end())
      continue;
    BOOST_TEST(before == EvidenceOwners::choose(identity, fewer, 2),
               boost::test_tools::per_element());
  }
}

// One host must not collect the evidence of a large part of the servers: at 96
// servers and 60 hosts the mean is 3.2.
BOOST_AUTO_TEST_CASE(ServersAreSpreadOverTheHosts) {
  std::map<std::uint32_t, int> counts;
  for (std::uint64_t identity = 1; identity <= 960; ++identity)
    for (const auto it : EvidenceOwners::choose(identity, hosts(60), 2))
      ++counts[it];
  BOOST_TEST(counts.size() == 60U);
  for (const auto &[host, n] : counts)
    BOOST_TEST(n < 64, "host " << host << " has " << n);
}

// A zone may have fewer hosts than owners are asked for.
BOOST_AUTO_TEST_CASE(SmallZonesHaveFewerOwners) {
  BOOST_TEST(EvidenceOwners::choose(7, hosts(1), 2).size() == 1U);
  BOOST_TEST(EvidenceOwners::choose(7, hosts(0), 2).empty());
}

BOOST_AUTO_TEST_SUITE_END()

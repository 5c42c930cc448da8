#include "UnitTests/Fleet/OpenFlowModel.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <concepts>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <string_view>

using namespace auburnroute;
using namespace std::chrono_literals;
using unittests::OpenFlowModel;

namespace {

constexpr std::chrono::milliseconds FaultTime{10000};
constexpr std::chrono::milliseconds DayLength{14000};
/// Hosts need some answers to know how many packets are lost.
constexpr std::chrono::milliseconds CrashTime{5000};
constexpr std::chrono::milliseconds MaxTimeToFirstVerdict{1000};
constexpr std::chrono::milliseconds MaxTimeToFindDead{1500};
/// The longest time limit of callers.
constexpr std::chrono::milliseconds MaxRequestTime{3000};
/// Some callers retransmit through a host that does not know the verdict yet.
constexpr double MaxUnresetShare = 0.05;

/// Rule of the violations that no reset shows.
constexpr std::string_view DeadRule = "dead";

std::vector<std::uint64_t> firstSeeds(std::size_t n) {
  std::vector<std::uint64_t> all(n);
  std::iota(all.begin(), all.end(), 1);
  return all;
}

/// Plays days with faults and reports the violations whose rule \p isChecked.
template <std::predicate<const std::string &> Filter>
void checkDays(const Filter &isChecked) {
  std::map<std::string, std::size_t> seedsByRule;
  for (const auto seed : unittests::seeds(firstSeeds(1000))) {
    OpenFlowModel model(seed);
    model.scheduleFaults(FaultTime);
    model.run(DayLength);
    std::set<std::string> rules;
    for (const auto &it : model.violations())
      if (isChecked(it.Rule)) {
        rules.insert(it.Rule);
        BOOST_ERROR("seed " << seed << ", " << it.Text);
      }
    if (!rules.empty())
      BOOST_TEST_MESSAGE("seed " << seed << ", faults:" << model.faults());
    for (const auto &rule : rules)
      ++seedsByRule[rule];
  }
  for (const auto &[rule, n] : seedsByRule)
    BOOST_TEST_MESSAGE(rule << ": " << n << " seeds");
}

} // namespace

// Hosts pause, start with full sockets, lag behind and lose packets; servers
// leave, crash, come back and lose their entries. No host may reset an open
// flow whose server is alive, and its packets must not go to other servers.
BOOST_AUTO_TEST_SUITE(OpenFlowRandomTest)

// Without faults nothing is reset, so that the other tests find the effects of
// faults only.
BOOST_AUTO_TEST_CASE(NoOpenFlowIsResetWithoutFaults) {
  for (const auto seed : unittests::seeds(firstSeeds(100))) {
    OpenFlowModel model(seed);
    model.run(DayLength);
    for (const auto &it : model.violations())
      BOOST_ERROR("seed " << seed << ": " << it.Text);
    BOOST_TEST(model.resetsOfOpenFlows() == 0U, "seed " << seed);
    BOOST_TEST(model.answeredRequests() > 100U, "seed " << seed);
  }
}

// An open flow of a living server was reset because of old SYNs, of pauses, and
// of servers and routes that one host did not know.
BOOST_AUTO_TEST_CASE(OpenFlowsOfLivingServersAreNotReset) {
  checkDays([](const std::string &rule) { return rule != DeadRule; });
}

// A fix that never resets open flows would let callers of a dead server wait
// for their time limit. A server that ends without notice under load is dead
// for its zone within a second or so, and requests to it end by a reset.
BOOST_AUTO_TEST_CASE(CrashedServersAreKnownToTheirZone) {
  OpenFlowModel::DeadServerRequests requests;
  for (const auto seed : unittests::seeds(firstSeeds(100))) {
    OpenFlowModel model(seed, OpenFlowModel::ManyCallers);
    model.run(CrashTime);
    const auto identity = model.crashBusiestServer();
    model.run(MaxTimeToFindDead + MaxRequestTime);
    const auto times = model.timesToFindDead(identity);
    const auto &ended = model.deadServerRequests();
    requests.ResetInTime += ended.ResetInTime;
    requests.ResetLate += ended.ResetLate;
    requests.TimedOut += ended.TimedOut;
    for (const auto &it : times)
      BOOST_TEST((it && *it <= MaxTimeToFindDead),
                 "seed " << seed << ": a host does not know that server s"
                         << identity << " is dead");
    BOOST_TEST((std::ranges::min(times) <= MaxTimeToFirstVerdict),
               "seed " << seed << ": server s" << identity
                       << " is found dead late");
  }
  BOOST_TEST_MESSAGE("requests to dead servers: "
                     << requests.ResetInTime << " reset in time, "
                     << requests.ResetLate << " later, " << requests.TimedOut
                     << " timed out");
  BOOST_TEST(requests.ResetInTime > 0U);
  BOOST_TEST(requests.ResetLate + requests.TimedOut <=
             MaxUnresetShare * static_cast<double>(requests.ResetInTime));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OpenFlowVerdictTest)

// A verdict on a living server that does not end keeps callers away from it,
// even if no open flow is left that it could reset.
BOOST_AUTO_TEST_CASE(LivingServersAreNotTakenForDead) {
  checkDays([](const std::string &rule) { return rule == DeadRule; });
}

BOOST_AUTO_TEST_SUITE_END()

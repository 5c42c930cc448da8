#include "UnitTests/Coordination/Placement/AdmissionFixture.h"
#include "UnitTests/Seeds.h"

#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <sstream>

using namespace auburnroute;
using namespace auburnroute::forwarding;
using namespace auburnroute::placement;
using namespace std::chrono_literals;
using state::Cause;

namespace {

/// Sends random events to a controller and checks its decisions against a model
/// of the placed and held flows.
struct ModelCheckedRun : AdmissionFixture {
  std::mt19937_64 Random;
  /// By caller: key and server address.
  std::map<std::uint64_t, std::pair<FlowKey, std::uint32_t>> Placed;
  std::map<std::uint64_t, FlowKey> Waiting;
  std::set<std::uint32_t> Drained; // addresses

  explicit ModelCheckedRun(std::uint64_t seed) : Random(seed) {
    addServers(6, 2);
    addServers(3, 2, "couva");
    policy().QueueLimit = 20;
    apply();
  }

  unsigned randomBelow(unsigned n) {
    return static_cast<unsigned>(Random() % n);
  }
  FlowKey randomPlaced() {
    auto it = Placed.begin();
    std::advance(it, randomBelow(static_cast<unsigned>(Placed.size())));
    return it->second.first;
  }
  const state::BackendServer &serverOf(int number) {
    for (const auto &it : counter().BackendServers)
      if (it.Number == number)
        return it;
    throw std::logic_error("no backend server has the number " +
                           std::to_string(number));
  }

  void check(const FlowKey &key, const AdmissionDecision &decision) {
    const auto id = key.Caller.key();
    if (isHeld(decision)) {
      BOOST_TEST(!Placed.contains(id));
      Waiting.emplace(id, key);
    } else if (const auto number = numberOf(decision)) {
      const auto address = serverOf(number).Address;
      BOOST_TEST(!Drained.contains(address));
      BOOST_TEST((!Placed.contains(id) || Placed[id].second == address));
      Placed[id] = {key, address};
    } else {
      BOOST_TEST(!Placed.contains(id));
    }
  }
  void checkReleased() {
    for (const auto &it : poll()) {
      BOOST_TEST(Waiting.erase(it.Key.Caller.key()) == 1);
      BOOST_TEST(!isHeld(it.Decision));
      check(it.Key, it.Decision);
    }
  }
  void changeSettings() {
    auto &servers = counter().BackendServers;
    if (randomBelow(2) == 0 && servers.size() > 4) {
      const auto address = servers[randomBelow(9) % servers.size()].Address;
      std::erase_if(servers,
                    [&](const auto &it) { return it.Address == address; });
      std::erase_if(
          Placed, [&](const auto &it) { return it.second.second == address; });
      Drained.erase(address);
    } else if (servers.size() < 12) {
      auto &added = addServer();
      added.Number = static_cast<std::uint16_t>(100 + Document.Revision);
      added.Address = 0xC0000300 + added.Number;
    }
    apply();
    applyDrains();
  }
  void applyDrains() {
    absl::flat_hash_set<std::uint32_t> ids;
    const state::ServiceTable table(Document, "sando");
    for (const auto &it : table.backendServers())
      if (Drained.contains(it.Address))
        ids.insert(it.Id);
    Controller.onLeaving(Clock.now(), ids);
    // A repeated SYN of a flow on a drained server gets a new decision, so end
    // these flows in the model.
    std::erase_if(Placed, [&](const auto &it) {
      if (!Drained.contains(it.second.second))
        return false;
      finish(it.second.first);
      return true;
    });
  }
  void randomStep() {
    Clock.advance(std::chrono::milliseconds(randomBelow(4)));
    const auto action = randomBelow(100);
    const auto id =
        randomBelow(static_cast<unsigned>(counter().BackendServers.size()));
    if (action < 40) {
      const auto key =
          newKey(randomBelow(5) == 0 ? FeedAddress : RequestAddress);
      check(key, syn(key));
    } else if (action < 80 && !Placed.empty()) {
      const auto key = randomPlaced();
      Placed.erase(key.Caller.key());
      finish(key,
             randomBelow(10) == 0 ? FinishKind::SynRefused : FinishKind::Ended);
    } else if (action < 85 && !Waiting.empty()) {
      check(Waiting.begin()->second, syn(Waiting.begin()->second));
    } else if (action < 92) {
      report(id, randomBelow(4), randomBelow(1000)); // mostly wrong
    } else if (action < 96) {
      Controller.onReportFailure(Clock.now(), id);
    } else if (action < 97) {
      changeSettings();
    } else if (action < 98) {
      const auto address = counter().BackendServers[id].Address;
      if (Drained.erase(address) == 0)
        Drained.insert(address);
      applyDrains();
    } else if (action < 99 && randomBelow(20) == 0) {
      Clock.advance(30s);
    }
    checkReleased();
    BOOST_TEST(Controller.held(0) == Waiting.size());
    BOOST_TEST(Waiting.size() <= policy().QueueLimit);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionRandomTest)

// Guards against combinations of events that lead to a flow that is placed
// twice, a SYN that gets no or two decisions, or a flow on a draining server.
BOOST_AUTO_TEST_CASE(DecisionsMatchTheModelUnderRandomEvents) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      ModelCheckedRun run(seed);
      for (int i = 0; i < 20'000; ++i)
        run.randomStep();
      run.Clock.advance(30s);
      run.checkReleased();
      BOOST_TEST(run.Waiting.empty());
    }
  }
}

// Guards against flows that are refused or left waiting, although servers have
// capacity, while a service has two admission owners. Then only the balance
// between servers may suffer.
BOOST_AUTO_TEST_CASE(TwoOwnersRefuseNoFlows) {
  for (const auto seed : unittests::seeds({1, 2, 3, 4})) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      ModelCheckedRun owners[2] = {ModelCheckedRun(seed),
                                   ModelCheckedRun(seed + 1)};
      for (int i = 0; i < 5'000; ++i) {
        for (auto &it : owners) {
          it.Clock.advance(1ms);
          const auto key = it.newKey();
          it.check(key, it.syn(key));
          if (it.Placed.size() > 5) {
            const auto ended = it.randomPlaced();
            it.Placed.erase(ended.Caller.key());
            it.finish(ended);
          }
          it.checkReleased();
        }
        if (i % 1000 == 0)
          for (std::uint32_t id = 0; id < 9; ++id)
            for (auto &it : owners)
              it.report(id, owners[0].requests(id) + owners[1].requests(id));
      }
      for (auto &it : owners) {
        BOOST_TEST(it.eventCount(Cause::QueueFull) == 0);
        BOOST_TEST(it.eventCount(Cause::QueueTimeout) == 0);
        BOOST_TEST(it.Waiting.empty());
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

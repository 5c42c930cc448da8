#include "Routing/OverloadControl.h"
#include "UnitTests/Routing/HardLoadModel.h"
#include "UnitTests/Routing/RoutingFixture.h"
#include "UnitTests/Seeds.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace auburnroute;
using namespace std::chrono_literals;
using unittests::HardLoadModel;

namespace {

class ServiceLoad final : public routing::SharedLoad {
public:
  routing::RemoteLoad elsewhere(routing::ServerId,
                                common::TimePoint) const override {
    return {};
  }
  std::optional<routing::ZoneLoad> zoneLoad(routing::NameTable::Id,
                                            routing::NameTable::Id,
                                            common::TimePoint) const override {
    return Load;
  }
  std::optional<routing::ZoneLoad> Load;
};

/// A zone of ten servers, 20 slots, and requests of 100 ms.
struct AdmissionFixture : unittests::RoutingFixture {
  AdmissionFixture() {
    for (std::uint64_t i = 1; i <= 10; ++i)
      add(i);
  }
  void setUtilization(double utilization) {
    Load.Load = routing::ZoneLoad{20 * utilization, 20, 190};
  }
  /// Sends 200 SYNs a second for \p time, of priorities 1 and 2 by turns.
  /// Returns the refused part of each.
  std::pair<double, double> run(std::chrono::milliseconds time,
                                std::uint32_t callers = 50) {
    int refused[2] = {};
    const int n = static_cast<int>(time / 5ms);
    for (int i = 0; i < n; ++i) {
      Clock.advance(5ms);
      auto it = route("orders", Orders);
      it.Objective = 200ms;
      it.Priority = 1 + i % 2;
      const routing::FlowId flow{
          {static_cast<std::uint32_t>(i) / 2 % callers, 1}, Orders};
      refused[i % 2] += !Control.admits(flow, it, Service, Clock.now());
    }
    return {2.0 * refused[0] / n, 2.0 * refused[1] / n};
  }

  routing::NameTable::Id Service = Directory.serviceNames().idOf("orders");
  ServiceLoad Load;
  routing::UsableZones Usable{Directory, Health, nullptr,
                              Directory.zoneNames().idOf("a")};
  routing::OverloadControl Control{Usable, Load, 1};
};

/// Three zones at \p load of their capacity, with admission control.
HardLoadModel runFor3Minutes(std::uint64_t seed, double load) {
  HardLoadModel::Parameters parameters;
  parameters.Seed = seed;
  parameters.Zones.assign(3, {10, 20, load});
  parameters.HasAdmission = true;
  HardLoadModel model(parameters);
  model.run(180s);
  return model;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadControlTest)

// Guards against refusals that nothing calls for.
BOOST_FIXTURE_TEST_CASE(NothingIsRefusedWithoutOverload, AdmissionFixture) {
  const std::pair<double, double> none{0, 0};
  BOOST_TEST((run(3s) == none));
  setUtilization(0.9);
  BOOST_TEST((run(10s) == none));
}

// Guards against refusals of important requests while others are admitted, and
// against routes that are shut out.
BOOST_FIXTURE_TEST_CASE(LowPrioritiesAreRefusedFirst, AdmissionFixture) {
  setUtilization(5);
  const auto early = run(1s);
  BOOST_TEST(early.first < 0.05);
  BOOST_TEST(early.second > 0.3);
  run(20s);
  const auto [first, second] = run(20s);
  BOOST_TEST(first < 0.999);
  BOOST_TEST(second > 0.95);
  BOOST_TEST(second < 0.999);
  BOOST_TEST(Control.refusedCounts()[2] > Control.refusedCounts()[1]);
}

// Guards against refusals that outlast the overload.
BOOST_FIXTURE_TEST_CASE(RefusalsEndWithTheLoad, AdmissionFixture) {
  setUtilization(5);
  run(20s);
  setUtilization(0.8);
  run(300ms);
  BOOST_TEST((run(2s) == std::pair<double, double>(0, 0)));
  setUtilization(5);
  run(20s);
  Load.Load.reset();
  run(300ms);
  BOOST_TEST((run(2s) == std::pair<double, double>(0, 0)));
}

// Guards against one caller that takes the capacity of all.
BOOST_FIXTURE_TEST_CASE(GreedyCallersAreRefusedFirst, AdmissionFixture) {
  setUtilization(4);
  auto it = route("orders", Orders);
  it.Objective = 200ms;
  int refused[2] = {};
  for (int i = 0; i < 400; ++i) {
    Clock.advance(5ms);
    // Every other SYN is of caller 0, the rest of 50 callers.
    const bool isGreedy = i % 2 == 0;
    const routing::FlowId flow{
        {isGreedy ? 0U : static_cast<std::uint32_t>(1 + i / 2 % 50), 1},
        Orders};
    if (!Control.admits(flow, it, Service, Clock.now()))
      ++refused[isGreedy];
  }
  BOOST_TEST(refused[1] > 50);
  BOOST_TEST(refused[0] * 4 < refused[1]);
}

// Guards against overload in which all are late, against refusals beyond the
// excess, and against refusals at 0.9 of the capacity. The loads are reached
// for 3 minutes, since requests on open flows cannot be refused.
BOOST_AUTO_TEST_CASE(ValueInTimeHoldsUnderOverload) {
  using Second = HardLoadModel::Second;
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    const auto run = [seed](double load) { return runFor3Minutes(seed, load); };
    double best = 0;
    double bestInTime = 0;
    for (const double load : {0.7, 0.8, 0.9}) {
      const auto model = run(load);
      best = std::max(best, model.mean(&Second::Value, 60));
      bestInTime = std::max(bestInTime, model.mean(&Second::InTime, 60));
      BOOST_TEST(model.mean(&Second::Lost, 60) <
                 0.002 * load * model.capacity());
    }
    for (const double load : {1.0, 1.3, 2.0}) {
      const auto model = run(load);
      BOOST_TEST_CONTEXT("load " << load) {
        BOOST_TEST(model.mean(&Second::Value, 60) > 0.9 * best);
        // At twice the capacity most requests are on long flows, which do not
        // spread evenly over the servers.
        BOOST_TEST(model.mean(&Second::InTime, 60) >
                   (load < 2 ? 0.9 : 0.85) * bestInTime);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

// The full targets of admission control, at which the model misses them on some
// seeds; see KNOWN-RED.txt.
BOOST_AUTO_TEST_SUITE(OverloadTargetsTest)

// Guards against refusals at 0.9 of the capacity, and against requests in time
// at twice the capacity below 0.9 of the most at lower loads.
BOOST_AUTO_TEST_CASE(NothingIsRefusedBelowAndMostIsServedAboveCapacity) {
  using Second = HardLoadModel::Second;
  for (const auto seed : unittests::seeds({1, 2, 3})) {
    const auto run = [seed](double load) { return runFor3Minutes(seed, load); };
    double best = 0;
    for (const double load : {0.7, 0.8, 0.9}) {
      const auto model = run(load);
      best = std::max(best, model.mean(&Second::InTime, 60));
      BOOST_TEST(model.mean(&Second::Lost, 60) == 0);
    }
    BOOST_TEST(run(2.0).mean(&Second::InTime, 60) > 0.9 * best);
  }
}

BOOST_AUTO_TEST_SUITE_END()

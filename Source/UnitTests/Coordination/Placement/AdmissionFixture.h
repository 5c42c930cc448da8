#pragma once

#include "Common/ManualClock.h"
#include "Coordination/Placement/AdmissionController.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace auburnroute::placement {

/// A controller in zone "sando" with one service "counter", which has a request
/// and a feed listener. Tests change its settings and then call apply().
struct AdmissionFixture {
  static constexpr common::Endpoint RequestAddress{0xC6336401, 7002};
  static constexpr common::Endpoint FeedAddress{0xC6336401, 7001};

  common::ManualClock Clock;
  state::Settings Document;
  AdmissionController Controller{"sando"};
  std::uint32_t Callers = 0;

  AdmissionFixture() {
    Document.Zones = {"sando", "couva"};
    auto &service = Document.Services.emplace_back();
    service.Name = "counter";
    service.Listeners = {{FeedAddress, state::ListenerKind::Feed, 9001},
                         {RequestAddress, state::ListenerKind::Request, 9002}};
    service.PolicyByZone.resize(2);
  }

  state::Service &counter() { return Document.Services[0]; }
  state::ServicePolicy &policy() { return counter().PolicyByZone[0]; }
  state::BackendServer &addServer(std::uint32_t slots = 2,
                                  const std::string &zone = "sando") {
    const auto n =
        static_cast<std::uint16_t>(counter().BackendServers.size() + 1);
    auto &it = counter().BackendServers.emplace_back();
    it.Name = "counter-" + std::to_string(n);
    it.Number = n;
    it.Zone = zone;
    it.Address = 0xC0000200 + n;
    it.Slots = slots;
    return it;
  }
  void addServers(unsigned n, std::uint32_t slots = 2,
                  const std::string &zone = "sando") {
    for (unsigned i = 0; i < n; ++i)
      addServer(slots, zone);
  }
  void apply() {
    ++Document.Revision;
    auto settings = std::make_shared<state::Settings>(Document);
    auto table = std::make_shared<state::ServiceTable>(*settings, "sando");
    Controller.onSettings(Clock.now(), settings, table);
  }

  forwarding::FlowKey newKey(common::Endpoint address = RequestAddress) {
    ++Callers;
    return {{0xCB007100 + Callers / 60000,
             static_cast<std::uint16_t>(Callers % 60000 + 1024)},
            address};
  }
  AdmissionDecision syn(const forwarding::FlowKey &key) {
    return Controller.onSyn(Clock.now(), key);
  }
  AdmissionDecision syn() { return syn(newKey()); }
  /// The number of the server that \p decision places on, 0 if it does not.
  static int numberOf(const AdmissionDecision &decision) {
    const auto *it = std::get_if<Place>(&decision);
    return it == nullptr ? 0 : it->Number;
  }
  static state::Cause causeOf(const AdmissionDecision &decision) {
    const auto *it = std::get_if<RefuseFlow>(&decision);
    return it == nullptr ? state::Cause::None : it->Why;
  }
  static bool isHeld(const AdmissionDecision &decision) {
    return std::holds_alternative<Hold>(decision);
  }
  void finish(const forwarding::FlowKey &key,
              FinishKind kind = FinishKind::Ended) {
    Controller.onFinish(Clock.now(), key, kind);
  }
  std::vector<ReleasedFlow> poll() { return Controller.poll(Clock.now()); }
  void report(std::uint32_t id, std::uint32_t busy,
              std::uint32_t connections = 0) {
    health::LoadReport it;
    it.Service = "counter";
    it.Busy = busy;
    it.Connections = connections;
    Controller.onLoadReport(Clock.now(), id, it);
  }
  std::uint32_t requests(std::uint32_t id) const {
    return Controller.outstanding(id, state::ListenerKind::Request);
  }
  std::uint32_t feeds(std::uint32_t id) const {
    return Controller.outstanding(id, state::ListenerKind::Feed);
  }
  health::HealthState health(std::uint32_t id) const {
    return Controller.health(Clock.now(), id);
  }
  /// Number of events with cause \p why since the last call, which discards all
  /// others.
  std::uint64_t eventCount(state::Cause why) {
    std::uint64_t count = 0;
    for (const auto &it : Controller.takeEvents())
      count += it.Why == why ? it.Count : 0;
    return count;
  }
};

} // namespace auburnroute::placement

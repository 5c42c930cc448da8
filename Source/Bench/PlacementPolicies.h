#pragma once

#include "Bench/QueueingModel.h"
#include "Coordination/Placement/AdmissionController.h"

#include <memory>
#include <unordered_map>

namespace auburnroute::bench {

/// Each host cycles through the servers.
class RoundRobinPolicy final : public PlacementPolicy {
public:
  void onStart(QueueingModel &model) override {
    for (unsigned i = 0; i < model.scenario().Hosts; ++i)
      NextServer.push_back(static_cast<unsigned>(model.random()()));
  }
  void onSyn(QueueingModel &model, std::uint32_t request) override {
    const auto first = model.firstServer();
    const auto turn = NextServer[model.request(request).Host]++;
    model.place(request, first + turn % (model.scenario().Servers - first));
  }

private:
  std::vector<unsigned> NextServer; ///< By host.
};

/// Each host picks the server with the fewest open requests of its own and
/// breaks ties round-robin.
class LeastOutstandingPolicy final : public PlacementPolicy {
public:
  void onStart(QueueingModel &model) override {
    const auto &it = model.scenario();
    OpenRequests.assign(it.Hosts, std::vector<unsigned>(it.Servers, 0));
    for (unsigned i = 0; i < it.Hosts; ++i)
      NextServer.push_back(
          static_cast<unsigned>(model.random()() % it.Servers));
  }
  void onSyn(QueueingModel &model, std::uint32_t request) override {
    const auto host = model.request(request).Host;
    const auto servers = model.scenario().Servers;
    unsigned best = servers;
    for (unsigned n = 0; n < servers; ++n) {
      const auto i = (NextServer[host] + n) % servers;
      if (i >= model.firstServer() &&
          (best == servers || OpenRequests[host][i] < OpenRequests[host][best]))
        best = i;
    }
    NextServer[host] = best + 1;
    ++OpenRequests[host][best];
    model.place(request, best);
  }
  void onEnd(QueueingModel &model, std::uint32_t request, unsigned server,
             bool) override {
    --OpenRequests[model.request(request).Host][server];
  }

private:
  std::vector<std::vector<unsigned>> OpenRequests; ///< By host and server.
  std::vector<unsigned> NextServer;                ///< By host.
};

/// Picks the one of two random servers that reported the lower load.
class TwoChoicesPolicy final : public PlacementPolicy {
public:
  void onStart(QueueingModel &model) override {
    Load.assign(model.scenario().Servers, 0);
  }
  void onSyn(QueueingModel &model, std::uint32_t request) override {
    std::uniform_int_distribution<unsigned> pick(model.firstServer(),
                                                 model.scenario().Servers - 1);
    const auto a = pick(model.random());
    const auto b = pick(model.random());
    model.place(request, Load[a] <= Load[b] ? a : b);
  }
  void onReport(QueueingModel &, unsigned server,
                const ReportedLoad &load) override {
    Load[server] = load.Busy + load.Queued;
  }

private:
  std::vector<unsigned> Load; ///< By server, as reported.
};

/// Uses the daemon's AdmissionController and delays SYNs and finished flows by
/// the time that they take to reach the admission owner.
class AdmissionOwnerPolicy final : public PlacementPolicy {
public:
  static constexpr nanoseconds HandOverDelay = std::chrono::microseconds(300);
  static constexpr nanoseconds PollInterval = milliseconds(10);

  void onStart(QueueingModel &model) override {
    applySettings(model, model.scenario().HasColdServer ? 1 : 0);
    schedulePoll(model);
  }
  void onSyn(QueueingModel &model, std::uint32_t request) override {
    model.schedule(model.time() + HandOverDelay, [this, &model, request] {
      // A caller retries from a new port.
      const forwarding::FlowKey key = keyOf(NextKey++);
      RequestOf[key.Caller.key()] = request;
      applyDecision(model, key, Controller.onSyn(model.now(), key));
      applyPolledDecisions(model);
    });
  }
  void onEnd(QueueingModel &model, std::uint32_t request, unsigned,
             bool refused) override {
    const auto key = KeyOfRequest.at(request);
    model.schedule(model.time() + HandOverDelay, [this, &model, key, refused] {
      Controller.onFinish(model.now(), key,
                          refused ? placement::FinishKind::SynRefused
                                  : placement::FinishKind::Ended);
      applyPolledDecisions(model);
    });
  }
  void onReport(QueueingModel &model, unsigned server,
                const ReportedLoad &load) override {
    health::LoadReport report;
    report.Service = "service";
    report.Slots = model.scenario().Slots;
    report.Busy = load.Busy;
    report.Queued = load.Queued;
    report.Connections = load.Busy + load.Queued;
    Controller.onLoadReport(model.now(), server - FirstServer, report);
    applyPolledDecisions(model);
  }
  void onServerJoined(QueueingModel &model) override {
    applySettings(model, 0);
  }

private:
  static constexpr common::Endpoint Address{0xC6336401, 7002};

  static forwarding::FlowKey keyOf(std::uint32_t n) {
    return {
        {0xCB007100 + n / 60000, static_cast<std::uint16_t>(1024 + n % 60000)},
        Address};
  }

  void applySettings(QueueingModel &model, unsigned firstServer) {
    FirstServer = firstServer;
    auto settings = std::make_shared<state::Settings>();
    settings->Revision = ++Revision;
    settings->Zones = {"zone"};
    auto &service = settings->Services.emplace_back();
    service.Name = "service";
    service.Listeners = {{Address, state::ListenerKind::Request, 9002}};
    service.PolicyByZone.resize(1);
    service.PolicyByZone[0].QueueTimeout = model.scenario().QueueTimeout;
    service.PolicyByZone[0].QueueLimit = model.scenario().QueueLimit;
    for (auto i = firstServer; i < model.scenario().Servers; ++i) {
      auto &server = service.BackendServers.emplace_back();
      server.Name = "server-" + std::to_string(i + 1);
      server.Number = static_cast<std::uint16_t>(i + 1);
      server.Zone = "zone";
      server.Address = 0xC0000201 + i;
      server.Slots = model.scenario().Slots;
    }
    auto table = std::make_shared<state::ServiceTable>(*settings, "zone");
    Controller.onSettings(model.now(), settings, table);
  }

  void schedulePoll(QueueingModel &model) {
    model.schedule(model.time() + PollInterval, [this, &model] {
      applyPolledDecisions(model);
      schedulePoll(model);
    });
  }

  void applyPolledDecisions(QueueingModel &model) {
    for (const auto &it : Controller.poll(model.now()))
      applyDecision(model, it.Key, it.Decision);
  }

  void applyDecision(QueueingModel &model, const forwarding::FlowKey &key,
                     const placement::AdmissionDecision &decision) {
    const auto request = RequestOf.at(key.Caller.key());
    if (const auto *to = std::get_if<placement::Place>(&decision)) {
      KeyOfRequest[request] = key;
      model.place(request, to->Number - 1U);
    } else if (std::holds_alternative<placement::RefuseFlow>(decision)) {
      model.refuse(request);
    }
  }

  placement::AdmissionController Controller{"zone"};
  unsigned FirstServer = 0;
  std::uint64_t Revision = 0;
  std::uint32_t NextKey = 0;
  std::unordered_map<std::uint64_t, std::uint32_t> RequestOf;
  std::unordered_map<std::uint32_t, forwarding::FlowKey> KeyOfRequest;
};

} // namespace auburnroute::bench

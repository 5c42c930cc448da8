#pragma once

#include "Common/Clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace auburnroute::bench {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// Servers, load and faults of a run.
struct Scenario {
  std::string Name;
  unsigned Servers = 15;
  unsigned Slots = 2;
  unsigned Hosts = 8;
  milliseconds QueueTimeout{600};
  unsigned QueueLimit = 768; ///< Half a second of arrivals at peak load.
  /// Round-trip time between caller and server: from the placed SYN to the
  /// arrival of the request.
  milliseconds Handshake{0};
  double PeakLoad = 0.9; ///< Peak demand as a fraction of the capacity.
  seconds ReportLag{0};
  bool MisreportsLoad = false; ///< Server 0 always reports idle, server 1 busy.
  /// Server 0 joins at the beginning of the peak and is 5 times slower than
  /// usual for 10 s.
  bool HasColdServer = false;
  bool ShedsLoad = false; ///< Server 0 resets each SYN during the peak.
};

/// A request of a caller, with all its attempts.
struct Request {
  nanoseconds FirstSynAt{0}; ///< Arrival of the first SYN at a host.
  nanoseconds ServiceTime{0};
  bool IsStraggler = false;
  unsigned Host = 0;
  unsigned Tries = 0;
  nanoseconds StartedAt{-1}; ///< -1 if no server started it.
  nanoseconds EndedAt{-1};
};

/// Content of a load report.
struct ReportedLoad {
  unsigned Busy = 0;
  unsigned Queued = 0;
};

/// Results of a run.
struct RunResult {
  /// Time in ms from the first SYN to the start of service, for the requests of
  /// the peak that are not stragglers.
  double WaitP50 = 0;
  double WaitP99 = 0;   ///< ms
  double WaitWorst = 0; ///< ms
  double Unserved = 0;  ///< Share of these that no server started, %.
  double Imbalance = 0; ///< Peak to mean of the servers' busy time.
  double Goodput = 0;   ///< Completed within Deadline, per second.
  double Completed = 0; ///< Completed at any time, per second.
  double Refusals = 0;  ///< Resets per request, %.
  double Retries = 0;   ///< Repeated attempts per request, %.
};

class QueueingModel;

/// A policy that chooses servers for requests.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  virtual void onStart(QueueingModel &) {}
  /// A SYN reached the request's host.
  virtual void onSyn(QueueingModel &model, std::uint32_t request) = 0;
  /// The server completed the request, or refused its SYN if the last argument
  /// is true.
  virtual void onEnd(QueueingModel &, std::uint32_t, unsigned, bool) {}
  virtual void onReport(QueueingModel &, unsigned, const ReportedLoad &) {}
  /// Server 0 joined the pool.
  virtual void onServerJoined(QueueingModel &) {}
};

/// Event-driven model of callers, hosts and servers in virtual time.
///
/// Each server processes as many requests at once as it has slots and queues
/// the others in the order of arrival. Callers retry after a reset. The network
/// adds no delay except for the handshake, which is the same for all policies.
class QueueingModel {
public:
  static constexpr nanoseconds PeakBegin = seconds(7);
  static constexpr nanoseconds PeakEnd = seconds(37);
  static constexpr nanoseconds LastArrival = seconds(45);
  static constexpr nanoseconds Ramp = seconds(2);
  /// No event runs after this time.
  static constexpr nanoseconds End = seconds(90);
  /// A response that takes longer doesn't count as goodput.
  static constexpr nanoseconds Deadline = seconds(2);
  static constexpr unsigned MaxTries = 5;
  static constexpr double PeakToBaseRatio = 5;
  static constexpr double StragglerShare = 0.02;
  static constexpr double StragglerFactor = 50;

  QueueingModel(const Scenario &scenario, std::uint64_t seed)
      : Parameters(scenario), Random(seed), Pool(scenario.Servers) {
    drawArrivals();
  }

  RunResult run(PlacementPolicy &policy) {
    Policy = &policy;
    policy.onStart(*this);
    for (std::uint32_t i = 0; i < Requests.size(); ++i)
      schedule(Requests[i].FirstSynAt, [this, i] { sendSyn(i); });
    for (unsigned i = 0; i < Pool.size(); ++i)
      report(i, milliseconds(std::size_t{1000} * (i + 1) / Pool.size()));
    if (Parameters.HasColdServer)
      schedule(PeakBegin, [this] { Policy->onServerJoined(*this); });
    while (!Events.empty()) {
      const auto event = Events.top();
      Events.pop();
      Time = event.At;
      event.Action();
    }
    return result();
  }

  const Scenario &scenario() const { return Parameters; }
  nanoseconds time() const { return Time; }
  common::TimePoint now() const {
    return common::TimePoint(std::chrono::hours(1)) + Time;
  }
  const Request &request(std::uint32_t id) const { return Requests[id]; }
  std::mt19937_64 &random() { return Random; }
  /// Returns the index of the first server that policies may use: 1 as long as
  /// server 0 has not joined, otherwise 0.
  unsigned firstServer() const {
    return Parameters.HasColdServer && Time < PeakBegin ? 1 : 0;
  }

  void schedule(nanoseconds time, std::function<void()> action) {
    if (time < End)
      Events.push({time, Sequence++, std::move(action)});
  }

  /// Delivers the request's SYN to \p server.
  void place(std::uint32_t id, unsigned server) {
    if (server == 0 && Parameters.ShedsLoad && isDuringPeak(Time)) {
      Policy->onEnd(*this, id, server, true);
      refuse(id);
      return;
    }
    schedule(Time + Parameters.Handshake,
             [this, id, server] { acceptRequest(id, server); });
  }

  /// Answers the SYN with a reset. The caller retries with exponential backoff,
  /// up to MaxTries attempts.
  void refuse(std::uint32_t id) {
    ++Resets;
    auto &it = Requests[id];
    if (it.Tries >= MaxTries)
      return;
    const double base = 50e6 * static_cast<double>(1U << (it.Tries - 1));
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    schedule(Time +
                 nanoseconds(static_cast<std::int64_t>(base * jitter(Random))),
             [this, id] { sendSyn(id); });
  }

private:
  struct Server {
    unsigned Busy = 0;
    std::deque<std::uint32_t> Queue;
    nanoseconds BusyTime{0};
  };
  struct Event {
    nanoseconds At;
    std::uint64_t Sequence;
    std::function<void()> Action;
    bool operator<(const Event &other) const {
      return std::pair(At, Sequence) > std::pair(other.At, other.Sequence);
    }
  };

  static bool isDuringPeak(nanoseconds time) {
    return time >= PeakBegin && time < PeakEnd;
  }

  /// Returns the arrival rate in requests per second.
  double arrivalRateAt(nanoseconds time) const {
    const double mean =
        0.010 * (1 - StragglerShare + StragglerShare * StragglerFactor);
    const double peak =
        Parameters.PeakLoad * Parameters.Servers * Parameters.Slots / mean;
    const double low = peak / PeakToBaseRatio;
    const auto ramp = [&](nanoseconds since) {
      const double part = std::chrono::duration<double>(since) /
                          std::chrono::duration<double>(Ramp);
      return low + (peak - low) * std::clamp(part, 0.0, 1.0);
    };
    return time < PeakEnd ? ramp(time - (PeakBegin - Ramp))
                          : ramp(PeakEnd + Ramp - time);
  }

  void drawArrivals() {
    const double peak = arrivalRateAt(PeakBegin);
    std::exponential_distribution<double> gap(peak);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::uniform_int_distribution<unsigned> host(0, Parameters.Hosts - 1);
    nanoseconds time{0};
    while (true) {
      time += nanoseconds(static_cast<std::int64_t>(gap(Random) * 1e9));
      if (time >= LastArrival)
        return;
      if (uniform(Random) > arrivalRateAt(time) / peak)
        continue;
      Request it;
      it.FirstSynAt = time;
      it.IsStraggler = uniform(Random) < StragglerShare;
      const double service = (5e6 + 10e6 * uniform(Random)) *
                             (it.IsStraggler ? StragglerFactor : 1);
      it.ServiceTime = nanoseconds(static_cast<std::int64_t>(service));
      it.Host = host(Random);
      Requests.push_back(it);
    }
  }

  void sendSyn(std::uint32_t id) {
    ++Requests[id].Tries;
    ++Tries;
    Policy->onSyn(*this, id);
  }

  void acceptRequest(std::uint32_t id, unsigned server) {
    auto &it = Pool[server];
    if (it.Busy < Parameters.Slots)
      startRequest(id, server);
    else
      it.Queue.push_back(id);
  }

  void startRequest(std::uint32_t id, unsigned server) {
    ++Pool[server].Busy;
    Requests[id].StartedAt = Time;
    const bool cold = Parameters.HasColdServer && server == 0 &&
                      Time < PeakBegin + nanoseconds(seconds(10));
    const auto duration = Requests[id].ServiceTime * (cold ? 5 : 1);
    Pool[server].BusyTime += duration;
    schedule(Time + duration,
             [this, id, server] { finishRequest(id, server); });
  }

  void finishRequest(std::uint32_t id, unsigned server) {
    Requests[id].EndedAt = Time;
    auto &it = Pool[server];
    --it.Busy;
    if (!it.Queue.empty()) {
      const auto next = it.Queue.front();
      it.Queue.pop_front();
      startRequest(next, server);
    }
    Policy->onEnd(*this, id, server, false);
  }

  ReportedLoad loadOf(unsigned server) const {
    if (Parameters.MisreportsLoad && server == 0)
      return {0, 0};
    if (Parameters.MisreportsLoad && server == 1)
      return {Parameters.Slots, 10};
    return {Pool[server].Busy,
            static_cast<unsigned>(Pool[server].Queue.size())};
  }

  void report(unsigned server, nanoseconds time) {
    if (time > LastArrival + nanoseconds(seconds(15)))
      return;
    schedule(time, [this, server, time] {
      const auto load = loadOf(server);
      const bool joined = server >= firstServer();
      schedule(Time + Parameters.ReportLag, [this, server, load, joined] {
        if (joined)
          Policy->onReport(*this, server, load);
      });
      report(server, time + seconds(1));
    });
  }

  RunResult result() const {
    RunResult it;
    std::vector<double> waits;
    double unserved = 0;
    for (const auto &request : Requests) {
      const bool ended = request.EndedAt >= nanoseconds(0);
      it.Completed += ended;
      it.Goodput += ended && request.EndedAt - request.FirstSynAt <= Deadline;
      if (request.IsStraggler || !isDuringPeak(request.FirstSynAt))
        continue;
      if (request.StartedAt < nanoseconds(0)) {
        ++unserved;
        continue;
      }
      const auto wait = request.StartedAt - request.FirstSynAt;
      waits.push_back(std::chrono::duration<double, std::milli>(wait).count());
    }
    std::sort(waits.begin(), waits.end());
    const auto rank = [&](double share) {
      return waits[static_cast<std::size_t>(
          share * static_cast<double>(waits.size() - 1))];
    };
    it.WaitP50 = rank(0.5);
    it.WaitP99 = rank(0.99);
    it.WaitWorst = waits.back();
    it.Unserved =
        100 * unserved / (unserved + static_cast<double>(waits.size()));
    nanoseconds peak{0};
    nanoseconds sum{0};
    for (const auto &server : Pool) {
      peak = std::max(peak, server.BusyTime);
      sum += server.BusyTime;
    }
    it.Imbalance = static_cast<double>(peak.count()) *
                   static_cast<double>(Pool.size()) /
                   static_cast<double>(sum.count());
    const double length = std::chrono::duration<double>(LastArrival).count();
    const auto first = static_cast<double>(Requests.size());
    it.Goodput /= length;
    it.Completed /= length;
    it.Refusals = 100 * static_cast<double>(Resets) / first;
    it.Retries = 100 * (static_cast<double>(Tries) - first) / first;
    return it;
  }

  Scenario Parameters;
  std::mt19937_64 Random;
  std::vector<Server> Pool;
  std::vector<Request> Requests;
  std::priority_queue<Event> Events;
  std::uint64_t Sequence = 0;
  nanoseconds Time{0};
  PlacementPolicy *Policy = nullptr;
  std::uint64_t Tries = 0;
  std::uint64_t Resets = 0;
};

} // namespace auburnroute::bench

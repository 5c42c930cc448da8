#pragma once

#include "Routing/OverloadControl.h"
#include "Routing/ZoneBalancer.h"

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace auburnroute::unittests {

/// A closed loop on a virtual clock: callers, hosts with a balancer and an
/// admission control each, and servers with two slots and eight places in the
/// queue, which answer 503 when these are taken. A host chooses the zone by its
/// balancer and the less busy of two servers there. All hosts see the loads of
/// the last second, one second late.
class HardLoadModel {
public:
  using Seconds = std::chrono::duration<double>;

  struct Zone {
    unsigned Hosts = 10;
    unsigned Servers = 20;
    double Load = 0.5; ///< Requests, as a part of what its servers process.
  };
  struct Parameters {
    std::vector<Zone> Zones{3};
    Seconds ServiceTime{0.15};
    Seconds Objective{0.4};
    Seconds Timeout{2.5};
    Seconds LoadDelay{1};
    /// Part of the requests on flows that carry 0.3 requests a second for 30 s
    /// on average; each of the others has a flow of its own.
    double LongShare = 2.0 / 3;
    double Swing = 0;        ///< Amplitude of the waves of each zone's load.
    Seconds SwingPeriod{30}; ///< The zones are out of phase.
    bool HasAdmission = false;
    bool HasBalancer = true;
    std::uint64_t Seed = 1;
  };
  /// Sums over one second.
  struct Second {
    double Value = 0; ///< 1 for a request in time, 0.3 for a late one.
    unsigned InTime = 0;
    unsigned Late = 0;
    unsigned Rejected = 0;              ///< Answers with status 503.
    unsigned Lost = 0;                  ///< Requests whose callers gave up.
    unsigned Refused = 0;               ///< SYNs, by admission.
    std::vector<unsigned> Placed{};     ///< Flows, by zone of the server.
    std::vector<double> Wait{};         ///< Sum by zone of the server, s.
    std::vector<unsigned> Started{};    ///< Requests, by zone of the server.
    std::vector<double> LeavingShare{}; ///< Mean of the hosts, by zone.
  };

  explicit HardLoadModel(Parameters parameters);

  void run(Seconds duration);
  void evacuate(unsigned zone, bool active);
  /// Cuts off \p zone: others do not learn its load and suspect its servers.
  void partition(unsigned zone, bool active) { CutOff[zone] = active; }
  /// Scales the load of \p zone.
  void setLoad(unsigned zone, double load) { Params.Zones[zone].Load = load; }
  const std::vector<Second> &seconds() const { return History; }
  /// Mean wait in \p zone over the last \p n seconds.
  Seconds meanWait(unsigned zone, unsigned n) const;
  /// Mean and range of the share that leaves \p zone in the last \p n seconds.
  double meanShare(unsigned zone, unsigned n) const;
  double shareRange(unsigned zone, unsigned n) const;
  /// Mean of \p member a second, over the last \p n seconds.
  template <typename T> double mean(T Second::*member, unsigned n) const {
    double sum = 0;
    for (auto i = History.size() - n; i < History.size(); ++i)
      sum += static_cast<double>(History[i].*member);
    return sum / n;
  }
  /// Requests a second that all servers process.
  double capacity() const;

private:
  static constexpr unsigned Slots = 2;
  static constexpr unsigned QueuePlaces = 8;
  static constexpr unsigned MaxTries = 3;
  static constexpr unsigned Callers = 2000; ///< Addresses in each zone.
  static constexpr double RequestsPerLongFlow = 0.3; ///< A second.

  struct Request {
    unsigned Zone = 0;
    Seconds StartedAt{0};
    Seconds QueuedAt{0};
    unsigned Tries = 0;
    int LongCaller = -1; ///< Index, or -1 with a flow of its own.
  };
  struct Server {
    unsigned Zone = 0;
    unsigned Running = 0;
    std::deque<Request> Queue;
    unsigned OpenFlows = 0; ///< Long ones.
    unsigned outstanding() const {
      return Running + static_cast<unsigned>(Queue.size());
    }
    /// With the weights of the placement.
    double load() const { return outstanding() + 0.02 * OpenFlows; }
  };
  struct LongCaller {
    int Server = -1; ///< Of its flow.
    Seconds FlowEnd{0};
  };
  /// The loads that a zone's hosts see.
  class View final : public routing::SharedLoad {
  public:
    routing::RemoteLoad elsewhere(routing::ServerId,
                                  common::TimePoint) const override {
      return {};
    }
    std::optional<routing::ZoneLoad>
    zoneLoad(routing::NameTable::Id, routing::NameTable::Id zone,
             common::TimePoint) const override {
      return zone < Loads.size() ? Loads[zone] : std::nullopt;
    }
    std::vector<std::optional<routing::ZoneLoad>> Loads;
  };
  struct Host {
    std::unique_ptr<routing::ZoneBalancer> Balancer;
    std::unique_ptr<routing::OverloadControl> Admission;
  };
  struct HostZone {
    View Loads;
    routing::ServerHealthTracker Health;
    std::unique_ptr<routing::UsableZones> Usable;
    std::vector<Host> Hosts;
    std::vector<LongCaller> LongCallers;
  };
  struct Event {
    Seconds At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &other) const {
      return std::tie(other.At, other.Order) < std::tie(At, Order);
    }
  };

  common::TimePoint now() const {
    return common::TimePoint() + std::chrono::hours(1) +
           std::chrono::duration_cast<common::TimePoint::duration>(Now);
  }
  double random(double limit = 1) {
    return std::uniform_real_distribution<>(0, limit)(Random);
  }
  Seconds randomTime(Seconds mean) {
    return Seconds(std::exponential_distribution<>(1 / mean.count())(Random));
  }
  void after(Seconds delay, std::function<void()> run) {
    Events.push({Now + delay, ++EventCount, std::move(run)});
  }
  void arrive(unsigned zone);
  void attempt(Request request);
  void retry(Request request);
  void send(Request request, unsigned server);
  void start(unsigned server, const Request &request);
  void finish(unsigned server, const Request &request);
  void open(LongCaller &caller, unsigned server);
  std::optional<unsigned> place(const Request &request, Host &host);
  void addArea();
  void sample();

  Parameters Params;
  routing::ServerDirectory Directory{std::chrono::seconds(60)};
  routing::ZoneEvacuations Evacuations;
  routing::ZoneDelays Delays;
  routing::Route Route;
  routing::NameTable::Id Service = 0;
  std::vector<bool> CutOff;
  std::vector<std::unique_ptr<HostZone>> Zones;
  std::vector<Server> Servers;
  std::priority_queue<Event> Events;
  std::uint64_t EventCount = 0;
  std::uint64_t Revision = 0;
  Seconds Now{0};
  std::mt19937_64 Random;
  std::vector<double> Area; ///< Outstanding requests x s, by zone.
  std::vector<unsigned> Outstanding;
  std::vector<unsigned> Sent;
  Seconds AreaAt{0};
  Second Current;
  std::vector<Second> History;
};

} // namespace auburnroute::unittests

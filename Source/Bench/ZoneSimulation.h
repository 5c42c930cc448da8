#pragma once

#include "Coordination/Distribution/SettingsFollower.h"
#include "Coordination/Membership/Membership.h"

#include "absl/strings/str_cat.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace auburnroute::bench {

/// Loss and delay of messages in a ZoneSimulation.
struct NetworkOptions {
  double LossShare = 0; ///< 0 to 1.
  std::chrono::microseconds MinDelay{500};
  std::chrono::microseconds MaxDelay{2000};
};

/// Simulates the hosts of one zone in virtual time, with a network that loses
/// and delays messages and can be partitioned. All random choices derive from
/// one seed. Used by tests and by ControlBench.
class ZoneSimulation {
public:
  using TimePoint = common::TimePoint;
  using Nanoseconds = std::chrono::nanoseconds;

  struct Node {
    std::string Name;
    std::unique_ptr<membership::Membership> Members;
    std::unique_ptr<distribution::SettingsFollower> Follower;
    std::uint32_t StartCount = 0; ///< Number of starts; 0 if it never ran.
    int PartitionId = 0;          ///< Only hosts with equal ids are connected.
    bool Running = false;
    TimePoint PausedUntil;
    std::vector<membership::HostTransition> Transitions;
    messages::SettingsStamp HighestStamp;
    /// Whether an older revision replaced a newer one.
    bool HasRevertedSettings = false;
  };

  ZoneSimulation(std::size_t hosts, std::uint64_t seed,
                 NetworkOptions network = {})
      : Network(network), Random(seed) {
    for (std::size_t i = 0; i < hosts; ++i) {
      Nodes.emplace_back();
      auto name = std::to_string(i);
      Nodes.back().Name = "host-" + std::string(4 - name.size(), '0') + name;
    }
  }

  std::vector<Node> Nodes;
  NetworkOptions Network;
  TimePoint Now{std::chrono::hours(1)};
  /// Called with the sender and each message that it sends, lost ones too.
  std::function<void(std::size_t, const messages::PeerMessage &)> OnSend;
  /// Services that the hosts know. Set it before start().
  std::vector<std::string> Services;
  /// Options of hosts that are started from now on.
  membership::MembershipOptions Options;

  common::Endpoint peerEndpointOf(std::size_t i) const {
    return {0x7F000001, static_cast<std::uint16_t>(20000 + i)};
  }

  /// Starts a host, or restarts it with a new incarnation.
  void start(std::size_t i) {
    auto &node = Nodes[i];
    node.Running = true;
    ++node.StartCount;
    node.PausedUntil = Now;
    node.HighestStamp = {};
    node.Transitions.clear();
    node.Members = std::make_unique<membership::Membership>(
        Now,
        membership::HostIdentity{
            node.Name, "zone", {{}, {}, peerEndpointOf(i), {}}, incarnation()},
        Options);
    node.Members->setServices(Services);
    node.Follower = std::make_unique<distribution::SettingsFollower>();
    schedule(Now + randomDelay(Nanoseconds(0), TickInterval), i, std::nullopt);
  }

  /// Ends a host without a leave message.
  void kill(std::size_t i) { Nodes[i].Running = false; }

  /// Suspends a host for \p length; messages to it are delivered afterwards.
  void pause(std::size_t i, Nanoseconds length) {
    Nodes[i].PausedUntil = Now + length;
  }

  /// Lets host \p i probe host \p about, as it does when packets suggest that
  /// the host admits no flows.
  void requestProbe(std::size_t i, std::size_t about) {
    for (auto &it : Nodes[i].Members->requestProbe(Now, Nodes[about].Name))
      send(i, it.To, std::move(it.Message));
  }

  /// Delivers the platform's host list with \p hosts to host \p to.
  void list(std::size_t to, const std::vector<std::size_t> &hosts) {
    messages::HostList list;
    for (const auto i : hosts)
      list.Hosts.push_back(
          {Nodes[i].Name, "zone", false, {{}, {}, peerEndpointOf(i), {}}});
    Nodes[to].Members->onHostList(Now, list);
  }

  /// Starts all hosts and delivers a complete host list to each.
  void startAll() {
    std::vector<std::size_t> all(Nodes.size());
    for (std::size_t i = 0; i < all.size(); ++i)
      all[i] = i;
    for (const auto i : all)
      start(i);
    for (const auto i : all)
      list(i, all);
  }

  /// Delivers a settings document from the platform to a host.
  distribution::SettingsUpdateOutcome publish(std::size_t to,
                                              std::string_view text) {
    const auto outcome = Nodes[to].Follower->onPlatformDocument(text);
    recordSettings(Nodes[to]);
    return outcome;
  }

  void run(Nanoseconds length) {
    const auto end = Now + length;
    while (!Events.empty() && Events.top().At <= end) {
      auto event = Events.top();
      Events.pop();
      Now = event.At;
      handle(event);
    }
    Now = end;
  }

  /// Runs until \p done returns true, at most for \p limit. Returns the time
  /// that passed. \p done is checked every 10 ms.
  template <std::invocable Done>
  Nanoseconds runUntil(Done done, Nanoseconds limit) {
    const auto begin = Now;
    while (!done() && Now - begin < limit)
      run(std::chrono::milliseconds(10));
    return Now - begin;
  }

  bool isAwake(const Node &node) const {
    return node.Running && node.PausedUntil <= Now;
  }

  /// Returns whether all running hosts have these settings in force.
  bool allHaveSettings(messages::SettingsStamp stamp) const {
    for (const auto &it : Nodes)
      if (it.Running && it.Follower->stamp() != stamp)
        return false;
    return true;
  }

  /// Returns whether each running host sees exactly the running hosts as live.
  bool allHostsLive() const {
    for (const auto &node : Nodes) {
      if (!node.Running)
        continue;
      for (const auto &other : Nodes) {
        const auto *host = node.Members->hosts().find(other.Name);
        const bool live =
            host != nullptr && host->State == state::HostState::Live;
        if (live != other.Running)
          return false;
      }
    }
    return true;
  }

private:
  // The tick interval of the daemon's control loop.
  static constexpr Nanoseconds TickInterval = std::chrono::milliseconds(50);

  struct Event {
    TimePoint At;
    std::uint64_t Order = 0;
    std::size_t To = 0;
    std::uint32_t StartCount = 0;
    std::shared_ptr<const messages::PeerMessage> Message; ///< Null for a tick.

    bool operator>(const Event &other) const {
      return std::pair(At, Order) > std::pair(other.At, other.Order);
    }
  };

  std::uint64_t incarnation() const {
    return static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   Now.time_since_epoch())
                   .count()) +
           // A present-day time, since the encoded size depends on the value.
           1'750'000'000'000;
  }

  Nanoseconds randomDelay(Nanoseconds from, Nanoseconds to) {
    return Nanoseconds(std::uniform_int_distribution<std::int64_t>(
        from.count(), to.count())(Random));
  }

  void schedule(TimePoint at, std::size_t to,
                std::optional<messages::PeerMessage> message) {
    Events.push({at, ++Order, to, Nodes[to].StartCount,
                 message ? std::make_shared<const messages::PeerMessage>(
                               std::move(*message))
                         : nullptr});
  }

  void send(std::size_t from, common::Endpoint to,
            messages::PeerMessage message) {
    if (OnSend)
      OnSend(from, message);
    const auto target =
        static_cast<std::size_t>(to.Port - peerEndpointOf(0).Port);
    const bool lost = std::uniform_real_distribution<double>(0, 1)(Random) <
                      Network.LossShare;
    const auto delay = randomDelay(Network.MinDelay, Network.MaxDelay);
    if (!lost && target < Nodes.size() && Nodes[target].Running &&
        Nodes[target].PartitionId == Nodes[from].PartitionId)
      schedule(Now + delay, target, std::move(message));
  }

  void request(std::size_t from,
               std::optional<distribution::AddressedRequest> request) {
    if (!request)
      return;
    auto &members = *Nodes[from].Members;
    if (const auto to = members.peerEndpoint(request->Peer))
      send(from, *to, members.makeMessage(request->Request));
  }

  void handle(const Event &event) {
    auto &node = Nodes[event.To];
    if (!node.Running || node.StartCount != event.StartCount)
      return;
    if (node.PausedUntil > Now) {
      auto later = event;
      later.At = node.PausedUntil;
      later.Order = ++Order;
      Events.push(std::move(later));
      return;
    }
    if (event.Message)
      deliver(event.To, *event.Message);
    else
      tick(event.To);
    const auto transitions = node.Members->takeTransitions();
    node.Transitions.insert(node.Transitions.end(), transitions.begin(),
                            transitions.end());
  }

  void tick(std::size_t i) {
    auto &node = Nodes[i];
    for (auto &it : node.Members->onTick(Now))
      send(i, it.To, std::move(it.Message));
    request(i, node.Follower->onTick(Now));
    schedule(Now + TickInterval, i, std::nullopt);
  }

  void deliver(std::size_t i, const messages::PeerMessage &message) {
    auto &node = Nodes[i];
    if (const auto *it = std::get_if<messages::Heartbeat>(&message.Body)) {
      node.Members->onHeartbeat(Now, message);
      request(i,
              node.Follower->onPeerSettings(Now, message.Sender, it->Settings));
    } else if (const auto *want =
                   std::get_if<messages::SettingsRequest>(&message.Body)) {
      auto reply = node.Follower->onSettingsRequest(*want);
      const auto to = node.Members->peerEndpoint(message.Sender);
      if (reply && to)
        send(i, *to, node.Members->makeMessage(std::move(*reply)));
    } else if (const auto *reply =
                   std::get_if<messages::SettingsReply>(&message.Body)) {
      request(i,
              node.Follower->onSettingsReply(Now, message.Sender, *reply).Next);
      recordSettings(node);
    }
  }

  void recordSettings(Node &node) {
    const auto stamp = node.Follower->stamp();
    node.HasRevertedSettings =
        node.HasRevertedSettings || stamp < node.HighestStamp;
    node.HighestStamp = std::max(node.HighestStamp, stamp);
    node.Members->onSettings(Now, stamp);
  }

  std::mt19937_64 Random;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::uint64_t Order = 0;
};

/// Returns a settings document of \p services services with \p servers backend
/// servers each. \p variant selects one backend server and its weight, so that
/// documents with different variants differ.
inline std::string sampleDocument(std::uint64_t revision, std::size_t services,
                                  std::size_t servers, std::uint64_t variant) {
  constexpr std::size_t Addresses = 254;
  const auto text = [](auto... parts) { return absl::StrCat(parts...); };
  std::string out =
      text("{\"revision\": ", revision,
           ", \"flowSeed\": 7321, \"region\": \"region\", \"defaults\": {},\n"
           "  \"zones\": {\"zone\": {}}, \"owners\": {\"owner\": {}},\n"
           "  \"services\": {");
  for (std::size_t s = 0; s < services; ++s) {
    out += text(s == 0 ? "\n" : ",\n", "    \"service-", s,
                "\": { \"owner\": \"owner\", \"listeners\": [ "
                "{ \"address\": \"198.51.100.",
                s % Addresses + 1, ":", 7000 + s / Addresses,
                "\", \"kind\": \"request\", \"backendPort\": ", 1024 + s,
                " } ], \"backendServers\": [");
    for (std::size_t n = 1; n <= servers; ++n) {
      const auto id = s * servers + n;
      const bool varied = s == variant % services && n == 1;
      const auto port = 1024 + id % 60000;
      out += text(n == 1 ? "\n" : ",\n", "      { \"name\": \"server-", id,
                  "\", \"number\": ", n, ", \"zone\": \"zone\", ",
                  "\"address\": \"192.0.2.", id % Addresses + 1,
                  "\", \"tunnel\": \"127.0.0.1:", port,
                  "\", \"loadReport\": \"127.0.0.1:", port);
      out += text("\", \"slots\": 2, \"connections\": 2000, \"weight\": ",
                  varied ? 1 + variant % 100 : 1, ", \"state\": \"active\" }");
    }
    out += " ] }";
  }
  return out + "\n  } }\n";
}

} // namespace auburnroute::bench

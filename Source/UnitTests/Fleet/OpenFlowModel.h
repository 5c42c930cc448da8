#pragma once

#include "Common/ManualClock.h"
#include "UnitTests/Fleet/OpenFlowHost.h"
#include "UnitTests/Fleet/OpenFlowRegistry.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburnroute::unittests {

/// Hosts of two zones, backend servers, callers and the registry on a virtual
/// clock, with faults of all of them.
///
/// Hosts see the callers' packets only; servers answer callers directly. An
/// oracle that knows each server checks that no host resets an open flow whose
/// server is alive, and that its packets do not go to other servers.
class OpenFlowModel final : private OpenFlowHost::Network {
public:
  static constexpr std::size_t ZoneCount = 2;
  static constexpr std::chrono::milliseconds Heartbeat{770};
  static constexpr std::chrono::milliseconds ChangeBound{3000};
  /// A fault of a server, or of the way to it, excuses resets for this long
  /// after its end.
  static constexpr std::chrono::milliseconds ExcuseTime{4000};
  /// Packets of a flow may go to other servers for less than this time.
  static constexpr std::chrono::milliseconds MaxMisdirectedTime{2000};
  static constexpr int MaxMisdirectedPackets = 3;

  /// A fault of the promise to open flows.
  struct Violation {
    std::string Rule; ///< Why the host reset the flow, in one word.
    std::string Text;
  };
  /// How requests ended that were pending at a server when it crashed, or were
  /// sent to it afterwards on an open flow.
  struct DeadServerRequests {
    std::size_t ResetInTime = 0; ///< Within MaxResetTime of being sent.
    std::size_t ResetLate = 0;
    std::size_t TimedOut = 0;
  };
  static constexpr std::chrono::milliseconds MaxResetTime{1500};

  /// Callers of each zone, and enough of them for several requests on open
  /// flows to each server at any time.
  static constexpr std::uint32_t UsualCallers = 20;
  static constexpr std::uint32_t ManyCallers = 80;

  explicit OpenFlowModel(std::uint64_t seed,
                         std::uint32_t callersPerZone = UsualCallers);

  /// Draws the faults of a day of \p length, which run() plays.
  void scheduleFaults(std::chrono::milliseconds length);
  /// Lets the server with most flows end without notice. Returns its identity.
  std::uint64_t crashBusiestServer();
  void run(std::chrono::milliseconds time);

  const std::vector<Violation> &violations() const { return Violations; }
  /// The faults of the day so far, each with its time.
  const std::string &faults() const { return Faults; }
  const DeadServerRequests &deadServerRequests() const { return DeadRequests; }
  /// When each host of the zone of server \p identity found it dead, after
  /// its crash.
  std::vector<std::optional<std::chrono::milliseconds>>
  timesToFindDead(std::uint64_t identity) const;
  std::size_t answeredRequests() const { return AnsweredRequests; }
  std::size_t resetsOfOpenFlows() const { return ResetsOfOpenFlows; }

private:
  using TimePoint = common::TimePoint;
  using Milliseconds = std::chrono::milliseconds;

  struct Event {
    TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Run;
    bool operator>(const Event &other) const {
      return At != other.At ? At > other.At : Order > other.Order;
    }
  };

  /// What an endpoint sends to a caller.
  enum class ReplyKind : std::uint8_t { SynAck, Response, Ack, Reset };
  struct Reply {
    ReplyKind Kind = ReplyKind::Ack;
    std::optional<std::size_t> Server; ///< Unset: a host sent it.
    std::uint32_t InitialSequence = 0;
    std::uint32_t Tag = 0;
    int Response = 0;
    bool IsLast = false; ///< The server closes the flow.
  };

  enum class CallerPhase : std::uint8_t { Opening, Open, Closed };
  /// A caller's end of a flow, and what the oracle knows of the flow.
  struct Flow {
    routing::FlowId Id;
    std::size_t Channel = 0;
    CallerPhase Phase = CallerPhase::Opening;
    std::optional<std::size_t> Server; ///< Whose SYN-ACK was taken.
    std::uint32_t ServerSequence = 0;
    std::uint32_t Tag = 0;
    int Requests = 0;
    int Responses = 0;
    bool IsPending = false;  ///< A request is not answered yet.
    bool IsReceived = false; ///< The server acknowledged the request.
    TimePoint RequestedAt;
    std::string CallerEnd = "open"; ///< For reports.
    // Oracle.
    std::optional<std::size_t> OpenAt; ///< Server that has the handshake's end.
    bool IsClosed = false; ///< A FIN or a reset reached the server or caller.
    int MisdirectedPackets = 0;
    TimePoint MisdirectedSince;
  };

  /// A caller that sends requests one after the other.
  struct Channel {
    std::uint32_t Address = 0;
    std::size_t Zone = 0;
    common::Endpoint Service;
    bool KeepsFlows = false;
    Milliseconds Limit{0};
    Milliseconds Pause{0}; ///< Mean time between two requests.
    int TriesLeft = 0;
    std::uint16_t NextPort = 1024;
  };

  struct ServerFlow {
    std::uint32_t InitialSequence = 0;
    std::uint32_t Tag = 0;
    bool IsOpen = false;
    int Requests = 0;
    int Responses = 0;
    int Acknowledged = 0;
    TimePoint SynAt;
  };

  /// One run of a backend server.
  struct Server {
    routing::ServerRegistration Entry;
    std::size_t Zone = 0;
    bool IsRunning = true;
    bool HasCrashed = false;
    TimePoint StartedAt;
    TimePoint EndedAt;
    TimePoint SilentUntil;
    TimePoint CutFromRegistryUntil;
    TimePoint DisturbedUntil;
    TimePoint LastResponseAt;
    absl::flat_hash_map<std::size_t, ServerFlow> Flows;
    std::size_t Busy = 0;
    std::deque<std::size_t> Queue; ///< Flows with a request that waits.
  };

  struct PendingCall {
    fleet::RegistryCall Call;
    TimePoint SentAt;
    bool IsAnswered = false;
  };

  /// A machine of an entry host; the process may be down.
  struct Machine {
    std::uint32_t Address = 0;
    std::size_t Zone = 0;
    std::unique_ptr<OpenFlowHost> Process;
    std::uint64_t Generation = 0;
    bool IsTickPending = false;
    TimePoint PausedUntil;
    TimePoint CutFromControlUntil; ///< From peers and the registry.
    std::deque<routing::FlowPacket> Packets;
    std::deque<std::shared_ptr<const fleet::GossipMessage>> Messages;
    /// Answers to HTTP calls that wait while the process is paused.
    std::vector<std::function<void()>> Answers;
    std::optional<PendingCall> Call;
    std::set<std::size_t> CutServers;
    TimePoint CutServersUntil;
    int MissedProbes = 0;
    bool IsInRotation = true;
    absl::flat_hash_map<std::uint64_t, TimePoint> FoundDead;
  };

  // OpenFlowHost::Network
  void sendToServer(std::size_t host, const routing::FlowPacket &packet,
                    const routing::ServerRegistration &server,
                    std::uint32_t tag) override;
  void resetFlow(std::size_t host,
                 const routing::RefusedPacket &refused) override;
  void sendToHosts(std::size_t host,
                   std::shared_ptr<const fleet::GossipMessage> message,
                   const std::vector<std::uint32_t> &to) override;
  void fetchSnapshot(std::size_t host, std::uint32_t from,
                     Milliseconds timeout) override;
  void callRegistry(std::size_t host, const fleet::RegistryCall &call) override;
  void discardPackets(std::size_t host) override;
  void discardMessages(std::size_t host) override;
  void onFoundDead(std::size_t host, std::uint64_t identity) override;

  // Time.
  void at(TimePoint time, std::function<void()> run);
  void after(Milliseconds delay, std::function<void()> run);
  TimePoint now() const { return Clock.now(); }
  Milliseconds elapsed(TimePoint time) const;

  // Links.
  bool passes(std::size_t zone, std::size_t otherZone);
  Milliseconds linkDelay(std::size_t zone, std::size_t otherZone);
  std::size_t zoneOfCaller(std::uint32_t address) const;

  // Hosts.
  void startProcess(std::size_t host, bool isFirstStart);
  void stopProcess(std::size_t host);
  void tick(std::size_t host, std::uint64_t generation);
  bool canRun(std::size_t host) const;
  /// Handles up to \p count packets that wait in the socket.
  void readPackets(std::size_t host, std::size_t count);
  void readMessages(std::size_t host, std::size_t count);
  void readAnswers(std::size_t host);
  void pauseHost(std::size_t host, Milliseconds time);
  void resumeHost(std::size_t host, std::uint64_t generation);
  void deliverPacket(std::size_t host, const routing::FlowPacket &packet);
  void probeHosts();
  std::optional<std::size_t> hostFor(const routing::FlowId &flow,
                                     std::size_t zone) const;
  void stepRegistry();
  void deliverAnswer(std::size_t host, std::uint64_t generation,
                     std::function<void()> run);
  Milliseconds controlDelay();
  bool isControlCut(std::size_t a, std::size_t b) const;

  // Servers.
  std::size_t startServer(const std::string &service, std::size_t zone);
  /// Starts a server at the address of \p before; \p sameName: the same server,
  /// otherwise one of the other service.
  void startAgain(std::size_t before, bool sameName);
  void checkIn(std::size_t server);
  void drain(std::size_t server, Milliseconds extra);
  void endServer(std::size_t server, bool isCrash);
  void receive(std::size_t server, std::size_t flow,
               const routing::FlowPacket &packet, std::uint32_t tag);
  void startWork(std::size_t server);
  void respond(std::size_t server, std::size_t flow, int response,
               Milliseconds repeatAfter);
  void sendReply(std::size_t server, std::size_t flow, Reply reply);

  // Callers.
  void nextRequest(std::size_t channel, std::optional<std::size_t> flow);
  void openFlow(std::size_t channel);
  void sendSyn(std::size_t flow, std::uint32_t copy);
  void sendRequest(std::size_t flow);
  void sendData(std::size_t flow, int request, Milliseconds repeatAfter);
  void acknowledge(std::size_t flow, bool isFin = false);
  void sendPacket(std::size_t flow, routing::FlowPacket packet);
  void onReply(std::size_t flow, const Reply &reply);
  void onRequestDone(std::size_t flow, bool isLast);
  void onRequestFailed(std::size_t flow);
  void giveUp(std::size_t flow, int request);

  // Faults.
  void configure();
  void drawFault(TimePoint from);
  void note(const std::string &fault);
  void restartHost(std::size_t host);
  void replaceHost(std::size_t host);
  void takeRegistryAway(Milliseconds time);
  void pauseZone(std::size_t host, TimePoint from);
  void loseEntry(Milliseconds time, std::size_t host);
  void drainServers();
  void crashServer();
  void dropRoute();
  void loseLinks(Milliseconds time, std::size_t host);
  void scheduleLateHost(TimePoint from);
  void scheduleStartWithoutView(TimePoint from);
  std::size_t anyServer();
  void disturb(std::size_t server, TimePoint until);

  // Oracle.
  bool isExcused(std::size_t server, std::size_t hostZone,
                 std::size_t callerZone) const;
  void checkReset(std::size_t host, std::size_t flow,
                  const routing::RefusedPacket &refused);
  /// Checks that no host takes a living server for dead, which would keep its
  /// open flows from it.
  void checkVerdicts();
  void checkDirection(std::size_t host, std::size_t flow,
                      std::optional<std::size_t> server);
  std::string describe(std::size_t server, std::size_t flow) const;
  std::string timeText(TimePoint time) const;

  std::size_t below(std::size_t n) { return Random() % n; }
  bool isOneIn(std::size_t n) { return below(n) == 0; }
  Milliseconds between(Milliseconds low, Milliseconds high);

  std::mt19937_64 Random;
  common::ManualClock Clock;
  TimePoint StartedAt;
  std::size_t MaxFlows = 0; ///< Of each server, which ignores further SYNs.
  std::uint64_t EventCount = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  OpenFlowRegistry Registry;
  TimePoint RegistryDownUntil;
  bool IsRegistrySilent = false;
  std::vector<Machine> Machines;
  std::deque<Server> Servers;
  absl::flat_hash_map<std::uint64_t, std::size_t> ServersByAddress;
  std::vector<Channel> Channels;
  std::deque<Flow> Flows;
  absl::flat_hash_map<routing::FlowId, std::size_t> FlowsById;
  routing::RoutingConfiguration Configuration;
  std::set<std::uint64_t> DroppedRoutes;
  std::uint32_t LastRoute = 0;
  std::vector<TimePoint> LossyUntil;
  std::vector<double> Loss;
  TimePoint ZonesCutUntil;
  TimePoint GossipDisturbedUntil;
  std::string Faults;
  std::vector<Violation> Violations;
  DeadServerRequests DeadRequests;
  std::size_t AnsweredRequests = 0;
  std::size_t ResetsOfOpenFlows = 0;
};

} // namespace auburnroute::unittests

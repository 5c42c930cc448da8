#include "StandIns/BackendServerGroup.h"

#include "StandIns/StopSignal.h"

#include <nlohmann/json.hpp>
#include <poll.h>

#include <array>
#include <chrono>

namespace auburnroute::standins {

namespace {

constexpr std::size_t LoadWorkers = 3; // Per backend server.
constexpr std::size_t OperatorWorkers = 2;
constexpr int TickMs = 3;
constexpr int BatchSize = 64; // Datagrams per socket and turn.

nlohmann::json toJson(const BackendServerStandIn &server) {
  const auto &results = server.results();
  const auto &tcp = server.tcpCounters();
  return {{"executed", results.Executed.size()},
          {"feeds_accepted", results.FeedsAccepted},
          {"requests_accepted", results.RequestsAccepted},
          {"wrong_service_packets", results.WrongServicePackets},
          {"new_while_draining", results.NewWhileDraining},
          {"new_work_on_leaving_after_limit", results.NewAfterDrainLimit},
          {"syns_while_dead", results.SynsWhileDead},
          {"checksum_errors", tcp.ChecksumErrors},
          {"late_segments", tcp.LateSegments},
          {"retransmissions", tcp.Retransmissions}};
}

} // namespace

BackendServerGroup::Member::Member(BackendServerStandIn server,
                                   DatagramSocket socket)
    : Server(std::move(server)), Socket(std::move(socket)), Load(LoadWorkers) {}

BackendServerGroup::BackendServerGroup(common::Endpoint fabric,
                                       std::uint64_t seed)
    : Fabric(fabric), Seed(seed), Operator(OperatorWorkers) {}

absl::Status BackendServerGroup::add(const state::Service &service,
                                     const state::BackendServer &server) {
  auto socket = DatagramSocket::bind(server.Tunnel);
  if (!socket.ok())
    return socket.status();
  Members.push_back(std::make_unique<Member>(
      BackendServerStandIn(service, server, Seed + Members.size()),
      *std::move(socket)));
  auto &member = *Members.back();
  member.Load.server().Get("/load", [&](const auto &, auto &response) {
    const std::lock_guard lock(Mutex);
    const auto report = member.Server.loadReport();
    if (report.empty())
      response.status = 503;
    else
      response.set_content(report, "application/json");
  });
  return member.Load.start(server.LoadReport);
}

absl::Status
BackendServerGroup::serveOperator(const common::Endpoint &endpoint) {
  auto &server = Operator.server();
  server.Post("/control", [this](const auto &request, auto &response) {
    if (!control(request.get_param_value("server"),
                 request.get_param_value("mode")))
      response.status = 400;
  });
  server.Get("/results", [this](const auto &, auto &response) {
    response.set_content(results(), "application/json");
  });
  return Operator.start(endpoint);
}

bool BackendServerGroup::control(const std::string &name,
                                 const std::string &mode) {
  static const std::map<std::string, BackendServerBehaviour> modes = {
      {"active", BackendServerBehaviour::Active},
      {"draining", BackendServerBehaviour::Draining},
      {"shedding", BackendServerBehaviour::Shedding},
      {"dead", BackendServerBehaviour::Dead}};
  const auto behaviour = modes.find(mode);
  if (behaviour == modes.end())
    return false;
  const std::lock_guard lock(Mutex);
  for (auto &member : Members) {
    if (member->Server.name() != name)
      continue;
    member->Server.setBehaviour(std::chrono::steady_clock::now(),
                                behaviour->second);
    return true;
  }
  return false;
}

void BackendServerGroup::run() {
  std::vector<pollfd> entries;
  for (const auto &member : Members)
    entries.push_back({member->Socket.descriptor(), POLLIN, 0});
  while (!StopSignal::stopped()) {
    poll(entries.data(), entries.size(), TickMs);
    const std::lock_guard lock(Mutex);
    for (auto &member : Members)
      handlePackets(*member);
  }
}

void BackendServerGroup::handlePackets(Member &member) {
  std::array<std::byte, DatagramSocket::MaxDatagramBytes> buf;
  const auto now = std::chrono::steady_clock::now();
  for (int i = 0; i < BatchSize; ++i) {
    const auto datagram = member.Socket.receive(buf);
    if (!datagram)
      break;
    member.Server.onDatagram(now, datagram->Bytes);
  }
  member.Server.onTimer(now);
  for (const auto &packet : member.Server.takePackets())
    member.Socket.send(Fabric, packet);
}

std::string BackendServerGroup::results() {
  const std::lock_guard lock(Mutex);
  std::map<std::string, std::uint64_t> executed;
  std::uint64_t wrong = 0;
  std::uint64_t late = 0;
  nlohmann::json servers = nlohmann::json::object();
  for (const auto &member : Members) {
    const auto &results = member->Server.results();
    for (const auto &[id, n] : results.Executed)
      executed[id] += n;
    wrong += results.WrongServicePackets;
    late += results.NewAfterDrainLimit;
    servers[member->Server.name()] = toJson(member->Server);
  }
  const nlohmann::json body = {{"executed", executed},
                               {"wrong_service_packets", wrong},
                               {"new_work_on_leaving_after_limit", late},
                               {"servers", servers}};
  return body.dump();
}

} // namespace auburnroute::standins

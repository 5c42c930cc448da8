#include "StandIns/BackendServerGroup.h"

#include "StandIns/StopSignal.h"

#include <nlohmann/json.hpp>
#include <poll.h>

#include <array>
#include <chrono>

namespace auburnroute::standins {

namespace {

constexpr std::size_t LoadReportWorkers = 3; // Per backend server.
constexpr std::size_t OperatorWorkers = 2;
constexpr int PollTimeoutMs = 3;
constexpr int MaxDatagramsPerTurn = 64; // Per socket and poll.

nlohmann::json toJson(const BackendServerStandIn &server) {
  const auto &results = server.results();
  const auto &tcp = server.tcpCounters();
  return {
      {"executed", results.ExecutionsById.size()},
      {"feeds_accepted", results.FeedsAccepted},
      {"requests_accepted", results.RequestsAccepted},
      {"wrong_service_packets", results.WrongServicePackets},
      {"new_while_draining", results.ConnectionsWhileDraining},
      {"new_work_on_leaving_after_limit", results.ConnectionsAfterDrainGrace},
      {"syns_while_dead", results.SynsWhileDead},
      {"checksum_errors", tcp.ChecksumErrors},
      {"late_segments", tcp.LateSegments},
      {"retransmissions", tcp.Retransmissions}};
}

} // namespace

BackendServerGroup::Member::Member(BackendServerStandIn server,
                                   DatagramSocket socket)
    : Server(std::move(server)), Socket(std::move(socket)),
      LoadReportService(LoadReportWorkers) {}

BackendServerGroup::BackendServerGroup(common::Endpoint fabric,
                                       std::uint64_t seed)
    : Fabric(fabric), Seed(seed), OperatorService(OperatorWorkers) {}

absl::Status BackendServerGroup::add(const state::Service &service,
                                     const state::BackendServer &server) {
  auto socket = DatagramSocket::bind(server.Tunnel);
  if (!socket.ok())
    return socket.status();
  Members.push_back(std::make_unique<Member>(
      BackendServerStandIn(service, server, Seed + Members.size()),
      *std::move(socket)));
  auto &member = *Members.back();
  member.LoadReportService.server().Get(
      "/load", [&](const auto &, auto &response) {
        const std::lock_guard lock(Mutex);
        const auto report = member.Server.loadReport();
        if (report.empty())
          response.status = 503;
        else
          response.set_content(report, "application/json");
      });
  return member.LoadReportService.start(server.LoadReport);
}

absl::Status
BackendServerGroup::serveOperator(const common::Endpoint &endpoint) {
  auto &server = OperatorService.server();
  server.Post("/control", [this](const auto &request, auto &response) {
    if (!setBehaviour(request.get_param_value("server"),
                      request.get_param_value("mode")))
      response.status = 400;
  });
  server.Get("/results", [this](const auto &, auto &response) {
    response.set_content(results(), "application/json");
  });
  return OperatorService.start(endpoint);
}

bool BackendServerGroup::setBehaviour(const std::string &name,
                                      const std::string &mode) {
  static const std::map<std::string, BackendServerBehaviour> behaviours = {
      {"active", BackendServerBehaviour::Active},
      {"draining", BackendServerBehaviour::Draining},
      {"shedding", BackendServerBehaviour::Shedding},
      {"dead", BackendServerBehaviour::Dead}};
  const auto behaviour = behaviours.find(mode);
  if (behaviour == behaviours.end())
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
  while (!StopSignal::hasArrived()) {
    poll(entries.data(), entries.size(), PollTimeoutMs);
    const std::lock_guard lock(Mutex);
    for (auto &member : Members)
      processMember(*member);
  }
}

void BackendServerGroup::processMember(Member &member) {
  std::array<std::byte, DatagramSocket::MaxDatagramBytes> buf;
  const auto now = std::chrono::steady_clock::now();
  for (int i = 0; i < MaxDatagramsPerTurn; ++i) {
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
    for (const auto &[id, n] : results.ExecutionsById)
      executed[id] += n;
    wrong += results.WrongServicePackets;
    late += results.ConnectionsAfterDrainGrace;
    servers[member->Server.name()] = toJson(member->Server);
  }
  const nlohmann::json body = {{"executed", executed},
                               {"wrong_service_packets", wrong},
                               {"new_work_on_leaving_after_limit", late},
                               {"servers", servers}};
  return body.dump();
}

} // namespace auburnroute::standins

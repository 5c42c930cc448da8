#pragma once

#include "StandIns/BackendServerStandIn.h"
#include "StandIns/DatagramSocket.h"
#include "StandIns/HttpService.h"

#include "absl/status/statusor.h"

#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

namespace auburnroute::standins {

/// Runs backend servers, each with a tunnel socket and an HTTP endpoint for
/// its load report.
class BackendServerGroup {
public:
  /// \p fabric receives the packets that the backend servers send. The initial
  /// sequence numbers derive from \p seed.
  BackendServerGroup(common::Endpoint fabric, std::uint64_t seed);

  /// Adds a backend server. Errors: Unavailable if one of its endpoints cannot
  /// be bound.
  absl::Status add(const state::Service &service,
                   const state::BackendServer &server);
  /// Serves POST /control and GET /results. Errors: Unavailable if \p endpoint
  /// cannot be bound.
  absl::Status serveOperator(const common::Endpoint &endpoint);
  /// Handles packets until a stop signal arrives.
  void run();
  /// Body of GET /results.
  std::string results();

private:
  struct Member {
    Member(BackendServerStandIn server, DatagramSocket socket);

    BackendServerStandIn Server;
    DatagramSocket Socket;
    HttpService LoadReportService;
  };

  /// Handles waiting datagrams and due timers, then sends the packets.
  void processMember(Member &member);
  /// Returns false if the server or the mode is unknown.
  bool setBehaviour(const std::string &name, const std::string &mode);

  common::Endpoint Fabric;
  std::uint64_t Seed;
  std::mutex Mutex; ///< Guards the servers against the HTTP threads.
  std::vector<std::unique_ptr<Member>> Members;
  HttpService OperatorService;
};

} // namespace auburnroute::standins

#pragma once

#include "Tool/LogArchive.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace auburnroute::tool {

/// What logs tell of one flow.
///
/// Layer 4 carries no request ids: a flow is known by the addresses and ports
/// of its caller and its service, as "CALLER>SERVICE".
class FlowExplanation {
public:
  /// Events of the hosts and servers of the flow count this long before its
  /// first and after its last line.
  static constexpr std::int64_t MarginMs = 5000;

  static FlowExplanation of(const std::string &flow, LogArchive &archive);

  /// Plain sentences: what happened, the likely causes, what stays unknown.
  std::string text() const;
  nlohmann::json json() const;
  bool isFound() const { return Found; }

private:
  void addSteps(LogArchive &archive);
  void addSurroundings(LogArchive &archive);
  void conclude(LogArchive &archive);
  void explainRefusal(const LogLine &line);

  std::string Flow;
  bool Found = false;
  std::int64_t FirstMs = 0;
  std::int64_t LastMs = 0;
  std::vector<std::string> Hosts;
  std::vector<std::string> Servers;
  std::vector<std::string> Steps;
  std::vector<std::string> Causes;
  std::vector<std::string> Unknown;
};

} // namespace auburnroute::tool

#pragma once

#include "Tool/LogArchive.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace auburnroute::tool {

/// Explains from log lines what happened to one flow.
///
/// There are no request ids at layer 4; a flow is identified by the addresses
/// and ports of its caller and its service, as "CALLER>SERVICE".
class FlowExplanation {
public:
  /// Other events of the flow's hosts and servers are included from this long
  /// before its first line until this long after its last.
  static constexpr std::int64_t ContextMs = 5000;

  /// Explains \p flow, written as "CALLER>SERVICE".
  static FlowExplanation of(const std::string &flow, LogArchive &archive);

  /// Sections: what happened, likely causes, what remains unknown.
  std::string text() const;
  nlohmann::json json() const;
  /// Whether any line names the flow.
  bool isFound() const { return IsFound; }

private:
  void readFlowLines(LogArchive &archive);
  /// Adds a cause if a host decided on the flow by an older configuration than
  /// another host had.
  void addOutdatedConfiguration(LogArchive &archive);
  void addRelatedEvents(LogArchive &archive);
  void addUnknowns(LogArchive &archive);
  void addRefusalCause(const LogLine &line);
  /// Adds why packets of the open flow were reset or dropped, once for each
  /// host and rule.
  void addOpenFlowRefusals(LogArchive &archive);

  std::string Flow;
  bool IsFound = false;
  std::int64_t FirstLineMs = 0;
  std::int64_t LastLineMs = 0;
  std::vector<std::string> Hosts;
  std::vector<std::string> Servers;
  std::vector<std::string> Steps;
  std::vector<std::string> Causes;
  std::vector<std::string> Unknowns;
};

} // namespace auburnroute::tool

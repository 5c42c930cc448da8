#pragma once

#include "Common/Endpoint.h"
#include "Tool/Command.h"

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace auburnroute::tool {

/// What one host answered.
struct HostAnswer {
  std::string Host; ///< Its name, or its endpoint if that is not known.
  absl::StatusOr<std::string> Body;
};

/// The live daemons, as the command line and the daemons themselves name them.
class Fleet {
public:
  /// Asks the hosts of --hosts for the others of their zones. A host that is
  /// dead for its zone is not asked. Errors: InvalidArgument for a bad
  /// endpoint, Unavailable if no host answers.
  static absl::StatusOr<Fleet> discover(const Arguments &arguments);

  /// Asks each host for \p path.
  std::vector<HostAnswer> ask(const std::string &path) const;

private:
  struct Member {
    std::string Name;
    common::Endpoint Operator;
  };
  std::vector<Member> Members;
};

/// Names of the hosts without an answer.
std::vector<std::string>
unansweredHosts(const std::vector<HostAnswer> &answers);

/// Writes a line for each host without an answer; returns their number.
std::size_t reportUnanswered(const std::vector<HostAnswer> &answers,
                             std::ostream &out);

} // namespace auburnroute::tool

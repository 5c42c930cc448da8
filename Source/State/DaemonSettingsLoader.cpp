#include "State/DaemonSettingsLoader.h"

#include "State/DaemonDescriptors.h"
#include "State/JsonReader.h"
#include "State/ObjectReader.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

namespace auburnroute::state {

using common::toAbsl;

namespace {

/// Checks that concern two values.
class PairChecker {
public:
  PairChecker(const JsonNode &root, FaultList &faults)
      : Root(root), Faults(faults) {}

  void distinct(std::string_view first, const common::Endpoint &a,
                std::string_view second, const common::Endpoint &b) {
    if (a.Port != 0 && a == b)
      add(second, first,
          absl::StrCat(common::toString(b), " is that of ", toAbsl(first)),
          "an endpoint of its own");
  }
  void shorter(std::string_view first, std::chrono::milliseconds a,
               std::string_view second, std::chrono::milliseconds b) {
    if (a >= b)
      add(second, first,
          absl::StrCat(formatDuration(b), " is not above ", toAbsl(first)),
          absl::StrCat("more than ", formatDuration(a)));
  }

private:
  /// The fault stands on the line of \p key or, where that is a default, on
  /// the line of \p other.
  void add(std::string_view key, std::string_view other, std::string_view what,
           std::string_view expected) {
    const auto *node = Root.find(key);
    if (node == nullptr)
      node = Root.find(other);
    Faults.add(node == nullptr ? Root.Line : node->Line, key, what, expected);
  }

  const JsonNode &Root;
  FaultList &Faults;
};

} // namespace

absl::StatusOr<DaemonSettings> loadDaemonSettings(std::string_view text,
                                                  std::string_view fileName) {
  FaultList faults(fileName);
  const auto root = JsonReader::read(text, faults);
  if (!root)
    return faults.status();
  DaemonSettings settings;
  ObjectReader(faults).read(*root, "", daemonDescriptors(), settings);
  PairChecker pairs(*root, faults);
  pairs.distinct("packets", settings.Packets, "admission", settings.Admission);
  pairs.distinct("peer", settings.Peer, "operator", settings.Operator);
  pairs.shorter("heartbeatInterval", settings.HeartbeatInterval, "suspectAfter",
                settings.SuspectAfter);
  pairs.shorter("suspectAfter", settings.SuspectAfter, "deadAfter",
                settings.DeadAfter);
  pairs.shorter("stopQuiet", settings.StopQuiet, "stopTimeout",
                settings.StopTimeout);
  if (!faults.empty())
    return faults.status();
  return settings;
}

} // namespace auburnroute::state

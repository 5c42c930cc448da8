#include "State/DaemonSettingsLoader.h"

#include "State/DaemonDescriptors.h"
#include "State/JsonReader.h"
#include "State/ObjectReader.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"

namespace auburnroute::state {

using common::toAbsl;

namespace {

/// Checks constraints between two values.
class PairChecker {
public:
  PairChecker(const JsonNode &root, ErrorList &errors)
      : Root(root), Errors(errors) {}

  void requireDistinct(std::string_view first, const common::Endpoint &a,
                       std::string_view second, const common::Endpoint &b) {
    if (a.Port != 0 && a == b)
      addError(second, first,
               absl::StrCat(common::toString(b), " is also used by \"",
                            toAbsl(first), "\""),
               "a different endpoint");
  }
  void requireShorter(std::string_view first, std::chrono::milliseconds a,
                      std::string_view second, std::chrono::milliseconds b) {
    if (a >= b)
      addError(second, first,
               absl::StrCat(formatDuration(b), " is not above \"",
                            toAbsl(first), "\""),
               absl::StrCat("more than ", formatDuration(a)));
  }

private:
  /// Adds an error at the line of \p key or, if \p key is absent, at the line
  /// of \p other.
  void addError(std::string_view key, std::string_view other,
                std::string_view what, std::string_view expected) {
    const auto *node = Root.find(key);
    if (node == nullptr)
      node = Root.find(other);
    Errors.add(node == nullptr ? Root.Line : node->Line, key, what, expected);
  }

  const JsonNode &Root;
  ErrorList &Errors;
};

} // namespace

absl::StatusOr<DaemonSettings> loadDaemonSettings(std::string_view text,
                                                  std::string_view fileName) {
  ErrorList errors(fileName);
  const auto root = JsonReader::read(text, errors);
  if (!root)
    return errors.status();
  DaemonSettings settings;
  ObjectReader(errors).read(*root, "", daemonDescriptors(), settings);
  PairChecker pairs(*root, errors);
  pairs.requireDistinct("packets", settings.Packets, "admission",
                        settings.Admission);
  pairs.requireDistinct("peer", settings.Peer, "operator", settings.Operator);
  pairs.requireShorter("heartbeatInterval", settings.HeartbeatInterval,
                       "suspectAfter", settings.SuspectAfter);
  pairs.requireShorter("suspectAfter", settings.SuspectAfter, "deadAfter",
                       settings.DeadAfter);
  pairs.requireShorter("stopQuiet", settings.StopQuiet, "stopTimeout",
                       settings.StopTimeout);
  if (!errors.empty())
    return errors.status();
  return settings;
}

} // namespace auburnroute::state

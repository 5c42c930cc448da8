#pragma once

#include "State/PolicyResolver.h"
#include "State/Settings.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnroute::state {

/// Checked settings and the origin of their policy values.
struct SettingsDocument {
  Settings Content;
  PolicyResolver Policies;
};

/// Builds the settings from the nodes of a document and collects all errors.
class SettingsReader {
public:
  static constexpr std::size_t MaxZones = 64;
  static constexpr std::size_t MaxOwners = 4096;
  static constexpr std::size_t MaxServices = 4096;
  static constexpr std::size_t MaxListeners = 64; ///< Per service.
  /// Per service; the number of a backend server has 12 bits and is not 0.
  static constexpr std::size_t MaxBackendServers = 4095;

  /// Parses, checks and resolves \p text. Errors: as loadSettings().
  static absl::StatusOr<SettingsDocument> read(std::string_view text,
                                               std::string_view fileName);

private:
  /// Line of first use of each value that must be unique.
  using UsedValues = std::unordered_map<std::string, std::uint32_t>;

  explicit SettingsReader(ErrorList &errors)
      : Errors(errors), Objects(errors) {}

  void readDocument(const JsonNode &root);
  void readLayer(const JsonNode &root, std::string_view key, std::size_t min,
                 std::size_t max, bool isZones);
  PolicyResolver::Overrides readPolicy(const JsonNode &node,
                                       std::string_view path);
  void readServices(const JsonNode &root);
  void readService(const JsonMember &member);
  void readListeners(const JsonNode &node, const std::string &path,
                     Service &service);
  void readBackendServers(const JsonNode &node, const std::string &path,
                          Service &service);
  void checkBackendServer(const JsonNode &node, const std::string &path,
                          const Service &service, const BackendServer &server,
                          UsedValues &usedInService);
  void resolve(Service &service);
  const JsonNode *requireMember(const JsonNode &node, std::string_view key,
                                std::string_view path,
                                std::string_view expected);
  void requireUnique(UsedValues &used, const JsonNode &node,
                     std::string_view key, const std::string &path,
                     const std::string &value);

  ErrorList &Errors;
  ObjectReader Objects;
  SettingsDocument Document;
  std::vector<std::string> Owners;
  UsedValues Listeners;   ///< Listener address and port.
  UsedValues Sources;     ///< Backend server address and port.
  UsedValues LoadReports; ///< Load report address and port.
};

} // namespace auburnroute::state

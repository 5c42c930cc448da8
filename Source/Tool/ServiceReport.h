#pragma once

#include "State/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace auburnroute::tool {

/// The effective settings of one service, as text and as JSON.
class ServiceReport {
public:
  /// \p service is one of \p document, which must outlive the report.
  ServiceReport(const state::SettingsDocument &document,
                const state::Service &service);

  std::string text() const;
  nlohmann::ordered_json json() const;

private:
  /// One policy value in one or all zones.
  struct Row {
    std::string Key;
    std::string Zone; ///< Empty if it is the same in all zones.
    std::string Value;
    std::string Layer;
    std::string LayerName; ///< Name of the zone, owner or service.
  };

  void addRows(std::size_t index,
               const std::vector<std::vector<state::PolicyValue>> &byZone);
  Row makeRow(std::size_t index, const state::PolicyValue &value,
              const std::string &zone) const;

  const state::Settings &Settings;
  const state::Service &Service;
  std::vector<Row> Policies;
};

} // namespace auburnroute::tool

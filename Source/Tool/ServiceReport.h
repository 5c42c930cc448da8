#pragma once

#include "State/SettingsReader.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace auburnroute::tool {

/// Formats the effective settings of one service as text and as JSON.
class ServiceReport {
public:
  /// \p service must belong to \p document, which must outlive the report.
  ServiceReport(const state::SettingsDocument &document,
                const state::Service &service);

  std::string text() const;
  nlohmann::ordered_json json() const;

private:
  /// A policy value in one zone or in all zones.
  struct Row {
    std::string Key;
    std::string Zone; ///< Empty if the value is the same in all zones.
    std::string Value;
    std::string Layer;
    std::string OriginName; ///< Name of the zone, owner or service.
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

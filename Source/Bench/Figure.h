#pragma once

#include <nlohmann/json.hpp>

#include <cstdio>
#include <optional>
#include <string>

namespace auburnroute::bench {

/// Prints a measured value as a line of JSON. \p bound is its upper limit, if
/// any. Returns false if \p value exceeds the bound.
inline bool printFigure(const std::string &name, std::optional<double> baseline,
                        double value, const std::string &unit,
                        std::optional<double> bound) {
  using Json = nlohmann::ordered_json;
  const auto number = [](std::optional<double> n) {
    return n ? Json(*n) : Json(nullptr);
  };
  const bool holds = !bound || value <= *bound;
  const Json line{
      {"name", name},           {"baseline", number(baseline)},
      {"value", value},         {"unit", unit},
      {"bound", number(bound)}, {"holds", bound ? Json(holds) : Json(nullptr)}};
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
  return holds;
}

} // namespace auburnroute::bench

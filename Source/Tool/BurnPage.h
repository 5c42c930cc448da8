#pragma once

#include "State/BurnCodec.h"

#include <map>
#include <string>

namespace auburnroute::tool {

/// Renders the burn report as a self-contained HTML page.
class BurnPage {
public:
  /// \p coverage describes which hosts and times the figures cover.
  /// \p services must outlive the page.
  BurnPage(const std::map<std::string, state::ServiceBurn> &services,
           std::string coverage);

  std::string html() const;

private:
  static std::string plot(const state::ServiceBurn &burn);
  static std::string table(const state::ServiceBurn &burn);

  const std::map<std::string, state::ServiceBurn> &Services;
  std::string Coverage;
};

} // namespace auburnroute::tool

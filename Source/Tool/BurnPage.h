#pragma once

#include "State/BurnReportCodec.h"

#include <map>
#include <string>

namespace auburnroute::tool {

/// Renders the burn report as a self-contained HTML page.
class BurnPage {
public:
  /// \p coverage describes which hosts and times the figures cover.
  /// \p services must outlive the page.
  BurnPage(const std::map<std::string, state::ServiceBurnReport> &services,
           std::string coverage);

  std::string html() const;

private:
  static std::string plot(const state::ServiceBurnReport &burn);
  static std::string table(const state::ServiceBurnReport &burn);

  const std::map<std::string, state::ServiceBurnReport> &Services;
  std::string Coverage;
};

} // namespace auburnroute::tool

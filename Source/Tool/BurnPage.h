#pragma once

#include "State/BurnReportCodec.h"

#include <map>
#include <string>

namespace auburnroute::tool {

/// Writes the burn report as an HTML page that needs no other file.
class BurnPage {
public:
  /// \p note says what the figures cover.
  BurnPage(const std::map<std::string, state::ServiceBurnReport> &services,
           std::string note);

  std::string html() const;

private:
  static std::string plot(const state::ServiceBurnReport &burn);
  static std::string table(const state::ServiceBurnReport &burn);

  const std::map<std::string, state::ServiceBurnReport> &Services;
  std::string Note;
};

} // namespace auburnroute::tool

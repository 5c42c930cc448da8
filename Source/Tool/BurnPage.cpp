#include "Tool/BurnPage.h"

#include "Common/Text.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"

#include <algorithm>

namespace auburnroute::tool {

namespace {

constexpr int PlotWidth = 720;
constexpr int PlotHeight = 160;

constexpr const char *HtmlHead =
    "<!doctype html>\n<meta charset=\"utf-8\">\n<title>auburnroute burn "
    "report</title>\n<style>body{font:16px sans-serif;margin:2em auto;"
    "max-width:760px}table{border-collapse:collapse}td,th{padding:.3em "
    ".8em;border:1px solid #bbb;text-align:right}.alert{background:#fdd}"
    "</style>\n<h1>Service-level burn</h1>\n";

std::string escape(const std::string &text) {
  return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}});
}

std::string formatWindow(std::chrono::minutes window) {
  return window.count() % 60 == 0 ? absl::StrCat(window.count() / 60, " h")
                                  : absl::StrCat(window.count(), " min");
}

state::FlowOutcomeCounts countsInWindow(const state::ServiceBurnReport &burn,
                                        std::chrono::minutes window) {
  const auto it = burn.Windows.find(window);
  return it == burn.Windows.end() ? state::FlowOutcomeCounts{} : it->second;
}

} // namespace

BurnPage::BurnPage(
    const std::map<std::string, state::ServiceBurnReport> &services,
    std::string coverage)
    : Services(services), Coverage(std::move(coverage)) {}

std::string BurnPage::html() const {
  std::string page = HtmlHead;
  absl::StrAppend(&page, "<p>", escape(Coverage), "</p>\n");
  for (const auto &[name, burn] : Services)
    absl::StrAppend(&page, "<h2>", escape(name), "</h2>\n", plot(burn),
                    table(burn));
  return page;
}

std::string BurnPage::plot(const state::ServiceBurnReport &burn) {
  if (burn.Minutes.empty())
    return "";
  std::uint64_t maxFlows = 1;
  for (const auto &it : burn.Minutes)
    maxFlows = std::max(maxFlows, it.total());
  const double width =
      static_cast<double>(PlotWidth) / static_cast<double>(burn.Minutes.size());
  const auto heightOf = [&](std::uint64_t n) {
    return PlotHeight * static_cast<double>(n) / static_cast<double>(maxFlows);
  };
  std::string svg = absl::StrFormat(
      "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"flows per "
      "minute, bad ones in red\">\n",
      PlotWidth, PlotHeight);
  const auto appendBar = [&](std::size_t minute, double height,
                             const char *colour) {
    if (height > 0)
      absl::StrAppend(
          &svg, absl::StrFormat("<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
                                "height=\"%.1f\" fill=\"%s\"/>\n",
                                static_cast<double>(minute) * width,
                                PlotHeight - height, std::max(width - 1, 1.0),
                                height, colour));
  };
  for (std::size_t i = 0; i < burn.Minutes.size(); ++i) {
    appendBar(i, heightOf(burn.Minutes[i].total()), "#8ab");
    appendBar(i, heightOf(burn.Minutes[i].bad()), "#c33");
  }
  return absl::StrCat(svg, "</svg>\n<p>Flows per minute over the last ",
                      burn.Minutes.size(), " minutes, at most ", maxFlows,
                      "; refused or broken ones in red.</p>\n");
}

std::string BurnPage::table(const state::ServiceBurnReport &burn) {
  std::string rows = "<table><tr><th>objective</th><th>windows</th><th>alert "
                     "above</th><th>long</th><th>short</th></tr>\n";
  for (const auto objective :
       {state::Objective::Availability, state::Objective::Wait})
    for (const auto &pair : state::BurnWindowPairs) {
      const double longRate = state::burnRate(countsInWindow(burn, pair.Long),
                                              objective, burn.Policy);
      const double shortRate = state::burnRate(countsInWindow(burn, pair.Short),
                                               objective, burn.Policy);
      const bool isAlert = state::isAlerting(longRate, shortRate, pair);
      absl::StrAppend(&rows, isAlert ? "<tr class=\"alert\"><td>" : "<tr><td>",
                      common::toAbsl(state::toString(objective)), "</td><td>",
                      formatWindow(pair.Long), " / ", formatWindow(pair.Short),
                      "</td><td>",
                      absl::StrFormat("%.1f</td><td>%.2f</td><td>%.2f",
                                      pair.AlertRate, longRate, shortRate),
                      "</td></tr>\n");
    }
  return rows + "</table>\n";
}

} // namespace auburnroute::tool

#include "Emulator/ExperimentReport.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace auburnroute::emulator {

namespace {

constexpr int PlotWidth = 720;
constexpr int PlotHeight = 120;

constexpr const char *HtmlHead =
    "<!doctype html>\n<meta charset=\"utf-8\">\n<title>auburnroute "
    "emulation</title>\n<style>body{font:16px sans-serif;margin:2em auto;"
    "max-width:960px}table{border-collapse:collapse}td,th{padding:.3em "
    ".6em;border:1px solid #bbb;text-align:right}</style>\n"
    "<h1>Emulated runs</h1>\n";

/// Mean of \p value over all runs.
template <class Value>
double mean(const std::vector<EmulationResult> &runs, Value value) {
  double sum = 0;
  for (const auto &it : runs)
    sum += value(it);
  return sum / static_cast<double>(runs.size());
}

std::string formatPercentages(const std::vector<double> &shares) {
  return absl::StrJoin(shares, " ", [](std::string *out, double it) {
    absl::StrAppendFormat(out, "%.2f", 100 * it);
  });
}

std::string formatRatios(const std::vector<double> &values) {
  return absl::StrJoin(values, " ", [](std::string *out, double it) {
    absl::StrAppendFormat(out, "%.2f", it);
  });
}

} // namespace

ExperimentReport::Row
ExperimentReport::makeRow(const CandidateResult &candidate) const {
  const auto &runs = candidate.Runs;
  Row row;
  row.Name = candidate.Name;
  row.Credit = mean(runs, [](const auto &it) { return it.all().credit(); });
  row.Deviation = std::sqrt(mean(runs, [&](const auto &it) {
    const double difference = it.all().credit() - row.Credit;
    return difference * difference;
  }));
  row.WorstWindowCredit =
      mean(runs, [](const auto &it) { return it.worstWindowCredit(); });
  row.MedianMs =
      mean(runs, [](const auto &it) { return it.quantile(0.5).count(); });
  row.Percentile99Ms =
      mean(runs, [](const auto &it) { return it.quantile(0.99).count(); });
  for (std::size_t n = 0; n < Config.Requests.size(); ++n) {
    row.LateByRequest.push_back(mean(
        runs, [n](const auto &it) { return it.byRequest()[n].lateShare(); }));
    row.FailedByRequest.push_back(mean(
        runs, [n](const auto &it) { return it.byRequest()[n].failedShare(); }));
  }
  for (std::size_t n = 0; n < Config.Zones.size(); ++n)
    row.LateByZone.push_back(
        mean(runs, [n](const auto &it) { return it.byZone()[n].lateShare(); }));
  for (std::size_t n = 0; n < Config.Services.size(); ++n)
    row.BusiestOverMean.push_back(
        mean(runs, [n](const auto &it) { return it.busiestOverMean(n); }));
  return row;
}

std::vector<ExperimentReport::Row> ExperimentReport::rows() const {
  std::vector<Row> rows;
  for (const auto &it : Candidates)
    rows.push_back(makeRow(it));
  return rows;
}

std::string ExperimentReport::text() const {
  std::string text = absl::StrFormat(
      "%-24s %8s %7s %8s %7s %8s  %s\n", "candidate", "credit", "+-", "2 worst",
      "p50 ms", "p99 ms",
      "late % by kind | failed % | late % by zone | busiest/mean");
  for (const auto &it : rows())
    absl::StrAppendFormat(
        &text,
        "%-24s %8.4f %7.4f %8.4f %7.1f %8.1f  %s | %s | %s | "
        "%s\n",
        it.Name, it.Credit, it.Deviation, it.WorstWindowCredit, it.MedianMs,
        it.Percentile99Ms, formatPercentages(it.LateByRequest),
        formatPercentages(it.FailedByRequest), formatPercentages(it.LateByZone),
        formatRatios(it.BusiestOverMean));
  return text;
}

std::string ExperimentReport::json() const {
  auto root = nlohmann::json::array();
  for (const auto &it : rows())
    root.push_back({{"candidate", it.Name},
                    {"credit", it.Credit},
                    {"deviation", it.Deviation},
                    {"worst_spans", it.WorstWindowCredit},
                    {"p50_ms", it.MedianMs},
                    {"p99_ms", it.Percentile99Ms},
                    {"late_by_request", it.LateByRequest},
                    {"failed_by_request", it.FailedByRequest},
                    {"late_by_zone", it.LateByZone},
                    {"busiest_over_mean", it.BusiestOverMean}});
  return root.dump(2) + "\n";
}

std::string
ExperimentReport::plotCredit(const CandidateResult &candidate) const {
  const auto seconds = candidate.Runs.front().bySecond().size();
  const double width =
      static_cast<double>(PlotWidth) / static_cast<double>(seconds);
  std::string svg = absl::StrFormat(
      "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"credit by "
      "second, lost credit in red\">\n",
      PlotWidth, PlotHeight);
  for (std::size_t n = 0; n < seconds; ++n) {
    const double credit = mean(candidate.Runs, [n](const auto &it) {
      return it.bySecond()[n].credit();
    });
    const double height = PlotHeight * credit;
    absl::StrAppendFormat(
        &svg,
        "<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" height=\"%d\" "
        "fill=\"#c33\"/><rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
        "height=\"%.1f\" fill=\"#8ab\"/>\n",
        static_cast<double>(n) * width, std::max(width - 1, 1.0), PlotHeight,
        static_cast<double>(n) * width, PlotHeight - height,
        std::max(width - 1, 1.0), height);
  }
  return absl::StrCat(svg, "</svg>\n<p>Credit by the second in which a request "
                           "was issued; lost credit in red.</p>\n");
}

std::string ExperimentReport::html() const {
  std::string page = HtmlHead;
  absl::StrAppend(&page,
                  "<table><tr><th>candidate</th><th>credit</th><th>+-</th>"
                  "<th>two worst 2 s windows</th><th>p50 ms</th><th>p99 ms</th>"
                  "<th>late % by kind</th><th>failed %</th></tr>\n");
  // Names need no HTML escaping: state::ValueDescriptor::name restricts their
  // characters.
  for (const auto &it : rows())
    absl::StrAppendFormat(
        &page,
        "<tr><td>%s</td><td>%.4f</td><td>%.4f</td><td>%.4f</td><td>%.1f</td>"
        "<td>%.1f</td><td>%s</td><td>%s</td></tr>\n",
        it.Name, it.Credit, it.Deviation, it.WorstWindowCredit, it.MedianMs,
        it.Percentile99Ms, formatPercentages(it.LateByRequest),
        formatPercentages(it.FailedByRequest));
  absl::StrAppend(&page, "</table>\n");
  for (const auto &it : Candidates)
    absl::StrAppend(&page, "<h2>", it.Name, "</h2>\n", plotCredit(it));
  return page;
}

} // namespace auburnroute::emulator

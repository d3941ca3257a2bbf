/** \file
 * The burn report as one self-contained page with plots.
 */
#include <algorithm>
#include <cstdio>

#include "kernel/report/burn_format.h"

namespace eelgrass {
namespace {

constexpr int kPlotWidth = 720;
constexpr int kPlotHeight = 120;

std::string Escape(const std::string& text) {
  std::string safe;
  for (const char c : text) {
    switch (c) {
      case '<':
        safe += "&lt;";
        break;
      case '>':
        safe += "&gt;";
        break;
      case '&':
        safe += "&amp;";
        break;
      case '"':
        safe += "&quot;";
        break;
      default:
        safe += c;
    }
  }
  return safe;
}

std::string Number(double value) {
  char buffer[32];
  std::snprintf(buffer, sizeof(buffer), "%.2f", value);
  return buffer;
}

/** Burn rate by hour as bars, with a line at the rate that just uses the budget up. */
std::string Plot(const std::vector<double>& hourly) {
  double top = 2;
  for (const double rate : hourly) top = std::max(top, rate);
  const double step = static_cast<double>(kPlotWidth) / static_cast<double>(hourly.size());
  std::string svg = "<svg role=\"img\" aria-label=\"burn rate by hour\" width=\"" +
                    std::to_string(kPlotWidth) + "\" height=\"" + std::to_string(kPlotHeight) +
                    "\">\n";
  for (size_t i = 0; i < hourly.size(); ++i) {
    const double height = hourly[i] / top * kPlotHeight;
    svg += "<rect x=\"" + Number(step * static_cast<double>(i)) + "\" y=\"" +
           Number(kPlotHeight - height) + "\" width=\"" + Number(step * 0.8) + "\" height=\"" +
           Number(height) + "\" fill=\"" + (hourly[i] > 1 ? "#b3261e" : "#33691e") + "\"/>\n";
  }
  const std::string level = Number(kPlotHeight - kPlotHeight / top);
  return svg + "<line x1=\"0\" x2=\"" + std::to_string(kPlotWidth) + "\" y1=\"" + level +
         "\" y2=\"" + level + "\" stroke=\"#555\" stroke-dasharray=\"4\"/>\n</svg>\n";
}

/** A section with a table and a plot for each objective and organisation. */
class html_burn : public burn_format {
 public:
  std::string content_type() const override { return "text/html; charset=utf-8"; }

  std::string Write(const burn_report& report) const override {
    std::string page =
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">"
        "<title>Service-level burn</title>\n<style>body{font:16px/1.4 sans-serif;max-width:760px;"
        "margin:2em auto;padding:0 1em}table{border-collapse:collapse}th,td{padding:.2em .8em;"
        "text-align:right;border-bottom:1px solid #ccc}.page{color:#b3261e}.ticket{color:#8a5a00}"
        "svg{background:#f6f6f6}</style>\n<h1>Service-level burn</h1>\n"
        "<p>1 uses the error budget up exactly at the end of its period. Bars: burn by hour, the "
        "last three days; the dashed line is 1.</p>\n";
    for (const auto& line : report.lines) page += Section(line);
    if (report.lines.empty()) page += "<p>No outcomes yet.</p>\n";
    return page + "</html>\n";
  }

 private:
  static std::string Section(const burn_line& line) {
    std::string text = "<h2>" + Escape(line.organisation) + " &middot; " + Escape(line.service) +
                       "</h2>\n<p>target " + Number(line.target * 100) + "%, budget left " +
                       Number(line.budget_left * 100) + "%";
    if (!line.alert.empty()) {
      text += ", <strong class=\"" + line.alert + "\">" + line.alert + "</strong>";
    }
    text += "</p>\n<table><tr><th>window<th>good<th>bad<th>burn</tr>\n";
    for (const auto& window : line.windows) {
      text += "<tr><td>" + window.name + "<td>" + std::to_string(window.good) + "<td>" +
              std::to_string(window.bad) + "<td>" + Number(window.rate) + "</tr>\n";
    }
    text += "</table>\n" + Plot(line.hourly);
    if (line.causes.empty()) return text;
    text += "<p>worst causes:</p><ul>\n";
    for (const auto& [cause, count] : line.causes) {
      text += "<li>" + std::to_string(count) + " &times; " + Escape(cause) + "</li>\n";
    }
    return text + "</ul>\n";
  }
};

const burn_format_registration<html_burn> kRegistration("html");

}  // namespace
}  // namespace eelgrass

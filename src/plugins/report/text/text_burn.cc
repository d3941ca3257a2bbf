/** \file
 * The burn report as a table for a terminal.
 */
#include <cstdio>

#include "kernel/report/burn_format.h"

namespace eelgrass {
namespace {

/** Fixed columns; causes below each objective. */
class text_burn : public burn_format {
 public:
  std::string content_type() const override { return "text/plain; charset=utf-8"; }

  std::string Write(const burn_report& report) const override {
    std::string text =
        Row("ORGANISATION", "SERVICE", "TARGET", "5M", "1H", "6H", "3D", "BUDGET", "ALERT");
    for (const auto& line : report.lines) {
      const auto& w = line.windows;
      text += Row(line.organisation, line.service, Number(line.target, 5), Number(w[0].rate, 2),
                  Number(w[1].rate, 2), Number(w[2].rate, 2), Number(w[3].rate, 2),
                  Number(line.budget_left * 100, 1) + "%", line.alert.empty() ? "-" : line.alert);
      for (const auto& [cause, count] : line.causes) {
        text += "    " + std::to_string(count) + " bad: " + cause + "\n";
      }
    }
    if (report.lines.empty()) text += "no outcomes yet\n";
    return text;
  }

 private:
  static std::string Number(double value, int digits) {
    char buffer[32];
    std::snprintf(buffer, sizeof(buffer), "%.*f", digits, value);
    return buffer;
  }

  template <typename... Cells>
  static std::string Row(const Cells&... cells) {
    constexpr size_t kWidths[] = {18, 18, 9, 8, 8, 8, 8, 9, 0};
    std::string row;
    size_t column = 0;
    const auto add = [&](std::string cell) {
      if (cell.size() < kWidths[column]) cell.resize(kWidths[column], ' ');
      row += cell + (++column < std::size(kWidths) ? " " : "\n");
    };
    (add(std::string(cells)), ...);
    return row;
  }
};

const burn_format_registration<text_burn> kRegistration("text");

}  // namespace
}  // namespace eelgrass

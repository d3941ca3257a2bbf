/** \file
 * The burn report as JSON.
 */
#include <nlohmann/json.hpp>

#include "kernel/report/burn_format.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

/** One object with a line for each objective and organisation. */
class json_burn : public burn_format {
 public:
  std::string content_type() const override { return "application/json"; }

  std::string Write(const burn_report& report) const override {
    json lines = json::array();
    for (const auto& line : report.lines) {
      json windows = json::object();
      for (const auto& window : line.windows) {
        windows[window.name] = {{"good", window.good}, {"bad", window.bad}, {"rate", window.rate}};
      }
      json causes = json::array();
      for (const auto& [cause, count] : line.causes) {
        causes.push_back({{"cause", cause}, {"count", count}});
      }
      lines.push_back({{"organisation", line.organisation},
                       {"service", line.service},
                       {"target", line.target},
                       {"windows", windows},
                       {"budget_left", line.budget_left},
                       {"alert", line.alert},
                       {"causes", causes},
                       {"hourly", line.hourly}});
    }
    return json{{"at_ms", report.at_ms}, {"objectives", lines}}.dump(2) + "\n";
  }
};

const burn_format_registration<json_burn> kRegistration("json");

}  // namespace
}  // namespace eelgrass

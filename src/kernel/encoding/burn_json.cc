#include "kernel/encoding/burn_json.h"

#include <nlohmann/json.hpp>

namespace eelgrass {
namespace {
using json = nlohmann::json;
}

std::string BurnTableText(const burn_table& table) {
  json list = json::array();
  for (const auto& [key, series] : table.series()) {
    json minutes = json::array();
    for (const auto& [minute, counts] : series.minutes) {
      minutes.push_back({minute, counts.good, counts.bad});
    }
    list.push_back({{"organisation", key.first},
                    {"service", key.second},
                    {"minutes", minutes},
                    {"causes", series.causes}});
  }
  return json{{"series", list}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<burn_table> ParseBurnTable(std::string_view text) {
  try {
    burn_table table;
    const json tree = json::parse(text);
    for (const auto& item : tree.at("series")) {
      burn_series& series = table.series()[{item.at("organisation").get<std::string>(),
                                            item.at("service").get<std::string>()}];
      for (const auto& row : item.at("minutes")) {
        series.minutes[row.at(0).get<int64_t>()] = {row.at(1).get<int64_t>(),
                                                    row.at(2).get<int64_t>()};
      }
      series.causes = item.at("causes").get<std::map<std::string, int64_t>>();
    }
    return table;
  } catch (const json::exception& problem) {
    return Fail(error_kind::kInvalid, "read-snapshot", "", problem.what());
  }
}

}  // namespace eelgrass

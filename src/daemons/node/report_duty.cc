#include "daemons/node/report_duty.h"

#include <nlohmann/json.hpp>

#include "kernel/base/http_status.h"
#include "kernel/encoding/burn_json.h"

namespace eelgrass {
namespace {

constexpr millis kStoreTimeout{5000};
constexpr std::string_view kObjects = "/objects/";
constexpr std::string_view kPrefix = "burn-";

}  // namespace

report_duty::report_duty(report_core& core, http_client& client, std::string store_url,
                         const clock& time)
    : core_(core), client_(client), store_url_(std::move(store_url)), clock_(time) {}

void report_duty::Handle(std::span<report_event> events, millis now) {
  core_.Decide(events, now, clock_.WallNow(), actions_);
  for (const auto& action : actions_) {
    std::visit([this](const auto& a) { Execute(a); }, action);
  }
  actions_.clear();
}

void report_duty::Call(std::string_view method, const std::string& path, std::string body,
                       http_client::callback done) {
  http_call call;
  call.method = method;
  call.url = store_url_ + path;
  call.body.data = std::move(body);
  call.timeout = kStoreTimeout;
  client_.Start(std::move(call), std::move(done));
}

void report_duty::Execute(const write_snapshot& action) {
  // A failed write needs no retry: the next snapshot replaces a lost one.
  Call("PUT", std::string(kObjects) + action.name, BurnTableText(action.table),
       [](const result<http_response>&) {});
}

void report_duty::Execute(const list_snapshots& /*action*/) {
  Call("GET", std::string(kObjects) + "?prefix=" + std::string(kPrefix), {},
       [this](const result<http_response>& reply) {
         if (!reply || reply.value().status != http_status::kOk) return;
         const auto tree = nlohmann::json::parse(reply.value().body.data, nullptr, false);
         if (!tree.is_object() || !tree.contains("names")) return;
         self_->Offer(snapshot_names{tree["names"].get<std::vector<std::string>>()});
       });
}

void report_duty::Execute(const read_snapshot& action) {
  Call("GET", std::string(kObjects) + action.name, {},
       [this, name = action.name](const result<http_response>& reply) {
         if (!reply || reply.value().status != http_status::kOk) return;
         auto table = ParseBurnTable(reply.value().body.data);
         if (table) self_->Offer(snapshot_read{name, std::move(table.value())});
       });
}

void report_duty::Execute(const report_answer& action) { front_->Answer(action); }

}  // namespace eelgrass

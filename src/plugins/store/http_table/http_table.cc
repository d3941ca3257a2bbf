/** \file
 * The platform's table service over HTTP and JSON.
 */
#include <atomic>
#include <nlohmann/json.hpp>

#include "kernel/base/http_status.h"
#include "kernel/base/log_event.h"
#include "kernel/encoding/record_json.h"
#include "kernel/io/table_store.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

constexpr int kScanLimit = 2000;  // rows

void ReadRows(const json& rows, std::vector<stored_record>& records) {
  for (const auto& row : rows) {
    auto parsed = ParseRecord(row.at("key").get<std::string>(), row.at("value").get<std::string>());
    if (!parsed) {
      log_event("row-skipped", log_level::kWarning).With("error", ToString(parsed.error()));
      continue;
    }
    records.push_back({row.at("revision").get<int64_t>(), std::move(parsed.value())});
  }
}

/** Scans by GET /tables?since=, writes by POST /tables/txn. */
class http_table : public table_store {
 public:
  http_table(store_options options, http_client& client)
      : options_(std::move(options)), client_(client) {}

  void Submit(store_call call, store_listener& listener) override {
    const uint64_t token = call.token;
    if (in_flight_.fetch_add(1) >= options_.max_in_flight) {
      --in_flight_;
      listener.OnStore({token, store_status::kUnavailable, 0, false, {}});
      return;
    }
    const bool writes = std::holds_alternative<write_records>(call.what);
    client_.Start(Encode(call),
                  [this, token, writes, &listener](const result<http_response>& reply) {
                    --in_flight_;
                    listener.OnStore(Decode(token, writes, reply));
                  });
  }

 private:
  http_call Encode(const store_call& call) const {
    http_call http;
    http.timeout = options_.timeout;
    if (const auto* scan = std::get_if<scan_changes>(&call.what)) {
      http.method = "GET";
      http.url = options_.url + "/tables?since=" + std::to_string(scan->since) +
                 "&limit=" + std::to_string(kScanLimit);
      return http;
    }
    json writes = json::array();
    for (const auto& write : std::get<write_records>(call.what).writes) {
      writes.push_back({{"key", RecordKey(write.value)},
                        {"expected", write.expected},
                        {"value", RecordText(write.value)}});
    }
    http.method = "POST";
    http.url = options_.url + "/tables/txn";
    http.headers.push_back({"Content-Type", "application/json"});
    http.body.data = json{{"writes", std::move(writes)}}.dump();
    http.once = true;
    return http;
  }

  static store_answer Decode(uint64_t token, bool writes, const result<http_response>& reply) {
    store_answer answer;
    answer.token = token;
    if (!reply) {
      const bool never_sent = reply.error().kind != error_kind::kUnknown;
      const bool harmless = !writes || never_sent;
      answer.status = harmless ? store_status::kUnavailable : store_status::kUnknown;
      return answer;
    }
    try {
      const json tree = json::parse(reply.value().body.data);
      const int status = reply.value().status;
      if (status == http_status::kOk || status == http_status::kConflict) {
        answer.status = status == http_status::kOk ? store_status::kOk : store_status::kConflict;
        answer.revision = tree.at("revision").get<int64_t>();
        answer.more = tree.value("more", false);
        ReadRows(tree.value("rows", json::array()), answer.records);
      } else if (status == http_status::kServiceUnavailable || !writes) {
        answer.status = store_status::kUnavailable;
      }
    } catch (const json::exception&) {
      answer.status = writes ? store_status::kUnknown : store_status::kUnavailable;
    }
    return answer;
  }

  const store_options options_;
  http_client& client_;
  std::atomic<int> in_flight_{0};
};

const store_registration<http_table> kRegistration("http");

}  // namespace
}  // namespace eelgrass

#include "kernel/encoding/document_json.h"

#include <set>

#include "kernel/encoding/json_fields.h"

namespace eelgrass {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(rack_capacity, name, workers, each)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(domain_entry, name, region, out, out_mode, racks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_window, domain, from_ms, to_ms, mode)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(guarantee, shape, within, count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(organisation, name, weight, token_digests,
                                                guarantees, max_connections)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(operator_entry, name, token_digests, may_review)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_class, name, rank, idempotent, checkpoint_ms,
                                                longest_ms, max_attempts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_entry, name, default_deadline_ms, max_body,
                                                max_queue)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(objective, organisation, service, target,
                                                latency_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(document, version, base, deployment,
                                                review_required, domains, windows, organisations,
                                                operators, job_classes, services, objectives)

namespace {

using json = nlohmann::json;

template <typename T>
result<T> Parse(std::string_view text, std::string_view step) {
  try {
    return json::parse(text).get<T>();
  } catch (const json::exception& problem) {
    return Fail(error_kind::kInvalid, step, "", problem.what());
  }
}

/** Counts the nesting while the parser reads, so that deep input never becomes a tree. */
class depth_checker : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t, const std::string&, const json::exception& problem) override {
    problem_ = problem.what();
    return false;
  }

  const std::string& problem() const { return problem_; }

 private:
  bool Enter() {
    if (++depth_ <= kMaxJsonDepth) return true;
    problem_ = "nested deeper than " + std::to_string(kMaxJsonDepth);
    return false;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  std::string problem_;
};

const std::set<std::string, std::less<>>& JobFields() {
  static const std::set<std::string, std::less<>> kFields = {
      "name",   "organisation", "job_class", "tasks", "per_task",
      "within", "declared_ms",  "run_ms",    "fails"};
  return kFields;
}

}  // namespace

result<void> CheckJsonBounds(std::string_view text, size_t max_bytes) {
  if (text.size() > max_bytes) {
    return Fail(error_kind::kInvalid, "read-json", "",
                "longer than " + std::to_string(max_bytes) + " bytes");
  }
  depth_checker checker;
  if (json::sax_parse(text.begin(), text.end(), &checker)) return Ok();
  return Fail(error_kind::kInvalid, "read-json", "", checker.problem());
}

result<document> ParseDocument(std::string_view text) {
  BOOST_OUTCOME_TRY(CheckJsonBounds(text, kMaxDocumentBytes));
  return Parse<document>(text, "read-document");
}

std::string DocumentText(const document& doc) { return json(doc).dump(2); }

result<job_spec> ParseJobSpec(std::string_view text) {
  constexpr size_t kMaxJobBytes = 64 << 10;
  BOOST_OUTCOME_TRY(CheckJsonBounds(text, kMaxJobBytes));
  const json tree = json::parse(text);
  if (!tree.is_object()) {
    return Fail(error_kind::kInvalid, "read-job", "", "a job is a JSON object");
  }
  for (const auto& [key, value] : tree.items()) {
    if (!JobFields().contains(key)) {
      return Fail(error_kind::kInvalid, "read-job", "", "unknown field '" + key + "'");
    }
  }
  return Parse<job_spec>(text, "read-job");
}

}  // namespace eelgrass

/** \file
 * Batch records as JSON.
 */
#include <cmath>
#include <exception>
#include <stdexcept>

#include "kernel/batch/batch_records.h"
#include "kernel/encoding/json_fields.h"
#include "kernel/encoding/sound_json.h"

namespace eelgrass {
namespace {

constexpr double kSpeedUnits = 1000;  // logarithms are stored to three places
constexpr size_t kSpeedFields = 4;    // vm, slowness, deviation, time of the measurement

}  // namespace

NLOHMANN_JSON_SERIALIZE_ENUM(batch_state, {{batch_state::kPending, "pending"},
                                           {batch_state::kRunning, "running"},
                                           {batch_state::kCompleted, "completed"},
                                           {batch_state::kFailed, "failed"},
                                           {batch_state::kCancelled, "cancelled"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(amounts, cpu_milli, memory_mb, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(batch_step, count, each, estimate, after,
                                                checkpoints, gang, same_rack, speculative,
                                                long_running, fills, required_label, data_rack,
                                                max_per_worker, image, latency_target, may_miss)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(batch_job, id, queue, organisation, spec, steps,
                                                occurrences, first_start, interval, accepted_term,
                                                handed_in)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_progress, occurrence, step, index, done,
                                                failed_runs, saved)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_progress, job, part, state, tasks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(term_record, holder, nonce, fence, write, sent_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(open_start_record, task, run, agent_process,
                                                until_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_record, id, agent, address, born_ms, vm,
                                                gone, starts)

/** A list instead of an object: a row holds hundreds of them. */
void to_json(nlohmann::json& out, const vm_speed_record& speed) {
  const auto rounded = [](double value) { return std::round(value * kSpeedUnits) / kSpeedUnits; };
  out = {speed.vm, rounded(speed.slowness), rounded(speed.deviation), speed.measured_ms};
}
void from_json(const nlohmann::json& in, vm_speed_record& speed) {
  const auto number = [&in](size_t index) -> const nlohmann::json& {
    // The library would read a truth value as a number.
    if (!in.at(index).is_number()) throw std::invalid_argument("a value is not a number");
    return in.at(index);
  };
  if (!in.is_array() || in.size() != kSpeedFields) throw std::invalid_argument("not a speed");
  in.at(0).get_to(speed.vm);
  number(1).get_to(speed.slowness);
  number(2).get_to(speed.deviation);
  number(3).get_to(speed.measured_ms);
}
void to_json(nlohmann::json& out, const speeds_record& speeds) { out = {{"speeds", speeds.vms}}; }
void from_json(const nlohmann::json& in, speeds_record& speeds) {
  in.at("speeds").get_to(speeds.vms);
}

namespace {

template <typename Record>
std::string Write(const Record& record) {
  return WriteJson(record);
}

template <typename Record>
result<Record> Read(std::string_view text) {
  const auto body = ReadSoundJson(text);
  if (!body) return Fail(error_kind::kInvalid, "read-record", "", "the text cannot be read");
  try {
    return body->template get<Record>();
  } catch (const std::exception& problem) {
    return Fail(error_kind::kInvalid, "read-record", "", problem.what());
  }
}

class json_records : public batch_record_codec {
 public:
  std::string Encode(const batch_job& job) const override { return Write(job); }
  std::string Encode(const job_progress& progress) const override { return Write(progress); }
  std::string Encode(const term_record& term) const override { return Write(term); }
  std::string Encode(const worker_record& worker) const override { return Write(worker); }
  std::string Encode(const speeds_record& speeds) const override { return Write(speeds); }
  result<batch_job> DecodeJob(std::string_view text) const override {
    return Read<batch_job>(text);
  }
  result<job_progress> DecodeProgress(std::string_view text) const override {
    return Read<job_progress>(text);
  }
  result<term_record> DecodeTerm(std::string_view text) const override {
    return Read<term_record>(text);
  }
  result<worker_record> DecodeWorker(std::string_view text) const override {
    return Read<worker_record>(text);
  }
  result<speeds_record> DecodeSpeeds(std::string_view text) const override {
    return Read<speeds_record>(text);
  }
};

const record_codec_registration<json_records> kRegistration("json");

}  // namespace
}  // namespace eelgrass

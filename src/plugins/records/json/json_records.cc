/** \file
 * Batch records as JSON.
 */
#include "kernel/batch/batch_records.h"
#include "kernel/encoding/json_fields.h"
#include "kernel/encoding/sound_json.h"

namespace eelgrass {

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
  } catch (const nlohmann::json::exception& problem) {
    return Fail(error_kind::kInvalid, "read-record", "", problem.what());
  }
}

class json_records : public batch_record_codec {
 public:
  std::string Encode(const batch_job& job) const override { return Write(job); }
  std::string Encode(const job_progress& progress) const override { return Write(progress); }
  std::string Encode(const term_record& term) const override { return Write(term); }
  std::string Encode(const worker_record& worker) const override { return Write(worker); }
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
};

const record_codec_registration<json_records> kRegistration("json");

}  // namespace
}  // namespace eelgrass

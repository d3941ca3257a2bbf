/** \file
 * Peer messages as CBOR arrays [number of the message type, fields by name].
 */
#include <array>
#include <optional>
#include <utility>

#include "kernel/encoding/json_fields.h"
#include "kernel/encoding/sound_json.h"
#include "kernel/io/peer_codec.h"

namespace eelgrass {

using json = nlohmann::json;

inline void to_json(json& out, const bytes& value) {
  out = json::binary(std::vector<uint8_t>(value.data.begin(), value.data.end()));
}
inline void from_json(const json& in, bytes& value) {
  const auto& content = in.get_binary();
  value.data.assign(content.begin(), content.end());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(header_field, name, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(hello, id, incarnation, role, address, domain,
                                                nonce, mac, processor)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(announce, service, slots, rack, region, capacity,
                                                leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(slot_demand, wanted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(slot_credit, credits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(agent_heartbeat, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(entry_heartbeat, version, sent_ms, fresh, sustains,
                                                permit_ms, entry_addresses)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(config_update, version, text, reduced)
inline void to_json(json& out, const config_fetch&) { out = json::object(); }
inline void from_json(const json&, config_fetch&) {}
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(attempt, id, organisation, method, path, headers,
                                                body, sent_ms, deadline_ms, idempotent, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(attempt_answer, id, state, status, headers, body,
                                                reason, service_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(resolve, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(attempt_done, ids)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(claim, id, key, home, home_incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(claim_answer, id, state, home, home_incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_id, job, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(reserve, gang, tasks, amount, hold_ms, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(reserve_answer, gang, granted, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(release, gang)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(commit, gang, members, run_ms, limit_ms, fails)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_arm, gang, anchor, lease_ms, run_ms, fails)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_armed, gang, armed, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_start, gang, lease_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_started, gang, started, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_renew, gang, lease_ms, open)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_renewed, gang, working)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_stop, gang, checkpoint_ms, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_member_done, gang, success, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_report, gang, state, ran_ms, saved_ms,
                                                failed_worker, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_report_ack, gang)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(gang_query, gang)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(held_gang, gang, amount)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_usage, held)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(amounts, cpu_milli, memory_mb, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_identity, id, born_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_profile, self, service, domain, address,
                                                capacity, rack, labels, draining, remaining_ms,
                                                cold_ms, vm)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(listed_run, task, run, saved, percent, load, ran_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(listed_end, number, task, run, how, saved)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(refused_start, task, run, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(unanswered_start, task, run, left_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_report, term, life, sequence, sent_ms,
                                                present, listed, listed_ago_ms, worker, running,
                                                ended, more_ends, lapsed_upto, refused, unanswered)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(wanted_run, task, run, spec, saved, ticket,
                                                target_ms, fills, confirmed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(run_ref, task, run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_order, term, sequence, worker, life, starts,
                                                stops, forget, seen_upto, grant_sequence, grant_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(planner_notice, term, planner, store_lost, entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_inquiry, id, question, job, queue)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_accepted, job, record, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_reply, id, outcome, state, waiting)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_open_starts, worker, address, vm, starts,
                                                agent, agent_process)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(worker_settled_starts, worker, runs, agent_process)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(open_starts_notice, workers, settled, number, term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(open_starts_received, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(queue_forecast, queue, wait_ms, wide_wait_ms,
                                                work_ms, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(urgent_usage, organisation, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(load_forecast, term, created_ms, age_ms, queues,
                                                urgent)

namespace {

using decoder = peer_message (*)(const json&);

template <size_t Index>
peer_message DecodeAs(const json& fields) {
  return fields.get<std::variant_alternative_t<Index, peer_message>>();
}

template <size_t... Index>
constexpr std::array<decoder, sizeof...(Index)> MakeDecoders(std::index_sequence<Index...>) {
  return {&DecodeAs<Index>...};
}

constexpr auto kDecoders =
    MakeDecoders(std::make_index_sequence<std::variant_size_v<peer_message>>());

/** CBOR through nlohmann::json. */
class cbor_codec : public peer_codec {
 public:
  std::string Encode(const peer_message& message) const override {
    json fields = std::visit([](const auto& m) { return json(m); }, message);
    std::string frame;
    json::to_cbor(json::array({message.index(), std::move(fields)}), frame);
    return frame;
  }

  result<peer_message> Decode(std::string_view frame) const override {
    const std::optional<json> tree = ReadSoundCbor(frame);
    if (!tree) return Fail(error_kind::kInvalid, "decode-frame", "", "the frame cannot be read");
    try {
      const auto index = tree->at(0).get<size_t>();
      if (index < kDecoders.size()) return kDecoders[index](tree->at(1));
    } catch (const json::exception& problem) {
      return Fail(error_kind::kInvalid, "decode-frame", "", problem.what());
    }
    return Fail(error_kind::kInvalid, "decode-frame", "", "unknown message type");
  }
};

const codec_registration<cbor_codec> kRegistration("cbor");

}  // namespace
}  // namespace eelgrass

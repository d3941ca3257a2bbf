#include "kernel/config/config_keeper.h"

#include <algorithm>

#include "kernel/base/log_event.h"
#include "kernel/encoding/document_json.h"

namespace eelgrass {
namespace {

constexpr millis kShortestBeat{1000};
constexpr millis kLongestBeat{5000};
constexpr int64_t kBeatMicrosPerAgent = 5000;  // 1,000 agents: one heartbeat each 5 s
constexpr millis kFetchInterval{500};
constexpr int64_t kPermitBeats = 2;  // a permission outlives one lost heartbeat
constexpr millis kPermitMargin{500};

/** What a worker agent needs of a document. */
std::string Reduce(const document& doc) {
  document reduced;
  reduced.version = doc.version;
  reduced.deployment = doc.deployment;
  reduced.windows = doc.windows;
  reduced.domains = doc.domains;
  for (auto& domain : reduced.domains) domain.racks.clear();
  return DocumentText(reduced);
}

}  // namespace

config_keeper::config_keeper() : document_(std::make_shared<document>()) {}

void config_keeper::On(const peer_up& event, millis now) {
  if (event.peer.role == peer_role::kEntry) return;
  agent_state& agent = agents_[event.peer.id];
  agent = agent_state{event.peer.role, 0, 0, now, false};
  Push(event.peer.id, agent);
  next_beat_ = millis(0);
}

void config_keeper::On(const peer_down& event) {
  const auto known = agents_.find(event.peer);
  if (known != agents_.end()) agents_.erase(known);
}

void config_keeper::On(const peer_said& event, millis now) {
  const auto known = agents_.find(event.peer);
  if (known == agents_.end()) return;
  agent_state& agent = known->second;
  if (const auto* beat = std::get_if<agent_heartbeat>(&event.message)) {
    agent.version = beat->version;
    agent.heard = now;
    highest_heard_ = std::max(highest_heard_, beat->version);
    const bool can_tell = agent.role == peer_role::kUpstreamAgent;
    if (beat->version > version() && can_tell && now >= next_fetch_) {
      next_fetch_ = now + kFetchInterval;
      messages_.push_back({event.peer, config_fetch{}});
    }
    if (beat->version < version()) {
      if (agent.sent == version()) agent.sent = 0;  // It was lost on the way.
      Push(event.peer, agent);
    }
  } else if (const auto* update = std::get_if<config_update>(&event.message)) {
    if (!update->reduced && Adopt(update->version, update->text)) PushAll();
  }
}

void config_keeper::On(const table_event& event) {
  const auto* row = std::get_if<config_record>(&event.value);
  if (row != nullptr) Adopt(row->version, row->text);
}

bool config_keeper::Adopt(int64_t new_version, const std::string& text) {
  if (new_version <= version()) return false;
  auto parsed = ParseDocument(text);
  if (!parsed) {
    log_event("document-unreadable", log_level::kError)
        .With("version", new_version)
        .With("error", ToString(parsed.error()));
    return false;
  }
  auto doc = std::make_shared<document>(std::move(parsed.value()));
  doc->version = new_version;
  document_ = doc;
  text_ = DocumentText(*doc);
  reduced_text_ = Reduce(*doc);
  highest_heard_ = std::max(highest_heard_, new_version);
  changed_ = true;
  next_beat_ = millis(0);
  return true;
}

void config_keeper::PushAll() {
  for (auto& [id, agent] : agents_) Push(id, agent);
}

void config_keeper::Push(const std::string& id, agent_state& agent) {
  if (version() == 0 || agent.sent >= version() || agent.version >= version()) return;
  agent.sent = version();
  const bool reduced = agent.role == peer_role::kWorkerAgent;
  messages_.push_back({id, config_update{version(), reduced ? reduced_text_ : text_, reduced}});
}

void config_keeper::Beat(millis now, bool fresh, bool sustains,
                         const std::vector<std::string>& addresses) {
  if (now < next_beat_) return;
  const auto count = static_cast<int64_t>(agents_.size());
  const millis pace =
      std::clamp(millis(count * kBeatMicrosPerAgent / 1000), kShortestBeat, kLongestBeat);
  next_beat_ = now + pace;
  const bool news = addresses != addresses_told_;
  addresses_told_ = addresses;
  entry_heartbeat beat;
  beat.version = version();
  beat.sent_ms = now.count();
  beat.fresh = fresh && !behind();
  beat.permit_ms = (pace * kPermitBeats + kPermitMargin).count();
  beat.sustains = sustains;
  for (auto& [id, agent] : agents_) {
    const bool tell = news || !agent.told_addresses;
    agent.told_addresses = true;
    beat.entry_addresses = tell ? addresses : std::vector<std::string>();
    messages_.push_back({id, beat});
  }
}

std::vector<peer_version> config_keeper::peers() const {
  std::vector<peer_version> all;
  for (const auto& [id, agent] : agents_) {
    all.push_back({id, agent.role, agent.version, agent.heard});
  }
  return all;
}

std::shared_ptr<const document> config_keeper::TakeChanged() {
  if (!changed_) return nullptr;
  changed_ = false;
  return document_;
}

}  // namespace eelgrass

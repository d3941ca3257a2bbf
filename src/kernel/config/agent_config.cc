#include "kernel/config/agent_config.h"

#include "kernel/base/log_event.h"
#include "kernel/encoding/document_json.h"

namespace eelgrass {
namespace {

constexpr millis kBeatInterval{5000};
constexpr millis kComplaintInterval{500};  // about an update that has not come

}  // namespace

agent_config::agent_config(std::vector<std::string> seeds)
    : seeds_(seeds.begin(), seeds.end()),
      dialled_(seeds.begin(), seeds.end()),
      document_(std::make_shared<document>()),
      to_dial_(std::move(seeds)) {}

void agent_config::On(const peer_up& event) {
  if (event.peer.role != peer_role::kEntry) return;
  entries_.insert(event.peer.id);
  messages_.push_back({event.peer.id, agent_heartbeat{version()}});
}

void agent_config::On(const peer_down& event) {
  const auto known = entries_.find(event.peer);
  if (known != entries_.end()) entries_.erase(known);
}

void agent_config::On(const peer_said& event, millis now) {
  if (const auto* update = std::get_if<config_update>(&event.message)) {
    OnUpdate(*update, now);
  } else if (std::holds_alternative<config_fetch>(event.message)) {
    if (version() > 0) messages_.push_back({event.peer, update_});
  } else if (const auto* beat = std::get_if<entry_heartbeat>(&event.message)) {
    if (!beat->entry_addresses.empty()) OnAddresses(beat->entry_addresses);
    const bool differs = beat->version != version();
    if (differs && now >= next_complaint_) {
      next_complaint_ = now + kComplaintInterval;
      messages_.push_back({event.peer, agent_heartbeat{version()}});
    }
  }
}

void agent_config::OnUpdate(const config_update& update, millis now) {
  if (update.version <= version()) return;
  auto parsed = ParseDocument(update.text);
  if (!parsed) {
    log_event("document-unreadable", log_level::kError).With("error", ToString(parsed.error()));
    return;
  }
  auto doc = std::make_shared<document>(std::move(parsed.value()));
  doc->version = update.version;
  document_ = doc;
  update_ = update;
  changed_ = true;
  TellAll(now);
}

void agent_config::OnAddresses(const std::vector<std::string>& addresses) {
  const std::set<std::string> wanted(addresses.begin(), addresses.end());
  for (const auto& address : wanted) {
    if (dialled_.insert(address).second) to_dial_.push_back(address);
  }
  for (auto known = dialled_.begin(); known != dialled_.end();) {
    if (wanted.contains(*known) || seeds_.contains(*known)) {
      ++known;
      continue;
    }
    to_undial_.push_back(*known);
    known = dialled_.erase(known);
  }
}

void agent_config::TellAll(millis now) {
  next_beat_ = now + kBeatInterval;
  for (const auto& entry : entries_) messages_.push_back({entry, agent_heartbeat{version()}});
}

void agent_config::Tick(millis now) {
  if (now >= next_beat_) TellAll(now);
}

std::shared_ptr<const document> agent_config::TakeChanged() {
  if (!changed_) return nullptr;
  changed_ = false;
  return document_;
}

}  // namespace eelgrass

/** \file
 * The configuration in force at an agent.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/duty_events.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/**
 * Keeps the highest version that any entry has sent, tells all entries which one it is, and passes
 * the whole document on to entries that ask for it. Also keeps the list of entries to connect to.
 */
class agent_config {
 public:
  /** `seeds` are the addresses from the settings; they are always kept. */
  explicit agent_config(std::vector<std::string> seeds);

  void On(const peer_up& event);
  void On(const peer_down& event);
  void On(const peer_said& event, millis now);
  void Tick(millis now);

  int64_t version() const { return document_->version; }

  /** The document when it has changed since the last call. */
  std::shared_ptr<const document> TakeChanged();

  /** Messages to send; the caller empties it. */
  std::vector<send_to_peer>& messages() { return messages_; }

  /** Addresses to connect to and to leave; the caller empties them. */
  std::vector<std::string>& to_dial() { return to_dial_; }
  std::vector<std::string>& to_undial() { return to_undial_; }

 private:
  void OnUpdate(const config_update& update, millis now);
  void OnAddresses(const std::vector<std::string>& addresses);
  void TellAll(millis now);

  const std::set<std::string> seeds_;
  std::set<std::string> dialled_;
  std::set<std::string, std::less<>> entries_;
  std::shared_ptr<const document> document_;
  config_update update_;
  bool changed_ = false;
  millis next_beat_{0};
  millis next_complaint_{0};
  std::vector<send_to_peer> messages_;
  std::vector<std::string> to_dial_;
  std::vector<std::string> to_undial_;
};

}  // namespace eelgrass

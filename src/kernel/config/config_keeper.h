/** \file
 * The configuration in force at an entry, and how it spreads.
 */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/duty_events.h"
#include "kernel/model/link_events.h"
#include "kernel/records/record_table.h"

namespace eelgrass {

/** Version in force at a peer, for operators. */
struct peer_version {
  std::string peer;
  peer_role role = peer_role::kEntry;
  int64_t version = 0;
  millis heard{0};
};

/**
 * Holds the highest version seen, from the store or from an agent, and never goes to a lower one.
 * Pushes it to agents that report a lower one, and asks upstream agents that report a higher one
 * for it, so that a version also spreads between entries while the store is down.
 */
class config_keeper {
 public:
  config_keeper();

  void On(const peer_up& event, millis now);
  void On(const peer_down& event);
  void On(const peer_said& event, millis now);
  void On(const table_event& event);

  /** Takes a document into force. False when it is not newer, or is not valid. */
  bool Adopt(int64_t version, const std::string& text);

  /** Sends the document to every agent that does not have it. */
  void PushAll();

  /** Heartbeats to all agents, at a pace that keeps within the traffic budget. */
  void Beat(millis now, bool fresh, bool sustains, const std::vector<std::string>& addresses);

  int64_t version() const { return document_->version; }
  const std::string& text() const { return text_; }
  std::shared_ptr<const document> current() const { return document_; }

  /** Whether a peer has a version that this entry does not have. */
  bool behind() const { return highest_heard_ > version(); }

  std::vector<peer_version> peers() const;

  /** Messages to send; the caller empties it. */
  std::vector<send_to_peer>& messages() { return messages_; }

  /** The document when it has changed since the last call. */
  std::shared_ptr<const document> TakeChanged();

 private:
  struct agent_state {
    peer_role role = peer_role::kWorkerAgent;
    int64_t version = 0;
    int64_t sent = 0;
    millis heard{0};
    bool told_addresses = false;
  };

  void Push(const std::string& agent, agent_state& state);

  std::shared_ptr<const document> document_;
  std::string text_;
  std::string reduced_text_;
  std::map<std::string, agent_state, std::less<>> agents_;
  int64_t highest_heard_ = 0;
  millis next_fetch_{0};
  millis next_beat_{0};
  bool changed_ = false;
  std::vector<std::string> addresses_told_;
  std::vector<send_to_peer> messages_;
};

}  // namespace eelgrass

/** \file
 * Sends the requests of eelgrassctl to an entry.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/error.h"
#include "kernel/base/settings.h"
#include "kernel/io/http_client.h"

namespace eelgrass {

/** A complete HTTP response. */
struct ctl_reply {
  int status = 0;
  std::string body;
  std::vector<header_field> headers;
};

/** Sends requests to the first entry that answers, with the operator's token. */
class ctl_session {
 public:
  ctl_session(const settings& values, http_client& client);

  result<ctl_reply> Send(std::string_view method, std::string_view path,
                         const std::string& body = {},
                         const std::vector<header_field>& headers = {});

  bool json() const { return json_; }
  const settings& values() const { return settings_; }

  /** Idempotency key of a change or job: the setting `key`, or a new key if that is empty. */
  std::string Key(std::string_view content) const;

 private:
  result<ctl_reply> SendTo(const std::string& entry, std::string_view method, std::string_view path,
                           const std::string& body, const std::vector<header_field>& headers);

  const settings& settings_;
  http_client& client_;
  const bool json_;
};

}  // namespace eelgrass

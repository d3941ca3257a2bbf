#include "daemons/ctl/ctl_session.h"

#include <future>

#include "kernel/base/digest.h"

namespace eelgrass {

ctl_session::ctl_session(const settings& values, http_client& client)
    : settings_(values), client_(client), json_(values.text("json") == "yes") {}

std::string ctl_session::Key(std::string_view content) const {
  const std::string& chosen = settings_.text("key");
  constexpr int kRandomBytes = 12;
  return chosen.empty() ? Sha256Hex(content) + RandomHex(kRandomBytes) : chosen;
}

result<ctl_reply> ctl_session::Send(std::string_view method, std::string_view path,
                                    const std::string& body,
                                    const std::vector<header_field>& headers) {
  error last{error_kind::kUnavailable, "find-entry", "", "the setting --entries is empty"};
  for (const auto& entry : settings_.list("entries")) {
    auto reply = SendTo(entry, method, path, body, headers);
    if (reply) return reply;
    last = reply.error();
    // The idempotency key makes it safe to ask another entry after a lost reply.
  }
  return last;
}

result<ctl_reply> ctl_session::SendTo(const std::string& entry, std::string_view method,
                                      std::string_view path, const std::string& body,
                                      const std::vector<header_field>& headers) {
  http_call call;
  call.method = method;
  call.url = "http://" + entry + std::string(path);
  call.headers = headers;
  call.headers.push_back({"Authorization", "Bearer " + settings_.text("token")});
  call.body.data = body;
  call.timeout = millis(settings_.number("timeout-ms"));
  call.once = true;
  std::promise<result<http_response>> done;
  auto answer = done.get_future();
  client_.Start(std::move(call),
                [&done](result<http_response> reply) { done.set_value(std::move(reply)); });
  auto reply = answer.get();
  if (!reply) return std::move(reply.error());
  return ctl_reply{reply.value().status, std::move(reply.value().body.data),
                   std::move(reply.value().headers)};
}

}  // namespace eelgrass

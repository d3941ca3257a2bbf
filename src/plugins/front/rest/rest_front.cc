/** \file
 * The HTTP front end for callers and operators.
 */
#include <atomic>
#include <charconv>
#include <mutex>

#include "kernel/base/digest.h"
#include "kernel/base/http_status.h"
#include "kernel/front/caller_front.h"
#include "kernel/report/burn_format.h"
#include "plugins/front/rest/rest_replies.h"
#include "plugins/front/rest/rest_routes.h"

namespace eelgrass {
namespace {

constexpr std::string_view kServices = "/v1/services/";
constexpr size_t kMaxKeyLength = 200;

bool IdempotentMethod(std::string_view method) {
  constexpr std::string_view kMethods[] = {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::find(std::begin(kMethods), std::end(kMethods), method) != std::end(kMethods);
}

/** Whether a header concerns one connection only, or this system. */
bool StaysHere(const header_field& field) {
  constexpr std::string_view kNames[] = {
      "connection", "keep-alive",     "proxy-authenticate", "proxy-authorization",
      "te",         "trailer",        "transfer-encoding",  "upgrade",
      "host",       "content-length", "authorization",      "expect"};
  std::string name = field.name;
  for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  if (name.rfind("eelgrass-", 0) == 0 || name == "idempotency-key") return true;
  return std::find(std::begin(kNames), std::end(kNames), name) != std::end(kNames);
}

std::vector<header_field> Forwarded(const std::vector<header_field>& headers) {
  std::vector<header_field> kept;
  for (const auto& field : headers) {
    if (!StaysHere(field)) kept.push_back(field);
  }
  return kept;
}

/** REST and relay on one server. */
class rest_front : public caller_front, public http_handler {
 public:
  explicit rest_front(front_context context)
      : context_(std::move(context)), document_(std::make_shared<document>()) {}

  result<void> Start() override { return context_.server.Start(*this); }

  void SetDocument(std::shared_ptr<const document> doc) override {
    std::lock_guard lock(mutex_);
    document_ = std::move(doc);
  }

  void SetReady(bool ready) override { ready_ = ready; }

  void Handle(http_request request) override {
    const std::string_view path = request.path();
    if (path == "/healthz") return Plain(request.id, 200, "alive\n");
    if (path == "/readyz") {
      return Plain(request.id, ready_ ? http_status::kOk : http_status::kServiceUnavailable,
                   ready_ ? "ready\n" : "no\n");
    }
    if (path == "/metrics") return Plain(request.id, 200, context_.counters.Text());
    const auto who = Identify(request);
    if (!who) return Unauthorised(request.id);
    if (path.substr(0, kServices.size()) == kServices) {
      Relay(std::move(request), *who);
    } else {
      Command(request, *who);
    }
  }

  void Answer(const caller_answer& answer) override {
    http_response response;
    if (answer.outcome == request_outcome::kCompleted) {
      response.status = answer.status;
      response.headers = Forwarded(answer.headers);
      response.body = answer.body;
    } else {
      response = ProblemResponse(answer.status, answer.problem);
    }
    const std::string outcome(OutcomeName(answer.outcome));
    response.headers.push_back({"Eelgrass-Outcome", outcome});
    response.close = !ready_;
    context_.counters.Count("requests_total{outcome=\"" + outcome + "\"}");
    context_.server.Respond(answer.caller, std::move(response));
  }

  void Answer(const addressed_reply& answer) override {
    context_.server.Respond(answer.caller, ViewResponse(answer.reply));
  }

  void Answer(const report_answer& answer) override {
    const auto format = burn_format_registry::Instance().Create(answer.format);
    http_response response;
    response.status = 200;
    response.headers.push_back({"Content-Type", format.value()->content_type()});
    response.body.data = format.value()->Write(answer.report);
    context_.server.Respond(answer.caller, std::move(response));
  }

 private:
  std::shared_ptr<const document> Document() const {
    std::lock_guard lock(mutex_);
    return document_;
  }

  std::optional<principal> Identify(const http_request& request) const {
    constexpr std::string_view kScheme = "Bearer ";
    const std::string_view header = request.Header("Authorization");
    if (header.substr(0, kScheme.size()) != kScheme) return std::nullopt;
    const std::string digest = Sha256Hex(header.substr(kScheme.size()));
    const auto doc = Document();
    const bool bootstrap = doc->version == 0 && !context_.bootstrap_digest.empty() &&
                           EqualInConstantTime(digest, context_.bootstrap_digest);
    if (bootstrap) return principal{principal::kind::kOperator, "bootstrap", true};
    return FindPrincipal(*doc, digest);
  }

  void Plain(uint64_t id, int status, std::string text) {
    http_response response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain; charset=utf-8"});
    response.body.data = std::move(text);
    response.close = !ready_;
    context_.server.Respond(id, std::move(response));
  }

  void Unauthorised(uint64_t id) {
    http_response response = ProblemResponse(
        http_status::kUnauthorized, {error_kind::kInvalid, "identify-caller", context_.entry,
                                     "a valid bearer token is needed"});
    response.headers.push_back({"WWW-Authenticate", "Bearer"});
    response.headers.push_back({"Eelgrass-Outcome", "not-run"});
    context_.server.Respond(id, std::move(response));
  }

  void RefuseRelay(uint64_t id, int status, error_kind kind, std::string_view step,
                   std::string_view detail) {
    caller_answer answer;
    answer.caller = id;
    answer.outcome = request_outcome::kNotRun;
    answer.status = status;
    answer.problem = {kind, std::string(step), context_.entry, std::string(detail)};
    Answer(answer);
  }

  void Relay(http_request request, const principal& who) {
    const std::string_view target = request.target;
    const std::string_view rest = target.substr(kServices.size());
    const size_t end = rest.find_first_of("/?");
    caller_request call;
    call.caller = request.id;
    call.organisation = who.name;
    call.service = rest.substr(0, end);
    call.method = request.method;
    call.path = end == std::string_view::npos ? "/" : std::string(rest.substr(end));
    if (call.path.front() == '?') call.path.insert(0, "/");
    call.idempotent = IdempotentMethod(request.method);
    const std::string_view marked = request.Header("Eelgrass-Idempotent");
    const std::string_view deadline = request.Header("Eelgrass-Deadline-Ms");
    const std::string_view key = request.Header("Idempotency-Key");
    const auto invalid = [&](std::string_view detail) {
      RefuseRelay(request.id, http_status::kBadRequest, error_kind::kInvalid, "read-request",
                  detail);
    };
    if (who.is_operator()) return invalid("operators' tokens are not for services");
    if (!marked.empty() && marked != "yes" && marked != "no") {
      return invalid("Eelgrass-Idempotent must be yes or no");
    }
    if (!marked.empty()) call.idempotent = marked == "yes";
    if (!deadline.empty()) {
      int64_t value = 0;
      const auto parsed =
          std::from_chars(deadline.data(), deadline.data() + deadline.size(), value);
      const bool whole = parsed.ptr == deadline.data() + deadline.size();
      if (parsed.ec != std::errc() || !whole || value <= 0) {
        return invalid("Eelgrass-Deadline-Ms must be a whole number of milliseconds above 0");
      }
      call.deadline = millis(value);
    }
    if (key.size() > kMaxKeyLength || key.find('\n') != std::string_view::npos) {
      return invalid("Idempotency-Key must be at most 200 characters");
    }
    call.key = key;
    call.headers = Forwarded(request.headers);
    call.body = std::move(request.body);
    const uint64_t id = request.id;
    if (context_.router.Offer(std::move(call))) return;
    RefuseRelay(id, http_status::kServiceUnavailable, error_kind::kExhausted, "queue-request",
                "the entry's request ring is full");
  }

  void Report(const http_request& request) {
    const std::string_view asked = request.Parameter("format");
    const std::string format = asked.empty() ? "text" : std::string(asked);
    const auto known = burn_format_registry::Instance().Create(format);
    if (!known) {
      const error& problem = known.error();
      context_.server.Respond(request.id, ProblemResponse(StatusOf(problem.kind), problem));
      return;
    }
    if (context_.reports.Offer(report_wanted{request.id, format})) return;
    const error full{error_kind::kExhausted, "queue-report", context_.entry,
                     "the entry's report ring is full"};
    context_.server.Respond(request.id, ProblemResponse(http_status::kServiceUnavailable, full));
  }

  void Command(const http_request& request, const principal& who) {
    if (who.is_operator() && request.path() == "/v1/report/burn") return Report(request);
    auto command = RouteCommand(request);
    if (!command) {
      const error& problem = command.error();
      context_.server.Respond(request.id, ProblemResponse(StatusOf(problem.kind), problem));
      return;
    }
    submitted_command order{{request.id, who}, std::move(command.value())};
    if (context_.control.Offer(std::move(order))) return;
    const error full{error_kind::kExhausted, "queue-command", context_.entry,
                     "the entry's control ring is full"};
    context_.server.Respond(request.id, ProblemResponse(http_status::kServiceUnavailable, full));
  }

  front_context context_;
  mutable std::mutex mutex_;
  std::shared_ptr<const document> document_;
  std::atomic<bool> ready_{false};
};

const caller_front_registration<rest_front> kRegistration("rest");

}  // namespace
}  // namespace eelgrass

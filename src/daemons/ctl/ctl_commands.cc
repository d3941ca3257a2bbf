/** \file
 * The commands of eelgrassctl.
 */
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "daemons/ctl/ctl_command.h"
#include "daemons/ctl/ctl_views.h"
#include "kernel/base/digest.h"
#include "kernel/config/document_rules.h"
#include "kernel/config/document_schema.h"

namespace eelgrass {
namespace {

result<std::string> ReadFile(const std::string& path) {
  std::ostringstream content;
  if (path == "-") {
    content << std::cin.rdbuf();
    return content.str();
  }
  std::ifstream file(path, std::ios::binary);
  if (!file || !(content << file.rdbuf())) {
    return Fail(error_kind::kInvalid, "read-file", path, "the file cannot be read");
  }
  return content.str();
}

ctl_exit ReportFileError(const error& problem) {
  std::cerr << ToString(problem) << "\n";
  return ctl_exit::kUsage;
}

/** A command that sends one request and shows the reply. */
class request_command : public ctl_command {
 public:
  struct description {
    std::string_view words;
    std::string_view arguments;
    std::string_view help;
    std::string_view method;
    std::string_view path;  // {} is replaced by the first argument
    std::string_view view;
  };

  explicit request_command(description what) : description_(what) {}

  std::string_view words() const override { return description_.words; }
  std::string_view arguments() const override { return description_.arguments; }
  std::string_view help() const override { return description_.help; }
  size_t min_arguments() const override { return description_.arguments.empty() ? 0 : 1; }

  ctl_exit Run(ctl_session& session, std::span<const std::string> arguments) override {
    std::string path(description_.path);
    const size_t position = path.find("{}");
    if (position != std::string::npos) path.replace(position, 2, arguments.front());
    std::vector<header_field> headers;
    if (description_.method != "GET") headers.push_back({"Idempotency-Key", session.Key(path)});
    const auto reply = session.Send(description_.method, path, {}, headers);
    return ShowReply(session, reply, description_.view, std::cout, std::cerr);
  }

 private:
  const description description_;
};

/** Base of commands that read a file and submit or check its content. */
class file_command : public ctl_command {
 public:
  std::string_view arguments() const override { return "FILE"; }
  size_t min_arguments() const override { return 1; }

  ctl_exit Run(ctl_session& session, std::span<const std::string> arguments) override {
    auto text = ReadFile(arguments.front());
    if (!text) return ReportFileError(text.error());
    return Process(session, text.value());
  }

 protected:
  virtual ctl_exit Process(ctl_session& session, const std::string& text) = 0;

  static ctl_exit Submit(ctl_session& session, std::string_view method, std::string_view path,
                         const std::string& text, std::string_view view) {
    std::vector<header_field> headers{{"Idempotency-Key", session.Key(text)},
                                      {"Content-Type", "application/json"}};
    const std::string& note = session.values().text("note");
    if (!note.empty()) headers.push_back({"Eelgrass-Note", note});
    const auto reply = session.Send(method, path, text, headers);
    return ShowReply(session, reply, view, std::cout, std::cerr);
  }
};

class validate_config : public file_command {
 public:
  std::string_view words() const override { return "config validate"; }
  std::string_view help() const override {
    return "check a document locally, without contacting an entry";
  }

 protected:
  ctl_exit Process(ctl_session& /*session*/, const std::string& text) override {
    const checked_document checked = CheckDocument(text);
    for (const auto& issue : checked.issues) {
      std::cout << (issue.warning ? "warning" : "error") << " at '" << issue.pointer
                << "': " << issue.problem << "; allowed: " << issue.allowed << "\n";
    }
    std::cout << (checked.valid() ? "valid" : "not valid") << "\n";
    return checked.valid() ? ctl_exit::kDone : ctl_exit::kRefused;
  }
};

class plan_config : public file_command {
 public:
  std::string_view words() const override { return "config plan"; }
  std::string_view help() const override { return "show what a document would change"; }

 protected:
  ctl_exit Process(ctl_session& session, const std::string& text) override {
    return Submit(session, "POST", "/v1/config/plan", text, "plan");
  }
};

class apply_config : public file_command {
 public:
  std::string_view words() const override { return "config apply"; }
  std::string_view help() const override { return "apply a document now"; }

 protected:
  ctl_exit Process(ctl_session& session, const std::string& text) override {
    return Submit(session, "PUT", "/v1/config", text, "change");
  }
};

class book_change : public file_command {
 public:
  std::string_view words() const override { return "change book"; }
  std::string_view help() const override {
    return "schedule a document for the time given by --due-ms";
  }

 protected:
  ctl_exit Process(ctl_session& session, const std::string& text) override {
    const std::string path = "/v1/changes?due_ms=" + session.values().text("due-ms");
    return Submit(session, "POST", path, text, "change");
  }
};

/** Prints the current document with its version as `base`, ready to be edited. */
class new_change : public ctl_command {
 public:
  std::string_view words() const override { return "change new"; }
  std::string_view arguments() const override { return ""; }
  std::string_view help() const override { return "print the current document for editing"; }
  size_t min_arguments() const override { return 0; }

  ctl_exit Run(ctl_session& session, std::span<const std::string> /*arguments*/) override {
    const auto reply = session.Send("GET", "/v1/config");
    const auto tree =
        reply ? nlohmann::json::parse(reply.value().body, nullptr, false) : nlohmann::json();
    if (!tree.is_object() || !tree.contains("document")) {
      return ShowReply(session, reply, "", std::cout, std::cerr);
    }
    nlohmann::json document = tree["document"];
    document["base"] = tree["version"];
    std::cout << document.dump(2) << "\n";
    return ctl_exit::kDone;
  }
};

class submit_jobs : public file_command {
 public:
  std::string_view words() const override { return "jobs submit"; }
  std::string_view help() const override { return "submit a job, or an array of jobs"; }

 protected:
  ctl_exit Process(ctl_session& session, const std::string& text) override {
    const auto tree = nlohmann::json::parse(text, nullptr, false);
    if (!tree.is_array()) return Submit(session, "POST", "/v1/jobs", text, "job");
    ctl_exit last_failure = ctl_exit::kDone;
    for (const auto& job : tree) {
      const ctl_exit ended = Submit(session, "POST", "/v1/jobs", job.dump(), "job");
      if (ended != ctl_exit::kDone) last_failure = ended;
    }
    return last_failure;
  }
};

class show_schema : public ctl_command {
 public:
  std::string_view words() const override { return "config schema"; }
  std::string_view arguments() const override { return ""; }
  std::string_view help() const override { return "print the JSON Schema of the document"; }
  size_t min_arguments() const override { return 0; }
  ctl_exit Run(ctl_session& /*session*/, std::span<const std::string> /*arguments*/) override {
    std::cout << DocumentSchema() << "\n";
    return ctl_exit::kDone;
  }
};

class digest_token : public ctl_command {
 public:
  std::string_view words() const override { return "token digest"; }
  std::string_view arguments() const override { return "TOKEN"; }
  std::string_view help() const override { return "print a token's digest for the document"; }
  size_t min_arguments() const override { return 1; }
  ctl_exit Run(ctl_session& /*session*/, std::span<const std::string> arguments) override {
    std::cout << Sha256Hex(arguments.front()) << "\n";
    return ctl_exit::kDone;
  }
};

class new_token : public ctl_command {
 public:
  std::string_view words() const override { return "token new"; }
  std::string_view arguments() const override { return ""; }
  std::string_view help() const override { return "print a random token"; }
  size_t min_arguments() const override { return 0; }
  ctl_exit Run(ctl_session& /*session*/, std::span<const std::string> /*arguments*/) override {
    constexpr int kTokenBytes = 24;
    std::cout << RandomHex(kTokenBytes) << "\n";
    return ctl_exit::kDone;
  }
};

constexpr request_command::description kRequests[] = {
    {"config show", "", "show the current configuration", "GET", "/v1/config", ""},
    {"config everywhere", "", "show the configuration version of each process", "GET",
     "/v1/config/everywhere", "everywhere"},
    {"config version", "VERSION", "show a past configuration", "GET", "/v1/config?version={}", ""},
    {"change list", "", "list booked and past changes", "GET", "/v1/changes", "changes"},
    {"change show", "ID", "show a change", "GET", "/v1/changes/{}", "change"},
    {"change review", "ID", "approve another operator's change", "POST", "/v1/changes/{}/review",
     "change"},
    {"change withdraw", "ID", "withdraw a booked change", "POST", "/v1/changes/{}/withdraw",
     "change"},
    {"jobs list", "", "list jobs", "GET", "/v1/jobs", "jobs"},
    {"jobs show", "ID", "show a job", "GET", "/v1/jobs/{}", "job"},
    {"jobs explain", "ID", "explain why a job is waiting", "GET", "/v1/jobs/{}", "job"},
    {"jobs cancel", "ID", "cancel a job", "DELETE", "/v1/jobs/{}", "job"},
    {"domains list", "", "list failure domains", "GET", "/v1/domains", "domains"},
    {"domains out", "NAME", "take a failure domain out of service and move its work", "POST",
     "/v1/domains/{}/out?mode=move", "change"},
    {"domains drain", "NAME", "take a failure domain out of service and let its work finish",
     "POST", "/v1/domains/{}/out?mode=drain", "change"},
    {"domains stop", "NAME", "take a failure domain out of service and stop its work", "POST",
     "/v1/domains/{}/out?mode=stop", "change"},
    {"domains in", "NAME", "return a failure domain to service", "POST", "/v1/domains/{}/in",
     "change"},
    {"workers list", "", "list workers", "GET", "/v1/workers", "workers"},
    {"upstreams list", "", "list upstreams", "GET", "/v1/upstreams", "upstreams"},
    {"report burn", "", "show the service-level burn", "GET", "/v1/report/burn?format=text", ""},
    {"report html", "", "print the service-level burn as a page with plots", "GET",
     "/v1/report/burn?format=html", ""},
    {"report json", "", "print the service-level burn as JSON", "GET",
     "/v1/report/burn?format=json", ""},
    {"status", "", "show the state of the system", "GET", "/v1/status", "status"},
};

}  // namespace

std::vector<std::unique_ptr<ctl_command>> AllCtlCommands() {
  std::vector<std::unique_ptr<ctl_command>> commands;
  commands.push_back(std::make_unique<validate_config>());
  commands.push_back(std::make_unique<plan_config>());
  commands.push_back(std::make_unique<apply_config>());
  commands.push_back(std::make_unique<show_schema>());
  commands.push_back(std::make_unique<new_change>());
  commands.push_back(std::make_unique<book_change>());
  commands.push_back(std::make_unique<submit_jobs>());
  commands.push_back(std::make_unique<new_token>());
  commands.push_back(std::make_unique<digest_token>());
  for (const auto& request : kRequests) {
    commands.push_back(std::make_unique<request_command>(request));
  }
  return commands;
}

}  // namespace eelgrass

#include "kernel/config/document_rules.h"

#include <algorithm>
#include <set>

#include "kernel/config/document_schema.h"
#include "kernel/encoding/document_json.h"
#include "kernel/jobs/guarantee_ledger.h"

namespace eelgrass {
namespace {

/** Collects issues with their places. */
class rule_checker {
 public:
  explicit rule_checker(const document& doc) : doc_(doc) {}

  document_issues Run() {
    CheckNames("/domains", doc_.domains);
    CheckNames("/organisations", doc_.organisations);
    CheckNames("/operators", doc_.operators);
    CheckNames("/job_classes", doc_.job_classes);
    CheckNames("/services", doc_.services);
    CheckDigests();
    CheckWindows();
    CheckObjectives();
    CheckGuarantees();
    return std::move(issues_);
  }

 private:
  void Add(const std::string& pointer, std::string problem, std::string allowed,
           bool warning = false) {
    issues_.push_back({pointer, std::move(problem), std::move(allowed), warning});
  }

  static std::string At(const std::string& list, size_t index) {
    return list + "/" + std::to_string(index);
  }

  template <typename Entry>
  void CheckNames(const std::string& list, const std::vector<Entry>& entries) {
    std::set<std::string_view> seen;
    for (size_t i = 0; i < entries.size(); ++i) {
      if (seen.insert(entries[i].name).second) continue;
      Add(At(list, i) + "/name", "the name '" + entries[i].name + "' is used twice",
          "a name of its own");
    }
  }

  void CheckDigests() {
    std::set<std::string_view> seen;
    const auto check = [&](const std::string& place, const std::vector<std::string>& digests) {
      for (size_t i = 0; i < digests.size(); ++i) {
        if (seen.insert(digests[i]).second) continue;
        Add(At(place + "/token_digests", i), "the same token belongs to somebody else",
            "a token of its own");
      }
    };
    for (size_t i = 0; i < doc_.organisations.size(); ++i) {
      check(At("/organisations", i), doc_.organisations[i].token_digests);
    }
    for (size_t i = 0; i < doc_.operators.size(); ++i) {
      check(At("/operators", i), doc_.operators[i].token_digests);
    }
    const auto reviewers = std::count_if(doc_.operators.begin(), doc_.operators.end(),
                                         [](const auto& person) { return person.may_review; });
    if (doc_.review_required && (reviewers == 0 || doc_.operators.size() < 2)) {
      Add("/review_required", "nobody could review a change",
          "two operators, one of whom may review; or false");
    }
  }

  void CheckWindows() {
    for (size_t i = 0; i < doc_.windows.size(); ++i) {
      const service_window& window = doc_.windows[i];
      const std::string place = At("/windows", i);
      if (doc_.FindDomain(window.domain) == nullptr) {
        Add(place + "/domain", "there is no failure domain '" + window.domain + "'", DomainNames());
      }
      if (window.from_ms >= window.to_ms) {
        Add(place + "/to_ms", "the window ends before it begins", "a time after from_ms");
      }
      for (size_t j = 0; j < i; ++j) {
        const service_window& other = doc_.windows[j];
        const bool overlap = other.domain == window.domain && other.from_ms < window.to_ms &&
                             window.from_ms < other.to_ms;
        if (overlap) {
          Add(place, "overlaps " + At("/windows", j) + " of the same failure domain",
              "one window at a time for each failure domain");
        }
      }
    }
  }

  std::string DomainNames() const {
    std::string names = "one of";
    for (const auto& domain : doc_.domains) names += " " + domain.name;
    return names;
  }

  void CheckObjectives() {
    for (size_t i = 0; i < doc_.objectives.size(); ++i) {
      const objective& goal = doc_.objectives[i];
      const bool known =
          doc_.FindService(goal.service) != nullptr || doc_.FindJobClass(goal.service) != nullptr;
      if (!known) {
        Add(At("/objectives", i) + "/service",
            "there is no service or job class '" + goal.service + "'", "a name from the document");
      }
      if (!goal.organisation.empty() && doc_.FindOrganisation(goal.organisation) == nullptr) {
        Add(At("/objectives", i) + "/organisation",
            "there is no organisation '" + goal.organisation + "'", "a name from the document");
      }
    }
  }

  void CheckGuarantees() {
    for (size_t i = 0; i < doc_.organisations.size(); ++i) {
      const auto& guarantees = doc_.organisations[i].guarantees;
      for (size_t g = 0; g < guarantees.size(); ++g) {
        if (!guarantees[g].shape.empty()) continue;
        Add(At(At("/organisations", i) + "/guarantees", g) + "/shape", "the shape is empty",
            "accelerators, cores or memory");
      }
    }
    const bool declared = std::any_of(doc_.domains.begin(), doc_.domains.end(),
                                      [](const auto& domain) { return !domain.racks.empty(); });
    if (!declared) return;
    const int unfit = CountUnfitGuarantees(doc_, {});
    if (unfit > 0) {
      Add("/organisations", std::to_string(unfit) + " guaranteed shapes do not fit the racks",
          "guarantees that all fit the declared racks at once");
      return;
    }
    for (size_t i = 0; i < doc_.domains.size(); ++i) {
      const int suspended = CountUnfitGuarantees(doc_, doc_.domains[i].name);
      if (suspended == 0) continue;
      Add(At("/domains", i),
          "while " + doc_.domains[i].name + " is out, " + std::to_string(suspended) +
              " guaranteed shapes are suspended",
          "spare capacity in the other failure domains, if that is not wanted", true);
    }
  }

  const document& doc_;
  document_issues issues_;
};

}  // namespace

document_issues CheckRules(const document& doc) { return rule_checker(doc).Run(); }

int CountUnfitGuarantees(const document& doc, std::string_view without_domain) {
  guarantee_ledger ledger;
  ledger.Update(doc, DeclaredWorkers(doc, without_domain),
                [](std::string_view, std::string_view) { return resources{}; });
  return ledger.suspended();
}

bool checked_document::valid() const {
  return std::all_of(issues.begin(), issues.end(), [](const auto& issue) { return issue.warning; });
}

checked_document CheckDocument(std::string_view text) {
  checked_document checked;
  checked.issues = CheckSchema(text);
  if (!checked.issues.empty()) return checked;
  auto parsed = ParseDocument(text);
  if (!parsed) {
    checked.issues.push_back({"", parsed.error().detail, "a configuration document", false});
    return checked;
  }
  checked.doc = std::move(parsed.value());
  checked.issues = CheckRules(checked.doc);
  return checked;
}

}  // namespace eelgrass

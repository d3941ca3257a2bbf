#include <doctest/doctest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "kernel/base/digest.h"
#include "kernel/config/access_list.h"
#include "kernel/config/document_merge.h"
#include "kernel/config/document_rules.h"
#include "kernel/encoding/document_json.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(EELGRASS_SOURCE_DIR) + "/examples/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

json Charqui() { return json::parse(ReadExample("charqui.json")); }

bool Mentions(const checked_document& checked, const std::string& pointer) {
  for (const auto& issue : checked.issues) {
    if (!issue.warning && issue.pointer.rfind(pointer, 0) == 0) return true;
  }
  return false;
}

TEST_CASE("the example documents are valid") {
  for (const char* name : {"charqui.json", "sabzrang.json", "target.json"}) {
    CAPTURE(name);
    CHECK(CheckDocument(ReadExample(name)).valid());
  }
}

TEST_CASE("a document that is wrong") {
  json doc = Charqui();

  SUBCASE("with an unknown field is refused, at its place") {
    doc["organisations"][1]["wieght"] = 3;
    const auto checked = CheckDocument(doc.dump());
    CHECK(!checked.valid());
    CHECK(Mentions(checked, "/organisations/1"));
  }
  SUBCASE("with several faults names all of them at once") {
    doc["organisations"][0]["weight"] = 0;
    doc["domains"][2]["region"] = "Not A Name";
    const auto checked = CheckDocument(doc.dump());
    CHECK(Mentions(checked, "/organisations/0"));
    CHECK(Mentions(checked, "/domains/2"));
  }
  SUBCASE("that names something twice") {
    doc["job_classes"][1]["name"] = doc["job_classes"][0]["name"];
    CHECK(Mentions(CheckDocument(doc.dump()), "/job_classes/1/name"));
  }
  SUBCASE("whose window is about nothing") {
    doc["windows"].push_back({{"domain", "mendoza"}, {"from_ms", 1}, {"to_ms", 2}});
    CHECK(Mentions(CheckDocument(doc.dump()), "/windows/0/domain"));
  }
  SUBCASE("whose windows overlap") {
    doc["windows"].push_back({{"domain", "maipu"}, {"from_ms", 1000}, {"to_ms", 3000}});
    doc["windows"].push_back({{"domain", "maipu"}, {"from_ms", 2000}, {"to_ms", 4000}});
    CHECK(Mentions(CheckDocument(doc.dump()), "/windows/1"));
  }
  SUBCASE("whose guarantees do not fit") {
    doc["organisations"][3]["guarantees"][0]["count"] = 3;
    CHECK(Mentions(CheckDocument(doc.dump()), "/organisations"));
  }
  SUBCASE("whose review nobody could do") {
    doc["review_required"] = true;
    doc["operators"].erase(1);
    CHECK(Mentions(CheckDocument(doc.dump()), "/review_required"));
  }
  SUBCASE("that is nested too deep is refused before it becomes a tree") {
    const std::string deep(100000, '[');
    const auto checked = CheckDocument(deep);
    CHECK(!checked.valid());
    CHECK(checked.issues[0].problem.find("nested deeper") != std::string::npos);
  }
  SUBCASE("that is not JSON") { CHECK(!CheckDocument("{\"base\": }").valid()); }
  SUBCASE("that is too long") {
    CHECK(!CheckDocument(std::string(kMaxDocumentBytes + 1, ' ')).valid());
  }
}

TEST_CASE("a domain's loss is foretold as a warning, not refused") {
  const auto checked = CheckDocument(ReadExample("charqui.json"));
  int warnings = 0;
  for (const auto& issue : checked.issues) warnings += issue.warning ? 1 : 0;
  CHECK(warnings == 3);
}

TEST_CASE("a failure domain's state") {
  auto doc = ParseDocument(ReadExample("charqui.json")).value();
  doc.windows.push_back({"lujan", 1000, 2000, window_mode::kStop});

  SUBCASE("before, within and after a window") {
    window_mode mode = window_mode::kDrain;
    CHECK(!doc.IsOut("lujan", millis(999)));
    CHECK(doc.IsOut("lujan", millis(1000), &mode));
    CHECK(mode == window_mode::kStop);
    CHECK(!doc.IsOut("lujan", millis(2000)));
  }
  SUBCASE("the next window is known") {
    CHECK(doc.NextWindow("lujan", millis(0)) == millis(1000));
    CHECK(doc.NextWindow("maipu", millis(0)) == kFarFuture);
  }
}

TEST_CASE("two operators change the same version") {
  const std::string base = Charqui().dump();
  json mine = Charqui();
  json theirs = Charqui();
  mine["organisations"][0]["weight"] = 9;

  SUBCASE("in different entries: both changes are kept") {
    theirs["domains"][1]["out"] = true;
    const auto merged = MergeDocuments(base, mine.dump(), theirs.dump());
    REQUIRE(merged.has_value());
    const json joined = json::parse(merged.value());
    for (const auto& entry : joined["organisations"]) {
      if (entry["name"] == "secadero") CHECK(entry["weight"] == 9);
    }
    for (const auto& entry : joined["domains"]) {
      if (entry["name"] == "lujan") CHECK(entry["out"] == true);
    }
    CHECK(CheckDocument(merged.value()).valid());
  }
  SUBCASE("in the same entry: a conflict that names it") {
    theirs["organisations"][0]["weight"] = 5;
    const auto merged = MergeDocuments(base, mine.dump(), theirs.dump());
    REQUIRE(!merged.has_value());
    CHECK(merged.error().kind == error_kind::kConflict);
    CHECK(merged.error().detail.find("organisations/secadero") != std::string::npos);
  }
  SUBCASE("in the same way: no conflict") {
    CHECK(MergeDocuments(base, mine.dump(), mine.dump()).has_value());
  }
  SUBCASE("one removes what the other changes: a conflict") {
    theirs["organisations"].erase(0);
    CHECK(!MergeDocuments(base, mine.dump(), theirs.dump()).has_value());
  }
  SUBCASE("the difference is told entry by entry") {
    const auto differences = Differences(base, mine.dump());
    REQUIRE(differences.size() == 1);
    CHECK(differences[0].place == "organisations/secadero");
  }
}

TEST_CASE("a token") {
  const auto doc = ParseDocument(ReadExample("charqui.json")).value();
  SUBCASE("of an organisation") {
    const auto who = FindPrincipal(doc, Sha256Hex("demo-tienda"));
    REQUIRE(who.has_value());
    CHECK(who->name == "tienda");
    CHECK(!who->is_operator());
  }
  SUBCASE("of an operator") {
    CHECK(FindPrincipal(doc, Sha256Hex("demo-operator-ana"))->is_operator());
  }
  SUBCASE("of nobody") { CHECK(!FindPrincipal(doc, Sha256Hex("guess")).has_value()); }
  SUBCASE("that is being replaced: both are valid") {
    auto changed = doc;
    changed.organisations[2].token_digests.push_back(Sha256Hex("new"));
    CHECK(FindPrincipal(changed, Sha256Hex("new"))->name == "tienda");
    CHECK(FindPrincipal(changed, Sha256Hex("demo-tienda"))->name == "tienda");
  }
}

TEST_CASE("a job's specification") {
  SUBCASE("is read") {
    const auto spec = ParseJobSpec(R"({"tasks": 2, "per_task": {"accelerators": 4}})");
    REQUIRE(spec.has_value());
    CHECK(spec.value().total().accelerators == 8);
  }
  SUBCASE("with an unknown field is refused") {
    CHECK(!ParseJobSpec(R"({"task": 2})").has_value());
  }
  SUBCASE("of a wrong type is refused") {
    CHECK(!ParseJobSpec(R"({"tasks": "two"})").has_value());
    CHECK(!ParseJobSpec("[]").has_value());
  }
}

}  // namespace
}  // namespace eelgrass

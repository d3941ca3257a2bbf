#include <doctest/doctest.h>

#include <random>

#include "kernel/encoding/record_json.h"
#include "kernel/io/peer_codec.h"

namespace eelgrass {
namespace {

TEST_CASE("a record of the table service comes back as it was, in every field") {
  const auto comes_back = [](const record& value) {
    const auto read = ParseRecord(RecordKey(value), RecordText(value));
    return read.has_value() && read.value() == value;
  };
  SUBCASE("a job") {
    job_row job;
    job.id = "j1";
    job.spec = {"name",           "owner",   "class",   3,   {8, 16, 32},
                adjacency::kRack, millis(5), millis(6), true};
    job.state = job_state::kStopping;
    job.epoch = 2;
    job.cancel_wanted = job.borrowing = true;
    job.submitted_ms = 3;
    job.started_ms = 4;
    job.ended_ms = 5;
    job.saved_ms = 6;
    job.members = {{"w1", "127.0.0.1:1", 2, {8, 16, 32}}};
    job.anchor_incarnation = 7;
    job.failed_workers = {"w2"};
    job.reason = "why";
    CHECK(comes_back(job));
  }
  SUBCASE("a configuration, a past one and a change") {
    const config_record config{4, "text", "change", "author", 9};
    CHECK(comes_back(config));
    CHECK(comes_back(history_record{config}));
    CHECK(comes_back(change_record{"c1", "a", "r", "n", "t", 3, 4, true, true,
                                   change_state::kReviewed, 5, "why"}));
  }
  SUBCASE("an entry and who plans") {
    CHECK(comes_back(entry_record{"e1", 1, "127.0.0.1:1", "d", 2, true, 3}));
    CHECK(comes_back(planner_record{"e1", 1, 2}));
  }
}

TEST_CASE("a message on the wire") {
  const auto codec = codec_registry::Instance().Create("cbor").value();

  SUBCASE("comes back as it was") {
    attempt sent;
    sent.id = "e1/1/1/1";
    sent.headers = {{"Content-Type", "application/octet-stream"}};
    sent.body.data = std::string("\x00\xff\x80 not text", 12);
    sent.deadline_ms = 1234;
    const auto read = codec->Decode(codec->Encode(sent));
    REQUIRE(read.has_value());
    const auto& got = std::get<attempt>(read.value());
    CHECK(got.id == sent.id);
    CHECK(got.headers == sent.headers);
    CHECK(got.body == sent.body);
    CHECK(got.deadline_ms == 1234);
  }
  SUBCASE("keeps a gang's members") {
    commit sent;
    sent.gang = {"j1", 3};
    sent.members = {{"w1", "127.0.0.1:1", 2, {8, 16, 32}}, {"w2", "127.0.0.1:2", 1, {4, 8, 16}}};
    const auto read = codec->Decode(codec->Encode(sent));
    REQUIRE(read.has_value());
    CHECK(std::get<commit>(read.value()).members == sent.members);
  }
  SUBCASE("that is cut short anywhere is refused") {
    hello sent{"e1", 1, peer_role::kEntry, "127.0.0.1:1", "d", "nonce", "mac"};
    const std::string whole = codec->Encode(sent);
    for (size_t length = 0; length < whole.size(); ++length) {
      CHECK(!codec->Decode(std::string_view(whole).substr(0, length)).has_value());
    }
  }
  SUBCASE("that is noise is refused or read, and never more than that") {
    std::mt19937_64 random(3);
    int refused = 0;
    for (int i = 0; i < 5000; ++i) {
      std::string noise(random() % 60, '\0');
      for (char& c : noise) c = static_cast<char>(random());
      refused += codec->Decode(noise).has_value() ? 0 : 1;
    }
    CHECK(refused >= 4900);
  }
}

TEST_CASE("a row in the table service") {
  SUBCASE("comes back as it was") {
    job_row row;
    row.id = "j1";
    row.state = job_state::kRunning;
    row.members = {{"w1", "127.0.0.1:1", 2, {8, 16, 32}}};
    row.failed_workers = {"w3"};
    const record value = row;
    const auto read = ParseRecord(RecordKey(value), RecordText(value));
    REQUIRE(read.has_value());
    CHECK(RecordText(read.value()) == RecordText(value));
  }
  SUBCASE("that is not ours is not found") {
    const auto read = ParseRecord("billing/1", "{}");
    REQUIRE(!read.has_value());
    CHECK(read.error().kind == error_kind::kNotFound);
  }
  SUBCASE("that is damaged is refused") {
    CHECK(!ParseRecord("jobs/1", "{\"id\": 7}").has_value());
    CHECK(!ParseRecord("jobs/1", "{").has_value());
  }
}

}  // namespace
}  // namespace eelgrass

#include <doctest/doctest.h>

#include <cstdlib>

#include "kernel/base/address.h"
#include "kernel/base/digest.h"
#include "kernel/base/error.h"
#include "kernel/base/metrics.h"
#include "kernel/base/settings.h"
#include "kernel/io/http_messages.h"
#include "kernel/jobs/placement_policy.h"

namespace eelgrass {
namespace {

std::vector<setting_spec> Specs() {
  return {IntSetting("slots", 8, 1, 100, "slots"), AddressSetting("listen", "", false, "address"),
          ChoiceSetting("mode", "a", {"a", "b"}, "mode")};
}

result<settings> ParseWords(std::vector<const char*> words) {
  words.insert(words.begin(), "program");
  return settings::Parse(words, Specs());
}

TEST_CASE("a program's settings") {
  SUBCASE("have defaults") {
    const auto parsed = ParseWords({});
    REQUIRE(parsed.has_value());
    CHECK(parsed.value().number("slots") == 8);
  }
  SUBCASE("are read from the environment") {
    setenv("EELGRASS_SLOTS", "12", 1);
    SUBCASE("when no flag is given") { CHECK(ParseWords({}).value().number("slots") == 12); }
    SUBCASE("but a flag goes before it") {
      CHECK(ParseWords({"--slots", "3"}).value().number("slots") == 3);
    }
    unsetenv("EELGRASS_SLOTS");
  }
  SUBCASE("that are malformed") {
    SUBCASE("name the setting, the value and what is allowed") {
      const auto parsed = ParseWords({"--slots", "many"});
      REQUIRE(!parsed.has_value());
      CHECK(parsed.error().detail ==
            "setting --slots has the value 'many'; allowed: a whole number from 1 to 100");
    }
    SUBCASE("are refused out of range") { CHECK(!ParseWords({"--slots", "101"}).has_value()); }
    SUBCASE("are refused when the host is not an IP number") {
      CHECK(!ParseWords({"--listen", "localhost:80"}).has_value());
      CHECK(!ParseWords({"--listen", "127.0.0.1:-0"}).has_value());
      CHECK(!ParseWords({"--listen", "127.0.0..1:80"}).has_value());
      CHECK(ParseWords({"--listen", "127.0.0.1:0"}).has_value());
      CHECK(ParseWords({"--listen", "127.0.0.1:80"}).has_value());
    }
    SUBCASE("are refused when the word is not one of those allowed") {
      CHECK(!ParseWords({"--mode", "c"}).has_value());
    }
    SUBCASE("are refused when nobody knows them, or only in part") {
      CHECK(!ParseWords({"--slot", "3"}).has_value());
    }
  }
}

TEST_CASE("an address") {
  SUBCASE("of an entry or a worker is HOST:PORT") {
    CHECK(IsCallable("host-1.example:1"));
    CHECK_FALSE(IsCallableIp("host-1.example:1"));
    for (const auto* text : {"10.0.0.1:65535", "[::1]:8080"}) {
      CAPTURE(std::string(text));
      CHECK(IsCallable(text));
      CHECK(IsCallableIp(text));
    }
    const auto parts = ParseAddress("[::1]:8080");
    REQUIRE(parts);
    CHECK(parts->host == "::1");
    CHECK(parts->port == 8080);
    CHECK(ParseAddress("10.0.0.1:80")->form == host_form::kIpv4);
  }
  SUBCASE("to listen at may leave the port open, one to call may not") {
    REQUIRE(ParseAddress("127.0.0.1:0"));
    CHECK_FALSE(IsCallable("127.0.0.1:0"));
    CHECK_FALSE(IsCallableIp("127.0.0.1:0"));
  }
  SUBCASE("is nothing else") {
    using std::string_view_literals::operator""sv;
    for (const auto text : {"10.0.0.1"sv,
                            "10.0.0.1:"sv,
                            "10.0.0.1:65536"sv,
                            "10.0.0.1:99999999999"sv,
                            "10.0.0.1:-1"sv,
                            "10.0.0.1:+1"sv,
                            "10.0.0.1: 1"sv,
                            "10.0.0.1:1 "sv,
                            "10.0.0.1:0x1"sv,
                            " 10.0.0.1:1"sv,
                            ":1"sv,
                            "1"sv,
                            ""sv,
                            "::1:80"sv,
                            "[::1]"sv,
                            "[::1:80"sv,
                            "[]:80"sv,
                            "[10.0.0.1]:80"sv,
                            "[::g]:80"sv,
                            "[::1\0]:80"sv,
                            "10.0.0.1\0:80"sv,
                            "a/b:80"sv,
                            "a@b:80"sv}) {
      CAPTURE(std::string(text));
      CHECK_FALSE(ParseAddress(text));
      CHECK_FALSE(IsCallableIp(text));
    }
    CHECK_FALSE(ParseAddress(std::string(1'000'000, 'a') + ":80"));
  }
  SUBCASE("of four numbers that are no IP stays a name") {
    CHECK_FALSE(IsCallableIp("10.0.0.256:80"));
    CHECK_FALSE(IsCallableIp("10.0.0:80"));
    CHECK_FALSE(IsCallableIp("0:80"));
  }
}

TEST_CASE("a plug-in") {
  SUBCASE("that was linked in is found by its name") {
    CHECK(placement_registry::Instance().Create("best_fit").has_value());
  }
  SUBCASE("that is missing is named, with those that there are") {
    const auto made = placement_registry::Instance().Create("worst_fit");
    REQUIRE(!made.has_value());
    CHECK(made.error().detail.find("worst_fit") != std::string::npos);
    CHECK(made.error().detail.find("best_fit") != std::string::npos);
  }
}

TEST_CASE("an error says where it arose") {
  const error problem{error_kind::kConflict, "write-row", "127.0.0.1:7000", "lost"};
  CHECK(ToString(problem) == "step=write-row peer=127.0.0.1:7000 kind=conflict detail=\"lost\"");
}

TEST_CASE("digests") {
  SUBCASE("are SHA-256") {
    CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  }
  SUBCASE("compare equal only when they are") {
    CHECK(EqualInConstantTime("abc", "abc"));
    CHECK(!EqualInConstantTime("abc", "abd"));
    CHECK(!EqualInConstantTime("abc", "abcd"));
  }
  SUBCASE("of a key depend on the key") { CHECK(HmacHex("k1", "m") != HmacHex("k2", "m")); }
}

TEST_CASE("metrics are shown as text") {
  metrics counters;
  counters.Count("requests_total{outcome=\"completed\"}");
  counters.Count("requests_total{outcome=\"completed\"}", 2);
  counters.Set("depth", 7);
  for (int i = 1; i <= 100; ++i) counters.Record("latency_ms", i);
  const std::string text = counters.Text();
  CHECK(text.find("eelgrass_requests_total{outcome=\"completed\"} 3\n") != std::string::npos);
  CHECK(text.find("eelgrass_depth 7\n") != std::string::npos);
  CHECK(text.find("eelgrass_latency_ms_count 100\n") != std::string::npos);
}

TEST_CASE("an HTTP request's parts") {
  http_request request;
  request.target = "/v1/jobs?state=queued&limit=3";
  request.headers = {{"Content-Type", "text/plain"}, {"X-Request-Id", "r1"}};
  CHECK(request.path() == "/v1/jobs");
  CHECK(request.Parameter("limit") == "3");
  CHECK(request.Parameter("missing").empty());
  CHECK(request.Header("x-request-id") == "r1");
}

}  // namespace
}  // namespace eelgrass

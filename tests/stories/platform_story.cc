#include <doctest/doctest.h>

#include <fstream>

#include "kernel/batch/departure_detector.h"
#include "kernel/batch/gateway_core.h"
#include "kernel/io/deployment.h"
#include "tests/world/platform_fakes.h"

namespace eelgrass {
namespace {

TEST_CASE("callers' requests on the platform") {
  fake_server server;
  fake_callers callers;
  auto front = PlatformJobs(server);
  REQUIRE(front->Start(callers));

  SUBCASE("a job is decoded once, unknown fields are ignored") {
    server.Ask("POST", "/q/5c0e7a21d94b36f8",
               R"({"Spec":"x","New":1,"Steps":[{"Count":2,"Cpu":500,"MemMb":256,"Gpu":1,
               "EstimateMs":900,"Gang":true},{"Count":1,"After":[0],"Requires":"a"}]})");
    REQUIRE(callers.calls.size() == 1);
    const caller_call& call = callers.calls[0];
    CHECK(call.host == "nony.example");
    CHECK(call.key == "k1");
    CHECK(call.wait == millis(2500));
    REQUIRE(call.job.has_value());
    CHECK(call.job->steps[0].gang);
    CHECK(call.job->steps[0].each == amounts{500, 256, 1});
    CHECK(call.job->steps[1].after == std::vector<int>{0});
  }
  SUBCASE("a body that cannot be read comes with the reason") {
    for (const auto* body : {"", "[]", "{", R"({"Steps":[]})", R"({"Steps":[{"Count":"2"}]})",
                             R"({"Steps":[{"Count":1,"After":[3]}]})",
                             R"({"Steps":[{"Count":99999,"Gpu":9007199254740991}]})"}) {
      server.Ask("POST", "/q/5c0e7a21d94b36f8", body);
      CHECK_FALSE(callers.calls.back().job.has_value());
      CHECK_FALSE(callers.calls.back().problem.empty());
    }
  }
  SUBCASE("answers keep apart what has run and what has not") {
    const auto status = [&](call_answer answer) {
      front->Reply({1, answer});
      return server.answers.back().status;
    };
    CHECK(status(call_answer::kAccepted) == 200);
    CHECK(status(call_answer::kNoSuchJob) == 410);
    CHECK(status(call_answer::kNoSuchQueue) == 404);
    CHECK(status(call_answer::kNoSuchKey) == 401);
    CHECK(status(call_answer::kTooLarge) == 413);
    CHECK(status(call_answer::kBusy) == 429);
    CHECK(status(call_answer::kUnavailable) == 503);
    CHECK(status(call_answer::kOutcomeUnknown) == 504);
  }
  SUBCASE("a caller who should come back through another entry loses the connection to this one") {
    caller_reply reply{1, call_answer::kUnavailable};
    front->Reply(reply);
    CHECK_FALSE(server.answers.back().close);
    reply.elsewhere = true;
    front->Reply(reply);
    CHECK(server.answers.back().close);
  }
}

TEST_CASE("the platform's list of VMs") {
  fake_client client;
  const auto directory = PlatformVms(client);
  const auto list = [&](std::string_view body) {
    client.answer = http_response{200, {}, {std::string(body)}, false};
    vm_listing read;
    directory->List({millis(7)}, [&](vm_listing listing) { read = std::move(listing); });
    return read;
  };
  SUBCASE("is read whole") {
    const vm_listing read = list(
        R"({"Machines":[{"Machine":"m-1","State":"up","Id":"i-1","New":1},
            {"Machine":"m-2","State":"down","Id":null}],"NextToken":null})");
    CHECK(read.answered);
    CHECK(read.requested == millis(7));
    REQUIRE(read.vms.size() == 2);
    CHECK(read.vms[0].worker == "i-1");
    CHECK(read.vms[0].state == vm_state::kUp);
    CHECK(read.vms[1].state == vm_state::kDown);
  }
  SUBCASE("proves nothing if a part of it cannot be read: a worker in it would seem to be gone") {
    for (const auto* body : {"{}", R"({"Machines":null})", R"({"Machines":{"m-1":{}}})"}) {
      CAPTURE(std::string(body));
      CHECK_FALSE(list(body).answered);
    }
    for (const auto* body :
         {R"({"Machines":[{"Machine":"m-1","State":"up","Id":7}],"NextToken":null})",
          R"({"Machines":["m-1"],"NextToken":null})"}) {
      CAPTURE(std::string(body));
      departure_detector watch;
      const std::vector<silent_worker> silent{{{"i-1", 1}, "", millis(0)}};
      REQUIRE(watch.Next(silent, millis(7)));
      vm_listing read = list(body);
      CHECK(read.unreadable == 1);
      CHECK(watch.On(read).empty());
      read.requested = millis(1007);
      REQUIRE(watch.Next(silent, read.requested));
      CHECK(watch.On(read).empty());
    }
  }
}

TEST_CASE("an entry that cannot serve a caller sends it elsewhere") {
  const auto source = PlatformOperators();
  const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
  gateway_core gateway(gateway_options{"e1", "10.0.0.1:7000"}, *source, *codec);
  caller_call call;
  call.id = 1;
  call.path = "/q/5c0e7a21d94b36f8";
  std::vector<gateway_event> events{call};
  std::vector<gateway_action> actions;
  gateway.Decide(events, millis(0), actions);
  const auto reply = std::find_if(actions.begin(), actions.end(), [](const auto& action) {
    return std::holds_alternative<caller_reply>(action);
  });
  REQUIRE(reply != actions.end());
  CHECK(std::get<caller_reply>(*reply).answer == call_answer::kUnavailable);
  CHECK(std::get<caller_reply>(*reply).elsewhere);
}

TEST_CASE("heartbeats on the platform") {
  fake_server server;
  fake_workers workers;
  auto front = PlatformBeats(server);
  REQUIRE(front->Start(workers));
  const std::string good =
      R"({"Service":"s","Addr":"10.0.0.1:80","Zone":"z","State":"ready","Seq":4,"born":17,
      "Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":8},"Labels":["a","r1-3"],"ClockMs":482113})";

  SUBCASE("a worker is known by what it says") {
    server.Ask("PUT", "/instances/i-1", good);
    REQUIRE(workers.beats.size() == 1);
    CHECK(server.answers[0].status == 200);
    CHECK(workers.beats[0].worker.self == worker_identity{"i-1", 17});
    CHECK(workers.beats[0].worker.rack == "r1-3");
    CHECK(workers.beats[0].worker.capacity == amounts{16000, 32768, 8});
    CHECK_FALSE(workers.beats[0].worker.draining);
  }
  SUBCASE("one that cannot be read names no worker, and the others hold") {
    std::string odd = good;
    odd.replace(odd.find("ready"), 5, "dozing");
    std::string huge = good;
    huge.replace(huge.find("16000"), 5, "9007199254740991");
    std::string late = good;
    late.replace(late.find("482113"), 6, "9007199254740991");
    for (const std::string& body : {std::string("\xff\xfe"), std::string("{}"), odd, huge, late,
                                    std::string(R"({"Seq":"four"})")}) {
      server.Ask("PUT", "/instances/i-2", body);
      CHECK(server.answers.back().status == 400);
    }
    CHECK(workers.beats.empty());
    server.Ask("PUT", "/instances/i-1", good);
    CHECK(workers.beats.size() == 1);
  }
  SUBCASE("a worker that leaves says so") {
    server.Ask("DELETE", "/instances/i-1", "");
    REQUIRE(workers.gone.size() == 1);
    CHECK(workers.gone[0].born_ms == 0);
    server.Ask("DELETE", "/instances/i-1", R"({"born":17})");
    CHECK(workers.gone.back().born_ms == 17);
    server.Ask("DELETE", "/instances/i-1", R"({"born":"17"})");
    REQUIRE(workers.gone.size() == 3);
    CHECK(workers.gone.back().born_ms == 0);
  }
}

TEST_CASE("the platform's store") {
  fake_client client;
  auto store = PlatformStore(client);
  transaction_result seen;
  const auto take = [&](transaction_result result) { seen = std::move(result); };
  row_transaction change;
  change.conditions.push_back({{"jobs", "", "a"}, 0});
  change.writes.push_back({{"jobs", "", "a"}, "text"});

  SUBCASE("a transaction says what it expects and writes") {
    client.answer = http_response{200, {}, {R"({"Ver":412,"NowMs":1})"}, false};
    store->Transact(change, millis(100), take);
    CHECK(seen.outcome == row_outcome::kDone);
    CHECK(seen.revision == 412);
    CHECK(client.calls[0].body.data.find("dGV4dA==") != std::string::npos);
  }
  SUBCASE("a conflict comes with the rows as they are") {
    client.answer = http_response{
        412,
        {},
        {R"({"Ver":9,"rows":[{"Table":"jobs","part":"","Key":"a","Value":"dGV4dA==","Ver":7}]})"},
        false};
    store->Transact(change, millis(100), take);
    CHECK(seen.outcome == row_outcome::kConflict);
    REQUIRE(seen.current.size() == 1);
    CHECK(seen.current[0].value == "text");
    CHECK(seen.current[0].revision == 7);
  }
  SUBCASE("refusals have done nothing; silence and broken answers may have") {
    client.answer = http_response{503, {}, {""}, false};
    store->Transact(change, millis(100), take);
    CHECK(seen.outcome == row_outcome::kNotDone);
    client.answer = http_response{200, {}, {"half an ans"}, false};
    store->Transact(change, millis(100), take);
    CHECK(seen.outcome == row_outcome::kUnknown);
    client.answer = Fail(error_kind::kUnknown, "http-call", "", "timeout");
    store->Transact(change, millis(100), take);
    CHECK(seen.outcome == row_outcome::kUnknown);
    client.answer = Fail(error_kind::kUnavailable, "http-call", "", "refused");
    store->Transact(change, millis(100), take);
    CHECK(seen.outcome == row_outcome::kNotDone);
  }
}

TEST_CASE("calls on the platform that were sent more than once") {
  fake_client client;
  http_response response{200, {}, {"{}"}, false};
  response.repeated = true;

  SUBCASE("to the store: a refusal proves nothing, all other answers hold") {
    auto store = PlatformStore(client);
    const auto outcome = [&](int status) {
      response.status = status;
      client.answer = response;
      row_outcome seen{};
      store->Transact({}, millis(100), [&](const auto& result) { seen = result.outcome; });
      return seen;
    };
    CHECK(outcome(200) == row_outcome::kDone);
    CHECK(outcome(412) == row_outcome::kConflict);
    for (const int status : {400, 403, 429, 503}) CHECK(outcome(status) == row_outcome::kUnknown);
  }
  SUBCASE("to a worker: only success holds") {
    auto control = PlatformControl(client);
    const auto outcome = [&](int status) {
      response.status = status;
      client.answer = response;
      call_outcome seen{};
      start_call call;
      call.address = "10.0.0.2:80";
      control->Start(call, millis(100), [&](const auto& answer) { seen = answer.outcome; });
      return seen;
    };
    CHECK(outcome(200) == call_outcome::kDone);
    for (const int status : {400, 409, 421, 429, 503}) {
      CHECK(outcome(status) == call_outcome::kNoAnswer);
    }
  }
}

TEST_CASE("what operators write on the platform") {
  auto source = PlatformOperators();
  operator_state state;
  const auto apply = [&](std::string key, std::string value, int64_t revision,
                         bool deleted = false) {
    return source->Apply({{"op", "", std::move(key)}, std::move(value), revision, deleted},
                         millis(5), state);
  };
  REQUIRE(apply("config", R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/",
    "Service":"s","Priority":0,"Attempts":4,"Stretch":1.5,"TargetLatencyMs":250}],
    "Services":[{"Name":"s","RejectsOverload":true}],"Limits":{"MaxBodyBytes":1000},
    "Tenants":[{"Name":"t","ApiKeys":["k"],"GuaranteedGpus":{"Gpu":16}}]})",
                10));
  CHECK(state.config->FindQueue("h", "/a/b") != nullptr);
  CHECK(state.config->FindKey("k")->guaranteed_accelerators == 16);

  SUBCASE("an older version, an older row and an unreadable one change nothing") {
    CHECK_FALSE(apply("config", R"({"Version":6})", 11));
    CHECK(apply("config", R"({"Version":8})", 9));
    CHECK_FALSE(apply("config", "{", 12));
    CHECK_FALSE(apply("config", R"({"Version":9,"Routes":[{"Name":5}]})", 13));
    CHECK(state.config->version == 7);
  }
  SUBCASE("domains go out and come back") {
    CHECK(apply("evacuate/z1", "{}", 14));
    CHECK(state.evacuated.contains("z1"));
    CHECK(apply("evacuate/z1", "", 15, true));
    CHECK(state.evacuated.empty());
  }
}

TEST_CASE("the platform's settings file") {
  auto source = std::move(deployment_registry::Instance().Create("platform").value());
  const std::string path = "/tmp/eelgrass_settings_story.json";
  const auto load = [&](std::string_view text) {
    std::ofstream(path) << text;
    return source->Load(path);
  };
  const auto place = load(R"({"Node":"n1","Ip":"10.1.0.1","Zone":"z","PortRange":[7000,7015],
    "Listen":{"Front":"10.1.0.1:80"},"Seeds":["10.1.0.2:81"],"platform":{"Addr":"10.9.0.1:1","RowBytes":65536},
    "Bounds":{"HoldMaxMs":10000,"GraceS":6,"RevokeMs":4000,"ConfigApplyMs":3000,"RestoreMs":100,"StopTimeoutMs":900},"New":{},
    "Limits":{"CpuShare":0.25,"Cores":2}})");
  REQUIRE(place);
  CHECK(place.value().processor == 0.5);
  CHECK(place.value().store_row_bytes == 65536);
  const auto odd = load(R"({"Node":"n1","Ip":"10.1.0.1","Zone":"z","PortRange":[7000,7015],
    "Limits":{"CpuShare":"much"}})");
  REQUIRE(odd);
  CHECK(odd.value().processor == 0);
  CHECK(odd.value().store_row_bytes == 0);
  CHECK(place.value().bounds.longest_hold == millis(10000));
  CHECK(place.value().bounds.grace == millis(6000));
  CHECK(place.value().bounds.revocation == millis(4000));
  CHECK(place.value().bounds.config == millis(3000));
  CHECK(place.value().bounds.restore == millis(100));
  CHECK(place.value().bounds.stop_timeout == millis(900));
  // Guards against decisions on a mistyped setting: the start stops and names it.
  for (const std::string name : {"RestoreMs", "StopTimeoutMs"}) {
    for (const char* wrong : {"\":-1}}", "\":60001}}"}) {
      std::string text = R"({"Node":"n1","Ip":"10.1.0.1","Zone":"z","PortRange":[7000,7015],)";
      const auto refused = load(text.append(R"("Bounds":{")").append(name).append(wrong));
      REQUIRE_FALSE(refused);
      CHECK(ToString(refused.error()).find(name) != std::string::npos);
    }
  }
  CHECK(place.value().seeds == std::vector<std::string>{"10.1.0.2:81"});
  CHECK_FALSE(load("{}"));
  CHECK_FALSE(load(R"({"Node":"n1","Ip":"10.1.0.1","Zone":"z"})"));
  CHECK_FALSE(source->Load("/tmp/there/is/no/such/file"));
}

}  // namespace
}  // namespace eelgrass

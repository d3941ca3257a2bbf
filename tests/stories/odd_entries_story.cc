#include <doctest/doctest.h>

#include <limits>

#include "kernel/batch/batch_records.h"
#include "kernel/batch/departure_detector.h"
#include "kernel/io/peer_codec.h"
#include "tests/world/odd_texts.h"
#include "tests/world/platform_fakes.h"

namespace eelgrass {
namespace {

TEST_CASE("another writer's heartbeat among those of the workers") {
  fake_server server;
  fake_workers workers;
  auto front = PlatformBeats(server);
  REQUIRE(front->Start(workers));
  const std::string good =
      R"({"Service":"s","Addr":"10.0.0.1:80","Zone":"z","State":"ready","Seq":4,"born":17,
      "Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":8},"Labels":["a","r1-3"],"ClockMs":482113})";
  const auto refused = [&](const std::string& body, const std::string& id = "i-2") {
    const size_t known = workers.beats.size();
    server.Ask("PUT", "/instances/" + id, body);
    return server.answers.back().status == 400 && workers.beats.size() == known;
  };

  SUBCASE("names no worker if its address cannot be called") {
    for (const auto* address :
         {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999",
          "10.0.0.1:-1", "10.0.0.1:80x", "10.0.0.1:+80", "10.0.0.1: 80", ":80", "[::1]", "::1:80",
          "a/b:80", "a@b:80", "a b:80", "a\\u0000b:80", "\\u00e9:80", "a\\r\\nX: y:80", ""}) {
      CAPTURE(std::string(address));
      CHECK(refused(With(good, "10.0.0.1:80", address)));
    }
    CHECK(refused(With(good, "10.0.0.1:80", std::string(1'000'000, 'a') + ":80")));
  }
  SUBCASE("names no worker if its id is none") {
    CHECK(refused(good, ""));
    CHECK(refused(good, "i-\xff"));
    CHECK(refused(good, "i/2"));
    CHECK(refused(good, std::string(201, 'i')));
  }
  SUBCASE("names no worker if a number in it cannot be meant") {
    for (const auto* number : {"1e999", "-1e999", "1e300", "9223372036854775808",
                               "99999999999999999999999", "-1", "0.5", "NaN"}) {
      CAPTURE(std::string(number));
      CHECK(refused(With(good, "\"Seq\":4", "\"Seq\":" + std::string(number))));
      CHECK(refused(With(good, "\"born\":17", "\"born\":" + std::string(number))));
      CHECK(refused(With(good, "\"Gpu\":8", "\"Gpu\":" + std::string(number))));
    }
    for (const auto* number : {"1e999", "-1e300", "99999999999999999999999"}) {
      CAPTURE(std::string(number));
      CHECK(refused(With(good, "482113", number)));
    }
  }
  SUBCASE("names no worker if it cannot be read") {
    CHECK(refused(Nested()));
    CHECK(refused(With(good, "\"Zone\"", "\"New\":" + Nested() + ",\"Zone\"")));
    CHECK(refused(With(good, "\"Zone\":\"z\"", "\"Zone\":\"\xff\xfe\"")));
    CHECK(refused(With(good, "\"Capacity\":{", "\"Capacity\":[{")));
    CHECK(refused(With(good, "{\"Cpu\":16000,\"MemMb\":32768,\"Gpu\":8}", "7")));
  }
  SUBCASE("is taken by the last of a field that it has twice") {
    server.Ask("PUT", "/instances/i-1", With(good, "\"Seq\":4", "\"Seq\":\"x\",\"Seq\":5"));
    REQUIRE(workers.beats.size() == 1);
    CHECK(workers.beats[0].sequence == 5);
  }
  SUBCASE("takes nothing from the usual forms of an address") {
    for (const auto* address : {"host-1.example:1", "[::1]:8080", "10.0.0.1:65535"}) {
      CAPTURE(std::string(address));
      CHECK_FALSE(refused(With(good, "10.0.0.1:80", address)));
    }
  }
  server.Ask("PUT", "/instances/i-9", good);
  CHECK(server.answers.back().status == 200);
}

TEST_CASE("another writer's entry in the list of VMs") {
  fake_client client;
  const auto directory = PlatformVms(client);
  const auto list = [&](const std::string& entry) {
    client.answer = http_response{200,
                                  {},
                                  {R"({"Machines":[{"Machine":"m-1","State":"up","Id":"i-1"},)" +
                                   entry + R"(,{"Machine":"m-3","State":"down","Id":"i-3"}]})"},
                                  false};
    vm_listing read;
    directory->List({millis(7)}, [&](vm_listing listing) { read = std::move(listing); });
    return read;
  };
  SUBCASE("is left out, the others hold, and who is missing is not taken for gone") {
    const std::string deep = Nested();
    for (const std::string& entry :
         {std::string("7"), std::string("null"), std::string("\"m-2\""), std::string("[]"), deep,
          R"({"Machine":"m-2","State":"up","Id":"i-2","Zone":)" + deep + "}",
          std::string(R"({"Machine":"m-2","State":"up","Id":7})"),
          std::string(R"({"Machine":"m-2","Id":"i-2"})"), std::string(R"({"State":"up"})"),
          std::string(R"({"Machine":"m-2","State":"up","Id":"i-2","Capacity":{"Cpu":1e999}})"),
          std::string("{\"Machine\":\"m-2\",\"State\":\"up\",\"Id\":\"\xff]\"}"),
          std::string(R"({"Machine":"m-2\"]","State":up})")}) {
      CAPTURE(entry.substr(0, 80));
      departure_detector watch;
      const std::vector<silent_worker> silent{{{"i-2", 1}, "", millis(0)}};
      REQUIRE(watch.Next(silent, millis(7)));
      vm_listing read = list(entry);
      CHECK(read.answered);
      CHECK(read.unreadable == 1);
      REQUIRE(read.vms.size() == 2);
      CHECK(read.vms[0].worker == "i-1");
      CHECK(read.vms[1].state == vm_state::kDown);
      CHECK(watch.On(read).empty());
      read.requested = millis(1007);
      REQUIRE(watch.Next(silent, read.requested));
      CHECK(watch.On(read).empty());
    }
  }
  SUBCASE("is a VM in an unknown state if it names one that is not known") {
    const vm_listing read = list(R"({"Machine":"m-2","State":"dreaming","Id":"i-2"})");
    CHECK(read.unreadable == 0);
    REQUIRE(read.vms.size() == 3);
    CHECK(read.vms[1].state == vm_state::kUnknown);
  }
}

TEST_CASE("a call that does not reach a worker") {
  fake_client client;
  const auto control = PlatformControl(client);
  const auto hold = [&](error_kind kind, const std::string& address) {
    client.answer = Fail(kind, "http-call", address, "a reason");
    hold_call call;
    call.worker = {"i-1", 17};
    call.address = address;
    hold_answer seen;
    control->Hold(call, millis(100), [&](hold_answer answer) { seen = std::move(answer); });
    return seen.outcome;
  };
  SUBCASE("shows that nobody listens if its connection was refused") {
    CHECK(hold(error_kind::kRefused, "10.0.0.1:80") == call_outcome::kConnectionRefused);
    CHECK(hold(error_kind::kRefused, "[::1]:80") == call_outcome::kConnectionRefused);
  }
  SUBCASE("shows nothing if the address is a name, which may stand for several machines") {
    CHECK(hold(error_kind::kRefused, "host-1.example:80") == call_outcome::kNeverSent);
  }
  SUBCASE("shows nothing if it was never sent for another reason") {
    for (const auto kind : {error_kind::kUnavailable, error_kind::kExhausted}) {
      CHECK(hold(kind, "10.0.0.1:80") == call_outcome::kNeverSent);
    }
  }
  SUBCASE("may have been carried out if a part of it was sent") {
    CHECK(hold(error_kind::kUnknown, "10.0.0.1:80") == call_outcome::kNoAnswer);
  }
  SUBCASE("was not carried out, whichever call it is") {
    client.answer = Fail(error_kind::kRefused, "http-call", "10.0.0.1:80", "a reason");
    start_answer started;
    control->Start({"10.0.0.1:80", {"i-1", 17}, 5, 0, {}}, millis(100),
                   [&](start_answer answer) { started = std::move(answer); });
    CHECK(started.outcome == call_outcome::kConnectionRefused);
    stop_answer stopped;
    control->Stop({"10.0.0.1:80", {"i-1", 17}, 5, {}}, millis(100),
                  [&](stop_answer answer) { stopped = std::move(answer); });
    CHECK(stopped.outcome == call_outcome::kConnectionRefused);
  }
}

TEST_CASE("odd answers of workers") {
  fake_client client;
  const auto control = PlatformControl(client);
  hold_answer seen;
  const auto hold = [&](const std::string& body) {
    client.answer = http_response{200, {}, {body}, false};
    hold_call call;
    call.worker = {"i-1", 17};
    call.address = "10.0.0.1:80";
    control->Hold(call, millis(100), [&](hold_answer answer) { seen = std::move(answer); });
  };
  SUBCASE("a body that cannot be read is no answer") {
    for (const std::string& body :
         {Nested(), std::string("{\"ClockMs\":1e999}"), std::string("{\"ClockMs\":1e300}"),
          std::string("{\"born\":99999999999999999999999}"), std::string("\xff")}) {
      CAPTURE(body.substr(0, 80));
      hold(body);
      CHECK(seen.outcome == call_outcome::kNoAnswer);
    }
  }
  SUBCASE("a row whose numbers cannot be meant is left out") {
    hold(R"({"ClockMs":1,"Running":[["j.0.0.1",1e300,"",5],["j.0.0.2",2,"",5]],
            "Ended":[[-1,"j.0.0.3",1,"done",""],[1,"j.0.0.4",0.5,"done",""],
                     [2,"j.0.0.5",1,"done",""]]})");
    CHECK(seen.outcome == call_outcome::kDone);
    REQUIRE(seen.running.size() == 1);
    CHECK(seen.running[0].task == "j.0.0.2");
    REQUIRE(seen.ended.size() == 1);
    CHECK(seen.ended[0].task == "j.0.0.5");
  }
  SUBCASE("a percent or a load that cannot be meant counts as not known") {
    hold(R"({"ClockMs":1,"Running":[["j.0.0.2",2,"",1e300,-1e300]]})");
    REQUIRE(seen.running.size() == 1);
    CHECK(seen.running[0].percent == -1);
    CHECK(seen.running[0].load == 0);
  }
  SUBCASE("what a call says that is not UTF-8 is sent all the same") {
    stop_call call;
    call.worker = {"i-1", 17};
    call.address = "10.0.0.1:80";
    call.run = {"j\xff", 1};
    CHECK_NOTHROW(control->Stop(call, millis(100), [](const stop_answer&) {}));
  }
}

TEST_CASE("odd bodies of callers") {
  fake_server server;
  fake_callers callers;
  auto front = PlatformJobs(server);
  REQUIRE(front->Start(callers));
  const std::string good = R"({"Spec":"x","Times":1,"Steps":[{"Count":2,"Cpu":500},
                               {"Count":1,"After":[0]}]})";
  const auto problem = [&](const std::string& body) {
    server.Ask("POST", "/q/5c0e7a21d94b36f8", body);
    return callers.calls.back().problem;
  };
  CHECK(problem(good).empty());
  SUBCASE("are refused with the reason") {
    for (const auto* number : {"1e999", "1e300", "99999999999999999999999", "4294967296"}) {
      CAPTURE(std::string(number));
      CHECK_FALSE(problem(With(good, "\"Count\":2", "\"Count\":" + std::string(number))).empty());
      CHECK_FALSE(problem(With(good, "\"Times\":1", "\"Times\":" + std::string(number))).empty());
      CHECK_FALSE(problem(With(good, "[0]", "[" + std::string(number) + "]")).empty());
    }
    CHECK_FALSE(problem(With(good, "500", "1e300")).empty());
    CHECK_FALSE(problem(With(good, "\"Cpu\":500", "\"EstimateMs\":1e18")).empty());
    CHECK_FALSE(problem(With(good, "\"x\"", Nested())).empty());
    CHECK_FALSE(problem(With(good, "\"x\"", "\"\xff\"")).empty());
  }
  SUBCASE("are refused if no planner could hold their tasks") {
    CHECK_FALSE(problem(With(good, "\"Count\":2", "\"Count\":2000000000")).empty());
    CHECK_FALSE(problem(With(good, "\"Times\":1", "\"Times\":2000000000")).empty());
  }
  SUBCASE("are answered, whatever bytes the answer holds") {
    caller_reply reply{1, call_answer::kMalformed};
    reply.detail = "\xff";
    CHECK_NOTHROW(front->Reply(reply));
    CHECK(server.answers.back().status == 400);
  }
}

TEST_CASE("odd rows in the store") {
  fake_client client;
  auto store = PlatformStore(client);
  rows_result seen;
  const auto read = [&](const std::string& entry) {
    client.answer =
        http_response{200,
                      {},
                      {R"({"Ver":9,"NowMs":1,"rows":[)" + entry +
                       R"(,{"Table":"jobs","part":"","Key":"b","Value":"dGV4dA==","Ver":7}]})"},
                      false};
    store->Read({"jobs", "", ""}, millis(100), [&](rows_result rows) { seen = std::move(rows); });
  };
  SUBCASE("name nothing, and the others hold") {
    for (const std::string& entry :
         {Nested(), std::string(R"({"Table":"jobs","Key":"a","Ver":1e999})"),
          std::string(R"({"Table":"jobs","Key":"a","Ver":1e300})"),
          std::string("{\"Table\":\"jobs\",\"Key\":\"\xff\",\"Ver\":1}"),
          std::string(R"({"Table":"jobs","Key":"a","Value":"not base64!","Ver":1})")}) {
      CAPTURE(entry.substr(0, 80));
      read(entry);
      CHECK(seen.outcome == row_outcome::kDone);
      REQUIRE(seen.rows.size() == 1);
      CHECK(seen.rows[0].value == "text");
      CHECK_FALSE(seen.detail.empty());
    }
  }
  SUBCASE("a key that is not UTF-8 ends nobody") {
    row_transaction change;
    change.writes.push_back({{"jobs", "", "\xff"}, "text"});
    CHECK_NOTHROW(store->Transact(change, millis(100), [](const transaction_result&) {}));
  }
}

TEST_CASE("odd rows of operators") {
  auto source = PlatformOperators();
  operator_state state;
  const auto apply = [&](std::string key, std::string value) {
    return source->Apply({{"op", "", std::move(key)}, std::move(value), 5, false}, millis(5),
                         state);
  };
  for (const std::string& text :
       {Nested(), std::string("{\"Version\":1e999}"), std::string("{\"Version\":1e300}"),
        std::string("{\"Version\":1,\"New\":") + Nested() + "}",
        std::string(R"({"Version":1,"Routes":[{"Name":"r","Attempts":1e300}]})"),
        std::string(R"({"Version":1,"Routes":[{"Name":"r","TargetLatencyMs":1e300}]})"),
        std::string(R"({"Version":1,"Tenants":[{"Name":"t","GuaranteedGpus":1e300}]})"),
        std::string("{\"Version\":1,\"Tenants\":[{\"Name\":\"\xff\"}]}")}) {
    CAPTURE(text.substr(0, 80));
    CHECK_FALSE(apply("config", text));
  }
  for (const std::string& text :
       {std::string(R"({"Wave":1e300})"), std::string(R"({"Wave":1,"WithinS":1e300})"),
        std::string(R"({"Wave":1,"Cap":1e300})"), R"({"Wave":1,"Machines":)" + Nested() + "}"}) {
    CAPTURE(text.substr(0, 80));
    CHECK_FALSE(apply("wave/1", text));
  }
  CHECK(state.waves.empty());
  CHECK(apply("config", R"({"Version":7})"));
}

TEST_CASE("odd frames of peers are refused, and the hub lives on") {
  const auto codec = std::move(codec_registry::Instance().Create("cbor").value());
  const std::string head = "\x82\x02";  // a message of type 2, its fields to follow
  SUBCASE("deeply nested") {
    CHECK_FALSE(codec->Decode(std::string(kAbyss, '\x81')));
    CHECK_FALSE(codec->Decode(head + std::string(kAbyss, '\x81') + '\x01'));
    CHECK_FALSE(codec->Decode(head + std::string(kAbyss, '\x9f')));
    std::string maps;
    for (size_t i = 0; i < kAbyss; ++i) maps += std::string("\xa1\x61k", 3);
    CHECK_FALSE(codec->Decode(head + maps + '\x01'));
  }
  SUBCASE("with numbers that nothing here can hold") {
    const std::string field = head + "\xa1\x66wanted";
    CHECK(codec->Decode(field + '\x03'));
    CHECK_FALSE(codec->Decode(field + "\xfb\x7f\xf0" + std::string(6, '\0')));  // infinite
    CHECK_FALSE(codec->Decode(field + "\xfb\x7f\xf8" + std::string(6, '\0')));  // not a number
    CHECK_FALSE(
        codec->Decode(field + std::string("\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c", 9)));  // 1e300
  }
  SUBCASE("with a length that is longer than any frame") {
    CHECK_FALSE(codec->Decode("\x9b" + std::string(8, '\xff')));
    CHECK_FALSE(codec->Decode("\x7b" + std::string(8, '\xff')));
    CHECK_FALSE(codec->Decode("\xbb" + std::string(8, '\xff')));
  }
}

TEST_CASE("odd records in rows of the store") {
  SUBCASE("their contents are refused one by one") {
    const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
    for (const std::string& text :
         {Nested(), R"({"id":"i-1","new":)" + Nested() + "}", std::string("{\"id\":\"\xff\"}"),
          std::string(R"({"fence":1e300})"), std::string(R"({"fence":18446744073709551615})"),
          std::string(R"({"fence":1e999})"), std::string("7")}) {
      CAPTURE(text.substr(0, 80));
      CHECK_FALSE(codec->DecodeTerm(text));
      CHECK_FALSE(codec->DecodeWorker(text));
    }
    CHECK_NOTHROW((void)codec->Encode(worker_record{"i-\xff", "a", "10.0.0.1:80", 0, ""}));
  }
}

}  // namespace
}  // namespace eelgrass

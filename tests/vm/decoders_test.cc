// Decoders of the platform's formats, with valid and invalid input.

#include <boost/test/unit_test.hpp>

#include "net/loop.h"
#include "platform/json_fields.h"
#include "platform/registry_decoder.h"
#include "platform/request_headers.h"
#include "platform/settings_file.h"

namespace comfreyfold::platform {
namespace {

constexpr const char* kSettings = R"({
  "node_name": "vm-1", "zone": "north", "ip": "10.0.0.1",
  "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
  "internal_ports": [7000, 7015], "bootstrap": true, "data_dir": null,
  "limits": {"memory_mb": 110, "max_fds": 4100},
  "fault_tolerance": {"machines": 2},
  "bounds": {"grace_s": 8, "drain_ms": 3000},
  "platform": {"address": "10.9.9.9:1"}, "something_new": [1, 2]})";

std::string Without(const std::string& text, const std::string& part) {
  auto out = text;
  out.erase(out.find(part), part.size());
  return out;
}

BOOST_AUTO_TEST_SUITE(decoders)

BOOST_AUTO_TEST_CASE(settings_are_decoded_and_unknown_fields_ignored) {
  const auto settings = DecodeSettings(kSettings);
  BOOST_TEST(settings.vm == "vm-1");
  BOOST_TEST(settings.internal_address == "10.0.0.1:7000");
  BOOST_TEST(settings.data_folder.empty());
  BOOST_TEST(settings.first_start);
  BOOST_TEST(settings.tolerated_losses == 2);
  BOOST_TEST(settings.stop_grace.count() == 8000);
  BOOST_TEST(settings.server_drain_time.count() == 3000);
  BOOST_TEST(settings.memory_bytes == 110L * 1024 * 1024);
}

BOOST_AUTO_TEST_CASE(invalid_setting_is_named_in_error) {
  const auto names_field = [](const char* field) {
    return [field](const DecodeError& e) {
      return std::string(e.what()).find(field) != std::string::npos;
    };
  };
  BOOST_CHECK_EXCEPTION(
      DecodeSettings(Without(kSettings, R"("zone": "north",)")), DecodeError,
      names_field("zone"));
  BOOST_CHECK_EXCEPTION(DecodeSettings(Without(kSettings, "7000, 7015")),
                        DecodeError, names_field("internal_ports"));
  BOOST_CHECK_THROW(DecodeSettings("[]"), DecodeError);
  BOOST_CHECK_EXCEPTION(ReadSettingsFile("/nowhere/x.json"), DecodeError,
                        names_field("/nowhere/x.json"));
}

BOOST_AUTO_TEST_CASE(routing_is_decoded_with_traffic_split) {
  const auto config = DecodeRouting(R"({"version": 7, "services": [
      {"name": "a", "max_connections": 3,
       "engine": {"slots": 4, "event_stride": 2}}, {"name": "b"}],
    "routes": [{"name": "r", "host": "h", "prefix": "/x/",
      "type": "streaming", "timeout_ms": 10, "resumable": true,
      "traffic_split": [{"service": "a", "weight": 9},
                        {"service": "b", "weight": 1}]},
      {"name": "s", "host": "h", "prefix": "/y/", "type": "unsafe",
       "service": "b"}], "limits": {"max_body_bytes": 5}})");
  BOOST_TEST(config.version == 7);
  BOOST_TEST(config.routes[0].services.size() == 2U);
  BOOST_TEST(config.routes[0].Repeatable());
  BOOST_TEST(config.routes[1].services[0].service == "b");
  BOOST_TEST(!config.routes[1].Repeatable());
  BOOST_TEST(config.services.at("a").engine->tokens_per_event == 2);
  BOOST_TEST(!config.services.at("b").engine.has_value());
  BOOST_TEST(config.limits.body_bytes == 5U);
  BOOST_CHECK_THROW(DecodeRouting(R"({"version": 1, "services": [],
      "routes": [{"name": "r", "host": "h", "prefix": "/", "type": "odd",
                  "service": "a"}]})"),
                    DecodeError);
}

BOOST_AUTO_TEST_CASE(invalid_registration_is_rejected) {
  const std::string good = R"({"service":"a","address":"1.1.1.1:2",)"
                           R"("zone":"north","slots":4,"state":"ready"})";
  BOOST_TEST(DecodeServer("servers/i-1", good).id == "i-1");
  for (const auto* part : {R"("service":"a",)", R"("slots":4,)",
                           R"("address":"1.1.1.1:2",)", "{"}) {
    BOOST_CHECK_THROW(DecodeServer("servers/i-1", Without(good, part)),
                      DecodeError);
  }
}

// A registration nested too deeply overflowed the stack of the coroutine that
// reads the registrations.
BOOST_AUTO_TEST_CASE(deeply_nested_registration_is_rejected) {
  constexpr int kDepth = 20000;
  const std::string head = R"({"address":"1.1.1.1:2","zone":"north",)";
  const std::string tail = R"("slots":4,"state":"ready"})";
  const auto nested = std::string(kDepth, '[') + std::string(kDepth, ']') + ",";
  int rejected = 0;
  Loop loop;
  loop.Spawn([&](Fiber&) {
    for (const auto& text : {head + R"("service":)" + nested + tail,
                             head + R"("service":"a","x":)" + nested + tail}) {
      BOOST_CHECK_THROW(DecodeServer("servers/i-1", text), DecodeError);
      ++rejected;
    }
    BOOST_CHECK_THROW(DecodeRouting(R"({"version":1,"routes":[],"services":)" +
                                    nested + R"("x":1})"),
                      DecodeError);
    ++rejected;
  });
  loop.Run();
  BOOST_TEST(rejected == 3);
}

BOOST_AUTO_TEST_CASE(registration_with_odd_fields_is_rejected_or_harmless) {
  const auto entry = [](const std::string& fields) {
    return R"({"service":"a","zone":"north","state":"ready","slots":8,)"
           R"("address":"1.1.1.1:2")" +
           fields + "}";
  };
  for (const std::string it : {R"(,"born":"1")",
                               R"(,"born":[1])",
                               R"(,"born":{"a":1})",
                               R"(,"born":1e400)",
                               R"(,"born":-1e400)",
                               R"(,"x":1e400)",
                               R"(,"slots":[8])",
                               R"(,"slots":null)",
                               R"(,"zone":7)",
                               R"(,"zone":"")",
                               R"(,"zone":"a\u0000b")",
                               R"(,"zone":"a\nb")",
                               R"(,"state":"gone")",
                               R"(,"address":"1.1.1.1:65536")",
                               R"(,"address":"1.1.1.1:+1")",
                               R"(,"address":"1.1.1.1: 1")",
                               R"(,"address":["1.1.1.1:2"])",
                               ",\"zone\":\"\xff\"",
                               ",\"x\":\"\xc3(\"",
                               ",\"x\":\"\xed\xa0\x80\"",
                               R"(,"cold_remaining_ms":"5")",
                               R"(,"x":)",
                               R"(,)"}) {
    BOOST_TEST_CONTEXT(it) {
      BOOST_CHECK_THROW(DecodeServer("servers/i-1", entry(it)), DecodeError);
    }
  }
  for (const std::string it :
       {R"(,"x":[[[1]]])", R"(,"x":"\u0000")", R"(,"slots":1,"slots":8)",
        R"(,"born":null)", R"(,"x":-99999999999999999999999)"}) {
    BOOST_TEST_CONTEXT(it) {
      BOOST_TEST(DecodeServer("servers/i-1", entry(it)).slots == 8);
    }
  }
  const std::string long_id(201, 'x');
  BOOST_CHECK_THROW(DecodeServer("servers/" + long_id, entry("")), DecodeError);
}

// Such registrations were used, with a truncated port or an overflowing time.
BOOST_AUTO_TEST_CASE(registration_with_values_out_of_range_is_rejected) {
  const auto entry = [](const std::string& fields) {
    return R"({"service":"a","zone":"north","state":"ready",)" + fields + "}";
  };
  const std::string address = R"("address":"1.1.1.1:2",)";
  BOOST_TEST(
      DecodeServer("servers/i-1", entry(address + R"("slots":8)")).slots == 8);
  for (const auto* it :
       {R"("address":"1.1.1.1:99999","slots":4)",
        R"("address":"1.1.1.1:0","slots":4)",
        R"("address":"1.1.1.1:-1","slots":4)",
        R"("address":"1.1.1.1:2x","slots":4)",
        R"("address":"1.1.1.1:","slots":4)",
        R"("address":"nowhere:80","slots":4)",
        R"("address":"1.1.1.1:2","slots":1e300)",
        R"("address":"1.1.1.1:2","slots":99999999999)",
        R"("address":"1.1.1.1:2","slots":-3)",
        R"("address":"1.1.1.1:2","slots":4,"cold_remaining_ms":1e300)",
        R"("address":"1.1.1.1:2","slots":4,"born":1e300)",
        R"("address":"1.1.1.1:2","slots":4,"born":99999999999999999999)"}) {
    BOOST_CHECK_THROW(DecodeServer("servers/i-1", entry(it)), DecodeError);
  }
  // The id goes into a header of each request to the server.
  for (const std::string key :
       {"servers/", "servers/a\r\nB: c", "servers/a b", "servers"}) {
    BOOST_CHECK_THROW(DecodeServer(key, entry(address + R"("slots":4)")),
                      DecodeError);
  }
  const std::string long_name(100000, 'x');
  BOOST_CHECK_THROW(
      DecodeServer("servers/i-1",
                   entry(address + R"("slots":4,"zone":")" + long_name + "\"")),
      DecodeError);
}

BOOST_AUTO_TEST_CASE(turn_headers_are_decoded) {
  HttpRequest request;
  request.headers = {{"Request-Id", "r"},
                     {"Token-Usage", "1840,136"},
                     {"Token-Budget", "1088"},
                     {"Previous-Turn", "p"},
                     {"Finish-Deadline-Ms", "5200"},
                     {"Prompt-Prefix", "a:800,b:410"}};
  const auto call = DecodeCall(request);
  BOOST_TEST(call.prompt_tokens == 1840);
  BOOST_TEST(call.max_output_tokens == 136);
  BOOST_TEST(*call.token_budget == 1088);
  BOOST_TEST(call.finish_in->count() == 5200);
  BOOST_TEST(!call.time_left.has_value());
  BOOST_TEST(call.prompt.size() == 2U);
  BOOST_TEST(call.prompt[1].tokens == 410);
}

BOOST_AUTO_TEST_CASE(not_run_answers_are_recognized) {
  HttpReply reply;
  reply.status = 503;
  BOOST_TEST(!DecodeAnswer(reply).not_run);
  reply.headers = {{"Not-Executed", "1"}, {"Server-Load", "3,1,8"}};
  BOOST_TEST(DecodeAnswer(reply).not_run);
  BOOST_TEST(DecodeAnswer(reply).load->waiting == 1);
  HttpReply other;
  other.status = 421;
  BOOST_TEST(DecodeAnswer(other).not_run);
}

HttpReply AnswerWithLimit(const std::vector<std::string>& limits) {
  HttpReply out;
  out.status = 200;
  out.headers = {{"Request-Id", "r"}, {"Response-Signature", "x"}};
  for (const auto& it : limits) {
    out.headers.push_back({"Server-Limit", it});
  }
  return out;
}

BOOST_AUTO_TEST_CASE(limit_of_a_server_is_decoded) {
  BOOST_TEST(*DecodeAnswer(AnswerWithLimit({"2.75"})).limit_per_second == 2.75);
  BOOST_TEST(*DecodeAnswer(AnswerWithLimit({"0"})).limit_per_second == 0);
  BOOST_TEST(*DecodeAnswer(AnswerWithLimit({" 4 "})).limit_per_second == 4);
  // Of several, the lowest.
  BOOST_TEST(*DecodeAnswer(AnswerWithLimit({"4", "3"})).limit_per_second == 3);
  BOOST_TEST(*DecodeAnswer(AnswerWithLimit({"4, 2"})).limit_per_second == 2);
  const auto none = DecodeAnswer(AnswerWithLimit({}));
  BOOST_TEST(none.tells_limit);
  BOOST_TEST(!none.limit_per_second.has_value());
}

BOOST_AUTO_TEST_CASE(limit_with_an_odd_value_is_no_limit) {
  for (const auto* it :
       {"-1", "nan", "inf", "", "4x", "0x10", "1e400", "4,,3", "9;8", "four"}) {
    const auto answer = DecodeAnswer(AnswerWithLimit({it}));
    BOOST_TEST_CONTEXT("limit '" << it << "'") {
      BOOST_TEST(!answer.limit_per_second.has_value());
      BOOST_TEST(!answer.unreadable_limit.empty());
    }
  }
  const auto huge = DecodeAnswer(AnswerWithLimit({std::string(500, '9')}));
  BOOST_TEST(*huge.limit_per_second >= 1e6);
}

BOOST_AUTO_TEST_CASE(only_the_servers_own_answer_tells_of_its_limit) {
  auto other = AnswerWithLimit({"1"});
  other.status = 421;
  BOOST_TEST(!DecodeAnswer(other).tells_limit);
  BOOST_TEST(!DecodeAnswer(other).limit_per_second.has_value());
  HttpReply unsigned_answer;
  unsigned_answer.status = 502;
  BOOST_TEST(!DecodeAnswer(unsigned_answer).tells_limit);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::platform

// The whole path on the loopback: an operator's document, a server's heartbeat,
// a caller's request through the relay to the server, and a planned stop.

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "platform/operator_front.h"
#include "platform/target_calls.h"
#include "relay/scripted_target.h"
#include "temporary_dir.h"
#include "yuccastair/control/control.h"
#include "yuccastair/relay/relay.h"
#include "yuccastair/stream/client.h"

namespace yuccastair::platform {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
namespace http = stream::http;

support::Address Local(std::uint16_t port) {
  return {"127.0.0.1", port};
}

constexpr std::uint16_t kControlPeer = 26101;
constexpr std::uint16_t kControlOperator = 26102;
constexpr std::uint16_t kPolicy = 26103;
constexpr std::uint16_t kCallers = 26111;
constexpr std::uint16_t kTargetCalls = 26112;
constexpr std::uint16_t kReady = 26113;
constexpr std::uint16_t kPeers = 26114;
constexpr std::uint16_t kMetrics = 26115;

struct Answer {
  unsigned status = 0;
  std::string body;
  http::header<false> head;
};

class PathFixture {
 protected:
  PathFixture() {
    control::Settings control;
    control.id = "control";
    control.availability_zone = "a";
    control.peer_listen = Local(kControlPeer);
    control.operator_listen = Local(kControlOperator);
    control.data_dir = directory_.path();
    control.seeds = {Local(kControlPeer)};
    control.form_cluster = true;
    control.member_expiry = 3000ms;
    control_.emplace(control);
    front_.emplace(Local(kPolicy), [this](wire::PolicyRequest request,
                                          const OperatorFront::Done& done) {
      control_->ExecutePolicyRequest(std::move(request), done);
    });
    relay::Settings relay;
    relay.id = "relay";
    relay.availability_zone = "a";
    relay.service = "s1";
    relay.target = target_.address();
    relay.caller_listen = Local(kCallers);
    relay.target_listen = Local(kTargetCalls);
    relay.ready_listen = Local(kReady);
    relay.peer_listen = Local(kPeers);
    relay.metrics_listen = Local(kMetrics);
    relay.seeds = {Local(kControlPeer)};
    relay.shutdown_timeout = 6000ms;
    relay.drain_time = 2000ms;
    relay_ = std::thread([relay] {
      relay::Relay(relay, MakeAdapter(), [] { return std::nullopt; }).Run();
    });
  }

  ~PathFixture() {
    raise(SIGTERM);
    relay_.join();
    front_.reset();
    control_.reset();
  }

  Answer Send(std::uint16_t port,
              http::verb method,
              const std::string& path,
              const std::string& body = "",
              const std::string& key = "") {
    Answer answer;
    bool done = false;
    stream::asio::co_spawn(
        context_,
        [&]() -> stream::Task<void> {
          co_await Exchange(port, method, path, body, key, answer);
          done = true;
        },
        stream::asio::detached);
    while (!done)
      context_.run_one();
    return answer;
  }

  /// Repeats \p attempt until it gives \p status.
  template <typename Attempt>
  bool Reaches(unsigned status, Attempt attempt) {
    for (int i = 0; i < 300; ++i) {
      if (attempt().status == status)
        return true;
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  static json Document(int base, int version, const std::string& key) {
    return {{"version", version},
            {"baseVersion", base},
            {"routes",
             {{{"name", "r1"},
               {"host", "h.example"},
               {"pathPrefix", "/a/"},
               {"kind", "safe"},
               {"timeoutMs", 3000},
               {"targetLatencyMs", 1000},
               {"priority", 0},
               {"service", "s1"},
               {"attempts", 2}}}},
            {"services", {{{"name", "s1"}, {"healthPath", "/h"}}}},
            {"tenants",
             {{{"name", "t1"},
               {"apiKeys", {key}},
               {"ratePerS", 1000},
               {"burst", 1000}}}}};
  }

  Answer Put(const json& document) {
    return Send(kPolicy, http::verb::post, "/yuccastair/Config.Put",
                document.dump());
  }

  Answer Heartbeat(const std::string& state) {
    const json body = {
        {"addr", target_.address().ToString()},
        {"info", {{"service", "s1"}, {"slots", 10}}},
        {"status",
         {{"state", state}, {"seq", ++sequence_}, {"coldLeftMs", 0}}}};
    return Send(kTargetCalls, http::verb::post,
                "/yuccastair/Instances.Heartbeat/i-1", body.dump());
  }

  Answer Ask(const std::string& path, const std::string& key) {
    return Send(kCallers, http::verb::get, path, "", key);
  }

  stream::Task<void> Exchange(std::uint16_t port,
                              http::verb method,
                              std::string path,
                              std::string body,
                              std::string key,
                              Answer& answer) {
    auto acquired =
        co_await pool_.Acquire(Local(port), support::SteadyClock().Now() + 10s);
    if (!acquired.connection)
      co_return;
    http::header<true> head;
    head.method(method);
    head.target(path);
    head.set("Host", "h.example");
    head.set("X-Attempt-Id", "id" + std::to_string(++requests_));
    if (!key.empty())
      head.set("Authorization", "Token " + key);
    stream::BodySource source;
    source.begin = std::move(body);
    source.length = source.begin.size();
    stream::ErrorCode error =
        co_await acquired.connection->Write(std::move(head), source);
    auto& reader = acquired.connection->reader();
    if (!error)
      error = co_await reader.ReadHead(16384);
    if (!error)
      error = co_await reader.ReadUpTo(answer.body, std::size_t{1} << 20);
    if (error)
      co_return;
    answer.status = reader.head().result_int();
    answer.head = reader.head().base();
  }

  TemporaryDir directory_;
  stream::asio::io_context context_;
  stream::ConnectionPool pool_{context_, {}};
  relay::ScriptedTarget target_{
      context_,
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n"
      "Content-Length: 4\r\n\r\nbody",
      relay::ScriptedTarget::AfterRequest::kKeep, "X-Attempt-Id: "};
  std::optional<control::Control> control_;
  std::optional<OperatorFront> front_;
  std::thread relay_;
  int sequence_ = 0;
  int requests_ = 0;
};

// Guards against parts that hold each for itself and not together.
TEST_CASE_METHOD(PathFixture,
                 "a request runs for the organisation of its key") {
  CHECK(Send(kReady, http::verb::get, "/yuccastair/ready").status != 200);
  REQUIRE(Reaches(200, [&] { return Put(Document(0, 4, "k1")); }));
  CHECK(Send(kPolicy, http::verb::get, "/yuccastair/Config.Get").body ==
        Document(0, 4, "k1").dump());
  REQUIRE(Reaches(
      200, [&] { return Send(kReady, http::verb::get, "/yuccastair/ready"); }));
  REQUIRE(Heartbeat("ready").status == 200);
  Answer answer;
  REQUIRE(Reaches(200, [&] { return answer = Ask("/a/x?q", "k1"); }));
  CHECK(answer.body == "body");
  CHECK(std::string(answer.head["X-Server-Seal"]) == "s");
  const std::string& seen = target_.requests().back();
  CHECK(seen.find("GET /a/x?q HTTP/1.1") == 0);
  CHECK(seen.find("X-Tenant: t1") != std::string::npos);
  CHECK(seen.find("X-Caller: s1") != std::string::npos);
  CHECK(seen.find("X-Expect-Instance: i-1") != std::string::npos);
  CHECK(seen.find("k1") == std::string::npos);

  CHECK(Ask("/a/x", "k2").status == 401);
  CHECK(Ask("/a/x", "").status == 401);
  CHECK(Ask("/b/x", "k1").status == 404);

  // A race, an invalid document, a resend, and a key that is withdrawn.
  CHECK(Reaches(412, [&] { return Put(Document(3, 9, "k3")); }));
  CHECK(Reaches(412, [&] { return Put(Document(4, 4, "k3")); }));
  CHECK(Reaches(200, [&] { return Put(Document(0, 4, "k1")); }));
  REQUIRE(Reaches(200, [&] { return Put(Document(4, 5, "k2")); }));
  CHECK(Reaches(401, [&] { return Ask("/a/x", "k1"); }));
  CHECK(Reaches(200, [&] { return Ask("/a/x", "k2"); }));

  CHECK(Send(kMetrics, http::verb::get, "/metrics")
            .body.find("yuccastair_requests_total") != std::string::npos);

  // A target that drains is sent nothing any more.
  REQUIRE(Heartbeat("draining").status == 200);
  CHECK(Reaches(503, [&] { return Ask("/a/x", "k2"); }));
}

}  // namespace
}  // namespace yuccastair::platform

// From ctl to a target: keys, routes and zones set by an operator take effect
// at a node.

#include <stdio.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <memory>
#include <mutex>
#include <sstream>
#include <thread>

#include "control_fixture.h"
#include "temporary_dir.h"
#include "yuccastair/ctl/ctl.h"
#include "yuccastair/http/client.h"
#include "yuccastair/http/server.h"
#include "yuccastair/node/node.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"

namespace yuccastair::ctl {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongWait{20000};
constexpr milliseconds kPoll{20};
constexpr const char* kOperator = "127.0.0.1:26300";
support::Address CallerPort() {
  return {"127.0.0.1", 26302};
}
support::Address TargetPort() {
  return {"127.0.0.1", 26303};
}
support::Address TargetAddress() {
  return {"127.0.0.1", 26305};
}

node::Settings NodeSettings() {
  node::Settings settings;
  settings.id = "n1";
  settings.availability_zone = "a";
  settings.caller_listen = CallerPort();
  settings.target_listen = TargetPort();
  settings.peer_listen = {"127.0.0.1", 26304};
  settings.control_addresses = {{"127.0.0.1", 26301}};
  settings.key_header = "X-Fleet-Key";
  settings.max_in_flight = 16;
  settings.max_body_bytes = 4096;
  settings.target_workers = 4;
  settings.sync_interval = milliseconds(50);
  settings.shutdown_timeout = milliseconds(0);
  return settings;
}

/// Records the headers of every request that it serves.
class Target {
 public:
  Target() : server_(Options()) {}

  std::string headers() const {
    std::lock_guard lock(mutex_);
    return headers_;
  }

 private:
  http::Server::Options Options() {
    http::Server::Options options;
    options.listen = TargetAddress();
    options.max_in_flight = 8;
    options.on_request = [this](const http::Request& request) {
      std::lock_guard lock(mutex_);
      for (const http::Header& header : request.headers)
        headers_ += header.name + ": " + header.value + "\n";
      return http::Response{200, {}, "served", false};
    };
    options.on_refused = [](const http::Request&, int status) {
      return http::Response{status, {}, "", true};
    };
    return options;
  }

  mutable std::mutex mutex_;
  std::string headers_;
  http::Server server_;
};

std::string Ctl(std::vector<std::string> words) {
  words.insert(words.begin(), {"--control", kOperator});
  std::ostringstream out;
  const int code = Run(words, {out, out, support::RandomHex, "operator"});
  CAPTURE(out.str());
  CHECK(code == kSuccess);
  return out.str();
}

int Send(const support::Address& address,
         const std::string& method,
         const std::string& path,
         const std::vector<http::Header>& headers,
         const std::string& body = "") {
  http::Client client(address);
  http::Request request;
  request.method = method;
  request.path = path;
  request.headers = headers;
  request.body = body;
  return client.Send(request, kLongWait, false).response.status;
}

/// Sends until the status is the wanted one; returns the last status.
int Await(int wanted,
          const std::string& path,
          const std::vector<http::Header>& headers) {
  const auto deadline = std::chrono::steady_clock::now() + kLongWait;
  int status = 0;
  while (std::chrono::steady_clock::now() < deadline) {
    status = Send(CallerPort(), "GET", path, headers);
    if (status == wanted)
      break;
    std::this_thread::sleep_for(kPoll);
  }
  return status;
}

/// Sends standard error to a file while it lives.
class StandardOutputFile {
 public:
  explicit StandardOutputFile(std::string path)
      : path_(std::move(path)), saved_(dup(STDOUT_FILENO)) {
    FILE* file = fopen(path_.c_str(), "w");
    dup2(fileno(file), STDOUT_FILENO);
    fclose(file);
  }
  ~StandardOutputFile() {
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
  }
  StandardOutputFile(const StandardOutputFile&) = delete;
  StandardOutputFile& operator=(const StandardOutputFile&) = delete;

  std::string Text() const {
    std::ifstream in(path_);
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  const std::string path_;
  const int saved_;
};

// Guards against a key that works without being issued, after being revoked or
// at a node that has not synced, and against one that leaks.
TEST_CASE("a key works from its issue to its revocation and is never shown") {
  const TemporaryDir dir;
  const StandardOutputFile log((dir.path() / "log").string());
  support::InitLog(support::LogLevel::kDebug, "test", "t1");
  const Target target;
  RunningControl control(26300);
  auto node = std::make_unique<node::Node>(NodeSettings());
  const std::string announcement =
      R"({"service":"orders","incarnation":"1","state":"up","address":")" +
      TargetAddress().ToString() + "\"}";
  CHECK(Send(TargetPort(), "POST", "/yuccastair/announce", {}, announcement) ==
        200);

  Ctl({"route", "create", "orders", "--service", "orders", "--path",
       "/orders"});
  Ctl({"route", "create", "public", "--service", "orders", "--path", "/public",
       "--open"});
  Ctl({"organisation", "create", "acme", "--rate", "1000", "--burst", "1000"});
  const std::string issued = Ctl({"key", "issue", "acme"});
  const std::string id = issued.substr(issued.find("id: ") + 4, 12);
  const std::string key = issued.substr(issued.find("key: ") + 5, 5 + 76);
  const std::vector<http::Header> keyed = {{"x-fleet-KEY", key},
                                           {"X-FLEET-key", key}};
  CHECK(Await(200, "/orders/1", keyed) == 200);
  CHECK(Await(200, "/public", {}) == 200);
  CHECK(Send(CallerPort(), "GET", "/orders/1", {}) == 401);
  CHECK(Send(CallerPort(), "GET", "/orders/1", {{"x-fleet-key", key + "0"}}) ==
        401);
  CHECK(Send(CallerPort(), "GET", "/none", keyed) == 404);

  Ctl({"key", "revoke", "acme", id});
  CHECK(Await(401, "/orders/1", keyed) == 401);

  // A restarted node holds no settings, so without control processes it serves
  // nothing.
  control.Stop();
  node.reset();
  node = std::make_unique<node::Node>(NodeSettings());
  CHECK(Send(CallerPort(), "GET", "/orders/1", keyed) == 503);
  node.reset();

  CHECK(target.headers().find("acme.") == std::string::npos);
  CHECK(target.headers().find(key.substr(5)) == std::string::npos);
  support::ShutdownLog();
  CHECK(log.Text().find("settings.applied") != std::string::npos);
  CHECK(log.Text().find(key.substr(5)) == std::string::npos);
}

}  // namespace
}  // namespace yuccastair::ctl

// A proxy in place of a node, as a baseline for experiments: routes at random,
// retries a fixed number of times at each hop and knows no importance. With
// --limit it runs at most that many requests at once at its own target.

#include <signal.h>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "async_http.h"
#include "plan.h"

namespace yuccastair::rig {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxConnections = 1400;

HttpResponse Failure(unsigned status, const std::string& why) {
  HttpResponse response;
  response.result(status);
  response.body() = why;
  return response;
}

/// Returns the first segment of a path.
std::string ServiceOf(const std::string& path) {
  const std::size_t end = path.find_first_of("/?", 1);
  return path.substr(1, end == std::string::npos ? end : end - 1);
}

class Proxy {
 public:
  Proxy(boost::asio::io_context& io,
        const std::vector<Instance>& instances,
        const Instance& self,
        int retries,
        std::size_t limit,
        milliseconds timeout,
        std::uint64_t seed)
      : instances_(instances),
        self_(self),
        retries_(retries),
        limit_(limit),
        timeout_(timeout),
        random_(seed),
        client_(io, kMaxConnections),
        callers_(io, self.node_listen, [this](auto call) { Route(call); }),
        own_target_(io,
                    self.node_target_listen,
                    [this](auto call) { Route(call); }),
        peers_(io, self.node_peer_listen, [this](auto call) { Serve(call); }) {}

 private:
  using Call = std::shared_ptr<ServerExchange>;

  void Route(const Call& call) {
    if (call->request().target() == "/yuccastair/announce") {
      call->Respond(HttpResponse{});
      return;
    }
    Attempt(call, retries_);
  }

  void Attempt(const Call& call, int retries_left) {
    const std::string service =
        ServiceOf(std::string(call->request().target()));
    std::vector<const Instance*> choices;
    for (const Instance& instance : instances_) {
      if (instance.service->name == service)
        choices.push_back(&instance);
    }
    if (choices.empty()) {
      call->Respond(Failure(404, "no such service"));
      return;
    }
    std::uniform_int_distribution<std::size_t> index(0, choices.size() - 1);
    client_.Call(ToEndpoint(choices[index(random_)]->node_peer_listen),
                 call->request(), timeout_,
                 [this, call, retries_left](CallResult result) {
                   Answer(call, retries_left, std::move(result));
                 });
  }

  void Answer(const Call& call, int retries_left, CallResult result) {
    const bool failed =
        result.error != CallError::kNone || result.response.result_int() >= 500;
    if (failed && retries_left > 0)
      Attempt(call, retries_left - 1);
    else if (result.error != CallError::kNone)
      call->Respond(Failure(502, "no response"));
    else
      call->Respond(std::move(result.response));
  }

  void Serve(const Call& call) {
    if (limit_ > 0 && running_ >= limit_) {
      call->Respond(Failure(503, "over the limit"));
      return;
    }
    ++running_;
    client_.Call(ToEndpoint(self_.target), call->request(), timeout_,
                 [this, call](CallResult result) {
                   --running_;
                   Answer(call, 0, std::move(result));
                 });
  }

  const std::vector<Instance>& instances_;
  const Instance& self_;
  const int retries_;
  const std::size_t limit_;
  const milliseconds timeout_;
  std::mt19937_64 random_;
  std::size_t running_ = 0;
  AsyncClient client_;
  AsyncServer callers_;
  AsyncServer own_target_;
  AsyncServer peers_;
};

int Run(int argc, char** argv) {
  cxxopts::Options parser("baseline_proxy");
  auto add = parser.add_options();
  add("plan", "experiment file", cxxopts::value<std::string>());
  add("instance", "number of the instance whose node this is",
      cxxopts::value<std::size_t>());
  add("retries", "retries at each hop",
      cxxopts::value<int>()->default_value("3"));
  add("limit", "requests at once at the own target, 0 for no limit",
      cxxopts::value<std::size_t>()->default_value("0"));
  add("timeout-ms", "time for an attempt",
      cxxopts::value<int>()->default_value("1000"));
  const auto parsed = parser.parse(argc, argv);
  const Plan plan = ReadPlan(parsed["plan"].as<std::string>());
  const std::vector<Instance> instances = InstancesOf(plan);
  const std::size_t number = parsed["instance"].as<std::size_t>();
  signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  const Proxy proxy(
      io, instances, instances.at(number), parsed["retries"].as<int>(),
      parsed["limit"].as<std::size_t>(),
      milliseconds(parsed["timeout-ms"].as<int>()), plan.seed + number);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace yuccastair::rig

int main(int argc, char** argv) {
  try {
    return yuccastair::rig::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "baseline_proxy: " << error.what() << '\n';
    return 1;
  }
}

// A stand-in target: announces itself to its node, waits a service time for
// each request and can call another service through its node.

#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "yuccastair/http/client.h"
#include "yuccastair/http/server.h"
#include "yuccastair/support/address.h"
#include "yuccastair/support/id.h"

namespace yuccastair::rig {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{5000};
constexpr milliseconds kAnnounceTimeout{1000};
constexpr milliseconds kAnnounceInterval{500};

struct Options {
  std::string service;
  support::Address listen;
  support::Address node;
  milliseconds service_time{0};
  // Path called through the own node for each request; empty for none.
  std::string calls;
};

http::Response Serve(const Options& options, const http::Request& request) {
  std::this_thread::sleep_for(options.service_time);
  http::Response response;
  response.body = options.service + " served " + request.path;
  if (!options.calls.empty()) {
    http::Client client(options.node);
    http::Request call;
    call.method = "GET";
    call.path = options.calls;
    call.headers.push_back(
        {"x-yuccastair-call",
         http::FindHeader(request.headers, "x-yuccastair-call")});
    const http::Exchange exchange = client.Send(call, kCallTimeout, false);
    if (exchange.result != http::ExchangeResult::kComplete ||
        exchange.response.status != 200)
      response.status = 502;
    response.body += "; " + exchange.response.body;
  }
  return response;
}

void AnnounceForever(const Options& options) {
  const nlohmann::json body = {{"service", options.service},
                               {"incarnation", support::RandomId()},
                               {"address", options.listen.ToString()},
                               {"state", "up"}};
  http::Client client(options.node);
  http::Request request;
  request.method = "POST";
  request.path = "/yuccastair/announce";
  request.body = body.dump();
  while (true) {
    client.Send(request, kAnnounceTimeout, true);
    std::this_thread::sleep_for(kAnnounceInterval);
  }
}

int Run(int argc, char** argv) {
  cxxopts::Options parser("stand_in_target");
  parser.add_options()("service", "service name",
                       cxxopts::value<std::string>())(
      "listen", "own address", cxxopts::value<std::string>())(
      "node", "local port of the node", cxxopts::value<std::string>())(
      "service-time-ms", "service time",
      cxxopts::value<int>()->default_value("1"))(
      "calls", "path called for each request",
      cxxopts::value<std::string>()->default_value(""));
  const auto parsed = parser.parse(argc, argv);
  Options options;
  options.service = parsed["service"].as<std::string>();
  options.listen =
      support::ParseAddress(parsed["listen"].as<std::string>()).value();
  options.node =
      support::ParseAddress(parsed["node"].as<std::string>()).value();
  options.service_time = milliseconds(parsed["service-time-ms"].as<int>());
  options.calls = parsed["calls"].as<std::string>();
  http::Server::Options server_options;
  server_options.listen = options.listen;
  server_options.on_request = [&](const http::Request& request) {
    return Serve(options, request);
  };
  server_options.on_refused = [](const http::Request&, int status) {
    return http::Response{status, {}, "", true};
  };
  signal(SIGPIPE, SIG_IGN);
  const http::Server server(std::move(server_options));
  AnnounceForever(options);
  return 0;
}

}  // namespace
}  // namespace yuccastair::rig

int main(int argc, char** argv) {
  try {
    return yuccastair::rig::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "stand_in_target: " << error.what() << '\n';
    return 1;
  }
}

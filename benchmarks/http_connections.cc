// Opens many connections to one HTTP server at once, sends a request on each
// and prints the latency and the memory of a connection.
//
//   http_connections [CONNECTIONS] [BACKLOG]
//
// BACKLOG replaces the backlog of the server.

#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "async_http.h"
#include "yuccastair/http/server.h"

namespace yuccastair {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::uint16_t kPort = 29900;
constexpr milliseconds kTimeout{60000};
constexpr int kMaxDescriptors = 4096;

void SetBacklog(int backlog) {
  for (int fd = 0; fd < kMaxDescriptors; ++fd) {
    int listening = 0;
    socklen_t size = sizeof listening;
    if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 &&
        listening != 0)
      listen(fd, backlog);
  }
}

/// Resident memory of this process in KiB.
long ResidentKib() {
  std::ifstream status("/proc/self/status");
  for (std::string word; status >> word;) {
    if (word == "VmRSS:") {
      long kib = 0;
      status >> kib;
      return kib;
    }
  }
  return 0;
}

void Run(std::size_t connections, int backlog) {
  http::Server::Options options;
  options.listen = {"127.0.0.1", kPort};
  options.on_request = [](const http::Request&) {
    return http::Response{200, {}, "ok", false};
  };
  options.on_refused = [](const http::Request&, int status) {
    return http::Response{status, {}, "", true};
  };
  const http::Server server(std::move(options));
  if (backlog > 0)
    SetBacklog(backlog);
  const long before = ResidentKib();
  boost::asio::io_context io(1);
  rig::AsyncClient client(io, connections);
  std::vector<double> latencies;
  latencies.reserve(connections);
  std::size_t refused = 0;
  const auto start = Clock::now();
  for (std::size_t i = 0; i < connections; ++i) {
    rig::HttpRequest request{boost::beast::http::verb::get, "/", 11};
    client.Call(rig::ToEndpoint({"127.0.0.1", kPort}), std::move(request),
                kTimeout, [&](const rig::CallResult& result) {
                  if (result.error != rig::CallError::kNone ||
                      result.response.result_int() != 200)
                    ++refused;
                  latencies.push_back(std::chrono::duration<double, std::milli>(
                                          Clock::now() - start)
                                          .count());
                });
  }
  io.run();
  std::sort(latencies.begin(), latencies.end());
  std::cout << connections << " connections, backlog "
            << (backlog > 0 ? std::to_string(backlog) : "as raised")
            << ": median " << latencies[connections / 2] << " ms, 99 % "
            << latencies[connections * 99 / 100] << " ms, worst "
            << latencies.back() << " ms, not served " << refused << ", "
            << static_cast<double>(ResidentKib() - before) /
                   static_cast<double>(connections)
            << " KiB a connection with both ends\n";
}

}  // namespace
}  // namespace yuccastair

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const std::size_t connections =
      argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 1400;
  yuccastair::Run(connections, argc > 2 ? std::atoi(argv[2]) : 0);
  return 0;
}

// A stand-in target as a process: reads its options and runs until SIGTERM.

#include <signal.h>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <stdexcept>
#include <string>

#include "target_server.h"

namespace yuccastair::rig {
namespace {

support::Address AddressOf(const cxxopts::ParseResult& parsed,
                           const std::string& name) {
  const auto address = support::ParseAddress(parsed[name].as<std::string>());
  if (!address)
    throw std::runtime_error("--" + name + " must be ip:port");
  return *address;
}

int Run(int argc, char** argv) {
  cxxopts::Options parser("stand_in_target");
  auto add = parser.add_options();
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  const auto number = [](const char* value) {
    return cxxopts::value<double>()->default_value(value);
  };
  add("service", "service name", cxxopts::value<std::string>());
  add("listen", "own address", cxxopts::value<std::string>());
  add("admin", "address of the admin port", cxxopts::value<std::string>());
  add("node", "local port of the node", cxxopts::value<std::string>());
  add("slots", "requests that run at full speed", number("8"));
  add("service-time-ms", "mean service time", number("20"));
  add("distribution", "fixed, exponential or lognormal", text("lognormal"));
  add("overload-power", "growth of service time beyond the slots",
      number("1.5"));
  add("cold-share", "part of the slots of a cold target", number("0.1"));
  add("warm-ms", "time until a cold target is warm", number("3000"));
  add("cold", "start cold");
  add("hide-cold", "announce the state up while cold");
  add("no-announce", "do not announce to a node");
  add("shed-at", "answer 503 beyond this many requests, 0 for never",
      number("0"));
  add("resends", "times a failed nested call is sent again", number("0"));
  add("max-connections", "connections to the node", number("1400"));
  add("seed", "seed of the service times", number("1"));
  const auto parsed = parser.parse(argc, argv);
  TargetOptions options;
  options.service = parsed["service"].as<std::string>();
  options.listen = AddressOf(parsed, "listen");
  options.admin = AddressOf(parsed, "admin");
  options.node = AddressOf(parsed, "node");
  options.model.slots = static_cast<std::size_t>(parsed["slots"].as<double>());
  options.model.mean = std::chrono::microseconds(
      static_cast<std::int64_t>(parsed["service-time-ms"].as<double>() * 1000));
  options.model.distribution = parsed["distribution"].as<std::string>();
  options.model.overload_power = parsed["overload-power"].as<double>();
  options.model.cold_share = parsed["cold-share"].as<double>();
  options.model.warm_time = std::chrono::milliseconds(
      static_cast<std::int64_t>(parsed["warm-ms"].as<double>()));
  options.model.starts_cold = parsed.count("cold") > 0;
  options.model.seed = static_cast<std::uint64_t>(parsed["seed"].as<double>());
  options.announces_cold = parsed.count("hide-cold") == 0;
  options.announces = parsed.count("no-announce") == 0;
  options.shed_at = static_cast<std::size_t>(parsed["shed-at"].as<double>());
  options.resends = static_cast<int>(parsed["resends"].as<double>());
  options.max_connections =
      static_cast<std::size_t>(parsed["max-connections"].as<double>());

  signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  TargetServer target(io, std::move(options));
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { target.Drain(); });
  io.run();
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

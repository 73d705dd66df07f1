// The load driver as a process: sends the load of a plan and writes its records
// to a CSV file and its counts to a JSON file.

#include <signal.h>
#include <sys/resource.h>

#include <chrono>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "load_generator.h"

namespace yuccastair::rig {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

void RaiseDescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

void WriteRecords(const std::string& path,
                  const Plan& plan,
                  const LoadGenerator& generator) {
  std::ofstream out(path);
  out << "scheduled_us,class,latency_us,fate,attempts\n";
  for (const Record& record : generator.records()) {
    out << record.scheduled.count() << ',' << plan.classes[record.caller].name
        << ',' << record.latency.count() << ',' << FateName(record.fate) << ','
        << record.attempts << '\n';
  }
}

int Run(int argc, char** argv) {
  cxxopts::Options parser("load_driver");
  auto add = parser.add_options();
  add("plan", "experiment file", cxxopts::value<std::string>());
  add("seed", "overrides the seed of the plan",
      cxxopts::value<std::uint64_t>());
  add("load", "overrides the load of the plan", cxxopts::value<double>());
  add("direct", "send all requests to the targets");
  add("keys", "JSON file with the key of each organisation",
      cxxopts::value<std::string>());
  add("start-ms", "when to start, in ms since 1970",
      cxxopts::value<std::int64_t>());
  add("out", "prefix of the files to write", cxxopts::value<std::string>());
  const auto parsed = parser.parse(argc, argv);
  Plan plan = ReadPlan(parsed["plan"].as<std::string>());
  if (parsed.count("seed") > 0)
    plan.seed = parsed["seed"].as<std::uint64_t>();
  if (parsed.count("load") > 0)
    plan.load = parsed["load"].as<double>();
  if (parsed.count("direct") > 0)
    MakeDirect(plan);
  Scale(plan);
  nlohmann::json keys = nlohmann::json::object();
  if (parsed.count("keys") > 0)
    keys =
        nlohmann::json::parse(std::ifstream(parsed["keys"].as<std::string>()));
  for (ClassPlan& caller : plan.classes) {
    if (keys.contains(caller.organisation))
      caller.key = keys[caller.organisation].get<std::string>();
  }
  signal(SIGPIPE, SIG_IGN);
  RaiseDescriptorLimit();
  auto start = std::chrono::system_clock::now();
  if (parsed.count("start-ms") > 0)
    start = std::chrono::system_clock::time_point(
        std::chrono::milliseconds(parsed["start-ms"].as<std::int64_t>()));
  boost::asio::io_context io(1);
  LoadGenerator generator(io, plan, start);
  generator.Run();

  const std::string out = parsed["out"].as<std::string>();
  WriteRecords(out + "requests.csv", plan, generator);
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const nlohmann::json counts = {
      {"attempts_not_run", generator.attempts_not_run()},
      {"confirmed", generator.confirmed()},
      {"reasons", generator.reasons()},
      {"worst_lag_ms",
       static_cast<double>(generator.worst_lag().count()) / 1000},
      {"most_connections", generator.most_connections()},
      {"cpu_s",
       static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
           static_cast<double>(usage.ru_utime.tv_usec +
                               usage.ru_stime.tv_usec) /
               kMicrosecondsPerSecond}};
  std::ofstream(out + "driver.json") << counts.dump() << '\n';
  return 0;
}

}  // namespace
}  // namespace yuccastair::rig

int main(int argc, char** argv) {
  try {
    return yuccastair::rig::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "load_driver: " << error.what() << '\n';
    return 1;
  }
}

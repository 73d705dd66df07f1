// The yuccastair binary: picks the subcommand and runs it.

#include <signal.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "platform/operator_front.h"
#include "platform/target_calls.h"
#include "yuccastair/control/control.h"
#include "yuccastair/ctl/ctl.h"
#include "yuccastair/node/node.h"
#include "yuccastair/relay/relay.h"
#include "yuccastair/state/tree_file.h"
#include "yuccastair/support/error.h"
#include "yuccastair/support/id.h"
#include "yuccastair/support/log.h"
#include "yuccastair/support/settings_file.h"
#include "yuccastair/wire/transport.h"

namespace yuccastair {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsage = R"(usage: yuccastair COMMAND [OPTION...]

commands:
  node     run the process beside a target
  relay    run the event-driven process beside a target of the platform
  control  run a control process, which holds the durable state
  ctl      operate the fleet through a control process
  check    check a settings file
  keygen   print a new [curve] section for the processes of a deployment

'yuccastair COMMAND --help' shows the options of a command.
exit codes: 0 success, 1 runtime failure, 2 usage error or invalid settings,
3 rejected by the control processes
)";

/// Blocks the signals that a process waits for in all threads started from here
/// on.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Returns at SIGTERM or SIGINT. SIGHUP calls \p reload.
void WaitForStop(const sigset_t& signals, const std::function<void()>& reload) {
  int received = SIGHUP;
  while (received == SIGHUP) {
    sigwait(&signals, &received);
    if (received == SIGHUP)
      reload();
  }
}

/// Prints the faults of a settings file; returns whether there are none.
bool ReportFaults(support::SettingsFile& file) {
  const auto faults = file.FinishAndTakeFaults();
  for (const support::SettingsFault& fault : faults)
    std::cerr << fault.ToString() << '\n';
  return faults.empty();
}

int RunNode(const std::string& path) {
  support::SettingsFile file(path);
  node::Settings settings = node::ReadSettings(file);
  if (!ReportFaults(file))
    return kExitUsage;
  const sigset_t signals = BlockStopSignals();
  support::InitLog(support::LogLevel::kInfo, "node", settings.id);
  node::Node node(std::move(settings));
  WaitForStop(signals, [] {
    support::LogWarning("settings.unchanged",
                        {{"reason", "a node reads its settings at start"}});
  });
  node.Drain();
  return kExitSuccess;
}

std::optional<relay::Settings> ReadRelay(const std::string& path) {
  support::SettingsFile file(path);
  relay::Settings settings = relay::ReadSettings(file);
  if (!ReportFaults(file))
    return std::nullopt;
  return settings;
}

std::optional<control::Settings> ReadControl(const std::string& path) {
  support::SettingsFile file(path);
  control::Settings settings = control::ReadSettings(file);
  if (!ReportFaults(file))
    return std::nullopt;
  return settings;
}

/// Reads changed settings of a running process, which goes on with the ones it
/// has if the file is not valid.
template <typename Read>
auto TryRead(Read read) -> decltype(read()) {
  try {
    return read();
  } catch (const support::Error& error) {
    support::LogWarning("settings.unreadable", {{"error", error.what()}});
    return std::nullopt;
  }
}

int RunRelay(const std::string& path) {
  auto settings = ReadRelay(path);
  if (!settings)
    return kExitUsage;
  support::InitLog(support::LogLevel::kInfo, "relay", settings->id);
  signal(SIGPIPE, SIG_IGN);
  relay::Relay relay(std::move(*settings), platform::MakeAdapter(), [path] {
    return TryRead([&path] { return ReadRelay(path); });
  });
  relay.Run();
  return kExitSuccess;
}

int RunControl(const std::string& path) {
  auto settings = ReadControl(path);
  if (!settings)
    return kExitUsage;
  const sigset_t signals = BlockStopSignals();
  support::InitLog(support::LogLevel::kInfo, "control", settings->id);
  const auto policy_listen = settings->policy_listen;
  control::Control control(std::move(*settings));
  std::optional<platform::OperatorFront> front;
  if (policy_listen) {
    front.emplace(*policy_listen,
                  [&control](wire::PolicyRequest request,
                             const platform::OperatorFront::Done& done) {
                    control.ExecutePolicyRequest(std::move(request), done);
                  });
  }
  WaitForStop(signals, [&control, path] {
    const auto changed = TryRead([&path] { return ReadControl(path); });
    support::LogInfo("settings.reloaded", {{"valid", changed.has_value()}});
    if (changed)
      control.SetSeeds(changed->seeds);
  });
  return kExitSuccess;
}

int RunCtl(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const char* user = std::getenv("USER");
  return ctl::Run(std::vector<std::string>(argv + 2, argv + argc),
                  {std::cout, std::cerr, support::RandomHex, user ? user : ""});
}

int CheckTreeFile(const std::string& path) {
  const state::TreeFile file = state::ReadTreeFile(path);
  for (const support::SettingsFault& fault : file.faults)
    std::cerr << fault.ToString() << '\n';
  return file.faults.empty() ? kExitSuccess : kExitUsage;
}

int RunCheck(const std::string& path, const std::string& role) {
  if (role == "tree")
    return CheckTreeFile(path);
  support::SettingsFile file(path);
  if (role == "node")
    node::ReadSettings(file);
  else if (role == "relay")
    relay::ReadSettings(file);
  else
    control::ReadSettings(file);
  return ReportFaults(file) ? kExitSuccess : kExitUsage;
}

int RunWithConfig(const std::string& command, int argc, char** argv) {
  cxxopts::Options options("yuccastair " + command);
  auto add = options.add_options();
  add("config", "settings file in TOML", cxxopts::value<std::string>());
  add("help", "show this text");
  if (command == "check")
    add("role", "node, relay, control or tree", cxxopts::value<std::string>());
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return kExitSuccess;
  }
  if (parsed.count("config") == 0) {
    std::cerr << "yuccastair " << command << ": --config FILE is required\n";
    return kExitUsage;
  }
  const std::string path = parsed["config"].as<std::string>();
  if (command == "node")
    return RunNode(path);
  if (command == "relay")
    return RunRelay(path);
  if (command == "control")
    return RunControl(path);
  const std::string role =
      parsed.count("role") > 0 ? parsed["role"].as<std::string>() : "";
  if (role != "node" && role != "relay" && role != "control" &&
      role != "tree") {
    std::cerr << "yuccastair check: --role node, --role relay, --role control "
                 "or --role tree is required\n";
    return kExitUsage;
  }
  return RunCheck(path, role);
}

int PrintCurveKeys() {
  const wire::CurveKeyPair keys = wire::GenerateCurveKeyPair();
  std::cout << "[curve]\npublic_key = '" << keys.public_key
            << "'\nsecret_key = '" << keys.secret_key << "'\n";
  return kExitSuccess;
}

int Run(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "--help") {
    std::cout << kUsage;
    return kExitSuccess;
  }
  if (command == "--version") {
    std::cout << "yuccastair " << YUCCASTAIR_VERSION << '\n';
    return kExitSuccess;
  }
  if (command == "keygen")
    return PrintCurveKeys();
  if (command == "ctl")
    return RunCtl(argc, argv);
  if (command == "node" || command == "relay" || command == "control" ||
      command == "check")
    return RunWithConfig(command, argc - 1, argv + 1);
  std::cerr << (command.empty() ? "" : "unknown command " + command + "\n")
            << kUsage;
  return kExitUsage;
}

}  // namespace
}  // namespace yuccastair

int main(int argc, char** argv) {
  try {
    return yuccastair::Run(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "yuccastair: " << error.what() << '\n';
    return yuccastair::kExitUsage;
  } catch (const yuccastair::support::Error& error) {
    std::cerr << "yuccastair: " << error.what() << '\n';
    return error.step() == "read settings" ? yuccastair::kExitUsage
                                           : yuccastair::kExitFailure;
  } catch (const std::exception& error) {
    std::cerr << "yuccastair: " << error.what() << '\n';
    return yuccastair::kExitFailure;
  }
}

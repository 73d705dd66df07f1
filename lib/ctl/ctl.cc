// Parses the command line and runs the command.

#include "yuccastair/ctl/ctl.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <optional>
#include <ostream>

#include "command.h"
#include "yuccastair/support/error.h"

namespace yuccastair::ctl {
namespace {

bool Takes(const Command& command, const Option& option) {
  return option.common ||
         std::find(command.options.begin(), command.options.end(),
                   option.name) != command.options.end();
}

void PrintOption(std::ostream& out, const Option& option) {
  std::string text = std::string("  --") + option.name;
  if (*option.value != '\0')
    text += std::string(" ") + option.value;
  text.resize(std::max<std::size_t>(text.size() + 2, 28), ' ');
  out << text << option.summary << '\n';
}

void PrintHelp(std::ostream& out) {
  out << "usage: yuccastair ctl --control ADDR[,ADDR...] COMMAND "
         "[OPTION...]\n\ncommands:\n";
  for (const Command& command : Commands()) {
    std::string text = "  " + command.name + " " + command.words;
    text.resize(std::max<std::size_t>(text.size() + 2, 34), ' ');
    out << text << command.summary << '\n';
  }
  out << "\noptions of every command:\n";
  for (const Option& option : Options()) {
    if (option.common)
      PrintOption(out, option);
  }
  out << "\n'yuccastair ctl COMMAND --help' shows the options of a command.\n"
         "exit codes: 0 success, 1 runtime failure, 2 usage error or invalid "
         "settings,\n3 rejected by the control processes\n";
}

void PrintHelp(std::ostream& out, const Command& command) {
  out << "usage: yuccastair ctl --control ADDR[,ADDR...] " << command.name
      << (command.words.empty() ? "" : " ") << command.words
      << " [OPTION...]\n\n"
      << command.summary << "\n\noptions:\n";
  for (const Option& option : Options()) {
    if (Takes(command, option))
      PrintOption(out, option);
  }
}

/// Finds the command that the first words name and removes those words.
const Command* TakeCommand(std::vector<std::string>& words) {
  for (const Command& command : Commands()) {
    const std::size_t count =
        command.name.find(' ') == std::string::npos ? 1 : 2;
    if (words.size() < count)
      continue;
    const std::string name = count == 1 ? words[0] : words[0] + " " + words[1];
    if (name != command.name)
      continue;
    words.erase(words.begin(),
                words.begin() + static_cast<std::ptrdiff_t>(count));
    return &command;
  }
  return nullptr;
}

Arguments Parse(const std::vector<std::string>& raw) {
  cxxopts::Options options("yuccastair ctl");
  auto add = options.add_options();
  for (const Option& option : Options()) {
    if (*option.value == '\0')
      add(option.name, option.summary);
    else
      add(option.name, option.summary, cxxopts::value<std::string>());
  }
  add("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  std::vector<const char*> pointers = {"ctl"};
  for (const std::string& argument : raw)
    pointers.push_back(argument.c_str());
  const cxxopts::ParseResult parsed =
      options.parse(static_cast<int>(pointers.size()), pointers.data());
  Arguments arguments;
  // Taken one by one, since as<vector>() would split words at commas.
  for (const auto& pair : parsed.arguments()) {
    if (pair.key() == "words")
      arguments.words.push_back(pair.value());
    else
      arguments.options[pair.key()] = pair.value();
  }
  return arguments;
}

std::vector<support::Address> ParseControls(const std::string& text) {
  std::vector<support::Address> controls;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    const std::string part = text.substr(begin, end - begin);
    const auto address = support::ParseAddress(part);
    if (!address)
      throw UsageError("--control: \"" + part + "\" is not ip:port");
    controls.push_back(*address);
    begin = end + 1;
  }
  return controls;
}

void Check(const Command& command, const Arguments& arguments) {
  if (arguments.words.size() < command.min_words ||
      arguments.words.size() > command.max_words)
    throw UsageError("usage: yuccastair ctl " + command.name + " " +
                     command.words);
  for (const Option& option : Options()) {
    if (arguments.Has(option.name) && !Takes(command, option))
      throw UsageError(command.name + " takes no option --" + option.name);
  }
}

int RunParsed(Arguments arguments, const Environment& environment) {
  if (arguments.words.empty()) {
    PrintHelp(arguments.Has("help") ? environment.out : environment.err);
    return arguments.Has("help") ? kSuccess : kUsage;
  }
  const std::string first = arguments.words[0];
  const Command* command = TakeCommand(arguments.words);
  if (!command)
    throw UsageError("unknown command \"" + first +
                     "\"; 'yuccastair ctl --help' lists the commands");
  if (arguments.Has("help")) {
    PrintHelp(environment.out, *command);
    return kSuccess;
  }
  Check(*command, arguments);
  const std::uint64_t timeout =
      ParseNumber(arguments.Get("timeout-ms", "5000"), "--timeout-ms");
  std::vector<support::Address> controls;
  // The reference is part of the program, and logs are files.
  if (command->run != RunReference && command->run != RunExplain &&
      command->run != RunTimeline && command->run != RunAttainable)
    controls = ParseControls(arguments.Get("control"));
  ControlClient client(std::move(controls), std::chrono::milliseconds(timeout));
  return command->run(Session(environment, arguments, client));
}

}  // namespace

int Run(const std::vector<std::string>& arguments,
        const Environment& environment) {
  try {
    return RunParsed(Parse(arguments), environment);
  } catch (const UsageError& error) {
    environment.err << error.what() << '\n';
    return kUsage;
  } catch (const cxxopts::exceptions::exception& error) {
    environment.err << error.what() << '\n';
    return kUsage;
  } catch (const support::Error& error) {
    environment.err << error.what() << '\n';
    return error.step() == "read settings" ? kUsage : kFailure;
  } catch (const std::exception& error) {
    environment.err << error.what() << '\n';
    return kFailure;
  }
}

}  // namespace yuccastair::ctl

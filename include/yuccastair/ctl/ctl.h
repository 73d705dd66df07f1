// The operators' command: yuccastair ctl.

#ifndef YUCCASTAIR_CTL_CTL_H_
#define YUCCASTAIR_CTL_CTL_H_

#include <cstddef>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace yuccastair::ctl {

/// What a command takes from its surroundings.
struct Environment {
  std::ostream& out;
  std::ostream& err;
  /// Returns the hexadecimal digits of that many random bytes.
  std::function<std::string(std::size_t)> random_hex;
  /// Stands in the history unless --author is given.
  std::string user;
};

enum ExitCode { kSuccess = 0, kFailure = 1, kUsage = 2, kRejected = 3 };

/// Runs one command and returns its exit code. \p arguments do not include the
/// words "yuccastair ctl".
int Run(const std::vector<std::string>& arguments,
        const Environment& environment);

}  // namespace yuccastair::ctl

#endif  // YUCCASTAIR_CTL_CTL_H_

// What the log does to the threads that write to it.

#include "yuccastair/support/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

namespace yuccastair::support {
namespace {

/// Replaces standard output by a pipe that holds little and is read on demand.
class OutputPipe {
 public:
  OutputPipe() : saved_(dup(STDOUT_FILENO)) {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    read_end_ = ends[0];
    fcntl(ends[1], F_SETPIPE_SZ, 4096);
    dup2(ends[1], STDOUT_FILENO);
    close(ends[1]);
  }
  ~OutputPipe() {
    Restore();
    close(read_end_);
  }
  OutputPipe(const OutputPipe&) = delete;
  OutputPipe& operator=(const OutputPipe&) = delete;

  /// Reads \p lines lines.
  std::string Read(int lines) {
    std::string text;
    while (lines > 0) {
      char byte = 0;
      if (read(read_end_, &byte, 1) != 1)
        break;
      text += byte;
      lines -= byte == '\n' ? 1 : 0;
    }
    return text;
  }

  /// Ends the log and reads what it still writes.
  std::string ReadRest() {
    std::string text;
    std::thread reader([&] {
      char byte = 0;
      while (read(read_end_, &byte, 1) == 1)
        text += byte;
    });
    ShutdownLog();
    Restore();
    reader.join();
    return text;
  }

 private:
  void Restore() {
    if (saved_ < 0)
      return;
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    saved_ = -1;
  }

  int saved_;
  int read_end_ = -1;
};

TEST_CASE("a line is a JSON object with the names of its process") {
  OutputPipe output;
  InitLog(LogLevel::kInfo, "test", "t1");
  LogDebug("left.out");
  LogInfo("a.b", {{"n", 1}, {"text", "x\"y"}});
  const auto line = nlohmann::json::parse(output.Read(1));
  ShutdownLog();
  CHECK(line["event"] == "a.b");
  CHECK(line["role"] == "test");
  CHECK(line["instance"] == "t1");
  CHECK(line["n"] == 1);
  CHECK(line["text"] == "x\"y");
}

// Guards against requests that wait for whoever reads the log: this test hangs
// if a writer waits.
TEST_CASE("nothing waits for a log that is not read") {
  OutputPipe output;
  InitLog(LogLevel::kInfo, "test", "t1");
  const int lines = 20000;
  for (int i = 0; i < lines; ++i)
    LogInfo("line", {{"number", i}});
  // The writer is busy with the first lines; the latest ones are still there.
  const std::string text = output.Read(10) + output.ReadRest();
  CHECK(text.find("\"number\":" + std::to_string(lines - 1)) !=
        std::string::npos);
  CHECK(text.find("\"number\":" + std::to_string(lines / 2)) ==
        std::string::npos);
}

}  // namespace
}  // namespace yuccastair::support

// A heartbeat of another writer, with fields missing, comes between those of a
// server. Then the server reports `draining`.

#include "../stand_in_2/server.hpp"

using namespace kit;

namespace {

constexpr int kDrainMs = 2000;
constexpr int kBeatMs = 1500;
constexpr int kServesMs = 8000;  // "at times many seconds"

}  // namespace

int main(int, char** argv) {
  const char* set = std::getenv("TROUBLE");
  const bool trouble = set == nullptr || std::string(set) != "0";
  Record record(argv[1]);
  Platform platform;
  for (const char* zone : {"mids-a", "mids-a", "mids-b", "mids-b", "mids-c"})
    platform.Add("control", zone);
  Machine& caller = platform.Add("relay", "mids-b", "lovo22d");
  Machine& kept = platform.Add("relay", "mids-b", "huvo11a");
  Machine& left = platform.Add("relay", "mids-b", "huvo11a");
  platform.StartAll();
  const int status = OperatorCall(
      platform.Of("control"), "POST", "/yuccastair/Config.Put",
      ConfigDocument(
          1, 0,
          {{"r-1", "hulo84.example", "/leny950/", "safe", 5000, "huvo11a"}}),
      10000);
  if (status != 200 || !AwaitReady(platform.Of("relay"), 10000)) {
    record.Line("the system did not start; config " + std::to_string(status));
    return 2;
  }
  AppServer stays(kept, "i-stays", "huvo11a", 20, record);
  AppServer leaves(left, "i-leaves", "huvo11a", 20, record);
  std::atomic<bool> done = false;
  std::atomic<bool> draining = false;
  std::atomic<std::int64_t> acknowledged = 0;
  std::vector<std::thread> threads;
  threads.emplace_back([&] {
    for (std::int64_t next = NowMs(); !done; next += kBeatMs) {
      while (!done && NowMs() < next)
        SleepMs(5);
      stays.SendBeat(stays.Beat("ready"));
    }
  });
  threads.emplace_back([&] {
    for (std::int64_t next = NowMs(); !done; next += kBeatMs) {
      while (!done && NowMs() < next)
        SleepMs(5);
      const bool drains = draining;
      const int answer =
          leaves.SendBeat(leaves.Beat(drains ? "draining" : "ready"));
      if (!drains)
        continue;
      record.Line("i-leaves reports draining: " + std::to_string(answer));
      if (acknowledged == 0 && answer == 200)
        acknowledged = NowMs();
    }
  });
  threads.emplace_back([&] {
    int sent = 0;
    while (!done) {
      Call(caller.ip, Platform::kOutbound, "GET", "/leny950/2f",
           {{"Host", "hulo84.example"},
            {"X-Attempt-Id", "c-" + std::to_string(++sent)},
            {"X-Deadline-Ms", "5000"}},
           "", 5000);
      SleepMs(10);
    }
    record.Line("requests sent " + std::to_string(sent));
  });
  SleepMs(6000);
  if (trouble) {
    // Neither zone nor version, coldLeftMs a text, and no `born`.
    const int answer = leaves.SendBeat(
        "{\"addr\":\"" + left.ip + ":" + std::to_string(Platform::kApp) +
        "\",\"info\":{\"service\":\"huvo11a\",\"slots\":149},\"status\":{"
        "\"state\":\"ready\",\"seq\":4000,\"coldLeftMs\":\"0\"}}");
    record.Line(
        "a heartbeat of another writer, fields missing and of another "
        "type: " +
        std::to_string(answer));
  }
  SleepMs(2000);
  draining = true;
  while (acknowledged == 0 && NowMs() < 25000)
    SleepMs(10);
  SleepMs(kServesMs);
  done = true;
  for (auto& thread : threads)
    thread.join();
  if (acknowledged == 0) {
    record.Line("draining was never acknowledged");
    return 2;
  }
  int late = 0;
  std::int64_t last = 0;
  for (const auto& run : leaves.runs()) {
    if (run.at_ms <= acknowledged + kDrainMs)
      continue;
    ++late;
    last = run.at_ms;
  }
  record.Line(
      "requests at i-leaves later than drainMs after the "
      "acknowledgement at " +
      std::to_string(acknowledged) + " ms: " + std::to_string(late) +
      ", the last at " + std::to_string(last) + " ms");
  record.Line(late > 0 ? "BROKEN: DRAIN" : "held");
  return late > 0 ? 1 : 0;
}

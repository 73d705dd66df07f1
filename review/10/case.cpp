// The servers of a zone that is evacuated turn cold, and the zone is taken
// back. Heartbeats need most of a second to arrive, so that the first one after
// the return was sent before its server turned cold.

#include "../stand_in_2/server.hpp"

using namespace kit;

namespace {

constexpr double kColdPerSecond = 33;
constexpr double kColdOvershoot = 1.5;
constexpr double kColdSlack = 5;
constexpr int kColdMs = 3000;
constexpr int kBeatMs = 1500;
constexpr int kBeatDelayMs = 850;  // acknowledged within a second
constexpr int kClients = 40;
// "crashes at a rate well above that": three times the bound of the rule.
constexpr std::size_t kCrashAbove = 163;

}  // namespace

int main(int, char** argv) {
  const char* set = std::getenv("TROUBLE");
  const bool trouble = set == nullptr || std::string(set) != "0";
  Record record(argv[1]);
  Platform platform;
  for (const char* zone : {"mids-a", "mids-a", "mids-b", "mids-b", "mids-c"})
    platform.Add("control", zone);
  Machine& caller = platform.Add("relay", "mids-a", "lovo22d");
  Machine& evacuated = platform.Add("relay", "mids-a", "huvo11a");
  Machine& other = platform.Add("relay", "mids-b", "huvo11a");
  platform.StartAll();
  const auto cores = platform.Of("control");
  const int status = OperatorCall(
      cores, "POST", "/yuccastair/Config.Put",
      ConfigDocument(
          1, 0,
          {{"r-1", "hulo84.example", "/leny950/", "unsafe", 5000, "huvo11a"}}),
      10000);
  if (status != 200 || !AwaitReady(platform.Of("relay"), 10000)) {
    record.Line("the system did not start; config " + std::to_string(status));
    return 2;
  }
  AppServer server(evacuated, "i-evacuated", "huvo11a", 100, record);
  AppServer spare(other, "i-other", "huvo11a", 100, record);
  std::atomic<bool> done = false;
  std::atomic<std::int64_t> cold_from = INT64_MAX / 2;
  std::atomic<std::int64_t> last_beat = 0;
  std::vector<std::thread> threads;
  threads.emplace_back([&] {
    for (std::int64_t next = NowMs(); !done; next += kBeatMs) {
      while (!done && NowMs() < next)
        SleepMs(5);
      spare.SendBeat(spare.Beat("ready"));
    }
  });
  threads.emplace_back([&] {
    for (std::int64_t next = NowMs(); !done; next += kBeatMs) {
      while (!done && NowMs() < next)
        SleepMs(5);
      const std::int64_t now = NowMs();
      const std::int64_t left =
          now < cold_from
              ? 0
              : std::max<std::int64_t>(0, cold_from + kColdMs - now);
      const std::string beat = server.Beat("ready", left);
      last_beat = now;
      if (trouble)
        SleepMs(kBeatDelayMs);
      if (server.crashed())
        break;
      const int answer = server.SendBeat(beat);
      if (now > cold_from - 2000)
        record.Line("heartbeat sent at " + std::to_string(now) +
                    " ms with coldLeftMs " + std::to_string(left) +
                    " arrives: " + std::to_string(answer));
    }
  });
  SleepMs(4000);
  std::mutex mutex;
  std::map<std::string, std::int64_t> sent_at;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> without_promise = 0;
  for (int client = 0; client < kClients; ++client) {
    threads.emplace_back([&, client] {
      for (int i = 0; !done; ++i) {
        const std::string id =
            "c-" + std::to_string(client) + "-" + std::to_string(i);
        ++sent;
        {
          std::lock_guard lock(mutex);
          sent_at[id] = NowMs();
        }
        const int got =
            Call(caller.ip, Platform::kOutbound, "POST", "/leny950/2f",
                 {{"Host", "hulo84.example"},
                  {"X-Attempt-Id", id},
                  {"X-Deadline-Ms", "5000"}},
                 "", 5000)
                .status();
        served += got == 200;
        without_promise += got == 0 || got == 502 || got == 504;
        SleepMs(20);
      }
    });
  }
  SleepMs(2000);
  int answer = OperatorCall(cores, "POST",
                            "/yuccastair/Evacuations.Start/mids-a", "", 4000);
  record.Line("evacuation of mids-a: " + std::to_string(answer));
  SleepMs(4000);
  // The server turns cold shortly after a heartbeat, shortly before the end.
  const std::int64_t before = last_beat;
  while (last_beat == before)
    SleepMs(5);
  SleepMs(100);
  cold_from = NowMs();
  server.CrashAbove(kCrashAbove, cold_from + kColdMs);
  record.Line("i-evacuated turns cold for " + std::to_string(kColdMs) + " ms");
  answer = OperatorCall(cores, "POST", "/yuccastair/Evacuations.End/mids-a", "",
                        4000);
  record.Line("evacuation taken back: " + std::to_string(answer));
  SleepMs(kColdMs + 500);
  done = true;
  for (auto& thread : threads)
    thread.join();
  const auto runs = server.runs();
  std::size_t worst = 0;
  std::int64_t worst_from = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const std::int64_t from = runs[i].at_ms;
    const std::int64_t to =
        std::min<std::int64_t>(from + 1000, cold_from + kColdMs);
    if (from < cold_from || from >= to)
      continue;
    // Counted are requests that were sent and arrived inside the second, which
    // begins with the sending of the one that arrives at `from`.
    const std::int64_t begin = sent_at[runs[i].id];
    const std::size_t count = static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [&](const auto& run) {
          return run.at_ms >= cold_from && run.at_ms < begin + 1000 &&
                 run.at_ms < to && sent_at[run.id] >= begin;
        }));
    if (count > worst) {
      worst = count;
      worst_from = begin;
    }
  }
  const double bound = kColdPerSecond * kColdOvershoot + kColdSlack;
  record.Line("requests sent " + std::to_string(sent) + ", answered 200 " +
              std::to_string(served) + ", 502, 504 or cut " +
              std::to_string(without_promise));
  if (server.crashed())
    record.Line("the cold server crashed; requests lost in it: " +
                std::to_string(server.lost()));
  record.Line("most requests in one second at the cold server: " +
              std::to_string(worst) + ", from " + std::to_string(worst_from) +
              " ms on; the bound is " + std::to_string(bound));
  const bool broken = static_cast<double>(worst) > bound;
  record.Line(broken ? "BROKEN: FAILBACK" : "held");
  return broken ? 1 : 0;
}

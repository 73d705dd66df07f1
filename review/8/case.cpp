// A relay is stopped while requests wait in its queue for a slot of the server.

#include "../stand_in_2/server.hpp"

using namespace kit;

namespace {

constexpr int kGraceMs = 6000;
constexpr int kLossSlackMs = 200;
constexpr int kTimeoutMs = 30000;
constexpr int kObjectiveMs = 28000;
constexpr int kWorkMs = 9000;
constexpr int kClients = 200;  // the server has 149 slots

struct Outcome {
  std::string id;
  std::int64_t sent_at = 0;
  std::int64_t ended_at = 0;
  int status = 0;
};

}  // namespace

int main(int, char** argv) {
  const char* set = std::getenv("TROUBLE");
  const bool trouble = set == nullptr || std::string(set) != "0";
  Record record(argv[1]);
  Platform platform;
  for (const char* zone : {"mids-a", "mids-a", "mids-b", "mids-b", "mids-c"})
    platform.Add("control", zone);
  Machine& machine = platform.Add("relay", "mids-b", "huvo11a");
  platform.StartAll();
  std::string document = ConfigDocument(1, 0,
                                        {{"r-1", "hulo84.example", "/leny950/",
                                          "unsafe", kTimeoutMs, "huvo11a"}});
  const std::string objective = "\"targetLatencyMs\":1500";
  document.replace(document.find(objective), objective.size(),
                   "\"targetLatencyMs\":" + std::to_string(kObjectiveMs));
  const int status = OperatorCall(platform.Of("control"), "POST",
                                  "/yuccastair/Config.Put", document, 10000);
  if (status != 200 || !AwaitReady(platform.Of("relay"), 10000)) {
    record.Line("the system did not start; config " + std::to_string(status));
    return 2;
  }
  AppServer server(machine, "i-server", "huvo11a", kWorkMs, record);
  std::atomic<bool> done = false;
  std::thread beats([&] {
    for (std::int64_t next = NowMs(); !done; next += 1500) {
      while (!done && NowMs() < next)
        SleepMs(5);
      server.SendBeat(server.Beat("ready"));
    }
  });
  SleepMs(4500);
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::atomic<std::int64_t> stopped_at = INT64_MAX / 2;
  std::vector<std::thread> clients;
  const std::int64_t begin = NowMs();
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      // All are sent before the signal.
      SleepMs(begin + 2 * i - NowMs());
      Outcome outcome;
      outcome.id = "c-" + std::to_string(i);
      outcome.sent_at = NowMs();
      outcome.status =
          Call(machine.ip, Platform::kOutbound, "POST", "/leny950/2f",
               {{"Host", "hulo84.example"},
                {"X-Attempt-Id", outcome.id},
                {"X-Deadline-Ms", std::to_string(kTimeoutMs)}},
               "order", kTimeoutMs)
              .status();
      outcome.ended_at = NowMs();
      std::lock_guard lock(mutex);
      outcomes.push_back(outcome);
    });
  }
  SleepMs(700);
  if (trouble) {
    machine.process->Signal(SIGTERM);
    stopped_at = NowMs();
    record.Line("the relay gets SIGTERM");
    while (machine.process->running() && NowMs() < stopped_at + kGraceMs)
      SleepMs(10);
    record.Line(machine.process->running() ? "the relay is killed"
                                           : "the relay has ended");
    machine.process->Kill();
  }
  for (auto& client : clients)
    client.join();
  done = true;
  beats.join();
  std::set<std::string> run;
  for (const auto& each : server.runs())
    run.insert(each.id);
  std::map<int, int> by_status;
  int cut_at_work = 0;
  int lost = 0;
  for (const auto& outcome : outcomes) {
    ++by_status[outcome.status];
    if (outcome.status != 0)
      continue;
    if (run.count(outcome.id) != 0) {
      ++cut_at_work;
      continue;
    }
    // Read by the relay, not passed on, and the connection ends without an
    // answer, long before the deadline.
    if (outcome.ended_at - outcome.sent_at > kLossSlackMs &&
        outcome.ended_at < outcome.sent_at + kTimeoutMs - 1000) {
      if (lost++ == 0)
        record.Line("request " + outcome.id + ", sent at " +
                    std::to_string(outcome.sent_at) +
                    " ms, never run: its connection ends at " +
                    std::to_string(outcome.ended_at) + " ms without an answer");
    }
  }
  for (const auto& [code, count] : by_status)
    record.Line("answers with status " + std::to_string(code) +
                " (0: none): " + std::to_string(count));
  record.Line("cut while the server was at work, not counted: " +
              std::to_string(cut_at_work));
  record.Line("read, never run and cut without an answer: " +
              std::to_string(lost));
  record.Line(lost > 0 ? "BROKEN: LOST" : "held");
  return lost > 0 ? 1 : 0;
}

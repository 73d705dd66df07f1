// A server deregisters. The relay beside it ends within 4 ms of its
// acknowledgement and is started again. A heartbeat that the server had sent
// before arrives late.

#include "../stand_in_2/server.hpp"

using namespace kit;

namespace {

constexpr int kDrainMs = 2000;
constexpr int kContactMs = 3000;
constexpr int kRestartMs = 500;
constexpr int kBeatDelayMs = 2000;  // "seconds late"
constexpr int kServesMs = 9000;     // "at times many seconds"
constexpr int kBeatMs = 1500;
constexpr int kLeaving = 4;

/// Sends heartbeats until it is told to stop.
class Beats {
 public:
  explicit Beats(AppServer& server)
      : server_(server), thread_([this] {
          while (!stopping_) {
            Send();
            for (int i = 0; i < kBeatMs / 10 && !stopping_; ++i)
              SleepMs(10);
          }
        }) {}
  ~Beats() { Stop(); }
  /// Afterwards no heartbeat is on its way.
  void Stop() {
    stopping_ = true;
    if (thread_.joinable())
      thread_.join();
  }

 private:
  void Send() { server_.SendBeat(server_.Beat("ready")); }

  AppServer& server_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

struct Departure {
  std::int64_t acknowledged_at = 0;
  std::int64_t started_at = 0;
};

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
  std::vector<Machine*> leaving;
  for (int i = 0; i < kLeaving; ++i)
    leaving.push_back(&platform.Add("relay", "mids-b", "huvo11a"));
  platform.StartAll();
  const auto cores = platform.Of("control");
  const int status = OperatorCall(
      cores, "POST", "/yuccastair/Config.Put",
      ConfigDocument(
          1, 0,
          {{"r-1", "hulo84.example", "/leny950/", "safe", 5000, "huvo11a"}}),
      10000);
  if (status != 200 || !AwaitReady(platform.Of("relay"), 10000)) {
    record.Line("the system did not start; config " + std::to_string(status));
    return 2;
  }
  record.Line("configuration 1 acknowledged; all relays are ready");
  AppServer stays(kept, "i-stays", "huvo11a", 20, record);
  Beats stays_beats(stays);
  std::vector<std::unique_ptr<AppServer>> servers;
  std::vector<std::unique_ptr<Beats>> beats;
  for (int i = 0; i < kLeaving; ++i) {
    servers.push_back(std::make_unique<AppServer>(
        *leaving[i], "i-leaves-" + std::to_string(i + 1), "huvo11a", 20,
        record));
    beats.push_back(std::make_unique<Beats>(*servers.back()));
  }
  SleepMs(2500);

  std::atomic<bool> done = false;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::thread client([&] {
    while (!done) {
      const std::string id = "c-" + std::to_string(++sent);
      served += Call(caller.ip, Platform::kOutbound, "GET", "/leny950/2f",
                     {{"Host", "hulo84.example"},
                      {"X-Attempt-Id", id},
                      {"X-Deadline-Ms", "5000"}},
                     "", 5000)
                    .status() == 200;
      SleepMs(10);
    }
  });
  // Calm from the start of the processes on for longer than contactMs.
  SleepMs(4000);

  Departure departures[kLeaving];
  std::thread leavers[kLeaving];
  for (int i = 0; i < kLeaving; ++i) {
    leavers[i] = std::thread([&, i] {
      SleepMs(470 * i);
      AppServer& server = *servers[i];
      Process& relay = *leaving[i]->process;
      beats[i]->Stop();
      const std::string late = server.Beat("ready");
      const std::int64_t beat_sent = NowMs();
      SleepMs(100);
      const int answer = server.Deregister();
      const auto answered = Clock::now();
      if (trouble)
        relay.Signal(SIGKILL);
      const auto microseconds =
          std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                                answered)
              .count();
      departures[i].acknowledged_at = NowMs();
      record.Line(server.id() + " deregisters: " + std::to_string(answer) +
                  (trouble ? "; its relay is killed " +
                                 std::to_string(microseconds) +
                                 " us after the answer was read"
                           : ""));
      if (trouble) {
        relay.Kill();
        SleepMs(kRestartMs);
        platform.Start(*leaving[i]);
        record.Line("the relay of " + server.id() + " is started again");
      }
      departures[i].started_at = NowMs();
      SleepMs(beat_sent + kBeatDelayMs - NowMs());
      record.Line("a heartbeat of " + server.id() + ", sent at " +
                  std::to_string(beat_sent) +
                  " ms, arrives: " + std::to_string(server.SendBeat(late)));
      SleepMs(departures[i].acknowledged_at + kServesMs - NowMs());
    });
  }
  for (auto& leaver : leavers)
    leaver.join();
  done = true;
  client.join();
  record.Line("requests sent " + std::to_string(sent) + ", answered 200 " +
              std::to_string(served));
  bool broken = false;
  for (int i = 0; i < kLeaving; ++i) {
    const Departure& departure = departures[i];
    int late = 0;
    int counted = 0;
    std::int64_t first_counted = 0;
    for (const auto& run : servers[i]->runs()) {
      if (run.at_ms <= departure.acknowledged_at + kDrainMs)
        continue;
      ++late;
      // The machine that sends it on is in touch again.
      if (run.at_ms <= departure.started_at + kContactMs + 200)
        continue;
      if (counted++ == 0)
        first_counted = run.at_ms;
    }
    record.Line(servers[i]->id() + ": " + std::to_string(late) +
                " requests later than drainMs after the acknowledgement, " +
                std::to_string(counted) +
                " of them sent by a machine in touch, the first at " +
                std::to_string(first_counted) + " ms");
    broken |= counted > 0;
  }
  record.Line(broken ? "BROKEN: DRAIN" : "held");
  return broken ? 1 : 0;
}

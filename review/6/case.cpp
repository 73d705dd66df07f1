// Hundreds of changes of a configuration that has grown by many routes. The
// platform ends a process that uses more memory than its machine has, and
// starts it again.

#include "../stand_in_2/kit.hpp"

using namespace kit;

namespace {

constexpr long kMemoryMb = 256;   // lychgate-mids, class core
constexpr int kGrowth = 3 * 410;  // lychgate-mids, big_config, three times
constexpr int kBaseRoutes = 15;   // 7 kinds of request and 8 idle routes
constexpr int kChanges = 900;     // "hundreds of changes"
constexpr int kPauseMs = 20;
constexpr int kContactMs = 3000;
constexpr int kRecoveryMs = 15000;

std::string Document(int version, int base, int routes, int timeout_ms) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (int i = 0; i < routes; ++i) {
    char route[512];
    std::snprintf(
        route, sizeof route,
        "%s{\"name\":\"r-%07x\",\"host\":\"hulo%02d.example\",\"pathPrefix\":"
        "\"/leny%03d/vo%02d/\",\"kind\":\"%s\",\"timeoutMs\":%d,"
        "\"targetLatencyMs\":1500,\"priority\":%d,\"service\":\"%s\","
        "\"attempts\":2,\"public\":false}",
        i > 0 ? "," : "", 7919 * (i + 1), i % 97, i, i % 89,
        i % 2 != 0 ? "safe" : "unsafe", i == 0 ? timeout_ms : 5000, i % 3,
        i % 2 != 0 ? "huvo11a" : "lovo22d");
    text += route;
  }
  text += "],\"services\":[";
  for (const char* name : {"huvo11a", "lovo22d"})
    text += std::string(text.back() == '[' ? "" : ",") + "{\"name\":\"" + name +
            "\",\"healthPath\":\"/healthz\",\"maxConns\":994,\"protocol\":"
            "\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":33.0}";
  text +=
      "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[";
  for (int i = 0; i < 8; ++i) {
    char tenant[256];
    std::snprintf(tenant, sizeof tenant,
                  "%s{\"name\":\"pulo78%d\",\"apiKeys\":"
                  "[\"6wsjnbanfqasnmgkcu%02d\",\"8pjbvk9m68k7b2ex5w%02d\"],"
                  "\"priority\":1,\"ratePerS\":77,\"burst\":77}",
                  i > 0 ? "," : "", i, i, i);
    text += tenant;
  }
  return text + "],\"baseVersion\":" + std::to_string(base) + "}";
}

/// Ends processes over the limit and starts again what has ended.
class MemoryLimit {
 public:
  MemoryLimit(Platform& platform, Record& record)
      : platform_(platform), record_(record), cores_(platform.Of("control")) {
    for (Machine* core : cores_)
      ends_[core->name] = 0;
    thread_ = std::thread([this] { Run(); });
  }
  ~MemoryLimit() {
    stopping_ = true;
    thread_.join();
  }
  std::map<std::string, int> ends() {
    std::lock_guard lock(mutex_);
    return ends_;
  }
  long peak_mb() const { return peak_kb_ / 1024; }

 private:
  void Run() {
    std::map<std::string, std::int64_t> start_at;
    while (!stopping_) {
      for (Machine* core : cores_) {
        if (!core->process->running()) {
          if (start_at.count(core->name) == 0) {
            record_.Line(core->name + " has ended by itself");
            Count(*core);
            start_at[core->name] = NowMs() + 500;
          } else if (NowMs() >= start_at[core->name]) {
            start_at.erase(core->name);
            platform_.Start(*core);
            record_.Line(core->name + " started again");
          }
          continue;
        }
        const long kb = core->process->AnonymousKb();
        peak_kb_ = std::max(peak_kb_.load(), kb);
        if (kb <= kMemoryMb * 1024)
          continue;
        core->process->Kill();
        record_.Line(core->name + " uses " + std::to_string(kb / 1024) +
                     " MB of " + std::to_string(kMemoryMb) +
                     " MB: the platform kills it");
        Count(*core);
        start_at[core->name] = NowMs() + 500;
      }
      SleepMs(5);
    }
  }
  void Count(const Machine& core) {
    std::lock_guard lock(mutex_);
    ++ends_[core.name];
  }

  Platform& platform_;
  Record& record_;
  const std::vector<Machine*> cores_;
  std::mutex mutex_;
  std::map<std::string, int> ends_;
  std::atomic<long> peak_kb_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace

int main(int, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  const int growth =
      trouble != nullptr && std::string(trouble) == "0" ? 0 : kGrowth;
  Record record(argv[1]);
  Platform platform;
  for (const char* zone : {"mids-a", "mids-a", "mids-b", "mids-b", "mids-c"})
    platform.Add("control", zone);
  platform.StartAll();
  const auto cores = platform.Of("control");
  std::size_t next = 0;
  int acknowledged = 0;
  int missing = 0;
  bool broken = false;
  {
    MemoryLimit limit(platform, record);
    for (int version = 1; version <= kChanges && NowMs() < 75000; ++version) {
      const int routes = kBaseRoutes + (version > 1 ? growth : 0);
      const std::string body =
          Document(version, version - 1, routes, 4000 + version);
      if (version <= 2)
        record.Line("the configuration has " + std::to_string(routes) +
                    " routes, " + std::to_string(body.size()) + " bytes");
      const std::int64_t sent = NowMs();
      int status = 0;
      // The operator sends the same again, to another node, until it has an
      // answer.
      while (status != 200 && NowMs() < sent + 10000) {
        status = Call(cores[next % cores.size()]->ip, Platform::kControl,
                      "POST", "/yuccastair/Config.Put",
                      {{"Content-Type", "application/json"}}, body, 1500)
                     .status();
        if (status != 200) {
          ++next;
          SleepMs(50);
        }
      }
      if (status != 200) {
        record.Line("version " + std::to_string(version) +
                    " has no acknowledgement after 10 s; last status " +
                    std::to_string(status));
        ++missing;
        break;
      }
      acknowledged = version;
      if (version == 1 || version % 50 == 0)
        record.Line("version " + std::to_string(version) +
                    " acknowledged; most memory of a process so far " +
                    std::to_string(limit.peak_mb()) + " MB");
      SleepMs(kPauseMs);
    }
    if (acknowledged < 2) {
      record.Line("no configuration was acknowledged: the case could not run");
      return 2;
    }
    record.Line("newest acknowledged version " + std::to_string(acknowledged) +
                "; the operator reads it back");
    // Longer than contactMs, and recoveryS beyond the last change.
    std::int64_t until = NowMs() + kRecoveryMs + kContactMs;
    int read = 0;
    while (NowMs() < until && read < acknowledged) {
      const Message got =
          Call(cores[next++ % cores.size()]->ip, Platform::kControl, "GET",
               "/yuccastair/Config.Get", {}, "", 1000);
      if (got.status() == 200)
        read = std::max(read, std::atoi(got.body.c_str() + 11));
      else
        SleepMs(100);
    }
    record.Line(read == 0 ? "no read was answered for 18 s"
                          : "read back: version " + std::to_string(read));
    broken = read < acknowledged;
    int over_three = 0;
    for (const auto& [name, count] : limit.ends()) {
      record.Line(name + " ended " + std::to_string(count) + " times");
      over_three += count >= 3 ? 1 : 0;
    }
    if (missing != 0 && limit.peak_mb() < kMemoryMb / 2) {
      record.Line(
          "the memory limit was never near: the disks of this machine "
          "are too slow, and the case could not run");
      return 2;
    }
    record.Line("most memory of a process " + std::to_string(limit.peak_mb()) +
                " MB; missing acknowledgements " + std::to_string(missing) +
                "; processes that ended three times or more " +
                std::to_string(over_three));
  }
  record.Line(broken ? "BROKEN: the acknowledged configuration does not come"
                     : "held");
  return broken ? 1 : 0;
}

// A small deployment on loopback addresses: the system's own processes with the
// commands of the deploy file, and stand-ins for servers and the operator.

#ifndef YUCCASTAIR_REVIEW_STAND_IN_FLEET_HPP_
#define YUCCASTAIR_REVIEW_STAND_IN_FLEET_HPP_

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

#include "net.hpp"

namespace review {

using nlohmann::json;

/// The bounds of the two small sites of the pages.
constexpr Ms kContact{3000};
constexpr Ms kDrain{2000};
constexpr Ms kConfig{2000};
constexpr int kGraceS = 6;
constexpr Ms kEvacuationDeadline{5000};
constexpr Ms kMaxStretch{5000};
constexpr Ms kHeartbeat{1500};
/// An operator turns to another node after a second without an answer.
constexpr Ms kOperatorPatience{1000};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// What a case is started with: `case PROGRAM RECORD FOLDER`, from the root of
/// the repository.
struct Setup {
  Setup(int argc, char** argv)
      : program(argc > 3 ? argv[1] : ""),
        folder(argc > 3 ? argv[3] : ""),
        record(argc > 3 ? argv[2] : "/dev/null") {
    if (argc < 4) {
      fprintf(stderr, "usage: case PROGRAM RECORD FOLDER\n");
      exit(kNotRun);
    }
    const char* const text = getenv("TROUBLE");
    trouble = text == nullptr || std::string(text) != "0";
    signal(SIGPIPE, SIG_IGN);
    const std::int64_t now =
        std::chrono::system_clock::now().time_since_epoch().count() / 1000;
    net = "127." + std::to_string(20 + getpid() % 200) + "." +
          std::to_string(1 + now % 250) + ".";
    record.Add(std::string("trouble: ") + (trouble ? "yes" : "no"));
  }

  [[noreturn]] void CannotRun(const std::string& reason) {
    record.Add("cannot run: " + reason);
    fprintf(stderr, "cannot run: %s\n", reason.c_str());
    std::quick_exit(kNotRun);
  }

  std::string program;
  std::string folder;
  Record record;
  bool trouble = true;
  /// All machines have an address in this net of their own.
  std::string net;
};

// Ports are the same on all machines.
constexpr int kControlPort = 18540;
constexpr int kInboundPort = 18543;
constexpr int kReadyPort = 18546;
constexpr int kAppPort = 18547;
constexpr int kOutboundPort = 18548;
constexpr int kFirstPort = 18600;

/// Fills in a template of the deploy file as the platform does.
inline std::string FillTemplate(
    const std::string& path,
    const std::map<std::string, std::string>& values) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  std::string filled = text.str();
  for (const auto& [name, value] : values) {
    const std::string mark = "{{" + name + "}}";
    for (std::size_t at = filled.find(mark); at != std::string::npos;
         at = filled.find(mark, at + value.size()))
      filled.replace(at, mark.size(), value);
  }
  return filled;
}

class Machine {
 public:
  Machine(Setup& setup, std::string name, std::string zone, int number)
      : setup_(setup),
        name_(std::move(name)),
        zone_(std::move(zone)),
        ip_(setup.net + std::to_string(number)) {}

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  Address At(int port) const { return {ip_, port}; }
  Process& process() { return *process_; }

  void StartRelay(const std::string& service, const json& seeds) {
    auto values = CommonValues(seeds);
    values["service"] = service;
    values["appAddr"] = At(kAppPort).Text();
    values["listen.outbound"] = At(kOutboundPort).Text();
    values["listen.inbound"] = At(kInboundPort).Text();
    values["listen.ready"] = At(kReadyPort).Text();
    values["bounds.graceS"] = std::to_string(kGraceS);
    values["bounds.drainMs"] = std::to_string(kDrain.count());
    Start("relay", values);
  }

  void StartControl(const json& seeds) {
    auto values = CommonValues(seeds);
    values["dataDir"] = setup_.folder + "/" + name_;
    values["bootstrap|json"] = "true";
    Start("control", values);
  }

  /// Kills the process and starts it again after \p down.
  void Restart(Ms down) {
    process_->Signal(SIGKILL);
    process_->Wait();
    setup_.record.Add(name_ + ": killed");
    Sleep(down);
    process_->Start();
    setup_.record.Add(name_ + ": started");
  }

 private:
  std::map<std::string, std::string> CommonValues(const json& seeds) const {
    return {{"node", name_},
            {"zone", zone_},
            {"ip", ip_},
            {"listen.control", At(kControlPort).Text()},
            {"portRange.0", std::to_string(kFirstPort)},
            {"portRange.1", std::to_string(kFirstPort + 15)},
            {"seeds|json", seeds.dump()}};
  }

  void Start(const std::string& role,
             const std::map<std::string, std::string>& values) {
    const std::string path = setup_.folder + "/" + name_ + ".toml";
    std::ofstream(path) << FillTemplate("deploy/" + role + ".toml", values);
    process_ = std::make_unique<Process>(
        std::vector<std::string>{setup_.program, role, "--config", path},
        path + ".log");
  }

  Setup& setup_;
  const std::string name_;
  const std::string zone_;
  const std::string ip_;
  std::unique_ptr<Process> process_;
};

/// A request that a server has begun to work on, or refused.
struct Arrival {
  std::int64_t at = 0;
  std::string id;
  std::string path;
  std::string tenant;
  /// False if the server rejected it (421).
  bool run = true;
};

/// A server beside a relay.
class AppServer {
 public:
  /// Answers a request that runs; returns whether the connection is kept.
  using Work =
      std::function<bool(AppServer& server, const Message& request, int fd)>;

  AppServer(Setup& setup,
            Machine& machine,
            std::string service,
            std::string id,
            Work work = Serve)
      : setup_(setup),
        machine_(machine),
        service_(std::move(service)),
        id_(std::move(id)),
        work_(std::move(work)),
        http_(machine.At(kAppPort), [this](const Message& request, int fd) {
          return Handle(request, fd);
        }) {}
  ~AppServer() {
    StopBeating();
    http_.Stop();
  }

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }

  /// Starts a new incarnation, which sends heartbeats at once.
  void Start(bool beat = true) {
    {
      const std::lock_guard lock(mutex_);
      sequence_ = 0;
      state_ = "ready";
      born_ = std::chrono::duration_cast<Ms>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    }
    if (!http_.Start())
      setup_.CannotRun("no port for server " + id_);
    if (beat)
      StartBeating();
    setup_.record.Add("server " + id_ + " of " + service_ + ": starts");
  }
  void Crash() {
    StopBeating();
    http_.Stop();
    setup_.record.Add("server " + id_ + " of " + service_ + ": ends");
  }

  void StartBeating() {
    beating_ = true;
    beater_ = std::thread([this] {
      while (beating_) {
        Beat(NextBeat());
        for (Ms slept{0}; beating_ && slept < kHeartbeat; slept += Ms(20))
          Sleep(Ms(20));
      }
    });
  }
  void StopBeating() {
    beating_ = false;
    if (beater_.joinable())
      beater_.join();
  }

  /// The body of the next heartbeat.
  std::string NextBeat() {
    const std::lock_guard lock(mutex_);
    return json{{"addr", machine_.At(kAppPort).Text()},
                {"born", born_},
                {"info",
                 {{"service", service_},
                  {"version", "v1"},
                  {"zone", machine_.zone()},
                  {"slots", 64}}},
                {"status",
                 {{"state", state_}, {"seq", ++sequence_}, {"coldLeftMs", 0}}}}
        .dump();
  }
  int Beat(const std::string& body) {
    return Ask(machine_.At(kControlPort), "POST",
               "/yuccastair/Instances.Heartbeat/" + id_, JsonHeaders(), body,
               Ms(1000))
        .status;
  }
  int Deregister() {
    json body = {{"born", born_}};
    return Ask(machine_.At(kControlPort), "POST",
               "/yuccastair/Instances.Deregister/" + id_, JsonHeaders(),
               body.dump(), Ms(1000))
        .status;
  }

  std::vector<Arrival> arrivals() const {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  bool stopping() const { return http_.stopping(); }

  static std::string Head(const Message& request, int status) {
    return "HTTP/1.1 " + std::to_string(status) +
           " OK\r\nX-Attempt-Id: " + request.Header("x-attempt-id") +
           "\r\nX-Server-Seal: seal\r\n";
  }
  static bool Serve(AppServer& server, const Message& request, int fd) {
    Sleep(Ms(2));
    const std::string body = server.service() + " " + server.id();
    return SendAll(fd,
                   Head(request, 200) + "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body,
                   SteadyClock::now() + std::chrono::seconds(5));
  }

 private:
  static Headers JsonHeaders() {
    return {{"Host", "control"}, {"Content-Type", "application/json"}};
  }

  bool Handle(const Message& request, int fd) {
    const auto until = SteadyClock::now() + std::chrono::seconds(5);
    if (request.path == "/healthz")
      return SendAll(fd,
                     "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_ +
                         "\r\nContent-Length: 0\r\n\r\n",
                     until);
    const std::string expected = request.Header("x-expect-instance");
    Arrival arrival{setup_.record.Now(), request.Header("x-attempt-id"),
                    request.path, request.Header("x-tenant"),
                    expected.empty() || expected == id_};
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back(arrival);
    }
    setup_.record.Add("server " + id_ + " of " + service_ +
                      (arrival.run ? ": runs " : ": rejects ") + arrival.id +
                      " " + request.path);
    if (!arrival.run)
      return SendAll(
          fd,
          "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + arrival.id +
              "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
          until);
    return work_(*this, request, fd);
  }

  Setup& setup_;
  Machine& machine_;
  const std::string service_;
  const std::string id_;
  const Work work_;
  HttpServer http_;
  mutable std::mutex mutex_;
  std::int64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  std::string state_ = "ready";
  std::vector<Arrival> arrivals_;
  std::atomic<bool> beating_ = false;
  std::thread beater_;
};

inline json MakeRoute(const std::string& name,
                      const std::string& kind,
                      const std::string& service) {
  return {{"name", name},
          {"host", "app.example"},
          {"pathPrefix", "/" + name + "/"},
          {"kind", kind},
          {"timeoutMs", 5000},
          {"targetLatencyMs", 1500},
          {"priority", 0},
          {"service", service},
          {"attempts", 2},
          {"public", false}};
}

inline json MakeService(const std::string& name) {
  return {{"name", name},    {"healthPath", "/healthz"},
          {"maxConns", 512}, {"protocol", "h1"},
          {"tls", false},    {"coldStartS", 3.0},
          {"coldPerS", 33.0}};
}

inline json MakeConfiguration(int version,
                              int base,
                              const json& routes,
                              const json& services) {
  return {{"version", version},
          {"baseVersion", base},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", json::array()}};
}

/// Three control processes, some relays and the operator.
class Fleet {
 public:
  static constexpr int kControls = 3;

  explicit Fleet(Setup& setup) : setup_(setup) {
    json seeds = json::array();
    for (int i = 0; i < kControls; ++i) {
      controls_.push_back(std::make_unique<Machine>(
          setup, "core-" + std::to_string(i), ZoneOf(i), 100 + i));
      seeds.push_back(controls_.back()->At(kControlPort).Text());
    }
    seeds_ = seeds;
    for (auto& control : controls_) {
      CheckPorts(*control);
      control->StartControl(seeds);
    }
  }

  static std::string ZoneOf(int number) {
    return std::string("zone-") + static_cast<char>('a' + number % 3);
  }

  /// Adds a machine in the zone of the given number, or each in the next zone.
  Machine& AddSidecar(const std::string& service, int zone = -1) {
    const int number = static_cast<int>(sidecars_.size());
    sidecars_.push_back(std::make_unique<Machine>(
        setup_, "sidecar-" + std::to_string(number),
        ZoneOf(zone < 0 ? number : zone), 10 + number));
    CheckPorts(*sidecars_.back());
    sidecars_.back()->StartRelay(service, seeds_);
    return *sidecars_.back();
  }

  Machine& control(int number) {
    return *controls_[static_cast<std::size_t>(number)];
  }
  Machine& sidecar(int number) {
    return *sidecars_[static_cast<std::size_t>(number)];
  }

  /// Sends an order of the operator as the pages say: to one node after the
  /// other, from \p first on, until it has a clear answer.
  int Order(const std::string& method,
            const std::string& path,
            const std::string& body,
            int first = 0,
            Ms limit = Ms(10000)) {
    const auto end = SteadyClock::now() + limit;
    for (int i = first; SteadyClock::now() < end; ++i) {
      Machine& node = control(i % kControls);
      setup_.record.Add("operator: " + path + " to " + node.name());
      const Exchange exchange =
          Ask(node.At(kControlPort), method, path,
              {{"Host", "control"}, {"Content-Type", "application/json"}}, body,
              kOperatorPatience);
      const int status = exchange.whole ? exchange.status : 0;
      setup_.record.Add("operator: " + path + " answered " +
                        std::to_string(status));
      if (status != 0 && status < 500 && status != 408 && status != 429)
        return status;
      Sleep(Ms(100));
    }
    return 0;
  }

  int Put(const json& configuration, int first = 0) {
    return Order("POST", "/yuccastair/Config.Put", configuration.dump(), first);
  }

  /// Returns the control process that was elected last.
  int Leader() {
    int leader = 0;
    std::uint64_t newest = 0;
    for (int i = 0; i < kControls; ++i) {
      const std::string log = control(i).process().Log();
      const std::string mark = "\"event\":\"log.leader_elected\"";
      const std::size_t at = log.rfind(mark);
      if (at == std::string::npos)
        continue;
      const std::size_t term = log.find("\"term\":", at);
      const std::uint64_t number =
          term == std::string::npos ? 1 : strtoull(&log[term + 7], nullptr, 10);
      if (number >= newest) {
        newest = number;
        leader = i;
      }
    }
    return leader;
  }

  /// Waits until each relay says that it is ready.
  void AwaitReady() {
    const auto end = SteadyClock::now() + std::chrono::seconds(20);
    for (auto& sidecar : sidecars_) {
      while (!IsReady(*sidecar)) {
        if (SteadyClock::now() > end)
          setup_.CannotRun(sidecar->name() + " is not ready");
        Sleep(Ms(50));
      }
    }
  }
  static bool IsReady(Machine& sidecar) {
    return Ask(sidecar.At(kReadyPort), "GET", "/yuccastair/ready",
               {{"Host", "ready"}}, "", Ms(500))
               .status == 200;
  }

  /// Sends one request of a client on the machine of \p sidecar.
  Exchange Request(Machine& sidecar,
                   const std::string& method,
                   const std::string& path,
                   const std::string& id,
                   Ms deadline,
                   const std::string& body = "",
                   std::size_t piece = 65536,
                   Ms pause = Ms(0)) {
    const Headers headers = {
        {"Host", "app.example"},
        {"X-Attempt-Id", id},
        {"X-Deadline-Ms", std::to_string(deadline.count())}};
    setup_.record.Add("client of " + sidecar.name() + ": sends " + id + " " +
                      path);
    Exchange exchange = Ask(sidecar.At(kOutboundPort), method, path, headers,
                            body, deadline + Ms(500), piece, pause);
    setup_.record.Add("client of " + sidecar.name() + ": " + id + " answered " +
                      std::to_string(exchange.status) +
                      (exchange.whole ? "" : ", not whole"));
    return exchange;
  }

  /// Waits until a request on \p path that begins at \p sidecar is served by
  /// \p server.
  void AwaitService(Machine& sidecar,
                    const std::string& path,
                    const AppServer& server) {
    const auto end = SteadyClock::now() + std::chrono::seconds(20);
    for (int i = 0; SteadyClock::now() < end; ++i) {
      const std::string id =
          sidecar.name() + "-" + server.id() + "-probe-" + std::to_string(i);
      const Exchange exchange = Request(sidecar, "GET", path, id, Ms(1000));
      const std::string wanted = server.service() + " " + server.id();
      if (exchange.status == 200 && exchange.answer.body == wanted)
        return;
      Sleep(Ms(20));
    }
    setup_.CannotRun("server " + server.id() + " is not used");
  }

 private:
  void CheckPorts(const Machine& machine) {
    for (const int port : {kControlPort, kInboundPort, kReadyPort, kAppPort,
                           kOutboundPort, kFirstPort, kFirstPort + 15}) {
      const int fd = Listen(machine.At(port));
      if (fd < 0)
        setup_.CannotRun("port " + machine.At(port).Text() + " is in use");
      close(fd);
    }
  }

  Setup& setup_;
  json seeds_;
  std::vector<std::unique_ptr<Machine>> controls_;
  std::vector<std::unique_ptr<Machine>> sidecars_;
};

/// Clients that send a request on \p path every \p pause, in turn at each of
/// \p machines, until Stop().
class Clients {
 public:
  Clients(Fleet& fleet,
          std::vector<Machine*> machines,
          std::string path,
          std::string name,
          Ms pause)
      : thread_([this,
                 &fleet,
                 machines = std::move(machines),
                 path = std::move(path),
                 name = std::move(name),
                 pause] {
          for (int i = 0; !stopping_; ++i) {
            Machine& machine =
                *machines[static_cast<std::size_t>(i) % machines.size()];
            fleet.Request(machine, "GET", path, name + std::to_string(i),
                          Ms(3000));
            Sleep(pause);
          }
        }) {}
  ~Clients() { Stop(); }
  void Stop() {
    stopping_ = true;
    if (thread_.joinable())
      thread_.join();
  }

 private:
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

/// Ends the case: all processes end, then the record is complete.
inline int Finish(Setup& setup, bool broken, const std::string& reason) {
  setup.record.Add((broken ? "broken: " : "held: ") + reason);
  printf("%s: %s\n", broken ? "broken" : "held", reason.c_str());
  return broken ? kBroken : kHeld;
}

}  // namespace review

#endif  // YUCCASTAIR_REVIEW_STAND_IN_FLEET_HPP_

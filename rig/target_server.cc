// Requests, nested calls, announcements and the admin port of a target.

#include "target_server.h"

#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

#include "yuccastair/support/id.h"

namespace yuccastair::rig {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kNestedTimeout{5000};
constexpr milliseconds kAnnounceTimeout{1000};
constexpr milliseconds kAnnounceInterval{500};
constexpr milliseconds kLoadInterval{20};
constexpr milliseconds kLoadHistory{20000};
// Longer than the 3 s in which every node knows that a target leaves.
constexpr milliseconds kLeaveNotice{3500};
constexpr int kCrashExitCode = 70;

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  const auto found =
      request.find(boost::beast::string_view(name.data(), name.size()));
  return found == request.end() ? "" : std::string(found->value());
}

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response;
  response.result(static_cast<unsigned>(status));
  response.body() = std::move(body);
  return response;
}

bool HasSecret(const std::string& value) {
  std::size_t digits = 0;
  for (const char next : value) {
    digits =
        std::isxdigit(static_cast<unsigned char>(next)) != 0 ? digits + 1 : 0;
    if (digits >= kSecretDigits)
      return true;
  }
  return false;
}

/// Returns the services still to be called, from the query "chain=a,b!".
std::string ChainOf(const std::string& path) {
  const std::size_t at = path.find("chain=");
  return at == std::string::npos ? "" : path.substr(at + 6);
}

/// The request for the first service of a chain; "!" after its name makes it a
/// POST, with a side effect.
HttpRequest NestedRequest(const HttpRequest& outer, const std::string& chain) {
  const std::size_t comma = chain.find(',');
  std::string service = chain.substr(0, comma);
  HttpRequest request;
  request.method(http::verb::get);
  if (!service.empty() && service.back() == '!') {
    service.pop_back();
    request.method(http::verb::post);
  }
  std::string path = "/" + service + "/nested";
  if (comma != std::string::npos)
    path += "?chain=" + chain.substr(comma + 1);
  request.target(path);
  const std::string mark = HeaderOf(outer, kMarkHeader);
  request.set("x-yuccastair-call", HeaderOf(outer, "x-yuccastair-call"));
  request.set("x-rig-mark", mark);
  if (request.method() == http::verb::post) {
    request.set("Idempotency-Key", mark + "-" + service);
    request.body() = "nested " + mark;
  }
  return request;
}

}  // namespace

struct TargetServer::Work {
  std::shared_ptr<ServerExchange> exchange;
  std::unique_ptr<boost::asio::steady_timer> timer;
  Clock::time_point deadline;
  CallCancel cancel_call;
  int resends_left = 0;
  bool ended = false;
};

TargetServer::TargetServer(boost::asio::io_context& io, TargetOptions options)
    : io_(io),
      options_(std::move(options)),
      model_(options_.model),
      node_client_(io, options_.max_connections),
      server_(io,
              options_.listen,
              [this](const auto& exchange) { Handle(exchange); }),
      admin_(io,
             options_.admin,
             [this](const auto& exchange) { Admin(exchange); }),
      announce_timer_(io),
      load_timer_(io),
      incarnation_(support::RandomId()) {
  if (options_.announces)
    Announce();
  ObserveLoad();
}

void TargetServer::Handle(const std::shared_ptr<ServerExchange>& exchange) {
  if (exchange->connection() <= silent_up_to_) {
    exchange->GoSilent();
    return;
  }
  const HttpRequest& request = exchange->request();
  const std::string path(request.target());
  if (path == "/health") {
    exchange->Respond(TextResponse(200, "ok"));
    return;
  }
  if (path == "/load") {
    exchange->Respond(TextResponse(200, ReportedLoad().dump()));
    return;
  }
  ++received_;
  Count(request);
  if (shed_all_ ||
      (options_.shed_at > 0 && model_.running() >= options_.shed_at)) {
    ++shed_;
    exchange->Respond(TextResponse(503, "shed"));
    return;
  }
  if (request.body().find(kCrashMark) != std::string::npos)
    _exit(kCrashExitCode);
  StartWork(exchange);
}

void TargetServer::Count(const HttpRequest& request) {
  for (const auto& field : request) {
    if (HasSecret(std::string(field.value())))
      ++keys_seen_;
  }
  const std::string attempt = HeaderOf(request, kAttemptHeader);
  if (!attempt.empty())
    attempts_.insert(attempt);
  const std::string mark = HeaderOf(request, kMarkHeader);
  ++organisations_[mark.substr(0, mark.rfind('-'))]
                  [HeaderOf(request, "x-yuccastair-organisation")];
}

void TargetServer::StartWork(const std::shared_ptr<ServerExchange>& exchange) {
  auto work = std::make_shared<Work>();
  work->exchange = exchange;
  work->resends_left = options_.resends;
  const auto now = Clock::now();
  const std::string limit =
      HeaderOf(exchange->request(), "x-yuccastair-deadline-ms");
  int limit_ms = 0;
  std::from_chars(limit.data(), limit.data() + limit.size(), limit_ms);
  work->deadline =
      now + (limit_ms > 0 ? milliseconds(limit_ms) : kNestedTimeout);
  // The side effect happens as soon as the work starts, so that a request that
  // is broken off has already had it.
  if (exchange->request().method() == http::verb::post)
    ++effects_[HeaderOf(exchange->request(), kMarkHeader)];
  const auto duration = model_.Begin(now);
  work->timer = std::make_unique<boost::asio::steady_timer>(io_);
  work->timer->expires_at(std::min(now + duration, work->deadline));
  work->timer->async_wait([this, work](const auto& error) {
    if (!error && !work->ended)
      Worked(work);
  });
  exchange->OnGone([this, work] {
    ++cancelled_;
    if (work->cancel_call)
      work->cancel_call();
    End(work);
  });
}

void TargetServer::Worked(const std::shared_ptr<Work>& work) {
  if (Clock::now() >= work->deadline) {
    Finish(work, 504);
    return;
  }
  CallNext(work);
}

// A nested call keeps the slot, as the thread of a real server would.
void TargetServer::CallNext(const std::shared_ptr<Work>& work) {
  const HttpRequest& request = work->exchange->request();
  const std::string chain = ChainOf(std::string(request.target()));
  if (chain.empty()) {
    Finish(work, 200);
    return;
  }
  const auto left =
      std::chrono::duration_cast<milliseconds>(work->deadline - Clock::now());
  work->cancel_call = node_client_.Call(
      ToEndpoint(options_.node), NestedRequest(request, chain), left,
      [this, work](const CallResult& result) {
        if (work->ended)
          return;
        const bool good = result.error == CallError::kNone &&
                          result.response.result_int() == 200;
        if (good)
          Finish(work, 200);
        else if (work->resends_left-- > 0)
          CallNext(work);
        else
          Finish(work, 502);
      });
}

void TargetServer::Finish(const std::shared_ptr<Work>& work, int status) {
  const std::string mark = HeaderOf(work->exchange->request(), kMarkHeader);
  // The body is long enough for a cut to show and ends with the mark.
  HttpResponse response = TextResponse(
      status, options_.service + " " + std::string(200, '.') + " " + mark);
  response.set("x-rig-mark", mark);
  completed_ += status == 200 ? 1 : 0;
  End(work);
  work->exchange->Respond(std::move(response));
}

void TargetServer::End(const std::shared_ptr<Work>& work) {
  if (std::exchange(work->ended, true))
    return;
  work->timer->cancel();
  model_.End(Clock::now());
}

void TargetServer::Drain() {
  if (std::exchange(leaving_, true))
    return;
  announce_timer_.cancel();
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  timer->expires_after(kLeaveNotice);
  auto wait = std::make_shared<std::function<void()>>();
  *wait = [this, timer, wait] {
    timer->async_wait([this, timer, wait](const auto& /*error*/) {
      if (model_.running() == 0) {
        io_.stop();
        return;
      }
      timer->expires_after(kLoadInterval);
      (*wait)();
    });
  };
  (*wait)();
}

void TargetServer::Announce() {
  state_ = leaving_                                   ? "leaving"
           : options_.announces_cold && model_.cold() ? "cold"
                                                      : "up";
  const nlohmann::json body = {{"service", options_.service},
                               {"incarnation", incarnation_},
                               {"address", options_.listen.ToString()},
                               {"state", state_}};
  HttpRequest request{http::verb::post, "/yuccastair/announce", 11};
  request.body() = body.dump();
  node_client_.Call(ToEndpoint(options_.node), std::move(request),
                    kAnnounceTimeout, [](const CallResult&) {});
  announce_timer_.expires_after(kAnnounceInterval);
  announce_timer_.async_wait([this](const auto& /*error*/) { Announce(); });
}

void TargetServer::ObserveLoad() {
  const auto now = Clock::now();
  load_history_.emplace_back(now, model_.running());
  while (load_history_.front().first < now - kLoadHistory)
    load_history_.pop_front();
  load_timer_.expires_after(kLoadInterval);
  load_timer_.async_wait([this](const auto& /*error*/) { ObserveLoad(); });
}

nlohmann::json TargetServer::ReportedLoad() const {
  std::size_t running = 0;
  const auto at = Clock::now() - load_lag_;
  for (const auto& [time, value] : load_history_) {
    if (time <= at)
      running = value;
  }
  if (load_misleads_)
    running = 0;
  return {{"running", running}, {"slots", options_.model.slots}};
}

bool TargetServer::SetBehaviour(const nlohmann::json& order) {
  if (!order.is_object())
    return false;
  if (order.contains("slow"))
    model_.SetSlowdown(order["slow"].get<double>());
  if (order.value("cold", false))
    model_.TurnCold(Clock::now());
  if (order.value("silent", false))
    silent_up_to_ = server_.accepted();
  if (order.contains("shed"))
    shed_all_ = order["shed"].get<bool>();
  if (order.contains("load_lag_ms"))
    load_lag_ = milliseconds(order["load_lag_ms"].get<int>());
  if (order.contains("load_misleads"))
    load_misleads_ = order["load_misleads"].get<bool>();
  if (order.value("drain", false))
    Drain();
  return true;
}

nlohmann::json TargetServer::Report() const {
  return {{"service", options_.service},
          {"received", received_},
          {"completed", completed_},
          {"cancelled", cancelled_},
          {"shed", shed_},
          {"running", model_.running()},
          {"cold", model_.cold()},
          {"collapsed", model_.collapsed()},
          {"connections", server_.accepted()},
          {"keys_seen", keys_seen_},
          {"effects", effects_},
          {"attempts", attempts_},
          {"organisations", organisations_}};
}

void TargetServer::Admin(const std::shared_ptr<ServerExchange>& exchange) {
  const HttpRequest& request = exchange->request();
  if (request.target() == "/report") {
    exchange->Respond(TextResponse(200, Report().dump()));
    return;
  }
  if (request.target() == "/behaviour") {
    const nlohmann::json order =
        nlohmann::json::parse(request.body(), nullptr, false);
    const bool accepted = SetBehaviour(order);
    exchange->Respond(TextResponse(accepted ? 200 : 400, ""));
    return;
  }
  exchange->Respond(TextResponse(404, "/report or /behaviour"));
}

}  // namespace yuccastair::rig

// Order of attempts and the meaning of what comes back.

#include "control_client.h"

#include <optional>
#include <thread>
#include <utility>

#include "yuccastair/http/client.h"
#include "yuccastair/support/error.h"

namespace yuccastair::ctl {
namespace {

// Each control process is tried this often, since a new leader is elected
// within about 1.5 s.
constexpr std::size_t kRounds = 4;
constexpr std::chrono::milliseconds kPause{500};

struct Attempt {
  http::ExchangeResult result = http::ExchangeResult::kNotSent;
  Answer answer;
  std::string error;
};

Attempt Send(const support::Address& control,
             const std::string& method,
             const std::string& path,
             const std::string& body,
             std::chrono::milliseconds timeout) {
  http::Client client(control);
  http::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  if (!body.empty())
    request.headers.push_back({"Content-Type", "application/json"});
  const http::Exchange exchange =
      client.Send(request, timeout, /*reuse_connection=*/false);
  Attempt attempt;
  attempt.result = exchange.result;
  attempt.error = control.ToString() + ": " + exchange.error;
  if (exchange.result != http::ExchangeResult::kComplete)
    return attempt;
  attempt.answer.status = exchange.response.status;
  attempt.answer.body = nlohmann::json::parse(exchange.response.body, nullptr,
                                              /*allow_exceptions=*/false);
  if (!attempt.answer.body.is_object()) {
    attempt.result = http::ExchangeResult::kBroken;
    attempt.error = control.ToString() + ": the answer is not a JSON object";
    return attempt;
  }
  const auto reason = attempt.answer.body.find("reason");
  if (reason != attempt.answer.body.end() && reason->is_string())
    attempt.error = control.ToString() + ": " + reason->get<std::string>();
  return attempt;
}

bool IsFinal(int status) {
  return status == 200 || status == 400 || status == 404 || status == 409 ||
         status == 413;
}

std::optional<support::Address> LeaderOf(const nlohmann::json& body) {
  const auto leader = body.find("leader_operator_address");
  if (leader == body.end() || !leader->is_string())
    return std::nullopt;
  return support::ParseAddress(leader->get<std::string>());
}

}  // namespace

ControlClient::ControlClient(std::vector<support::Address> controls,
                             std::chrono::milliseconds timeout)
    : controls_(std::move(controls)), timeout_(timeout) {}

Answer ControlClient::Get(const std::string& path) {
  std::string error;
  for (const support::Address& control : controls_) {
    const Attempt attempt = Send(control, "GET", path, "", timeout_);
    if (attempt.result == http::ExchangeResult::kComplete &&
        IsFinal(attempt.answer.status))
      return attempt.answer;
    error += "\n  " + attempt.error;
  }
  throw support::Error("connect", "", "no control process answered:" + error);
}

Answer ControlClient::Post(const std::string& path,
                           const nlohmann::json& body) {
  const std::string text = body.dump();
  bool uncertain = false;
  std::string error;
  for (std::size_t round = 0; round < kRounds; ++round) {
    if (round > 0)
      std::this_thread::sleep_for(kPause);
    error.clear();
    for (const support::Address& control : controls_) {
      Attempt attempt = Send(control, "POST", path, text, timeout_);
      // One step to the leader is enough: if that is wrong too, the next round
      // asks again.
      if (attempt.result == http::ExchangeResult::kComplete) {
        if (const auto leader = LeaderOf(attempt.answer.body))
          attempt = Send(*leader, "POST", path, text, timeout_);
      }
      if (attempt.result == http::ExchangeResult::kComplete &&
          IsFinal(attempt.answer.status))
        return attempt.answer;
      uncertain = uncertain ||
                  attempt.result == http::ExchangeResult::kBroken ||
                  attempt.result == http::ExchangeResult::kTimedOut ||
                  attempt.answer.status == 504;
      error += "\n  " + attempt.error;
    }
  }
  return {uncertain ? 504 : 503,
          {{"outcome", uncertain ? "uncertain" : "unavailable"},
           {"reason", "no control process gave a final answer:" + error}}};
}

}  // namespace yuccastair::ctl

// The behaviour of a stand-in target: serves requests by the service model,
// calls other services, counts side effects and takes orders from the rig.

#ifndef YUCCASTAIR_RIG_TARGET_SERVER_H_
#define YUCCASTAIR_RIG_TARGET_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "async_http.h"
#include "service_model.h"
#include "yuccastair/support/address.h"

namespace yuccastair::rig {

/// Identifies a request of the load driver in every attempt and nested call.
constexpr std::string_view kMarkHeader = "x-rig-mark";
/// Identifies one attempt of the load driver.
constexpr std::string_view kAttemptHeader = "x-rig-attempt";
/// A header value with as many hexadecimal digits in a row holds the secret of
/// a key; ids of requests and tokens are shorter.
constexpr std::size_t kSecretDigits = 76;
/// Text in a body that ends the process of the target that runs it.
constexpr std::string_view kCrashMark = "rig-crash";

struct TargetOptions {
  std::string service;
  support::Address listen;
  support::Address admin;
  support::Address node;
  ServiceModelOptions model;
  std::size_t max_connections = 1400;
  /// Beyond this many running requests it answers 503; 0 for no bound.
  std::size_t shed_at = 0;
  /// Times that a failed nested call is sent again.
  int resends = 0;
  bool announces_cold = true;
  bool announces = true;
};

/// One stand-in target. Runs on the thread of its io_context.
class TargetServer {
 public:
  TargetServer(boost::asio::io_context& io, TargetOptions options);

  /// Announces that the target leaves, and stops the io_context when it has
  /// been idle for as long as the announcement takes to spread.
  void Drain();

 private:
  struct Work;

  void Handle(const std::shared_ptr<ServerExchange>& exchange);
  void Admin(const std::shared_ptr<ServerExchange>& exchange);
  void Count(const HttpRequest& request);
  void StartWork(const std::shared_ptr<ServerExchange>& exchange);
  void Worked(const std::shared_ptr<Work>& work);
  void CallNext(const std::shared_ptr<Work>& work);
  void Finish(const std::shared_ptr<Work>& work, int status);
  void End(const std::shared_ptr<Work>& work);
  void Announce();
  void ObserveLoad();
  bool SetBehaviour(const nlohmann::json& order);
  nlohmann::json Report() const;
  nlohmann::json ReportedLoad() const;

  boost::asio::io_context& io_;
  const TargetOptions options_;
  ServiceModel model_;
  AsyncClient node_client_;
  AsyncServer server_;
  AsyncServer admin_;
  boost::asio::steady_timer announce_timer_;
  boost::asio::steady_timer load_timer_;
  const std::string incarnation_;
  std::string state_;
  bool leaving_ = false;
  // Connections up to this number get no response any more.
  std::uint64_t silent_up_to_ = 0;
  bool shed_all_ = false;
  std::chrono::milliseconds load_lag_{0};
  bool load_misleads_ = false;
  std::deque<std::pair<std::chrono::steady_clock::time_point, std::size_t>>
      load_history_;

  // What the rig asks for at the end of a run.
  std::uint64_t received_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t keys_seen_ = 0;
  // Side effects of requests that are not idempotent, by mark.
  std::map<std::string, int> effects_;
  // Attempts of the driver that reached this target, by attempt.
  std::set<std::string> attempts_;
  // Organisations under which each marked class of requests ran.
  std::map<std::string, std::map<std::string, int>> organisations_;
};

}  // namespace yuccastair::rig

#endif  // YUCCASTAIR_RIG_TARGET_SERVER_H_

// Sends the requests of a plan at their times and records what became of each.

#ifndef YUCCASTAIR_RIG_LOAD_GENERATOR_H_
#define YUCCASTAIR_RIG_LOAD_GENERATOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "async_http.h"
#include "plan.h"

namespace yuccastair::rig {

enum class Fate {
  /// Whole, its own and in time.
  kGood,
  /// As kGood, but after the deadline.
  kLate,
  kNotRun,
  kUnknown,
  /// A complete response with another status than 200.
  kFailed,
  /// Status 200 with a body or mark of another request, or cut.
  kForeign,
  kTimedOut,
  kBroken,
  kNotSent,
};

const char* FateName(Fate fate);

struct Record {
  std::size_t caller = 0;
  std::chrono::microseconds scheduled{0};
  /// From the scheduled time to the end of the last attempt.
  std::chrono::microseconds latency{0};
  Fate fate = Fate::kNotSent;
  int attempts = 0;
};

/// The arrivals of a plan: Poisson for each class, in order of time. The same
/// seed gives the same arrivals.
struct Arrival {
  std::chrono::microseconds at{0};
  std::size_t caller = 0;
};
std::vector<Arrival> ArrivalsOf(const Plan& plan);

/// Factor of the profile of a class at a time.
double ProfileFactor(const ClassPlan& caller, Seconds at);

class LoadGenerator {
 public:
  /// \p start is when the plan's time 0 is.
  LoadGenerator(boost::asio::io_context& io,
                const Plan& plan,
                std::chrono::system_clock::time_point start);

  /// Runs until every request has ended.
  void Run();

  const std::vector<Record>& records() const { return records_; }
  /// Attempts that were answered with outcome not-run.
  const std::vector<std::string>& attempts_not_run() const {
    return attempts_not_run_;
  }
  /// Marks of requests that are not idempotent and got a good response.
  const std::vector<std::string>& confirmed() const { return confirmed_; }
  /// Steps and reasons of the errors that the system answered.
  const std::map<std::string, int>& reasons() const { return reasons_; }
  /// Largest delay between the scheduled time and the sending of a request.
  std::chrono::microseconds worst_lag() const { return worst_lag_; }
  std::size_t most_connections() const { return most_connections_; }

 private:
  struct Request;

  void SendDue();
  void Attempt(const std::shared_ptr<Request>& request);
  void Ended(const std::shared_ptr<Request>& request, const CallResult& result);
  bool Retries(const Request& request, Fate fate) const;
  void CountReason(const HttpResponse& response);
  Fate Judge(const Request& request, const CallResult& result) const;
  Endpoint Choose(const ClassPlan& caller);
  std::chrono::microseconds Now() const;

  boost::asio::io_context& io_;
  const Plan& plan_;
  const std::vector<Instance> instances_;
  const std::vector<Arrival> arrivals_;
  std::chrono::steady_clock::time_point start_;
  AsyncClient client_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::size_t next_ = 0;
  std::vector<Record> records_;
  std::vector<std::string> attempts_not_run_;
  std::vector<std::string> confirmed_;
  std::map<std::string, int> reasons_;
  std::chrono::microseconds worst_lag_{0};
  std::size_t most_connections_ = 0;
};

}  // namespace yuccastair::rig

#endif  // YUCCASTAIR_RIG_LOAD_GENERATOR_H_

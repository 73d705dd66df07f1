// How long a stand-in target works on a request, as a seeded model of slots,
// overload and cold start.

#ifndef YUCCASTAIR_RIG_SERVICE_MODEL_H_
#define YUCCASTAIR_RIG_SERVICE_MODEL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace yuccastair::rig {

using ModelTime = std::chrono::steady_clock::time_point;

struct ServiceModelOptions {
  /// Requests that run at full speed at the same time.
  std::size_t slots = 8;
  std::chrono::microseconds mean{20000};
  /// "fixed", "exponential" or "lognormal" (sigma 0.5).
  std::string distribution = "lognormal";
  /// Service time grows with (running / slots) to this power beyond the slots:
  /// at 1 the throughput stays, above 1 it falls.
  double overload_power = 1.5;
  /// Part of the slots that a cold target has at first.
  double cold_share = 0.1;
  /// Time in which a cold target that is not overloaded becomes warm.
  std::chrono::milliseconds warm_time{3000};
  bool starts_cold = false;
  std::uint64_t seed = 1;
};

/// Draws service times. Given the same calls it gives the same results.
class ServiceModel {
 public:
  explicit ServiceModel(const ServiceModelOptions& options);

  /// Begins a request and returns the time that it takes.
  std::chrono::microseconds Begin(ModelTime now);
  void End(ModelTime now);

  void SetSlowdown(double factor) { slowdown_ = factor; }
  void TurnCold(ModelTime now);

  std::size_t running() const { return running_; }
  bool cold() const { return warmth_ < 1; }
  bool collapsed() const { return collapsed_; }
  /// Slots that the target has at present.
  double effective_slots() const;

 private:
  void Advance(ModelTime now);
  double Draw();

  const ServiceModelOptions options_;
  std::mt19937_64 random_;
  std::size_t running_ = 0;
  double slowdown_ = 1;
  // 0 is cold, 1 is warm; grows only while the target is not overloaded.
  double warmth_ = 1;
  ModelTime last_{};
  // A cold target that got too much load works on hardly anything until the
  // load is gone.
  bool collapsed_ = false;
};

}  // namespace yuccastair::rig

#endif  // YUCCASTAIR_RIG_SERVICE_MODEL_H_

// Slots, overload and cold start of a stand-in target.

#include "service_model.h"

#include <algorithm>
#include <cmath>

namespace yuccastair::rig {
namespace {

constexpr double kLogSigma = 0.5;
// A cold target collapses at this multiple of its present slots.
constexpr double kCollapseAt = 3;
constexpr double kCollapsedFactor = 10;
// Keeps an overloaded target from times that outlast every run.
constexpr double kMaxOverloadFactor = 200;

}  // namespace

ServiceModel::ServiceModel(const ServiceModelOptions& options)
    : options_(options), random_(options.seed) {
  if (options_.starts_cold)
    warmth_ = 0;
}

double ServiceModel::effective_slots() const {
  const double share =
      options_.cold_share + (1 - options_.cold_share) * warmth_;
  return std::max(1.0, static_cast<double>(options_.slots) * share);
}

void ServiceModel::Advance(ModelTime now) {
  if (last_ == ModelTime{})
    last_ = now;
  const double passed = std::chrono::duration<double>(now - last_).count();
  last_ = now;
  const double warm_time =
      std::chrono::duration<double>(options_.warm_time).count();
  const bool overloaded = static_cast<double>(running_) > effective_slots();
  if (warmth_ < 1 && running_ > 0 && !overloaded && !collapsed_)
    warmth_ = std::min(1.0, warmth_ + passed / std::max(warm_time, 0.001));
  if (collapsed_ && static_cast<double>(running_) <= effective_slots())
    collapsed_ = false;
  if (cold() && static_cast<double>(running_) >
                    std::ceil(kCollapseAt * effective_slots())) {
    collapsed_ = true;
    warmth_ = 0;
  }
}

double ServiceModel::Draw() {
  if (options_.distribution == "exponential")
    return std::exponential_distribution<double>(1)(random_);
  if (options_.distribution == "lognormal")
    return std::lognormal_distribution<double>(-kLogSigma * kLogSigma / 2,
                                               kLogSigma)(random_);
  return 1;
}

std::chrono::microseconds ServiceModel::Begin(ModelTime now) {
  Advance(now);
  ++running_;
  Advance(now);
  const double ratio = static_cast<double>(running_) / effective_slots();
  double factor = ratio <= 1 ? 1 : std::pow(ratio, options_.overload_power);
  if (collapsed_)
    factor *= kCollapsedFactor;
  factor = std::min(factor, kMaxOverloadFactor) * slowdown_ * Draw();
  return std::chrono::microseconds(static_cast<std::int64_t>(
      static_cast<double>(options_.mean.count()) * factor));
}

void ServiceModel::End(ModelTime now) {
  Advance(now);
  --running_;
  Advance(now);
}

void ServiceModel::TurnCold(ModelTime now) {
  Advance(now);
  warmth_ = 0;
}

}  // namespace yuccastair::rig

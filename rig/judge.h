// Computes the measures of a run and compares them with the objectives of the
// design page.

#ifndef YUCCASTAIR_RIG_JUDGE_H_
#define YUCCASTAIR_RIG_JUDGE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load_generator.h"
#include "plan.h"

namespace yuccastair::rig {

/// One line of the table of a run.
struct Row {
  std::string measure;
  std::string measured;
  /// Empty where the design page states none for this run.
  std::string objective;
  /// "met", "missed" or empty.
  std::string verdict;
};

struct RunResult {
  std::vector<Record> records;
  nlohmann::json driver;
  std::vector<nlohmann::json> targets;
};

/// Reads the records that the load driver has written.
std::vector<Record> ReadRecords(const std::string& path, const Plan& plan);

/// \p plan must be scaled.
std::vector<Row> Judge(const Plan& plan, const RunResult& result);

/// Writes goodput and latency of each 100 ms and a gnuplot PNG of them.
/// Returns false if gnuplot failed.
bool WriteSeries(const Plan& plan,
                 const RunResult& result,
                 const std::string& prefix);

/// The exact quantile of \p values, which are sorted in place; 0 for none.
double Quantile(std::vector<double>& values, double quantile);

}  // namespace yuccastair::rig

#endif  // YUCCASTAIR_RIG_JUDGE_H_

// Goodput and latency over time, as CSV and as a picture.

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <string>
#include <vector>

#include "judge.h"

namespace yuccastair::rig {
namespace {

constexpr std::chrono::milliseconds kStep{100};

struct Step {
  int offered = 0;
  int good = 0;
  int not_run = 0;
  std::vector<double> latencies;
};

bool RunGnuplot(std::string script) {
  std::string program = "gnuplot";
  char* arguments[] = {program.data(), script.data(), nullptr};
  pid_t pid = 0;
  int status = 0;
  return posix_spawnp(&pid, "gnuplot", nullptr, nullptr, arguments, environ) ==
             0 &&
         waitpid(pid, &status, 0) == pid && status == 0;
}

}  // namespace

bool WriteSeries(const Plan& plan,
                 const RunResult& result,
                 const std::string& prefix) {
  std::vector<Step> steps(static_cast<std::size_t>(plan.duration / kStep) + 1);
  for (const Record& record : result.records) {
    Step& step = steps.at(static_cast<std::size_t>(record.scheduled / kStep));
    ++step.offered;
    step.not_run += record.fate == Fate::kNotRun ? 1 : 0;
    if (record.fate != Fate::kGood)
      continue;
    ++step.good;
    step.latencies.push_back(static_cast<double>(record.latency.count()) /
                             1000);
  }
  {
    std::ofstream out(prefix + "series.csv");
    out << "time_s,offered_per_s,good_per_s,not_run_per_s,median_ms,p99_ms\n";
    for (std::size_t i = 0; i < steps.size(); ++i)
      out << static_cast<double>(i) / 10 << ',' << steps[i].offered * 10 << ','
          << steps[i].good * 10 << ',' << steps[i].not_run * 10 << ','
          << Quantile(steps[i].latencies, 0.5) << ','
          << Quantile(steps[i].latencies, 0.99) << '\n';
  }
  std::ofstream(prefix + "plot.gp")
      << "set datafile separator ','\nset terminal png size 1000,700\n"
         "set output '"
      << prefix << "plot.png'\nset multiplot layout 2,1 title '" << plan.name
      << "'\nset ylabel 'requests/s'\n"
         "plot '"
      << prefix
      << "series.csv' every ::1 using 1:2 with lines title 'offered', "
         "'' every ::1 using 1:3 with lines lw 2 title 'good'\n"
         "set ylabel 'ms'\nset xlabel 's'\nset logscale y\n"
         "plot '"
      << prefix
      << "series.csv' every ::1 using 1:5 with lines title 'median', "
         "'' every ::1 using 1:6 with lines title '99 %'\n";
  return RunGnuplot(prefix + "plot.gp");
}

}  // namespace yuccastair::rig

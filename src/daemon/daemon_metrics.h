#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <map>
#include <mutex>
#include <string>

namespace monsoonmux {

// Counters, gauges and latency summaries, in the Prometheus text format. Thread-safe.
class daemon_metrics {
 public:
  void count(const std::string& name, std::int64_t by = 1);
  void gauge(const std::string& name, double value);
  void observe_ms(const std::string& name, double value);
  std::string text() const;

 private:
  using summary = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square_quantile>>;

  mutable std::mutex lock;
  std::map<std::string, std::int64_t> counters;
  std::map<std::string, double> gauges;
  std::map<std::string, summary> summaries;
};

}  // namespace monsoonmux

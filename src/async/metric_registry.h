#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "async/latency_histogram.h"

namespace monsoonmux::cell {

// The daemon's counters, gauges and latency histograms, by name.
class metric_registry {
 public:
  void count(const std::string& name, std::int64_t by = 1) { this->counts[name] += by; }
  void gauge(const std::string& name, std::int64_t value) { this->gauges[name] = value; }
  void observe(const std::string& name, millis duration) {
    this->histograms[name].observe(duration);
  }
  // The counters whose names begin with `prefix`.
  std::map<std::string, std::int64_t> counts_of(const std::string& prefix) const;
  // All metrics in the Prometheus text format.
  std::string text() const;

 private:
  std::map<std::string, std::int64_t> counts;
  std::map<std::string, std::int64_t> gauges;
  std::map<std::string, latency_histogram> histograms;
};

}  // namespace monsoonmux::cell

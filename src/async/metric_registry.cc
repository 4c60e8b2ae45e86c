#include "async/metric_registry.h"

namespace monsoonmux::cell {

std::map<std::string, std::int64_t> metric_registry::counts_of(const std::string& prefix) const {
  std::map<std::string, std::int64_t> out;
  for (auto it = this->counts.lower_bound(prefix);
       it != this->counts.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
    out.insert(*it);
  }
  return out;
}

std::string metric_registry::text() const {
  std::string out;
  for (const auto& [name, value] : this->counts) {
    out += "monsoonmux_" + name + "_total " + std::to_string(value) + "\n";
  }
  for (const auto& [name, value] : this->gauges) {
    out += "monsoonmux_" + name + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, histogram] : this->histograms) {
    histogram.append_text("monsoonmux_" + name + "_ms", out);
  }
  return out;
}

}  // namespace monsoonmux::cell

#include "async/metric_registry.h"

namespace monsoonmux::cell {

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

#include "async/latency_histogram.h"

namespace monsoonmux::cell {

void latency_histogram::observe(millis duration) {
  std::size_t bucket = 0;
  while (bucket < bounds.size() && duration.value > bounds[bucket]) {
    ++bucket;
  }
  ++this->counts[bucket];
  this->sum_ms += duration.value;
}

void latency_histogram::append_text(const std::string& name, std::string& out) const {
  std::int64_t total = 0;
  for (std::size_t i = 0; i < this->counts.size(); ++i) {
    total += this->counts[i];
    const std::string bound = i < bounds.size() ? std::to_string(bounds[i]) : "+Inf";
    out.append(name).append("_bucket{le=\"").append(bound).append("\"} ");
    out.append(std::to_string(total)).append("\n");
  }
  out += name + "_sum " + std::to_string(this->sum_ms) + "\n";
  out += name + "_count " + std::to_string(total) + "\n";
}

}  // namespace monsoonmux::cell

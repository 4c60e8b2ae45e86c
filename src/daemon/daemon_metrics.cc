#include "daemon/daemon_metrics.h"

#include <array>
#include <sstream>

namespace monsoonmux {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles = {0.5, 0.95, 0.99};
const std::string prefix = "monsoonmux_";

}  // namespace

void daemon_metrics::count(const std::string& name, std::int64_t by) {
  const std::lock_guard guard(this->lock);
  this->counters[name] += by;
}

void daemon_metrics::gauge(const std::string& name, double value) {
  const std::lock_guard guard(this->lock);
  this->gauges[name] = value;
}

void daemon_metrics::observe_ms(const std::string& name, double value) {
  const std::lock_guard guard(this->lock);
  const auto it =
      this->summaries
          .try_emplace(name, acc::tag::extended_p_square_quantile::probabilities = quantiles)
          .first;
  it->second(value);
}

std::string daemon_metrics::text() const {
  const std::lock_guard guard(this->lock);
  std::ostringstream out;
  for (const auto& [name, value] : this->counters) {
    out << "# TYPE " << prefix << name << " counter\n" << prefix << name << " " << value << "\n";
  }
  for (const auto& [name, value] : this->gauges) {
    out << "# TYPE " << prefix << name << " gauge\n" << prefix << name << " " << value << "\n";
  }
  for (const auto& [name, s] : this->summaries) {
    out << "# TYPE " << prefix << name << "_ms summary\n";
    for (const double q : quantiles) {
      out << prefix << name << "_ms{quantile=\"" << q << "\"} "
          << acc::quantile(s, acc::quantile_probability = q) << "\n";
    }
    out << prefix << name << "_ms_sum " << acc::sum(s) << "\n"
        << prefix << name << "_ms_count " << acc::count(s) << "\n"
        << prefix << name << "_ms_max " << acc::max(s) << "\n";
  }
  return out.str();
}

}  // namespace monsoonmux

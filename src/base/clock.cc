#include "base/clock.h"

#include <ctime>

namespace monsoonmux {
namespace {

constexpr std::int64_t ms_per_second = 1'000;
constexpr std::int64_t ns_per_ms = 1'000'000;

std::int64_t read_ms(clockid_t id) {
  timespec t{};
  clock_gettime(id, &t);
  return t.tv_sec * ms_per_second + t.tv_nsec / ns_per_ms;
}

}  // namespace

instant system_clock::now() const {
  return {read_ms(CLOCK_BOOTTIME)};
}

std::int64_t system_clock::wall_ms() const {
  return read_ms(CLOCK_REALTIME);
}

}  // namespace monsoonmux

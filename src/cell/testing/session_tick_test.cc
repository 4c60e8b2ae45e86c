// Ticks of sessions: one that has nothing to do costs almost nothing.

#include <catch2/catch.hpp>

#include "cell/testing/session_fixture.h"

namespace monsoonmux::cell {
namespace {

TEST_CASE("A renewal of the claim costs a session without work one look at the clock") {
  session_fixture f;
  f.commands.report(f.state());
  f.end_all_runs();
  const std::int64_t before = f.time.reads;
  f.session.leases_allowed();
  CHECK(f.time.reads - before <= 1);
}

}  // namespace
}  // namespace monsoonmux::cell

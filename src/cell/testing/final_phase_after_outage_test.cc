// Guards against LOST: a job is failed by an older number of attempts than the newest in the store.

#include "cell/testing/raised_attempts_cell.h"

namespace monsoonmux::cell {
namespace {

constexpr millis outage_time{6'000};

TEST_CASE("Attempts that are raised right before an outage count for a run that fails in it") {
  for (std::uint32_t seed = 1; seed <= raised_attempts_cell::seeds; ++seed) {
    INFO("seed " << seed);
    raised_attempts_cell f(seed);
    f.submit_and_begin_failing_run();
    f.publish_attempts(f.many);
    f.cell.store.down = true;
    f.cell.loop.run_for(outage_time);
    f.cell.store.down = false;
    f.check_completed();
  }
}

TEST_CASE("Attempts that are raised right before an outage count for the successor after it") {
  for (std::uint32_t seed = 1; seed <= raised_attempts_cell::seeds; ++seed) {
    INFO("seed " << seed);
    raised_attempts_cell f(seed);
    f.submit_and_begin_failing_run();
    f.publish_attempts(f.many);
    f.cell.store.down = true;
    constexpr millis until_kill{300};
    f.cell.loop.run_for(until_kill);
    f.leader().kill();
    f.cell.loop.run_for(outage_time - until_kill);
    f.cell.store.down = false;
    f.check_completed();
  }
}

TEST_CASE("Attempts that are raised while the store turns all daemons away count") {
  for (std::uint32_t seed = 1; seed <= raised_attempts_cell::seeds; ++seed) {
    INFO("seed " << seed);
    raised_attempts_cell f(seed);
    f.submit_and_begin_failing_run();
    for (const auto& each : f.cell.nodes) {
      f.cell.store.partitioned.insert(each->name);
    }
    constexpr millis until_raised{300};
    f.cell.loop.run_for(until_raised);
    f.publish_attempts(f.many);
    f.cell.loop.run_for(outage_time - until_raised);
    f.cell.store.partitioned.clear();
    f.check_completed();
  }
}

TEST_CASE("A successor whose configuration is late fails no job by its older attempts") {
  for (std::uint32_t seed = 1; seed <= raised_attempts_cell::seeds; ++seed) {
    INFO("seed " << seed);
    raised_attempts_cell f(seed);
    for (auto& each : f.cell.nodes) {
      if (!each->daemon->leads()) {
        f.cell.store.withheld[each->name].insert("op");
      }
    }
    f.publish_attempts(f.many);
    constexpr millis propagation{500};
    f.cell.loop.run_for(propagation);
    f.submit_and_begin_failing_run();
    f.leader().kill();
    constexpr millis late{3'000};
    f.cell.loop.run_for(late);
    f.cell.store.withheld.clear();
    f.check_completed();
  }
}

}  // namespace
}  // namespace monsoonmux::cell

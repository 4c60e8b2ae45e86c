// Guards against LOST: a job is failed by fewer attempts than its queue had when it was removed.

#include "cell/testing/raised_attempts_cell.h"

namespace monsoonmux::cell {
namespace {

constexpr millis outage_time{6'000};

TEST_CASE("A queue that is removed leaves its open jobs the attempts that it had last") {
  for (std::uint32_t seed = 1; seed <= raised_attempts_cell::seeds; ++seed) {
    INFO("seed " << seed);
    raised_attempts_cell f(seed);
    f.submit_and_begin_failing_run();
    f.publish_attempts(f.many);
    constexpr millis propagation{300};
    f.cell.loop.run_for(propagation);
    f.cell.config.queues.clear();
    f.publish();
    f.check_completed();
  }
}

TEST_CASE("A queue that is removed leaves its jobs the attempts that it had last over a takeover") {
  for (std::uint32_t seed = 1; seed <= raised_attempts_cell::seeds; ++seed) {
    INFO("seed " << seed);
    raised_attempts_cell f(seed);
    f.submit_and_begin_failing_run();
    f.publish_attempts(f.many);
    constexpr millis propagation{300};
    f.cell.loop.run_for(propagation);
    f.cell.config.queues.clear();
    f.publish();
    f.cell.loop.run_for(propagation);
    f.leader().kill();
    f.check_completed();
  }
}

TEST_CASE(
    "A queue that is changed and removed at once leaves its jobs the attempts that it had last") {
  for (std::uint32_t seed = 1; seed <= raised_attempts_cell::seeds; ++seed) {
    INFO("seed " << seed);
    raised_attempts_cell f(seed);
    f.submit_and_begin_failing_run();
    f.publish_attempts(f.many);
    const cell_config raised = f.cell.config;
    for (auto& node : f.cell.nodes) {
      node->sources.by_value[std::to_string(raised.version.value)] = raised;
    }
    f.cell.config.queues.clear();
    f.publish();
    f.check_completed();
  }
}

TEST_CASE("A queue that is removed and added again has the attempts that it was added with") {
  for (std::uint32_t seed = 1; seed <= raised_attempts_cell::seeds; ++seed) {
    INFO("seed " << seed);
    raised_attempts_cell f(seed);
    f.submit_and_begin_failing_run();
    queue_config added = f.cell.config.queues.front();
    added.max_attempts = f.many;
    f.cell.config.queues.clear();
    f.publish();
    constexpr millis pause{200};
    f.cell.loop.run_for(pause);
    f.cell.config.queues.push_back(added);
    f.publish();
    f.cell.loop.run_for(pause);
    f.cell.store.down = true;
    f.cell.loop.run_for(outage_time);
    f.cell.store.down = false;
    f.check_completed();
  }
}

}  // namespace
}  // namespace monsoonmux::cell

// Starts that wait in the leader's queue for an agent while the capacity of their runner shrinks.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"

namespace monsoonmux::cell {
namespace {

constexpr resources small_size{millicores{1'000}, mebibytes{4'000}, devices{0}};

enum class shrinking {
  none,
  same_incarnation,  // The entry shows a smaller capacity of the same incarnation.
  restart,           // The runner is back at once, smaller, under its id.
};

// Two runners and two agents behind a link that a start with a large payload fills for 190 ms.
// That start goes to the second runner; the other starts, to the first one, wait for the link.
struct queued_start {
  explicit queued_start(const daemon_options& options) : cell(3, 2, 1, options) {
    this->cell.runners[1]->entry.labels = {"a", other_label};
    for (auto& runner : this->cell.runners) {
      runner->task_time = millis{5'000};
    }
    constexpr millis settle_time{6'000};
    this->cell.loop.run_for(settle_time);
    REQUIRE(this->cell.leader() >= 0);
  }

  static daemon_options narrow_link() {
    daemon_options out = through_agents();
    out.leader.agents.link_mbps = 20;  // 1,250 bytes per ms for commands, not compressed.
    return out;
  }

  fake_runner& runner() { return *this->cell.runners[0]; }
  // Places the tasks, and returns when the large start has left and the others wait.
  void queue_starts() {
    constexpr std::size_t large = 300'000;
    job_spec blocker = fake_cell::simple_job(1);
    blocker.payload = std::string(large, 'x');
    blocker.steps[0].required_label = other_label;
    job_spec small = fake_cell::simple_job(tasks);
    small.steps[0].required_label = "r1";
    this->cell.submit(this->cell.leader(), job_name(0), blocker);
    this->cell.submit(this->cell.leader(), job_name(1), small);
    constexpr int longest_ms = 1'000;
    for (int i = 0; i < longest_ms && this->cell.history.starts == 0; ++i) {
      this->cell.loop.run_for(millis{1});
    }
    REQUIRE(this->cell.history.starts == 1);
    REQUIRE(this->started() == 0);
  }
  int started() { return this->cell.history.most_together[job_name(1) + ".0.0."]; }
  void shrink(shrinking how) {
    if (how == shrinking::none) {
      return;
    }
    if (how == shrinking::restart) {
      this->runner().crash();
    }
    this->runner().entry.capacity = small_size;
    if (how == shrinking::restart) {
      this->runner().restart();
    }
    this->cell.store.put("runners", this->runner().entry.id, "1");
  }

  static constexpr const char* other_label = "r2";
  static constexpr int tasks = 4;
  fake_cell cell;
};

TEST_CASE("Starts that wait for the link to an agent are not sent to a runner that has shrunk") {
  const shrinking how = GENERATE(shrinking::none, shrinking::same_incarnation, shrinking::restart);
  // The starts leave 190 ms after they were queued; the leader reads an entry within 6 ms.
  const millis waited = GENERATE(millis{0}, millis{90}, millis{175});
  INFO("shrinking " << static_cast<int>(how) << " after " << waited.value << " ms");
  queued_start play(queued_start::narrow_link());
  play.queue_starts();
  play.cell.loop.run_for(waited);
  REQUIRE(play.started() == 0);
  play.shrink(how);
  play.cell.loop.run_for(millis{40'000});
  CHECK(play.started() == (how == shrinking::none ? queued_start::tasks : 1));
  CHECK(play.cell.phase(job_name(1)) == job_phase::completed);
  check_history(play.cell);
}

}  // namespace
}  // namespace monsoonmux::cell

// A runner that restarts under its id with another capacity.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"

namespace monsoonmux::cell {
namespace {

constexpr resources small_size{millicores{1'000}, mebibytes{4'000}, devices{0}};

void restart_smaller(fake_runner& runner) {
  runner.crash();
  runner.entry.capacity = small_size;
  runner.restart();
}

TEST_CASE("Tasks that were placed on a runner before its restart are not sent to it afterwards") {
  fake_cell cell(3, 1, 1);
  cell.loop.run_for(boot_time + millis{700});
  cell.store.latency = millis{300};
  cell.submit(cell.leader(), job_name(0), fake_cell::simple_job(3));
  // The tasks are placed after 600 ms and sent after 1,200 ms. The leader reads the new entry
  // after 800 ms.
  cell.loop.run_for(millis{500});
  restart_smaller(*cell.runners[0]);
  cell.store.put("runners", cell.runners[0]->entry.id, "1");
  cell.loop.run_for(millis{15'000});
  CHECK(cell.history.most_together[job_name(0) + ".0.0."] == 1);
  CHECK(cell.phase(job_name(0)) == job_phase::completed);
  check_history(cell);
}

TEST_CASE(
    "A restarted runner gets no tasks by the capacity in the entry of its previous incarnation") {
  fake_cell cell(3, 1, 2);
  cell.loop.run_for(boot_time);
  fake_runner& runner = *cell.runners[0];
  runner.task_time = millis{20'000};
  cell.submit(0, job_name(0), fake_cell::simple_job(1));
  cell.loop.run_for(millis{500});
  CHECK(cell.history.starts == 1);
  restart_smaller(runner);
  runner.task_time = millis{800};
  // Long enough for a poll, which tells the leader of the restart.
  cell.loop.run_for(millis{5'000});
  cell.submit(0, job_name(1), fake_cell::simple_job(3));
  cell.loop.run_for(millis{2'000});
  cell.store.put("runners", runner.entry.id, "1");
  cell.loop.run_for(millis{15'000});
  CHECK(cell.history.most_together[job_name(1) + ".0.0."] == 1);
  CHECK(cell.phase(job_name(0)) == job_phase::completed);
  CHECK(cell.phase(job_name(1)) == job_phase::completed);
  check_history(cell);
}

}  // namespace
}  // namespace monsoonmux::cell

#include "decide/room_outlook.h"

#include <catch2/catch.hpp>

#include "decide/testing/cell_builder.h"

namespace monsoonmux::cell {
namespace {

constexpr millis stop_time{400};
constexpr resources runner_size{millicores{4'000}, mebibytes{4'000}, devices{0}};
constexpr resources half{millicores{2'000}, mebibytes{100}, devices{0}};

// Two runners; on the first one a run ends after 1 s, another is being stopped and a third lasts.
struct outlook_cell : cell_builder {
  outlook_cell() {
    this->add_runner("a", {millicores{6'000}, mebibytes{4'000}, devices{0}});
    this->add_runner("b", runner_size);
    this->allocate("a", 0, millis{1'000}, false);
    this->allocate("a", 1, millis{60'000}, true);
    this->allocate("a", 2, millis{0}, false);
    this->allocate("b", 3, millis{60'000}, false);
    this->allocate("b", 4, millis{60'000}, false);
    this->runners = {this->state.runners.find("a"), this->state.runners.find("b")};
  }
  void allocate(const std::string& runner, std::int32_t index, millis expected, bool stopping) {
    allocation run;
    run.task = {{job_id("j"), 0, 0}, index};
    run.run = 1;
    run.capacity_used = half;
    run.since = this->now;
    run.expected = expected;
    run.stopping = stopping;
    this->state.runners.add(runner, run);
  }

  std::vector<runner_state*> runners;
};

TEST_CASE("Runs that end and runs that are stopped make room by their time, lasting ones never") {
  outlook_cell cell;
  room_outlook outlook(cell.runners, cell.now, stop_time);
  CHECK(outlook.fitting(0, half, cell.now, 9) == 0);
  CHECK(outlook.fitting(0, half, cell.now + stop_time, 9) == 1);
  CHECK(outlook.fitting(0, half, cell.now + millis{1'000}, 9) == 2);
  CHECK(outlook.fitting(0, half, cell.now + millis{1'000}, 1) == 1);
  CHECK(outlook.fitting(0, half, cell.now + millis{90'000}, 9) == 2);
  CHECK(outlook.fitting(1, half, cell.now + millis{1'000}, 9) == 0);
}

TEST_CASE("A run that is long overdue is not counted on to end at once") {
  outlook_cell cell;
  const instant later = cell.now + millis{11'000};
  room_outlook outlook(cell.runners, later, stop_time);
  CHECK(outlook.fitting(0, half, later + millis{1'000}, 9) == 1);
  CHECK(outlook.fitting(0, half, later + millis{10'000}, 9) == 2);
}

TEST_CASE("Room that is counted on is not there for others") {
  outlook_cell cell;
  const instant by = cell.now + millis{1'000};
  room_outlook outlook(cell.runners, cell.now, stop_time);
  REQUIRE(outlook.may_fit(half, by));
  outlook.take(0, half);
  CHECK(outlook.fitting(0, half, by, 9) == 1);
  CHECK(outlook.will_fit(0, half, by));
  outlook.take(0, half);
  CHECK_FALSE(outlook.may_fit(half, by));
  // Nor for what needs more, or sooner.
  CHECK_FALSE(outlook.may_fit({millicores{2'500}, mebibytes{100}, devices{0}}, cell.now));
  CHECK(outlook.may_fit(half, cell.now + millis{90'000}));
}

TEST_CASE("A run that is placed in the round counts once, whenever the room is looked at") {
  outlook_cell cell;
  const instant by = cell.now + millis{1'000};
  const instant later = cell.now + millis{1'500};
  room_outlook outlook(cell.runners, cell.now, stop_time);
  REQUIRE(outlook.fitting(0, half, by, 9) == 2);
  cell.runners[0]->entry.capacity.cpu += half.cpu;  // Room for one more, which is placed there.
  cell.allocate("a", 5, millis{60'000}, false);
  outlook.place(0, resources{});
  CHECK(outlook.fitting(0, half, by, 9) == 2);
  CHECK(outlook.fitting(0, half, later, 9) == 2);
  outlook.place(0, half);
  CHECK(outlook.fitting(0, half, by, 9) == 1);
  CHECK(outlook.fitting(0, half, later, 9) == 1);
  // What is looked at for the first time has the placed runs in its capacity.
  CHECK(outlook.fitting(0, half, cell.now + millis{2'000}, 9) == 2);
}

TEST_CASE("A runner that takes no work has no room") {
  outlook_cell cell;
  cell.runners[0]->entry.draining = true;
  room_outlook outlook(cell.runners, cell.now, stop_time);
  CHECK_FALSE(outlook.may_fit(half, cell.now + millis{1'000}));
}

}  // namespace
}  // namespace monsoonmux::cell

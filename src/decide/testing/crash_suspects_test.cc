#include "decide/crash_suspects.h"

#include <catch2/catch.hpp>

namespace monsoonmux::cell {
namespace {

constexpr instant now{100'000};
constexpr millis settled{3'000};  // A runner that has been missing for so long is gone.
const std::string runner = "i-1";
constexpr std::int64_t incarnation = 7;

run_key run_of(int task) {
  return {{{job_id("job"), 0, 0}, task}, 1};
}

suspected_run suspect(int task, bool held = false) {
  suspected_run out{run_of(task), incarnation, now};
  out.held = held;
  return out;
}

std::function<runner_absence(const std::string&)> missing_for(millis time, millis list_followed) {
  return [=](const std::string&) { return runner_absence{list_followed, time}; };
}
std::function<runner_absence(const std::string&)> missing_for(millis time) {
  return missing_for(time, time);
}

std::function<millis(const std::string&)> followed_for(millis time) {
  return [=](const std::string&) { return time; };
}

// Counts all runs whose runners are gone.
std::vector<runner_suspect> count_absent(
    crash_suspects& suspects, const std::function<runner_absence(const std::string&)>& absence_of,
    const std::function<bool(const suspected_run&)>& ends_job) {
  std::vector<runner_suspect> out;
  for (const runner_suspect& each : suspects.absent(absence_of)) {
    if (suspects.count(each, ends_job(each.suspect))) {
      out.push_back(each);
    }
  }
  return out;
}
// The same; a run is the last crash that its task may have if the task is held for it.
std::vector<runner_suspect> count_absent(
    crash_suspects& suspects, const std::function<runner_absence(const std::string&)>& absence_of) {
  return count_absent(suspects, absence_of, [](const suspected_run& each) { return each.held; });
}

TEST_CASE("A runner that has been missing for a short time does not count as crashed") {
  crash_suspects suspects;
  suspects.add(runner, suspect(0));
  CHECK(count_absent(suspects, missing_for(millis{0})).empty());
  CHECK(count_absent(suspects, missing_for(settled - millis{1})).empty());
  CHECK(suspects.uncounted(run_of(0).task) == 1);
}

TEST_CASE("A runner that stays away from the list counts as crashed once") {
  crash_suspects suspects;
  suspects.add(runner, suspect(0));
  CHECK(count_absent(suspects, missing_for(millis{0})).empty());
  const auto counted = count_absent(suspects, missing_for(settled));
  REQUIRE(counted.size() == 1);
  CHECK(counted[0].runner == runner);
  CHECK(counted[0].suspect.run == run_of(0));
  CHECK(count_absent(suspects, missing_for(settled)).empty());
  CHECK(suspects.uncounted(run_of(0).task) == 0);
}

TEST_CASE("A removed entry counts at once if the list is complete, but not as the last crash") {
  crash_suspects suspects;
  suspects.add(runner, suspect(0));
  suspects.add(runner, suspect(1, true));
  const auto counted = count_absent(suspects, missing_for(millis{0}, settled));
  REQUIRE(counted.size() == 1);
  CHECK(counted[0].suspect.run == run_of(0));
  CHECK(count_absent(suspects, missing_for(settled - millis{1}, settled)).empty());
  CHECK(count_absent(suspects, missing_for(settled, settled)).size() == 1);
}

TEST_CASE("The last crash that a task may have needs its runner's absence after the hold too") {
  constexpr millis longest_hold{9'500};
  crash_suspects suspects;
  suspects.add(runner, suspect(0, true));
  REQUIRE(suspects.release(now + longest_hold, followed_for(longest_hold)).size() == 1);
  const auto ends_job = [](const suspected_run&) { return true; };
  CHECK(count_absent(suspects, missing_for(settled - millis{1}, settled), ends_job).empty());
  CHECK(count_absent(suspects, missing_for(settled, settled), ends_job).size() == 1);
}

TEST_CASE("Whether a crash is the last one that a task may have is asked after each count") {
  crash_suspects suspects;
  suspects.add(runner, suspect(0));
  suspects.add("i-2", suspect(0));
  int asked = 0;
  const auto ends_job = [&asked](const suspected_run&) { return asked++ > 0; };
  const auto absence = missing_for(millis{0}, settled);
  CHECK(count_absent(suspects, absence, ends_job).size() == 1);
  CHECK(count_absent(suspects, absence, ends_job).empty());
  CHECK(asked == 3);
}

TEST_CASE("Each absent runner is looked at once, however many runs are counted") {
  constexpr int runners = 400;
  crash_suspects suspects;
  for (int i = 0; i < runners; ++i) {
    suspects.add("i-" + std::to_string(i), suspect(i));
  }
  int looks = 0;
  const auto absence = [&looks](const std::string&) {
    ++looks;
    return runner_absence{settled, settled};
  };
  int judged = 0;
  const auto ends_job = [&judged](const suspected_run&) {
    ++judged;
    return false;
  };
  CHECK(count_absent(suspects, absence, ends_job).size() == runners);
  CHECK(looks == runners);
  CHECK(judged == runners);
}

TEST_CASE("Another incarnation of the runner confirms a suspicion, the same one disproves it") {
  crash_suspects suspects;
  suspects.add(runner, suspect(0));
  CHECK(suspects.take_confirmed(runner, incarnation).empty());
  CHECK(suspects.take_disproved(runner, incarnation + 1).empty());
  SECTION("confirmed") {
    CHECK(suspects.take_confirmed(runner, incarnation + 1).size() == 1);
  }
  SECTION("disproved, also if it was counted") {
    count_absent(suspects, missing_for(settled));
    const auto disproved = suspects.take_disproved(runner, incarnation);
    REQUIRE(disproved.size() == 1);
    CHECK(disproved[0].counted);
  }
  CHECK(suspects.take_confirmed(runner, incarnation + 1).empty());
}

TEST_CASE("A suspicion that was dropped is neither confirmed nor disproved") {
  crash_suspects suspects;
  suspects.add(runner, suspect(0));
  suspects.add(runner, suspect(1));
  count_absent(suspects, missing_for(settled));
  suspects.drop(runner, run_of(0));
  const auto disproved = suspects.take_disproved(runner, incarnation);
  REQUIRE(disproved.size() == 1);
  CHECK(disproved[0].run == run_of(1));
}

TEST_CASE("A suspicion on a runner of unknown incarnation is neither confirmed nor disproved") {
  crash_suspects suspects;
  suspected_run unknown = suspect(0);
  unknown.incarnation = 0;
  suspects.add(runner, unknown);
  CHECK(suspects.take_confirmed(runner, incarnation).empty());
  CHECK(suspects.take_disproved(runner, incarnation).empty());
}

TEST_CASE(
    "A task is held until its suspicion is settled, and no longer than a crash stays hidden") {
  constexpr millis longest_hold{9'500};
  crash_suspects suspects;
  suspects.add(runner, suspect(0, true));
  CHECK(suspects.holds(run_of(0).task));
  CHECK_FALSE(suspects.holds(run_of(1).task));
  SECTION("settled") {
    count_absent(suspects, missing_for(settled));
  }
  SECTION("over") {
    CHECK(suspects.release(now + longest_hold - millis{1}, followed_for(longest_hold)).empty());
    // The list has to be followed for as long.
    CHECK(suspects.release(now + longest_hold, followed_for(longest_hold - millis{1})).empty());
    CHECK(suspects.release(now + longest_hold, followed_for(longest_hold)).size() == 1);
  }
  SECTION("over although the list is not followed") {
    constexpr millis without_list{15'000};
    CHECK(suspects.release(now + without_list - millis{1}, followed_for(millis{0})).empty());
    CHECK(suspects.release(now + without_list, followed_for(millis{0})).size() == 1);
  }
  CHECK_FALSE(suspects.holds(run_of(0).task));
}

TEST_CASE("Suspicions that nothing settles are dropped in the end") {
  constexpr millis longest_suspicion{60'000};
  crash_suspects suspects;
  suspects.add(runner, suspect(0));
  suspects.release(now + longest_suspicion - millis{1}, followed_for(settled));
  CHECK(suspects.uncounted(run_of(0).task) == 1);
  suspects.release(now + longest_suspicion, followed_for(settled));
  CHECK(suspects.uncounted(run_of(0).task) == 0);
}

}  // namespace
}  // namespace monsoonmux::cell

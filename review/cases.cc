// The cases of the review. Usage: review_case NAME RECORD; run in the repository root, after the
// build of the deploy file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
// not run. TROUBLE=0 leaves out the disruption.

#include <csignal>
#include <cstdio>
#include <set>
#include <thread>

#include "review/rig.h"

namespace review {
namespace {

constexpr int held = 0;
constexpr int broken = 1;
const char* const key = "key-a";

json job(const std::string& spec, json steps) {
  return {{"Spec", spec}, {"Steps", std::move(steps)}};
}

json lasting_step(int count, int cpu) {
  json out = step(count, cpu);
  out["LongRunning"] = true;
  return out;
}

int verdict(cell& c, bool is_broken, const std::string& why) {
  c.note(std::string(is_broken ? "BROKEN: " : "held: ") + why);
  std::printf("%s%s\n", is_broken ? "BROKEN: " : "held: ", why.c_str());
  return is_broken ? broken : held;
}

// Waits until the task has a run that its runner carries out.
run_seen wait_for_run(cell& c, const std::string& task, double seconds) {
  const double until = c.seconds() + seconds;
  while (c.seconds() < until) {
    if (const auto run = c.live_run(task)) {
      return *run;
    }
    c.sleep(0.02);
  }
  throw cannot_run("no run of " + task);
}

// Large jobs are handed in: 250 map steps, and 250 reduce steps that depend on each of them.
int large_job(const std::string& record) {
  cell c(record, 3, std::vector<runner_plan>(6));
  c.start(plain_config(1));
  const auto ordinary = [&c](int count) {
    std::set<std::string> accepted;
    for (int i = 0; i < count; ++i) {
      const std::string id = new_id();
      const answer a = c.submit("/q/" + id, key, job("300:done", {step(2, 500)}), i % 3);
      if (a.status == 200) {
        accepted.insert(id);
      }
      c.sleep(0.2);
    }
    return accepted;
  };
  const std::set<std::string> before = ordinary(10);
  c.sleep(2);
  for (const std::string& id : before) {
    if (c.state("/q/" + id, key) != "completed") {
      throw cannot_run("an ordinary job before the large ones is not completed");
    }
  }
  if (trouble()) {
    json steps = json::array();
    json maps = json::array();
    constexpr int width = 250;
    for (int i = 0; i < width; ++i) {
      steps.push_back(step(1, 100));
      maps.push_back(i);
    }
    for (int i = 0; i < width; ++i) {
      json reduce = step(1, 100);
      reduce["DependsOn"] = maps;
      steps.push_back(std::move(reduce));
    }
    constexpr int clients = 4;
    c.note("four large jobs are handed in at once");
    std::vector<std::thread> all;
    for (int i = 0; i < clients; ++i) {
      all.emplace_back(
          [&c, &steps, i] { c.submit("/q/" + new_id(), key, job("50:done", steps), i % 3); });
    }
    for (std::thread& client : all) {
      client.join();
    }
  }
  const std::set<std::string> after = ordinary(10);
  c.note("30 s of calm");
  c.sleep(30);
  int unfinished = 0;
  int unstarted = 0;
  for (const std::string& id : after) {
    const std::string state = c.state("/q/" + id, key);
    unfinished += state != "completed" ? 1 : 0;
    unstarted += c.runs_of(id).empty() ? 1 : 0;
  }
  for (int n = 0; n < c.daemon_count(); ++n) {
    c.daemon_alive(n);
  }
  return verdict(c, unstarted > 0,
                 std::to_string(after.size()) + " ordinary jobs accepted after the large ones, " +
                     std::to_string(unfinished) + " not completed and " +
                     std::to_string(unstarted) +
                     " without any start 30 s later, with all six runners up and empty");
}

// The runner of a lasting task crashes three times; another job needs the same kind of runner.
int crowded_out(const std::string& record) {
  std::vector<runner_plan> plans(8);
  plans[7].labels = {"kind-b", "rack-1"};
  cell c(record, 3, plans);
  c.start(plain_config(1));
  json needs_b = lasting_step(1, 1'000);
  needs_b["Requires"] = "kind-b";
  const std::string lasting = new_id();
  if (c.submit("/q/" + lasting, key, job("last", {needs_b})).status != 200) {
    throw cannot_run("the lasting job is not accepted");
  }
  const std::string task = lasting + ".0.0.0";
  wait_for_run(c, task, 5);
  for (int i = 0; i < 3 && trouble(); ++i) {
    c.sleep(3);
    c.crash_runner(7);
    c.sleep(1);
    c.restart_runner(7);
    wait_for_run(c, task, 15);
  }
  c.sleep(5);
  json short_b = step(1, 1'000);
  short_b["Requires"] = "kind-b";
  const std::string other = new_id();
  if (c.submit("/q/" + other, key, job("500:done", {short_b})).status != 200) {
    throw cannot_run("the second job is not accepted");
  }
  c.note("45 s of calm");
  c.sleep(45);
  const std::string state = c.state("/q/" + other, key);
  const bool started = !c.runs_of(other).empty();
  return verdict(c, !started && state != "completed",
                 "the second job is shown as " + state + (started ? ", it has started" : "") +
                     " 45 s after its acceptance; its runner has 7 of 8 cores free");
}

// The runner of a lasting task crashes four times.
int given_up(const std::string& record) {
  cell c(record, 3, std::vector<runner_plan>(8));
  c.start(plain_config(1));
  const std::string lasting = new_id();
  if (c.submit("/q/" + lasting, key, job("last", {lasting_step(1, 1'000)})).status != 200) {
    throw cannot_run("the job is not accepted");
  }
  const std::string task = lasting + ".0.0.0";
  for (int i = 0; i < 4; ++i) {
    const run_seen run = wait_for_run(c, task, 20);
    c.sleep(4);
    if (!trouble()) {
      continue;
    }
    const int number = c.runner_number(run.runner);
    c.crash_runner(number);
    c.sleep(1);
    c.restart_runner(number);
  }
  c.note("30 s of calm");
  c.sleep(30);
  const std::string state = c.state("/q/" + lasting, key);
  const bool runs = c.live_run(task).has_value();
  return verdict(c, !runs || state == "failed",
                 "the lasting job is shown as " + state + ", its task " +
                     (runs ? "runs" : "does not run") + "; no run of it has ended failed");
}

// An entry of another writer names a runner of another system, of a service that is not named here.
int foreign_entry(const std::string& record) {
  std::vector<runner_plan> plans(7);
  constexpr int foreign = 6;
  plans[foreign].pool = "another-service";
  plans[foreign].registers = false;
  plans[foreign].first_token = 100'000;
  cell c(record, 3, plans);
  c.start(plain_config(1));
  const std::string lasting = new_id();
  if (c.submit("/q/" + lasting, key, job("last", {lasting_step(1, 1'000)})).status != 200) {
    throw cannot_run("the lasting job is not accepted");
  }
  wait_for_run(c, lasting + ".0.0.0", 5);
  if (trouble()) {
    c.register_runner(foreign);
  }
  c.sleep(5);
  std::set<std::string> accepted;
  for (int i = 0; i < 10; ++i) {
    const std::string id = new_id();
    if (c.submit("/q/" + id, key, job("300:done", {step(2, 500)}), i % 3).status == 200) {
      accepted.insert(id);
    }
    c.sleep(0.2);
  }
  c.note("30 s of calm");
  c.sleep(30);
  int unstarted = 0;
  for (const std::string& id : accepted) {
    c.state("/q/" + id, key);
    unstarted += c.runs_of(id).empty() ? 1 : 0;
  }
  const bool runs = c.live_run(lasting + ".0.0.0").has_value();
  return verdict(c, unstarted > 0 || !runs,
                 std::to_string(unstarted) + " of " + std::to_string(accepted.size()) +
                     " accepted jobs have not started 30 s later, the task of the lasting job " +
                     (runs ? "runs" : "does not run") + "; all six runners are up");
}

// The only runner of a kind is lost for good; three lasting jobs need that kind. All queues have
// advice, with the terms of two kinds of request of the site.
int advice_taken(const std::string& record) {
  std::vector<runner_plan> plans(8);
  plans[7].labels = {"kind-b", "rack-1"};
  cell c(record, 3, plans);
  json config = plain_config(1);
  json& lasting = config["Routes"][0];
  json batch = lasting;
  lasting["Advice"] = {{"DecideMs", 560}, {"EachMs", 8}, {"ValidMs", 2'000}};
  batch["Name"] = "queue-b";
  batch["PathPrefix"] = "/batch/";
  batch["Priority"] = 2;
  batch["Advice"] = {{"DecideMs", 170}, {"EachMs", 2.4}, {"ValidMs", 2'000}};
  config["Routes"].push_back(batch);
  c.add_advice();
  c.start(config);
  json needs_b = lasting_step(1, 500);
  needs_b["Requires"] = "kind-b";
  constexpr int services = 3;
  for (int i = 0; i < services; ++i) {
    const std::string id = new_id();
    if (c.submit("/q/" + id, key, job("last", {needs_b}), i % 3).status != 200) {
      throw cannot_run("a lasting job is not accepted");
    }
    wait_for_run(c, id + ".0.0.0", 10);
  }
  if (trouble()) {
    c.crash_runner(7);
  }
  c.sleep(15);
  std::set<std::string> accepted;
  for (int i = 0; i < 10; ++i) {
    const std::string id = new_id();
    if (c.submit("/batch/" + id, key, job("300:done", {step(2, 500)}), i % 3).status == 200) {
      accepted.insert(id);
    }
    c.sleep(0.2);
  }
  c.note("45 s of calm");
  c.sleep(45);
  int unstarted = 0;
  for (const std::string& id : accepted) {
    c.state("/batch/" + id, key);
    unstarted += c.runs_of(id).empty() ? 1 : 0;
  }
  return verdict(c, unstarted > 0,
                 std::to_string(unstarted) + " of " + std::to_string(accepted.size()) +
                     " accepted jobs that need no kind have not started 45 s later; seven "
                     "runners are up and empty");
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: review_case NAME RECORD\n");
    return 2;
  }
  const std::string name = argv[1];
  try {
    if (name == "large_job") {
      return review::large_job(argv[2]);
    }
    if (name == "crowded_out") {
      return review::crowded_out(argv[2]);
    }
    if (name == "given_up") {
      return review::given_up(argv[2]);
    }
    if (name == "foreign_entry") {
      return review::foreign_entry(argv[2]);
    }
    if (name == "advice_taken") {
      return review::advice_taken(argv[2]);
    }
    std::fprintf(stderr, "unknown case %s\n", name.c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cannot run: %s\n", error.what());
  }
  return 2;
}

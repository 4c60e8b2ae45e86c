// The scripts of the second review: cases-2 CASE RECORD. Exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is
// left out. Started from the root of the repository.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "rig-2.h"

namespace monsoonmux::review {
namespace {

constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
constexpr millis cancel_bound{3'000};   // cancel_ms
constexpr millis contact{3'000};        // ContactMs
constexpr millis finish_bound{14'000};  // finish_s

bool trouble() {
  const char* const given = std::getenv("TROUBLE");
  return given == nullptr || std::string(given) != "0";
}

json route(const std::string& name, const std::string& prefix) {
  return {{"Name", name},    {"Host", "work.example"},   {"PathPrefix", prefix},
          {"Service", "s0"}, {"MaxAttempts", 3},         {"Stretch", 4.0},
          {"Priority", 1},   {"TargetLatencyMs", 3'000}, {"TimeoutMs", 4'000},
          {"Public", true}};
}

std::string job_id(int number) {
  std::string digits = std::to_string(number);
  return std::string("c0de0000000000000").substr(0, 16 - digits.size()) + digits;
}

json step(int count, std::int64_t cpu, std::int64_t memory, std::int64_t estimate_ms) {
  return {{"Count", count}, {"Cpu", cpu}, {"MemMb", memory}, {"EstimateMs", estimate_ms}};
}

bool is_answer(int status) {
  return (status >= 200 && status < 300) || status == 410;
}

// Jobs are cancelled right after they were accepted, at the daemon that accepted them.
bool prompt_cancels(rig& r) {
  r.routes = {route("queue-a", "/a/")};
  if (!r.boot()) {
    return false;
  }
  struct cancelled {
    std::string id;
    int status = 0;
    instant answered;
  };
  std::vector<cancelled> all;
  constexpr int jobs = 30;
  for (int i = 0; i < jobs; ++i) {
    const int daemon = i % r.options.daemons;
    json second = step(2, 3'000, 512, 1'000);
    second["DependsOn"] = {0};
    const json job = {{"Spec", "0:5000 1:1000"}, {"Steps", {step(2, 3'000, 512, 5'000), second}}};
    const std::string id = job_id(i);
    if (r.submit(daemon, "/a/", id, job) != 200) {
      r.note("not_accepted", {{"job", id}});
      return false;
    }
    if (i % 5 < 2) {  // A share of .4.
      // Right after the answer (two ways of 3 ms and a little of the client's time), or well after.
      r.pump(trouble() ? millis{25} : millis{1'200});
      const int status = r.call("DELETE", daemon, "/a/" + id, "");
      all.push_back({id, status, r.time.now()});
    }
    r.pump(millis{400});
  }
  r.pump(millis{9'000});
  for (const cancelled& c : all) {
    if (!is_answer(c.status)) {
      continue;  // Not acknowledged; the client would ask again.
    }
    int late = 0;
    for (const run_note& n : r.notes) {
      late += n.task.substr(0, 16) == c.id && n.began - c.answered > cancel_bound ? 1 : 0;
    }
    const std::string shown = r.any_state("/a/", c.id);
    if (late > 0) {
      r.fail("UNASKED", c.id + ": DELETE was answered with " + std::to_string(c.status) + ", " +
                            std::to_string(late) +
                            " tasks were started later than cancel_ms after that; it is shown as " +
                            shown);
    }
  }
  return true;
}

// The route of an accepted job is removed while its first step is at work.
bool removed_route(rig& r) {
  json advised = route("queue-a", "/a/");
  advised["Advice"] = {{"DecideMs", 20}, {"EachMs", 0.3}, {"ValidMs", 2'000}};
  // Of the two routes that are removed, one has no Advice; its job is for comparison.
  r.routes = {advised, route("queue-b", "/b/"), route("queue-c", "/c/")};
  if (!r.boot()) {
    return false;
  }
  const std::string id = job_id(1);
  const std::string other = job_id(2);
  const std::string plain = job_id(3);
  r.ticketed_jobs = {id};
  json second = step(2, 6'600, 6'700, 2'000);
  second["DependsOn"] = {0};
  const json job = {{"Spec", "0:5000 1:2000"}, {"Steps", {step(2, 6'600, 6'700, 5'000), second}}};
  if (r.submit(0, "/a/", id, job) != 200 || r.submit(1, "/b/", other, job) != 200 ||
      r.submit(2, "/c/", plain, job) != 200) {
    return false;
  }
  const auto ended = [&r](const std::string& job_step) {
    int out = 0;
    for (const run_note& n : r.notes) {
      out += n.task.rfind(job_step, 0) == 0 && n.how == "done" ? 1 : 0;
    }
    return out == 2;
  };
  r.pump(millis{1'500});
  if (r.notes.size() < 6) {
    r.note("not_started", {});
    return false;
  }
  if (trouble()) {
    r.routes = {route("queue-b", "/b/")};
    r.version += 3;
    r.write_config();
  }
  if (!r.pump_until([&] { return ended(id + ".0.0.") && ended(other + ".0.0."); },
                    millis{10'000})) {
    return false;
  }
  // The second step's turn has come, and seven eighths of the service are free.
  const bool done = r.pump_until([&] { return ended(id + ".0.1."); }, finish_bound + contact);
  r.note("result",
         {{"second_step_done", done},
          {"job_of_the_route_that_stays", r.state(0, "/b/", other)},
          {"second_step_done_of_the_removed_route_without_advice", ended(plain + ".0.1.")},
          {"starts_refused_for_lack_of_a_ticket", r.refused_starts},
          {"runs", r.count_runs(id, "")}});
  if (!done) {
    int begun = 0;
    for (const run_note& n : r.notes) {
      begun += n.task.rfind(id + ".0.1.", 0) == 0 ? 1 : 0;
    }
    r.fail("LOST", id + ": no task of its second step has ended " +
                       std::to_string((finish_bound + contact).value) +
                       " ms after the first step was done; starts of them that a runner took: " +
                       std::to_string(begun));
  }
  if (trouble()) {  // Seen only, not judged: the route comes back.
    r.routes = {advised, route("queue-b", "/b/"), route("queue-c", "/c/")};
    r.version += 3;
    r.write_config();
    const bool then = r.pump_until([&] { return ended(id + ".0.1."); }, finish_bound);
    r.note("after_the_route_came_back",
           {{"second_step_done", then}, {"state", r.any_state("/a/", id)}});
  }
  return true;
}

// The runners of two lasting tasks crash three times each, one runner at a time. Then all is calm.
bool lasting_suspects(rig& r) {
  r.routes = {route("queue-a", "/a/")};
  if (!r.boot()) {
    return false;
  }
  const std::string id = job_id(1);
  const std::vector<std::string> tasks = {id + ".0.0.0", id + ".0.0.1"};
  json lasting = step(2, 8'100, 12'000, 400);
  lasting["LongRunning"] = true;
  if (r.submit(0, "/a/", id, {{"Spec", "0:0"}, {"Steps", {lasting}}}) != 200) {
    return false;
  }
  const auto runner_of = [&r](const std::string& task) {
    small_runner* out = nullptr;
    for (const auto& runner : r.runners) {
      out = runner->is_up && runner->runs_task(task) ? runner.get() : out;
    }
    return out;
  };
  const auto both_run = [&] {
    return runner_of(tasks[0]) != nullptr && runner_of(tasks[1]) != nullptr;
  };
  if (!r.pump_until(both_run, millis{5'000})) {
    r.note("not_started", {});
    return false;
  }
  constexpr millis first_run{16'000};
  constexpr millis at_work{1'500};
  constexpr millis down{4'400};
  constexpr int crashes_each = 3;
  r.pump(first_run);
  std::vector<int> crashes = {0, 0};
  while (trouble() && (crashes[0] < crashes_each || crashes[1] < crashes_each)) {
    const std::size_t next = crashes[1] < crashes[0] ? 1 : 0;
    small_runner* at = nullptr;
    if (!r.pump_until([&] { return (at = runner_of(tasks[next])) != nullptr; }, millis{14'000})) {
      break;
    }
    r.pump(at_work);
    if (!at->runs_task(tasks[next])) {
      continue;
    }
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      crashes[i] += at->runs_task(tasks[i]) ? 1 : 0;
    }
    at->crash();
    r.pump(down);
    at->restart();
  }
  // LOST: from 6 s after its last run, if the 3 s and the 4 s before them are calm.
  constexpr millis after_last_run{6'000};
  constexpr millis calm_before{4'000};
  constexpr millis idle{3'000};
  const instant calm_since = r.time.now();
  const instant calm_until = calm_since + millis{24'000};
  std::vector<instant> idle_since(tasks.size(), calm_since);
  std::vector<millis> longest(tasks.size(), millis{0});
  while (r.time.now() < calm_until) {
    r.pump(millis{50});
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      instant last_end{0};
      for (const run_note& n : r.notes) {
        if (n.task == tasks[i] && n.ended) {
          last_end = std::max(last_end, *n.ended);
        }
      }
      const instant from =
          std::max({idle_since[i], calm_since + calm_before, last_end + after_last_run});
      if (runner_of(tasks[i]) != nullptr) {
        idle_since[i] = r.time.now();
      } else if (r.time.now() > from) {
        longest[i] = std::max(longest[i], r.time.now() - from);
      }
    }
  }
  const std::string shown = r.any_state("/a/", id);
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    r.note("result", {{"task", tasks[i]},
                      {"crashes", crashes[i]},
                      {"longest_without_a_run_that_counts_ms", longest[i].value},
                      {"state", shown}});
    if (longest[i] > idle) {
      r.fail("LOST", tasks[i] + ", which lasts, had no run for " +
                         std::to_string(longest[i].value) +
                         " ms that count, in calm, while the other seven runners of its service " +
                         "held one task; its job is shown as " + shown);
    }
  }
  return true;
}

// The runner of a lasting task is cut off from all daemons, and the last order before that is one
// that it leaves unanswered and carries out late; the time of its lease counts from then.
bool late_grant(rig& r) {
  r.routes = {route("queue-a", "/a/")};
  if (!r.boot()) {
    return false;
  }
  const std::string id = job_id(1);
  const std::string task = id + ".0.0.0";
  json lasting = step(1, 8'100, 12'000, 400);
  lasting["LongRunning"] = true;
  if (r.submit(0, "/a/", id, {{"Spec", "0:0"}, {"Steps", {lasting}}}) != 200) {
    return false;
  }
  // Lasting tasks on all runners, so that each of them is sent orders.
  json others = step(16, 2'000, 2'000, 400);
  others["LongRunning"] = true;
  others["AntiAffinity"] = 2;
  if (r.submit(1, "/a/", job_id(2), {{"Spec", "0:0"}, {"Steps", {others}}}) != 200) {
    return false;
  }
  const auto holders = [&] {
    std::vector<small_runner*> out;
    for (const auto& runner : r.runners) {
      if (runner->is_up && runner->runs_task(task)) {
        out.push_back(runner.get());
      }
    }
    return out;
  };
  constexpr millis cut_time{5'450};
  constexpr millis before_cut{700};
  constexpr millis late_by{3'500};
  constexpr int rounds = 3;
  millis together{0};
  for (int i = 0; i < rounds; ++i) {
    if (!r.pump_until([&] { return holders().size() == 1; }, millis{15'000})) {
      r.note("not_running", {});
      return false;
    }
    r.pump(millis{4'000});
    const std::vector<small_runner*> now = holders();
    if (now.size() != 1) {
      continue;
    }
    small_runner& at = *now.front();
    if (trouble()) {
      bool late = false;
      at.intercept = [&](const http_request& request, const http_respond&) {
        json body = json::parse(request.body, nullptr, false);
        if (late || request.path != "/v1/hold" || !body.contains("UntilMs")) {
          return false;
        }
        late = true;
        body["UntilMs"] = body["UntilMs"].get<std::int64_t>() + late_by.value;
        http_request later = request;
        later.body = body.dump();
        r.note("order_left_unanswered", {{"runner", at.id}, {"late_ms", late_by.value}});
        r.orders = 1;
        r.loop.after(late_by, [&r, &at, later] {
          r.note("order_carried_out_late", {{"runner", at.id}, {"body", later.body}});
          at.execute(later, [](const http_response&) {});
        });
        return true;
      };
      if (!r.pump_until([&late] { return late; }, millis{4'000})) {
        return false;
      }
      r.pump(before_cut);
      at.cut_off(true);
      r.pump(cut_time);
      at.cut_off(false);
      r.note("orders_since_the_late_one", {{"to_all_runners", r.orders}});
      at.intercept = nullptr;
    }
    const instant until = r.time.now() + millis{8'000};
    instant last = r.time.now();
    while (r.time.now() < until) {
      r.pump(millis{10});
      if (holders().size() > 1) {
        together += r.time.now() - last;
      }
      last = r.time.now();
    }
  }
  r.note("result", {{"two_runs_at_once_ms", together.value}, {"runs", r.count_runs(id, "")}});
  if (together > millis{0}) {
    r.fail("TWICE", task + " had two runs at once, on two runners that are up, for " +
                        std::to_string(together.value) + " ms");
  }
  return true;
}

// The runner of a lasting task is lost for good three times. At the last loss each other runner
// holds one task of an ordinary job.
bool lasting_alone(rig& r) {
  r.routes = {route("queue-a", "/a/"), route("queue-b", "/b/")};
  if (!r.boot()) {
    return false;
  }
  const std::string id = job_id(1);
  const std::string beside = job_id(2);
  const std::string task = id + ".0.0.0";
  json lasting = step(1, 8'100, 12'000, 400);
  lasting["LongRunning"] = true;
  if (r.submit(0, "/a/", id, {{"Spec", "0:0"}, {"Steps", {lasting}}}) != 200) {
    return false;
  }
  const auto runner_of = [&r](const std::string& name) {
    small_runner* out = nullptr;
    for (const auto& runner : r.runners) {
      out = runner->is_up && runner->runs_task(name) ? runner.get() : out;
    }
    return out;
  };
  constexpr millis at_work{2'000};
  constexpr int losses = 3;
  constexpr int ordinary_ms = 14'000;
  for (int i = 0; i < losses; ++i) {
    if (!r.pump_until([&] { return runner_of(task) != nullptr; }, millis{14'000})) {
      r.note("not_running", {});
      return false;
    }
    r.pump(at_work);
    if (i + 1 == losses) {
      json ordinary = step(r.options.runners - i, 6'600, 6'700, ordinary_ms);
      ordinary["AntiAffinity"] = 1;
      if (r.submit(0, "/b/", beside,
                   {{"Spec", "0:" + std::to_string(ordinary_ms)}, {"Steps", {ordinary}}}) != 200) {
        return false;
      }
      r.pump(millis{1'000});
    }
    if (trouble()) {
      runner_of(task)->crash();
    }
  }
  const instant lost = r.time.now();
  // From 6 s after its last run; and 4 s after the platform has dropped the entry, which takes 4.5
  // s.
  constexpr millis after_last_run{8'500};
  constexpr millis idle{3'000};
  millis longest{0};
  while (r.time.now() - lost < millis{16'000}) {
    r.pump(millis{50});
    if (runner_of(task) != nullptr) {
      if (r.time.now() - lost > after_last_run) {
        break;
      }
    } else if (r.time.now() - lost > after_last_run) {
      longest = r.time.now() - lost - after_last_run;
    }
  }
  r.note("result", {{"without_a_run_that_counts_ms", longest.value},
                    {"runners", r.options.runners},
                    {"state", r.any_state("/a/", id)}});
  if (longest > idle) {
    r.fail("LOST", task + ", which lasts, had no run for " + std::to_string(longest.value) +
                       " ms that count, in calm, while each of the runners that are left held one "
                       "task of a fifth of its cores");
  }
  return true;
}

}  // namespace
}  // namespace monsoonmux::review

int main(int argc, char** argv) {
  using namespace monsoonmux::review;
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::cerr << "cases-2 CASE RECORD\n";
    return exit_not_run;
  }
  const std::string name = argv[1];
  rig_options options;
  options.record = argv[2];
  bool (*play)(rig&) = nullptr;
  if (name == "prompt_cancels") {
    play = prompt_cancels;
  } else if (name == "lasting_suspects") {
    play = lasting_suspects;
  } else if (name == "late_grant") {
    play = late_grant;
  } else if (name == "lasting_alone") {
    play = lasting_alone;
    options.runners = 12;
  } else if (name == "removed_route") {
    play = removed_route;
    options.advice = true;
  }
  if (play == nullptr) {
    std::cerr << "no such case: " << name << "\n";
    return exit_not_run;
  }
  try {
    rig r(options);
    const bool played = play(r);
    if (!played || r.daemon_ends > 0) {
      std::cout << name << ": could not run\n";
      return exit_not_run;
    }
    for (const std::string& b : r.broken) {
      std::cout << "broken: " << b << "\n";
    }
    std::cout << name << (r.broken.empty() ? ": held" : ": broken") << "\n";
    return r.broken.empty() ? 0 : exit_broken;
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return exit_not_run;
  }
}

// One small checker class per guarantee; each receives every event in order of time. The checkers
// share no code with the scheduler, so that an error in the scheduler is not repeated in its
// checker. Events of the same millisecond keep the order in which one worker recorded them. Across
// workers, task ends come first, since resources that are freed on one worker may be used on
// another within the same millisecond.

#include "history/checker.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace monsoonmux {
namespace {

class guarantee_rule {
 public:
  guarantee_rule(guarantee violated, std::vector<violation>& found)
      : violated(violated), found(found) {}
  virtual ~guarantee_rule() = default;
  virtual void on_event(const history_event& e) = 0;
  virtual void finish() {}

 protected:
  void report(std::int64_t at, std::string detail) {
    this->found.push_back({this->violated, at, std::move(detail)});
  }

 private:
  guarantee violated;
  std::vector<violation>& found;
};

class overcommit_rule final : public guarantee_rule {
 public:
  using guarantee_rule::guarantee_rule;
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::worker_size) {
      this->totals[e.subject] = e.amount;
    } else if (e.kind == history_kind::task_started) {
      this->used[e.subject] += e.amount;
      this->running_amounts[{e.subject, e.task}] = e.amount;
      if (!this->used[e.subject].fits(this->totals[e.subject])) {
        this->report(e.at_ms, "worker " + e.subject + " is overcommitted by " + e.task);
      }
    } else if (e.kind == history_kind::task_stopped) {
      const auto it = this->running_amounts.find({e.subject, e.task});
      if (it != this->running_amounts.end()) {
        this->used[e.subject] -= it->second;
        this->running_amounts.erase(it);
      }
    }
  }

 private:
  std::map<std::string, resources> totals;
  std::map<std::string, resources> used;
  std::map<std::pair<std::string, std::string>, resources> running_amounts;
};

class one_place_rule final : public guarantee_rule {
 public:
  using guarantee_rule::guarantee_rule;
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::task_started) {
      auto& places = this->running[e.task];
      if (!places.empty()) {
        this->report(e.at_ms, e.task + " runs on " + *places.begin() + " and on " + e.subject);
      }
      places.insert(e.subject);
    } else if (e.kind == history_kind::task_stopped) {
      this->running[e.task].erase(e.subject);
    }
  }

 private:
  std::map<std::string, std::set<std::string>> running;
};

// The usage of a team must fit at least one of the limits that were in force within the last
// `bound`. A lowered limit therefore takes full effect only after `bound`.
class limit_rule final : public guarantee_rule {
 public:
  limit_rule(guarantee violated, std::vector<violation>& found, millis bound)
      : guarantee_rule(violated, found), bound(bound) {}

  void on_event(const history_event& e) override {
    if (e.kind == history_kind::limit_in_force) {
      this->limits[e.team].push_back({e.at_ms, e.amount});
    } else if (e.kind == history_kind::task_started) {
      this->used[e.team] += e.amount;
      this->running_amounts[{e.subject, e.task}] = {e.team, e.amount};
      if (!this->allowed(e.team, e.at_ms, this->used[e.team])) {
        this->report(e.at_ms, "team " + e.team + " exceeds its limit with " + e.task);
      }
    } else if (e.kind == history_kind::task_stopped) {
      const auto it = this->running_amounts.find({e.subject, e.task});
      if (it != this->running_amounts.end()) {
        this->used[it->second.team] -= it->second.amount;
        this->running_amounts.erase(it);
      }
    }
  }

 private:
  struct limit {
    std::int64_t since = 0;
    resources amount;
  };
  struct team_amount {
    std::string team;
    resources amount;
  };

  bool allowed(const std::string& team, std::int64_t now, const resources& used) const {
    const auto it = this->limits.find(team);
    if (it == this->limits.end()) {
      return true;
    }
    for (std::size_t i = 0; i < it->second.size(); ++i) {
      const bool current = i + 1 == it->second.size();
      const bool recent = !current && it->second[i + 1].since + this->bound.value >= now;
      if ((current || recent) && used.fits(it->second[i].amount)) {
        return true;
      }
    }
    return false;
  }

  millis bound;
  std::map<std::string, std::vector<limit>> limits;
  std::map<std::string, resources> used;
  std::map<std::pair<std::string, std::string>, team_amount> running_amounts;
};

class key_rule final : public guarantee_rule {
 public:
  key_rule(guarantee violated, std::vector<violation>& found, millis bound)
      : guarantee_rule(violated, found), bound(bound) {}
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::key_withdrawn) {
      this->withdrawn.emplace(e.text, e.at_ms);
    } else if (e.kind == history_kind::key_used && e.flag) {
      const auto it = this->withdrawn.find(e.text);
      if (it != this->withdrawn.end() && e.at_ms > it->second + this->bound.value) {
        this->report(e.at_ms, "withdrawn key " + e.text + " was accepted");
      }
    }
  }

 private:
  millis bound;
  std::map<std::string, std::int64_t> withdrawn;
};

class answer_rule final : public guarantee_rule {
 public:
  using guarantee_rule::guarantee_rule;
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::call_answered && e.phase == "answered" && e.text != e.task) {
      this->report(e.at_ms, "call " + e.task + " got the answer of " + e.text);
    }
  }
};

class not_run_rule final : public guarantee_rule {
 public:
  using guarantee_rule::guarantee_rule;
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::call_ran) {
      this->ran.emplace(e.task, e.at_ms);
    } else if (e.kind == history_kind::call_answered && e.phase == "not_run") {
      this->refused.insert(e.task);
    }
  }
  void finish() override {
    for (const std::string& call : this->refused) {
      if (const auto it = this->ran.find(call); it != this->ran.end()) {
        this->report(it->second, "call " + call + " ran but was reported as not_run");
      }
    }
  }

 private:
  std::map<std::string, std::int64_t> ran;
  std::set<std::string> refused;
};

class at_most_once_rule final : public guarantee_rule {
 public:
  using guarantee_rule::guarantee_rule;
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::call_sent && !e.flag) {
      this->single.insert(e.task);
    } else if (e.kind == history_kind::call_ran && ++this->runs[e.task] > 1 &&
               this->single.count(e.task) != 0) {
      this->report(e.at_ms, "call " + e.task + " is not idempotent and ran again");
    }
  }

 private:
  std::set<std::string> single;
  std::map<std::string, int> runs;
};

class leaving_rule final : public guarantee_rule {
 public:
  leaving_rule(guarantee violated, std::vector<violation>& found, millis bound)
      : guarantee_rule(violated, found), bound(bound) {}
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::runner_left) {
      this->left.emplace(e.subject, e.at_ms);
    } else if (e.kind == history_kind::call_ran) {
      const auto it = this->left.find(e.subject);
      if (it != this->left.end() && e.at_ms > it->second + this->bound.value) {
        this->report(e.at_ms, "leaving runner " + e.subject + " got call " + e.task);
      }
    }
  }

 private:
  millis bound;
  std::map<std::string, std::int64_t> left;
};

class request_cut_rule final : public guarantee_rule {
 public:
  using guarantee_rule::guarantee_rule;
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::stop_planned) {
      this->planned.insert(e.subject);
    } else if (e.kind == history_kind::request_cut && this->planned.count(e.subject) != 0) {
      this->report(e.at_ms, "the planned stop of " + e.subject + " interrupted a request");
    }
  }

 private:
  std::set<std::string> planned;
};

class monotonic_rule final : public guarantee_rule {
 public:
  using guarantee_rule::guarantee_rule;
  void on_event(const history_event& e) override {
    if (e.kind != history_kind::config_seen) {
      return;
    }
    std::int64_t& known = this->versions[e.subject];
    if (e.number < known) {
      this->report(e.at_ms, "configuration of " + e.subject + " went back from " +
                                std::to_string(known) + " to " + std::to_string(e.number));
    }
    known = e.number;
  }

 private:
  std::map<std::string, std::int64_t> versions;
};

class in_force_rule final : public guarantee_rule {
 public:
  in_force_rule(guarantee violated, std::vector<violation>& found, millis bound)
      : guarantee_rule(violated, found), bound(bound) {}
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::config_accepted) {
      this->accepted.emplace(e.number, e.at_ms);
    } else if (e.kind == history_kind::config_seen) {
      const auto newer = this->accepted.upper_bound(e.number);
      if (newer != this->accepted.end() && e.at_ms > newer->second + this->bound.value) {
        this->report(e.at_ms,
                     e.subject + " still has configuration version " + std::to_string(e.number));
      }
    }
  }

 private:
  millis bound;
  std::map<std::int64_t, std::int64_t> accepted;
};

class lost_work_rule final : public guarantee_rule {
 public:
  lost_work_rule(guarantee violated, std::vector<violation>& found, bool complete)
      : guarantee_rule(violated, found), complete(complete) {}
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::job_accepted) {
      this->open_jobs[e.task] = e.number;
    } else if (e.kind == history_kind::job_cancelled) {
      this->open_jobs.erase(e.task);
    } else if (e.kind == history_kind::task_recorded) {
      this->ended[e.task.substr(0, e.task.rfind('/'))].insert(e.task);
    }
  }
  void finish() override {
    for (const auto& [job, tasks] : this->open_jobs) {
      const auto done = static_cast<std::int64_t>(this->ended[job].size());
      if (this->complete && done < tasks) {
        this->report(0, "job " + job + " has " + std::to_string(done) + " of " +
                            std::to_string(tasks) + " tasks ended");
      }
    }
  }

 private:
  bool complete;
  std::map<std::string, std::int64_t> open_jobs;
  std::map<std::string, std::set<std::string>> ended;
};

// A task is not started again after its end was recorded, and a task that is recorded as succeeded
// has succeeded on a worker.
class finished_once_rule final : public guarantee_rule {
 public:
  using guarantee_rule::guarantee_rule;
  void on_event(const history_event& e) override {
    if (e.kind == history_kind::task_stopped && e.phase == "succeeded") {
      this->succeeded.insert(e.task);
    } else if (e.kind == history_kind::task_recorded) {
      if (e.phase == "succeeded" && this->succeeded.count(e.task) == 0) {
        this->report(e.at_ms, e.task + " is recorded as succeeded but did not succeed");
      }
      this->recorded.insert(e.task);
    } else if (e.kind == history_kind::task_started && this->recorded.count(e.task) != 0) {
      this->report(e.at_ms, e.task + " started again after its end was recorded");
    }
  }

 private:
  std::set<std::string> succeeded;
  std::set<std::string> recorded;
};

// Moves events of the same millisecond to `out`. Events of one subject keep their order; across
// subjects, task ends come first.
void append_instant_events(std::map<std::string, std::deque<history_event>>& by_subject,
                           history& out) {
  const auto is_end = [](const auto& item) {
    return !item.second.empty() && item.second.front().kind == history_kind::task_stopped;
  };
  const auto any = [](const auto& item) { return !item.second.empty(); };
  for (;;) {
    auto next = std::find_if(by_subject.begin(), by_subject.end(), is_end);
    if (next == by_subject.end()) {
      next = std::find_if(by_subject.begin(), by_subject.end(), any);
    }
    if (next == by_subject.end()) {
      by_subject.clear();
      return;
    }
    out.push_back(next->second.front());
    next->second.pop_front();
  }
}

history sort_events(const history& events) {
  history sorted = events;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const history_event& a, const history_event& b) { return a.at_ms < b.at_ms; });
  history out;
  std::map<std::string, std::deque<history_event>> events_by_subject;
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    events_by_subject[sorted[i].subject].push_back(sorted[i]);
    if (i + 1 == sorted.size() || sorted[i + 1].at_ms != sorted[i].at_ms) {
      append_instant_events(events_by_subject, out);
    }
  }
  return out;
}

constexpr std::array<std::string_view, 13> names = {
    "no_overcommit",   "one_place",    "upper_limit",    "withdrawn_key",  "own_answer",
    "not_run_is_true", "at_most_once", "leaving_runner", "no_request_cut", "config_monotonic",
    "config_in_force", "nothing_lost", "finished_once"};

std::vector<std::unique_ptr<guarantee_rule>> make_rules(const checker_options& o,
                                                        std::vector<violation>& found) {
  std::vector<std::unique_ptr<guarantee_rule>> rules;
  rules.push_back(std::make_unique<overcommit_rule>(guarantee::no_overcommit, found));
  rules.push_back(std::make_unique<one_place_rule>(guarantee::one_place, found));
  rules.push_back(std::make_unique<limit_rule>(guarantee::upper_limit, found, o.limit_bound));
  rules.push_back(std::make_unique<key_rule>(guarantee::withdrawn_key, found, o.key_bound));
  rules.push_back(std::make_unique<answer_rule>(guarantee::own_answer, found));
  rules.push_back(std::make_unique<not_run_rule>(guarantee::not_run_is_true, found));
  rules.push_back(std::make_unique<at_most_once_rule>(guarantee::at_most_once, found));
  rules.push_back(
      std::make_unique<leaving_rule>(guarantee::leaving_runner, found, o.leaving_bound));
  rules.push_back(std::make_unique<request_cut_rule>(guarantee::no_request_cut, found));
  rules.push_back(std::make_unique<monotonic_rule>(guarantee::config_monotonic, found));
  rules.push_back(
      std::make_unique<in_force_rule>(guarantee::config_in_force, found, o.config_bound));
  rules.push_back(std::make_unique<lost_work_rule>(guarantee::nothing_lost, found, o.complete));
  rules.push_back(std::make_unique<finished_once_rule>(guarantee::finished_once, found));
  return rules;
}

}  // namespace

std::string_view to_string(guarantee value) {
  return names.at(static_cast<std::size_t>(value));
}

std::vector<violation> check_history(const history& events, const checker_options& options) {
  std::vector<violation> found;
  const auto rules = make_rules(options, found);
  const history sorted = sort_events(events);
  for (const history_event& e : sorted) {
    for (const auto& r : rules) {
      r->on_event(e);
    }
  }
  for (const auto& r : rules) {
    r->finish();
  }
  return found;
}

}  // namespace monsoonmux

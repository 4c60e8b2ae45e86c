// Replays the log. All durable state is a function of the log prefix, and each record is
// idempotent. An append whose answer was lost is therefore simply repeated, and a record that is
// written again before the log's retention removes it merges into the known state. Job state is a
// lattice (see task_state), so an old copy that arrives late cannot undo a completion. The obvious
// alternative, a snapshot that covers the log up to an offset, would require that nobody else
// writes while the snapshot is taken.

#include "state/replica.h"

#include <algorithm>

namespace monsoonmux {
namespace {

constexpr std::size_t max_writers = 4'096;

}  // namespace

replica::replica() {
  auto empty = std::make_shared<config_view>();
  empty->text = "{}";
  this->current = empty;
}

void replica::watch_own_records(const daemon_id& writer, std::int64_t incarnation,
                                own_record_callback seen) {
  this->own_writer = writer;
  this->own_incarnation = incarnation;
  this->on_own_record = std::move(seen);
}

void replica::apply(const std::string& bytes, instant now) {
  ++this->entries;
  this->apply_time = now;
  auto decoded = decode_envelope(bytes);
  if (decoded.has_error()) {
    ++this->skipped;
    return;
  }
  const envelope& e = decoded.value();
  const writer_key key{e.writer, e.incarnation};
  auto [it, inserted] = this->last_sequence.try_emplace(key, e.sequence);
  if (!inserted && it->second >= e.sequence) {
    return;
  }
  it->second = e.sequence;
  if (this->last_sequence.size() > max_writers) {
    this->last_sequence.erase(this->last_sequence.begin());
  }
  const bool own = e.writer == this->own_writer && e.incarnation == this->own_incarnation;
  for (std::size_t record_index = 0; record_index < e.records.size(); ++record_index) {
    const record_outcome outcome = std::visit(
        [this](const auto& r) { return this->apply_record(r); }, e.records[record_index]);
    if (own && this->on_own_record) {
      this->on_own_record(e.sequence, record_index, outcome);
    }
  }
}

record_outcome replica::apply_record(const config_patch& r) {
  const config_ptr before = this->config();
  if (r.base != before->version) {
    return record_outcome::lost_race;
  }
  auto patched = patch_document(before->text, r.patch);
  if (patched.has_error()) {
    return record_outcome::invalid;
  }
  auto doc = document::parse(patched.value());
  const config_version next{before->version.value + 1};
  this->install(next, patched.value(), std::move(doc.value()));
  const std::lock_guard guard(this->config_lock);
  this->history.push_back({next, r.author, r.patch, r.wall_ms});
  if (this->history.size() > max_history) {
    this->history.pop_front();
  }
  return record_outcome::applied;
}

record_outcome replica::apply_record(const config_refresh& r) {
  const config_ptr before = this->config();
  if (r.version < before->version) {
    return record_outcome::lost_race;
  }
  if (r.version == before->version) {
    const std::lock_guard guard(this->config_lock);
    this->config_time = this->apply_time;
    return record_outcome::applied;
  }
  auto doc = document::parse(r.text);
  if (doc.has_error()) {
    return record_outcome::invalid;
  }
  this->install(r.version, r.text, std::move(doc.value()));
  const std::lock_guard guard(this->budget_lock);
  this->budgets.restore_limit_versions(r.limits);
  return record_outcome::applied;
}

config_refresh replica::make_refresh() const {
  const config_ptr view = this->config();
  const std::lock_guard guard(this->budget_lock);
  return {view->version, view->text, this->budgets.limit_versions()};
}

void replica::install(config_version version, const std::string& text, document doc) {
  auto view = std::make_shared<config_view>();
  view->version = version;
  view->text = text;
  view->keys = key_ring(doc);
  view->doc = std::move(doc);
  {
    const std::lock_guard guard(this->budget_lock);
    this->budgets.configure(view->doc, version);
  }
  const std::lock_guard guard(this->config_lock);
  this->current = view;
  this->config_time = this->apply_time;
}

record_outcome replica::apply_record(const job_record& r) {
  const job& incoming = r.value;
  if (incoming.spec.tasks < 1 ||
      incoming.tasks.size() != static_cast<std::size_t>(incoming.spec.tasks)) {
    return record_outcome::invalid;
  }
  shard& s = this->shard_of(incoming.spec.id);
  const std::lock_guard guard(s.lock);
  auto [it, inserted] = s.jobs.try_emplace(incoming.spec.id);
  it->second.written = this->apply_time;
  if (inserted) {
    it->second.value = incoming;
    this->record_change(incoming.spec.id);
    return record_outcome::applied;
  }
  job& known = it->second.value;
  if (known.tasks.size() != incoming.tasks.size()) {
    return record_outcome::duplicate;
  }
  known.cancelled = known.cancelled || incoming.cancelled;
  for (std::size_t i = 0; i < known.tasks.size(); ++i) {
    known.tasks[i].merge(incoming.tasks[i]);
  }
  return record_outcome::duplicate;
}

record_outcome replica::apply_record(const job_cancel& r) {
  shard& s = this->shard_of(r.id);
  const std::lock_guard guard(s.lock);
  const auto it = s.jobs.find(r.id);
  if (it == s.jobs.end()) {
    return record_outcome::invalid;
  }
  it->second.value.cancelled = true;
  this->record_change(r.id);
  return record_outcome::applied;
}

record_outcome replica::apply_record(const job_unsatisfiable& r) {
  shard& s = this->shard_of(r.id);
  const std::lock_guard guard(s.lock);
  const auto it = s.jobs.find(r.id);
  if (it == s.jobs.end()) {
    return record_outcome::invalid;
  }
  it->second.value.unsatisfiable = r.reason;
  return record_outcome::applied;
}

record_outcome replica::apply_record(const task_updates& r) {
  for (const task_update& update : r.updates) {
    shard& s = this->shard_of(update.id.job);
    const std::lock_guard guard(s.lock);
    const auto it = s.jobs.find(update.id.job);
    const auto index = static_cast<std::size_t>(update.id.index);
    if (it != s.jobs.end() && update.id.index >= 0 && index < it->second.value.tasks.size()) {
      it->second.value.tasks[index].merge(update.state);
    }
  }
  return record_outcome::applied;
}

record_outcome replica::apply_record(const worker_joined& r) {
  const std::lock_guard guard(this->worker_lock);
  this->worker_domains[r.worker] = r.domain;
  return record_outcome::applied;
}

record_outcome replica::apply_record(const worker_left& r) {
  const std::lock_guard guard(this->worker_lock);
  this->worker_domains.erase(r.worker);
  return record_outcome::applied;
}

record_outcome replica::apply_record(const fencing_record& r) {
  const std::lock_guard guard(this->budget_lock);
  return this->budgets.fence(r) ? record_outcome::applied : record_outcome::lost_race;
}

record_outcome replica::apply_record(const budget_transfer& r) {
  const std::lock_guard guard(this->budget_lock);
  return this->budgets.apply(r) ? record_outcome::applied : record_outcome::invalid;
}

config_ptr replica::config() const {
  const std::lock_guard guard(this->config_lock);
  return this->current;
}

std::vector<config_change> replica::config_history() const {
  const std::lock_guard guard(this->config_lock);
  return {this->history.begin(), this->history.end()};
}

std::optional<job> replica::find_job(const job_id& id) const {
  const shard& s = this->shard_of(id);
  const std::lock_guard guard(s.lock);
  const auto it = s.jobs.find(id);
  if (it == s.jobs.end()) {
    return std::nullopt;
  }
  return it->second.value;
}

std::vector<job> replica::jobs(const team_id& team, std::size_t limit) const {
  std::vector<job> out;
  for (const shard& s : this->shards) {
    const std::lock_guard guard(s.lock);
    for (const auto& [name, entry] : s.jobs) {
      if (team.empty() || entry.value.spec.team == team) {
        out.push_back(entry.value);
      }
    }
  }
  std::sort(out.begin(), out.end(), [](const job& a, const job& b) {
    return std::tie(a.accepted_ms, a.spec.id) < std::tie(b.accepted_ms, b.spec.id);
  });
  if (out.size() > limit) {
    out.erase(out.begin(), out.end() - static_cast<std::ptrdiff_t>(limit));
  }
  return out;
}

void replica::for_each_open_job(const domain_id& domain,
                                const std::function<void(const job&)>& visit) const {
  const auto in_domain = [&](const job_part& part) { return part.domain == domain; };
  for (const shard& s : this->shards) {
    const std::lock_guard guard(s.lock);
    for (const auto& [name, entry] : s.jobs) {
      const auto& parts = entry.value.parts;
      if (!entry.value.finished() && std::any_of(parts.begin(), parts.end(), in_domain)) {
        visit(entry.value);
      }
    }
  }
}

std::size_t replica::job_count() const {
  std::size_t count = 0;
  for (const shard& s : this->shards) {
    const std::lock_guard guard(s.lock);
    count += s.jobs.size();
  }
  return count;
}

std::set<worker_id> replica::workers(const domain_id& domain) const {
  const std::lock_guard guard(this->worker_lock);
  std::set<worker_id> out;
  for (const auto& [worker, home] : this->worker_domains) {
    if (home == domain) {
      out.insert(worker);
    }
  }
  return out;
}

resources replica::budget_share(const team_id& team, const domain_id& domain) const {
  const std::lock_guard guard(this->budget_lock);
  return this->budgets.budget_share(team, domain);
}

resources replica::guaranteed_budget(const team_id& team, const domain_id& domain) const {
  const std::lock_guard guard(this->budget_lock);
  return this->budgets.guaranteed_budget(team, domain);
}

config_version replica::limit_version(const team_id& team) const {
  const std::lock_guard guard(this->budget_lock);
  return this->budgets.limit_version(team);
}

resources replica::budget_given(const team_id& team, const domain_id& from,
                                const domain_id& to) const {
  const std::lock_guard guard(this->budget_lock);
  return this->budgets.given(team, from, to);
}

std::vector<budget_transfer> replica::budget_records() const {
  const std::lock_guard guard(this->budget_lock);
  return this->budgets.records();
}

epoch replica::fence_epoch(const domain_id& domain) const {
  const std::lock_guard guard(this->budget_lock);
  return this->budgets.fence_epoch(domain);
}

std::int64_t replica::fence_count(const domain_id& domain) const {
  const std::lock_guard guard(this->budget_lock);
  return this->budgets.fence_count(domain);
}

std::vector<job> replica::jobs_written_before(instant written_before, std::size_t limit) const {
  std::vector<std::pair<instant, job>> found;
  for (const shard& s : this->shards) {
    const std::lock_guard guard(s.lock);
    for (const auto& [name, entry] : s.jobs) {
      if (entry.written < written_before) {
        found.emplace_back(entry.written, entry.value);
      }
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.second.spec.id) < std::tie(b.first, b.second.spec.id);
  });
  std::vector<job> out;
  for (std::size_t i = 0; i < std::min(limit, found.size()); ++i) {
    out.push_back(std::move(found[i].second));
  }
  return out;
}

instant replica::config_written() const {
  const std::lock_guard guard(this->config_lock);
  return this->config_time;
}

std::int64_t replica::applied_entries() const {
  return this->entries;
}

std::int64_t replica::skipped_entries() const {
  return this->skipped;
}

std::vector<std::string> replica::snapshot(std::int64_t number) const {
  envelope e{daemon_id("snapshot"), number, 0, {}};
  std::vector<std::string> out;
  const auto flush = [&] {
    ++e.sequence;
    out.push_back(encode(e));
    e.records.clear();
  };
  e.records.emplace_back(this->make_refresh());
  for (const budget_transfer& t : this->budget_records()) {
    e.records.emplace_back(t);
  }
  {
    const std::lock_guard guard(this->worker_lock);
    for (const auto& [worker, domain] : this->worker_domains) {
      e.records.emplace_back(worker_joined{worker, domain});
    }
  }
  flush();
  for (const shard& s : this->shards) {
    const std::lock_guard guard(s.lock);
    for (const auto& [name, entry] : s.jobs) {
      e.records.emplace_back(job_record{entry.value});
    }
    if (!e.records.empty()) {
      flush();
    }
  }
  return out;
}

void replica::record_change(const job_id& id) {
  const std::lock_guard guard(this->change_lock);
  this->changes.push_back(id);
  ++this->change_count;
  if (this->changes.size() > max_changes) {
    this->changes.pop_front();
  }
}

std::optional<std::vector<job_id>> replica::changed_since(std::int64_t& cursor) const {
  const std::lock_guard guard(this->change_lock);
  const std::int64_t oldest = this->change_count - static_cast<std::int64_t>(this->changes.size());
  const std::int64_t from = cursor;
  cursor = this->change_count;
  if (from < oldest) {
    return std::nullopt;
  }
  return std::vector<job_id>(this->changes.begin() + (from - oldest), this->changes.end());
}

void replica::remove_finished_jobs(std::int64_t before_ms) {
  for (shard& s : this->shards) {
    const std::lock_guard guard(s.lock);
    std::erase_if(s.jobs, [&](const auto& item) {
      const job& j = item.second.value;
      return j.finished() && j.accepted_ms < before_ms &&
             std::all_of(j.tasks.begin(), j.tasks.end(),
                         [&](const task_state& t) { return t.ended_ms < before_ms; });
    });
  }
}

replica::shard& replica::shard_of(const job_id& id) {
  return this->shards[std::hash<job_id>{}(id) % shard_count];
}

const replica::shard& replica::shard_of(const job_id& id) const {
  return this->shards[std::hash<job_id>{}(id) % shard_count];
}

}  // namespace monsoonmux

// Parses the configuration document. An object_reader knows the JSON pointer of the value
// that it reads, so that each error names its location, and it records the members read,
// so that a misspelt member is an error and not a silent default. Invariant: each
// `document` has passed all checks, so later stages do not check it again. A schema library
// could check the types, but not the references between the sections.

#include "config/document.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace monsoonmux {
namespace {

using json = nlohmann::json;

constexpr std::int64_t max_share = 1'000'000;
constexpr std::int64_t max_amount = 1'000'000'000'000;
constexpr std::int64_t max_deadline_ms = 600'000;
constexpr std::int64_t max_waiting = 100'000;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t hash_hex_digits = 64;
constexpr std::size_t max_electors = 15;

// Thrown and caught inside this file only; parse() converts it into a failure.
struct invalid {
  std::string detail;
};

bool valid_name(const std::string& name) {
  const auto ok = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= max_name_bytes &&
         std::all_of(name.begin(), name.end(), ok);
}

// Reads one JSON object; finish() rejects members that were not read.
class object_reader {
 public:
  object_reader(const json& value, std::string path) : value(value), path(std::move(path)) {
    if (!value.is_object()) {
      throw invalid{this->path + ": expected an object"};
    }
  }

  const json* find(const std::string& name) {
    this->known_members.insert(name);
    const auto it = this->value.find(name);
    return it == this->value.end() ? nullptr : &*it;
  }

  std::int64_t integer(const std::string& name, std::int64_t low, std::int64_t high,
                       std::int64_t fallback) {
    const json* member = this->find(name);
    if (member == nullptr) {
      return fallback;
    }
    if (!member->is_number_integer() || *member < low || *member > high) {
      throw invalid{this->pointer_to(name) + ": expected an integer from " + std::to_string(low) +
                    " to " + std::to_string(high)};
    }
    return member->get<std::int64_t>();
  }

  std::string text(const std::string& name, const std::string& fallback) {
    const json* member = this->find(name);
    if (member == nullptr) {
      return fallback;
    }
    if (!member->is_string()) {
      throw invalid{this->pointer_to(name) + ": expected a string"};
    }
    return member->get<std::string>();
  }

  bool flag(const std::string& name) {
    const json* member = this->find(name);
    if (member == nullptr) {
      return false;
    }
    if (!member->is_boolean()) {
      throw invalid{this->pointer_to(name) + ": expected true or false"};
    }
    return member->get<bool>();
  }

  std::vector<std::string> texts(const std::string& name) {
    std::vector<std::string> out;
    const json* member = this->find(name);
    if (member == nullptr) {
      return out;
    }
    if (!member->is_array()) {
      throw invalid{this->pointer_to(name) + ": expected an array of strings"};
    }
    for (const json& item : *member) {
      if (!item.is_string()) {
        throw invalid{this->pointer_to(name) + ": expected an array of strings"};
      }
      out.push_back(item.get<std::string>());
    }
    return out;
  }

  // Calls read(name, object) for each member of the object `name`.
  template <class Read>
  void each(const std::string& name, Read read) {
    const json* member = this->find(name);
    if (member == nullptr) {
      return;
    }
    if (!member->is_object()) {
      throw invalid{this->pointer_to(name) + ": expected an object"};
    }
    for (const auto& item : member->items()) {
      const std::string location = this->pointer_to(name) + "/" + item.key();
      if (!valid_name(item.key())) {
        throw invalid{location + ": a name has 1 to 64 letters, digits, '-', '_' or '.'"};
      }
      object_reader inner(item.value(), location);
      read(item.key(), inner);
      inner.finish();
    }
  }

  void finish() const {
    for (const auto& item : this->value.items()) {
      if (this->known_members.count(item.key()) == 0) {
        throw invalid{this->pointer_to(item.key()) + ": unknown member"};
      }
    }
  }

  std::string pointer_to(const std::string& name) const { return this->path + "/" + name; }

 private:
  const json& value;
  std::string path;
  std::set<std::string> known_members;
};

team_limit read_limit(object_reader& parent) {
  team_limit limit;
  limit.tasks = {{max_amount}, {max_amount}, {max_amount}};
  limit.calls = max_amount;
  const json* member = parent.find("limit");
  if (member == nullptr) {
    return limit;
  }
  object_reader in(*member, parent.pointer_to("limit"));
  limit.tasks.cpu.value = in.integer("cpu", 0, max_amount, max_amount);
  limit.tasks.memory.value = in.integer("memory", 0, max_amount, max_amount);
  limit.tasks.accelerators.value = in.integer("accelerators", 0, max_amount, max_amount);
  limit.calls = in.integer("calls", 0, max_amount, max_amount);
  in.finish();
  return limit;
}

key_config read_key(object_reader& in) {
  key_config key;
  key.team = team_id(in.text("team", ""));
  key.hash = in.text("hash", "");
  key.expires_ms = in.integer("expires_ms", 0, INT64_MAX, 0);
  const auto hex = [](unsigned char c) { return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f'); };
  if (key.hash.size() != hash_hex_digits || !std::all_of(key.hash.begin(), key.hash.end(), hex)) {
    throw invalid{in.pointer_to("hash") + ": expected 64 lower-case hex digits"};
  }
  return key;
}

queue_config read_queue(object_reader& in) {
  queue_config queue;
  const std::string kind = in.text("kind", "");
  if (kind != "calls" && kind != "jobs") {
    throw invalid{in.pointer_to("kind") + ": expected \"calls\" or \"jobs\""};
  }
  queue.kind = kind == "calls" ? queue_kind::calls : queue_kind::jobs;
  queue.pool = pool_id(in.text("pool", ""));
  if (!valid_name(queue.pool.text)) {
    throw invalid{in.pointer_to("pool") + ": expected the name of a pool"};
  }
  queue.open = in.flag("open");
  queue.open_team = team_id(in.text("open_team", ""));
  for (const std::string& name : in.texts("teams")) {
    queue.teams.insert(team_id(name));
  }
  queue.deadline.value = in.integer("deadline_ms", 1, max_deadline_ms, queue.deadline.value);
  queue.waiting = in.integer("waiting", 0, max_waiting, queue.waiting);
  return queue;
}

domain_config read_domain(object_reader& in) {
  domain_config domain;
  std::set<std::string> unique;
  for (const std::string& name : in.texts("electors")) {
    unique.insert(name);
    domain.electors.emplace_back(name);
  }
  if (domain.electors.size() % 2 == 0 || domain.electors.size() > max_electors ||
      unique.size() != domain.electors.size()) {
    throw invalid{in.pointer_to("electors") +
                  ": expected an odd number of distinct workers, at most 15"};
  }
  return domain;
}

void check_references(const document& doc) {
  for (const auto& [name, key] : doc.keys) {
    if (doc.teams.count(key.team) == 0) {
      throw invalid{"/keys/" + name.text + "/team: no such team \"" + key.team.text + "\""};
    }
  }
  for (const auto& [name, queue] : doc.queues) {
    for (const team_id& team : queue.teams) {
      if (doc.teams.count(team) == 0) {
        throw invalid{"/queues/" + name.text + "/teams: no such team \"" + team.text + "\""};
      }
    }
    if (queue.open && doc.teams.count(queue.open_team) == 0) {
      throw invalid{"/queues/" + name.text + "/open_team: an open queue names a team to charge"};
    }
  }
}

document read_document(const json& value) {
  document doc;
  object_reader in(value, "");
  in.each("teams", [&](const std::string& name, object_reader& team) {
    doc.teams[team_id(name)] = {team.integer("share", 1, max_share, 1), read_limit(team)};
  });
  in.each("keys", [&](const std::string& name, object_reader& key) {
    doc.keys[key_id(name)] = read_key(key);
  });
  in.each("queues", [&](const std::string& name, object_reader& queue) {
    doc.queues[queue_id(name)] = read_queue(queue);
  });
  in.each("domains", [&](const std::string& name, object_reader& domain) {
    doc.domains[domain_id(name)] = read_domain(domain);
  });
  in.finish();
  check_references(doc);
  return doc;
}

}  // namespace

result<document> document::parse(const std::string& json_text) {
  if (json_text.size() > max_document_bytes) {
    return not_run(error_code::too_large, "the document exceeds 256 KiB");
  }
  try {
    return read_document(json::parse(json_text));
  } catch (const invalid& error) {
    return not_run(error_code::bad_request, error.detail);
  } catch (const json::exception& error) {
    return not_run(error_code::bad_request, error.what());
  }
}

result<std::string> patch_document(const std::string& json_text, const std::string& patch_text) {
  std::string patched;
  try {
    json value = json::parse(json_text);
    const json patch = json::parse(patch_text);
    if (!patch.is_object()) {
      return not_run(error_code::bad_request, "a patch is a JSON object");
    }
    value.merge_patch(patch);
    patched = value.dump();
  } catch (const json::exception& error) {
    return not_run(error_code::bad_request, error.what());
  }
  auto checked = document::parse(patched);
  if (checked.has_error()) {
    return checked.error();
  }
  return patched;
}

}  // namespace monsoonmux

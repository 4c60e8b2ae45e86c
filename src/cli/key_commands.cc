#include <iostream>

#include "cli/output.h"
#include "config/key_ring.h"

namespace monsoonmux {
namespace {

namespace po = boost::program_options;
using json = nlohmann::ordered_json;

constexpr int max_patch_attempts = 5;

// Patches the configuration against its current version. If another operator has
// changed it meanwhile, reads the new version and tries again.
int patch_keys(const command_context& context, const json& patch) {
  int code = exit_done;
  for (int i = 0; i < max_patch_attempts; ++i) {
    const json current = body_of(context.servers.send("GET", "/v1/config"), code);
    if (code != exit_done) {
      return code;
    }
    const auto answer = context.servers.send(
        "PATCH", "/v1/config", patch.dump(),
        {{"If-Match", current["version"].dump()}, {"X-Author", "key command"}});
    constexpr int conflict = 409;
    if (answer.has_error() || answer.value().status != conflict) {
      body_of(answer, code);
      return code;
    }
  }
  std::cerr << "other operators changed the configuration each time; try again\n";
  return exit_refused;
}

class key_grant final : public command {
 public:
  std::string name() const override { return "key grant"; }
  std::string summary() const override {
    return "create a key for a team and print it once; only its hash is stored";
  }
  std::vector<std::string> positional_names() const override { return {"key-id", "team"}; }
  void add_options(po::options_description& to) const override {
    to.add_options()("expires-ms", po::value<std::int64_t>()->default_value(0),
                     "Unix time in ms after which it does not work; 0 for never")(
        "secret", po::value<std::string>(), "use this key instead of a random one");
  }
  int run(const command_context& context) override {
    const std::string given = context.text("secret");
    const std::string key = given.empty() ? make_key() : given;
    json patch;
    patch["keys"][context.text("key-id")] = {
        {"team", context.text("team")},
        {"hash", hash_key(key)},
        {"expires_ms", context.given["expires-ms"].as<std::int64_t>()}};
    const int code = patch_keys(context, patch);
    if (code == exit_done) {
      std::cout << key << "\n";
    }
    return code;
  }
};

class key_withdraw final : public command {
 public:
  std::string name() const override { return "key withdraw"; }
  std::string summary() const override { return "revoke a key"; }
  std::vector<std::string> positional_names() const override { return {"key-id"}; }
  int run(const command_context& context) override {
    json patch;
    patch["keys"][context.text("key-id")] = nullptr;
    return patch_keys(context, patch);
  }
};

class key_hash final : public command {
 public:
  std::string name() const override { return "key hash"; }
  std::string summary() const override {
    return "print the hash of a key, for operator_key_hash in the settings";
  }
  std::vector<std::string> positional_names() const override { return {"secret"}; }
  int run(const command_context& context) override {
    std::cout << hash_key(context.text("secret")) << "\n";
    return exit_done;
  }
};

// Lists one section of the configuration document, one row per name.
class section_list final : public command {
 public:
  section_list(std::string command_name, std::string section, std::string description)
      : command_name(std::move(command_name)),
        section(std::move(section)),
        description(std::move(description)) {}
  std::string name() const override { return this->command_name; }
  std::string summary() const override { return "list the " + this->description; }
  int run(const command_context& context) override {
    int code = exit_done;
    const json body = body_of(context.servers.send("GET", "/v1/config"), code);
    if (code != exit_done) {
      return code;
    }
    const json items = body["config"].value(this->section, json::object());
    if (context.json) {
      std::cout << items.dump() << "\n";
      return code;
    }
    table out({"NAME", "VALUE"});
    for (const auto& item : items.items()) {
      out.add({item.key(), item.value().dump()});
    }
    out.print();
    return code;
  }

 private:
  std::string command_name;
  std::string section;
  std::string description;
};

}  // namespace

void add_key_commands(command_list& to) {
  to.push_back(std::make_unique<key_grant>());
  to.push_back(std::make_unique<key_withdraw>());
  to.push_back(std::make_unique<key_hash>());
  to.push_back(std::make_unique<section_list>("key list", "keys", "keys, by id and hash"));
  to.push_back(std::make_unique<section_list>("team list", "teams", "teams"));
  to.push_back(std::make_unique<section_list>("queue list", "queues", "queues"));
}

}  // namespace monsoonmux

// The MAC is verified before any byte reaches the decoder, so only senders that know
// the secret can reach the decoder. Even then, the decoder throws on malformed bytes
// and never crashes.

#include "wire/sealer.h"

#include <sodium.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace monsoonmux {
namespace {

constexpr std::size_t max_senders = 4'096;

const unsigned char* bytes_of(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

sealer::sealer(const std::string& secret) : key(crypto_auth_KEYBYTES, '\0') {
  crypto_generichash(reinterpret_cast<unsigned char*>(this->key.data()), this->key.size(),
                     bytes_of(secret), secret.size(), nullptr, 0);
}

std::string sealer::seal(const peer_message& message) const {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  const std::string body = stream.str();
  std::string out(crypto_auth_BYTES, '\0');
  crypto_auth(reinterpret_cast<unsigned char*>(out.data()), bytes_of(body), body.size(),
              bytes_of(this->key));
  return out + body;
}

result<peer_message> sealer::open(const std::string& bytes) const {
  if (bytes.size() < crypto_auth_BYTES) {
    return not_run(error_code::malformed_answer,
                   "message is shorter than a message authentication code");
  }
  const std::string body = bytes.substr(crypto_auth_BYTES);
  if (crypto_auth_verify(bytes_of(bytes), bytes_of(body), body.size(), bytes_of(this->key)) != 0) {
    return not_run(error_code::unauthorized, "message authentication code does not match");
  }
  try {
    std::istringstream stream(body);
    cereal::PortableBinaryInputArchive archive(stream);
    peer_message out;
    archive(out);
    return out;
  } catch (const std::exception& error) {
    return not_run(error_code::malformed_answer, error.what());
  }
}

bool sealer::accept_if_newer(const peer_message& message) {
  const std::lock_guard guard(this->lock);
  if (this->newest.size() >= max_senders) {
    this->newest.clear();
  }
  newest_sequence& known = this->newest[message.sender];
  if (std::tie(message.incarnation, message.sequence) <=
      std::tie(known.incarnation, known.sequence)) {
    return false;
  }
  known = {message.incarnation, message.sequence};
  return true;
}

}  // namespace monsoonmux

#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <exception>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "base/varint.h"

// Archives for cereal that write lengths and integers with a variable length; see varint.h.
// Most integers in messages are small, and cereal's binary archive spends eight bytes on each
// length. Both ends need the same byte order for floating-point numbers only.
namespace monsoonmux {

// Appends to a string.
class compact_output_archive
    : public cereal::OutputArchive<compact_output_archive, cereal::AllowEmptyClassElision> {
 public:
  // `out` must outlive the archive.
  explicit compact_output_archive(std::string& out)
      : cereal::OutputArchive<compact_output_archive, cereal::AllowEmptyClassElision>(this),
        bytes(out) {}

  void save_bytes(const void* data, std::size_t size) {
    this->bytes.append(static_cast<const char*>(data), size);
  }
  template <class T>
  void save_integer(T value) {
    if constexpr (std::is_signed_v<T>) {
      put_signed(this->bytes, value);
    } else {
      put_number(this->bytes, value);
    }
  }

 private:
  std::string& bytes;
};

// Reads what compact_output_archive wrote. Throws std::runtime_error if the bytes are
// malformed; in particular, no length exceeds the number of bytes that are left.
class compact_input_archive
    : public cereal::InputArchive<compact_input_archive, cereal::AllowEmptyClassElision> {
 public:
  // `bytes` must outlive the archive.
  explicit compact_input_archive(std::string_view bytes)
      : cereal::InputArchive<compact_input_archive, cereal::AllowEmptyClassElision>(this),
        in(bytes) {}

  void load_bytes(void* data, std::size_t size) {
    const std::string_view from = this->in.raw(size);
    if (size > 0) {
      std::memcpy(data, from.data(), size);
    }
  }
  template <class T>
  T load_integer() {
    if constexpr (std::is_signed_v<T>) {
      return checked<T>(this->in.signed_number());
    } else {
      return checked<T>(this->in.number());
    }
  }
  // The number of elements or bytes that follow. Each takes at least one byte.
  std::size_t load_size() {
    const std::uint64_t size = this->in.number();
    if (size > this->in.remaining()) {
      throw std::runtime_error("a length extends beyond the end of the data");
    }
    return size;
  }
  bool at_end() const { return this->in.at_end(); }

 private:
  template <class T, class Wide>
  static T checked(Wide value) {
    if (value < Wide{std::numeric_limits<T>::min()} ||
        value > Wide{std::numeric_limits<T>::max()}) {
      throw std::runtime_error("a number is out of range");
    }
    return static_cast<T>(value);
  }

  byte_reader in;
};

// Returns `value` after a byte that tells the format version.
template <class T>
std::string encode_compact(char version, const T& value) {
  std::string out(1, version);
  compact_output_archive archive(out);
  archive(value);
  return out;
}

// Inverse of encode_compact(). Returns nullopt if the bytes are not a T of this format version.
template <class T>
std::optional<T> decode_compact(char version, std::string_view bytes) {
  if (bytes.empty() || bytes.front() != version) {
    return std::nullopt;
  }
  try {
    compact_input_archive archive(bytes.substr(1));
    T value;
    archive(value);
    return archive.at_end() ? std::optional<T>(std::move(value)) : std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;  // Any host may send such bytes; the caller logs them.
  }
}

// The functions that cereal looks up for each type.

template <class T, std::enable_if_t<std::is_integral_v<T>, bool> = true>
void CEREAL_SAVE_FUNCTION_NAME(compact_output_archive& archive, const T& value) {
  archive.save_integer(value);
}
template <class T, std::enable_if_t<std::is_integral_v<T>, bool> = true>
void CEREAL_LOAD_FUNCTION_NAME(compact_input_archive& archive, T& value) {
  value = archive.load_integer<T>();
}

template <class T, std::enable_if_t<std::is_floating_point_v<T>, bool> = true>
void CEREAL_SAVE_FUNCTION_NAME(compact_output_archive& archive, const T& value) {
  archive.save_bytes(&value, sizeof(value));
}
template <class T, std::enable_if_t<std::is_floating_point_v<T>, bool> = true>
void CEREAL_LOAD_FUNCTION_NAME(compact_input_archive& archive, T& value) {
  archive.load_bytes(&value, sizeof(value));
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(compact_output_archive& archive, const cereal::SizeTag<T>& tag) {
  archive.save_integer(static_cast<std::uint64_t>(tag.size));
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(compact_input_archive& archive, cereal::SizeTag<T>& tag) {
  tag.size = archive.load_size();
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(compact_output_archive& archive,
                               const cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(compact_input_archive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(compact_output_archive& archive, const cereal::BinaryData<T>& data) {
  archive.save_bytes(data.data, data.size);
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(compact_input_archive& archive, cereal::BinaryData<T>& data) {
  archive.load_bytes(data.data, data.size);
}

}  // namespace monsoonmux

CEREAL_SETUP_ARCHIVE_TRAITS(monsoonmux::compact_input_archive, monsoonmux::compact_output_archive)

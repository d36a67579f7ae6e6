#ifndef CODEC_BOUNDEDARCHIVE_H
#define CODEC_BOUNDEDARCHIVE_H

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/string.hpp>
#include <string_view>
#include <type_traits>

namespace Codec {

/// Input archive for little-endian cereal data that checks every length prefix
/// against the remaining bytes before allocating memory for it.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedInputArchive(std::string_view bytes);

  /// Number of unread bytes.
  size_t remaining() const { return Bytes.size(); }

  /// Reads n bytes; throws cereal::Exception when fewer remain.
  void read(void *data, size_t n);

  /// Throws cereal::Exception when n elements of at least one byte each exceed
  /// the remaining bytes.
  void checkLength(uint64_t n) const;

private:
  std::string_view Bytes;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, T &value) {
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t byte = 0;
    archive.read(&byte, sizeof(byte));
    value = byte != 0;
  } else {
    archive.read(&value, sizeof(value));
  }
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive,
                               cereal::NameValuePair<T> &pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive,
                               cereal::SizeTag<T> &tag) {
  archive(tag.size);
  archive.checkLength(tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive,
                               cereal::BinaryData<T> &data) {
  archive.read(data.data, static_cast<size_t>(data.size));
}

} // namespace Codec

namespace cereal::traits::detail {
/// Declares the output archive whose format the bounded archive reads.
template <> struct get_output_from_input<Codec::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};
} // namespace cereal::traits::detail

#endif // CODEC_BOUNDEDARCHIVE_H

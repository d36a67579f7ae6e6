#include "codec/codec.h"

#include <doctest/doctest.h>

TEST_CASE("length that exceeds the data is rejected before allocation") {
  std::string bytes = Codec::encode(std::vector<uint64_t>{1, 2, 3});
  for (size_t i = 1; i < 9; ++i)
    bytes[i] = static_cast<char>(0x7f);
  auto value = Codec::decode<std::vector<uint64_t>>(bytes);
  REQUIRE_FALSE(value);
  CHECK(value.error().Code == Utils::Errc::Corrupt);
}

TEST_CASE("truncated data and data with a trailing byte are rejected") {
  std::map<std::string, std::vector<std::string>> content = {{"a", {"b", "c"}},
                                                             {"d", {}}};
  std::string bytes = Codec::encode(content);
  using Content = decltype(content);
  CHECK(Codec::decode<Content>(bytes).value() == content);
  for (size_t n = 0; n < bytes.size(); ++n)
    CHECK_FALSE(Codec::decode<Content>(bytes.substr(0, n)));
  CHECK_FALSE(Codec::decode<Content>(bytes + "x"));
}

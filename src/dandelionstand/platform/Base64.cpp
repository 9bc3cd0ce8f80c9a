#include "dandelionstand/platform/Base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace dandelionstand::platform {

namespace {

namespace iterators = boost::archive::iterators;

constexpr int kByteBits = 8;
constexpr int kDigitBits = 6;
constexpr std::size_t kDigitsPerGroup = 4;

using Encoder = iterators::base64_from_binary<
  iterators::transform_width<std::string_view::const_iterator, kDigitBits, kByteBits>>;
using Decoder =
  iterators::transform_width<iterators::binary_from_base64<std::string_view::const_iterator>,
                             kByteBits,
                             kDigitBits>;

} // namespace

std::string EncodeBase64(std::string_view aBytes)
{
  std::string text(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  while (text.size() % kDigitsPerGroup != 0) {
    text += '=';
  }
  return text;
}

bool DecodeBase64(std::string_view aText, std::string& aBytes)
{
  const auto last = aText.find_last_not_of('=');
  const std::string_view digits = aText.substr(0, last == std::string_view::npos ? 0 : last + 1);
  aBytes.clear();
  aBytes.reserve(digits.size());
  try {
    // The last group may end with padding bits that do not fill a byte.
    const std::size_t byteCount = digits.size() * kDigitBits / kByteBits;
    Decoder decoder(digits.begin());
    for (std::size_t i = 0; i < byteCount; ++i) {
      aBytes += *decoder++;
    }
  } catch (const iterators::dataflow_exception&) {
    return false;
  }
  return true;
}

} // namespace dandelionstand::platform

#ifndef dandelionstand_target_IncomingBody_h
#define dandelionstand_target_IncomingBody_h

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace dandelionstand::target {

//! Assembles the body of an upload from its pieces.
class IncomingBody
{
public:
  enum class State
  {
    kIncomplete,
    kComplete,
    kBroken, //!< A piece is missing, or length or checksum differ from those announced.
  };

  //! aChecksum is the XXH3 hash of the complete body.
  IncomingBody(std::size_t aBytes, std::uint64_t aChecksum)
    : expectedBytes_(aBytes)
    , checksum_(aChecksum)
  {
  }

  State Add(std::uint64_t aOffset, std::string_view aData);
  std::size_t ExpectedBytes() const { return expectedBytes_; }
  //! The body; only valid in State::kComplete.
  std::string Release() { return std::move(data_); }

private:
  std::size_t expectedBytes_;
  std::uint64_t checksum_;
  std::string data_;
};

} // namespace dandelionstand::target

#endif // dandelionstand_target_IncomingBody_h

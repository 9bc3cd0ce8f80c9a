#include "dandelionstand/load/BodyCheck.h"

namespace dandelionstand::load {

namespace {

constexpr char kFiller = '.';

} // namespace

BodyCheck::BodyCheck(const std::string& aIdentity)
  : head_(aIdentity + "\n")
  , tail_("\n" + aIdentity)
{
}

void BodyCheck::Consume(std::string_view aChunk)
{
  byteCount_ += aChunk.size();
  while (!aChunk.empty()) {
    if (part_ == Part::kFiller) {
      const std::size_t end = aChunk.find_first_not_of(kFiller);
      if (end == std::string_view::npos) {
        return;
      }
      aChunk.remove_prefix(end);
      part_ = Part::kTail;
    }
    ConsumeByte(aChunk.front());
    aChunk.remove_prefix(1);
  }
}

bool BodyCheck::IsMatch() const
{
  return part_ == Part::kTail && matchedBytes_ == tail_.size();
}

void BodyCheck::ConsumeByte(char aByte)
{
  if (part_ == Part::kHead) {
    Advance(aByte, head_, Part::kFiller);
  } else if (part_ == Part::kTail) {
    Advance(aByte, tail_, Part::kTail);
  }
}

void BodyCheck::Advance(char aByte, const std::string& aExpected, Part aNextPart)
{
  if (matchedBytes_ >= aExpected.size() || aExpected[matchedBytes_] != aByte) {
    part_ = Part::kMismatch;
    return;
  }
  matchedBytes_ += 1;
  if (matchedBytes_ == aExpected.size() && aNextPart != part_) {
    part_ = aNextPart;
    matchedBytes_ = 0;
  }
}

} // namespace dandelionstand::load

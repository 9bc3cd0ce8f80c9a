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

void BodyCheck::Take(std::string_view aPiece)
{
  bytes_ += aPiece.size();
  while (!aPiece.empty()) {
    if (part_ == Part::kFiller) {
      const std::size_t end = aPiece.find_first_not_of(kFiller);
      if (end == std::string_view::npos) {
        return;
      }
      aPiece.remove_prefix(end);
      part_ = Part::kTail;
    }
    TakeByte(aPiece.front());
    aPiece.remove_prefix(1);
  }
}

bool BodyCheck::IsOwn() const
{
  return part_ == Part::kTail && matched_ == tail_.size();
}

void BodyCheck::TakeByte(char aByte)
{
  if (part_ == Part::kHead) {
    Advance(aByte, head_, Part::kFiller);
  } else if (part_ == Part::kTail) {
    Advance(aByte, tail_, Part::kTail);
  }
}

void BodyCheck::Advance(char aByte, const std::string& aExpected, Part aNext)
{
  if (matched_ >= aExpected.size() || aExpected[matched_] != aByte) {
    part_ = Part::kWrong;
    return;
  }
  matched_ += 1;
  if (matched_ == aExpected.size() && aNext != part_) {
    part_ = aNext;
    matched_ = 0;
  }
}

} // namespace dandelionstand::load

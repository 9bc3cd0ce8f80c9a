#include "dandelionstand/common/Findings.h"

#include <utility>

namespace dandelionstand::common {

std::string Finding::ToString() const
{
  std::string text = place_.source_;
  if (place_.line_ > 0) {
    text += ":" + std::to_string(place_.line_);
  }
  if (!text.empty()) {
    text += ": ";
  }
  if (!place_.path_.empty()) {
    text += place_.path_ + ": ";
  }
  return text + message_;
}

void Findings::Add(Place aPlace, std::string aMessage)
{
  findings_.push_back({ std::move(aPlace), std::move(aMessage) });
}

void Findings::Append(const Findings& aOther)
{
  findings_.insert(findings_.end(), aOther.findings_.begin(), aOther.findings_.end());
}

std::string Findings::ToString() const
{
  std::string text;
  for (const Finding& finding : findings_) {
    text += finding.ToString() + "\n";
  }
  return text;
}

FindingsError::FindingsError(Findings aFindings)
  : std::runtime_error(aFindings.ToString())
  , findings_(std::move(aFindings))
{
}

} // namespace dandelionstand::common

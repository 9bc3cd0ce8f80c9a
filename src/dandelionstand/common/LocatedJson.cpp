#include "dandelionstand/common/LocatedJson.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

namespace dandelionstand::common {

namespace {

using nlohmann::json;

//! Documents with deeper nesting are rejected: the JSON pointers of their elements would use too
//! much memory.
constexpr std::size_t kMaxDepth = 32;

//! Input iterator that counts the lines that the parser has consumed.
class LineCountingIterator
{
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineCountingIterator(const char* aPosition, int* aLine)
    : position_(aPosition)
    , line_(aLine)
  {
  }

  reference operator*() const { return *position_; }

  LineCountingIterator& operator++()
  {
    if (*position_ == '\n') {
      ++*line_;
    }
    ++position_;
    return *this;
  }

  bool operator!=(const LineCountingIterator& aOther) const
  {
    return position_ != aOther.position_;
  }
  bool operator==(const LineCountingIterator& aOther) const
  {
    return position_ == aOther.position_;
  }

private:
  const char* position_;
  int* line_;
};

//! SAX handler that builds the document and records the line of each key and array element.
class LocatingHandler : public nlohmann::json_sax<json>
{
public:
  LocatingHandler(LocatedJson& aDocument, const int& aLine, Findings& aFindings)
    : document_(aDocument)
    , line_(aLine)
    , findings_(aFindings)
  {
  }

  bool null() override { return Add(nullptr); }
  bool boolean(bool aValue) override { return Add(aValue); }
  bool number_integer(number_integer_t aValue) override { return Add(aValue); }
  bool number_unsigned(number_unsigned_t aValue) override { return Add(aValue); }
  bool number_float(number_float_t aValue, const string_t&) override { return Add(aValue); }
  bool string(string_t& aValue) override { return Add(std::move(aValue)); }
  bool binary(binary_t& aValue) override { return Add(std::move(aValue)); }
  bool start_object(std::size_t) override { return BeginContainer(json::object()); }
  bool start_array(std::size_t) override { return BeginContainer(json::array()); }
  bool end_object() override { return EndContainer(); }
  bool end_array() override { return EndContainer(); }

  bool key(string_t& aKey) override
  {
    Level& level = levels_.back();
    level.key_ = aKey;
    const std::string pointer = PointerOf(levels_.size() - 1);
    document_.lines_.emplace(pointer, line_);
    if (!level.keys_.insert(aKey).second) {
      Place place = document_.At(pointer);
      place.line_ = line_;
      findings_.Add(std::move(place), "key is given twice");
    }
    return true;
  }

  bool parse_error(std::size_t, const std::string& aToken, const json::exception& aError) override
  {
    std::string reason = aError.what();
    const std::size_t colon = reason.find(": ");
    reason = colon == std::string::npos ? reason : reason.substr(colon + 2);
    findings_.Add({ document_.source_, line_, "" },
                  "not valid JSON near '" + aToken + "': " + reason);
    return false;
  }

private:
  struct Level
  {
    json* value_;
    std::string key_;
    std::set<std::string> keys_;
  };

  std::string PointerOf(std::size_t aLevelIndex) const
  {
    std::string pointer;
    for (std::size_t depth = 0; depth <= aLevelIndex && depth < levels_.size(); ++depth) {
      const Level& level = levels_[depth];
      pointer += "/";
      pointer += level.value_->is_array() ? std::to_string(level.value_->size() - 1) : level.key_;
    }
    return pointer;
  }

  json* Insert(json aValue)
  {
    if (levels_.empty()) {
      document_.value_ = std::move(aValue);
      return &document_.value_;
    }
    Level& level = levels_.back();
    if (level.value_->is_array()) {
      level.value_->push_back(std::move(aValue));
      document_.lines_.emplace(PointerOf(levels_.size() - 1), line_);
      return &level.value_->back();
    }
    json& member = (*level.value_)[level.key_];
    member = std::move(aValue);
    return &member;
  }

  bool Add(json aValue)
  {
    Insert(std::move(aValue));
    return true;
  }

  bool BeginContainer(json aValue)
  {
    if (levels_.size() == kMaxDepth) {
      findings_.Add({ document_.source_, line_, "" },
                    "is nested more than " + std::to_string(kMaxDepth) + " levels deep");
      return false;
    }
    json* container = Insert(std::move(aValue));
    levels_.push_back({ container, "", {} });
    return true;
  }

  bool EndContainer()
  {
    levels_.pop_back();
    return true;
  }

  LocatedJson& document_;
  const int& line_;
  Findings& findings_;
  std::vector<Level> levels_;
};

} // namespace

Place LocatedJson::At(const std::string& aPointer) const
{
  std::string path = aPointer.empty() ? "" : aPointer.substr(1);
  std::replace(path.begin(), path.end(), '/', '.');
  const auto found = lines_.find(aPointer);
  return { source_, found == lines_.end() ? 0 : found->second, path };
}

LocatedJson ParseLocatedJson(const std::string& aText,
                             const std::string& aSource,
                             Findings& aFindings)
{
  LocatedJson document;
  document.source_ = aSource;
  int line = 1;
  LocatingHandler handler(document, line, aFindings);
  const char* const begin = aText.data();
  const bool parsed = json::sax_parse(LineCountingIterator(begin, &line),
                                      LineCountingIterator(begin + aText.size(), &line),
                                      &handler,
                                      nlohmann::detail::input_format_t::json,
                                      true,
                                      true);
  if (!parsed) {
    document.value_ = nullptr;
  }
  return document;
}

} // namespace dandelionstand::common

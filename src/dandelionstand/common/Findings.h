#ifndef dandelionstand_common_Findings_h
#define dandelionstand_common_Findings_h

#include <stdexcept>
#include <string>
#include <vector>

namespace dandelionstand::common {

//! Location of a finding: a file (or another source), a line, and the path of a key.
struct Place
{
  std::string source_;
  int line_ = 0; //!< 0 if unknown, or if the source has no lines.
  std::string path_;

  bool operator==(const Place&) const = default;
};

//! An error in an input.
struct Finding
{
  Place place_;
  std::string message_;

  bool operator==(const Finding&) const = default;

  //! Formats the finding as "file:line: path: message"; empty parts are left out.
  std::string ToString() const;
};

//! Collects all errors in an input, so that they are reported together.
class Findings
{
public:
  void Add(Place aPlace, std::string aMessage);
  void Append(const Findings& aOther);

  bool IsEmpty() const { return findings_.empty(); }
  const std::vector<Finding>& All() const { return findings_; }

  //! One line for each finding.
  std::string ToString() const;

private:
  std::vector<Finding> findings_;
};

//! Thrown when an input is rejected as a whole because it has findings.
class FindingsError : public std::runtime_error
{
public:
  explicit FindingsError(Findings aFindings);

  const Findings& GetFindings() const { return findings_; }

private:
  Findings findings_;
};

} // namespace dandelionstand::common

#endif // dandelionstand_common_Findings_h

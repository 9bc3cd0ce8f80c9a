#ifndef dandelionstand_load_Table_h
#define dandelionstand_load_Table_h

#include <string>
#include <vector>

namespace dandelionstand::load {

//! Rows of text under a header; each row has one cell for each column.
struct Table
{
  std::vector<std::string> header_;
  std::vector<std::vector<std::string>> rows_;
};

//! Aligned columns for a terminal.
std::string ToText(const Table& aTable);

//! Comma-separated values; cells with commas, quotes or line ends are quoted.
std::string ToCsv(const Table& aTable);

//! A number with the given digits after the point.
std::string FormatNumber(double aNumber, int aDigits);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Table_h

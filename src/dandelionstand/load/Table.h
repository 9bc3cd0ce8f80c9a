#ifndef dandelionstand_load_Table_h
#define dandelionstand_load_Table_h

#include <string>
#include <vector>

namespace dandelionstand::load {

//! Rows of text below a header; each row has one cell per column.
struct Table
{
  std::vector<std::string> header_;
  std::vector<std::vector<std::string>> rows_;
};

//! Formats the table with aligned columns for a terminal.
std::string ToText(const Table& aTable);

//! Formats the table as comma-separated values; cells with commas, quotes or line breaks are
//! quoted.
std::string ToCsv(const Table& aTable);

//! Formats a number with aDigits digits after the decimal point.
std::string FormatNumber(double aNumber, int aDigits);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Table_h

#include "dandelionstand/load/Table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace dandelionstand::load {

namespace {

using Row = std::vector<std::string>;

std::vector<std::size_t> ColumnWidths(const Table& aTable)
{
  std::vector<std::size_t> widths;
  for (const std::string& name : aTable.header_) {
    widths.push_back(name.size());
  }
  for (const Row& row : aTable.rows_) {
    for (std::size_t column = 0; column < row.size() && column < widths.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  return widths;
}

std::string FormatTextRow(const Row& aRow, const std::vector<std::size_t>& aWidths)
{
  std::string line;
  for (std::size_t column = 0; column < aRow.size() && column < aWidths.size(); ++column) {
    if (column > 0) {
      line += "  ";
    }
    line += aRow[column];
    line.append(aWidths[column] - aRow[column].size(), ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

std::string EscapeCell(const std::string& aCell)
{
  if (aCell.find_first_of(",\"\n\r") == std::string::npos) {
    return aCell;
  }
  std::string quoted = "\"";
  for (const char character : aCell) {
    quoted += character;
    if (character == '"') {
      quoted += character;
    }
  }
  return quoted + "\"";
}

std::string FormatCsvRow(const Row& aRow)
{
  std::string line;
  for (std::size_t column = 0; column < aRow.size(); ++column) {
    line += (column > 0 ? "," : "") + EscapeCell(aRow[column]);
  }
  return line + "\n";
}

} // namespace

std::string ToText(const Table& aTable)
{
  const std::vector<std::size_t> widths = ColumnWidths(aTable);
  std::string text = FormatTextRow(aTable.header_, widths);
  for (const Row& row : aTable.rows_) {
    text += FormatTextRow(row, widths);
  }
  return text;
}

std::string ToCsv(const Table& aTable)
{
  std::string text = FormatCsvRow(aTable.header_);
  for (const Row& row : aTable.rows_) {
    text += FormatCsvRow(row);
  }
  return text;
}

std::string FormatNumber(double aNumber, int aDigits)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(aDigits) << aNumber;
  return text.str();
}

} // namespace dandelionstand::load

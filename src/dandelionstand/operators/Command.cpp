#include "dandelionstand/operators/Command.h"

#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/config/Document.h"

#include <fstream>
#include <sstream>

namespace dandelionstand::operators {

namespace {

std::string ReadAll(const std::string& aPath, Console& aConsole)
{
  std::stringstream text;
  if (aPath == "-") {
    text << aConsole.in_.rdbuf();
    return text.str();
  }
  std::ifstream file(aPath);
  if (!file) {
    throw UsageError(aPath + ": cannot be read");
  }
  text << file.rdbuf();
  return text.str();
}

} // namespace

Command::~Command() = default;

std::string Command::PositionalName() const
{
  return "";
}

std::string RequiredValue(const Command::Values& aValues, const std::string& aOption)
{
  if (!aValues.contains(aOption)) {
    throw UsageError("--" + aOption + " is missing");
  }
  return aValues[aOption].as<std::string>();
}

common::Address RequiredAddress(const Command::Values& aValues, const std::string& aOption)
{
  const std::string text = RequiredValue(aValues, aOption);
  common::HostAndPort ignored;
  if (!common::ParseAddress(text, ignored)) {
    throw UsageError("--" + aOption + " must be an IP address and a port, like 127.0.0.1:7000");
  }
  return common::Address(text);
}

config::ConfigState ReadDocument(const std::string& aPath, Console& aConsole)
{
  common::Findings findings;
  const std::string source = aPath == "-" ? "standard input" : aPath;
  config::ConfigState state = config::ParseDocument(ReadAll(aPath, aConsole), source, findings);
  if (!findings.IsEmpty()) {
    throw common::FindingsError(findings);
  }
  return state;
}

} // namespace dandelionstand::operators

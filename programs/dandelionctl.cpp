//! The operators' tool.

#include "dandelionstand/common/Counters.h"
#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/config/Acceptance.h"
#include "dandelionstand/config/Document.h"
#include "dandelionstand/config/Publish.h"
#include "dandelionstand/platform/HttpLog.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

namespace {

using namespace dandelionstand;
namespace options = boost::program_options;

const platform::StreamName kConfigStream("config");

//! Reads the stream to its end and builds the state that it makes.
config::ConfigStatePtr ReadState(common::EventLoop& aLoop, platform::Log& aLog)
{
  auto state = std::make_shared<const config::ConfigState>();
  bool isOk = false;
  aLog.Read(kConfigStream,
            common::Offset(1),
            common::Duration(0),
            [&](const platform::ReadResult& aResult) {
              isOk = aResult.status_ == platform::LogStatus::kOk;
              for (const platform::Record& record : aResult.records_) {
                const auto accepted = config::Accept(*state, record.offset_, record.data_);
                state = accepted.next_ ? accepted.next_ : state;
              }
              aLoop.Stop();
            });
  aLoop.Run();
  return isOk ? state : nullptr;
}

int Publish(const std::string& aFile, const std::string& aLogAddress)
{
  std::ifstream file(aFile);
  std::stringstream text;
  text << file.rdbuf();
  common::Findings findings;
  const config::ConfigState document = config::ParseDocument(text.str(), aFile, findings);
  if (!findings.IsEmpty()) {
    std::cerr << findings.ToString();
    return EXIT_FAILURE;
  }
  common::EventLoop loop;
  common::Counters counters;
  platform::HttpLogSettings settings;
  settings.address_ = common::Address(aLogAddress);
  platform::HttpLog log(loop, settings, counters);
  const config::ConfigStatePtr state = ReadState(loop, log);
  if (!state) {
    std::cerr << "the log cannot be read\n";
    return EXIT_FAILURE;
  }
  config::PublishRecord record;
  record.publishId_ = config::PublishId(std::to_string(common::NewIncarnationNumber()));
  record.operator_ = "dandelionctl";
  record.changes_ = config::ChangesBetween(*state, document);
  record.builtOn_ = state->version_;
  record.publishedAtMs_ = common::WallClockMs();
  platform::AppendResult result;
  log.Append(
    kConfigStream, config::EncodePublishRecord(record), [&](const platform::AppendResult& aResult) {
      result = aResult;
      loop.Stop();
    });
  loop.Run();
  if (result.status_ != platform::LogStatus::kOk) {
    std::cerr << "the record was not appended\n";
    return EXIT_FAILURE;
  }
  std::cout << "appended offset=" << result.offset_.Get() << "\n";
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
  options::options_description described("dandelionctl publish --log ADDRESS --file FILE");
  described.add_options()("command", options::value<std::string>())(
    "log", options::value<std::string>())("file", options::value<std::string>());
  options::positional_options_description positions;
  positions.add("command", 1);
  try {
    options::variables_map given;
    options::store(
      options::command_line_parser(argc, argv).options(described).positional(positions).run(),
      given);
    if (given.count("command") == 0 || given["command"].as<std::string>() != "publish" ||
        given.count("log") == 0 || given.count("file") == 0) {
      std::cerr << described;
      return EXIT_FAILURE;
    }
    return Publish(given["file"].as<std::string>(), given["log"].as<std::string>());
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return EXIT_FAILURE;
  }
}

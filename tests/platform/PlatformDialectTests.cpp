#include "dandelionstand/platform/PlatformDialect.h"

#include <catch2/catch.hpp>

using namespace dandelionstand;
using namespace std::chrono_literals;
using dialect::AnswerVerdict;
using http::FindHeader;

namespace {

const std::string kRequestId = "X-Dandelionstand-Request-Id";
const std::string kSignature = "X-Dandelionstand-Response-Signature";

http::Request RequestWith(http::Headers aHeaders)
{
  http::Request request;
  request.method_ = "GET";
  request.target_ = "/x/1?y=2";
  request.headers_ = std::move(aHeaders);
  return request;
}

AnswerVerdict ClassifyAnswer(std::uint32_t aStatus, http::Headers aHeaders)
{
  const platform::PlatformTargetDialect dialect;
  return dialect.ClassifyAnswer({ { kRequestId, "1" } }, { aStatus, std::move(aHeaders) });
}

} // namespace

TEST_CASE("Reserved and hop-by-hop headers are removed from a client's request",
          "[platform][dialect]")
{
  const platform::PlatformCallerDialect dialect(common::ServiceName("own"));
  const dialect::CallerRequest request =
    dialect.ParseRequest(RequestWith({ { "Host", "a.example" },
                                       { kRequestId, "77" },
                                       { "X-Dandelionstand-Deadline-Milliseconds", "1500" },
                                       { "X-Dandelionstand-Caller-Service", "forged" },
                                       { "X-Dandelionstand-Expected-Instance", "forged" },
                                       { "X-Other", "kept" },
                                       { "Connection", "keep-alive, X-Hop" },
                                       { "X-Hop", "gone" } }));
  CHECK(request.isValid_);
  CHECK(request.id_ == "77");
  CHECK(request.host_ == "a.example");
  CHECK(request.path_ == "/x/1");
  CHECK(request.target_ == "/x/1?y=2");
  CHECK(request.remainingTime_ == common::Duration(1500ms));
  CHECK(request.headers_ == http::Headers{ { kRequestId, "77" },
                                           { "X-Other", "kept" },
                                           { "Host", "a.example" },
                                           { "X-Dandelionstand-Caller-Service", "own" } });
}

TEST_CASE("A request to the target carries the remaining time and the expected instance",
          "[platform][dialect]")
{
  const platform::PlatformTargetDialect dialect;
  const http::Headers headers =
    dialect.WriteHeaders({ { kRequestId, "1" } }, { "10.0.0.1:80", "i-7", 1234ms, 1 });
  CHECK(FindHeader(headers, "X-Dandelionstand-Deadline-Milliseconds") == "1234");
  CHECK(FindHeader(headers, "X-Dandelionstand-Expected-Instance") == "i-7");
}

TEST_CASE("A refusal carries the retry delay in its Retry-After header", "[platform][dialect]")
{
  const platform::PlatformCallerDialect dialect(common::ServiceName("own"));
  const http::ResponseHead head =
    dialect.WriteRefusal({ 503, "queue-full", dialect::RunState::kNotRun, false, 250ms });
  CHECK(head.status_ == 503);
  CHECK(FindHeader(head.headers_, "Retry-After") == "0.250");
}

TEST_CASE("A target's answer is judged by request id, signature, status and Not-Executed header",
          "[platform][dialect]")
{
  CHECK(ClassifyAnswer(200, { { kRequestId, "1" }, { kSignature, "s" } }) == AnswerVerdict::kValid);
  CHECK(ClassifyAnswer(500, { { kRequestId, "1" } }) == AnswerVerdict::kValid);
  CHECK(ClassifyAnswer(200, { { kRequestId, "2" }, { kSignature, "s" } }) ==
        AnswerVerdict::kOtherRequest);
  CHECK(ClassifyAnswer(503, { { kRequestId, "1" }, { "X-Dandelionstand-Not-Executed", "1" } }) ==
        AnswerVerdict::kNotRun);
  CHECK(ClassifyAnswer(421, { { kRequestId, "1" }, { "X-Dandelionstand-Instance-Id", "i-2" } }) ==
        AnswerVerdict::kWrongTarget);
  CHECK(ClassifyAnswer(200, { { kRequestId, "1" } }) == AnswerVerdict::kInvalid);
  CHECK(ClassifyAnswer(200, { { kSignature, "s" } }) == AnswerVerdict::kInvalid);
}

TEST_CASE("An earlier refusal that is written once more says nothing about the next request",
          "[platform][dialect]")
{
  const http::Header notExecuted{ "X-Dandelionstand-Not-Executed", "1" };
  CHECK(ClassifyAnswer(503, { { kRequestId, "0" }, notExecuted }) == AnswerVerdict::kOtherRequest);
  CHECK(ClassifyAnswer(503, { notExecuted }) == AnswerVerdict::kInvalid);
  CHECK(ClassifyAnswer(421, { { "X-Dandelionstand-Instance-Id", "i-2" } }) ==
        AnswerVerdict::kInvalid);
  // A request without an id is refused without one.
  const platform::PlatformTargetDialect dialect;
  CHECK(dialect.ClassifyAnswer({}, { 400, { notExecuted } }) == AnswerVerdict::kNotRun);
}
#include "dandelionstand/load/AnswerCheck.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::load;

TEST_CASE("An answer is whole only with its own identity, length and end", "[load][answer]")
{
  CallPlan plan;
  plan.identity_ = "run-1";
  plan.answerBytes_ = 100;
  Answer answer{ 200, true, "run-1", "", "", 100, 100, true };
  CHECK(CheckAnswer(plan, answer) == Verdict::kWhole);

  SECTION("another call's answer")
  {
    answer.identity_ = "run-2";
    CHECK(CheckAnswer(plan, answer) == Verdict::kWrongIdentity);
  }
  SECTION("a short body under its own length header")
  {
    answer.bodyBytes_ = 99;
    CHECK(CheckAnswer(plan, answer) == Verdict::kTruncated);
  }
  SECTION("a short body with a header that agrees")
  {
    answer.bodyBytes_ = 99;
    answer.contentLength_ = 99;
    CHECK(CheckAnswer(plan, answer) == Verdict::kTruncated);
  }
  SECTION("a body that breaks off in sight of the caller")
  {
    answer.bodyBytes_ = 50;
    answer.isEnded_ = false;
    CHECK(CheckAnswer(plan, answer) == Verdict::kBrokenOff);
  }
  SECTION("a body with other bytes")
  {
    answer.isBodyOwn_ = false;
    CHECK(CheckAnswer(plan, answer) == Verdict::kWrongBody);
  }
  SECTION("no answer")
  {
    CHECK(CheckAnswer(plan, Answer{}) == Verdict::kNoAnswer);
    Answer begun;
    begun.bodyBytes_ = 10;
    CHECK(CheckAnswer(plan, begun) == Verdict::kBrokenOff);
  }
}

TEST_CASE("A refusal must say whether the call was run", "[load][answer]")
{
  Answer answer;
  answer.status_ = 503;
  CHECK(CheckAnswer({}, answer) == Verdict::kUnmarked);
  for (const std::string state : { "not-run", "run", "unknown" }) {
    answer.runState_ = state;
    CHECK(CheckAnswer({}, answer) == Verdict::kRefused);
  }
  answer.runState_ = "maybe";
  CHECK(CheckAnswer({}, answer) == Verdict::kUnmarked);
}

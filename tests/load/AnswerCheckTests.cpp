#include "dandelionstand/load/AnswerCheck.h"

#include <catch2/catch.hpp>

using namespace dandelionstand::load;

TEST_CASE("An answer is whole only if its identity, length, body and end match the call",
          "[load][answer]")
{
  CallPlan plan;
  plan.identity_ = "run-1";
  plan.answerBytes_ = 100;
  Answer answer{ 200, true, "run-1", "", "", 100, 100, true };
  CHECK(CheckAnswer(plan, answer) == Verdict::kWhole);

  SECTION("the answer to another call")
  {
    answer.identity_ = "run-2";
    CHECK(CheckAnswer(plan, answer) == Verdict::kWrongIdentity);
  }
  SECTION("a body that is shorter than its length header")
  {
    answer.bodyBytes_ = 99;
    CHECK(CheckAnswer(plan, answer) == Verdict::kTruncated);
  }
  SECTION("a short body with a matching length header")
  {
    answer.bodyBytes_ = 99;
    answer.contentLength_ = 99;
    CHECK(CheckAnswer(plan, answer) == Verdict::kTruncated);
  }
  SECTION("a body that breaks off visibly to the caller")
  {
    answer.bodyBytes_ = 50;
    answer.isBodyComplete_ = false;
    CHECK(CheckAnswer(plan, answer) == Verdict::kBrokenOff);
  }
  SECTION("a body with unexpected bytes")
  {
    answer.hasExpectedBody_ = false;
    CHECK(CheckAnswer(plan, answer) == Verdict::kWrongBody);
  }
  SECTION("no answer")
  {
    CHECK(CheckAnswer(plan, Answer{}) == Verdict::kNoAnswer);
    Answer incomplete;
    incomplete.bodyBytes_ = 10;
    CHECK(CheckAnswer(plan, incomplete) == Verdict::kBrokenOff);
  }
}

TEST_CASE("A refusal without a valid run state is unmarked", "[load][answer]")
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

#include "dandelionstand/caller/CallerConnection.h"

#include "dandelionstand/common/HttpHeaders.h"
#include "dandelionstand/dialect/CallerDialect.h"
#include "dandelionstand/http/ServerExchange.h"

#include <charconv>
#include <optional>
#include <utility>

namespace dandelionstand::caller {

namespace {

//! The value of Content-Length; none if it is missing or not a number.
std::optional<std::uint64_t> ContentLengthOf(const Headers& aHeaders)
{
  const std::string_view text = FindHeader(aHeaders, "Content-Length");
  std::uint64_t length = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), length);
  const bool isNumber =
    !text.empty() && result.ec == std::errc() && result.ptr == text.data() + text.size();
  return isNumber ? std::optional(length) : std::nullopt;
}

} // namespace

CallerConnection::CallerConnection(http::ServerExchange& aExchange,
                                   const dialect::CallerDialect& aDialect,
                                   EndHandler aOnEnd)
  : exchange_(&aExchange)
  , dialect_(aDialect)
{
  exchange_->SetOnEnded([this, onEnd = std::move(aOnEnd)](bool aIsSent) {
    exchange_ = nullptr;
    onEnd(aIsSent);
  });
}

CallerRequest CallerConnection::ReadRequest()
{
  return dialect_.ParseRequest(exchange_->ExtractRequest());
}

void CallerConnection::Watch(DisconnectHandler aOnDisconnect, ConsumedHandler aOnConsumed)
{
  if (exchange_ != nullptr) {
    exchange_->Watch(std::move(aOnDisconnect), std::move(aOnConsumed));
  }
}

void CallerConnection::Unwatch()
{
  if (exchange_ != nullptr) {
    exchange_->Unwatch();
  }
}

void CallerConnection::SendHead(std::uint32_t aStatus, const Headers& aHeaders)
{
  if (exchange_ == nullptr) {
    return;
  }
  http::ResponseHead head{ aStatus, {} };
  for (const Header& header : aHeaders) {
    if (common::IsEndToEndResponseHeader(header.name_, "")) {
      head.headers_.push_back(header);
    }
  }
  exchange_->SendHead(head, ContentLengthOf(aHeaders));
}

void CallerConnection::SendBody(const std::string& aData)
{
  if (exchange_ != nullptr) {
    exchange_->SendBody(aData);
  }
}

void CallerConnection::Finish()
{
  if (exchange_ != nullptr) {
    exchange_->Finish();
  }
}

void CallerConnection::Refuse(const Refusal& aRefusal)
{
  if (exchange_ != nullptr) {
    exchange_->Reply(dialect_.WriteRefusal(aRefusal), aRefusal.reason_ + "\n");
  }
}

void CallerConnection::Abort()
{
  if (exchange_ != nullptr) {
    exchange_->Abort();
  }
}

bool CallerConnection::Discard()
{
  return exchange_ != nullptr && exchange_->Discard();
}

bool CallerConnection::IsNext() const
{
  return exchange_ != nullptr && exchange_->IsNext();
}

} // namespace dandelionstand::caller

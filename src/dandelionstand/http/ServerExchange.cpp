#include "dandelionstand/http/ServerExchange.h"

#include "dandelionstand/common/HttpHeaders.h"
#include "dandelionstand/http/ServerConnection.h"

#include <cstdio>
#include <utility>

namespace dandelionstand::http {

ServerExchange::ServerExchange(ServerConnection& aConnection, Request aRequest)
  : connection_(aConnection)
  , request_(std::move(aRequest))
  , method_(request_.method_)
  , isHttp11_(request_.isHttp11_)
  , isKeptAlive_(request_.isKeptAlive_)
{
}

void ServerExchange::Watch(OnDisconnected aOnDisconnected, OnBytesSent aOnBytesSent)
{
  onDisconnected_ = std::move(aOnDisconnected);
  onBytesSent_ = std::move(aOnBytesSent);
}

void ServerExchange::Unwatch()
{
  onDisconnected_ = nullptr;
  onBytesSent_ = nullptr;
}

void ServerExchange::SendHead(const ResponseHead& aHead, std::optional<std::uint64_t> aLength)
{
  hasBody_ = MayHaveBody(method_, aHead.status_);
  isChunked_ = hasBody_ && !aLength && isHttp11_;
  // A closing connection still answers the requests that it has read.
  const bool isLastOfClosing = connection_.IsClosing() && connection_.IsLast(*this);
  endsWithConnection_ = hasBody_ && !aLength && !isChunked_;
  closesConnection_ = !isKeptAlive_ || isLastOfClosing || endsWithConnection_;
  std::string text = "HTTP/1.1 " + std::to_string(aHead.status_) + " ";
  text += ReasonPhrase(aHead.status_);
  text += "\r\n";
  for (const Header& header : aHead.headers_) {
    const bool isReplaced = common::EqualsIgnoringCase(header.name_, "content-length") && hasBody_;
    if (!isReplaced) {
      text += header.name_ + ": " + header.value_ + "\r\n";
    }
  }
  if (isChunked_) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (hasBody_ && aLength) {
    text += "Content-Length: " + std::to_string(*aLength) + "\r\n";
  }
  if (closesConnection_) {
    text += "Connection: close\r\n";
  }
  Write(text + "\r\n");
}

void ServerExchange::SendBody(const std::string& aData)
{
  if (!hasBody_ || aData.empty()) {
    return;
  }
  if (!isChunked_) {
    Write(aData);
    return;
  }
  constexpr std::size_t kChunkSizeLineBytes = 24;
  char size[kChunkSizeLineBytes];
  const int written = std::snprintf(size, sizeof(size), "%zx\r\n", aData.size());
  Write(std::string(size, static_cast<std::size_t>(written)) + aData + "\r\n");
}

void ServerExchange::Finish()
{
  if (isChunked_) {
    Write("0\r\n\r\n");
  }
  isFinished_ = true;
  connection_.OnFinished(*this);
}

void ServerExchange::Reply(const ResponseHead& aHead, const std::string& aBody)
{
  SendHead(aHead, aBody.size());
  SendBody(aBody);
  Finish();
}

void ServerExchange::Abort()
{
  isAborted_ = true;
  connection_.OnAborted(*this);
}

bool ServerExchange::Discard()
{
  if (isFront_) {
    return false;
  }
  bufferedResponse_.clear();
  return true;
}

bool ServerExchange::IsNext() const
{
  return connection_.IsNext(*this);
}

void ServerExchange::Write(const std::string& aBytes)
{
  if (isFront_) {
    connection_.Write(aBytes);
  } else {
    bufferedResponse_ += aBytes;
  }
}

} // namespace dandelionstand::http

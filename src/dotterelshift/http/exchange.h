#ifndef DOTTERELSHIFT_SRC_HTTP_EXCHANGE_H_
#define DOTTERELSHIFT_SRC_HTTP_EXCHANGE_H_

#include <functional>   // for function
#include <memory>       // for enable_shared_from_this
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for move

#include "dotterelshift/http/response_writer.h"  // for ResponseTerms
#include "dotterelshift/http/server.h"           // for Exchange
#include "dotterelshift/memory/account.h"        // for Holding

namespace dotterelshift::http {

// An exchange of the server: holds the request, and what of its response has
// not been written to the connection yet.
class ServerExchange : public Exchange {
 public:
  // `wake` is called when there is something to write, or to close.
  ServerExchange(memory::Account* account, const ResponseTerms& terms,
                 std::function<void()> wake)
      : m_wake(std::move(wake)),
        m_terms(terms),
        m_held(account, memory::Use::kResponses) {}

  const Request& GetRequest() const override { return m_request; }
  void Answer(int status, const Headers& headers, std::string body) override;
  void SendHead(int status, const Headers& headers) override;
  void WriteChunk(std::string_view chunk) override;
  void Finish() override;
  void Abort() override;
  size_t Backlog() const override { return m_out.size() - m_consumed_bytes; }
  void OnGone(std::function<void()> callback) override;
  void OnDrained(std::function<void()> callback) override;

  // The rest is called by the server.
  Request& MutableRequest() { return m_request; }

  // Appends the next bytes of the response to `out`, about `room` at most, and
  // nothing while there are none.
  void Produce(size_t room, std::string* out);
  // Whether all of the response was produced.
  bool IsProduced() const { return m_ended; }
  // Whether the handler has given the whole response.
  bool IsWhole() const {
    return m_phase == Phase::kWhole || m_phase == Phase::kFinished;
  }
  // Whether the response ends early, and what was written before was produced.
  bool IsCut() const { return m_phase == Phase::kAborted && Backlog() == 0; }
  // Whether only a reset tells the caller that the response was cut.
  bool EndsWithConnection() const {
    return m_framing == ResponseFraming::kClose;
  }
  bool ClosesConnection() const { return m_close; }

  // The caller has disconnected before the end of the response.
  void CallerGone();

  // Makes the response ask its caller to close the connection, which ends with
  // it. Has no effect once its head was produced.
  void CloseAfterResponse() { m_close = m_close || !m_head_produced; }

  bool IsCallerGone() const { return m_gone; }
  bool IsAborted() const { return m_phase == Phase::kAborted; }

  // The connection has ended, or is used for the next request.
  void Detach(bool whole);

 private:
  enum class Phase { kWaiting, kWhole, kStreaming, kFinished, kAborted };

  void SetHead(int status, const Headers& headers);
  void ProduceHead(std::string* out);
  void ProduceBody(size_t room, std::string* out);
  void ProduceEnd(std::string* out);
  void Wake();
  bool Open() const { return m_wake != nullptr && !m_gone; }

  std::function<void()> m_wake;
  Request m_request;
  const ResponseTerms m_terms;
  Phase m_phase = Phase::kWaiting;
  ResponseFraming m_framing = ResponseFraming::kLength;
  bool m_head_given = false;
  bool m_head_produced = false;
  bool m_ended = false;  // its end was produced
  bool m_gone = false;
  bool m_close = false;  // the connection, after the response
  int m_status = 0;
  Headers m_headers;
  std::string m_out;
  size_t m_consumed_bytes = 0;
  memory::Holding m_held;  // m_out
  std::function<void()> m_on_gone;
  std::function<void()> m_on_drained;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_EXCHANGE_H_

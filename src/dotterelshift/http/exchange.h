#ifndef DOTTERELSHIFT_SRC_HTTP_EXCHANGE_H_
#define DOTTERELSHIFT_SRC_HTTP_EXCHANGE_H_

#include <microhttpd.h>  // for MHD_Connection

#include <functional>   // for function
#include <memory>       // for shared_ptr, enable_shared_from_this
#include <string>       // for string
#include <string_view>  // for string_view
#include <utility>      // for move

#include "dotterelshift/http/server.h"  // for Exchange

namespace dotterelshift::http {

// An exchange over libmicrohttpd. The connection is suspended while it has
// nothing to send, so that the server does not busy-loop.
class MhdExchange : public Exchange,
                    public std::enable_shared_from_this<MhdExchange> {
 public:
  // `want_run` schedules a run of the library, which a resumed connection
  // needs.
  MhdExchange(MHD_Connection* connection, std::function<void()> want_run)
      : m_connection(connection), m_request_run(std::move(want_run)) {}

  const Request& GetRequest() const override { return m_request; }
  void Answer(int status, const Headers& headers, std::string body) override;
  void SendHead(int status, const Headers& headers) override;
  void WriteChunk(std::string_view chunk) override;
  void Finish() override;
  void Abort() override;
  size_t Backlog() const override { return m_out.size() - m_consumed_bytes; }
  void OnGone(std::function<void()> callback) override;
  void OnDrained(std::function<void()> callback) override;

  Request& MutableRequest() { return m_request; }

  // Called from the server's access callback once the request is complete.
  // Queues the response if there is one, otherwise suspends the connection.
  MHD_Result Continue();

  // The caller has disconnected before the end of the response.
  void CallerGone();

  // Makes the response ask its caller to close the connection, which ends with
  // it.
  void CloseAfterResponse() { m_close = true; }

  bool IsCallerGone() const { return m_gone; }
  bool IsAborted() const { return m_phase == Phase::kAborted; }

  // The library has ended the request; the connection must not be used again.
  void Detach(bool whole);

 private:
  enum class Phase { kWaiting, kWhole, kStreaming, kFinished, kAborted };

  static ssize_t Read(void* self, uint64_t position, char* buffer, size_t room);
  static void Release(void* self);
  ssize_t Take(char* buffer, size_t room);
  void SetHead(int status, const Headers& headers);
  MHD_Result Queue();
  void Suspend();
  void Wake();
  bool Open() const { return m_connection != nullptr && !m_gone; }

  MHD_Connection* m_connection;
  std::function<void()> m_request_run;
  Request m_request;
  Phase m_phase = Phase::kWaiting;
  bool m_suspended = false;
  bool m_gone = false;
  bool m_close = false;  // the connection, after the response
  int m_status = 0;
  Headers m_headers;
  std::string m_out;
  size_t m_consumed_bytes = 0;
  std::function<void()> m_on_gone;
  std::function<void()> m_on_drained;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_EXCHANGE_H_

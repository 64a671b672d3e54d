#ifndef DOTTERELSHIFT_SRC_HTTP_EPOLL_SERVER_H_
#define DOTTERELSHIFT_SRC_HTTP_EPOLL_SERVER_H_

#include <cstddef>        // for size_t
#include <cstdint>        // for uint32_t, uint64_t
#include <deque>          // for deque
#include <list>           // for list
#include <memory>         // for unique_ptr
#include <optional>       // for optional
#include <string>         // for string
#include <string_view>    // for string_view
#include <unordered_map>  // for unordered_map
#include <utility>        // for pair
#include <vector>         // for vector

#include "dotterelshift/http/connection.h"  // for Connection
#include "dotterelshift/http/deadlines.h"   // for Deadlines
#include "dotterelshift/http/listener.h"    // for Listener
#include "dotterelshift/http/malformed.h"   // for Malformed
#include "dotterelshift/http/server.h"      // for Server
#include "dotterelshift/loop/loop.h"        // for Loop
#include "dotterelshift/memory/account.h"   // for IdleConnections

namespace dotterelshift::http {

// The server of MakeServer(). One epoll descriptor, edge-triggered, watches all
// connections. A request is read whole before it is handed over; nothing is
// read from its connection until its response was written. The parts of the
// class are in server.cc (connections and their events), server_receive.cc,
// server_bodies.cc and server_send.cc.
class EpollServer : public Server, public memory::IdleConnections {
 public:
  EpollServer(loop::Loop& loop, const ServerOptions& options, Handler handler);
  ~EpollServer() override;

  uint16_t Port() const override { return m_listener->Port(); }

  size_t OpenExchanges() const override { return m_open; }
  size_t OpenConnections() const override { return m_connections.size(); }
  uint64_t BytesReceived() const override { return m_bytes_received; }

  void StopAccepting() override { m_listener->Pause(); }
  bool ResumeAccepting() override { return m_listener->Resume(); }

  void SetRejectConnections(bool on) override { m_reject_connections = on; }

  void SetCallerTimes(const CallerTimes& times) override { m_times = times; }

  void CloseIdle() override;
  std::optional<Instant> OldestIdle() const override;
  void CloseOldestIdle() override;

 private:
  // Connections.

  void AddConnection(int descriptor);
  void Begin(int descriptor);

  // Ends the connection. Its object lives until the end of the turn, as callers
  // of this function may still hold it.
  void Close(Connection& connection, bool stalled = false);
  // Its request needs no memory any more.
  static void ReleaseRequest(Connection& connection);

  // Ends the connection with a reset: nothing else would tell its caller that
  // the response is not complete.
  void Reset(Connection& connection);

  // Events of the connections.

  // Handles all connections that are ready in this iteration of the loop: an
  // exchange in flight ends at once when its caller closes its sending side,
  // because requests are sent in the next iteration.
  void HandleEvents();
  void HandleEvent(Connection& connection, uint32_t events);
  void OnCallerClosed(Connection& connection);

  // Runs what was put off until just before the loop waits: responses are
  // written at once for all that was added in one iteration.
  void RunQueued();
  void Queue(Connection& connection);

  // Makes the loop not wait before the next run.
  void RequestRun();

  // Receiving.

  static bool WantsBytes(const Connection& connection);
  void Read(Connection& connection);
  void ReadOnce(Connection& connection);

  // The end of what the caller sends. No response follows to a request that is
  // not complete.
  void OnReadEnd(Connection& connection);
  void Take(Connection& connection, std::string_view bytes);
  void TakeHeads(Connection& connection);
  void BeginHead(Connection& connection);
  void TakeHead(Connection& connection);
  void OnHead(Connection& connection, RequestHead head);

  // Bodies.

  // Decides whether there is memory for the request and its body now, later or
  // not at all.
  void AdmitBody(Connection& connection, bool expects_continue);
  bool MayHold(memory::Claim claim, size_t bytes) const;
  void PutOffBody(Connection& connection);
  void BeginBody(Connection& connection);

  // Lets bodies that wait for memory be read, in the order of their arrival.
  void GrantBodies();

  // Ends the request whose body has stalled for longest, so that those that
  // wait get its memory.
  void RefuseStalledBody();
  Connection* FindStalledBody() const;
  void TakeBody(Connection& connection, std::string_view bytes);

  // Memory for a body whose length was not stated.
  bool GrowBody(Connection& connection, size_t bytes) const;
  void OnRequestComplete(Connection& connection);

  // Refusals of the server itself.

  // A caller that closes its sending side is taken for gone: its full close
  // looks the same until something is written. One that still reads learns that
  // nothing ran.
  void RefuseClosedCaller(Connection& connection);
  void Reject(Connection& connection, Malformed why);
  std::pair<int, std::string> RefusalOf(ServerRefusal refusal) const;

  // Sends the refusal and ends the connection. Nothing behind the request is
  // read.
  void Refuse(Connection& connection, ServerRefusal refusal);
  void BeginDiscarding(Connection& connection);
  void Discard(Connection& connection, size_t bytes);

  // Sending.

  void Write(Connection& connection);

  // Gets the next bytes to be written. Returns false if there are none now, and
  // ends the request, or the connection, if none will come.
  bool Fill(Connection& connection);

  // Whether there is memory for connections that wait for their next request.
  // Their callers are told otherwise, before the last response.
  bool MayKeepIdle() const;
  void OnResponseWritten(Connection& connection);

  // Nothing more is written. The connection is closed at once unless bytes of
  // its caller are still to come or to be read.
  void OnLastWritten(Connection& connection);
  void EndExchange(Connection& connection, bool whole, bool stalled);
  void ReportUnanswered(const Connection& connection, bool stalled) const;

  // Idle connections and deadlines.

  void BeginIdle(Connection& connection);
  void EndIdle(Connection& connection);
  void TrimIdle();
  void OnDeadline(Connection& slow);
  void OnHeadDeadline(Connection& slow, Instant now);

  loop::Loop& m_loop;
  const ServerOptions m_options;
  const Handler m_handler;
  int m_events = -1;
  bool m_run_requested = false;
  bool m_reject_connections = false;
  bool m_stopping = false;
  size_t m_open = 0;
  uint64_t m_bytes_received = 0;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> m_connections;
  // Ended in this turn of the loop.
  std::vector<std::unique_ptr<Connection>> m_closed;
  std::vector<Connection*> m_queued;
  std::list<Connection*> m_idle;  // the one that is idle for longest first
  std::deque<Connection*> m_body_waits;
  Instant m_stalled_checked{};
  CallerTimes m_times;
  Deadlines m_deadlines;
  std::unique_ptr<Listener> m_listener;
  std::unique_ptr<loop::IoWatcher> m_events_watcher;
  loop::Timer m_timer;
  loop::PrepareWatcher m_prepare;
};

}  // namespace dotterelshift::http

#endif  // DOTTERELSHIFT_SRC_HTTP_EPOLL_SERVER_H_

#include "dotterelshift/http/client.h"

#include <curl/curl.h>      // for curl_multi_init
#include <linux/sockios.h>  // for SIOCOUTQ
#include <sys/ioctl.h>      // for ioctl
#include <sys/socket.h>     // for setsockopt
#include <unistd.h>         // for close

#include <algorithm>      // for max
#include <unordered_map>  // for unordered_map
#include <utility>        // for move
#include <vector>         // for vector

#include "dotterelshift/base/error.h"             // for Error
#include "dotterelshift/http/curl_request.h"      // for MakeHeaderList
#include "dotterelshift/http/idle_connections.h"  // for IdleConnections
#include "dotterelshift/http/open_connections.h"  // for OpenConnections
#include "dotterelshift/http/polled_sockets.h"    // for PolledSockets
#include "dotterelshift/http/response_head.h"     // for ResponseHead
#include "dotterelshift/http/transfer_end.h"      // for EndOfSent
#include "dotterelshift/http/useless_reads.h"     // for UselessReads
#include "dotterelshift/loop/loop.h"              // for Loop

namespace dotterelshift::http {
namespace {

// Maximum number of idle connections kept for reuse.
constexpr long kMaxIdleConnections = 4096;  // NOLINT(google-runtime-int)

// Maximum number of curl handles kept for reuse.
constexpr size_t kMaxSpareHandles = 256;

class CurlClient;

struct Transfer {
  TransferId id = 0;
  CURL* handle = nullptr;
  curl_slist* header_list = nullptr;
  curl_slist* relay_headers = nullptr;
  ClientRequest request;
  TransferCallbacks callbacks;
  ResponseHead head;
  UselessReads useless;
  bool sent = false;  // the request may have been sent, in part or whole
  // The connection that it was to be sent on cannot be used any more; it is
  // sent on a new one.
  bool needs_new_connection = false;
  ConnectionName connection;  // that it is sent on
  CurlClient* client = nullptr;
  // No more callbacks are called; removed once curl has returned.
  bool cancelled = false;
  curl_socket_t descriptor = CURL_SOCKET_BAD;  // used now or last
  // The last one that libcurl opened for it.
  curl_socket_t opened = CURL_SOCKET_BAD;
};

class CurlClient : public Client {
 public:
  CurlClient(loop::Loop& loop, const ClientOptions& options)
      : m_loop(loop),
        m_options(options),
        m_idle(loop, options.on_idle_closed),
        m_sockets(
            loop,
            [this](int descriptor, int events) { Drive(descriptor, events); },
            [this](int descriptor) { GiveUp(descriptor); }),
        m_timer(loop, [this] { Drive(CURL_SOCKET_TIMEOUT, 0); }),
        m_later(loop, [this] { RunDeferred(); }) {
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = curl_multi_init();
    if (initialized != CURLE_OK || m_multi == nullptr)
      throw Error(ErrorKind::kInternal, "libcurl initialization failed");
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  ~CurlClient() override {
    for (auto& [id, transfer] : m_transfers) Free(*transfer);
    for (CURL* handle : m_spare) curl_easy_cleanup(handle);
    curl_multi_cleanup(m_multi);
  }

  TransferId Start(ClientRequest request,
                   TransferCallbacks callbacks) override {
    auto transfer = std::make_unique<Transfer>();
    transfer->id = ++m_last_id;
    transfer->client = this;
    transfer->request = std::move(request);
    transfer->callbacks = std::move(callbacks);
    m_transfers.emplace(m_last_id, std::move(transfer));
    // Deferred: curl accepts no new transfer from within its callbacks, and the
    // caller expects no callback before it has the id.
    m_to_start.push_back(m_last_id);
    m_later.ArmIn(0s);
    return m_last_id;
  }

  bool Cancel(TransferId id) override {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) return false;
    found->second->cancelled = true;
    if (m_in_curl) {
      m_to_remove.push_back(id);
      return false;
    }
    const bool connected = Uses(*found->second);
    const curl_socket_t descriptor = found->second->descriptor;
    Remove(id);
    return connected && !m_users.contains(descriptor);
  }

  bool Withdraw(TransferId id) override {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) return false;
    if (found->second->sent || found->second->cancelled) return false;
    Cancel(id);
    return true;
  }

  void Resume(TransferId id) override {
    // Deferred: resuming delivers buffered chunks immediately.
    m_to_resume.push_back(id);
    m_later.ArmIn(0s);
  }

  size_t OpenTransfers() const override { return m_transfers.size(); }

  std::optional<size_t> Unsent(TransferId id) const override {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end() || !Uses(*found->second)) return {};
    int bytes = 0;
    if (ioctl(found->second->descriptor, SIOCOUTQ, &bytes) != 0) return {};
    return static_cast<size_t>(std::max(0, bytes));
  }

  uint64_t BytesSent() const override { return m_bytes_sent; }

  uint64_t RepeatedIds() const override { return m_repeated_ids; }

 private:
  // Callbacks of libcurl.
  static int OnOpened(void* self, curl_socket_t descriptor, curlsocktype) {
    static_cast<Transfer*>(self)->opened = descriptor;
    return CURL_SOCKOPT_OK;
  }

  static int OnSocket(CURL* handle, curl_socket_t descriptor, int what,
                      void* self, void*) {
    auto& client = *static_cast<CurlClient*>(self);
    client.RecordSocketUser(handle, descriptor, what);
    client.m_sockets.Watch(descriptor, what);
    return 0;
  }

  static int OnClose(void* self, curl_socket_t descriptor) {
    auto& client = *static_cast<CurlClient*>(self);
    if (client.WasCancelledOn(descriptor)) DropUnsent(descriptor);
    client.m_users.erase(descriptor);
    client.m_open.Remove(descriptor);
    client.m_idle.Forget(descriptor);
    client.m_sockets.Forget(descriptor);
    return ::close(descriptor);
  }

  // NOLINTNEXTLINE(google-runtime-int): libcurl's type
  static int OnTimer(CURLM*, long wait_ms, void* self) {
    auto& client = *static_cast<CurlClient*>(self);
    if (wait_ms < 0) {
      client.m_timer.Cancel();
    } else {
      client.m_timer.ArmIn(std::chrono::milliseconds(wait_ms));
    }
    return 0;
  }

  static size_t OnHeader(char* data, size_t, size_t size, void* self) {
    return OnHeaderLine(*static_cast<Transfer*>(self),
                        std::string_view(data, size))
               ? size
               : 0;
  }

  static size_t OnData(char* data, size_t, size_t size, void* self) {
    auto& transfer = *static_cast<Transfer*>(self);
    if (transfer.cancelled) return 0;
    transfer.useless.OnDelivered();
    const auto& on_chunk = transfer.callbacks.on_chunk;
    const bool more = !on_chunk || on_chunk(std::string_view(data, size));
    if (transfer.cancelled) return 0;
    if (!more) curl_easy_pause(transfer.handle, CURLPAUSE_RECV);
    return size;
  }

  // Called before the request is sent. curl would send the request a second
  // time if a reused connection turns out to be closed. That is prevented here,
  // because the server may have executed the first one.
  static int OnSending(void* self, char* peer_ip, char*, int peer_port,
                       int local_port) {
    auto& transfer = *static_cast<Transfer*>(self);
    if (transfer.cancelled || transfer.sent) return CURL_PREREQFUNC_ABORT;
    transfer.connection = {peer_ip, peer_port, local_port};
    if (!transfer.client->BeginToAwait(transfer)) {
      transfer.needs_new_connection = true;
      return CURL_PREREQFUNC_ABORT;
    }
    transfer.sent = true;
    const HandOver handed_over = transfer.client->RecordSent(transfer);
    const auto& on_handed_over = transfer.callbacks.on_handed_over;
    if (on_handed_over) on_handed_over(handed_over);
    return CURL_PREREQFUNC_OK;
  }

  // Returns false if the request must not be sent on its connection.
  bool BeginToAwait(const Transfer& transfer) {
    if (HasNewConnection(transfer.handle)) {
      m_open.Add(transfer.opened, transfer.connection);
      return true;
    }
    const Reuse reuse =
        m_open.MayCarry(transfer.connection, transfer.request.id);
    if (reuse == Reuse::kRepeatedId) ++m_repeated_ids;
    const auto descriptor = m_open.DescriptorOf(transfer.connection);
    return reuse == Reuse::kAllowed && descriptor &&
           m_sockets.BeginToAwait(*descriptor, transfer.callbacks.due);
  }

  HandOver RecordSent(const Transfer& transfer) {
    const ClientRequest& request = transfer.request;
    const size_t bytes = BytesOf(request.headers) + request.Body().size();
    m_bytes_sent += bytes;
    HandOver handed_over = HandOverOf(transfer.handle, bytes);
    const EarlierUse before =
        m_open.OnSent(transfer.connection, request.id, m_loop.Now());
    handed_over.local_port = transfer.connection.local_port;
    handed_over.earlier_requests = before.requests;
    handed_over.since_error = before.since_error;
    return handed_over;
  }

  static bool OnHeaderLine(Transfer& transfer, std::string_view line) {
    if (transfer.cancelled) return false;
    transfer.useless.OnDelivered();
    switch (transfer.head.Take(line)) {
      case HeadLine::kTaken:
        return true;
      case HeadLine::kLast:
        break;
      case HeadLine::kRefused:
        return false;
    }
    transfer.client->m_sockets.Forget(transfer.descriptor);
    transfer.client->m_open.OnStatus(transfer.connection,
                                     transfer.head.Status(),
                                     transfer.client->m_loop.Now());
    const auto& on_head = transfer.callbacks.on_head;
    if (on_head) on_head(transfer.head.Status(), transfer.head.GetHeaders());
    return !transfer.cancelled;
  }

  // Records the last transfer that used a descriptor, until the descriptor is
  // closed. A paused transfer polls for no events but still uses it.
  void RecordSocketUser(CURL* handle, curl_socket_t descriptor, int what) {
    if (what == CURL_POLL_REMOVE) return;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &transfer);
    if (transfer == nullptr) return;
    transfer->descriptor = descriptor;
    m_users[descriptor] = transfer->id;
    m_idle.Forget(descriptor);
  }

  bool WasCancelledOn(curl_socket_t descriptor) const {
    const auto user = m_users.find(descriptor);
    if (user == m_users.end()) return false;
    const auto transfer = m_transfers.find(user->second);
    return transfer != m_transfers.end() && transfer->second->cancelled;
  }

  // Whether the transfer still owns the connection that it used last.
  bool Uses(const Transfer& transfer) const {
    const auto user = m_users.find(transfer.descriptor);
    return user != m_users.end() && user->second == transfer.id;
  }

  // Makes the close of a cancelled transfer's connection a reset. After an
  // orderly close, the system would still send the buffered bytes of the
  // request (many when the link is full), and the server would run it for a
  // caller that has disconnected.
  static void DropUnsent(curl_socket_t descriptor) {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }

  void Drive(curl_socket_t descriptor, int events) {
    Transfer* transfer = FindUser(descriptor);
    const bool reads = transfer != nullptr && (events & CURL_CSELECT_IN) != 0;
    if (reads) transfer->useless.BeforeRead(descriptor);
    int running = 0;
    m_in_curl = true;
    curl_multi_socket_action(m_multi, descriptor, events, &running);
    m_in_curl = false;
    RemoveCancelled();
    HandleFinishedTransfers();
    transfer = FindUser(descriptor);
    if (reads && transfer != nullptr && transfer->useless.IsOverLimit())
      GiveUp(descriptor);
  }

  // The transfer that uses the connection.
  Transfer* FindUser(curl_socket_t descriptor) {
    const auto user = m_users.find(descriptor);
    if (user == m_users.end()) return nullptr;
    const auto transfer = m_transfers.find(user->second);
    return transfer == m_transfers.end() ? nullptr : transfer->second.get();
  }

  // Ends the transfer whose connection brings bytes without end that are no
  // part of its response.
  void GiveUp(curl_socket_t descriptor) {
    Transfer* transfer = FindUser(descriptor);
    if (transfer == nullptr || transfer->cancelled) return;
    const auto callback = std::move(transfer->callbacks.on_end);
    transfer->cancelled = true;
    Remove(transfer->id);
    if (callback) callback(TransferEnd::kTooLarge);
  }

  // Runs the work that was deferred because curl cannot be called recursively.
  void RunDeferred() {
    for (const TransferId id : std::exchange(m_to_start, {})) Begin(id);
    for (const TransferId id : std::exchange(m_to_resume, {})) {
      const auto found = m_transfers.find(id);
      if (found == m_transfers.end() || found->second->handle == nullptr)
        continue;
      m_in_curl = true;
      curl_easy_pause(found->second->handle, CURLPAUSE_CONT);
      m_in_curl = false;
    }
    RemoveCancelled();
    HandleFinishedTransfers();
  }

  void Begin(TransferId id) {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) return;
    Transfer& transfer = *found->second;
    transfer.handle = AcquireHandle();
    SetOptions(transfer);
    transfer.needs_new_connection = false;
    m_in_curl = true;
    const CURLMcode added = curl_multi_add_handle(m_multi, transfer.handle);
    m_in_curl = false;
    if (added != CURLM_OK)
      throw Error(ErrorKind::kInternal, curl_multi_strerror(added));
  }

  CURL* AcquireHandle() {
    if (m_spare.empty()) return curl_easy_init();
    CURL* handle = m_spare.back();
    m_spare.pop_back();
    return handle;
  }

  void SetOptions(Transfer& transfer) {
    CURL* handle = transfer.handle;
    const ClientRequest& request = transfer.request;
    SetConnection(handle, request, m_options);
    SetMethod(handle, request);
    transfer.header_list = MakeHeaderList(request.headers);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.header_list);
    transfer.relay_headers = SetRelay(handle, request.relay);
    if (transfer.needs_new_connection)
      curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, OnOpened);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, OnClose);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, OnSending);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, OnData);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
  }

  void HandleFinishedTransfers() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      const CURLcode result = message->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      if (transfer->needs_new_connection && !transfer->cancelled) {
        StartAgain(*transfer);
        continue;
      }
      const TransferEnd end =
          transfer->sent ? EndOfSent(transfer->head, result)
                         : EndOfUnsent(transfer->handle,
                                       transfer->request.relay.has_value());
      const auto callback = std::move(transfer->callbacks.on_end);
      const bool cancelled = transfer->cancelled;
      Remove(transfer->id);
      if (!cancelled && callback) callback(end);
    }
  }

  // Nothing of the request was sent.
  void StartAgain(Transfer& transfer) {
    Free(transfer);
    transfer.handle = nullptr;
    m_to_start.push_back(transfer.id);
    m_later.ArmIn(0s);
  }

  void RemoveCancelled() {
    for (const TransferId id : std::exchange(m_to_remove, {})) Remove(id);
  }

  void Remove(TransferId id) {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) return;
    // Free() may close the connection, and OnClose() then looks the transfer
    // up, so it stays in the map until Free() returns. It is destroyed only
    // after its callbacks, one of which may be running, have returned.
    Free(*found->second);
    const auto ended = m_transfers.extract(found);
    WatchIfKept(*ended.mapped());
  }

  // libcurl closes a socket that was never connected without telling.
  void WatchIfKept(const Transfer& transfer) {
    if (!m_options.on_idle_closed || transfer.request.relay) return;
    if (transfer.cancelled || !transfer.sent || !transfer.head.IsReceived())
      return;
    if (Uses(transfer))
      m_idle.Watch(transfer.descriptor, ServerOf(transfer.request.url));
  }

  void Free(Transfer& transfer) {
    if (transfer.handle != nullptr) {
      m_in_curl = true;
      curl_multi_remove_handle(m_multi, transfer.handle);
      m_in_curl = false;
      if (m_spare.size() < kMaxSpareHandles) {
        curl_easy_reset(transfer.handle);
        m_spare.push_back(transfer.handle);
      } else {
        curl_easy_cleanup(transfer.handle);
      }
    }
    curl_slist_free_all(std::exchange(transfer.header_list, nullptr));
    curl_slist_free_all(std::exchange(transfer.relay_headers, nullptr));
  }

  loop::Loop& m_loop;
  const ClientOptions m_options;
  CURLM* m_multi = nullptr;
  bool m_in_curl = false;
  TransferId m_last_id = 0;
  uint64_t m_bytes_sent = 0;
  uint64_t m_repeated_ids = 0;
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> m_transfers;
  // The last transfer of each connection, by descriptor.
  std::unordered_map<curl_socket_t, TransferId> m_users;
  std::vector<TransferId> m_to_start;
  std::vector<TransferId> m_to_resume;
  std::vector<TransferId> m_to_remove;
  std::vector<CURL*> m_spare;
  IdleConnections m_idle;
  OpenConnections m_open;
  PolledSockets m_sockets;
  loop::Timer m_timer;
  loop::Timer m_later;
};

}  // namespace

std::unique_ptr<Client> MakeClient(loop::Loop& loop,
                                   const ClientOptions& options) {
  return std::make_unique<CurlClient>(loop, options);
}

}  // namespace dotterelshift::http

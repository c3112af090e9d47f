#include "Core/Transport/http_client.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Core/Common/guarded_run.h"
#include "Core/Common/metrics_registry.h"
#include "Core/Transport/socket_poller.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <deque>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace daisyroad {
namespace {

// Maximum size of a response body; a larger one fails the exchange.
constexpr std::size_t kMaxResponseBytes = 64U << 20;
constexpr long kMaxIdleConnections = 2048;
// A handle takes about 6 KB.
constexpr std::size_t kMaxIdleHandles = 128;

// libcurl measures the age of a connection in whole seconds, so for this long
// after a retirement every request uses a new connection. It is closed after
// the request, because a worker accepts few connections.
constexpr std::chrono::seconds kFreshConnectionPeriod{2};
// How long a retirement is remembered. libcurl does not reuse connections that
// were idle for 118 s, so by then no retired connection is left.
constexpr std::chrono::seconds kRetirementRetention{600};

std::string AuthorityOf(const std::string& url) {
  const std::size_t scheme = url.find("://");
  const std::size_t begin = scheme == std::string::npos ? 0 : scheme + 3;
  return url.substr(begin, url.find('/', begin) - begin);
}

struct TrafficCounters {
  MetricsRegistry::Value* sent = nullptr;
  MetricsRegistry::Value* received = nullptr;
  MetricsRegistry::Value* connections = nullptr;
  MetricsRegistry::Value* requests = nullptr;
};

struct Exchange {
  HttpClientRequest request;
  HttpClient::Callback callback;
  MonotonicTime send_before;  // of a request that waits for others
  // When a part of the response arrived last, or the exchange began.
  MonotonicTime last_progress;
  HttpResponse response;
  curl_slist* header_list = nullptr;
  CURL* handle = nullptr;
  bool was_sent = false;  // at least partly

  // libcurl sends a request again by itself if a reused connection breaks
  // before any part of the response arrived.
  bool MayBeSent() const {
    return !this->was_sent || this->request.is_idempotent ||
           this->request.method == "GET" || this->request.method == "HEAD";
  }
  bool HasSilenceLimit() const {
    return this->request.silence_timeout.count() > 0;
  }
  void RecordProgress() {
    if (this->HasSilenceLimit()) {
      this->last_progress = std::chrono::steady_clock::now();
    }
  }

  ~Exchange() {
    curl_slist_free_all(this->header_list);
    if (this->handle != nullptr) {
      curl_easy_cleanup(this->handle);
    }
  }
};

// A request that has ended and whose callback has not run yet.
struct Completion {
  HttpClient::Callback callback;
  Result<HttpResponse> result;
};

// Requests to one peer that have a limit on the number in progress.
struct LimitedPeer {
  int in_progress = 0;
  std::deque<std::unique_ptr<Exchange>> waiting;
};

// Pool of the handles of completed exchanges, because creating a handle costs
// more than a short exchange.
class HandlePool {
 public:
  ~HandlePool() {
    for (CURL* const handle : this->idle) {
      curl_easy_cleanup(handle);
    }
  }

  CURL* Acquire() {
    if (this->idle.empty()) {
      return curl_easy_init();
    }
    CURL* const handle = this->idle.back();
    this->idle.pop_back();
    return handle;
  }

  // The handle must have been removed from its multi handle.
  void Release(CURL* handle) {
    if (this->idle.size() >= kMaxIdleHandles) {
      curl_easy_cleanup(handle);
      return;
    }
    curl_easy_reset(handle);
    this->idle.push_back(handle);
  }

 private:
  std::vector<CURL*> idle;
};

std::size_t OnBody(char* data, std::size_t size, std::size_t n, void* context) {
  Exchange* exchange = static_cast<Exchange*>(context);
  exchange->RecordProgress();
  if (exchange->response.body.size() + size * n > kMaxResponseBytes) {
    return 0;
  }
  exchange->response.body.append(data, size * n);
  return size * n;
}

std::size_t OnHeader(char* data,
                     std::size_t size,
                     std::size_t n,
                     void* context) {
  Exchange* exchange = static_cast<Exchange*>(context);
  exchange->RecordProgress();
  const std::string_view line(data, size * n);
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return size * n;
  }
  std::string name(line.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
    value.remove_prefix(1);
  }
  while (!value.empty() && (value.back() == '\r' || value.back() == '\n')) {
    value.remove_suffix(1);
  }
  exchange->response.headers[name] = std::string(value);
  return size * n;
}

Error ToError(CURLcode code, const Exchange& exchange) {
  Errc errc = Errc::kProtocol;
  std::string detail = curl_easy_strerror(code);
  if (code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT) {
    errc = Errc::kUnavailable;
  } else if (code == CURLE_COULDNT_CONNECT ||
             code == CURLE_OPERATION_TIMEDOUT) {
    // The error may be that of a second sending.
    errc = exchange.was_sent ? Errc::kTimeout : Errc::kUnavailable;
  } else if (code == CURLE_ABORTED_BY_CALLBACK) {
    detail = "the connection broke before a response arrived";
  }
  return Error{errc, "http." + exchange.request.method, exchange.request.url,
               detail};
}

// Called when a connection is there, before each sending of the request.
int OnSending(void* context,
              char* /*peer_address*/,
              char* /*local_address*/,
              int /*peer_port*/,
              int /*local_port*/) {
  Exchange* exchange = static_cast<Exchange*>(context);
  if (!exchange->MayBeSent()) {
    return CURL_PREREQFUNC_ABORT;
  }
  exchange->was_sent = true;
  return CURL_PREREQFUNC_OK;
}

// Makes closing a connection reset it, so that an abandoned request
// does not reach its peer later, when a network partition ends. Does not let
// libcurl connect for a second sending that would be prevented.
int OnSocketCreated(void* context,
                    curl_socket_t socket,
                    curlsocktype /*purpose*/) {
  if (!static_cast<const Exchange*>(context)->MayBeSent()) {
    return CURL_SOCKOPT_ERROR;
  }
  const linger reset_on_close{1, 0};
  return setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close,
                    sizeof(reset_on_close)) == 0
             ? CURL_SOCKOPT_OK
             : CURL_SOCKOPT_ERROR;
}

int OnSocketClosing(void* context, curl_socket_t socket) {
  static_cast<SocketPoller*>(context)->Forget(socket);
  return close(socket);
}

// `poller` watches the sockets of the exchange.
void Configure(Exchange* exchange, SocketPoller* poller) {
  CURL* handle = exchange->handle;
  const HttpClientRequest& request = exchange->request;
  curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (request.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  }
  for (const std::pair<const std::string, std::string>& header :
       request.headers) {
    exchange->header_list = curl_slist_append(
        exchange->header_list, (header.first + ": " + header.second).c_str());
  }
  // Without this header libcurl waits up to one second for "100 Continue"
  // before it sends a body larger than 1 KB.
  exchange->header_list = curl_slist_append(exchange->header_list, "Expect:");
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, exchange->header_list);
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
  }
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &OnSocketCreated);
  curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, exchange);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &OnSending);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, exchange);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &OnSocketClosing);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, poller);
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(request.connect_timeout.count()));
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));
  if (request.fresh_connection) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, exchange);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, exchange);
}

// Prevents the exchange from reusing connections that were made before the
// retirement, which happened `elapsed` ago.
void AvoidOlderConnections(CURL* handle, Duration elapsed) {
  if (elapsed < kFreshConnectionPeriod) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    return;
  }
  // libcurl closes a connection if its age in whole seconds exceeds the limit.
  // A limit of one second less than `elapsed` closes all connections that are
  // older than `elapsed`.
  const std::int64_t seconds =
      std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
  curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN,
                   static_cast<long>(seconds - 1));
}

}  // namespace

class HttpClient::Impl {
 public:
  Impl(Executor executor, MetricsRegistry* metrics, Milliseconds batch_interval)
      : executor(std::move(executor)),
        metrics(metrics),
        batch_interval(batch_interval) {
    static const CURLcode kGlobalInitResult =
        curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(kGlobalInitResult);
    this->multi = curl_multi_init();
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &OnSocketInterest);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, &this->poller);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    this->thread = std::thread([this]() { this->Run(); });
  }

  ~Impl() {
    this->stopping = true;
    this->poller.Wake();
    this->thread.join();
    for (const std::pair<CURL* const, std::unique_ptr<Exchange>>& entry :
         this->active) {
      curl_multi_remove_handle(this->multi, entry.first);
    }
    this->active.clear();
    curl_multi_cleanup(this->multi);
  }

  void Enqueue(HttpClientRequest request, Callback callback) {
    std::unique_ptr<Exchange> exchange = std::make_unique<Exchange>();
    exchange->send_before = std::chrono::steady_clock::now() + request.timeout;
    exchange->request = std::move(request);
    exchange->callback = std::move(callback);
    bool was_empty = false;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      was_empty = this->queue.empty();
      this->queue.push_back(std::move(exchange));
    }
    // The thread takes the whole queue at once.
    if (was_empty) {
      this->poller.Wake();
    }
  }

  void Retire(const std::string& authority) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->pending_retirements.push_back(authority);
    }
    this->poller.Wake();
  }

 private:
  void Run() {
    while (!this->stopping) {
      this->RetireQueued();
      this->StartQueued();
      this->HandleTimeout();
      this->FailSilent();
      this->CompleteFinished();
      this->DeliverCompletions();
      this->AwaitBatch();
      for (const SocketPoller::Event& event :
           this->poller.Wait(this->NextDue())) {
        this->HandleSocket(event);
      }
      this->CompleteFinished();
      this->DeliverCompletions();
    }
  }

  // Lets events gather, so that a busy client handles several at a time.
  void AwaitBatch() {
    if (this->batch_interval.count() == 0) {
      return;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (now < this->next_batch_at) {
      std::this_thread::sleep_until(this->next_batch_at);
    }
    this->next_batch_at =
        std::max(now, this->next_batch_at) + this->batch_interval;
  }

  static int OnSocketInterest(CURL* /*handle*/,
                              curl_socket_t socket,
                              int interest,
                              void* context,
                              void* /*socket_data*/) {
    static_cast<SocketPoller*>(context)->SetInterest(
        socket, (interest & CURL_POLL_IN) != 0 && interest != CURL_POLL_REMOVE,
        (interest & CURL_POLL_OUT) != 0 && interest != CURL_POLL_REMOVE);
    return 0;
  }

  static int OnTimer(CURLM* /*multi*/, long delay_ms, void* context) {
    std::optional<MonotonicTime>& due = static_cast<Impl*>(context)->due;
    due.reset();
    if (delay_ms >= 0) {
      due = std::chrono::steady_clock::now() + Milliseconds(delay_ms);
    }
    return 0;
  }

  void HandleTimeout() {
    int running = 0;
    // Handling a timeout may set the next one, for a new transfer at once.
    while (this->due && *this->due <= std::chrono::steady_clock::now()) {
      this->due.reset();
      curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  }

  void HandleSocket(const SocketPoller::Event& event) {
    const int mask = (event.is_readable ? CURL_CSELECT_IN : 0) |
                     (event.is_writable ? CURL_CSELECT_OUT : 0) |
                     (event.is_failed ? CURL_CSELECT_ERR : 0);
    int running = 0;
    curl_multi_socket_action(this->multi, event.socket, mask, &running);
  }

  void RetireQueued() {
    std::vector<std::string> batch;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      batch.swap(this->pending_retirements);
    }
    const std::chrono::steady_clock::time_point now =
        std::chrono::steady_clock::now();
    for (const std::string& authority : batch) {
      this->retired_at[authority] = now;
      this->FailActive(authority);
    }
  }

  void FailActive(const std::string& authority) {
    std::vector<CURL*> handles;
    for (const std::pair<CURL* const, std::unique_ptr<Exchange>>& entry :
         this->active) {
      const HttpClientRequest& request = entry.second->request;
      if (!request.fresh_connection && AuthorityOf(request.url) == authority) {
        handles.push_back(entry.first);
      }
    }
    for (CURL* const handle : handles) {
      const HttpClientRequest& request = this->active.at(handle)->request;
      this->Abort(handle,
                  Error{Errc::kTimeout, "http." + request.method, request.url,
                        "the connection was retired while the request "
                        "was in progress"});
    }
  }

  void Abort(CURL* handle, Error error) {
    const std::unique_ptr<Exchange> exchange = std::move(this->active[handle]);
    this->active.erase(handle);
    this->silence_limited.erase(handle);
    // Removing an unfinished transfer closes its connection.
    curl_multi_remove_handle(this->multi, handle);
    this->AddCompletion(exchange.get(), std::move(error));
    this->ReleaseSlot(*exchange);
  }

  // Fails the exchanges whose peer has been silent for too long.
  void FailSilent() {
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (!this->next_silence_check || now < *this->next_silence_check) {
      return;
    }
    this->next_silence_check.reset();
    std::vector<CURL*> silent;
    for (CURL* const handle : this->silence_limited) {
      const Exchange& exchange = *this->active.at(handle);
      const MonotonicTime limit =
          exchange.last_progress + exchange.request.silence_timeout;
      if (limit <= now) {
        silent.push_back(handle);
      } else {
        this->ScheduleSilenceCheck(limit);
      }
    }
    for (CURL* const handle : silent) {
      this->Abort(handle,
                  ToError(CURLE_OPERATION_TIMEDOUT, *this->active.at(handle)));
    }
  }

  void ScheduleSilenceCheck(MonotonicTime time) {
    this->next_silence_check =
        std::min(time, this->next_silence_check.value_or(time));
  }

  std::optional<MonotonicTime> NextDue() const {
    if (!this->next_silence_check) {
      return this->due;
    }
    return std::min(*this->next_silence_check,
                    this->due.value_or(*this->next_silence_check));
  }

  void AvoidRetiredConnections(const Exchange& exchange) {
    const std::unordered_map<
        std::string, std::chrono::steady_clock::time_point>::iterator found =
        this->retired_at.find(AuthorityOf(exchange.request.url));
    if (found == this->retired_at.end() || exchange.request.fresh_connection) {
      return;
    }
    const Duration elapsed = std::chrono::steady_clock::now() - found->second;
    if (elapsed > kRetirementRetention) {
      this->retired_at.erase(found);
      return;
    }
    AvoidOlderConnections(exchange.handle, elapsed);
  }

  void StartQueued() {
    std::deque<std::unique_ptr<Exchange>> batch;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      batch.swap(this->queue);
    }
    for (std::unique_ptr<Exchange>& exchange : batch) {
      const int limit = exchange->request.max_in_progress;
      if (limit > 0) {
        LimitedPeer& peer =
            this->limited_peers[AuthorityOf(exchange->request.url)];
        if (peer.in_progress >= limit) {
          peer.waiting.push_back(std::move(exchange));
          continue;
        }
        ++peer.in_progress;
      }
      this->StartExchange(std::move(exchange));
    }
  }

  void StartExchange(std::unique_ptr<Exchange> exchange) {
    exchange->handle = this->handles.Acquire();
    Configure(exchange.get(), &this->poller);
    this->AvoidRetiredConnections(*exchange);
    CURL* const handle = exchange->handle;
    if (exchange->HasSilenceLimit()) {
      exchange->RecordProgress();
      this->silence_limited.insert(handle);
      this->ScheduleSilenceCheck(exchange->last_progress +
                                 exchange->request.silence_timeout);
    }
    this->active[handle] = std::move(exchange);
    curl_multi_add_handle(this->multi, handle);
  }

  // Starts the next request that waits for the end of this one.
  void ReleaseSlot(const Exchange& ended) {
    if (ended.request.max_in_progress == 0) {
      return;
    }
    const std::unordered_map<std::string, LimitedPeer>::iterator found =
        this->limited_peers.find(AuthorityOf(ended.request.url));
    LimitedPeer& peer = found->second;
    while (!peer.waiting.empty()) {
      std::unique_ptr<Exchange> next = std::move(peer.waiting.front());
      peer.waiting.pop_front();
      if (std::chrono::steady_clock::now() < next->send_before) {
        this->StartExchange(std::move(next));
        return;
      }
      this->AddCompletion(
          next.get(),
          Error{Errc::kUnavailable, "http." + next->request.method,
                next->request.url,
                "not sent within its timeout: too many requests to this peer "
                "were in progress"});
    }
    if (--peer.in_progress == 0) {
      this->limited_peers.erase(found);
    }
  }

  void CompleteFinished() {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      CURL* const handle = message->easy_handle;
      std::unique_ptr<Exchange> exchange = std::move(this->active[handle]);
      this->active.erase(handle);
      this->silence_limited.erase(handle);
      this->Complete(code, exchange.get());
      curl_multi_remove_handle(this->multi, handle);
      exchange->handle = nullptr;
      this->handles.Release(handle);
      this->ReleaseSlot(*exchange);
    }
  }

  void Complete(CURLcode code, Exchange* exchange) {
    long status = 0;
    curl_easy_getinfo(exchange->handle, CURLINFO_RESPONSE_CODE, &status);
    exchange->response.status = static_cast<int>(status);
    this->Count(*exchange);
    Result<HttpResponse> result =
        code == CURLE_OK ? Result<HttpResponse>(std::move(exchange->response))
                         : Result<HttpResponse>(ToError(code, *exchange));
    this->AddCompletion(exchange, std::move(result));
  }

  // The callback runs at the next DeliverCompletions().
  void AddCompletion(Exchange* exchange, Result<HttpResponse> result) {
    this->completions.push_back(
        Completion{std::move(exchange->callback), std::move(result)});
  }

  // Runs the callbacks of all requests that have ended since the last call.
  void DeliverCompletions() {
    if (this->completions.empty()) {
      return;
    }
    this->executor([batch = std::exchange(this->completions, {})]() mutable {
      for (Completion& completion : batch) {
        RunGuarded([&completion]() {
          completion.callback(std::move(completion.result));
        });
      }
    });
  }

  void Count(const Exchange& exchange) {
    if (this->metrics == nullptr) {
      return;
    }
    long request_headers = 0;
    long response_headers = 0;
    long connections = 0;
    curl_easy_getinfo(exchange.handle, CURLINFO_REQUEST_SIZE, &request_headers);
    curl_easy_getinfo(exchange.handle, CURLINFO_HEADER_SIZE, &response_headers);
    curl_easy_getinfo(exchange.handle, CURLINFO_NUM_CONNECTS, &connections);
    const TrafficCounters& counters =
        this->CountersOf(exchange.request.traffic);
    *counters.sent += request_headers +
                      static_cast<std::int64_t>(exchange.request.body.size());
    *counters.received += response_headers + static_cast<std::int64_t>(
                                                 exchange.response.body.size());
    *counters.connections += connections;
    ++*counters.requests;
  }

  const TrafficCounters& CountersOf(const std::string& traffic) {
    TrafficCounters& counters = this->counters[traffic];
    if (counters.requests == nullptr) {
      const std::string label = "traffic=\"" + traffic + "\"";
      counters.sent =
          &this->metrics->Counter("daisyroad_http_sent_bytes_total", label);
      counters.received =
          &this->metrics->Counter("daisyroad_http_received_bytes_total", label);
      counters.connections =
          &this->metrics->Counter("daisyroad_http_connections_total", label);
      counters.requests =
          &this->metrics->Counter("daisyroad_http_requests_total", label);
    }
    return counters;
  }

  Executor executor;
  MetricsRegistry* metrics;
  Milliseconds batch_interval;
  MonotonicTime next_batch_at;
  SocketPoller poller;
  CURLM* multi = nullptr;
  // When libcurl has to be called next, whatever happens to its sockets.
  std::optional<MonotonicTime> due;
  HandlePool handles;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::deque<std::unique_ptr<Exchange>> queue;
  std::vector<std::string> pending_retirements;
  // Time of the last retirement by authority; accessed only on `thread`.
  std::unordered_map<std::string, std::chrono::steady_clock::time_point>
      retired_at;
  std::unordered_map<CURL*, std::unique_ptr<Exchange>> active;
  std::unordered_set<CURL*> silence_limited;  // exchanges with such a limit
  std::optional<MonotonicTime> next_silence_check;
  std::vector<Completion> completions;
  std::unordered_map<std::string, LimitedPeer> limited_peers;  // by authority
  std::unordered_map<std::string, TrafficCounters> counters;   // by label
  std::thread thread;
};

HttpClient::HttpClient(Executor executor,
                       MetricsRegistry* metrics,
                       Milliseconds batch_interval)
    : impl(std::make_unique<Impl>(std::move(executor),
                                  metrics,
                                  batch_interval)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpClientRequest request, Callback callback) {
  this->impl->Enqueue(std::move(request), std::move(callback));
}

void HttpClient::RetireConnections(const std::string& authority) {
  this->impl->Retire(authority);
}

}  // namespace daisyroad

#include "dotterelshift/ctl/transport.h"

#include <curl/curl.h>  // for curl_easy_perform

#include <array>  // for array

namespace dotterelshift::ctl {
namespace {

constexpr int kMaxRedirects = 5;
constexpr int kTemporaryRedirect = 307;
constexpr long kConnectTimeoutMs = 3000;  // NOLINT(google-runtime-int): curl's
constexpr long kTotalTimeoutMs = 30000;   // NOLINT(google-runtime-int): curl's

struct EasyCloser {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct ListCloser {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using Easy = std::unique_ptr<CURL, EasyCloser>;
using HeaderList = std::unique_ptr<curl_slist, ListCloser>;

size_t AppendBody(char* data, size_t size, size_t count, void* body) {
  static_cast<std::string*>(body)->append(data, size * count);
  return size * count;
}

HeaderList HeadersOf(const TransportRequest& request) {
  const std::string key = "Authorization: Bearer " + request.operator_key;
  curl_slist* list = curl_slist_append(nullptr, key.c_str());
  list = curl_slist_append(list, "Content-Type: application/yaml");
  return HeaderList(curl_slist_append(list, "Expect:"));
}

class CurlTransport : public Transport {
 public:
  CurlTransport() { curl_global_init(CURL_GLOBAL_DEFAULT); }
  ~CurlTransport() override { curl_global_cleanup(); }

  TransportResponse Send(const std::string& host,
                         const TransportRequest& request) override {
    std::string url = "http://" + host + request.path;
    TransportResponse answer;
    // Redirects are followed here because libcurl drops the Authorization
    // header when it is redirected to another host.
    for (int i = 0; i <= kMaxRedirects && !url.empty(); ++i)
      answer = SendOnce(request, &url);
    if (answer.status == kTemporaryRedirect) {
      answer.reached = false;
      answer.failure = "the hosts lead to each other in a circle";
    }
    return answer;
  }

 private:
  // Sends one request to `url`, and sets `url` to the target of the redirect,
  // or to empty if there is none.
  static TransportResponse SendOnce(const TransportRequest& request,
                                    std::string* url) {
    const Easy easy(curl_easy_init());
    const HeaderList headers = HeadersOf(request);
    std::array<char, CURL_ERROR_SIZE> failure{};
    TransportResponse answer;
    CURL* handle = easy.get();
    curl_easy_setopt(handle, CURLOPT_URL, url->c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, kTotalTimeoutMs);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, failure.data());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
    if (request.method == "POST") {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, request.body.c_str());
    }
    const CURLcode code = curl_easy_perform(handle);
    const std::string sent_to = std::move(*url);
    url->clear();
    if (code != CURLE_OK) {
      answer.failure = sent_to + ": " +
                       (failure[0] ? failure.data() : curl_easy_strerror(code));
      return answer;
    }
    answer.reached = true;
    long status = 0;  // NOLINT(google-runtime-int): curl's type
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    const char* next = nullptr;
    curl_easy_getinfo(handle, CURLINFO_REDIRECT_URL, &next);
    if (answer.status == kTemporaryRedirect && next) *url = next;
    return answer;
  }
};

}  // namespace

std::unique_ptr<Transport> MakeTransport() {
  return std::make_unique<CurlTransport>();
}

}  // namespace dotterelshift::ctl

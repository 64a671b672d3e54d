#include "dotterelshift/gateway/response_verdict.h"

namespace dotterelshift::gateway {
namespace {

constexpr int kFirstErrorStatus = 400;

// Endpoints echo the id of the request that they answer. Without one, only the
// first response on a connection can be attributed.
bool IsOfThis(const SentRequest& request, const ResponseInfo& response) {
  if (response.echoed_id.empty() && request.new_connection) return true;
  return response.echoed_id == request.caller_id;
}

}  // namespace

std::string_view NameOf(ResponseVerdict verdict) {
  switch (verdict) {
    case ResponseVerdict::kOfAnother:
      return "of_another";
    case ResponseVerdict::kNotRun:
      return "not_run";
    case ResponseVerdict::kMisdirected:
      return "misdirected";
    case ResponseVerdict::kRan:
      return "ran";
  }
  return "unknown";
}

ResponseVerdict Judge(const SentRequest& request, int status,
                      const ResponseInfo& response) {
  if (!IsOfThis(request, response)) return ResponseVerdict::kOfAnother;
  if (response.address_reassigned) return ResponseVerdict::kMisdirected;
  // A success that claims not to have run contradicts itself.
  if (response.not_run && status >= kFirstErrorStatus)
    return ResponseVerdict::kNotRun;
  return ResponseVerdict::kRan;
}

}  // namespace dotterelshift::gateway

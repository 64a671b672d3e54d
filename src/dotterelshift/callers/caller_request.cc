#include "dotterelshift/callers/caller_request.h"

#include <xxhash.h>  // for XXH3_64bits_withSeed

#include <algorithm>          // for all_of
#include <array>              // for array
#include <charconv>           // for from_chars
#include <nlohmann/json.hpp>  // for json
#include <string_view>        // for string_view
#include <utility>            // for move

#include "dotterelshift/callers/prompt.h"  // for IsUtf8, PrefixHashes

namespace dotterelshift::callers {
namespace {

using nlohmann::json;

constexpr size_t kMaxKeyBytes = 512;
constexpr size_t kMaxNameBytes = 128;
// First character of the keys that entries generate for requests without one;
// callers may not use it.
constexpr char kReservedKeyPrefix = '~';
constexpr size_t kMaxIdempotencyKeyBytes = 255;
constexpr int kMinPriority = -10;
constexpr int kMaxPriority = 10;

// Upper bounds of the tokens that a chat template adds once per prompt and once
// per message.
constexpr Tokens kTemplateTokens = 64;
constexpr Tokens kTemplateTokensPerMessage = 16;

// Upper bound of the tokens that an engine makes of one content item that is
// not text.
constexpr Tokens kMaxTokensPerMediaItem = 16384;

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::array<std::string_view, 6> kServiceMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};

// Thrown at the first invalid field; caught in ParseCallerRequest.
struct Fault {
  Refusal refusal;
};

[[noreturn]] void Refuse(ErrorKind kind, std::string detail) {
  throw Fault{{kind, std::move(detail)}};
}

bool IsVisibleAscii(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

// Parses a header as an integer; refuses anything else and values out of range.
int64_t NumberIn(std::string_view text, std::string_view header,
                 int64_t min_allowed, int64_t max_allowed) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, number);
  if (fault != std::errc() || stop != end || number < min_allowed ||
      number > max_allowed) {
    Refuse(ErrorKind::kBadHeader, std::string(header) +
                                      ": a whole number from " +
                                      std::to_string(min_allowed) + " to " +
                                      std::to_string(max_allowed));
  }
  return number;
}

std::string NameIn(const http::Request& request, const char* header) {
  const std::string_view name = request.Header(header);
  if (name.size() > kMaxNameBytes || !IsVisibleAscii(name))
    Refuse(ErrorKind::kBadHeader, std::string(header) + ": not a name");
  return std::string(name);
}

void ReadKey(const http::Request& request, const std::string& fleet_secret,
             CallerRequest& parsed) {
  constexpr std::string_view kScheme = "Bearer ";
  std::string_view key = request.Header("authorization");
  if (!key.starts_with(kScheme))
    Refuse(ErrorKind::kUnauthorized, "Authorization: Bearer KEY is expected");
  key.remove_prefix(kScheme.size());
  if (key.empty() || key.size() > kMaxKeyBytes || !IsVisibleAscii(key))
    Refuse(ErrorKind::kUnauthorized, "the key is not one of ours");
  parsed.key_hash = state::HashKey(key, fleet_secret);
}

void ReadIdempotency(const http::Request& request, CallerRequest& parsed) {
  const std::string_view key = request.Header("idempotency-key");
  if (key.size() > kMaxIdempotencyKeyBytes || !IsVisibleAscii(key))
    Refuse(ErrorKind::kBadHeader,
           "Idempotency-Key: at most 255 visible ASCII characters");
  if (key.starts_with(kReservedKeyPrefix))
    Refuse(ErrorKind::kBadHeader, "Idempotency-Key: not with a leading '~'");
  parsed.idempotency_key = key;
  const std::string_view idempotent =
      request.Header("dotterelshift-idempotent");
  if (!idempotent.empty() && idempotent != "true" && idempotent != "false")
    Refuse(ErrorKind::kBadHeader, "Dotterelshift-Idempotent: true or false");
  parsed.idempotent = idempotent != "false";
  if (!parsed.idempotent && key.empty())
    Refuse(ErrorKind::kKeyRequired, "Idempotency-Key is missing");
}

void ReadHeaders(const http::Request& request, const CallerLimits& limits,
                 const std::string& fleet_secret, CallerRequest& parsed) {
  ReadKey(request, fleet_secret, parsed);
  ReadIdempotency(request, parsed);
  parsed.claimed_team = NameIn(request, "dotterelshift-team");
  parsed.budget = NameIn(request, "dotterelshift-budget");
  parsed.deadline = limits.default_deadline;
  if (const auto deadline = request.Header("dotterelshift-deadline-ms");
      !deadline.empty()) {
    parsed.deadline = std::chrono::milliseconds(NumberIn(
        deadline, "Dotterelshift-Deadline-Ms", 1, ToMs(limits.max_deadline)));
  }
  if (const auto priority = request.Header("dotterelshift-priority");
      !priority.empty()) {
    parsed.priority = static_cast<int>(NumberIn(
        priority, "Dotterelshift-Priority", kMinPriority, kMaxPriority));
  }
}

// An optional field, or nullptr if it is absent or null.
const json* FieldOf(const json& body, const char* name) {
  const auto found = body.find(name);
  return found == body.end() || found->is_null() ? nullptr : &*found;
}

bool BoolOf(const json& body, const char* name) {
  const json* field = FieldOf(body, name);
  if (field == nullptr) return false;
  if (!field->is_boolean())
    Refuse(ErrorKind::kBadField, std::string(name) + ": true or false");
  return field->get<bool>();
}

// Reads the output limit from the field `name`; 0 if the field is absent.
Tokens ReadOutputLimit(const json& body, const char* name,
                       const CallerLimits& limits) {
  const json* field = FieldOf(body, name);
  if (field == nullptr) return 0;
  const bool whole = field->is_number_integer();
  // The JSON parser stores a number above the signed range as unsigned.
  const bool exceeds_limit =
      field->is_number_unsigned() &&
      field->get<uint64_t>() > static_cast<uint64_t>(limits.max_output_limit);
  if (!whole || exceeds_limit || field->get<int64_t>() < 1 ||
      field->get<int64_t>() > limits.max_output_limit) {
    Refuse(ErrorKind::kBadOutputLimit,
           std::string(name) + ": a whole number from 1 to " +
               std::to_string(limits.max_output_limit));
  }
  return field->get<Tokens>();
}

// Determines the output limit (the smaller one if both fields are given) and
// writes it into the body for the endpoint.
Tokens SetOutputLimit(json& body, const CallerLimits& limits) {
  const Tokens max_tokens = ReadOutputLimit(body, "max_tokens", limits);
  const Tokens max_completion_tokens =
      ReadOutputLimit(body, "max_completion_tokens", limits);
  Tokens limit = limits.default_output_limit;
  if (max_tokens > 0 && max_completion_tokens > 0) {
    limit = std::min(max_tokens, max_completion_tokens);
  } else if (max_tokens + max_completion_tokens > 0) {
    limit = max_tokens + max_completion_tokens;
  }
  body["max_tokens"] = limit;
  if (max_completion_tokens > 0) body["max_completion_tokens"] = limit;
  return limit;
}

// Refuses several completions of one prompt: they would multiply the worst-case
// cost.
void CheckSingleChoice(const json& body) {
  for (const char* name : {"n", "best_of"}) {
    const json* field = FieldOf(body, name);
    if (field != nullptr && *field != 1)
      Refuse(ErrorKind::kBadField, std::string(name) + ": only 1 is offered");
  }
}

// Appends a message's text to the prompt. Returns an upper bound of the tokens
// of the content items that are not text.
Tokens AppendContent(const json& content, std::string* prompt) {
  if (content.is_null()) return 0;
  if (content.is_string()) {
    *prompt += content.get_ref<const std::string&>();
    return 0;
  }
  if (!content.is_array())
    Refuse(ErrorKind::kBadField, "messages: content is a text or a list");
  Tokens media = 0;
  for (const json& part : content) {
    if (!part.is_object())
      Refuse(ErrorKind::kBadField, "messages: a part of content is an object");
    const json* text = FieldOf(part, "text");
    if (text != nullptr && text->is_string()) {
      *prompt += text->get_ref<const std::string&>();
    } else {
      media += kMaxTokensPerMediaItem;
    }
  }
  return media;
}

Tokens ReadMessages(const json& body, std::string* prompt) {
  const json* messages = FieldOf(body, "messages");
  if (messages == nullptr || !messages->is_array() || messages->empty())
    Refuse(ErrorKind::kBadField, "messages: a list with at least one message");
  Tokens extra = kTemplateTokens;
  for (const json& message : *messages) {
    if (!message.is_object())
      Refuse(ErrorKind::kBadField, "messages: each is an object");
    const json* role = FieldOf(message, "role");
    if (role == nullptr || !role->is_string())
      Refuse(ErrorKind::kBadField, "messages: each has a role");
    *prompt += role->get_ref<const std::string&>();
    *prompt += '\n';
    if (const json* content = FieldOf(message, "content"))
      extra += AppendContent(*content, prompt);
    *prompt += '\n';
    extra += kTemplateTokensPerMessage;
  }
  return extra;
}

Tokens ReadPrompt(const json& body, std::string* prompt) {
  const json* field = FieldOf(body, "prompt");
  if (field != nullptr && field->is_string()) {
    *prompt = field->get_ref<const std::string&>();
    return kTemplateTokens;
  }
  const bool token_ids =
      field != nullptr && field->is_array() && !field->empty() &&
      std::ranges::all_of(
          *field, [](const json& id) { return id.is_number_unsigned(); });
  if (!token_ids)
    Refuse(ErrorKind::kBadField, "prompt: one text, or one list of token ids");
  *prompt = field->dump();
  return kTemplateTokens;
}

void RequestUsage(json& body, CallerRequest& parsed) {
  parsed.stream = BoolOf(body, "stream");
  const json* options = FieldOf(body, "stream_options");
  if (options != nullptr && !options->is_object())
    Refuse(ErrorKind::kBadField, "stream_options: an object");
  if (options != nullptr)
    parsed.wants_usage = BoolOf(*options, "include_usage");
  if (!parsed.stream) {
    body.erase("stream_options");
    return;
  }
  body["stream_options"]["include_usage"] = true;
}

uint64_t ContentHash(const CallerRequest& parsed) {
  const uint64_t target =
      XXH3_64bits_withSeed(parsed.target.data(), parsed.target.size(),
                           static_cast<uint64_t>(parsed.kind));
  const uint64_t path =
      XXH3_64bits_withSeed(parsed.path.data(), parsed.path.size(), target);
  return XXH3_64bits_withSeed(parsed.body.data(), parsed.body.size(), path);
}

void ReadModelCall(const http::Request& request, const CallerLimits& limits,
                   CallerRequest& parsed) {
  if (request.method != "POST")
    Refuse(ErrorKind::kBadMethod, "POST is expected");
  if (!IsUtf8(request.body)) Refuse(ErrorKind::kBadUtf8, "");
  json body = json::parse(request.body, nullptr, false);
  if (body.is_discarded()) Refuse(ErrorKind::kBadJson, "");
  if (!body.is_object())
    Refuse(ErrorKind::kBadField, "the body is a JSON object");
  const json* model = FieldOf(body, "model");
  if (model == nullptr || !model->is_string() ||
      model->get_ref<const std::string&>().empty())
    Refuse(ErrorKind::kBadField, "model: a name");
  parsed.target = model->get<std::string>();
  CheckSingleChoice(body);
  parsed.output_limit = SetOutputLimit(body, limits);
  RequestUsage(body, parsed);
  std::string prompt;
  const Tokens extra = parsed.kind == RequestKind::kChat
                           ? ReadMessages(body, &prompt)
                           : ReadPrompt(body, &prompt);
  if (parsed.priority != 0) body["priority"] = parsed.priority;
  parsed.prefix_hashes =
      PrefixHashes(parsed.target, prompt, limits.prefix_block_bytes,
                   limits.max_prefix_blocks);
  parsed.path = request.path;
  parsed.content_type = "application/json";
  parsed.body = body.dump();
  // Each token represents at least one byte, so the body's size bounds the
  // tokens of any fields that the engine puts into the prompt.
  parsed.prompt_bound = static_cast<Tokens>(parsed.body.size()) + extra;
}

void ReadServiceCall(const http::Request& request, const CallerLimits& limits,
                     CallerRequest& parsed) {
  std::string_view rest = request.path;
  rest.remove_prefix(kServicePrefix.size());
  parsed.target = rest.substr(0, rest.find('/'));
  if (parsed.target.empty())
    Refuse(ErrorKind::kUnknownPath, "/v1/services/NAME/... is expected");
  if (std::ranges::find(kServiceMethods, request.method) ==
      kServiceMethods.end())
    Refuse(ErrorKind::kBadMethod, "");
  parsed.method = request.method;
  parsed.path = request.path;
  if (!request.query.empty()) parsed.path.append("?").append(request.query);
  parsed.content_type = request.Header("content-type");
  parsed.body = request.body;
  parsed.output_limit = limits.service_charge;
}

RequestKind KindOf(const http::Request& request) {
  const std::string& path = request.path;
  const bool plain = IsVisibleAscii(path) && IsVisibleAscii(request.query) &&
                     path.find("/..") == std::string::npos;
  if (plain && path == "/v1/chat/completions") return RequestKind::kChat;
  if (plain && path == "/v1/completions") return RequestKind::kCompletion;
  if (plain && path.starts_with(kServicePrefix)) return RequestKind::kService;
  Refuse(ErrorKind::kUnknownPath, "");
}

}  // namespace

std::variant<CallerRequest, Refusal> ParseCallerRequest(
    const http::Request& request, const CallerLimits& limits,
    const std::string& fleet_secret) {
  CallerRequest parsed;
  try {
    parsed.kind = KindOf(request);
    ReadHeaders(request, limits, fleet_secret, parsed);
    if (parsed.kind == RequestKind::kService) {
      ReadServiceCall(request, limits, parsed);
    } else {
      ReadModelCall(request, limits, parsed);
    }
  } catch (const Fault& fault) {
    return fault.refusal;
  }
  parsed.content_hash = ContentHash(parsed);
  return parsed;
}

}  // namespace dotterelshift::callers

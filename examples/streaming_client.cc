// Requests a streamed chat completion and prints the response as it arrives.
//
//   streaming_client http://127.0.0.1:8080 KEY MODEL "What to ask"
#include <iostream>           // for cout
#include <nlohmann/json.hpp>  // for json
#include <string>             // for string

#include "dotterelshift/http/client.h"  // for MakeClient
#include "dotterelshift/loop/loop.h"    // for Loop

namespace {

using dotterelshift::http::ClientRequest;
using dotterelshift::http::Headers;
using dotterelshift::http::TransferCallbacks;
using dotterelshift::http::TransferEnd;
using nlohmann::json;

// Prints the text of one event. Returns true for the end marker of the stream;
// a response without it is incomplete.
bool PrintEvent(const std::string& line) {
  constexpr std::string_view kData = "data: ";
  if (!line.starts_with(kData)) return false;
  const std::string data = line.substr(kData.size());
  if (data == "[DONE]") return true;
  const json event = json::parse(data, nullptr, false);
  if (event.is_object() && event.contains("error")) {
    std::cerr << "\nerror: " << event["error"].dump() << '\n';
    return false;
  }
  const json::json_pointer text("/choices/0/delta/content");
  if (event.is_object() && event.contains(text))
    std::cout << event.at(text).get<std::string>() << std::flush;
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: streaming_client URL KEY MODEL PROMPT\n";
    return 2;
  }
  const json body = {{"model", argv[3]},
                     {"stream", true},
                     {"messages", {{{"role", "user"}, {"content", argv[4]}}}}};
  ClientRequest request;
  request.url = std::string(argv[1]) + "/v1/chat/completions";
  request.headers = {{"Authorization", std::string("Bearer ") + argv[2]},
                     {"Content-Type", "application/json"}};
  request.body = body.dump();

  dotterelshift::loop::Loop loop;
  const auto client = dotterelshift::http::MakeClient(loop);
  bool done = false;
  std::string rest;
  TransferCallbacks callbacks;
  callbacks.on_head = [](int status, const Headers&) {
    if (status != 200) std::cerr << "status " << status << '\n';
  };
  callbacks.on_chunk = [&](std::string_view chunk) {
    rest += chunk;
    size_t end = rest.find('\n');
    while (end != std::string::npos) {
      done = PrintEvent(rest.substr(0, end)) || done;
      rest.erase(0, end + 1);
      end = rest.find('\n');
    }
    return true;
  };
  callbacks.on_end = [&](TransferEnd) { loop.Stop(); };
  client->Start(std::move(request), std::move(callbacks));
  loop.Run();
  std::cout << '\n';
  if (!done) std::cerr << rest << "response incomplete: no [DONE] event\n";
  return done ? 0 : 1;
}

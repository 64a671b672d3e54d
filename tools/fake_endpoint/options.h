#ifndef DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_OPTIONS_H_
#define DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_OPTIONS_H_

#include <tclap/CmdLine.h>  // for CmdLine

#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <memory>      // for make_shared
#include <sstream>     // for istringstream
#include <string>      // for string
#include <vector>      // for vector

#include "dotterelshift/base/time.h"    // for Duration
#include "dotterelshift/base/tokens.h"  // for Tokens

namespace dotterelshift::fake {

// Behaviour of the fake endpoint. By default it has no faults.
struct Options {
  std::string id = "fake-1";
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string port_file;
  std::vector<std::string> announce_to;  // addresses of entries, as IP:port
  Duration announce_interval = 500ms;
  std::string data_centre = "local";
  std::string role;
  std::vector<std::string> models;
  std::vector<std::string> services;
  bool checks_fencing = false;

  Tokens tokens = 16;  // per response, unless the request's limit is lower
  Duration token_interval = 5ms;  // 0: all tokens at once
  Duration first_token_delay = 0ms;
  int slots = 64;             // requests that run concurrently; others wait
  size_t max_waiting = 1024;  // further requests are refused with 429

  int cut_after = -1;      // tokens after which a stream is aborted; -1: never
  int cut_count = -1;      // requests that are aborted; -1: all
  int refuse_count = 0;    // first requests refused before they run; -1: all
  std::string crash_mark;  // a body with it ends the process; empty: never
  bool no_usage = false;
  bool ignore_limit = false;  // writes past the request's output limit

  Duration load_lag = 0ms;
  Duration cache_lag = 0ms;
  int cache_gap = 0;  // every n-th cache event is dropped; 0: none
};

inline std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> parts;
  std::istringstream stream(list);
  for (std::string part; std::getline(stream, part, ',');)
    if (!part.empty()) parts.push_back(part);
  return parts;
}

// Parses the text of a command-line option into `place`.
inline void Set(const std::string& text, std::string* place) { *place = text; }
inline void Set(const std::string& text, std::vector<std::string>* place) {
  *place = Split(text);
}
inline void Set(const std::string& text, Duration* place) {
  *place = std::chrono::milliseconds(std::stoll(text));
}
template <typename Number>
void Set(const std::string& text, Number* place) {
  std::istringstream(text) >> *place;
}

// Parses the command line; exits with a message if it is invalid.
inline Options ReadOptions(int argc, char** argv) {
  Options o;
  TCLAP::CmdLine line("A stand-in for a model engine or a plain service.");
  std::vector<std::function<void()>> reads;
  const auto add = [&](const char* name, const char* help, auto* place) {
    auto argument = std::make_shared<TCLAP::ValueArg<std::string>>(
        "", name, help, false, "", "value", line);
    reads.emplace_back([argument, place] {
      if (argument->isSet()) Set(argument->getValue(), place);
    });
  };
  TCLAP::SwitchArg checks_fencing("", "checks-fencing",
                                  "Refuses older fencing numbers.", line);
  TCLAP::SwitchArg no_usage("", "no-usage", "Reports no usage.", line);
  TCLAP::SwitchArg ignore_limit("", "ignore-limit",
                                "Writes past the limit sent along.", line);
  add("id", "Name it announces.", &o.id);
  add("address", "IP number to listen on.", &o.address);
  add("port", "Port; 0: the system chooses.", &o.port);
  add("port-file", "File to write the port to.", &o.port_file);
  add("announce", "Entries, IP:port with commas.", &o.announce_to);
  add("announce-interval-ms", "Between two.", &o.announce_interval);
  add("data-centre", "Data centre it announces.", &o.data_centre);
  add("role", "Role it announces.", &o.role);
  add("models", "NAME or NAME@VERSION, with commas.", &o.models);
  add("services", "Plain services, with commas.", &o.services);
  add("tokens", "Tokens of an answer.", &o.tokens);
  add("token-interval-ms", "0: all at once.", &o.token_interval);
  add("first-token-ms", "Time to it.", &o.first_token_delay);
  add("slots", "Requests that run at once.", &o.slots);
  add("max-waiting", "Past it 429.", &o.max_waiting);
  add("cut-after", "Cuts a stream after so many tokens.", &o.cut_after);
  add("cut-count", "Requests that are cut; -1: all.", &o.cut_count);
  add("refuse-count", "First ones refused; -1: all.", &o.refuse_count);
  add("crash-mark", "Exits on a body that holds it.", &o.crash_mark);
  add("load-lag-ms", "Age of the load it reports.", &o.load_lag);
  add("cache-lag-ms", "Age of its cache events.", &o.cache_lag);
  add("cache-gap", "Loses each so many-th event.", &o.cache_gap);
  line.parse(argc, argv);
  for (const auto& read : reads) read();
  o.checks_fencing = checks_fencing.getValue();
  o.no_usage = no_usage.getValue();
  o.ignore_limit = ignore_limit.getValue();
  return o;
}

}  // namespace dotterelshift::fake

#endif  // DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_OPTIONS_H_

#ifndef DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_OPTIONS_H_
#define DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_OPTIONS_H_

#include <cstdint>  // for uint16_t
#include <string>   // for string
#include <vector>   // for vector

#include "dotterelshift/base/time.h"    // for Duration
#include "dotterelshift/base/tokens.h"  // for Tokens

namespace dotterelshift::fake {

// How the fake behaves; the defaults are those of a good endpoint.
struct Options {
  std::string id = "fake-1";
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  std::string port_file;
  std::vector<std::string> announce_to;  // IP:port of entries
  Duration announce_interval = 500ms;
  std::string data_centre = "local";
  std::string role;
  std::vector<std::string> models;
  std::vector<std::string> services;
  bool checks_fencing = false;

  Tokens tokens = 16;  // of an answer, unless the request's limit is less
  Duration token_interval = 5ms;  // 0: all at once
  Duration first_token_delay = 0ms;
  int slots = 64;             // requests that run at once; others wait
  size_t max_waiting = 1024;  // past it: 429

  int cut_after = -1;      // tokens; -1: never
  int cut_count = -1;      // requests that are cut; -1: all
  int refuse_count = 0;    // first requests refused before running; -1: all
  std::string crash_mark;  // in a body: the process exits; empty: never
  bool no_usage = false;
  bool ignore_limit = false;  // writes more than the limit sent along

  Duration load_lag = 0ms;
  Duration cache_lag = 0ms;
  int cache_gap = 0;  // each so many-th cache event is lost; 0: none
  size_t cache_blocks = 1024;
};

// Exits with a message when the command line is wrong.
Options ReadOptions(int argc, char** argv);

}  // namespace dotterelshift::fake

#endif  // DOTTERELSHIFT_TOOLS_FAKE_ENDPOINT_OPTIONS_H_

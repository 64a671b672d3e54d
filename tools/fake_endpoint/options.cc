#include "options.h"

#include <tclap/CmdLine.h>  // for CmdLine

#include <functional>  // for function
#include <memory>      // for make_shared
#include <sstream>     // for istringstream

namespace dotterelshift::fake {
namespace {

std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> parts;
  std::istringstream stream(list);
  for (std::string part; std::getline(stream, part, ',');)
    if (!part.empty()) parts.push_back(part);
  return parts;
}

// Names an option once, and reads it into its place after the parse.
class Reader {
 public:
  Reader() : m_line("A stand-in for a model engine or a plain service.") {}

  template <typename Value>
  void Add(const char* name, const char* help, Value* place) {
    auto argument = std::make_shared<TCLAP::ValueArg<Value>>(
        "", name, help, false, *place, "value", m_line);
    m_reads.emplace_back([argument, place] { *place = argument->getValue(); });
  }

  void Add(const char* name, const char* help, bool* place) {
    auto argument =
        std::make_shared<TCLAP::SwitchArg>("", name, help, m_line, *place);
    m_reads.emplace_back([argument, place] { *place = argument->getValue(); });
  }

  void Add(const char* name, const char* help, Duration* place) {
    auto argument = std::make_shared<TCLAP::ValueArg<int64_t>>(
        "", name, help, false, ToMs(*place), "milliseconds", m_line);
    m_reads.emplace_back([argument, place] {
      *place = std::chrono::milliseconds(argument->getValue());
    });
  }

  void Add(const char* name, const char* help,
           std::vector<std::string>* place) {
    auto argument = std::make_shared<TCLAP::ValueArg<std::string>>(
        "", name, help, false, "", "list,with,commas", m_line);
    m_reads.emplace_back(
        [argument, place] { *place = Split(argument->getValue()); });
  }

  void Parse(int argc, char** argv) {
    m_line.parse(argc, argv);
    for (const auto& read : m_reads) read();
  }

 private:
  TCLAP::CmdLine m_line;
  std::vector<std::function<void()>> m_reads;
};

}  // namespace

Options ReadOptions(int argc, char** argv) {
  Options options;
  Reader reader;
  reader.Add("id", "Name it announces.", &options.id);
  reader.Add("address", "IP number to listen on.", &options.address);
  reader.Add("port", "Port; 0: the system chooses.", &options.port);
  reader.Add("port-file", "File to write the port to.", &options.port_file);
  reader.Add("announce", "Entries to announce to, IP:port.",
             &options.announce_to);
  reader.Add("announce-interval-ms", "Time between announcements.",
             &options.announce_interval);
  reader.Add("data-centre", "Data centre it announces.", &options.data_centre);
  reader.Add("role", "Role it announces.", &options.role);
  reader.Add("models", "Models it serves, each NAME or NAME@VERSION.",
             &options.models);
  reader.Add("services", "Plain services it offers.", &options.services);
  reader.Add("checks-fencing", "Refuses orders with an older fencing number.",
             &options.checks_fencing);
  reader.Add("tokens", "Tokens of an answer.", &options.tokens);
  reader.Add("token-interval-ms", "Time between tokens; 0: all at once.",
             &options.token_interval);
  reader.Add("first-token-ms", "Time until an answer begins.",
             &options.first_token_delay);
  reader.Add("slots", "Requests that run at once.", &options.slots);
  reader.Add("max-waiting", "Requests that wait; past it 429.",
             &options.max_waiting);
  reader.Add("cut-after", "Cuts a stream after so many tokens.",
             &options.cut_after);
  reader.Add("cut-count", "Requests that are cut; -1: all.",
             &options.cut_count);
  reader.Add("refuse-count", "First requests refused before running; -1: all.",
             &options.refuse_count);
  reader.Add("crash-mark", "Exits on a body that holds this text.",
             &options.crash_mark);
  reader.Add("no-usage", "Reports no usage.", &options.no_usage);
  reader.Add("ignore-limit", "Writes past the limit sent along.",
             &options.ignore_limit);
  reader.Add("load-lag-ms", "Age of the load it reports.", &options.load_lag);
  reader.Add("cache-lag-ms", "Age of its cache events.", &options.cache_lag);
  reader.Add("cache-gap", "Loses each so many-th cache event.",
             &options.cache_gap);
  reader.Add("cache-blocks", "Prefix blocks it keeps.", &options.cache_blocks);
  reader.Parse(argc, argv);
  return options;
}

}  // namespace dotterelshift::fake

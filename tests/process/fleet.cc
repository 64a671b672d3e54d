#include "process/fleet.h"

#include <cppunit/TestAssert.h>  // for CPPUNIT_ASSERT

#include <csignal>  // for SIGKILL
#include <utility>  // for move

#include "support/run_until.h"  // for RunUntil

namespace dotterelshift::testing {
namespace {

std::string Program(const std::string& name) {
  return std::string(DOTTERELSHIFT_BINARY_DIR) + "/" + name;
}

std::string YamlList(const std::vector<std::string>& items) {
  std::string list = "[";
  for (const std::string& item : items)
    list += (list.size() > 1 ? ", \"" : "\"") + item + "\"";
  return list + "]";
}

}  // namespace

std::string HttpResponse::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return {};
}

Fleet::Fleet() : m_client(http::MakeClient(m_loop)) {
  WriteFile(m_folder.File("secret"), std::string(kFleetSecret) + "\n");
  WriteFile(m_folder.File("operators"),
            std::string("tester ") + kOperatorKey + "\n");
}

void Fleet::StartControl(const std::string& name,
                         const std::vector<std::string>& first_members,
                         const std::vector<std::string>& dial) {
  StartDaemon(name,
              "role: control\ndata_folder: " + m_folder.File(name + ".data") +
                  "\nfirst_members: " + YamlList(first_members) +
                  "\npeers: " + YamlList(dial) + "\n");
}

void Fleet::StartEntry(const std::string& name,
                       const std::vector<std::string>& dial,
                       const std::string& extra) {
  StartDaemon(name, "role: entry\npeers: " + YamlList(dial) + "\n" + extra);
}

void Fleet::StartDaemon(const std::string& name, const std::string& settings) {
  Member& member = m_members[name];
  member.settings =
      "host: " + name + "\nfleet: test\ndata_centre: local\nsecret_file: " +
      m_folder.File("secret") +
      "\noperator_key_file: " + m_folder.File("operators") +
      "\nport_file: " + m_folder.File(name + ".ports") + "\n" + settings;
  member.arguments = {Program("dotterelshiftd"), "--settings",
                      m_folder.File(name + ".yaml")};
  Spawn(name, member);
}

void Fleet::StartEndpoint(const std::string& id, const std::string& announce_to,
                          const std::vector<std::string>& options) {
  Member& member = m_members[id];
  member.arguments = {Program("fake_endpoint"),
                      "--id",
                      id,
                      "--announce",
                      announce_to,
                      "--port-file",
                      m_folder.File(id + ".ports")};
  member.arguments.insert(member.arguments.end(), options.begin(),
                          options.end());
  Spawn(id, member);
}

void Fleet::Spawn(const std::string& name, Member& member) {
  member.process.reset();
  if (!member.settings.empty()) {
    WriteFile(m_folder.File(name + ".yaml"),
              member.settings +
                  "peer_port: " + std::to_string(member.peer_port) +
                  "\nhttp_port: " + std::to_string(member.http_port) + "\n");
  }
  WriteFile(m_folder.File(name + ".ports"), "");
  member.process =
      std::make_unique<Process>(member.arguments, m_folder.File(name + ".log"));
  AwaitFile(m_folder.Path(), name + ".ports", *member.process);
  const auto ports =
      nlohmann::json::parse(ReadFile(m_folder.File(name + ".ports")));
  // A fake endpoint writes a single port, a daemon a JSON object with both.
  member.peer_port = ports.is_object() ? ports.value("peer_port", 0) : 0;
  member.http_port =
      ports.is_object() ? ports.value("http_port", 0) : ports.get<int>();
}

void Fleet::Restart(const std::string& name) {
  Spawn(name, m_members.at(name));
}

void Fleet::Kill(const std::string& name) {
  m_members.at(name).process->Signal(SIGKILL);
  m_members.at(name).process->Wait();
}

int Fleet::AwaitExit(const std::string& name) {
  Process& process = GetProcess(name);
  // The loop is not notified when a child process exits, so this polls.
  constexpr Duration kPollInterval = 20ms;
  loop::Timer look(m_loop, [&] { look.ArmIn(kPollInterval); });
  look.ArmIn(kPollInterval);
  RunUntil(m_loop, name + " ends", [&] { return process.Ended(); });
  return process.Wait();
}

std::string Fleet::PeerAddress(const std::string& name) const {
  return "127.0.0.1:" + std::to_string(m_members.at(name).peer_port);
}

std::string Fleet::HttpAddress(const std::string& name) const {
  return "127.0.0.1:" + std::to_string(m_members.at(name).http_port);
}

HttpResponse Fleet::Send(const std::string& method, const std::string& url,
                         const http::Headers& headers,
                         const std::string& body) {
  HttpResponse answer;
  bool ended = false;
  http::TransferCallbacks callbacks;
  callbacks.on_head = [&](int status, const http::Headers& got) {
    answer.status = status;
    answer.headers = got;
  };
  callbacks.on_chunk = [&](std::string_view chunk) {
    answer.body.append(chunk);
    return true;
  };
  callbacks.on_end = [&](http::TransferEnd end) {
    answer.end = end;
    ended = true;
  };
  m_client->Start(
      {.method = method, .url = url, .headers = headers, .body = body},
      callbacks);
  RunUntil(m_loop, "the answer of " + url, [&] { return ended; });
  return answer;
}

HttpResponse Fleet::SendOperatorRequest(const std::string& host,
                                        const std::string& method,
                                        const std::string& path,
                                        const std::string& body) {
  const http::Headers headers = {
      {"authorization", std::string("Bearer ") + kOperatorKey}};
  HttpResponse answer =
      Send(method, "http://" + HttpAddress(host) + "/operator/v1/" + path,
           headers, body);
  if (answer.status == 307)
    answer = Send(method, answer.Header("location"), headers, body);
  return answer;
}

HttpResponse Fleet::Ask(const std::string& entry, const std::string& key,
                        const nlohmann::json& body,
                        const http::Headers& headers) {
  http::Headers all = {{"authorization", "Bearer " + key},
                       {"content-type", "application/json"}};
  all.insert(all.end(), headers.begin(), headers.end());
  return Send("POST", "http://" + HttpAddress(entry) + "/v1/chat/completions",
              all, body.dump());
}

void Fleet::AwaitReady(const std::string& name) {
  const std::string url = "http://" + HttpAddress(name) + "/readyz";
  RunUntil(m_loop, name + " ready",
           [&] { return Send("GET", url, {}, {}).status == 200; });
}

void Fleet::AwaitVersion(const std::string& name, uint64_t version) {
  const std::string url = "http://" + HttpAddress(name) + "/metrics";
  const std::string line =
      "dotterelshift_configuration_version " + std::to_string(version) + "\n";
  RunUntil(m_loop, name + " at version " + std::to_string(version), [&] {
    return Send("GET", url, {}, {}).body.find(line) != std::string::npos;
  });
}

std::string Fleet::AwaitLeader(const std::vector<std::string>& names) {
  std::string leader;
  RunUntil(m_loop, "a leader", [&] {
    for (const std::string& name : names) {
      const std::string url = "http://" + HttpAddress(name) + "/metrics";
      if (Send("GET", url, {}, {}).body.find("\ndotterelshift_leads 1\n") !=
          std::string::npos)
        leader = name;
    }
    return !leader.empty();
  });
  return leader;
}

HttpResponse Fleet::PlanAndConfirm(const std::string& host,
                                   const std::string& intent) {
  const HttpResponse plan = SendOperatorRequest(host, "POST", "plan", intent);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(plan.body, 200, plan.status);
  const std::string id =
      nlohmann::json::parse(plan.body).at("plan").get<std::string>();
  return SendOperatorRequest(host, "POST", "confirm/" + id, {});
}

}  // namespace dotterelshift::testing

#include "dotterelshift/app/send_record.h"

namespace dotterelshift::app {
namespace {

std::string Ms(Duration duration) { return std::to_string(ToMs(duration)); }

void AddConnection(LogInputs& inputs, const http::HandOver& what) {
  inputs.emplace_back("bytes", std::to_string(what.bytes));
  if (what.new_connection)
    inputs.emplace_back("connected_in_ms", Ms(what.connected_in));
  inputs.emplace_back("local_port", std::to_string(what.local_port));
  inputs.emplace_back("earlier_requests",
                      std::to_string(what.earlier_requests));
  if (what.since_error)
    inputs.emplace_back("error_before_ms", Ms(*what.since_error));
}

}  // namespace

void AddTo(LogInputs& inputs, const SendRecord& record, Instant now) {
  if (record.unsent)
    inputs.emplace_back("unsent", std::to_string(*record.unsent));
  if (record.reset)
    inputs.emplace_back("reset", *record.reset ? "done" : "due");
  if (!record.handed_over) {
    inputs.emplace_back("handed_over", "no");
    return;
  }
  inputs.emplace_back("handed_over_ms_ago", Ms(now - record.handed_over_at));
  inputs.emplace_back("wait_out_then_ms", Ms(record.wait));
  AddConnection(inputs, *record.handed_over);
}

}  // namespace dotterelshift::app

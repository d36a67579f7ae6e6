#include "admission/streammeter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Admission {

namespace {

using Json = nlohmann::json;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data:";
constexpr std::string_view LastEvent = "[DONE]";
/// A longer event is passed on in parts.
constexpr size_t MaxEventBytes = 1 << 20;

std::string_view dataOf(std::string_view event) {
  size_t at = event.find(DataField);
  if (at == std::string_view::npos)
    return {};
  event.remove_prefix(at + DataField.size());
  size_t begin = event.find_first_not_of(' ');
  if (begin == std::string_view::npos)
    return {};
  event.remove_prefix(begin);
  return event.substr(0, event.find_last_not_of("\r\n") + 1);
}

bool isBlank(const Json &value) {
  if (value.is_string())
    return value.get_ref<const std::string &>().empty();
  return value.empty();
}

bool bringsText(const Json &choice) {
  if (!choice.is_object())
    return false;
  auto text = choice.find("text");
  if (text != choice.end())
    return !isBlank(*text);
  auto delta = choice.find("delta");
  if (delta == choice.end() || !delta->is_object())
    return false;
  for (const auto &[name, value] : delta->items())
    if (name != "role" && !isBlank(value))
      return true;
  return false;
}

uint64_t choicesWithText(const Json &event) {
  auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array())
    return 0;
  return static_cast<uint64_t>(
      std::count_if(choices->begin(), choices->end(), bringsText));
}

} // namespace

std::vector<StreamEvent> StreamMeter::feed(std::string_view bytes) {
  Buffer.append(bytes);
  std::vector<StreamEvent> events;
  size_t begin = 0;
  for (size_t end = Buffer.find(EventEnd); end != std::string::npos;
       end = Buffer.find(EventEnd, begin)) {
    end += EventEnd.size();
    events.push_back(measure(Buffer.substr(begin, end - begin)));
    begin = end;
  }
  Buffer.erase(0, begin);
  if (Buffer.size() > MaxEventBytes)
    events.push_back(measure(std::exchange(Buffer, {})));
  return events;
}

std::vector<StreamEvent> StreamMeter::flush() {
  if (Buffer.empty())
    return {};
  return {measure(std::exchange(Buffer, {}))};
}

StreamEvent StreamMeter::measure(std::string bytes) {
  StreamEvent event{std::move(bytes), 0};
  std::string_view data = dataOf(event.Bytes);
  if (data.empty() || data == LastEvent)
    return event;
  Json parsed = Json::parse(data, nullptr, false);
  if (!parsed.is_object()) {
    event.Tokens = estimateTokens(data);
    Generated += event.Tokens;
    return event;
  }
  event.Tokens = choicesWithText(parsed);
  Generated += event.Tokens;
  auto usage = usageIn(data);
  if (!usage)
    return event;
  Prompt = usage->Prompt;
  if (usage->Generated > Generated) {
    event.Tokens += usage->Generated - Generated;
    Generated = usage->Generated;
  }
  return event;
}

} // namespace Admission

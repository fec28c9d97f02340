#include "kernel/settings_base.h"

#include <Poco/Net/IPAddress.h>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <stdexcept>

namespace acaciahill {

namespace {

constexpr int kMaxPort = 65535;

std::string
PathOf(std::string_view aSection, std::string_view aKey)
{
  return std::string(aSection) + "." + std::string(aKey);
}

template<typename T>
std::optional<T>
Parse(std::string_view aText)
{
  T value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::int64_t>
ParseInteger(std::string_view aText)
{
  return Parse<std::int64_t>(aText);
}

/// Describes why a number is out of the rule's range; empty when it is not.
template<typename T>
std::string
CheckRange(const SettingRule& aRule, T aNumber, const std::string& aValue)
{
  // Written so that a NaN is out of range.
  const bool isInRange = aNumber >= static_cast<T>(aRule.min_) &&
                         aNumber <= static_cast<T>(aRule.max_);
  return isInRange ? ""
                   : aValue + " is out of range " + std::to_string(aRule.min_) +
                       " to " + std::to_string(aRule.max_);
}

bool
IsVoterList(std::string_view aText)
{
  while (!aText.empty()) {
    const auto comma = aText.find(',');
    const auto item = aText.substr(0, comma);
    const auto at = item.find('@');
    if (at == 0 || at == std::string_view::npos ||
        !IsNumericAddress(item.substr(at + 1))) {
      return false;
    }
    if (comma == std::string_view::npos) {
      return true;
    }
    aText.remove_prefix(comma + 1);
  }
  return false;
}

bool
IsOneOf(std::string_view aText, std::string_view aChoices)
{
  while (true) {
    const auto bar = aChoices.find('|');
    if (aChoices.substr(0, bar) == aText) {
      return true;
    }
    if (bar == std::string_view::npos) {
      return false;
    }
    aChoices.remove_prefix(bar + 1);
  }
}

/// Describes why a value is invalid; empty when it is valid.
std::string
CheckValue(const SettingRule& aRule, const std::string& aValue)
{
  switch (aRule.type_) {
    case SettingType::Text:
      return aValue.empty() && aRule.required_ ? "must not be empty" : "";
    case SettingType::Integer: {
      const auto value = ParseInteger(aValue);
      return value ? CheckRange(aRule, *value, aValue)
                   : "'" + aValue + "' is not a whole number";
    }
    case SettingType::Number: {
      const auto value = Parse<double>(aValue);
      return value ? CheckRange(aRule, *value, aValue)
                   : "'" + aValue + "' is not a number";
    }
    case SettingType::Address:
      return IsNumericAddress(aValue)
               ? ""
               : "'" + aValue +
                   "' is not a numeric address and port such as 127.0.0.1:7000";
    case SettingType::VoterList:
      return IsVoterList(aValue) ? ""
                                 : "'" + aValue +
                                     "' is not a list such as "
                                     "n1@127.0.0.1:7001,n2@127.0.0.1:7002";
    case SettingType::Choice:
      return IsOneOf(aValue, aRule.choices_)
               ? ""
               : "'" + aValue + "' is not one of " +
                   std::string(aRule.choices_);
    case SettingType::HttpUrl:
      return aValue.starts_with("http://") && IsNumericAddress(aValue.substr(7))
               ? ""
               : "'" + aValue + "' is not a URL such as http://127.0.0.1:9000";
  }
  return "";
}

std::string
Trimmed(const std::string& aText)
{
  const auto first = aText.find_first_not_of(" \t\r");
  if (first == std::string::npos) {
    return "";
  }
  return aText.substr(first, aText.find_last_not_of(" \t\r") - first + 1);
}

} // namespace

bool
IsNumericAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  auto host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const auto port = ParseInteger(aText.substr(colon + 1));
  Poco::Net::IPAddress address;
  return port && *port >= 0 && *port <= kMaxPort &&
         Poco::Net::IPAddress::tryParse(std::string(host), address);
}

Result<Settings>
Settings::Load(const std::string& aPath, const std::vector<SettingRule>& aRules)
{
  boost::property_tree::ptree tree;
  std::ifstream file(aPath);
  if (!file) {
    return Error{ ErrorKind::BadSetting,
                  aPath + ": the settings file cannot be read" };
  }
  try {
    boost::property_tree::read_ini(file, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return Error{ ErrorKind::BadSetting,
                  aPath + ":" + std::to_string(error.line()) + ": " +
                    error.message() };
  }

  Settings settings;
  std::string faults;
  const auto addFault = [&](const std::string& aPathOfKey,
                            const std::string& aFault) {
    faults +=
      (faults.empty() ? "" : "\n") + aPath + ": " + aPathOfKey + ": " + aFault;
  };

  std::map<std::string, const SettingRule*, std::less<>> rules;
  for (const auto& rule : aRules) {
    rules.emplace(PathOf(rule.section_, rule.key_), &rule);
  }
  for (const auto& [section, keys] : tree) {
    if (keys.empty()) {
      addFault(section, "key before any [section]");
    }
    for (const auto& [key, node] : keys) {
      const auto path = PathOf(section, key);
      const auto rule = rules.find(path);
      if (rule == rules.end()) {
        addFault(path, "unknown key");
        continue;
      }
      const auto value = Trimmed(node.data());
      if (const auto fault = CheckValue(*rule->second, value); !fault.empty()) {
        addFault(path, fault);
      }
      settings.values_[path] = value;
    }
  }
  for (const auto& [path, rule] : rules) {
    if (settings.values_.contains(path)) {
      continue;
    }
    if (rule->required_) {
      addFault(path, "missing; " + std::string(rule->help_));
    }
    settings.values_[path] = rule->default_;
  }
  if (!faults.empty()) {
    return Error{ ErrorKind::BadSetting, faults };
  }
  return settings;
}

const std::string&
Settings::Text(std::string_view aSection, std::string_view aKey) const
{
  const auto found = values_.find(PathOf(aSection, aKey));
  if (found == values_.end()) {
    throw std::logic_error("no rule for setting " + PathOf(aSection, aKey));
  }
  return found->second;
}

std::int64_t
Settings::Integer(std::string_view aSection, std::string_view aKey) const
{
  return ParseInteger(Text(aSection, aKey)).value_or(0);
}

double
Settings::Number(std::string_view aSection, std::string_view aKey) const
{
  return Parse<double>(Text(aSection, aKey)).value_or(0);
}

} // namespace acaciahill

#pragma once

#include "kernel/error_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace acaciahill {

enum class SettingType : std::uint8_t
{
  Text,
  Integer,
  Number,    ///< A decimal number; min_ and max_ bound it.
  Address,   ///< Numeric IP address and port, as 127.0.0.1:7000.
  VoterList, ///< id@address,id@address,...
  Choice,    ///< One of the words in choices_, separated by '|'.
  HttpUrl,   ///< http://address
};

/// One key of a settings file: its section, allowed values and default.
struct SettingRule
{
  std::string_view section_;
  std::string_view key_;
  SettingType type_ = SettingType::Text;
  bool required_ = false;
  std::string_view default_ = {};
  std::int64_t min_ = 0;
  std::int64_t max_ = 0;
  std::string_view choices_ = {};
  std::string_view help_ = {};
};

/// The validated settings of a process, read from an INI file.
class Settings
{
public:
  /// Reads a file and checks every key against the rules. Errors: BadSetting
  /// with one line for each fault, naming the file and the key.
  static Result<Settings> Load(const std::string& aPath,
                               const std::vector<SettingRule>& aRules);

  /// The value of a key that has a rule; its default when the file lacks it.
  const std::string& Text(std::string_view aSection,
                          std::string_view aKey) const;

  /// The value of an Integer key.
  std::int64_t Integer(std::string_view aSection, std::string_view aKey) const;

  /// The value of a Number key.
  double Number(std::string_view aSection, std::string_view aKey) const;

private:
  std::map<std::string, std::string, std::less<>> values_;
};

/// True for a numeric IPv4 address or bracketed IPv6 address with a port.
bool
IsNumericAddress(std::string_view aText);

} // namespace acaciahill

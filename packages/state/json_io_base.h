#pragma once

#include "kernel/error_func.h"
#include "state/fields_func.h"
#include "state/text_func.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace acaciahill::detail {

template<typename T>
concept WordEnum = requires
{
  EnumWords<T>::kWords;
};

template<WordEnum T>
std::string_view
WordOfEnum(T aValue)
{
  const auto& words = EnumWords<T>::kWords;
  const auto index = static_cast<std::size_t>(aValue);
  return index < words.size() ? words[index] : std::string_view("invalid");
}

/// Writes values as JSON.
class JsonWriter
{
public:
  explicit JsonWriter(nlohmann::json& aObject)
    : object_(aObject)
  {
  }

  template<typename T>
  void operator()(std::string_view aName, const T& aValue)
  {
    if constexpr (std::is_same_v<T, Command>) {
      object_[std::string(aName)] = CommandToJson(aValue);
    } else {
      object_[std::string(aName)] = ToJson(aValue);
    }
  }

  template<typename T>
  void operator()(std::string_view aName, const std::optional<T>& aValue)
  {
    if (aValue) {
      (*this)(aName, *aValue);
    }
  }

  template<typename T>
  static nlohmann::json ToJson(const T& aValue)
  {
    if constexpr (std::is_arithmetic_v<T>) {
      return aValue;
    } else if constexpr (std::is_same_v<T, std::string>) {
      if (!IsUtf8(aValue)) {
        return nlohmann::json::binary({ aValue.begin(), aValue.end() });
      }
      return aValue;
    } else if constexpr (std::is_same_v<T, ErrorKind>) {
      return AnswerOf(aValue).name_;
    } else if constexpr (WordEnum<T>) {
      return WordOfEnum(aValue);
    } else {
      auto object = nlohmann::json::object();
      JsonWriter writer(object);
      Fields(writer, aValue);
      return object;
    }
  }

  template<typename T>
  static nlohmann::json ToJson(const std::vector<T>& aValues)
  {
    auto array = nlohmann::json::array();
    for (const auto& value : aValues) {
      array.push_back(ToJson(value));
    }
    return array;
  }

  static nlohmann::json CommandToJson(const Command& aCommand)
  {
    auto object =
      std::visit([](const auto& aOne) { return ToJson(aOne); }, aCommand);
    object["type"] = kCommandNames[aCommand.index()];
    return object;
  }

private:
  nlohmann::json& object_;
};

/// Reads the fields of one JSON object. Reading stops at the first error, which
/// Finish() returns.
class JsonReader
{
public:
  JsonReader(const nlohmann::json& aObject, std::string aPath)
    : object_(aObject)
    , path_(std::move(aPath))
  {
    if (!aObject.is_object()) {
      Fail(path_, "must be an object");
    }
  }

  template<typename T>
  void operator()(std::string_view aName, T& aValue)
  {
    if (const auto* json = FindMember(aName)) {
      Read(Concat(path_, path_.empty() ? "" : ".", aName), *json, aValue);
    } else if constexpr (std::is_same_v<T, Command>) {
      // All other fields have defaults; a command has none.
      Fail(aName, "is missing");
    }
  }

  /// Returns a member and marks it as known; null when it is missing.
  const nlohmann::json* FindMember(std::string_view aName)
  {
    if (error_) {
      return nullptr;
    }
    const auto found = object_.find(std::string(aName));
    if (found == object_.end()) {
      return nullptr;
    }
    known_.insert(std::string(aName));
    return &*found;
  }

  /// Returns the first error; an unknown member is an error.
  Refusal Finish()
  {
    if (!error_ && known_.size() != object_.size()) {
      for (const auto& [name, value] : object_.items()) {
        if (known_.count(name) == 0) {
          Fail(Concat(path_, path_.empty() ? "" : ".", Printable(name)),
               "is not known");
          break;
        }
      }
    }
    return error_;
  }

private:
  void Fail(std::string_view aPath, std::string_view aProblem)
  {
    if (!error_) {
      error_ = Refuse(ErrorKind::BadRequest,
                      aPath.empty() ? "the value" : "field ",
                      aPath,
                      " ",
                      aProblem);
    }
  }

  void Read(const std::string& aPath, const nlohmann::json& aJson, bool& aValue)
  {
    if (const auto* flag = aJson.get_ptr<const bool*>()) {
      aValue = *flag;
    } else {
      Fail(aPath, "must be true or false");
    }
  }

  template<std::integral T>
  void Read(const std::string& aPath, const nlohmann::json& aJson, T& aValue)
  {
    constexpr auto kSmallest = SmallestOf<T>();
    constexpr auto kLargest = LargestOf<T>();
    if (const auto* large = aJson.get_ptr<const std::uint64_t*>()) {
      if (std::cmp_less_equal(*large, kLargest)) {
        aValue = static_cast<T>(*large);
        return;
      }
    } else if (const auto* whole = aJson.get_ptr<const std::int64_t*>()) {
      if (std::cmp_greater_equal(*whole, kSmallest) &&
          std::cmp_less_equal(*whole, kLargest)) {
        aValue = static_cast<T>(*whole);
        return;
      }
    }
    Fail(aPath,
         Concat("must be a whole number from ", kSmallest, " to ", kLargest));
  }

  // Signed numbers are sizes, limits and prices. They must be far from the
  // limits of their type, so that sums of them cannot overflow.
  template<std::integral T>
  static constexpr T LargestOf()
  {
    return std::is_signed_v<T> ? static_cast<T>(1'000'000'000'000)
                               : std::numeric_limits<T>::max();
  }

  template<std::integral T>
  static constexpr T SmallestOf()
  {
    return std::is_signed_v<T> ? -LargestOf<T>() : T{ 0 };
  }

  void Read(const std::string& aPath,
            const nlohmann::json& aJson,
            std::string& aValue)
  {
    if (const auto* text = aJson.get_ptr<const std::string*>()) {
      if (IsUtf8(*text)) {
        aValue = *text;
      } else {
        Fail(aPath, "is not valid UTF-8");
      }
    } else if (aJson.is_binary()) {
      aValue.assign(aJson.get_binary().begin(), aJson.get_binary().end());
    } else {
      Fail(aPath, "must be a text");
    }
  }

  void Read(const std::string& aPath,
            const nlohmann::json& aJson,
            ErrorKind& aValue)
  {
    const auto* text = aJson.get_ptr<const std::string*>();
    const auto kind = text ? ErrorKindFromName(*text) : std::nullopt;
    if (kind) {
      aValue = *kind;
    } else {
      Fail(aPath, "must be the name of an error kind");
    }
  }

  template<WordEnum T>
  void Read(const std::string& aPath, const nlohmann::json& aJson, T& aValue)
  {
    const auto& words = EnumWords<T>::kWords;
    std::string allowed;
    for (std::size_t i = 0; i < words.size(); ++i) {
      if (aJson.is_string() &&
          aJson.get_ref<const std::string&>() == words[i]) {
        aValue = static_cast<T>(i);
        return;
      }
      allowed += Concat(i == 0 ? "" : ", ", words[i]);
    }
    Fail(aPath, Concat("must be one of ", allowed));
  }

  template<typename T>
  void Read(const std::string& aPath,
            const nlohmann::json& aJson,
            std::optional<T>& aValue)
  {
    if (!aJson.is_null()) {
      aValue.emplace();
      Read(aPath, aJson, *aValue);
    }
  }

  template<typename T>
  void Read(const std::string& aPath,
            const nlohmann::json& aJson,
            std::vector<T>& aValue)
  {
    if (!aJson.is_array()) {
      Fail(aPath, "must be a list");
      return;
    }
    aValue.clear();
    for (const auto& item : aJson) {
      const auto path = Concat(aPath, "[", aValue.size(), "]");
      Read(path, item, aValue.emplace_back());
      if (error_) {
        return;
      }
    }
  }

  template<typename T>
  requires std::is_class_v<T>
  void Read(const std::string& aPath, const nlohmann::json& aJson, T& aValue)
  {
    JsonReader reader(aJson, aPath);
    if (!reader.error_) {
      Fields(reader, aValue);
    }
    TakeError(reader);
  }

  void Read(const std::string& aPath,
            const nlohmann::json& aJson,
            Command& aValue)
  {
    JsonReader reader(aJson, aPath);
    reader.ReadCommand(aValue);
    TakeError(reader);
  }

  void ReadCommand(Command& aValue)
  {
    const auto* json = FindMember("type");
    const auto* name = json ? json->get_ptr<const std::string*>() : nullptr;
    if (!name) {
      Fail(Concat(path_, path_.empty() ? "" : ".", "type"),
           "must be the name of a command");
      return;
    }
    if (!ReadNamed(
          *name, aValue, std::make_index_sequence<kCommandNames.size()>())) {
      Fail(Concat(path_, path_.empty() ? "" : ".", "type"),
           Concat("\"", Printable(*name), "\" is no command"));
    }
  }

  template<std::size_t... kIndex>
  bool ReadNamed(std::string_view aName,
                 Command& aValue,
                 std::index_sequence<kIndex...>)
  {
    return (... || (aName == kCommandNames[kIndex] &&
                    (Fields(*this, aValue.emplace<kIndex>()), true)));
  }

  void TakeError(JsonReader& aReader)
  {
    if (auto error = aReader.Finish(); error && !error_) {
      error_ = std::move(error);
    }
  }

  const nlohmann::json& object_;
  std::string path_;
  std::set<std::string> known_;
  Refusal error_;

  template<typename T>
  friend Result<T> ReadJson(const nlohmann::json& aJson);
};

/// Reads one value. Errors: BadRequest naming the field.
template<typename T>
Result<T>
ReadJson(const nlohmann::json& aJson)
{
  T value;
  JsonReader reader(aJson, "");
  if constexpr (std::is_same_v<T, Command>) {
    reader.ReadCommand(value);
  } else if (!reader.error_) {
    Fields(reader, value);
  }
  if (auto error = reader.Finish()) {
    return *std::move(error);
  }
  return value;
}

/// Parses CBOR; nothing when it is malformed or nested deeper than any encoded
/// value of the state.
std::optional<nlohmann::json>
ParseCbor(std::string_view aBytes);

/// Encodes JSON as CBOR.
std::string
DumpCbor(const nlohmann::json& aJson);

} // namespace acaciahill::detail

#include "client/client_func.h"

#include "client/table/client_command_table.h"
#include "client/table/next_step_table.h"
#include "kernel/error_func.h"
#include "kernel/settings_base.h"
#include "state/text_func.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace acaciahill {

namespace {

using Words = std::vector<std::string>;

constexpr int kUsageExitCode = 2;
constexpr std::int64_t kLargestTimeoutSeconds = 3600;

/// A command line cut into the command and the rest.
struct CommandLine
{
  const CommandRow* command_ = nullptr;
  /// Words of the command's name as they were given.
  std::string name_;
  Words rest_;
};

bool
IsOption(const std::string& aWord)
{
  return aWord.size() > 1 && aWord.front() == '-';
}

/// True when the word after this option is its argument.
bool
TakesNextWord(const std::string& aWord)
{
  if (aWord.rfind("--", 0) != 0 || aWord.find('=') != std::string::npos) {
    return false;
  }
  const auto name = aWord.substr(2);
  return std::any_of(detail::kGlobalOptions.begin(),
                     detail::kGlobalOptions.end(),
                     [&](const OptionRow& aOption) {
                       return aOption.name_ == name &&
                              !aOption.argument_.empty();
                     });
}

const CommandRow*
FindCommand(const std::string& aName)
{
  const auto& table = detail::CommandTable();
  const auto found =
    std::find_if(table.begin(), table.end(), [&](const CommandRow& aRow) {
      return aRow.name_ == aName;
    });
  return found == table.end() ? nullptr : &*found;
}

/// True for "wave", "job" and other first words of two-word commands.
bool
IsGroup(const std::string& aWord)
{
  const auto& table = detail::CommandTable();
  return std::any_of(table.begin(), table.end(), [&](const CommandRow& aRow) {
    return aRow.name_.rfind(aWord + " ", 0) == 0;
  });
}

CommandLine
FindCommandIn(const Words& aWords)
{
  CommandLine line;
  for (std::size_t i = 0; i < aWords.size(); ++i) {
    const auto& word = aWords[i];
    const bool wantsMore =
      line.name_.empty() || (line.command_ == nullptr && IsGroup(line.name_));
    if (wantsMore && !IsOption(word)) {
      line.name_ += (line.name_.empty() ? "" : " ") + word;
      line.command_ = FindCommand(line.name_);
      continue;
    }
    line.rest_.push_back(word);
    if (wantsMore && TakesNextWord(word) && i + 1 < aWords.size()) {
      line.rest_.push_back(aWords[++i]);
    }
  }
  return line;
}

void
AddOption(cxxopts::Options& aOptions, const OptionRow& aRow)
{
  const std::string name(aRow.name_);
  const std::string help(aRow.help_);
  if (aRow.argument_.empty()) {
    aOptions.add_options()(name, help);
  } else {
    aOptions.add_options()(
      name, help, cxxopts::value<std::string>(), std::string(aRow.argument_));
  }
}

cxxopts::Options
MakeOptions(const CommandRow& aCommand)
{
  cxxopts::Options options("acaciahill " + std::string(aCommand.name_),
                           std::string(aCommand.help_));
  for (const auto& row : aCommand.options_) {
    AddOption(options, row);
  }
  for (const auto& row : detail::kGlobalOptions) {
    AddOption(options, row);
  }
  options.add_options("words")("words", "", cxxopts::value<Words>());
  options.parse_positional("words");
  options.positional_help(std::string(aCommand.words_));
  return options;
}

void
PrintCommandHelp(const CommandRow& aCommand, std::ostream& aOut)
{
  auto options = MakeOptions(aCommand);
  aOut << options.help({ "" }) << "\nExamples:\n";
  for (const auto example : aCommand.examples_) {
    aOut << "  " << example << '\n';
  }
}

void
PrintHelp(std::ostream& aOut)
{
  aOut << "acaciahill: the operator client\n\n"
          "Usage: acaciahill [--admin HOST:PORT,...] COMMAND [WORDS] "
          "[OPTIONS]\n\nCommands:\n";
  std::size_t width = 0;
  const auto synopsis = [](const CommandRow& aRow) {
    return std::string(aRow.name_) + (aRow.words_.empty() ? "" : " ") +
           std::string(aRow.words_);
  };
  for (const auto& row : detail::CommandTable()) {
    width = std::max(width, synopsis(row).size());
  }
  for (const auto& row : detail::CommandTable()) {
    auto text = synopsis(row);
    text.resize(width, ' ');
    aOut << "  " << text << "  " << row.help_ << '\n';
  }
  aOut << "\nOptions of every command:\n";
  for (const auto& row : detail::kGlobalOptions) {
    aOut << "  --" << row.name_ << (row.argument_.empty() ? "" : " ")
         << row.argument_ << ": " << row.help_ << '\n';
  }
  aOut << "\nacaciahill COMMAND --help prints examples. Exit codes: 2 wrong "
          "input, 3 lost a race,\n4 not now (safe to repeat), 5 outcome "
          "unknown, 6 a fault of a process.\n";
}

int
Fail(const Error& aError, std::ostream& aErr)
{
  aErr << "acaciahill: " << Describe(aError) << '\n';
  if (const auto step = NextStepAfter(aError.kind_); !step.empty()) {
    aErr << "next: " << step << '\n';
  }
  return AnswerOf(aError.kind_).exitCode_;
}

/// Least and most words that a command takes, from its synopsis.
Result<Done>
CheckWordCount(const CommandRow& aCommand, const Words& aWords)
{
  std::size_t most = 0;
  std::size_t least = 0;
  std::istringstream in{ std::string(aCommand.words_) };
  std::string word;
  while (in >> word) {
    ++most;
    least += word.front() == '[' ? 0 : 1;
  }
  if (aWords.size() >= least && aWords.size() <= most) {
    return Done{};
  }
  return Error{ ErrorKind::BadRequest,
                "acaciahill " + std::string(aCommand.name_) + " takes " +
                  (most == 0 ? "no words" : std::string(aCommand.words_)) +
                  ", but " + std::to_string(aWords.size()) +
                  " words were given" };
}

Result<AdminClientSettings>
ReadClientSettings(const cxxopts::ParseResult& aOptions,
                   const std::map<std::string, std::string>& aEnvironment)
{
  AdminClientSettings settings;
  const auto found = aEnvironment.find("ACACIAHILL_ADMIN");
  std::string admin = found == aEnvironment.end() ? "" : found->second;
  if (aOptions.count("admin") != 0) {
    admin = aOptions["admin"].as<std::string>();
  }
  settings.addresses_ = SplitCommas(admin);
  if (settings.addresses_.empty()) {
    return Error{ ErrorKind::BadRequest,
                  "no admin address: give --admin HOST:PORT or set "
                  "ACACIAHILL_ADMIN" };
  }
  for (const auto& address : settings.addresses_) {
    if (!IsNumericAddress(address)) {
      return Error{ ErrorKind::BadRequest,
                    "\"" + address +
                      "\" is not a numeric address and port such as "
                      "10.0.0.5:7003" };
    }
  }
  if (aOptions.count("timeout") != 0) {
    const auto text = aOptions["timeout"].as<std::string>();
    std::int64_t seconds = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || seconds < 1 ||
        seconds > kLargestTimeoutSeconds) {
      return Error{ ErrorKind::BadRequest,
                    "--timeout \"" + text +
                      "\" must be a whole number of seconds from 1 to " +
                      std::to_string(kLargestTimeoutSeconds) };
    }
    settings.timeout_ = Millis(seconds * 1000);
  }
  settings.requestId_ = aOptions.count("request-id") != 0
                          ? aOptions["request-id"].as<std::string>()
                          : MakeRequestId();
  if (settings.requestId_.empty()) {
    return Error{ ErrorKind::BadRequest, "--request-id must not be empty" };
  }
  return settings;
}

/// cxxopts takes "-5" for an option, so negative numbers are put behind "--".
Words
ProtectNegativeNumbers(const Words& aWords)
{
  Words words;
  Words numbers;
  for (const auto& word : aWords) {
    const bool isNegative =
      word.size() > 1 && word[0] == '-' &&
      word.find_first_not_of("0123456789.", 1) == std::string::npos;
    (isNegative ? numbers : words).push_back(word);
  }
  if (!numbers.empty()) {
    words.emplace_back("--");
    words.insert(words.end(), numbers.begin(), numbers.end());
  }
  return words;
}

cxxopts::ParseResult
Parse(const CommandRow& aCommand, const Words& aWords)
{
  const auto words = ProtectNegativeNumbers(aWords);
  std::vector<const char*> pointers{ "acaciahill" };
  for (const auto& word : words) {
    pointers.push_back(word.c_str());
  }
  return MakeOptions(aCommand).parse(static_cast<int>(pointers.size()),
                                     pointers.data());
}

int
RunCommand(const CommandRow& aCommand,
           const Words& aWords,
           const std::map<std::string, std::string>& aEnvironment,
           std::ostream& aOut,
           std::ostream& aErr)
{
  const auto options = Parse(aCommand, aWords);
  if (options.count("help") != 0) {
    PrintCommandHelp(aCommand, aOut);
    return 0;
  }
  const auto words =
    options.count("words") == 0 ? Words() : options["words"].as<Words>();
  if (const auto checked = CheckWordCount(aCommand, words); !IsOk(checked)) {
    return Fail(ErrorOf(checked), aErr);
  }
  const auto settings = ReadClientSettings(options, aEnvironment);
  if (!IsOk(settings)) {
    return Fail(ErrorOf(settings), aErr);
  }
  AdminClient admin(ValueOf(settings));
  const auto done = aCommand.handler_({ admin, options, words, aOut, aErr });
  return IsOk(done) ? 0 : Fail(ErrorOf(done), aErr);
}

} // namespace

int
RunClient(const std::vector<std::string>& aWords,
          const std::map<std::string, std::string>& aEnvironment,
          std::ostream& aOut,
          std::ostream& aErr)
{
  const auto line = FindCommandIn(aWords);
  const bool wantsHelp =
    std::find(aWords.begin(), aWords.end(), "--help") != aWords.end();
  if (line.command_ == nullptr && (wantsHelp || aWords.empty())) {
    PrintHelp(wantsHelp ? aOut : aErr);
    return wantsHelp ? 0 : kUsageExitCode;
  }
  if (line.command_ == nullptr) {
    return Fail({ ErrorKind::BadRequest,
                  line.name_.empty()
                    ? std::string("the command is missing")
                    : "there is no command \"" + line.name_ + "\"" },
                aErr);
  }
  for (const auto& word : aWords) {
    if (!IsUtf8(word)) {
      return Fail({ ErrorKind::BadRequest,
                    "\"" + Printable(word) + "\" is not valid UTF-8" },
                  aErr);
    }
  }
  try {
    return RunCommand(*line.command_, line.rest_, aEnvironment, aOut, aErr);
  } catch (const cxxopts::exceptions::exception& error) {
    return Fail({ ErrorKind::BadRequest, error.what() }, aErr);
  } catch (const nlohmann::json::exception& error) {
    return Fail({ ErrorKind::AnswerMalformed, error.what() }, aErr);
  }
}

std::string_view
NextStepAfter(ErrorKind aKind)
{
  for (const auto& row : detail::kNextStepTable) {
    if (row.kind_ == aKind) {
      return row.text_;
    }
  }
  return {};
}

Result<ChangeReply>
SendChange(const CommandContext& aContext, const nlohmann::json& aCommand)
{
  auto reply = aContext.admin_.Change(aCommand);
  if (!IsOk(reply)) {
    return reply;
  }
  const auto& done = ValueOf(reply);
  if (!done.text_.empty()) {
    aContext.out_ << done.text_ << '\n';
  }
  aContext.out_ << "accepted: table version " << done.tableVersion_
                << ", log index " << done.index_ << std::endl;
  if (!aContext.Has("wait")) {
    return reply;
  }
  const auto waited = aContext.admin_.WaitInForce(
    done.index_, [&aContext](const InForceReply& aReply) {
      aContext.err_ << "in force on " << aReply.on_ << " of " << aReply.of_;
      const char* before = "; waiting for ";
      for (const auto& node : aReply.behind_) {
        aContext.err_ << before << node;
        before = ", ";
      }
      aContext.err_ << std::endl;
    });
  if (!IsOk(waited)) {
    return ErrorOf(waited);
  }
  return reply;
}

Result<std::int64_t>
NumberOption(const CommandContext& aContext,
             const std::string& aOption,
             std::int64_t aDefault)
{
  if (!aContext.Has(aOption)) {
    return aDefault;
  }
  const auto text = aContext.Text(aOption);
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
    return Error{ ErrorKind::BadRequest,
                  "--" + aOption + " \"" + text +
                    "\" must be a whole number of at least 0" };
  }
  return value;
}

Result<std::int64_t>
MilliCoresOption(const CommandContext& aContext,
                 const std::string& aOption,
                 double aDefault)
{
  constexpr double kMostCores = 1e6;
  constexpr double kMilli = 1000;
  double cores = aDefault;
  if (aContext.Has(aOption)) {
    const auto text = aContext.Text(aOption);
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, cores);
    if (parsed.ec != std::errc() || parsed.ptr != end || cores < 0 ||
        cores > kMostCores || std::isnan(cores)) {
      return Error{ ErrorKind::BadRequest,
                    "--" + aOption + " \"" + text +
                      "\" must be a number of processors such as 0.5" };
    }
  }
  return static_cast<std::int64_t>(std::llround(cores * kMilli));
}

std::vector<std::string>
SplitCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream in(aText);
  std::string part;
  while (std::getline(in, part, ',')) {
    const auto first = part.find_first_not_of(" \t");
    if (first != std::string::npos) {
      parts.push_back(
        part.substr(first, part.find_last_not_of(" \t") - first + 1));
    }
  }
  return parts;
}

} // namespace acaciahill

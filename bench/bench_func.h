#pragma once

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace acaciahill::bench {

/// Appends lines to a CSV file and writes the header first when it is new.
class CsvFile
{
public:
  CsvFile(const std::string& aPath, const std::string& aHeader)
    : out_(aPath, std::ios::app)
  {
    if (!out_) {
      throw std::runtime_error("cannot write " + aPath);
    }
    out_.seekp(0, std::ios::end);
    if (out_.tellp() == 0) {
      out_ << aHeader << '\n';
    }
  }

  /// Writes one line; the values are separated by commas.
  template<typename First, typename... Rest>
  void Line(const First& aFirst, const Rest&... aRest)
  {
    std::ostringstream text;
    text << std::setprecision(6) << aFirst;
    ((text << ',' << aRest), ...);
    // One write for each line, as several programs may append at once.
    out_ << text.str() + '\n' << std::flush;
  }

private:
  std::ofstream out_;
};

/// The value below which this share (0 to 1) of the values lies; 0 without
/// values.
inline double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aShare * last + 0.5)];
}

/// The machine's load average over one minute.
inline double
LoadAverage()
{
  double load = 0;
  std::ifstream("/proc/loadavg") >> load;
  return load;
}

} // namespace acaciahill::bench

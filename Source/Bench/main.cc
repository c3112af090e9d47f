// daisyroad-bench: prints one JSON object per measure. The exit code is 0 if
// every measure meets its target, otherwise 1.

#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "Bench/bench_registry.h"
#include "Core/Common/json.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

ABSL_FLAG(std::uint64_t, seed, 1, "random seed of all cases");
ABSL_FLAG(std::string,
          only,
          "",
          "run only the cases whose name has this prefix");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Runs the benchmarks of daisyroad.");
  absl::ParseCommandLine(argc, argv);
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  const std::string only = absl::GetFlag(FLAGS_only);
  bool all_ok = true;
  for (const daisyroad::BenchCase& bench : daisyroad::RegisteredBenches()) {
    if (bench.name.rfind(only, 0) != 0) {
      continue;
    }
    for (const daisyroad::BenchResult& result : bench.run(seed)) {
      Json::Value line;
      line["case"] = result.name;
      line["seed"] = Json::UInt64(result.seed);
      line["ok"] = result.ok;
      line["baseline"] = result.baseline;
      line["measured"] = result.measured;
      line["unit"] = result.unit;
      if (!result.detail.empty()) {
        line["detail"] = result.detail;
      }
      std::cout << daisyroad::WriteJson(line) << std::endl;
      all_ok = all_ok && result.ok;
    }
  }
  return all_ok ? 0 : 1;
}

#include "Core/Common/bounded_line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

#include "Core/Common/latency_histogram.h"

namespace daisyroad {
namespace {

const MonotonicTime kStart(std::chrono::hours(1));

std::string ReadAll(int descriptor) {
  std::string text(1 << 20, '\0');
  const ssize_t size = read(descriptor, text.data(), text.size());
  text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
  return text;
}

// Guards against logging that uses up the CPU when a fault repeats.
TEST_CASE("Lines above the rate are dropped and counted") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  BoundedLineWriter writer(ends[1], 10.0);
  for (int i = 0; i < 25; ++i) {
    writer.Write("line\n", kStart);
  }
  CHECK(writer.dropped() == 15);
  writer.Write("later\n", kStart + Milliseconds(500));
  CHECK(ReadAll(ends[0]).find("later\nevent=log_lines_dropped count=15\n") !=
        std::string::npos);
  close(ends[0]);
  close(ends[1]);
}

// Guards against rare lines that are dropped because frequent ones used up the
// rate.
TEST_CASE("Lines with a reserve leave room for the others") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  BoundedLineWriter writer(ends[1], 10.0);
  for (int i = 0; i < 25; ++i) {
    writer.Write("frequent\n", kStart, 2.0);
  }
  CHECK(writer.dropped() == 17);
  writer.Write("rare\n", kStart);
  CHECK(writer.dropped() == 17);
  CHECK(ReadAll(ends[0]).find("rare\n") != std::string::npos);
  close(ends[0]);
  close(ends[1]);
}

// Guards against lines that are lost, cut or counted wrongly when many are
// written at once.
TEST_CASE("Lines that are written together are whole and in order") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  BoundedLineWriter writer(ends[1], 100.0);
  std::vector<std::string> lines;
  std::string expected;
  for (int i = 0; i < 120; ++i) {
    lines.push_back(std::to_string(i) + std::string(200, 'x') + "\n");
    expected += i < 100 ? lines.back() : "";
  }
  writer.WriteLines(lines, kStart);
  CHECK(writer.dropped() == 20);
  const std::string text = ReadAll(ends[0]);
  CHECK(text.substr(0, 200) == expected.substr(0, 200));
  std::string whole = text;
  const std::string notice = "event=log_lines_dropped count=20\n";
  const std::size_t found = whole.find(notice);
  REQUIRE(found != std::string::npos);
  whole.erase(found, notice.size());
  CHECK(whole == expected);
  close(ends[0]);
  close(ends[1]);
}

// Guards against a process that blocks because nothing reads its log.
TEST_CASE("Writing does not block on a reader that does not read") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  BoundedLineWriter writer(ends[1], 1e9);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    writer.Write(line + "\n", kStart);
  }
  CHECK(writer.dropped() > 0);
  close(ends[0]);
  close(ends[1]);
}

// Guards against histograms that Prometheus cannot parse.
TEST_CASE("Durations are counted in cumulative buckets") {
  MetricsRegistry metrics;
  LatencyHistogram histogram(&metrics, "x_ms", "a=\"b\"");
  histogram.Observe(Milliseconds(3));
  histogram.Observe(Milliseconds(30000));
  const std::string text = metrics.Render();
  CHECK(text.find("x_ms_bucket{a=\"b\",le=\"5\"} 1") != std::string::npos);
  CHECK(text.find("x_ms_bucket{a=\"b\",le=\"+Inf\"} 2") != std::string::npos);
  CHECK(text.find("x_ms_count{a=\"b\"} 2") != std::string::npos);
}

}  // namespace
}  // namespace daisyroad

// The record of a case: what was sent, answered and run.
#ifndef REVIEW_STANDIN_2_RECORD_H_
#define REVIEW_STANDIN_2_RECORD_H_

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  double Seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         this->begun_at)
        .count();
  }
  void Line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", this->Seconds());
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->file << time << text << std::endl;
  }

 private:
  std::ofstream file;
  std::mutex mutex;
  std::chrono::steady_clock::time_point begun_at =
      std::chrono::steady_clock::now();
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_RECORD_H_

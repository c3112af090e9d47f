#ifndef SOURCE_CORE_PLATFORM_STORE_CLIENT_H_
#define SOURCE_CORE_PLATFORM_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Common/time.h"
#include "Core/Platform/store_entry.h"

namespace daisyroad {

// Client of the platform's key-value store. All calls are asynchronous.
//
// Errors: kUnavailable means that the request was certainly not received. After
// any other error a write may have taken effect; read the key to find out.
class StoreClient {
 public:
  using EntryCallback = std::function<void(Result<std::optional<StoreEntry>>)>;
  using ListCallback = std::function<void(Result<std::vector<StoreEntry>>)>;
  // True if the value was written.
  using WriteCallback = std::function<void(Result<bool>)>;

  virtual ~StoreClient() = default;

  // Linearizable read.
  virtual void Get(const std::string& key, EntryCallback callback) = 0;
  // Linearizable read of all keys with the prefix, in order of key.
  virtual void List(const std::string& prefix, ListCallback callback) = 0;
  // Writes if the key's version is `expected`; 0 means that the key must
  // not exist.
  virtual void CompareAndSwap(const std::string& key,
                              const std::string& value,
                              std::uint64_t expected,
                              WriteCallback callback) = 0;
  // Deletes if the key's version is `expected`.
  virtual void CompareAndDelete(const std::string& key,
                                std::uint64_t expected,
                                WriteCallback callback) = 0;
  // Completes when the key's version differs from `known`, or after `wait`.
  virtual void Watch(const std::string& key,
                     std::uint64_t known,
                     Milliseconds wait,
                     EntryCallback callback) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_STORE_CLIENT_H_

#include "Core/Transport/http_message.h"

namespace daisyroad {
namespace {

std::string Find(const std::map<std::string, std::string>& values,
                 const std::string& name) {
  const auto found = values.find(name);
  return found == values.end() ? std::string() : found->second;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  return Find(this->headers, name);
}

std::string HttpRequest::Query(const std::string& name) const {
  return Find(this->query, name);
}

std::string HttpResponse::Header(const std::string& name) const {
  return Find(this->headers, name);
}

}  // namespace daisyroad

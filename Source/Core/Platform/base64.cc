#include "Core/Platform/base64.h"

#include <openssl/evp.h>

namespace daisyroad {

std::string EncodeBase64(std::string_view data) {
  std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(data.data()),
                      static_cast<int>(data.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

bool DecodeBase64(std::string_view text, std::string* data) {
  if (text.size() % 4 != 0) {
    return false;
  }
  if (text.empty()) {
    data->clear();
    return true;
  }
  std::size_t padding = 0;
  while (padding < 2 && text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  data->assign(text.size() / 4 * 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data->data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) {
    return false;
  }
  data->resize(static_cast<std::size_t>(length) - padding);
  return true;
}

}  // namespace daisyroad

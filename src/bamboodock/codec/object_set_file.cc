#include "bamboodock/codec/object_set_file.h"

#include <fstream>

#include "bamboodock/codec/object_set_codec.h"

namespace bamboodock {

Result<std::string> ReadObjectSetFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxObjectSetBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  // A directory opens without an error and fails on the first read.
  if (!file.is_open() || file.bad()) {
    return Raise(ResultCode::kBadSetting, "cannot read object set file " + path);
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxObjectSetBytes) {
    return Raise(ResultCode::kBadSetting,
                 path + " exceeds the limit of " + std::to_string(kMaxObjectSetBytes) + " bytes");
  }
  return text;
}

}  // namespace bamboodock

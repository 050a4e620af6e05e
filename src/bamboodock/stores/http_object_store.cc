#include "bamboodock/stores/http_object_store.h"

namespace bamboodock {
namespace {

std::string ObjectPath(const ObjectHash& hash) {
  return "/objects/" + EncodeUrlComponent(hash.value());
}

boost::leaf::error_id RaiseUnexpectedStatus(int status) {
  return Raise(ResultCode::kStoreUnavailable,
               "the object store answered with status " + std::to_string(status));
}

}  // namespace

Result<void> HttpObjectStore::Put(const ObjectHash& hash, const std::string& bytes) {
  HttpRequest request;
  request.method = "PUT";
  request.path = ObjectPath(hash);
  request.body = bytes;
  BOOST_LEAF_AUTO(response, client_.Write(std::move(request)));
  if (response.status >= 300) return RaiseUnexpectedStatus(response.status);
  return {};
}

Result<std::string> HttpObjectStore::Load(const ObjectHash& hash) {
  BOOST_LEAF_AUTO(response, client_.Read(ObjectPath(hash), ""));
  if (response.status == 404) return Raise(ResultCode::kNotFound, "no object " + hash.value());
  if (response.status != 200) return RaiseUnexpectedStatus(response.status);
  return std::move(response.body);
}

}  // namespace bamboodock

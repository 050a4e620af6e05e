#include "bamboodock/objects/object_set.h"

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

template <class Object, class Predicate>
const Object* FindIf(const std::vector<Object>& objects, Predicate predicate) {
  const auto found = std::find_if(objects.begin(), objects.end(), predicate);
  return found == objects.end() ? nullptr : &*found;
}

template <class Object, class Id>
const Object* FindById(const std::vector<Object>& objects, const Id& id) {
  return FindIf(objects, [&](const Object& object) { return object.id == id; });
}

}  // namespace

const ClientAccount* ObjectSet::Find(const ClientAccountId& id) const {
  return FindById(accounts_, id);
}

const Model* ObjectSet::Find(const ModelId& id) const { return FindById(models_, id); }

const Version* ObjectSet::Find(const ModelId& model, const VersionId& id) const {
  return FindIf(versions_, [&](const Version& v) { return v.model == model && v.id == id; });
}

const Cascade* ObjectSet::Find(const CascadeId& id) const { return FindById(cascades_, id); }

const AvailabilityZone* ObjectSet::Find(const AvailabilityZoneId& id) const {
  return FindById(availability_zones_, id);
}

const Endpoint* ObjectSet::Find(const EndpointId& id) const { return FindById(endpoints_, id); }

const ClientAccount* ObjectSet::FindByKeyHash(const std::string& key_hash) const {
  return FindIf(accounts_, [&](const ClientAccount& account) {
    return std::find(account.key_hashes.begin(), account.key_hashes.end(), key_hash) !=
           account.key_hashes.end();
  });
}

ObjectSetBuilder::ObjectSetBuilder(const ObjectSet& base) {
  set_.accounts_ = base.accounts_;
  set_.models_ = base.models_;
  set_.versions_ = base.versions_;
  set_.cascades_ = base.cascades_;
  set_.availability_zones_ = base.availability_zones_;
  set_.endpoints_ = base.endpoints_;
}

ObjectSetBuilder& ObjectSetBuilder::Add(ClientAccount account) {
  set_.accounts_.push_back(std::move(account));
  return *this;
}

ObjectSetBuilder& ObjectSetBuilder::Add(Model model) {
  set_.models_.push_back(std::move(model));
  return *this;
}

ObjectSetBuilder& ObjectSetBuilder::Add(Version version) {
  set_.versions_.push_back(std::move(version));
  return *this;
}

ObjectSetBuilder& ObjectSetBuilder::Add(Cascade cascade) {
  set_.cascades_.push_back(std::move(cascade));
  return *this;
}

ObjectSetBuilder& ObjectSetBuilder::Add(AvailabilityZone zone) {
  set_.availability_zones_.push_back(std::move(zone));
  return *this;
}

ObjectSetBuilder& ObjectSetBuilder::Add(Endpoint endpoint) {
  set_.endpoints_.push_back(std::move(endpoint));
  return *this;
}

ObjectSetBuilder& ObjectSetBuilder::SetStage(const ModelId& model, const VersionId& version,
                                             VersionStage stage) {
  for (Version& entry : set_.versions_) {
    if (entry.model == model && entry.id == version) entry.stage = stage;
  }
  return *this;
}

ObjectSetBuilder& ObjectSetBuilder::SetDrained(const AvailabilityZoneId& zone, bool drained) {
  for (AvailabilityZone& entry : set_.availability_zones_) {
    if (entry.id == zone) entry.drained = drained;
  }
  return *this;
}

Ref<const ObjectSet> ObjectSetBuilder::Build() const {
  auto built = MakeRef<ObjectSet>();
  built->accounts_ = set_.accounts_;
  built->models_ = set_.models_;
  built->versions_ = set_.versions_;
  built->cascades_ = set_.cascades_;
  built->availability_zones_ = set_.availability_zones_;
  built->endpoints_ = set_.endpoints_;
  return built;
}

}  // namespace bamboodock

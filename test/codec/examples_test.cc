#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/objects/object_set_checker.h"

namespace bamboodock {

class ExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(ExamplesMayBePublished);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against examples that no longer match the fields and rules of the object set, or that
  // have fewer zones or endpoints than the deployments they describe.
  void ExamplesMayBePublished() {
    Check("nilemark.json", 3, 15);
    Check("emva.json", 4, 16);
  }

 private:
  static void Check(const std::string& name, std::size_t zones, std::size_t endpoints) {
    std::ifstream file(std::string(BAMBOODOCK_EXAMPLES "/") + name);
    std::stringstream text;
    text << file.rdbuf();
    const DecodedObjectSet decoded = DecodeObjectSet(text.str());
    ExpectNone(name, decoded.errors);
    ExpectNone(name, CheckObjectSet(*decoded.set));
    CPPUNIT_ASSERT_EQUAL(zones, decoded.set->availability_zones().size());
    CPPUNIT_ASSERT_EQUAL(endpoints, decoded.set->endpoints().size());
  }

  static void ExpectNone(const std::string& name, const std::vector<ObjectSetError>& errors) {
    for (const ObjectSetError& error : errors) {
      CPPUNIT_FAIL(name + ": " + error.object + " " + error.field + ": " + error.message);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

}  // namespace bamboodock

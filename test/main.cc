// Boost.Test main() that is linked into every test program.
#define BOOST_TEST_MODULE citronwharf
#include <boost/test/unit_test.hpp>

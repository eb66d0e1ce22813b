// The Boost.Test main of every test program.
#define BOOST_TEST_MODULE citronwharf
#include <boost/test/unit_test.hpp>

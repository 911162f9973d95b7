// Header-only and single-source dependencies, compiled once for the program.
#include <boost/json/src.hpp>
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP

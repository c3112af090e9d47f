// Faults of the platform under load, played against real processes.

#include <catch2/catch.hpp>

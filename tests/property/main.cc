#include "prop.h"

#include <cstdlib>

int prop_passed, prop_failed;

/* Runs all properties with a fixed seed, so that each run gives the same verdict. */
int main()
{
	setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=120", 0);
	log_set_level(LOG_LEVEL_ERROR);
	prop_pack();
	prop_protocol();
	prop_sched();
	prop_gang();
	prop_workload();
	printf("properties: %d passed, %d failed\n", prop_passed, prop_failed);
	return prop_failed == 0 ? 0 : 1;
}

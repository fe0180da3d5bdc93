#include "prop.h"

#include <cstdlib>

int properties_passed, properties_failed;

/* Checks all properties. The default seed is fixed, so that runs are reproducible. */
int main()
{
	setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=120", 0);
	log_set_level(LOG_LEVEL_ERROR);
	prop_pack();
	prop_protocol();
	prop_sched();
	prop_gang();
	prop_workload();
	prop_odd();
	printf("properties: %d passed, %d failed\n", properties_passed, properties_failed);
	return properties_failed == 0 ? 0 : 1;
}

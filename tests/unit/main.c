#include "unit.h"

#include "base.h"

int main(void)
{
	unsigned int failed;

	log_set_level(LOG_LEVEL_ERROR);
	CU_initialize_registry();
	unit_base(CU_add_suite("base", NULL, NULL));
	unit_budget(CU_add_suite("budget", NULL, NULL));
	unit_state(CU_add_suite("state", NULL, NULL));
	unit_agent(CU_add_suite("agent", NULL, NULL));
	unit_sched(CU_add_suite("sched", NULL, NULL));
	unit_workload(CU_add_suite("workload", NULL, NULL));
	unit_workers(CU_add_suite("workers", NULL, NULL));
	unit_speed(CU_add_suite("speed", NULL, NULL));
	unit_evacuate(CU_add_suite("evacuate", NULL, NULL));
	unit_http(CU_add_suite("http", NULL, NULL));
	unit_records(CU_add_suite("records", NULL, NULL));
	unit_crash(CU_add_suite("crash", NULL, NULL));
	unit_owner(CU_add_suite("owner", NULL, NULL));
	unit_begin(CU_add_suite("begin", NULL, NULL));
	unit_json(CU_add_suite("json", NULL, NULL));
	unit_checkpoint(CU_add_suite("checkpoint", NULL, NULL));
	unit_cost(CU_add_suite("cost", NULL, NULL));
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failed = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failed > 0;
}

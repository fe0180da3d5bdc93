#ifndef DP_UNIT_H
#define DP_UNIT_H

#include <CUnit/Basic.h>

/* Each function adds the tests of one module to a suite. */
void unit_base(CU_pSuite s);
void unit_budget(CU_pSuite s);
void unit_state(CU_pSuite s);
void unit_agent(CU_pSuite s);
void unit_sched(CU_pSuite s);
void unit_workload(CU_pSuite s);
void unit_workers(CU_pSuite s);
void unit_speed(CU_pSuite s);
void unit_evacuate(CU_pSuite s);
void unit_http(CU_pSuite s);
void unit_records(CU_pSuite s);
void unit_cost(CU_pSuite s);
void unit_crash(CU_pSuite s);
void unit_owner(CU_pSuite s);
void unit_begin(CU_pSuite s);
void unit_json(CU_pSuite s);
void unit_checkpoint(CU_pSuite s);

#endif

#ifndef DP_PROP_H
#define DP_PROP_H

#include <rapidcheck.h>

extern "C" {
#include "coord.h"
#include "sched.h"
}

/* Runs one property, counts it and prints its result. */
template <typename F> void prop(const char *name, F &&fn)
{
	extern int prop_passed, prop_failed;

	if (rc::check(name, std::forward<F>(fn)))
		prop_passed++;
	else
		prop_failed++;
}

void prop_sched();
void prop_pack();
void prop_protocol();
void prop_gang();
void prop_workload();

#endif

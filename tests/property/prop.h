#ifndef DP_PROP_H
#define DP_PROP_H

#include <rapidcheck.h>

extern "C" {
#include "coord.h"
#include "sched.h"
}

/* Checks a property with random cases, prints the result and counts it for the exit status. */
template <typename F> void check_property(const char *name, F &&fn)
{
	extern int properties_passed, properties_failed;

	if (rc::check(name, std::forward<F>(fn)))
		properties_passed++;
	else
		properties_failed++;
}

void prop_sched();
void prop_pack();
void prop_protocol();
void prop_gang();
void prop_workload();
void prop_odd();

#endif

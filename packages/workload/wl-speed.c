#include "wl-private.h"

#include <math.h>

/*
 * How fast workers are, relative to each other. The members of a gang advance together, so one
 * slow worker delays all of them: gangs prefer workers that are not slow, and tasks that run by
 * themselves leave these to them. The tasks of a step do about the same work, so a worker's
 * runs are compared with the other runs of the same step.
 */

/* Runs of a step before others are compared with them. */
#define STEP_RUNS_MIN 4
/* Runs of a worker before it can count as slow. */
#define WORKER_RUNS_MIN 2
/* Least weight of the newest run in a worker's average. */
#define RUN_WEIGHT 0.2
/* A worker is slow if its runs take longer than others by this natural logarithm. */
#define SLOW_LOG 0.08
/* Shorter runs consist of message latency. */
#define RUN_TIME_MIN (200 * NSEC_PER_MSEC)

/* Records the run time of a completed task that is not a gang member and ran from its start. */
void speed_record(struct wl_node *n, struct wl_unit *u, int64_t duration)
{
	double x;
	double weight;

	if (duration < RUN_TIME_MIN)
		return;
	x = log((double)duration);
	if (u->timed_runs >= STEP_RUNS_MIN) {
		n->timed_runs++;
		weight = MAX(RUN_WEIGHT, 1.0 / n->timed_runs);
		n->slowness += weight * (x - u->log_time_sum / u->timed_runs - n->slowness);
	}
	u->timed_runs++;
	u->log_time_sum += x;
}

/* Forgets what is known of a worker. */
void speed_reset(struct wl_node *n)
{
	n->timed_runs = 0;
	n->slowness = 0;
}

bool node_is_slow(const struct wl_node *n)
{
	return n->timed_runs >= WORKER_RUNS_MIN && n->slowness > SLOW_LOG;
}

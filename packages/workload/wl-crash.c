#include "wl-private.h"

#include <inttypes.h>

/*
 * Workers that crash. The runs that had just started are suspected: a task that crashes its
 * worker does so at its start.
 */

COUNTER(worker_crashes, "damaskpath_worker_crashes_total", "Workers that crashed.");
COUNTER(crash_suspects, "damaskpath_crash_suspects_total",
	"Runs that had just started when their worker crashed.");

/* A run is proven once its worker has listed it for this long. */
#define PROOF_TIME ((uint64_t)(500 * NSEC_PER_MSEC))

/*
 * Records that a worker's lists, requested at a time of its agent's clock, hold a run. The
 * lists may have been requested long before they were answered, so the time counts from the
 * request that follows the first lists with the run.
 */
void crash_record_listed(struct wl_task *t, uint64_t requested_ns)
{
	if (t->proven || t->listed_ns == 0)
		return;
	if (t->proof_since_ns == 0 || requested_ns < t->proof_since_ns)
		t->proof_since_ns = requested_ns;
	t->proven = requested_ns - t->proof_since_ns >= PROOF_TIME;
}

/* Whether the worker may have crashed by a task's run: the start was sent, and not proven. */
static bool is_suspect(const struct wl_task *t)
{
	return t->phase != TASK_PLACED && !t->proven;
}

/* Records that a worker has crashed with the runs that are still assigned to it. */
void crash_record(struct wl_node *n, int64_t now)
{
	unsigned int suspects = 0;
	unsigned int tasks = 0;
	struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		AUTOFREE char *name = NULL;

		tasks++;
		if (!is_suspect(t))
			continue;
		suspects++;
		name = task_name(t);
		event_log(EV_CRASH_SUSPECT,
			"task=%s attempt=%u node=%s answered=%d age_ms=%" PRId64, name,
			t->attempt, n->name, t->running_at > 0,
			(now - t->placed_at) / NSEC_PER_MSEC);
	}
	counter_add(&worker_crashes, 1);
	counter_add(&crash_suspects, suspects);
	event_log(EV_WORKER_CRASH, "node=%s life=%s agent_away=%d tasks=%u suspects=%u",
		n->name, n->instance_id, n->agent_away, tasks, suspects);
}

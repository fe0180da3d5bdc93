#include "wl-private.h"

#include <inttypes.h>

/*
 * A run without progress for this long, and for STALL_ESTIMATE_SHARE of its estimated run time,
 * is stalled: a worker at a fifth of its speed still moves the percentage in that time.
 */
#define STALL_TIMEOUT	     (2 * NSEC_PER_SEC)
#define STALL_ESTIMATE_SHARE 0.15
/* A stalled run raises its worker's failure score as much as this many failed runs. */
#define STALL_FAILURES 3
/*
 * A run on a leaving worker is stopped, to be placed again elsewhere, unless it is expected to
 * end this long before the worker leaves.
 */
#define DRAIN_MARGIN (200 * NSEC_PER_MSEC)
/* Shortest observation from which a progress rate is computed. */
#define PROGRESS_WINDOW_MIN (300 * NSEC_PER_MSEC)

/* Whether a run's remaining time can be computed from its progress. */
bool task_has_progress_rate(const struct wl_task *t)
{
	return t->phase == TASK_RUNNING && t->percent > t->base_percent &&
	       t->percent_at - t->base_at >= PROGRESS_WINDOW_MIN;
}

/* Expected remaining time of a run, from its progress rate or else from its estimate. */
int64_t task_remaining(const struct wl_task *t, int64_t now)
{
	int64_t estimate = speed_scale(t->node, step_estimate(t->unit->job, t->unit->step));
	int64_t ran = t->running_at > 0 ? now - t->running_at : 0;
	int64_t observed = t->percent_at - t->base_at;
	uint32_t gained = t->percent - MIN(t->base_percent, t->percent);
	uint32_t remaining_percent = 100 - MIN(t->percent, 100u);

	if (!task_has_progress_rate(t))
		return MAX(estimate * (100 - MIN(t->base_percent, 100u)) / 100 - ran, 0);
	/* percent is as of percent_at, up to one report interval ago. */
	return MAX(observed * remaining_percent / gained - (now - t->percent_at), 0);
}

/* Records a run's reported progress. */
void task_record_progress(struct wl_task *t, int64_t now, uint64_t sent_ns, uint32_t percent)
{
	if (t->base_at == 0) {
		bool resumed = *task_checkpoint(t) != '\0';

		t->base_percent = resumed ? percent : 0;
		t->base_at = resumed || t->running_at == 0 ? now : t->running_at;
	}
	if (percent != t->percent || t->progress_ns == 0 || sent_ns < t->progress_ns)
		t->progress_ns = sent_ns;
	t->listed_ns = sent_ns;
	t->percent = percent;
	t->percent_at = now;
}

/*
 * Stops runs that won't end before their worker leaves; they resume elsewhere from their
 * checkpoints.
 */
static void stop_before_drain(struct wl_node *n, int64_t now)
{
	struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		if (t->phase != TASK_RUNNING)
			continue;
		if (!t->unit->step->long_running &&
			task_remaining(t, now) <= n->drain_until - now - DRAIN_MARGIN)
			continue;
		if (t->unit->step->gang)
			unit_stop(t->unit, now, "the worker of a gang member is leaving", NULL);
		else
			task_stop(t, now, "its worker is leaving", NULL);
	}
}

/*
 * Whether the worker has listed a run without progress for this long, by its agent's clock. The
 * time counts from the first report that listed it, also for a gang member that still waits for
 * the other members.
 */
bool task_is_idle(const struct wl_task *t, uint64_t threshold_ns)
{
	if (t->phase != TASK_RUNNING || t->unit->step->long_running || t->percent >= 100 ||
		t->pace_percent < 100 || t->unit->step->filler)
		return false;
	return t->listed_ns - t->progress_ns > threshold_ns;
}

static bool is_stalled(const struct wl_task *t)
{
	double share =
		STALL_ESTIMATE_SHARE * (double)step_estimate(t->unit->job, t->unit->step);

	return task_is_idle(t, STALL_TIMEOUT) && task_is_idle(t, (uint64_t)share);
}

/* Stops stalled runs, so that they start again on another worker if one fits. */
static void stop_stalled_runs(struct wl_node *n, int64_t now)
{
	struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		if (!is_stalled(t))
			continue;
		if (t->unit->step->gang) {
			/* It is not known which member stalls the gang: blame no worker. */
			unit_stop(t->unit, now, "the gang is stalled", NULL);
			continue;
		}
		for (int i = 0; i < STALL_FAILURES; i++)
			node_record_failure(n, now);
		t->avoid_node = n;
		task_stop(t, now, "the run is stalled", NULL);
	}
}

/* Stops runs on leaving workers and runs that are stalled. */
void health_check(struct wl *w, int64_t now)
{
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		if (!n->linked || n->instance_id == NULL)
			continue;
		if (n->draining && !n->has_left)
			stop_before_drain(n, now);
		stop_stalled_runs(n, now);
	}
}

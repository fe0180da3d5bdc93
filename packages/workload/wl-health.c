#include "wl-private.h"

#include <inttypes.h>

/* A run whose progress has not moved for so long stands still. */
#define STALL_TIMEOUT (3 * NSEC_PER_SEC)
/* What a run that stands still counts against its worker, in failed runs. */
#define STALL_FAILURES 3
/* A run that will not end this long before its worker leaves is moved. */
#define DRAIN_MARGIN (200 * NSEC_PER_MSEC)
/* Progress that was seen for less time says nothing of the rest. */
#define PROGRESS_WINDOW_MIN (300 * NSEC_PER_MSEC)

/* Whether a run's progress says how long it takes. */
bool task_has_progress_rate(const struct wl_task *t)
{
	return t->phase == TASK_RUNNING && t->percent > t->base_percent &&
	       t->percent_at - t->base_at >= PROGRESS_WINDOW_MIN;
}

/* How long a run still takes, by its progress, or by its estimate before there is any. */
int64_t task_remaining(const struct wl_task *t, int64_t now)
{
	int64_t estimate = step_estimate(t->unit->job, t->unit->step);
	int64_t ran = t->running_at > 0 ? now - t->running_at : 0;
	int64_t observed = t->percent_at - t->base_at;
	uint32_t gained = t->percent - MIN(t->base_percent, t->percent);
	uint32_t left = 100 - MIN(t->percent, 100u);

	if (!task_has_progress_rate(t))
		return MAX(estimate * (100 - MIN(t->base_percent, 100u)) / 100 - ran, 0);
	/* What was listed is older than now by up to a report's period. */
	return MAX(observed * left / gained - (now - t->percent_at), 0);
}

/* Note a run's progress. */
void task_progress(struct wl_task *t, int64_t now, uint32_t percent)
{
	if (t->base_at == 0) {
		bool resumed = *t->checkpoint != '\0';

		t->base_percent = resumed ? percent : 0;
		t->base_at = resumed || t->running_at == 0 ? now : t->running_at;
	}
	if (percent != t->percent || t->progress_at == 0)
		t->progress_at = now;
	t->percent = percent;
	t->percent_at = now;
}

/* Move the runs of a leaving worker that will not end in time; what they saved goes along. */
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
			unit_stop(t->unit, now, "a member's worker is leaving", NULL);
		else
			task_stop(t, now, "its worker is leaving", NULL);
	}
}

/* Whether a run stands still: a gang's progress counts from when all its members run. */
static bool is_stalled(const struct wl_task *t, int64_t now)
{
	int64_t since = MAX(t->progress_at, t->running_at);

	if (t->phase != TASK_RUNNING || t->unit->step->long_running || t->percent >= 100 ||
		t->pace < 100 || t->unit->step->filler)
		return false;
	return since > 0 && now - since > STALL_TIMEOUT;
}

/* Start runs that stand still elsewhere. */
static void stop_stalled_runs(struct wl_node *n, int64_t now)
{
	struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		if (!is_stalled(t, now))
			continue;
		if (t->unit->step->gang) {
			/* Which member holds the gang up is not known. */
			unit_stop(t->unit, now, "the gang stands still", NULL);
			continue;
		}
		for (int i = 0; i < STALL_FAILURES; i++)
			node_strike(n, now);
		t->avoid = n;
		task_stop(t, now, "it stands still", NULL);
	}
}

/* Look after runs on workers that leave or do not work. */
void health_check(struct wl *w, int64_t now)
{
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		if (!n->linked || n->life == NULL)
			continue;
		if (n->draining && !n->left)
			stop_before_drain(n, now);
		stop_stalled_runs(n, now);
	}
}

#include "wl-private.h"

#include <inttypes.h>

/*
 * Tasks that crash their workers. Such a run has no end that could be counted: the worker is
 * lost with all its runs, comes back, and the task would start again on another worker.
 *
 * A crash is held against the runs that were not proven, that is, that had just started. Other
 * runs start on a worker at the same time, and workers crash for other reasons. So a suspected
 * task starts next where no other run is unproven, and nothing starts beside it until it is
 * proven; only a crash under such a run counts further. If no worker is free of unproven runs,
 * one is held for the task. A proven run clears it.
 *
 * If the worker's agent was away as well, the VM failed or was cut off: nothing is counted.
 */

COUNTER(worker_crashes, "damaskpath_worker_crashes_total", "Workers that crashed.");
COUNTER(crash_suspects, "damaskpath_crash_suspects_total",
	"Runs that had just started when their worker crashed.");
COUNTER(jobs_given_up, "damaskpath_crash_jobs_failed_total",
	"Jobs given up because workers crashed under one of their tasks.");

/* A run is proven once its worker has listed it for this long. */
#define PROOF_TIME ((uint64_t)(500 * NSEC_PER_MSEC))
/* A job is given up after this many crashes under one of its tasks; see crash_limit_reached. */
#define CRASHES_MAX	    3
#define CRASHES_CERTAIN_MAX 2
/* If so many workers crash within this time of each other, there may be a common cause. */
#define BURST_CRASHES 3
#define BURST_TIME    (500 * NSEC_PER_MSEC)
/* A worker is held for a suspected task for this long, in which its runs are proven or end. */
#define HOLD_TIME (4 * NSEC_PER_SEC)
/* Tasks that fit only on held workers or beside suspects start there after this. */
#define WAIT_MAX (3 * NSEC_PER_SEC)
/* A unit that no pass has kept off a worker for this long waits anew. */
#define EXCLUSION_GAP_MAX (500 * NSEC_PER_MSEC)

/*
 * Whether a worker has crashed at a start of a task since its last proven run. The members of a
 * gang start together, so all are suspected if one is.
 */
bool task_is_suspect(const struct wl_task *t)
{
	return t->unit->step->gang ? t->unit->crashed_tasks > 0 : t->crashes.count > 0;
}

/* Counts a run that starts on its node. */
void crash_task_attached(struct wl_task *t)
{
	struct wl_node *n = t->node;

	t->isolated = task_is_suspect(t);
	n->unproven++;
	n->isolated += t->isolated;
	if (t->isolated && n->isolated == 1)
		n->wl->isolated_nodes++;
}

/* Discounts a run of a node that is proven or has ended. */
static void node_discount(struct wl_task *t)
{
	t->node->unproven--;
	t->node->isolated -= t->isolated;
	t->isolated = false;
}

/* Discounts a run that has ended or never started, before its node is unset. */
void crash_task_detached(struct wl_task *t)
{
	if (t->node != NULL && !t->proven)
		node_discount(t);
	t->proof_since_ns = 0;
	t->proven = false;
}

static void clear_crashes(struct wl_task *t)
{
	if (t->crashes.count == 0)
		return;
	t->crashes.count = 0;
	t->crashes.uncertain = false;
	t->crashes.node = NULL;
	t->unit->crashed_tasks--;
	job_request_store(t->unit->job, WL_STORE_SOON);
}

/* Clears a task whose run is proven, a gang when the runs of all its members are. */
static void clear_proven(struct wl_task *t)
{
	struct wl_unit *u = t->unit;

	if (u->crashed_tasks == 0)
		return;
	if (!u->step->gang) {
		clear_crashes(t);
		return;
	}
	for (uint32_t i = 0; i < u->step->count; i++) {
		if (!u->tasks[i].proven)
			return;
	}
	for (uint32_t i = 0; i < u->step->count; i++)
		clear_crashes(&u->tasks[i]);
}

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
	if (requested_ns - t->proof_since_ns < PROOF_TIME)
		return;
	if (t->isolated)
		t->unit->job->wl->changed = true;
	node_discount(t);
	t->proven = true;
	clear_proven(t);
}

/* Whether a worker may have crashed by a task's run. */
static bool is_suspect(const struct wl_task *t)
{
	return !t->proven && t->phase != TASK_PLACED && t->phase != TASK_DONE &&
	       !wl_state_ended(t->unit->job->state);
}

/* Whether all suspects of a node are one task or the members of one gang. */
static bool has_single_suspect(const struct wl_node *n)
{
	const struct wl_task *only = NULL;
	const struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		if (!is_suspect(t))
			continue;
		if (only != NULL && !(t->unit->step->gang && only->unit == t->unit))
			return false;
		only = t;
	}
	return only != NULL;
}

/* Whether many workers have crashed around a time. */
static bool is_burst(const struct wl *w, int64_t at)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < G_N_ELEMENTS(w->crash_times); i++)
		count += llabs(w->crash_times[i] - at) <= BURST_TIME;
	return count >= BURST_CRASHES;
}

/*
 * Whether the crashes are enough to give a task up. Two are, if they were on different workers
 * and certainly by this task: the last not one of many crashes, and each right after its start
 * was answered, before any list showed the run.
 */
static bool crash_limit_reached(
	const struct wl_crashes *c, const struct wl_task *t, bool certain)
{
	certain &= !c->uncertain && c->node != t->node;
	return c->count >= CRASHES_MAX || (c->count >= CRASHES_CERTAIN_MAX && certain);
}

/*
 * Counts a crash for a suspect, once an attempt, and further ones only if it was the single
 * suspect. Returns whether it is to be given up.
 */
static bool count_crash(struct wl_task *t, bool single, bool certain)
{
	struct wl_crashes *c = &t->crashes;
	struct wl_unit *u = t->unit;
	bool limit_reached;

	t->avoid_node = t->node;
	if (t->attempt <= c->attempt || (c->count > 0 && !single))
		return false;
	if (c->count == 0)
		u->crashed_tasks++;
	/* The start may not have reached the worker, or the worker went on for a while. */
	c->uncertain |= t->running_at == 0 || t->listed_ns != 0;
	c->count++;
	c->attempt = t->attempt;
	limit_reached = crash_limit_reached(c, t, certain);
	c->node = t->node;
	job_request_store(u->job, WL_STORE_SOON);
	return limit_reached;
}

/* A job to be given up, after two crashes only if no more workers crashed around the time. */
struct pending_failure {
	char job[WL_ID_LEN + 1];
	uint32_t crashes;
	int64_t at;
};

/*
 * Keeps a task from starting again until it is known whether its job is given up. A task that
 * runs until its job is cancelled has no limit, of failures or of crashes: it goes on starting
 * by itself, where a crash loses no other run.
 */
static void fail_job_later(struct wl_task *t, int64_t now)
{
	struct pending_failure c = {.crashes = t->crashes.count, .at = now};

	if (t->unit->step->long_running)
		return;
	g_strlcpy(c.job, t->unit->job->spec.id, sizeof(c.job));
	t->unit->retry_at = MAX(t->unit->retry_at, now + BURST_TIME + 1);
	g_array_append_val(t->unit->job->wl->pending_failures, c);
}

/*
 * Restores the crashes of a task from its stored mark. The coordinator that counted the last
 * one may have ended before it gave the job up.
 */
void crash_restore(struct wl_task *t, const struct wl_mark *m)
{
	t->unit->crashed_tasks += (m->crashes > 0) - (t->crashes.count > 0);
	t->crashes.count = m->crashes;
	t->crashes.attempt = m->crashed_attempt;
	t->crashes.uncertain = m->crash_uncertain;
	if (!m->done && m->crashes >= CRASHES_MAX)
		fail_job_later(t, t->unit->job->added_at);
}

/* Gives up the jobs of tasks under which workers have crashed too often. */
void crash_give_up_jobs(struct wl *w, int64_t now, int64_t wall)
{
	guint done = 0;

	for (; done < w->pending_failures->len; done++) {
		const struct pending_failure *c =
			&g_array_index(w->pending_failures, struct pending_failure, done);
		struct wl_job *j = wl_find_job(w, c->job);

		if (now - c->at <= BURST_TIME)
			break;
		if (j == NULL || wl_state_ended(j->state) ||
			(c->crashes < CRASHES_MAX && is_burst(w, c->at)))
			continue;
		counter_add(&jobs_given_up, 1);
		job_finish(j, now, wall, WL_FAILED,
			"workers crashed when one of its tasks started");
	}
	g_array_remove_range(w->pending_failures, 0, done);
}

GArray *pending_failures_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct pending_failure));
}

/*
 * Handles the loss of a worker: holds it against the runs that were not proven, and drops all
 * its runs. crashed means that the worker has started again, and not only that it is silent.
 */
void crash_lose_worker(struct wl_node *n, int64_t now, const char *why, bool crashed)
{
	bool single = has_single_suspect(n);
	unsigned int suspects = 0;
	unsigned int tasks = 0;
	struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		AUTOFREE char *name = NULL;

		tasks++;
		if (!is_suspect(t))
			continue;
		suspects++;
		if (!n->agent_away && count_crash(t, single, crashed))
			fail_job_later(t, now);
		name = task_name(t);
		event_log(EV_CRASH_SUSPECT,
			"task=%s attempt=%u node=%s answered=%d age_ms=%" PRId64
			" single=%d crashes=%u",
			name, t->attempt, n->name, t->running_at > 0,
			(now - t->placed_at) / NSEC_PER_MSEC, single, t->crashes.count);
	}
	if (crashed)
		n->wl->crash_times[n->wl->crashes++ % G_N_ELEMENTS(n->wl->crash_times)] = now;
	counter_add(&worker_crashes, crashed);
	counter_add(&crash_suspects, suspects);
	event_log(EV_WORKER_CRASH,
		"node=%s life=%s why=\"%s\" agent_away=%d tasks=%u suspects=%u", n->name,
		n->instance_id, why, n->agent_away, tasks, suspects);
	node_drop_runs(n, now, why);
}

static bool is_held(const struct wl_node *n, int64_t now)
{
	return n->held_for != NULL && n->held_until > now;
}

/* Whether a worker is reserved for a suspected task, which runs there or is to start. */
bool node_is_isolated(const struct wl_node *n, int64_t now)
{
	return n->isolated > 0 || is_held(n, now);
}

/* Whether one more worker may be isolated: half of the workers are left to other tasks. */
static bool may_isolate(const struct wl *w)
{
	return w->isolated_nodes == 0 || 2 * (w->isolated_nodes + 1) <= w->nodes->len;
}

/*
 * Whether a suspected task may start on a worker without unproven runs. A gang for which some
 * workers are held may use any others, as it may need more than half of all.
 */
static bool may_start_alone(const struct wl_node *n, const struct wl_unit *u, int64_t now)
{
	return (is_held(n, now) && n->held_for == u) ||
	       (u->step->gang && u->hold_until > now) || may_isolate(n->wl);
}

/* Whether a unit has been kept off workers that it fits on for too long. */
static bool has_waited_enough(const struct wl_unit *u, int64_t now)
{
	return u->excluded_since != 0 && now - u->excluded_at <= EXCLUSION_GAP_MAX &&
	       now - u->excluded_since > WAIT_MAX;
}

/* Whether a task may start on a worker beside the unproven runs there and those of a plan. */
bool crash_allows(
	const struct wl_node *n, const struct wl_task *t, const GArray *plan, int64_t now)
{
	const struct wl_unit *u = t->unit;
	bool suspect = task_is_suspect(t);
	bool held_for_unit = is_held(n, now) && n->held_for == u;

	if (!suspect && has_waited_enough(u, now))
		return true;
	if (node_is_isolated(n, now) && !(held_for_unit && suspect))
		return false;
	if (suspect && (n->unproven > 0 || !may_start_alone(n, u, now)))
		return false;
	if (u->step->gang || u->crashed_tasks == 0)
		return true;
	for (guint i = 0; i < plan->len; i++) {
		const struct placement *p = &g_array_index(plan, struct placement, i);

		if (p->node == n && (suspect || task_is_suspect(p->task)))
			return false;
	}
	return true;
}

/*
 * Records that a task fits only on workers that crash_allows excludes. Holds one of them for a
 * suspected task; a gang may hold several.
 */
void crash_hold(const struct wl_task *t, struct wl_node *n, int64_t now)
{
	struct wl_unit *u = t->unit;

	if (u->excluded_since == 0 || now - u->excluded_at > EXCLUSION_GAP_MAX)
		u->excluded_since = now;
	u->excluded_at = now;
	if (!task_is_suspect(t) || node_is_isolated(n, now) || !may_isolate(n->wl) ||
		(!u->step->gang && u->hold_until > now))
		return;
	n->held_for = u;
	n->held_until = now + HOLD_TIME;
	u->hold_until = n->held_until;
	n->wl->isolated_nodes++;
}

/* Releases the workers that are held for a unit of which tasks have been placed. */
void crash_release(struct wl_unit *u)
{
	struct wl *w = u->job->wl;

	u->excluded_since = 0;
	if (u->hold_until == 0)
		return;
	u->hold_until = 0;
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		if (n->held_for == u)
			n->held_for = NULL;
	}
}

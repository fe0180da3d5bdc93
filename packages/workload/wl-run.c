#include "wl-private.h"

#include <inttypes.h>

/*
 * Attempt numbers meant for each coordinator term. Attempts of a term start above
 * (term - 1) * ATTEMPTS_PER_TERM, so that two coordinators don't give the same number to
 * different runs of a task. Only this lower bound is enforced: after ATTEMPTS_PER_TERM attempts
 * of a task in one term, the numbers continue into the range of the next term.
 */
#define ATTEMPTS_PER_TERM 256

/*
 * After the first failure of a task or gang, its unit may be placed again at once; after
 * further ones only after RETRY_DELAY << failures, which delays all waiting tasks of the unit.
 */
#define RETRY_DELAY	(100 * NSEC_PER_MSEC)
#define RETRY_DELAY_MAX (2 * NSEC_PER_SEC)
/* A stop order whose run has not ended is sent again after this. */
#define STOP_RETRY_INTERVAL NSEC_PER_SEC

/* A start order with more bytes of checkpoints than this is followed by another one. */
#define START_CHECKPOINTS_MAX 1048576

/* Returns the number of the attempt that follows last. */
uint32_t next_attempt(const struct wl *w, uint32_t last)
{
	uint32_t first = (uint32_t)((w->term - 1) * ATTEMPTS_PER_TERM + 1);

	return MAX(last + 1, first);
}

static bool phase_is_active(enum wl_task_phase phase)
{
	return phase == TASK_PLACED || phase == TASK_STARTING || phase == TASK_RUNNING;
}

/* Changes the phase of a task; wl_unit.waiting_count is the caller's to keep. */
void task_set_phase(struct wl_task *t, enum wl_task_phase phase)
{
	if (phase_is_active(t->phase))
		t->unit->active_count--;
	if (phase_is_active(phase))
		t->unit->active_count++;
	t->unit->running_count -= t->phase == TASK_RUNNING;
	t->unit->running_count += phase == TASK_RUNNING;
	t->phase = phase;
}

/* Removes a task from the list of those that a node may be running. */
void task_clear_unconfirmed(struct wl_task *t)
{
	if (t->unconfirmed_node == NULL)
		return;
	TAILQ_REMOVE(&t->unconfirmed_node->unconfirmed, t, on_node);
	t->unconfirmed_node = NULL;
}

/* Assigns a task to a node, which allocates the task's resources there. */
void task_attach(struct wl_task *t, struct wl_node *n, uint32_t attempt)
{
	if (t->phase == TASK_WAITING)
		t->unit->waiting_count--;
	task_clear_unconfirmed(t);
	t->node = n;
	t->attempt = attempt;
	t->unit->attempt = MAX(t->unit->attempt, attempt);
	TAILQ_INSERT_TAIL(&n->tasks, t, on_node);
	crash_task_attached(t);
}

/* Whether all tasks of a job wait to be placed. */
static bool job_waits(const struct wl_job *j)
{
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++) {
			if (j->occurrences[k][s].waiting_count != j->spec.steps[s].count)
				return false;
		}
	}
	return true;
}

/* Logs that a job waits again none of whose starts took effect. */
static void log_unstarted(const struct wl_job *j)
{
	if (!j->begun && !wl_state_ended(j->state) && job_waits(j))
		event_log(EV_JOB_REQUEUED, "job=%s", j->spec.id);
}

/*
 * A job runs from now on, as its callers see it. Until then it counts as waiting, wherever it
 * is placed: a worker that has lost power is placed on like any other for some seconds.
 */
void job_begin(struct wl_job *j)
{
	if (j->begun)
		return;
	j->begun = true;
	if (j->state != WL_QUEUED)
		return;
	j->state = WL_RUNNING;
	job_request_store(j, WL_STORE_LATER);
}

/*
 * Removes a task from its node after the run has ended or if it never started. The task waits
 * again unless it is done. why must be a constant string.
 */
void task_detach(struct wl_task *t, int64_t now, const char *why)
{
	crash_task_detached(t);
	speed_run_ended(t, now);
	task_clear_unconfirmed(t);
	if (t->node != NULL)
		TAILQ_REMOVE(&t->node->tasks, t, on_node);
	t->released_why = why;
	t->released_attempt = t->attempt;
	t->node = NULL;
	t->unit->job->wl->changed = true;
	t->percent = 0;
	t->percent_at = 0;
	t->listed_ns = 0;
	t->progress_ns = 0;
	t->base_percent = 0;
	t->base_at = 0;
	t->observed_percent = 0;
	t->observed_at = 0;
	t->observed = false;
	t->measurement = 0;
	t->pace_percent = 100;
	t->start_cancelled = false;
	t->moving = false;
	if (t->phase == TASK_DONE || t->phase == TASK_WAITING)
		return;
	task_set_phase(t, TASK_WAITING);
	t->waiting_since = now;
	t->unit->waiting_count++;
	log_unstarted(t->unit->job);
}

/* Records that a worker has confirmed a run. A gang works once all its members run. */
void task_confirm_running(struct wl_task *t, int64_t now)
{
	struct wl_unit *u = t->unit;

	if (t->phase == TASK_STARTING) {
		task_set_phase(t, TASK_RUNNING);
		t->running_at = now;
	}
	if (!u->step->gang || u->running_count == u->step->count)
		job_begin(u->job);
}

/*
 * Sends a stop order for a run; while the run is stopping, at most one per STOP_RETRY_INTERVAL.
 * beneficiary is the id of the job for which the run is stopped, or NULL.
 */
void task_stop(struct wl_task *t, int64_t now, const char *why, const char *beneficiary)
{
	AUTOFREE char *name = NULL;
	struct wl_stop_order o;

	if (t->phase == TASK_PLACED) {
		/* The start order has not been sent, so there is no run to stop. */
		task_detach(t, now, "not started");
		return;
	}
	if (t->node == NULL || (t->stop_sent != 0 && now - t->stop_sent < STOP_RETRY_INTERVAL &&
				       t->phase == TASK_STOPPING))
		return;
	if (t->phase == TASK_STARTING || t->phase == TASK_RUNNING)
		task_set_phase(t, TASK_STOPPING);
	t->stop_sent = now;
	name = task_name(t);
	o = (struct wl_stop_order){.term = t->unit->job->wl->term,
		.worker_instance = t->node->instance_id,
		.task = name,
		.attempt = t->attempt};
	event_log(EV_TASK_STOP, "task=%s attempt=%u node=%s why=\"%s\" for=%s", name,
		t->attempt, t->node->name, why, beneficiary != NULL ? beneficiary : "-");
	t->unit->job->wl->callbacks.stop(t->unit->job->wl->callbacks.arg, t->node->name, &o);
}

/*
 * Cancels a start that was never answered. The worker does not list the run, but may still
 * execute the start. The agent invalidates the start and answers it; until then its resources
 * stay allocated and the task is not started elsewhere.
 */
void task_cancel_start(struct wl_task *t, int64_t now)
{
	AUTOFREE char *name = NULL;
	struct wl_stop_order o;

	if (t->stop_sent != 0 && now - t->stop_sent < STOP_RETRY_INTERVAL)
		return;
	t->stop_sent = now;
	name = task_name(t);
	o = (struct wl_stop_order){.term = t->unit->job->wl->term,
		.worker_instance = t->node->instance_id,
		.task = name,
		.attempt = t->attempt,
		.ordinal = t->ordinal};
	event_log(EV_TASK_STOP, "task=%s attempt=%u node=%s why=\"%s\" for=-", name, t->attempt,
		t->node->name,
		t->start_cancelled ? "its zone is evacuated" : "the start was not answered");
	t->unit->job->wl->callbacks.stop(t->unit->job->wl->callbacks.arg, t->node->name, &o);
}

/* Stops the runs of a unit that are placed, starting or running. */
void unit_stop(struct wl_unit *u, int64_t now, const char *why, const char *beneficiary)
{
	for (uint32_t i = 0; i < u->step->count && u->active_count > 0; i++) {
		if (phase_is_active(u->tasks[i].phase))
			task_stop(&u->tasks[i], now, why, beneficiary);
	}
}

/* Stops the runs of a job that are placed, starting or running. */
void job_stop_runs(struct wl_job *j, int64_t now, const char *why)
{
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++)
			unit_stop(&j->occurrences[k][s], now, why, NULL);
	}
}

/* Whether all occurrences of a job have been opened and completed. */
static bool job_all_done(const struct wl_job *j)
{
	if (j->occurrences_len < MAX(j->spec.repetitions, 1))
		return false;
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++) {
			if (!j->occurrences[k][s].is_done)
				return false;
		}
	}
	return true;
}

/*
 * Marks a unit as done, makes the steps that depended on it ready, and completes the job if
 * this was its last unit.
 */
static void unit_complete(struct wl_unit *u, int64_t now, int64_t wall)
{
	struct wl_unit *units = u->job->occurrences[u->occurrence];

	u->is_done = true;
	for (uint32_t s = 0; s < u->job->spec.steps_len; s++) {
		if (!units[s].is_done && units[s].ready_at == 0 &&
			unit_dependencies_met(&units[s]))
			units[s].ready_at = now;
	}
	if (job_all_done(u->job))
		job_finish(u->job, now, wall, WL_COMPLETED, "all tasks are done");
}

/* Marks a task as done. */
static void task_complete(struct wl_task *t)
{
	if (t->phase == TASK_DONE)
		return;
	if (t->phase == TASK_WAITING)
		t->unit->waiting_count--;
	task_clear_unconfirmed(t);
	checkpoint_clear(t);
	task_set_phase(t, TASK_DONE);
	t->unit->done_count++;
}

/*
 * Handles a successful run. The task is done whichever attempt succeeded; a run of another
 * attempt is stopped. A gang is done when any of its members is.
 */
static void attempt_succeeded(struct wl_task *t, int64_t now, int64_t wall)
{
	struct wl_unit *u = t->unit;

	if (u->is_done || u->step->long_running)
		return;
	if (!u->step->gang) {
		task_complete(t);
		if (t->node != NULL)
			task_stop(t, now, "another attempt succeeded", NULL);
	}
	for (uint32_t i = 0; u->step->gang && i < u->step->count; i++)
		task_complete(&u->tasks[i]);
	if (u->done_count == u->step->count)
		unit_complete(u, now, wall);
	job_request_store(u->job, u->is_done ? WL_STORE_NOW : WL_STORE_SOON);
}

/*
 * Counts a failed attempt, once. The job fails when attempts_max is reached, except for
 * long-running tasks.
 */
static void attempt_failed(struct wl_task *t, int64_t now, int64_t wall, uint32_t attempt)
{
	struct wl_unit *u = t->unit;
	uint32_t *failures = u->step->gang ? &u->failures : &t->failures;
	uint32_t *last_counted = u->step->gang ? &u->failed_attempt : &t->failed_attempt;

	if (u->is_done || t->phase == TASK_DONE || attempt <= *last_counted)
		return;
	*last_counted = attempt;
	(*failures)++;
	u->most_failures = MAX(u->most_failures, *failures);
	u->retry_at = *failures == 1
			      ? now
			      : now + MIN(RETRY_DELAY << MIN(*failures, 8u), RETRY_DELAY_MAX);
	if (*failures >= u->job->attempts_max && !u->step->long_running)
		job_finish(u->job, now, wall, WL_FAILED,
			"the failures of a task or gang reached attempts_max");
	job_request_store(u->job, WL_STORE_SOON);
}

/*
 * Sends the start order for tasks of a unit on one worker, from the first one on, as far as
 * their checkpoints fit into a message; returns the number of tasks.
 */
static guint send_starts(struct wl_unit *u, const GPtrArray *tasks, guint first, int64_t now)
{
	g_autoptr(GArray) starts = g_array_new(FALSE, TRUE, sizeof(struct wl_start));
	struct wl_job *j = u->job;
	const struct wl_node *n = ((struct wl_task *)tasks->pdata[0])->node;
	struct wl_start_order o = {.term = j->wl->term,
		.worker_instance = n->instance_id,
		.payload = j->spec.payload};
	size_t checkpoint_bytes = 0;

	for (guint i = first; i < tasks->len && checkpoint_bytes < START_CHECKPOINTS_MAX; i++) {
		struct wl_task *t = tasks->pdata[i];
		struct wl_start s = {.attempt = t->attempt,
			.checkpoint = (char *)task_checkpoint(t),
			.ordinal = ++j->wl->ordinal,
			.task = task_name(t)};

		task_set_phase(t, TASK_STARTING);
		t->ordinal = s.ordinal;
		t->placed_at = now;
		checkpoint_bytes += strlen(s.checkpoint);
		g_array_append_val(starts, s);
	}
	o.starts = (struct wl_start *)starts->data;
	o.starts_len = starts->len;
	j->wl->callbacks.start(j->wl->callbacks.arg, n->name, &o);
	for (guint i = 0; i < starts->len; i++)
		free(g_array_index(starts, struct wl_start, i).task);
	return starts->len;
}

/* Sends the start orders of a unit's tasks whose placement is stored, one order per worker. */
static void unit_send_starts(struct wl_unit *u, int64_t now)
{
	g_autoptr(GHashTable) by_node = g_hash_table_new(g_direct_hash, g_direct_equal);
	g_autoptr(GPtrArray) orders =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_ptr_array_unref);

	for (uint32_t i = 0; i < u->step->count; i++) {
		struct wl_task *t = &u->tasks[i];
		GPtrArray *tasks;

		if (t->phase != TASK_PLACED || t->placement_version > u->job->stored)
			continue;
		tasks = g_hash_table_lookup(by_node, t->node);
		if (tasks == NULL) {
			tasks = g_ptr_array_new();
			g_ptr_array_add(orders, tasks);
			g_hash_table_insert(by_node, t->node, tasks);
		}
		g_ptr_array_add(tasks, t);
	}
	for (guint i = 0; i < orders->len; i++) {
		const GPtrArray *tasks = orders->pdata[i];

		for (guint sent = 0; sent < tasks->len;)
			sent += send_starts(u, tasks, sent, now);
	}
}

/* Sends the start orders that were waiting for a job's placements to be stored. */
void job_send_starts(struct wl_job *j, int64_t now)
{
	if (!evacuation_view_current(j->wl, now)) {
		j->wl->starts_held = true;
		return;
	}
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++)
			unit_send_starts(&j->occurrences[k][s], now);
	}
}

/*
 * Handles a finished run that a worker lists. Successes and failures count for any attempt; the
 * task is detached and its checkpoint saved only if the run is its current one.
 */
void wl_run_ended(
	struct wl *w, struct wl_node *n, int64_t now, int64_t wall, const struct wl_ended *e)
{
	struct wl_task *t = job_task(w, e->task, now);
	g_autofree char *saved = checkpoint_label(e->checkpoint);
	bool current;
	int64_t started_at;

	event_log(EV_TASK_END, "task=%s attempt=%u node=%s how=%s saved=%s", e->task,
		e->attempt, n->name, wl_end_name(e->how), saved);
	/* An earlier job with the same id had the run. */
	if (t != NULL && e->attempt < t->unit->job->first_attempt)
		return;
	if (t == NULL || wl_state_ended(t->unit->job->state)) {
		if (t != NULL && t->node == n && t->attempt == e->attempt)
			task_detach(t, now, "ended");
		return;
	}
	/* A gang's member may have ended while it waited for the others. */
	if (!t->unit->step->gang || e->how == WL_END_DONE || e->how == WL_END_FAILED ||
		e->how == WL_END_BROKEN)
		job_begin(t->unit->job);
	current = t->node == n && t->attempt == e->attempt;
	started_at = current ? t->placed_at : 0;
	t->attempt = MAX(t->attempt, e->attempt);
	t->unit->attempt = MAX(t->unit->attempt, e->attempt);
	if (e->how == WL_END_DONE && !t->unit->step->long_running) {
		node_record_success(n, started_at);
		if (current && t->running_at > 0 && *task_checkpoint(t) == '\0') {
			run_stats_record(t, now - t->running_at);
			if (!t->unit->step->gang)
				speed_record(n, t->unit, now - t->running_at);
		}
		if (current)
			task_detach(t, now, "ended");
		attempt_succeeded(t, now, wall);
		return;
	}
	if (current) {
		task_detach(t, now, "ended");
		checkpoint_save(t, e->attempt, e->checkpoint);
		if (*task_checkpoint(t) != '\0')
			job_request_store(t->unit->job, WL_STORE_SOON);
	}
	if (e->how == WL_END_FAILED) {
		node_record_failure(n, now);
		probation_record_failure(n, t->unit, now, started_at);
		t->avoid_node = n;
		attempt_failed(t, now, wall, e->attempt);
	}
	if (current && t->unit->step->gang && !t->unit->is_done)
		unit_stop(t->unit, now, "a gang member has ended", NULL);
}

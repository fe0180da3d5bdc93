#include "wl-private.h"

#include <inttypes.h>

/*
 * Attempts of one coordinator lie above term * ATTEMPTS_PER_TERM, so that no two coordinators
 * give one number to two runs of a task.
 */
#define ATTEMPTS_PER_TERM 256

/* Pauses before a task that failed is tried again. */
#define RETRY_PAUSE	(100 * NSEC_PER_MSEC)
#define RETRY_PAUSE_MAX (2 * NSEC_PER_SEC)
/* A stop that has not shown an effect is sent again after this. */
#define STOP_AGAIN NSEC_PER_SEC

/* The number after the last attempt. */
uint32_t next_attempt(const struct wl *w, uint32_t last)
{
	uint32_t floor = (uint32_t)((w->term - 1) * ATTEMPTS_PER_TERM + 1);

	return MAX(last + 1, floor);
}

/* Count a task's room on a node from now on. */
void task_attach(struct wl_task *t, struct wl_node *n, uint32_t attempt)
{
	if (t->phase == TASK_WAITING)
		t->unit->waiting--;
	t->unconfirmed_node = NULL;
	t->node = n;
	t->attempt = attempt;
	t->unit->attempt = MAX(t->unit->attempt, attempt);
	TAILQ_INSERT_TAIL(&n->tasks, t, on_node);
}

/* The run is over or was never begun: the task waits, unless it is done. */
void task_detach(struct wl_task *t, int64_t now)
{
	if (t->node != NULL)
		TAILQ_REMOVE(&t->node->tasks, t, on_node);
	t->node = NULL;
	t->unit->job->wl->changed = true;
	t->percent = 0;
	t->percent_at = 0;
	t->progress_at = 0;
	t->base_percent = 0;
	t->base_at = 0;
	t->figure = 0;
	t->pace = 100;
	if (t->phase == TASK_DONE || t->phase == TASK_WAITING)
		return;
	t->phase = TASK_WAITING;
	t->unconfirmed_node = NULL;
	t->waiting_since = now;
	t->unit->waiting++;
}

/* It is known that a held task does not run. */
void task_release_unconfirmed(struct wl_task *t, int64_t now)
{
	if (t->phase == TASK_UNCONFIRMED)
		task_detach(t, now);
}

/* A node has reported, or its leases have run out: what it held of a job is released. */
void job_release_unconfirmed(struct wl_job *j, const struct wl_node *n, int64_t now)
{
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++) {
			struct wl_unit *u = &j->occurrences[k][s];

			for (uint32_t i = 0; i < u->step->count; i++) {
				if (u->tasks[i].unconfirmed_node == n)
					task_release_unconfirmed(&u->tasks[i], now);
			}
		}
	}
}

/* A worker confirmed that the run is there. */
void task_confirm_running(struct wl_task *t, int64_t now)
{
	if (t->phase != TASK_STARTING)
		return;
	t->phase = TASK_RUNNING;
	t->running_at = now;
}

/* Order a run to stop, again after a while. */
void task_stop(struct wl_task *t, int64_t now, const char *why, const char *beneficiary)
{
	AUTOFREE char *name = NULL;
	struct wl_stop_order o;

	if (t->phase == TASK_PLACED) {
		/* Never ordered: there is nothing to stop. */
		task_detach(t, now);
		return;
	}
	if (t->node == NULL || (t->stop_sent != 0 && now - t->stop_sent < STOP_AGAIN &&
				       t->phase == TASK_STOPPING))
		return;
	if (t->phase == TASK_STARTING || t->phase == TASK_RUNNING)
		t->phase = TASK_STOPPING;
	t->stop_sent = now;
	name = task_name(t);
	o = (struct wl_stop_order){.term = t->unit->job->wl->term,
		.life = t->node->life,
		.task = name,
		.attempt = t->attempt};
	event_log(EV_TASK_STOP, "task=%s attempt=%u node=%s why=\"%s\" for=%s", name,
		t->attempt, t->node->name, why, beneficiary != NULL ? beneficiary : "-");
	t->unit->job->wl->out.stop(t->unit->job->wl->out.arg, t->node->name, &o);
}

/*
 * A start that was never answered does not show in the lists: it may still be carried out. The
 * agent makes it void and answers; until then its room is held and the task runs nowhere else.
 */
void task_cancel_start(struct wl_task *t, int64_t now)
{
	AUTOFREE char *name = NULL;
	struct wl_stop_order o;

	if (t->stop_sent != 0 && now - t->stop_sent < STOP_AGAIN)
		return;
	t->stop_sent = now;
	name = task_name(t);
	o = (struct wl_stop_order){.term = t->unit->job->wl->term,
		.life = t->node->life,
		.task = name,
		.attempt = t->attempt,
		.ordinal = t->ordinal};
	event_log(EV_TASK_STOP,
		"task=%s attempt=%u node=%s why=\"its start was not answered\" for=-", name,
		t->attempt, t->node->name);
	t->unit->job->wl->out.stop(t->unit->job->wl->out.arg, t->node->name, &o);
}

/* Stop all runs of a unit. */
void unit_stop(struct wl_unit *u, int64_t now, const char *why, const char *beneficiary)
{
	for (uint32_t i = 0; i < u->step->count; i++) {
		if (u->tasks[i].phase == TASK_PLACED || u->tasks[i].phase == TASK_STARTING ||
			u->tasks[i].phase == TASK_RUNNING)
			task_stop(&u->tasks[i], now, why, beneficiary);
	}
}

/* Stop all runs of a job. */
void job_stop_runs(struct wl_job *j, int64_t now, const char *why)
{
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++)
			unit_stop(&j->occurrences[k][s], now, why, NULL);
	}
}

/* Whether all occurrences are open and done. */
static bool all_done(const struct wl_job *j)
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

/* A unit is done: steps behind it may have their turn, and the job may be complete. */
static void unit_done(struct wl_unit *u, int64_t now, int64_t wall)
{
	struct wl_unit *units = u->job->occurrences[u->occurrence];

	u->is_done = true;
	for (uint32_t s = 0; s < u->job->spec.steps_len; s++) {
		if (!units[s].is_done && units[s].ready_at == 0 &&
			unit_dependencies_met(&units[s]))
			units[s].ready_at = now;
	}
	if (all_done(u->job))
		job_finish(u->job, now, wall, WL_COMPLETED, "all tasks are done");
}

/* One task is done. */
static void task_done(struct wl_task *t)
{
	if (t->phase == TASK_DONE)
		return;
	if (t->phase == TASK_WAITING)
		t->unit->waiting--;
	t->phase = TASK_DONE;
	t->unit->done++;
}

/* A run ended done: it counts whichever attempt it was; another run of it is stopped. */
static void ended_done(struct wl_task *t, int64_t now, int64_t wall)
{
	struct wl_unit *u = t->unit;

	if (u->is_done || u->step->long_running)
		return;
	if (!u->step->gang) {
		task_done(t);
		if (t->node != NULL)
			task_stop(t, now, "another attempt is done", NULL);
	}
	for (uint32_t i = 0; u->step->gang && i < u->step->count; i++)
		task_done(&u->tasks[i]);
	if (u->done == u->step->count)
		unit_done(u, now, wall);
	job_dirty(u->job);
}

/* Count a failed attempt, once; the job fails with the last that it has. */
static void ended_failed(struct wl_task *t, int64_t now, int64_t wall, uint32_t attempt)
{
	struct wl_unit *u = t->unit;
	uint32_t *failures = u->step->gang ? &u->failures : &t->failures;
	uint32_t *counted = u->step->gang ? &u->failed_attempt : &t->failed_attempt;

	if (u->is_done || t->phase == TASK_DONE || attempt <= *counted)
		return;
	*counted = attempt;
	(*failures)++;
	u->retry_at = *failures == 1
			      ? now
			      : now + MIN(RETRY_PAUSE << MIN(*failures, 8u), RETRY_PAUSE_MAX);
	if (*failures >= u->job->attempts_max && !u->step->long_running)
		job_finish(u->job, now, wall, WL_FAILED, "a task failed as often as it may");
	job_dirty(u->job);
}

/* Keep the newest checkpoint of a run that has ended; members of a gang share it. */
static void keep_checkpoint(struct wl_task *t, const char *checkpoint)
{
	struct wl_unit *u = t->unit;

	if (checkpoint == NULL || *checkpoint == '\0' || !u->step->checkpoints)
		return;
	if (!u->step->gang) {
		g_strlcpy(t->checkpoint, checkpoint, sizeof(t->checkpoint));
		return;
	}
	for (uint32_t i = 0; i < u->step->count; i++)
		g_strlcpy(u->tasks[i].checkpoint, checkpoint, sizeof(t->checkpoint));
}

/* Send the orders for the placed tasks of a unit whose places are stored, a worker at a time.
 */
static void unit_send_starts(struct wl_unit *u, int64_t now)
{
	struct wl_job *j = u->job;
	struct wl *w = j->wl;

	for (uint32_t i = 0; i < u->step->count; i++) {
		struct wl_node *n = u->tasks[i].node;
		g_autoptr(GArray) starts = g_array_new(FALSE, TRUE, sizeof(struct wl_start));
		struct wl_start_order o = {.term = w->term, .payload = j->spec.payload};

		for (uint32_t k = i; n != NULL && k < u->step->count; k++) {
			struct wl_task *t = &u->tasks[k];
			struct wl_start s = {
				.attempt = t->attempt, .checkpoint = t->checkpoint};

			if (t->node != n || t->phase != TASK_PLACED ||
				t->placement_version > j->stored)
				continue;
			t->phase = TASK_STARTING;
			t->ordinal = ++w->ordinal;
			t->placed_at = now;
			s.ordinal = t->ordinal;
			s.task = task_name(t);
			g_array_append_val(starts, s);
		}
		if (starts->len == 0)
			continue;
		o.life = n->life;
		o.starts = (struct wl_start *)starts->data;
		o.starts_len = starts->len;
		w->out.start(w->out.arg, n->name, &o);
		for (guint k = 0; k < starts->len; k++)
			free(g_array_index(starts, struct wl_start, k).task);
	}
}

/* Send the orders that waited for a job's places to be stored. */
void job_send_starts(struct wl_job *j, int64_t now)
{
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++)
			unit_send_starts(&j->occurrences[k][s], now);
	}
}

/* An end that a worker lists. */
void wl_run_ended(
	struct wl *w, struct wl_node *n, int64_t now, int64_t wall, const struct wl_ended *e)
{
	struct wl_task *t = job_task(w, e->task, now);
	bool current;

	event_log(EV_TASK_END, "task=%s attempt=%u node=%s how=%s saved=%s", e->task,
		e->attempt, n->name, wl_end_name(e->how), e->checkpoint ? e->checkpoint : "");
	if (t == NULL || wl_state_ended(t->unit->job->state)) {
		if (t != NULL && t->node == n && t->attempt == e->attempt)
			task_detach(t, now);
		return;
	}
	current = t->node == n && t->attempt == e->attempt;
	t->attempt = MAX(t->attempt, e->attempt);
	t->unit->attempt = MAX(t->unit->attempt, e->attempt);
	if (e->how == WL_END_DONE && !t->unit->step->long_running) {
		node_record_success(n);
		if (current && t->running_at > 0 && *t->checkpoint == '\0')
			run_stats_record(t, now - t->running_at);
		if (current)
			task_detach(t, now);
		ended_done(t, now, wall);
		return;
	}
	if (current) {
		task_detach(t, now);
		keep_checkpoint(t, e->checkpoint);
		if (*t->checkpoint != '\0')
			job_dirty(t->unit->job);
	}
	if (e->how == WL_END_FAILED) {
		node_record_failure(n, now);
		t->avoid_node = n;
		ended_failed(t, now, wall, e->attempt);
	}
	if (current && t->unit->step->gang && !t->unit->is_done)
		unit_stop(t->unit, now, "a member of the gang has ended", NULL);
}

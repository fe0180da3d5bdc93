#include "wl-private.h"

#include <inttypes.h>
#include <math.h>

/* A worker's failure score halves in this time. */
#define FAILURE_HALF_LIFE (8 * NSEC_PER_SEC)
/*
 * No tasks are placed on a worker for this long after it refused a start for lack of capacity
 * or for another reason that concerns the worker. A stale attempt or an invalid ticket concerns
 * only the task and has no backoff.
 */
#define REFUSAL_BACKOFF (500 * NSEC_PER_MSEC)
/* The same after the worker answered that it is unhealthy. */
#define UNHEALTHY_BACKOFF (1500 * NSEC_PER_MSEC)
/* Both double with each refusal in a row, up to this. */
#define BACKOFF_MAX (8 * NSEC_PER_SEC)
/*
 * A worker whose lists have not been reported for this long gets no new tasks: its agent may be
 * up while it is not. The runs that it has are not touched.
 */
#define REPORT_AGE_MAX (2500 * NSEC_PER_MSEC)
/* Failure score from which a worker is logged as suspect. */
#define SUSPECT_SCORE 2.0
/* A worker whose runs all make no progress for this long gets tasks only if no other fits. */
#define NO_PROGRESS_AFTER (900 * NSEC_PER_MSEC)
/* The stop order for an orphaned run is repeated after this. */
#define ORPHAN_STOP_INTERVAL NSEC_PER_SEC

COUNTER(runs_doubled, "damaskpath_runs_doubled_total",
	"Runs found on a worker while their task had a run on another.");
COUNTER(workers_overbooked, "damaskpath_workers_overbooked_total",
	"Times that the runs of a worker came to need more than its capacity.");

static void orphan_free(void *arg)
{
	struct wl_orphan *o = arg;

	free(o->task);
	free(o);
}

/* Returns the node with a name, or NULL. */
struct wl_node *node_find(const struct wl *w, const char *name)
{
	return name != NULL ? g_hash_table_lookup(w->nodes_by_name, name) : NULL;
}

uint64_t wl_last_ordinal(const struct wl *w)
{
	return w->ordinal;
}

size_t wl_node_count(const struct wl *w)
{
	return w->nodes->len;
}

/* Returns the node with a name, creating it if necessary. */
struct wl_node *node_get_or_create(struct wl *w, const char *name)
{
	struct wl_node *n = node_find(w, name);

	if (n != NULL)
		return n;
	n = xcalloc(1, sizeof(*n));
	n->wl = w;
	n->name = xstrdup(name);
	n->evacuated = evacuation_covers(n);
	n->labels = g_ptr_array_new_with_free_func(name_free);
	n->orphans = g_ptr_array_new_with_free_func(orphan_free);
	n->pending_ends = g_array_new(FALSE, FALSE, sizeof(struct wl_pending_end));
	TAILQ_INIT(&n->tasks);
	TAILQ_INIT(&n->unconfirmed);
	g_ptr_array_add(w->nodes, n);
	g_hash_table_insert(w->nodes_by_name, n->name, n);
	return n;
}

/*
 * Registers a node that an earlier coordinator may have used. Until it reports, the tasks whose
 * stored mark names it may be running on it and are unconfirmed (mark_unconfirmed).
 */
void wl_node_await_report(struct wl *w, int64_t now, const char *name)
{
	struct wl_node *n = node_get_or_create(w, name);

	n->awaiting_report = true;
	n->last_contact_at = now;
}

/*
 * Ends the wait for a node's report, after it has reported or when no run of an earlier
 * coordinator can be left there. Unconfirmed tasks that were not adopted wait again.
 */
static void node_release_unconfirmed(struct wl_node *n, int64_t now)
{
	struct wl_task *t;

	if (!n->awaiting_report)
		return;
	n->awaiting_report = false;
	while ((t = TAILQ_FIRST(&n->unconfirmed)) != NULL)
		task_detach(t, now, "not reported after a takeover");
}

/*
 * Detaches all tasks of a node, drops its orphans and stops the other members of gangs that
 * lose a member. The caller must know that no run is left on the node; the outcomes are
 * unknown.
 */
void node_drop_runs(struct wl_node *n, int64_t now, const char *why)
{
	struct wl_task *t;
	unsigned int lost = 0;

	while ((t = TAILQ_FIRST(&n->tasks)) != NULL) {
		struct wl_unit *u = t->unit;

		task_detach(t, now, why);
		lost++;
		if (u->step->gang && !u->is_done)
			unit_stop(u, now, "a gang member was lost", NULL);
	}
	g_ptr_array_set_size(n->orphans, 0);
	event_log(EV_WORKER_GONE, "node=%s life=%s why=\"%s\" tasks=%u", n->name,
		n->instance_id ? n->instance_id : "-", why, lost);
}

/* Returns a worker's failure score, decayed to now. */
double node_failure_score(const struct wl_node *n, int64_t now)
{
	if (n->failure_score <= 0)
		return 0;
	return n->failure_score *
	       pow(0.5, (double)(now - n->failure_score_at) / (double)FAILURE_HALF_LIFE);
}

/*
 * How unreliable a worker is, for placing on it: its failure score, and as much as for one
 * failure if its runs make no progress.
 */
double node_unreliability(const struct wl_node *n, int64_t now)
{
	return node_failure_score(n, now) + (n->no_progress ? 1.0 : 0.0);
}

/* Raises the failure score: a run failed or stalled, or the worker answered as unhealthy. */
void node_record_failure(struct wl_node *n, int64_t now)
{
	n->failure_score = node_failure_score(n, now) + 1;
	n->failure_score_at = now;
	if (n->failure_score >= SUSPECT_SCORE)
		event_log(EV_WORKER_SUSPECT, "node=%s strikes=%.1f", n->name, n->failure_score);
}

/*
 * Halves the failure score after a successful run. One that started before the last failure
 * says nothing about what the worker does with new ones.
 */
void node_record_success(struct wl_node *n, int64_t started_at)
{
	probation_record_success(n, started_at);
	if (started_at >= n->failure_score_at)
		n->failure_score /= 2;
}

/* Whether a worker accepts new tasks. */
bool node_usable(const struct wl_node *n, int64_t now)
{
	return n->linked && !n->draining && !n->has_left && !n->awaiting_report &&
	       !n->evacuated && n->instance_id != NULL && n->blocked_until <= now &&
	       now - n->last_report_at <= REPORT_AGE_MAX;
}

/*
 * The resources of a worker that no run or placement uses. What is being stopped still uses
 * them. Negative after the capacity has shrunk below what is in use.
 */
struct wl_available node_available(const struct wl_node *n)
{
	struct wl_available free = {.cores_m = n->capacity.cores_m,
		.memory_mb = n->capacity.memory_mb,
		.accelerators = n->capacity.accelerators};
	const struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		struct wl_resources need = task_need(t->unit->step);

		resources_deduct(&free, &need);
	}
	for (guint i = 0; i < n->orphans->len; i++)
		resources_deduct(&free, &((struct wl_orphan *)n->orphans->pdata[i])->need);
	return free;
}

/* Replaces a string by a copy of another. */
static void set_string(char **to, const char *from)
{
	if (from != NULL && *to != NULL && strcmp(*to, from) == 0)
		return;
	free(*to);
	*to = xstrdup(from);
}

/* Resets the state of a worker whose process has started again; its earlier runs are lost. */
static void start_new_instance(struct wl_node *n, int64_t now, const char *worker_instance)
{
	if (n->instance_id != NULL && (n->has_left || n->draining))
		node_drop_runs(n, now, "the worker has restarted");
	else if (n->instance_id != NULL)
		crash_lose_worker(n, now, "the worker has restarted", true);
	set_string(&n->instance_id, worker_instance);
	n->wl->racks_stale = true;
	n->last_end_processed = 0;
	n->last_end_stored = 0;
	n->last_end_acked = 0;
	n->failure_score = 0;
	n->blocked_until = 0;
	n->refusals = 0;
	n->probation_since = 0;
	n->probation_pause_until = 0;
	n->probation_runs = 0;
	speed_reset(n);
	g_array_set_size(n->pending_ends, 0);
}

/* Whether a worker has exactly the labels of a report, in their order. */
static bool labels_unchanged(const struct wl_node *n, const struct wl_report *r)
{
	if (n->labels->len != r->labels_len)
		return false;
	for (uint32_t i = 0; i < r->labels_len; i++) {
		if (g_strcmp0(n->labels->pdata[i], r->labels[i].text) != 0)
			return false;
	}
	return true;
}

/* Updates the worker's attributes, capacity and drain state from a report. */
static void update_node_state(struct wl_node *n, int64_t now, const struct wl_report *r)
{
	const char *rack = n->rack;

	name_set(&n->service, r->service);
	name_set(&n->rack, r->rack);
	if (n->rack != rack)
		n->wl->racks_stale = true;
	if (!labels_unchanged(n, r)) {
		g_ptr_array_set_size(n->labels, 0);
		for (uint32_t i = 0; i < r->labels_len; i++) {
			char *label = NULL;

			name_set(&label, r->labels[i].text);
			g_ptr_array_add(n->labels, label);
		}
	}
	n->capacity = (struct wl_resources){.cores_m = r->cores_m,
		.memory_mb = r->memory_mb,
		.accelerators = r->accelerators};
	n->has_left = r->left;
	n->cold_until = r->cold_ms > 0 ? now + (int64_t)r->cold_ms * NSEC_PER_MSEC : 0;
	if (r->draining && !n->draining)
		event_log(EV_WORKER_DRAIN, "node=%s life=%s remaining_ms=%u", n->name,
			r->worker_instance, r->leaves_in_ms);
	n->draining = r->draining;
	n->drain_until = now + (int64_t)r->leaves_in_ms * NSEC_PER_MSEC;
}

/* The orphan of a node for an attempt of a task, or NULL. */
static struct wl_orphan *orphan_find(
	const GPtrArray *orphans, const char *task, uint32_t attempt)
{
	for (guint i = 0; i < orphans->len; i++) {
		struct wl_orphan *o = orphans->pdata[i];

		if (o->attempt == attempt && strcmp(o->task, task) == 0)
			return o;
	}
	return NULL;
}

/*
 * Logs a run on a node while its task has a run on another node, and why the run on this one
 * was given up. A run that is known as an orphan has been logged.
 *
 * The end of such a run is logged as well, but not counted: it may have ended before the other
 * one began. One that lapsed did, as the task runs elsewhere only after its lease.
 */
static void check_doubled(struct wl_node *n, const struct wl_task *t, const char *task,
	uint32_t attempt, const GPtrArray *orphans, bool ended)
{
	bool known;

	if (t == NULL || t->node == NULL || t->node == n ||
		orphan_find(orphans, task, attempt) != NULL)
		return;
	known = t->released_why != NULL && t->released_attempt == attempt;
	counter_add(&runs_doubled, !ended);
	event_log(EV_RUN_DOUBLED,
		"task=%s attempt=%u node=%s ended=%d current_attempt=%u current_node=%s "
		"released=\"%s\"",
		task, attempt, n->name, ended, t->attempt, t->node->name,
		known ? t->released_why : "unknown");
}

/*
 * Handles the finished runs that have not been seen before. Each is acknowledged once the job
 * version that includes it is stored.
 */
static void process_ended_runs(
	struct wl_node *n, int64_t now, int64_t wall, const struct wl_report *r)
{
	for (uint32_t i = 0; i < r->ends_len; i++) {
		struct wl_pending_end pending = {.number = r->ends[i].number};
		struct wl_task *t;

		if (pending.number <= n->last_end_processed)
			continue;
		t = job_task(n->wl, r->ends[i].task, now);
		if (r->ends[i].how != WL_END_LAPSED)
			check_doubled(
				n, t, r->ends[i].task, r->ends[i].attempt, n->orphans, true);
		wl_run_ended(n->wl, n, now, wall, &r->ends[i]);
		n->last_end_processed = pending.number;
		t = job_task(n->wl, r->ends[i].task, now);
		pending.job = t != NULL ? t->unit->job : NULL;
		pending.version = pending.job != NULL ? pending.job->version : 0;
		g_array_append_val(n->pending_ends, pending);
		if (!n->unacked)
			g_ptr_array_add(n->wl->unacked_nodes, n);
		n->unacked = true;
	}
}

/*
 * Whether a listed run may become the current run of a task that has none. A gang member must
 * not be of an older attempt than the gang.
 */
static bool run_adoptable(const struct wl_task *t, const struct wl_run *r)
{
	if (t->node != NULL || r->attempt < t->attempt ||
		r->attempt < t->unit->job->first_attempt ||
		(t->phase != TASK_WAITING && t->phase != TASK_UNCONFIRMED))
		return false;
	if (wl_state_ended(t->unit->job->state))
		return false;
	return !t->unit->step->gang || r->attempt >= t->unit->attempt;
}

/*
 * Adds a run that is not the current run of its task to the node's orphans, which occupy
 * resources until they have ended, and orders it to stop. t is NULL if the task is unknown.
 */
static void stop_orphan(struct wl_node *n, int64_t now, const struct wl_run *r,
	const struct wl_task *t, GPtrArray *previous)
{
	struct wl_orphan *orphan = xcalloc(1, sizeof(*orphan));
	const struct wl_orphan *known;
	struct wl_stop_order order;

	orphan->task = xstrdup(r->task);
	orphan->attempt = r->attempt;
	/* The size of an unknown task is unknown too: assume that it fills the worker. */
	orphan->need = t != NULL ? task_need(t->unit->step) : n->capacity;
	known = orphan_find(previous, orphan->task, orphan->attempt);
	if (known != NULL)
		orphan->stop_sent = known->stop_sent;
	check_doubled(n, t, orphan->task, orphan->attempt, previous, false);
	g_ptr_array_add(n->orphans, orphan);
	if (orphan->stop_sent != 0 && now - orphan->stop_sent < ORPHAN_STOP_INTERVAL)
		return;
	orphan->stop_sent = now;
	order = (struct wl_stop_order){.term = n->wl->term,
		.worker_instance = n->instance_id,
		.task = orphan->task,
		.attempt = orphan->attempt};
	event_log(EV_TASK_STOP, "task=%s attempt=%u node=%s why=\"not the current run\" for=-",
		orphan->task, orphan->attempt, n->name);
	n->wl->callbacks.stop(n->wl->callbacks.arg, n->name, &order);
}

/*
 * Records a run's checkpoint, for a gang that of its first member. The checkpoint must be
 * stored to survive this process, but not at once: a later pass requests it
 * (store_checkpoints).
 */
static void record_checkpoint(struct wl_task *t, const char *checkpoint)
{
	if (t->unit->step->gang && t->index != 0)
		return;
	if (checkpoint_save(t, t->attempt, checkpoint))
		t->unit->job->checkpoints_unsaved = true;
}

/*
 * Reconciles the tasks with the runs that the worker lists: adopts runs of tasks without one,
 * updates progress, and stops orphans and runs that should have ended.
 */
static void reconcile_runs(struct wl_node *n, int64_t now, const struct wl_report *r)
{
	g_autoptr(GPtrArray) previous = n->orphans;
	unsigned int idle = 0;
	unsigned int moving = 0;

	n->orphans = g_ptr_array_new_with_free_func(orphan_free);
	for (uint32_t i = 0; i < r->runs_len; i++) {
		const struct wl_run *run = &r->runs[i];
		struct wl_task *t = job_task(n->wl, run->task, now);

		if (t != NULL && run_adoptable(t, run)) {
			task_attach(t, n, run->attempt);
			task_set_phase(t, TASK_STARTING);
			t->placed_at = now;
			t->stop_sent = 0;
			event_log(EV_TASK_RUN, "task=%s attempt=%u node=%s answer=adopted",
				run->task, run->attempt, n->name);
		}
		if (t == NULL || t->node != n || t->attempt != run->attempt) {
			stop_orphan(n, now, run, t, previous);
			continue;
		}
		task_confirm_running(t, now);
		t->seen_serial = n->report_serial;
		crash_record_listed(t, r->sent_ns);
		task_record_progress(t, now, r->sent_ns, run->percent);
		speed_observe(t, now);
		idle += task_is_idle(t, NO_PROGRESS_AFTER);
		moving += t->listed_ns == t->progress_ns && t->percent > 0;
		t->measurement = run->figure;
		record_checkpoint(t, run->checkpoint);
		if (t->phase == TASK_STOPPING ||
			(t->phase == TASK_DONE && !t->unit->step->gang))
			task_stop(t, now, "the worker still reports the run", NULL);
	}
	n->no_progress = idle > 0 && moving == 0;
	/* What a partial list doesn't show may still be running. */
	for (guint i = r->partial ? previous->len : 0; i > 0; i--) {
		const struct wl_orphan *o = previous->pdata[i - 1];

		if (orphan_find(n->orphans, o->task, o->attempt) == NULL)
			g_ptr_array_add(n->orphans, g_ptr_array_steal_index(previous, i - 1));
	}
}

/*
 * Handles tasks that the worker doesn't list although the lists cover their starts. A run that
 * was confirmed has ended with an unknown outcome; a start that was never confirmed is
 * cancelled.
 */
static void handle_missing_runs(struct wl_node *n, int64_t now, const struct wl_report *r)
{
	struct wl_task *t = TAILQ_FIRST(&n->tasks);

	while (t != NULL) {
		struct wl_task *next = TAILQ_NEXT(t, on_node);
		bool missing = t->seen_serial != n->report_serial && t->phase != TASK_PLACED &&
			       t->ordinal <= r->covers;

		if (missing && t->running_at == 0) {
			task_cancel_start(t, now);
		} else if (missing) {
			struct wl_unit *u = t->unit;

			event_log(EV_TASK_END,
				"task=%s.%u.%u.%u attempt=%u node=%s how=missing",
				u->job->spec.id, u->occurrence, u->step_index, t->index,
				t->attempt, n->name);
			task_detach(t, now, "missing");
			if (u->step->gang && !u->is_done) {
				unit_stop(u, now, "a gang member is missing", NULL);
				next = TAILQ_FIRST(&n->tasks);
			}
		}
		t = next;
	}
}

/*
 * Logs when the runs of a worker come to need more than its capacity: a run that was not
 * counted has shown up, or the capacity has shrunk.
 */
static void check_overbooked(struct wl_node *n, const struct wl_resources *before)
{
	const struct wl_resources none = {0};
	struct wl_available left = node_available(n);
	bool was = n->overbooked;

	n->overbooked = !resources_fit(&left, &none);
	if (!n->overbooked || was)
		return;
	counter_add(&workers_overbooked, 1);
	event_log(EV_WORKER_OVERBOOKED,
		"node=%s life=%s orphans=%u free_accelerators=%" PRId64 " free_cores_m=%" PRId64
		" free_memory_mb=%" PRId64 " shrunk=%d",
		n->name, n->instance_id, n->orphans->len, left.accelerators, left.cores_m,
		left.memory_mb,
		n->capacity.accelerators < before->accelerators ||
			n->capacity.cores_m < before->cores_m ||
			n->capacity.memory_mb < before->memory_mb);
}

/* Returns the task that was placed last on a worker and whose start has not been sent. */
static struct wl_task *last_unsent_task(const struct wl_node *n)
{
	struct wl_task *last = NULL;
	struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		if (t->phase == TASK_PLACED)
			last = t;
	}
	return last;
}

/* Why placements on a worker are taken back, for the log. */
static const char *unplaced_reason(const struct wl_node *n)
{
	if (n->draining || n->has_left)
		return "leaving";
	return n->evacuated ? "evacuated" : "shrunk";
}

/*
 * Takes back placements whose starts have not been sent, the last ones first, from a worker
 * that is leaving, is in an evacuated zone or has less room than they and its runs use. A gang
 * is taken back as a whole.
 */
void node_release_unsent(struct wl_node *n, int64_t now)
{
	const struct wl_resources nothing = {0};
	struct wl_task *t;

	while ((t = last_unsent_task(n)) != NULL) {
		struct wl_available free = node_available(n);
		struct wl_unit *u = t->unit;

		if (!n->draining && !n->has_left && !n->evacuated &&
			resources_fit(&free, &nothing))
			return;
		event_log(EV_TASK_UNPLACED, "task=%s.%u.%u.%u attempt=%u node=%s why=%s",
			u->job->spec.id, u->occurrence, u->step_index, t->index, t->attempt,
			n->name, unplaced_reason(n));
		task_detach(t, now, "taken back");
		if (u->step->gang)
			unit_stop(u, now, "a gang member has no room", NULL);
	}
}

/*
 * Handles a report, which holds the complete state and lists of a worker. A partial one tells
 * of runs and ends, but not of what is missing.
 */
void wl_node_report(struct wl *w, int64_t now, int64_t wall, const struct wl_report *r)
{
	struct wl_node *n;
	struct wl_resources capacity;
	bool was_usable;
	bool was_connected;

	if (r->node == NULL || r->worker_instance == NULL)
		return;
	n = node_get_or_create(w, r->node);
	was_connected = n->linked && n->instance_id != NULL;
	was_usable = node_usable(n, now);
	capacity = n->capacity;
	if (n->instance_id == NULL || strcmp(n->instance_id, r->worker_instance) != 0)
		start_new_instance(n, now, r->worker_instance);
	update_node_state(n, now, r);
	speed_adopt(n, now, &r->speed);
	n->linked = true;
	n->agent_away = false;
	n->last_contact_at = now;
	n->last_report_at = now;
	n->report_serial++;
	process_ended_runs(n, now, wall, r);
	reconcile_runs(n, now, r);
	if (!r->partial) {
		node_release_unconfirmed(n, now);
		handle_missing_runs(n, now, r);
	}
	check_overbooked(n, &capacity);
	node_release_unsent(n, now);
	if (r->left && TAILQ_FIRST(&n->tasks) != NULL && r->draining)
		node_drop_runs(n, now, "the worker has left");
	else if (r->left && TAILQ_FIRST(&n->tasks) != NULL)
		crash_lose_worker(n, now, "the worker is gone without notice", false);
	if (node_usable(n, now) != was_usable ||
		memcmp(&capacity, &n->capacity, sizeof(capacity)) != 0)
		w->changed = true;
	if (!was_connected)
		event_log(EV_WORKER_UP,
			"node=%s life=%s rack=%s cores_m=%u memory_mb=%u accelerators=%u "
			"runs=%u",
			n->name, n->instance_id, n->rack ? n->rack : "-", n->capacity.cores_m,
			n->capacity.memory_mb, n->capacity.accelerators, r->runs_len);
}

/*
 * Marks a node as unreachable. Its runs are known to have ended only after silence_max, when
 * their leases have expired.
 */
void wl_node_unreachable(struct wl *w, int64_t now, const char *name)
{
	struct wl_node *n = node_find(w, name);

	if (n == NULL || !n->linked)
		return;
	n->linked = false;
	n->agent_away = true;
	n->last_contact_at = now;
	event_log(EV_WORKER_SILENT, "node=%s life=%s until_ms=%" PRId64, n->name,
		n->instance_id ? n->instance_id : "-", w->limits.silence_max / NSEC_PER_MSEC);
}

/*
 * Returns the names of nodes on which nothing can be running any more: those that have left,
 * and those unreachable for longer than silence_max, whose tasks are detached here.
 */
GPtrArray *wl_nodes_expired(struct wl *w, int64_t now)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		if (n->has_left && n->instance_id != NULL) {
			g_ptr_array_add(out, g_strdup(n->name));
			free(n->instance_id);
			n->instance_id = NULL;
			w->racks_stale = true;
			continue;
		}
		if (n->linked || now - n->last_contact_at <= w->limits.silence_max)
			continue;
		if (n->awaiting_report || TAILQ_FIRST(&n->tasks) != NULL || n->orphans->len > 0)
			node_drop_runs(n, now, "the leases have expired");
		if (n->awaiting_report || n->instance_id != NULL)
			g_ptr_array_add(out, g_strdup(n->name));
		node_release_unconfirmed(n, now);
		free(n->instance_id);
		n->instance_id = NULL;
		w->racks_stale = true;
	}
	return out;
}

/* Places nothing on a worker for a while after it refused a start. */
static void node_block(struct wl_node *n, int64_t now, int64_t backoff)
{
	/* The refusals of starts that were sent together count once. */
	if (n->blocked_until > now)
		return;
	n->blocked_until = now + MIN(backoff << MIN(n->refusals, 5u), BACKOFF_MAX);
	n->refusals++;
}

/* Handles a worker's answer to a start order; outdated answers are ignored. */
void wl_node_answer(struct wl *w, int64_t now, const struct wl_answer_note *a)
{
	struct wl_task *t = job_task(w, a->task, now);
	struct wl_node *n;
	bool cancelled;

	if (t == NULL || t->node == NULL || t->attempt != a->attempt ||
		t->ordinal != a->ordinal || a->worker_instance == NULL ||
		t->node->instance_id == NULL ||
		strcmp(t->node->instance_id, a->worker_instance) != 0)
		return;
	n = t->node;
	event_log(EV_TASK_RUN, "task=%s attempt=%u node=%s answer=%s", a->task, a->attempt,
		n->name, wl_answer_name(a->answer));
	if (a->answer == WL_ANSWER_RUNNING) {
		n->refusals = 0;
		task_confirm_running(t, now);
		return;
	}
	/* The answer to a cancelled start says nothing about the worker. */
	cancelled = t->start_cancelled && a->answer == WL_ANSWER_REFUSED_OTHER;
	task_detach(t, now, wl_answer_name(a->answer));
	if (!cancelled)
		t->avoid_node = n;
	switch (a->answer) {
	case WL_ANSWER_UNHEALTHY:
		node_record_failure(n, now);
		node_block(n, now, UNHEALTHY_BACKOFF);
		break;
	case WL_ANSWER_REFUSED_NO_CAPACITY:
	case WL_ANSWER_REFUSED_OTHER:
		if (!cancelled)
			node_block(n, now, REFUSAL_BACKOFF);
		break;
	default:
		break;
	}
	if (t->unit->step->gang)
		unit_stop(t->unit, now, "a gang member did not start", NULL);
}

/* Records that a version of a job is stored, and sends the starts that waited for it. */
void wl_job_stored(struct wl *w, int64_t now, const char *id, uint64_t version)
{
	struct wl_job *j = wl_find_job(w, id);

	if (j == NULL || version <= j->stored)
		return;
	j->stored = version;
	job_send_starts(j, now);
}

/* Drops the pending ends of a node that are stored. Returns whether any is left. */
static bool drop_stored_ends(struct wl_node *n)
{
	guint stored_count = 0;

	while (stored_count < n->pending_ends->len) {
		const struct wl_pending_end *e =
			&g_array_index(n->pending_ends, struct wl_pending_end, stored_count);

		if (e->job != NULL && e->job->stored < e->version)
			break;
		n->last_end_stored = e->number;
		stored_count++;
	}
	if (stored_count > 0)
		g_array_remove_range(n->pending_ends, 0, stored_count);
	return n->pending_ends->len > 0;
}

/* Acknowledges the ends of a node that are stored and that were not acknowledged before. */
static void node_ack_ends(struct wl_node *n)
{
	struct wl_stored note = {.term = n->wl->term};

	if (n->instance_id == NULL || n->last_end_stored <= n->last_end_acked)
		return;
	n->last_end_acked = n->last_end_stored;
	note.worker_instance = n->instance_id;
	note.number = n->last_end_stored;
	n->wl->callbacks.stored(n->wl->callbacks.arg, n->name, &note);
}

void wl_ack_stored_ends(struct wl *w)
{
	guint kept = 0;

	for (guint i = 0; i < w->unacked_nodes->len; i++) {
		struct wl_node *n = w->unacked_nodes->pdata[i];

		n->unacked = drop_stored_ends(n);
		node_ack_ends(n);
		if (n->unacked)
			w->unacked_nodes->pdata[kept++] = n;
	}
	g_ptr_array_set_size(w->unacked_nodes, (gint)kept);
}

void wl_node_connected(struct wl *w, const char *name)
{
	struct wl_node *n = node_find(w, name);

	if (n == NULL)
		return;
	n->agent_away = true;
	n->last_end_acked = 0;
	node_ack_ends(n);
}

#include "wl-private.h"

#include <inttypes.h>
#include <math.h>

/* A strike against a worker halves its weight after this time without another. */
#define STRIKE_HALF_LIFE (8 * NSEC_PER_SEC)
/* A worker that refused a start gets no other for a while. */
#define REFUSED_PAUSE	(500 * NSEC_PER_MSEC)
#define UNHEALTHY_PAUSE (1500 * NSEC_PER_MSEC)
#define STRIKES_SUSPECT 2.0
/* An orphaned run is told to stop again after this. */
#define GHOST_STOP_AGAIN NSEC_PER_SEC

/* Free a ghost. */
static void ghost_free(void *arg)
{
	struct wl_orphan *g = arg;

	free(g->task);
	free(g);
}

/* Find a node by name. */
struct wl_node *node_find(const struct wl *w, const char *name)
{
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		if (strcmp(n->name, name) == 0)
			return n;
	}
	return NULL;
}

uint64_t wl_last_ordinal(const struct wl *w)
{
	return w->ordinal;
}

size_t wl_node_count(const struct wl *w)
{
	return w->nodes->len;
}

/* Find a node or make it. */
static struct wl_node *node_get(struct wl *w, const char *name)
{
	struct wl_node *n = node_find(w, name);

	if (n != NULL)
		return n;
	n = xcalloc(1, sizeof(*n));
	n->wl = w;
	n->name = xstrdup(name);
	n->labels = g_ptr_array_new_with_free_func(free);
	n->orphans = g_ptr_array_new_with_free_func(ghost_free);
	n->pending_ends = g_array_new(FALSE, FALSE, sizeof(struct wl_pending_end));
	TAILQ_INIT(&n->tasks);
	g_ptr_array_add(w->nodes, n);
	return n;
}

/* A node that an earlier coordinator may have used: it may run anything until it reports. */
void wl_node_await_report(struct wl *w, int64_t now, const char *name)
{
	struct wl_node *n = node_get(w, name);

	n->awaiting_report = true;
	n->silent_at = now;
}

/* A node has reported, or nothing of an earlier coordinator runs there any more. */
static void node_known(struct wl_node *n, int64_t now)
{
	struct wl_job *j;

	if (!n->awaiting_report)
		return;
	n->awaiting_report = false;
	TAILQ_FOREACH(j, &n->wl->list, entry)
		job_release_unconfirmed(j, n, now);
}

/* All runs of a node are over, without a word on how. */
void node_lose_tasks(struct wl_node *n, int64_t now, const char *why)
{
	struct wl_task *t;
	unsigned int lost = 0;

	while ((t = TAILQ_FIRST(&n->tasks)) != NULL) {
		struct wl_unit *u = t->unit;

		task_detach(t, now);
		lost++;
		if (u->step->gang && !u->is_done)
			unit_stop(u, now, "a member of the gang is lost", NULL);
	}
	g_ptr_array_set_size(n->orphans, 0);
	event_log(EV_WORKER_GONE, "node=%s life=%s why=\"%s\" tasks=%u", n->name,
		n->life ? n->life : "-", why, lost);
}

/* How much is held against a worker now. */
double node_failure_score(const struct wl_node *n, int64_t now)
{
	if (n->failure_score <= 0)
		return 0;
	return n->failure_score *
	       pow(0.5, (double)(now - n->failure_score_at) / (double)STRIKE_HALF_LIFE);
}

/* A run failed on the worker, or it refused one. */
void node_record_failure(struct wl_node *n, int64_t now)
{
	n->failure_score = node_failure_score(n, now) + 1;
	n->failure_score_at = now;
	if (n->failure_score >= STRIKES_SUSPECT)
		event_log(EV_WORKER_SUSPECT, "node=%s strikes=%.1f", n->name, n->failure_score);
}

/* A run ended done there: the worker works. */
void node_record_success(struct wl_node *n)
{
	n->failure_score /= 2;
}

/* Whether new tasks may go to a worker. */
bool node_usable(const struct wl_node *n, int64_t now)
{
	return n->linked && !n->draining && !n->left && !n->awaiting_report &&
	       n->life != NULL && n->blocked_until <= now;
}

/* Replace a text. */
static void set_text(char **to, const char *from)
{
	if (from != NULL && *to != NULL && strcmp(*to, from) == 0)
		return;
	free(*to);
	*to = xstrdup(from);
}

/* Begin another life of the worker: nothing of the one before runs. */
static void begin_life(struct wl_node *n, int64_t now, const char *life)
{
	if (n->life != NULL)
		node_lose_tasks(n, now, "the worker has started again");
	set_text(&n->life, life);
	n->ends_seen = 0;
	n->ends_stored = 0;
	n->ends_acked = 0;
	n->failure_score = 0;
	n->blocked_until = 0;
	g_array_set_size(n->pending_ends, 0);
}

/* Take over what the report says of the worker itself. */
static void take_identity(struct wl_node *n, int64_t now, const struct wl_report *r)
{
	set_text(&n->service, r->service);
	set_text(&n->rack, r->rack);
	g_ptr_array_set_size(n->labels, 0);
	for (uint32_t i = 0; i < r->labels_len; i++)
		g_ptr_array_add(n->labels, xstrdup(r->labels[i].text));
	n->capacity = (struct wl_resources){.cores_m = r->cores_m,
		.memory_mb = r->memory_mb,
		.accelerators = r->accelerators};
	n->left = r->left;
	if (r->draining && !n->draining)
		event_log(EV_WORKER_DRAIN, "node=%s life=%s remaining_ms=%u", n->name, r->life,
			r->leaves_in_ms);
	n->draining = r->draining;
	n->drain_until = now + (int64_t)r->leaves_in_ms * NSEC_PER_MSEC;
}

/* Process the ends that are new, and note when each will be stored. */
static void take_ends(struct wl_node *n, int64_t now, int64_t wall, const struct wl_report *r)
{
	for (uint32_t i = 0; i < r->ends_len; i++) {
		struct wl_pending_end note = {.number = r->ends[i].number};
		struct wl_task *t;

		if (note.number <= n->ends_seen)
			continue;
		wl_run_ended(n->wl, n, now, wall, &r->ends[i]);
		n->ends_seen = note.number;
		t = job_task(n->wl, r->ends[i].task, now);
		note.job = t != NULL ? t->unit->job : NULL;
		note.version = note.job != NULL ? note.job->version : 0;
		g_array_append_val(n->pending_ends, note);
	}
}

/* Whether a listed run may become the current run of a task that has none. */
static bool can_adopt(const struct wl_task *t, const struct wl_run *r)
{
	if (t->node != NULL || r->attempt < t->attempt ||
		(t->phase != TASK_WAITING && t->phase != TASK_UNCONFIRMED))
		return false;
	if (wl_state_ended(t->unit->job->state))
		return false;
	return !t->unit->step->gang || r->attempt >= t->unit->attempt;
}

/* Keep account of a run that is not wanted, and stop it. */
static void take_ghost(struct wl_node *n, int64_t now, const struct wl_run *r,
	const struct wl_task *t, GPtrArray *old)
{
	struct wl_orphan *g = xcalloc(1, sizeof(*g));
	struct wl_stop_order o;

	g->task = xstrdup(r->task);
	g->attempt = r->attempt;
	/* Of a job that is not known its size is not either: it may fill the worker. */
	g->need = t != NULL ? task_need(t->unit->step) : n->capacity;
	for (guint i = 0; i < old->len; i++) {
		const struct wl_orphan *was = old->pdata[i];

		if (strcmp(was->task, g->task) == 0 && was->attempt == g->attempt)
			g->stop_sent = was->stop_sent;
	}
	g_ptr_array_add(n->orphans, g);
	if (g->stop_sent != 0 && now - g->stop_sent < GHOST_STOP_AGAIN)
		return;
	g->stop_sent = now;
	o = (struct wl_stop_order){
		.term = n->wl->term, .life = n->life, .task = g->task, .attempt = g->attempt};
	event_log(EV_TASK_STOP, "task=%s attempt=%u node=%s why=\"not the current run\" for=-",
		g->task, g->attempt, n->name);
	n->wl->out.stop(n->wl->out.arg, n->name, &o);
}

/* Note what a run has saved: it has to outlive this process, but not at once. */
static void take_checkpoint(struct wl_task *t, const char *checkpoint)
{
	if (checkpoint == NULL || *checkpoint == '\0' || !t->unit->step->checkpoints ||
		strcmp(checkpoint, t->checkpoint) == 0)
		return;
	g_strlcpy(t->checkpoint, checkpoint, sizeof(t->checkpoint));
	t->unit->job->checkpoints_unsaved = true;
}

/* Bring the runs that the worker lists in line with the tasks. */
static void take_runs(struct wl_node *n, int64_t now, const struct wl_report *r)
{
	g_autoptr(GPtrArray) old = n->orphans;

	n->orphans = g_ptr_array_new_with_free_func(ghost_free);
	for (uint32_t i = 0; i < r->runs_len; i++) {
		const struct wl_run *run = &r->runs[i];
		struct wl_task *t = job_task(n->wl, run->task, now);

		if (t != NULL && can_adopt(t, run)) {
			task_attach(t, n, run->attempt);
			t->phase = TASK_STARTING;
			t->placed_at = now;
			t->stop_sent = 0;
			event_log(EV_TASK_RUN, "task=%s attempt=%u node=%s answer=adopted",
				run->task, run->attempt, n->name);
		}
		if (t == NULL || t->node != n || t->attempt != run->attempt) {
			take_ghost(n, now, run, t, old);
			continue;
		}
		task_confirm_running(t, now);
		t->seen_serial = n->report_serial;
		task_record_progress(t, now, run->percent);
		t->figure = run->figure;
		take_checkpoint(t, run->checkpoint);
		if (t->phase == TASK_STOPPING ||
			(t->phase == TASK_DONE && !t->unit->step->gang))
			task_stop(t, now, "still listed", NULL);
	}
}

/* Tasks that should be listed and are not have ended without a word. */
static void drop_missing(struct wl_node *n, int64_t now, const struct wl_report *r)
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
			task_detach(t, now);
			if (u->step->gang && !u->is_done) {
				unit_stop(u, now, "a member of the gang is missing", NULL);
				next = TAILQ_FIRST(&n->tasks);
			}
		}
		t = next;
	}
}

/* A worker's state and lists, whole. */
void wl_node_report(struct wl *w, int64_t now, int64_t wall, const struct wl_report *r)
{
	struct wl_node *n;
	struct wl_resources capacity;
	bool was_usable;
	bool was_up;

	if (r->node == NULL || r->life == NULL)
		return;
	n = node_get(w, r->node);
	was_up = n->linked && n->life != NULL;
	was_usable = node_usable(n, now);
	capacity = n->capacity;
	if (n->life == NULL || strcmp(n->life, r->life) != 0)
		begin_life(n, now, r->life);
	take_identity(n, now, r);
	n->linked = true;
	n->silent_at = now;
	n->report_serial++;
	take_ends(n, now, wall, r);
	take_runs(n, now, r);
	node_known(n, now);
	drop_missing(n, now, r);
	if (r->left && TAILQ_FIRST(&n->tasks) != NULL)
		node_lose_tasks(n, now, "the worker has left");
	if (node_usable(n, now) != was_usable ||
		memcmp(&capacity, &n->capacity, sizeof(capacity)) != 0)
		w->changed = true;
	if (!was_up)
		event_log(EV_WORKER_UP,
			"node=%s life=%s rack=%s cores_m=%u memory_mb=%u accelerators=%u "
			"runs=%u",
			n->name, n->life, n->rack ? n->rack : "-", n->capacity.cores_m,
			n->capacity.memory_mb, n->capacity.accelerators, r->runs_len);
}

/* A node's agent is out of reach: what runs there is over only after silence_max. */
void wl_node_unreachable(struct wl *w, int64_t now, const char *name)
{
	struct wl_node *n = node_find(w, name);

	if (n == NULL || !n->linked)
		return;
	n->linked = false;
	n->silent_at = now;
	event_log(EV_WORKER_SILENT, "node=%s life=%s until_ms=%" PRId64, n->name,
		n->life ? n->life : "-", w->limits.silence_max / NSEC_PER_MSEC);
}

/* Nodes that nothing runs on any more and that have been silent for long. */
GPtrArray *wl_nodes_expired(struct wl *w, int64_t now)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		if (n->left && n->life != NULL) {
			g_ptr_array_add(out, g_strdup(n->name));
			free(n->life);
			n->life = NULL;
			continue;
		}
		if (n->linked || now - n->silent_at <= w->limits.silence_max)
			continue;
		if (n->awaiting_report || TAILQ_FIRST(&n->tasks) != NULL || n->orphans->len > 0)
			node_lose_tasks(n, now, "its leases have run out");
		if (n->awaiting_report || n->life != NULL)
			g_ptr_array_add(out, g_strdup(n->name));
		node_known(n, now);
		free(n->life);
		n->life = NULL;
	}
	return out;
}

/* A worker answered to a start. */
void wl_node_answer(struct wl *w, int64_t now, const struct wl_answer_note *a)
{
	struct wl_task *t = job_task(w, a->task, now);
	struct wl_node *n;

	if (t == NULL || t->node == NULL || t->attempt != a->attempt ||
		t->ordinal != a->ordinal || a->life == NULL || t->node->life == NULL ||
		strcmp(t->node->life, a->life) != 0)
		return;
	n = t->node;
	event_log(EV_TASK_RUN, "task=%s attempt=%u node=%s answer=%s", a->task, a->attempt,
		n->name, wl_answer_name(a->answer));
	if (a->answer == WL_ANSWER_RUNNING) {
		task_confirm_running(t, now);
		return;
	}
	task_detach(t, now);
	t->avoid_node = n;
	switch (a->answer) {
	case WL_ANSWER_UNHEALTHY:
		node_record_failure(n, now);
		n->blocked_until = now + UNHEALTHY_PAUSE;
		break;
	case WL_ANSWER_REFUSED_ROOM:
	case WL_ANSWER_REFUSED_OTHER:
		n->blocked_until = now + REFUSED_PAUSE;
		break;
	default:
		break;
	}
	if (t->unit->step->gang)
		unit_stop(t->unit, now, "a member of the gang was refused", NULL);
}

/* The versions up to this one are stored. */
void wl_job_stored(struct wl *w, int64_t now, const char *id, uint64_t version)
{
	struct wl_job *j = wl_find_job(w, id);

	if (j == NULL || version <= j->stored)
		return;
	j->stored = version;
	job_send_starts(j, now);
}

/* Up to which end all is stored; true where the worker has not been told so far. */
bool wl_node_ends_stored(struct wl *w, const char *name, const char **life, uint64_t *number)
{
	struct wl_node *n = node_find(w, name);
	guint done = 0;

	if (n == NULL || n->life == NULL)
		return false;
	while (done < n->pending_ends->len) {
		const struct wl_pending_end *e =
			&g_array_index(n->pending_ends, struct wl_pending_end, done);

		if (e->job != NULL && e->job->stored < e->version)
			break;
		n->ends_stored = e->number;
		done++;
	}
	if (done > 0)
		g_array_remove_range(n->pending_ends, 0, done);
	if (n->ends_stored <= n->ends_acked)
		return false;
	n->ends_acked = n->ends_stored;
	*life = n->life;
	*number = n->ends_stored;
	return true;
}

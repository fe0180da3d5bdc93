#include "wl-private.h"

#include <inttypes.h>

/* Settings of a job that was accepted by an earlier version, without its queue. */
#define FALLBACK_PRIORITY 9
#define FALLBACK_ATTEMPTS 3
#define FALLBACK_STRETCH  3.0

/* How many removed jobs are remembered with their last attempts. */
#define FORGOTTEN_JOBS_MAX 4096

/* Returns the job with an id, or NULL. */
struct wl_job *wl_find_job(const struct wl *w, const char *id)
{
	return g_hash_table_lookup(w->jobs, id);
}

bool wl_job_has(const struct wl *w, const char *id)
{
	return wl_find_job(w, id) != NULL;
}

struct wl_owner wl_job_owner(const struct wl *w, const char *id)
{
	return wl_spec_owner(&wl_find_job(w, id)->spec);
}

bool wl_job_is_open(const struct wl *w, const char *id)
{
	const struct wl_job *j = wl_find_job(w, id);

	return j != NULL && !wl_state_ended(j->state);
}

/* Returns the resources that one task of a step reserves; a filler task reserves no cores. */
struct wl_resources task_need(const struct wl_step *s)
{
	return (struct wl_resources){.cores_m = s->filler ? 0 : s->cores_m,
		.memory_mb = s->memory_mb,
		.accelerators = s->accelerators};
}

/* Returns the task's name on workers, JOB.OCCURRENCE.STEP.INDEX. The caller frees it. */
char *task_name(const struct wl_task *t)
{
	char *out;

	xasprintf(&out, "%s.%u.%u.%u", t->unit->job->spec.id, t->unit->occurrence,
		t->unit->step_index, t->index);
	return out;
}

/* Returns the total number of occurrences of a job, due or not. */
static uint32_t occurrence_count(const struct wl_job *j)
{
	return MAX(j->spec.repetitions, 1);
}

/*
 * Returns when an occurrence is due, in wall clock nanoseconds. A job without a schedule is due
 * immediately.
 */
static int64_t occurrence_due_at(const struct wl_job *j, uint32_t occurrence)
{
	if (j->spec.repetitions == 0)
		return 0;
	return (j->spec.start_at_ms + (int64_t)occurrence * j->spec.interval_ms) *
	       NSEC_PER_MSEC;
}

/* Returns when the next occurrence is due, or 0 if there is none. */
int64_t job_next_due(const struct wl_job *j)
{
	if (wl_state_ended(j->state) || j->occurrences_len >= occurrence_count(j))
		return 0;
	return occurrence_due_at(j, j->occurrences_len);
}

/* Creates the units and tasks of the next occurrence. */
static void open_next_occurrence(struct wl_job *j, int64_t now)
{
	uint32_t k = j->occurrences_len;
	struct wl_unit *units = xcalloc(j->spec.steps_len, sizeof(*units));

	j->occurrences = xreallocarray(j->occurrences, k + 1, sizeof(*j->occurrences));
	j->occurrences[k] = units;
	j->occurrences_len++;
	for (uint32_t s = 0; s < j->spec.steps_len; s++) {
		struct wl_unit *u = &units[s];

		u->job = j;
		u->step = &j->spec.steps[s];
		u->occurrence = k;
		u->step_index = s;
		name_set(&u->label, u->step->label);
		name_set(&u->data_rack, u->step->data_rack);
		u->waiting_count = u->step->count;
		u->ready_at = u->step->after_len == 0 ? now : 0;
		u->attempt = j->first_attempt - 1;
		u->tasks = xcalloc(u->step->count, sizeof(*u->tasks));
		for (uint32_t i = 0; i < u->step->count; i++) {
			u->tasks[i].unit = u;
			u->tasks[i].index = i;
			u->tasks[i].attempt = j->first_attempt - 1;
			u->tasks[i].pace_percent = 100;
			u->tasks[i].waiting_since = now;
		}
	}
}

/* Whether all units of an occurrence, which is open, are done. */
static bool occurrence_is_done(const struct wl_job *j, uint32_t occurrence)
{
	for (uint32_t s = 0; s < j->spec.steps_len; s++) {
		if (!j->occurrences[occurrence][s].is_done)
			return false;
	}
	return true;
}

/*
 * Whether the next occurrence may be opened beside those that are not done. A job can have many
 * more occurrences due than any memory holds tasks; those that wait exist as a number only.
 */
static bool may_open_occurrence(struct wl_job *j)
{
	uint64_t tasks = 0;
	uint32_t open;

	while (j->occurrences_done < j->occurrences_len &&
		occurrence_is_done(j, j->occurrences_done))
		j->occurrences_done++;
	open = j->occurrences_len - j->occurrences_done;
	for (uint32_t s = 0; s < j->spec.steps_len; s++)
		tasks += j->spec.steps[s].count;
	return open == 0 || (open + 1) * tasks <= WL_TASKS_MAX;
}

/* Creates the units of the occurrences that have become due, as far as they may be open. */
void job_open_due_occurrences(struct wl_job *j, int64_t now, int64_t wall)
{
	while (!wl_state_ended(j->state) && j->occurrences_len < occurrence_count(j) &&
		occurrence_due_at(j, j->occurrences_len) <= wall && may_open_occurrence(j))
		open_next_occurrence(j, now);
}

/* Whether all steps that a unit depends on are done. */
bool unit_dependencies_met(const struct wl_unit *u)
{
	const struct wl_unit *units = u->job->occurrences[u->occurrence];

	for (uint32_t i = 0; i < u->step->after_len; i++) {
		if (!units[u->step->after[i].step].is_done)
			return false;
	}
	return true;
}

/* Applies a job's settings, or the fallback if they are not known. */
static void apply_settings(struct wl_job *j)
{
	const struct wl_settings *s = &j->settings;
	bool known = s->attempts_max > 0;

	j->priority = known ? s->priority : FALLBACK_PRIORITY;
	j->attempts_max = known ? s->attempts_max : FALLBACK_ATTEMPTS;
	j->stretch = known ? s->stretch_milli / 1000.0 : FALLBACK_STRETCH;
	j->target = s->target_ms * NSEC_PER_MSEC;
	j->approval = s->approval;
}

/* Whether two settings are the same. */
static bool settings_equal(const struct wl_settings *a, const struct wl_settings *b)
{
	return a->priority == b->priority && a->attempts_max == b->attempts_max &&
	       a->stretch_milli == b->stretch_milli && a->target_ms == b->target_ms &&
	       a->approval == b->approval;
}

/*
 * Copies the queue's settings from the configuration. If the queue has been removed, the job
 * keeps its last settings and uses the service of its spec.
 */
void job_update_settings(struct wl_job *j)
{
	const struct wl_queue *q = wl_config_queue(j->wl->config, j->spec.queue);
	struct wl_settings settings;

	name_set(&j->service, q != NULL ? q->service : j->spec.service);
	if (q == NULL)
		return;
	wl_queue_settings(q, &settings);
	if (settings_equal(&settings, &j->settings))
		return;
	j->settings = settings;
	j->settings_unsaved = true;
	apply_settings(j);
}

/* Increments the version of a job's progress and requests that it be stored. */
void job_request_store(struct wl_job *j, enum wl_store_urgency urgency)
{
	j->version++;
	j->wl->callbacks.dirty(j->wl->callbacks.arg, j->spec.id, urgency);
}

/*
 * Marks a task as unconfirmed if the node it was placed on has not reported yet: it may be
 * running there.
 */
static void mark_unconfirmed(struct wl_task *t, const struct wl_mark *m)
{
	struct wl_node *n = node_find(t->unit->job->wl, m->node);

	t->attempt = MAX(t->attempt, m->attempt);
	if (n == NULL || !n->awaiting_report || t->phase != TASK_WAITING)
		return;
	task_set_phase(t, TASK_UNCONFIRMED);
	t->unconfirmed_node = n;
	TAILQ_INSERT_TAIL(&n->unconfirmed, t, on_node);
	t->unit->waiting_count--;
}

/* Applies a stored mark to its unit or task; the occurrence must have been opened. */
static void apply_mark(struct wl_job *j, const struct wl_mark *m)
{
	struct wl_unit *u;

	if (m->occurrence >= j->occurrences_len || m->step >= j->spec.steps_len)
		return;
	u = &j->occurrences[m->occurrence][m->step];
	if (m->done || m->failures > 0 || m->checkpoint != NULL)
		job_begin(j);
	if (m->index == WL_INDEX_GANG) {
		u->failures = m->failures;
		u->failed_attempt = m->failed_attempt;
		for (uint32_t i = 0; i < u->step->count; i++) {
			if (m->done && u->tasks[i].phase != TASK_DONE)
				task_set_phase(&u->tasks[i], TASK_DONE);
		}
		checkpoint_save(&u->tasks[0], 0, m->checkpoint);
		if (m->done) {
			u->is_done = true;
			u->done_count = u->step->count;
			u->waiting_count = 0;
		}
		return;
	}
	if (m->index >= u->step->count)
		return;
	u->tasks[m->index].failures = m->failures;
	u->tasks[m->index].failed_attempt = m->failed_attempt;
	crash_restore(&u->tasks[m->index], m);
	if (!u->step->gang)
		checkpoint_save(&u->tasks[m->index], 0, m->checkpoint);
	if (m->node != NULL && !m->done)
		mark_unconfirmed(&u->tasks[m->index], m);
	if (m->done && u->tasks[m->index].phase != TASK_DONE) {
		task_set_phase(&u->tasks[m->index], TASK_DONE);
		u->done_count++;
		u->waiting_count--;
		u->is_done = u->done_count == u->step->count;
	}
}

/* Whether a job was placed before, by an earlier coordinator. */
static bool was_placed(const struct wl_progress *p)
{
	return p != NULL && (p->first_attempt > 0 || p->marks_len > 0 || p->state != WL_QUEUED);
}

/*
 * Numbers the attempts of a job from above those of an earlier job with the same id: workers
 * know runs by the id alone. Earlier terms had lower numbers.
 */
static void number_attempts(struct wl_job *j, const struct wl_progress *p)
{
	const struct wl_forgotten_job *earlier =
		g_hash_table_lookup(j->wl->forgotten_by_id, j->spec.id);

	if (was_placed(p))
		j->first_attempt = MAX(p->first_attempt, 1);
	else
		j->first_attempt =
			next_attempt(j->wl, earlier != NULL ? earlier->last_attempt : 0);
}

/* Adds a new job, or a stored one with its progress. A job that is already known is ignored. */
void wl_job_add(struct wl *w, int64_t now, int64_t wall, const struct wl_spec *spec,
	const struct wl_progress *p)
{
	struct wl_job *j;

	if (wl_find_job(w, spec->id) != NULL)
		return;
	j = xcalloc(1, sizeof(*j));
	j->wl = w;
	fields_copy(&wl_spec_fields, &j->spec, spec);
	j->added_at = now;
	j->demand = org_demand_get(w, j->spec.org);
	w->changed = true;
	w->demands_stale = true;
	j->settings = p != NULL && p->settings.attempts_max > 0 ? p->settings : spec->settings;
	apply_settings(j);
	job_update_settings(j);
	number_attempts(j, p);
	g_hash_table_insert(w->jobs, j->spec.id, j);
	TAILQ_INSERT_TAIL(&w->list, j, entry);
	headroom_record_job(w, j, now);
	if (p != NULL && wl_state_ended(p->state)) {
		j->state = p->state;
		j->ended_ms = p->ended_ms;
		return;
	}
	j->state = p != NULL ? p->state : WL_QUEUED;
	job_open_due_occurrences(j, now, wall);
	for (uint32_t i = 0; p != NULL && i < p->marks_len; i++) {
		/*
		 * An occurrence with a stored mark was due when the mark was stored, even if
		 * this coordinator's clock is behind and says that it is not due yet.
		 */
		while (p->marks[i].occurrence >= j->occurrences_len &&
			p->marks[i].occurrence < occurrence_count(j))
			open_next_occurrence(j, now);
		apply_mark(j, &p->marks[i]);
	}
	if (j->state == WL_RUNNING && !j->begun && p->first_attempt == 0) {
		/* An earlier version: nothing may have started. */
		j->state = WL_QUEUED;
		job_request_store(j, WL_STORE_LATER);
	}
	j->begun |= j->state == WL_RUNNING;
}

/* Ends a job: stops its runs and requests that the final state be stored. */
void job_finish(
	struct wl_job *j, int64_t now, int64_t wall, enum wl_state state, const char *why)
{
	if (wl_state_ended(j->state))
		return;
	j->state = state;
	j->wl->changed = true;
	j->wl->demands_stale = true;
	j->ended_ms = wall / NSEC_PER_MSEC;
	event_log(EV_JOB_END, "job=%s state=%s why=\"%s\" after_ms=%" PRId64, j->spec.id,
		wl_state_name(state), why, (now - j->added_at) / NSEC_PER_MSEC);
	job_stop_runs(j, now, why);
	checkpoints_clear(j);
	job_request_store(j, WL_STORE_NOW);
}

/* Cancels a job unless it has ended. */
void wl_job_cancel(struct wl *w, int64_t now, int64_t wall, const char *id)
{
	struct wl_job *j = wl_find_job(w, id);

	if (j != NULL)
		job_finish(j, now, wall, WL_CANCELLED, "cancelled by its caller");
}

/* Appends a mark if it records a completion, failures, crashes, a checkpoint or a node. */
static void append_mark(GArray *marks, const struct wl_mark *m)
{
	struct wl_mark copy = *m;

	if (m->done)
		copy.checkpoint = NULL;
	if (m->done || m->failures > 0 || m->crashes > 0 || copy.checkpoint != NULL ||
		m->node != NULL)
		g_array_append_val(marks, copy);
}

/* Returns the name of the node on which a task may be running, or NULL. */
static char *task_node_name(const struct wl_task *t)
{
	if (t->phase == TASK_DONE)
		return NULL;
	if (t->phase == TASK_UNCONFIRMED)
		return t->unconfirmed_node->name;
	return t->node != NULL ? t->node->name : NULL;
}

/* Appends one mark for a gang or a completed unit, and one per task of an incomplete unit. */
static void append_unit_marks(GArray *marks, const struct wl_unit *u)
{
	struct wl_mark m = {.occurrence = u->occurrence, .step = u->step_index};

	if (u->step->gang || u->is_done) {
		m.index = WL_INDEX_GANG;
		m.done = u->is_done;
		m.failures = u->failures;
		m.failed_attempt = u->failed_attempt;
		m.checkpoint = u->tasks[0].checkpoint;
		append_mark(marks, &m);
	}
	for (uint32_t i = 0; !u->is_done && i < u->step->count; i++) {
		struct wl_task *t = &u->tasks[i];

		m.index = i;
		m.done = t->phase == TASK_DONE;
		m.failures = u->step->gang ? 0 : t->failures;
		m.failed_attempt = t->failed_attempt;
		m.crashes = t->crashes.count;
		m.crashed_attempt = t->crashes.attempt;
		m.crash_uncertain = t->crashes.uncertain;
		m.checkpoint = u->step->gang ? NULL : t->checkpoint;
		m.node = task_node_name(t);
		m.attempt = t->attempt;
		append_mark(marks, &m);
	}
}

void wl_job_fail_oversized(struct wl *w, int64_t now, int64_t wall, const char *id)
{
	struct wl_job *j = wl_find_job(w, id);

	if (j != NULL)
		job_finish(j, now, wall, WL_FAILED, "its progress is too large for the store");
}

/* Encodes a job's progress for the store; empty if the job is unknown. */
struct bytes wl_job_progress(struct wl *w, const char *id, uint64_t *version)
{
	struct wl_job *j = wl_find_job(w, id);
	g_autoptr(GArray) marks = g_array_new(FALSE, FALSE, sizeof(struct wl_mark));
	struct wl_progress p;

	if (j == NULL)
		return (struct bytes){0};
	p = (struct wl_progress){.state = j->state,
		.queue = j->spec.queue,
		.org = j->spec.org,
		.address = j->spec.address,
		.first_attempt = j->first_attempt,
		.ended_ms = j->ended_ms,
		.settings = j->settings};
	j->settings_unsaved = false;
	for (uint32_t k = 0; !wl_state_ended(j->state) && k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++)
			append_unit_marks(marks, &j->occurrences[k][s]);
	}
	p.marks = (struct wl_mark *)marks->data;
	p.marks_len = marks->len;
	*version = j->version;
	return checkpoints_fit(j, &p);
}

/* Frees a job; none of its tasks may be attached to a node any more. */
static void job_free(struct wl_job *j)
{
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++) {
			struct wl_unit *u = &j->occurrences[k][s];

			for (uint32_t i = 0; i < u->step->count; i++) {
				task_clear_unconfirmed(&u->tasks[i]);
				checkpoint_clear(&u->tasks[i]);
			}
			free(u->tasks);
			name_free(u->label);
			name_free(u->data_rack);
		}
		free(j->occurrences[k]);
	}
	name_free(j->service);
	free(j->occurrences);
	free(j->estimates);
	fields_clear(&wl_spec_fields, &j->spec);
	free(j);
}

/* Whether a job still has runs on workers. */
static bool job_has_runs(const struct wl_job *j)
{
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++) {
			const struct wl_unit *u = &j->occurrences[k][s];

			for (uint32_t i = 0; i < u->step->count; i++) {
				if (u->tasks[i].node != NULL)
					return true;
			}
		}
	}
	return false;
}

/* Returns the ids of ended jobs whose final state is stored and whose retention is over. */
GPtrArray *wl_jobs_expired(struct wl *w, int64_t wall)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	struct wl_job *j;

	TAILQ_FOREACH(j, &w->list, entry) {
		if (wl_state_ended(j->state) && j->stored >= j->version && !job_has_runs(j) &&
			wall - j->ended_ms * NSEC_PER_MSEC > w->limits.retention)
			g_ptr_array_add(out, g_strdup(j->spec.id));
	}
	return out;
}

static void forgotten_job_free(void *arg)
{
	struct wl_forgotten_job *f = arg;

	free(f->id);
	free(f);
}

/* Remembers the highest attempt of a job that is being removed. */
static void remember_attempts(struct wl_job *j)
{
	struct wl_forgotten_job *f = xcalloc(1, sizeof(*f));
	struct wl *w = j->wl;

	f->id = xstrdup(j->spec.id);
	f->last_attempt = j->first_attempt;
	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++)
			f->last_attempt = MAX(f->last_attempt, j->occurrences[k][s].attempt);
	}
	g_queue_push_tail(&w->forgotten, f);
	g_hash_table_replace(w->forgotten_by_id, f->id, f);
	if (w->forgotten.length <= FORGOTTEN_JOBS_MAX)
		return;
	f = g_queue_pop_head(&w->forgotten);
	if (g_hash_table_lookup(w->forgotten_by_id, f->id) == f)
		g_hash_table_remove(w->forgotten_by_id, f->id);
	forgotten_job_free(f);
}

/*
 * Removes a job; does nothing while it has runs. The caller must know that the job has ended,
 * as this is not checked.
 */
void wl_job_forget(struct wl *w, const char *id)
{
	struct wl_job *j = wl_find_job(w, id);

	if (j == NULL || job_has_runs(j))
		return;
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		for (guint k = 0; k < n->pending_ends->len; k++) {
			struct wl_pending_end *e =
				&g_array_index(n->pending_ends, struct wl_pending_end, k);

			if (e->job == j)
				e->job = NULL;
		}
	}
	remember_attempts(j);
	g_hash_table_remove(w->jobs, id);
	TAILQ_REMOVE(&w->list, j, entry);
	job_free(j);
}

/* Parses ".NUMBER" and advances past it; false if there is none or it exceeds 32 bits. */
static bool parse_part(const char **p, uint32_t *out)
{
	uint64_t n = 0;

	if (**p != '.' || !g_ascii_isdigit((*p)[1]))
		return false;
	for ((*p)++; g_ascii_isdigit(**p); (*p)++) {
		n = n * 10 + (uint64_t)(**p - '0');
		if (n > UINT32_MAX)
			return false;
	}
	*out = (uint32_t)n;
	return true;
}

/*
 * Returns the task with a name, or NULL. Opens its occurrence if necessary: a worker that names
 * the task may be running it before the occurrence is due on this coordinator's clock.
 */
struct wl_task *job_task(struct wl *w, const char *name, int64_t now)
{
	char id[WL_ID_LEN + 1] = "";
	const char *p = name;
	uint32_t k, s, i;
	struct wl_job *j;

	if (name == NULL || strlen(name) <= WL_ID_LEN)
		return NULL;
	memcpy(id, name, WL_ID_LEN);
	p += WL_ID_LEN;
	if (!parse_part(&p, &k) || !parse_part(&p, &s) || !parse_part(&p, &i) || *p != '\0')
		return NULL;
	j = wl_find_job(w, id);
	if (j == NULL || s >= j->spec.steps_len || k >= occurrence_count(j))
		return NULL;
	while (k >= j->occurrences_len && !wl_state_ended(j->state))
		open_next_occurrence(j, now);
	if (k >= j->occurrences_len || i >= j->spec.steps[s].count)
		return NULL;
	return &j->occurrences[k][s].tasks[i];
}

/* Creates a scheduler core for one coordinator term. */
struct wl *wl_new(uint64_t term, const struct wl_limits *limits, const struct wl_callbacks *out)
{
	struct wl *w = xcalloc(1, sizeof(*w));

	w->term = term;
	w->limits = *limits;
	w->callbacks = *out;
	w->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&w->forgotten);
	w->forgotten_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	w->nodes = g_ptr_array_new();
	w->nodes_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	w->unacked_nodes = g_ptr_array_new();
	w->racks = g_ptr_array_new_with_free_func(rack_free);
	w->no_nodes = g_ptr_array_new();
	w->evacuations = evacuations_new();
	w->speed_groups = speed_groups_new();
	w->usages = g_array_new(FALSE, TRUE, sizeof(struct wl_usage));
	w->demands = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, org_demand_free);
	w->pending_failures = pending_failures_new();
	TAILQ_INIT(&w->list);
	return w;
}

/* Frees the core with its jobs and nodes. */
void wl_free(struct wl *w)
{
	struct wl_job *j;

	if (w == NULL)
		return;
	while ((j = TAILQ_FIRST(&w->list)) != NULL) {
		TAILQ_REMOVE(&w->list, j, entry);
		job_free(j);
	}
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		free(n->name);
		free(n->instance_id);
		name_free(n->service);
		name_free(n->rack);
		name_free(n->zone);
		g_ptr_array_unref(n->labels);
		g_ptr_array_unref(n->orphans);
		g_array_unref(n->pending_ends);
		free(n);
	}
	g_ptr_array_unref(w->nodes);
	g_ptr_array_unref(w->unacked_nodes);
	g_ptr_array_unref(w->racks);
	g_ptr_array_unref(w->no_nodes);
	g_array_unref(w->evacuations);
	speed_groups_free(w->speed_groups);
	g_array_unref(w->usages);
	g_array_unref(w->pending_failures);
	g_hash_table_destroy(w->nodes_by_name);
	g_hash_table_destroy(w->jobs);
	g_hash_table_destroy(w->forgotten_by_id);
	g_queue_clear_full(&w->forgotten, forgotten_job_free);
	g_hash_table_destroy(w->demands);
	if (w->run_stats != NULL)
		g_hash_table_destroy(w->run_stats);
	free(w);
}

/* Replaces the configuration and updates the settings of all jobs. */
void wl_set_config(struct wl *w, const struct wl_config *c)
{
	struct wl_job *j;

	w->config = c;
	w->changed = true;
	w->demands_stale = true;
	TAILQ_FOREACH(j, &w->list, entry)
		job_update_settings(j);
}

#include "sched-private.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define FAILURES_MAX 3 /* failed attempts of an idempotent job */
#define BACKOFF_BASE NSEC_PER_SEC
#define BACKOFF_MAX  (60 * NSEC_PER_SEC)
/* Delay before a job is tried again after an attempt of which no member started. */
#define NOT_STARTED_BACKOFF (200 * NSEC_PER_MSEC)
/* Neither of these two is used. */
#define SHAPES_KEPT   1000
#define RETRY_LATER_S 5

/* Frees a worker. */
static void free_worker(void *p)
{
	struct sched_worker *w = p;

	free(w->name);
	free(w);
}

/* Frees an organisation. */
static void free_org(void *p)
{
	struct sched_org *o = p;

	free(o->name);
	g_array_unref(o->unused_guarantee);
	g_tree_destroy(o->queue);
	g_hash_table_destroy(o->class_jobs);
	free(o);
}

/* Frees a job. */
static void job_free(struct sched_job *j)
{
	if (j == NULL)
		return;
	if (j->charges != NULL)
		g_array_unref(j->charges);
	free(j->id);
	free(j->kind);
	free(j);
}

/* Returns a scheduler without workers or jobs. The seed is for the jitter of retries. */
struct sched *sched_new(enum sched_policy policy, uint64_t seed)
{
	struct sched *s = xcalloc(1, sizeof(*s));

	s->policy = policy;
	s->rand = g_rand_new_with_seed((guint32)seed);
	s->grace = 5 * NSEC_PER_SEC;
	s->completion_weight = 0.5;
	s->queue_max = UINT32_MAX;
	s->class_queue_max = g_hash_table_new(g_direct_hash, g_direct_equal);
	s->workers = g_ptr_array_new_with_free_func(free_worker);
	s->racks = g_ptr_array_new_with_free_func(free);
	s->orgs = g_ptr_array_new_with_free_func(free_org);
	s->holds = g_ptr_array_new_with_free_func(hold_free);
	s->jobs = g_ptr_array_new();
	s->free_refs = g_array_new(FALSE, FALSE, sizeof(job_ref));
	s->active = g_ptr_array_new();
	s->queue = g_tree_new_full(queue_compare, NULL, NULL, NULL);
	s->run_time_stats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	g_queue_init(&s->actions);
	return s;
}

/* Frees a scheduler with its jobs and its pending actions. */
void sched_free(struct sched *s)
{
	struct sched_action a;

	if (s == NULL)
		return;
	while (sched_next(s, &a))
		sched_action_clear(&a);
	for (guint i = 0; i < s->jobs->len; i++)
		job_free(s->jobs->pdata[i]);
	g_ptr_array_unref(s->jobs);
	g_ptr_array_unref(s->holds);
	g_ptr_array_unref(s->orgs);
	g_ptr_array_unref(s->racks);
	g_ptr_array_unref(s->workers);
	g_ptr_array_unref(s->active);
	g_array_unref(s->free_refs);
	g_tree_destroy(s->queue);
	g_hash_table_destroy(s->run_time_stats);
	g_hash_table_destroy(s->class_queue_max);
	g_rand_free(s->rand);
	free(s);
}

/* Returns the job with the given index, or NULL. */
struct sched_job *sched_job(struct sched *s, job_ref job)
{
	return job < s->jobs->len ? s->jobs->pdata[job] : NULL;
}

/* Returns the index of an organisation, adding it if its name is new. */
static uint32_t find_org(struct sched *s, const char *name)
{
	struct sched_org *o;

	for (uint32_t i = 0; i < s->orgs->len; i++) {
		if (strcmp(sched_org_at(s, i)->name, name) == 0)
			return i;
	}
	o = xcalloc(1, sizeof(*o));
	o->name = xstrdup(name);
	o->unused_guarantee = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	o->queue = g_tree_new_full(queue_compare_arrival, NULL, NULL, NULL);
	o->class_jobs = g_hash_table_new(g_direct_hash, g_direct_equal);
	g_ptr_array_add(s->orgs, o);
	return s->orgs->len - 1;
}

/* Returns the index of a rack, adding it if its name is new. */
static uint32_t find_rack(struct sched *s, const char *name)
{
	for (uint32_t i = 0; i < s->racks->len; i++) {
		if (strcmp(s->racks->pdata[i], name) == 0)
			return i;
	}
	g_ptr_array_add(s->racks, xstrdup(name));
	return s->racks->len - 1;
}

/* Returns the index of a worker, or SCHED_WORKER_NONE if the name is not known. */
uint32_t sched_find_worker(const struct sched *s, const char *name)
{
	for (uint32_t i = 0; i < s->workers->len; i++) {
		if (strcmp(sched_worker_at(s, i)->name, name) == 0)
			return i;
	}
	return SCHED_WORKER_NONE;
}

/* Reads the declared topology of the cell with the given name from the configuration. */
static void set_topology(struct sched *s, const struct doc *d, const char *cell)
{
	const struct doc_cell *c;

	s->declared_workers = 0;
	STAILQ_FOREACH(c, &d->cells, entry)
	{
		if (strcmp(c->name, cell) != 0)
			continue;
		s->declared_workers = c->workers;
		s->declared_workers_per_rack = c->workers_per_rack;
		s->declared_accelerators = c->accelerators;
	}
}

/*
 * Adds a worker or marks a known one as up again; the index of a name never changes. A worker
 * whose capacity has changed is taken down first, so that its holds are placed anew.
 */
uint32_t sched_worker_up(struct sched *s, int64_t now, const struct sched_worker_spec *spec)
{
	uint32_t index = sched_find_worker(s, spec->name);
	struct sched_worker *w;

	if (index == SCHED_WORKER_NONE) {
		w = xcalloc(1, sizeof(*w));
		w->name = xstrdup(spec->name);
		w->reserved_for = JOB_REF_NONE;
		g_ptr_array_add(s->workers, w);
		index = s->workers->len - 1;
	}
	w = sched_worker_at(s, index);
	if (w->up && !res_equal(&w->capacity, &spec->capacity))
		sched_worker_down(s, now, index);
	w->rack = find_rack(s, spec->rack);
	w->capacity = spec->capacity;
	w->up = true;
	w->draining = false;
	s->dirty = true;
	if (s->policy == SCHED_POLICY_FULL)
		plan_place_holds(s, now);
	return index;
}

/*
 * Marks a worker as down: nothing more is placed on it, and its holds move to other workers.
 * The caller reports the end of each job member there with sched_member_ended, as only the
 * coordinator knows which members may have started.
 */
void sched_worker_down(struct sched *s, int64_t now, uint32_t worker)
{
	struct sched_worker *w = sched_worker_at(s, worker);

	if (!w->up)
		return;
	w->up = false;
	s->dirty = true;
	if (s->policy == SCHED_POLICY_FULL)
		plan_worker_down(s, now, worker);
}

/* Starts or ends the draining of a worker; nothing is placed on a draining worker. */
void sched_worker_drain(struct sched *s, uint32_t worker, bool draining)
{
	sched_worker_at(s, worker)->draining = draining;
	s->dirty = true;
}

/* While a worker is restricted, only idempotent jobs are placed on it. */
void sched_worker_restrict(struct sched *s, uint32_t worker, bool restricted)
{
	sched_worker_at(s, worker)->restricted = restricted;
	s->dirty = true;
}

/*
 * Allocates the resources of a placement to a job. If charged, they are charged to the holds of
 * the job's organisation, the given hold first. If pending, the job waits for borrowers to stop
 * before it uses them.
 */
void sched_assign(struct sched *s, struct sched_job *j, const struct fit *f, bool charged,
	struct sched_hold *hold, bool pending)
{
	memcpy(j->members, f->members, f->len * sizeof(f->members[0]));
	j->members_len = f->len;
	for (uint32_t i = 0; i < j->members_len; i++) {
		struct sched_member *m = &j->members[i];
		struct sched_worker *w = sched_worker_at(s, m->worker);

		res_add(pending ? &w->pending : &w->used, &m->need);
		w->jobs++;
		if (w->quarantined)
			w->probing = true;
		sched_org_at(s, j->org)->allocated_accelerators += m->accelerators;
	}
	if (charged)
		hold_charge(s, j, hold);
	else
		committed_update(s, j);
	g_ptr_array_add(s->active, j);
}

/* Releases the resources of a job's members and removes the members. */
void sched_release(struct sched *s, struct sched_job *j)
{
	bool pending = j->state == SCHED_JOB_CLAIMING;

	committed_clear(s, j);
	for (uint32_t i = 0; i < j->members_len; i++) {
		struct sched_member *m = &j->members[i];
		struct sched_worker *w = sched_worker_at(s, m->worker);

		res_sub(pending ? &w->pending : &w->used, &m->need);
		w->jobs--;
		if (w->jobs == 0)
			w->probing = false;
		sched_org_at(s, j->org)->allocated_accelerators -= m->accelerators;
	}
	hold_uncharge(s, j);
	g_ptr_array_remove_fast(s->active, j);
	j->members_len = 0;
	s->dirty = true;
}

/* Appends an action on a job to the queue of actions. */
static struct sched_action *push_action(
	struct sched *s, enum sched_action_kind kind, const struct sched_job *j)
{
	struct sched_action *a = xcalloc(1, sizeof(*a));

	a->kind = kind;
	a->job = j->ref;
	a->attempt = j->attempt;
	g_queue_push_tail(&s->actions, a);
	return a;
}

/* Begins a new attempt of a job to which resources are allocated. */
void sched_begin_attempt(struct sched *s, int64_t now, struct sched_job *j)
{
	if (j->state == SCHED_JOB_QUEUED)
		queue_remove(s, j);
	j->state = SCHED_JOB_PLACING;
	j->stop = SCHED_STOP_NONE;
	j->attempt = MAX(j->attempt, j->attempt_floor) + 1;
	j->placed_at = now;
	j->started_at = 0;
	s->counts.placed++;
	push_action(s, SCHED_ACTION_PLACE, j);
}

/* Orders all members of a job to stop. */
void sched_stop_job(
	struct sched *s, struct sched_job *j, enum stop_mode mode, enum sched_stop_reason why)
{
	struct sched_action *a;

	j->state = SCHED_JOB_STOPPING;
	j->stop = why;
	if (why == SCHED_STOP_PREEMPTED) {
		s->counts.preempted++;
		j->preemptions++;
	}
	a = push_action(s, SCHED_ACTION_STOP, j);
	a->stop.mode = mode;
	a->stop.why = why;
}

/*
 * Ends a job with an outcome and a detail text. The caller removes the job with
 * sched_remove_job after it has delivered the answer.
 */
void sched_end(struct sched *s, struct sched_job *j, enum outcome outcome,
	enum error_kind error, bool not_run, const char *fmt, ...)
{
	struct sched_org *o = sched_org_at(s, j->org);
	gpointer priority = GUINT_TO_POINTER(j->class_priority);
	struct sched_action *a;
	va_list ap;

	if (j->state == SCHED_JOB_QUEUED)
		queue_remove(s, j);
	j->state = SCHED_JOB_ENDED;
	o->jobs--;
	g_hash_table_insert(o->class_jobs, priority,
		GUINT_TO_POINTER(
			GPOINTER_TO_UINT(g_hash_table_lookup(o->class_jobs, priority)) - 1));
	a = push_action(s, SCHED_ACTION_END, j);
	a->end.outcome = outcome;
	a->end.error = error;
	a->end.not_run = not_run;
	a->end.retry_after_s = (uint32_t)error_info(error)->retry_after_s;
	va_start(ap, fmt);
	if (vasprintf(&a->end.detail, fmt, ap) < 0)
		abort();
	va_end(ap);
	if (not_run)
		s->counts.refused++;
}

/* Adds a job with an unused index. */
static struct sched_job *add_job(
	struct sched *s, int64_t now, const struct job_spec *spec, void *owner)
{
	struct sched_job *j = xcalloc(1, sizeof(*j));
	struct sched_org *o;
	gpointer priority;

	if (s->free_refs->len > 0) {
		j->ref = g_array_index(s->free_refs, job_ref, s->free_refs->len - 1);
		g_array_set_size(s->free_refs, s->free_refs->len - 1);
		s->jobs->pdata[j->ref] = j;
	} else {
		j->ref = s->jobs->len;
		g_ptr_array_add(s->jobs, j);
	}
	j->id = xstrdup(spec->id);
	j->org = find_org(s, spec->org);
	j->kind = xstrdup(spec->kind);
	j->accelerators = spec->accelerators;
	j->adjacency = spec->adjacency;
	j->cores = spec->cores;
	j->memory_mb = spec->memory_mb;
	j->idempotent = spec->idempotent;
	j->checkpoint = spec->checkpoint;
	j->declared_run_time = spec->run_time_ms * NSEC_PER_MSEC;
	j->deadline = spec->deadline_ms > 0 ? now + spec->deadline_ms * NSEC_PER_MSEC : 0;
	j->submitted = now;
	j->owner = owner;
	j->sequence = s->sequence++;
	o = sched_org_at(s, j->org);
	o->jobs++;
	j->class_priority = spec->priority;
	j->urgent = spec->urgent;
	priority = GUINT_TO_POINTER(j->class_priority);
	g_hash_table_insert(o->class_jobs, priority,
		GUINT_TO_POINTER(
			GPOINTER_TO_UINT(g_hash_table_lookup(o->class_jobs, priority)) + 1));
	return j;
}

/* Applies a new configuration. */
void sched_set_config(struct sched *s, int64_t now, const struct doc *d, const char *cell)
{
	const struct doc_org *o;
	const struct doc_class *c;

	s->grace = d->grace;
	s->completion_weight = d->weight_completion;
	s->queue_max = d->queue_max;
	set_topology(s, d, cell);
	g_hash_table_remove_all(s->class_queue_max);
	STAILQ_FOREACH(c, &d->classes, entry)
	{
		if (c->queue_max > 0)
			g_hash_table_insert(s->class_queue_max, GUINT_TO_POINTER(c->priority),
				GUINT_TO_POINTER(c->queue_max));
	}
	for (uint32_t i = 0; i < s->orgs->len; i++)
		sched_org_at(s, i)->configured = false;
	STAILQ_FOREACH(o, &d->orgs, entry)
	{
		struct sched_org *org = sched_org_at(s, find_org(s, o->name));

		org->configured = true;
		org->quota_accelerators = o->quota_accelerators;
		org->quota_jobs = o->quota_jobs;
	}
	if (s->policy == SCHED_POLICY_FULL)
		plan_set_holds(s, now, d);
	admit_recheck_queued(s);
	s->dirty = true;
}

/* Adds a job. If it cannot be admitted, an action ends it at once. */
job_ref sched_submit(struct sched *s, int64_t now, const struct job_spec *spec, void *owner)
{
	struct sched_job *j = add_job(s, now, spec, owner);

	/* The job is in no queue yet; in state QUEUED, sched_end would remove it from one. */
	j->state = SCHED_JOB_STOPPING;
	if (!admit_job(s, j))
		return j->ref;
	fit_count_shape(s, j);
	j->decision = (struct sched_decision){.why = SCHED_REASON_NEW, .at = now};
	queue_add(s, now, j);
	return j->ref;
}

/*
 * Adopts a job: adds one that is already running, as reported by the agents to a new
 * coordinator; run_time is how long it has been running. The job is stopped if some of its
 * members are missing. Its recorded reason is SCHED_REASON_FREE, as the reason for which it was
 * placed is not known.
 */
job_ref sched_adopt(struct sched *s, int64_t now, const struct job_spec *spec, void *owner,
	uint32_t attempt, const struct sched_member *members, uint32_t len, int64_t run_time)
{
	struct sched_job *j = add_job(s, now, spec, owner);
	struct fit f = {.len = len};
	uint32_t found = 0;

	memcpy(f.members, members, len * sizeof(*members));
	for (uint32_t i = 0; i < len; i++)
		f.members[i].need = res_need(j, members[i].accelerators);
	j->estimate = learn_estimate(s, j);
	j->attempt = attempt;
	j->ran = attempt > 1 && j->idempotent;
	j->submitted = now - run_time;
	j->started_at = now - run_time;
	j->placed_at = j->started_at;
	j->state = SCHED_JOB_RUNNING;
	j->decision = (struct sched_decision){.why = SCHED_REASON_FREE, .at = now};
	sched_assign(s, j, &f, false, NULL, false);
	for (uint32_t i = 0; i < len; i++)
		found += members[i].accelerators;
	j->partial = found < j->accelerators;
	if (j->partial)
		sched_stop_job(s, j, STOP_NOW, SCHED_STOP_MEMBER_LOST);
	if (s->policy == SCHED_POLICY_FULL) {
		plan_unplace_overcommitted(s);
		plan_place_around_running(s);
		plan_place_holds(s, now);
	}
	return j->ref;
}

/* Cancels a job at the request of its caller. */
void sched_cancel(struct sched *s, int64_t now, job_ref job)
{
	struct sched_job *j = sched_job(s, job);

	(void)now;
	if (j == NULL || j->cancel_wanted)
		return;
	switch (j->state) {
	case SCHED_JOB_CLAIMING:
		sched_release(s, j);
		sched_end(s, j, OUTCOME_CANCELLED, ERR_CANCELLED, !j->ran,
			"cancelled before it started");
		break;
	case SCHED_JOB_QUEUED:
		sched_end(s, j, OUTCOME_CANCELLED, ERR_CANCELLED, !j->ran,
			"cancelled before it started");
		break;
	case SCHED_JOB_PLACING:
	case SCHED_JOB_RUNNING:
		j->cancel_wanted = true;
		sched_stop_job(s, j, STOP_NOW, SCHED_STOP_CANCELLED);
		break;
	case SCHED_JOB_STOPPING:
		j->cancel_wanted = true;
		break;
	case SCHED_JOB_ENDED:
		break;
	}
}

/* Records that all members of an attempt have started. */
void sched_started(struct sched *s, int64_t now, job_ref job, uint32_t attempt)
{
	struct sched_job *j = sched_job(s, job);

	if (j == NULL || j->attempt != attempt || j->started_at != 0)
		return;
	j->started_at = now;
	if (j->state == SCHED_JOB_PLACING)
		j->state = SCHED_JOB_RUNNING;
}

/* Puts a job back into the queue; it may not be placed before the jittered delay is over. */
static void requeue(struct sched *s, int64_t now, struct sched_job *j, int64_t delay)
{
	double jitter = g_rand_double_range(s->rand, 0.5, 1.5);

	j->partial = false;
	j->not_before = delay > 0 ? now + (int64_t)((double)delay * jitter) : 0;
	j->stop = SCHED_STOP_NONE;
	j->decision = (struct sched_decision){
		.why = delay > 0 ? SCHED_REASON_BACKOFF : SCHED_REASON_PREEMPTED, .at = now};
	queue_add(s, now, j);
}

/*
 * Records that an attempt was withdrawn before any member could start, for example because an
 * agent refused the reservation of resources for a member. Unless the job was cancelled, it is
 * queued again. Reservations of workers for blocked jobs (reserved_for) are unrelated.
 */
void sched_attempt_withdrawn(struct sched *s, int64_t now, job_ref job, uint32_t attempt)
{
	struct sched_job *j = sched_job(s, job);

	if (j == NULL || j->attempt != attempt ||
		(j->state != SCHED_JOB_PLACING && j->state != SCHED_JOB_STOPPING))
		return;
	sched_release(s, j);
	if (j->cancel_wanted)
		sched_end(s, j, OUTCOME_CANCELLED, ERR_CANCELLED, !j->ran,
			"cancelled before it started");
	else
		requeue(s, now, j, NOT_STARTED_BACKOFF);
}

/* Number of members of an attempt by how they ended; open ones have not ended. */
struct member_ends {
	uint32_t done;
	uint32_t failed;
	uint32_t never_started;
	uint32_t lost;
	uint32_t open;
};

static struct member_ends count_member_ends(const struct sched_job *j)
{
	struct member_ends e = {0};

	for (uint32_t i = 0; i < j->members_len; i++) {
		const struct sched_member *m = &j->members[i];

		if (!m->ended)
			e.open++;
		else if (m->end == MEMBER_END_DONE)
			e.done++;
		else if (m->end == MEMBER_END_FAILED)
			e.failed++;
		else if (m->end == MEMBER_END_NEVER_STARTED)
			e.never_started++;
		else if (m->end != MEMBER_END_STOPPED)
			e.lost++;
	}
	return e;
}

/* Records for each worker whether its member succeeded or failed. */
static void record_worker_results(struct sched *s, int64_t now, struct sched_job *j)
{
	for (uint32_t i = 0; i < j->members_len; i++) {
		if (j->members[i].end == MEMBER_END_DONE)
			health_succeeded(s, j->members[i].worker);
		else if (j->members[i].end == MEMBER_END_FAILED)
			health_failed(s, now, j, j->members[i].worker);
	}
}

/* Returns the delay before the next attempt of a job that failed. */
static int64_t retry_delay(const struct sched_job *j)
{
	return MIN(BACKOFF_BASE << MIN(j->failures, 10u), BACKOFF_MAX);
}

/* Retries or ends a job whose attempt did not succeed, after its resources were released. */
static void finish_failed_attempt(struct sched *s, int64_t now, struct sched_job *j,
	const struct member_ends *e, uint32_t size)
{
	if (e->never_started == size && !j->partial) {
		requeue(s, now, j, NOT_STARTED_BACKOFF);
		return;
	}
	if (!j->idempotent && (e->lost > 0 || j->partial)) {
		sched_end(s, j, OUTCOME_UNKNOWN, ERR_UNKNOWN_OUTCOME, false,
			"a worker was lost after it may have started the job, which must not "
			"run twice");
		return;
	}
	if (j->stop == SCHED_STOP_PREEMPTED && e->failed == 0) {
		requeue(s, now, j, 0);
		return;
	}
	j->failures++;
	if (!j->idempotent || j->failures >= FAILURES_MAX || health_job_at_fault(j)) {
		enum error_kind kind = e->failed > 0 ? ERR_UPSTREAM_FAILED : ERR_MEMBER_LOST;

		sched_end(s, j, OUTCOME_FAILED, kind, false, "attempt %u of %u failed",
			j->attempt, j->idempotent ? FAILURES_MAX : 1);
		return;
	}
	requeue(s, now, j, retry_delay(j));
}

/* Finishes an attempt whose members have all ended: the job ends or is queued again. */
static void finish_attempt(struct sched *s, int64_t now, struct sched_job *j)
{
	struct member_ends e = count_member_ends(j);
	uint32_t size = j->members_len;
	bool done = e.done == size && !j->partial;

	record_worker_results(s, now, j);
	if (done && j->started_at > 0)
		learn_run_time(s, j, now - j->started_at + j->saved);
	if (e.never_started < size || j->partial)
		j->ran = true;
	sched_release(s, j);
	/* ERR_INTERNAL is a placeholder, as there is no error kind for success. */
	if (done)
		sched_end(s, j, OUTCOME_DONE, ERR_INTERNAL, false, "done");
	else if (j->cancel_wanted)
		sched_end(s, j, OUTCOME_CANCELLED, ERR_CANCELLED, !j->ran,
			j->ran ? "cancelled while it ran" : "cancelled before it started");
	else
		finish_failed_attempt(s, now, j, &e, size);
}

/*
 * Records the end of a member. Repeated reports and reports on other attempts are ignored. If
 * the member did not succeed, whether lost, failed, stopped or never started, the others are
 * stopped with the reason SCHED_STOP_MEMBER_LOST, as a gang runs with all of its members or not
 * at all.
 */
void sched_member_ended(struct sched *s, int64_t now, job_ref job, uint32_t attempt,
	uint32_t member, enum member_end end, int64_t saved)
{
	struct sched_job *j = sched_job(s, job);
	struct sched_member *m;

	if (j == NULL || j->attempt != attempt || member >= j->members_len ||
		(j->state != SCHED_JOB_PLACING && j->state != SCHED_JOB_RUNNING &&
			j->state != SCHED_JOB_STOPPING))
		return;
	m = &j->members[member];
	if (m->ended)
		return;
	m->ended = true;
	m->end = end;
	if (saved > j->saved)
		j->saved = saved;
	if (count_member_ends(j).open == 0) {
		finish_attempt(s, now, j);
		return;
	}
	if (end != MEMBER_END_DONE && j->state != SCHED_JOB_STOPPING)
		sched_stop_job(s, j, STOP_NOW, SCHED_STOP_MEMBER_LOST);
}

/* Removes a job that has ended; its index may be reused. */
void sched_remove_job(struct sched *s, job_ref job)
{
	struct sched_job *j = sched_job(s, job);

	if (j == NULL || j->state != SCHED_JOB_ENDED)
		return;
	s->jobs->pdata[job] = NULL;
	g_array_append_val(s->free_refs, job);
	job_free(j);
}

/* Ends the queued jobs whose deadline has passed. */
static void expire_deadlines(struct sched *s, int64_t now)
{
	g_autoptr(GPtrArray) expired = g_ptr_array_new();

	for (GTreeNode *n = g_tree_node_first(s->queue); n != NULL; n = g_tree_node_next(n)) {
		struct sched_job *j = g_tree_node_key(n);

		if (j->deadline > 0 && j->deadline <= now)
			g_ptr_array_add(expired, j);
	}
	for (guint i = 0; i < expired->len; i++) {
		struct sched_job *j = expired->pdata[i];

		sched_end(s, j, OUTCOME_NOT_RUN, ERR_DEADLINE, !j->ran,
			"the deadline passed while the job waited");
	}
}

/* Runs a scheduling pass; to be called after events and about every 100 ms. */
void sched_run(struct sched *s, int64_t now)
{
	expire_deadlines(s, now);
	if (s->settling)
		return;
	s->dirty = false;
	queue_pass(s, now);
}

/*
 * While set, no scheduling pass runs, so no job is placed. A new coordinator sets it until it
 * knows which jobs run, and a coordinator that is about to stop sets it for good.
 */
void sched_set_settling(struct sched *s, bool settling)
{
	s->settling = settling;
}

/* Takes the next action; the caller frees its contents with sched_action_clear. */
bool sched_next(struct sched *s, struct sched_action *out)
{
	struct sched_action *a = g_queue_pop_head(&s->actions);

	if (a == NULL)
		return false;
	*out = *a;
	free(a);
	return true;
}

/* Frees the contents of an action. */
void sched_action_clear(struct sched_action *a)
{
	if (a->kind == SCHED_ACTION_END)
		free(a->end.detail);
}

/* Returns the totals since the scheduler was created. */
const struct sched_counts *sched_counts(const struct sched *s)
{
	return &s->counts;
}

/* Returns the number of queued jobs. */
size_t sched_queued_count(const struct sched *s)
{
	return (size_t)g_tree_nnodes(s->queue);
}

/*
 * Returns the number of jobs that have resources allocated: those that wait for borrowers to
 * stop, are starting, run or are stopping.
 */
size_t sched_active_count(const struct sched *s)
{
	return s->active->len;
}

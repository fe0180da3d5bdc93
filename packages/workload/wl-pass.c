#include "wl-private.h"

#include <inttypes.h>

/* How many units that find no place may keep room for themselves, in order. */
#define RESERVATIONS_MAX 3
/* A gang whose members cannot all be found is started again after this. */
#define GANG_STALL (2 * NSEC_PER_SEC)
/* Checkpoints of a job are stored at most so often; all jobs share one write. */
#define CHECKPOINT_PERIOD (2 * NSEC_PER_SEC)
/* Work with more than this share of its objective to spare leaves the headroom alone. */
#define PATIENT_SHARE 0.25
/* No work waits longer than this because of the headroom: a full queue needs every worker. */
#define HEADROOM_WAIT (3 * NSEC_PER_SEC)
/* A job that takes so many times its objective is of no use to its caller any more. */
#define LATE_FACTOR 3
/* Room is made for an urgent unit so long before it is too late. */
#define PRESSED_MARGIN (500 * NSEC_PER_MSEC)
/* Without events, a pass after at most this. */
#define PASS_IDLE NSEC_PER_SEC

/* Compute the room of each worker from what is attached to it, and whether it takes more. */
static void compute_room(struct wl *w, int64_t now)
{
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];
		struct wl_task *t;

		n->free = (struct wl_room){.cores_m = n->capacity.cores_m,
			.memory_mb = n->capacity.memory_mb,
			.accelerators = n->capacity.accelerators};
		n->soon = n->free;
		n->usable = node_usable(n, now);
		n->kept_from = 0;
		TAILQ_FOREACH(t, &n->tasks, on_node) {
			struct wl_need need = task_need(t->unit->step);

			room_take(&n->free, &need);
			if (t->phase != TASK_STOPPING && t->phase != TASK_DONE)
				room_take(&n->soon, &need);
		}
		for (guint k = 0; k < n->ghosts->len; k++)
			room_take(&n->free, &((struct wl_ghost *)n->ghosts->pdata[k])->need);
	}
}

/* A unit whose turn has come, with its place in the order. */
struct candidate {
	struct wl_unit *unit;
	bool entitled;
	/* Time left until it must start to meet its objective; late ones go behind. */
	int64_t slack;
	/* 0: can be in time; 1: late, and still of use; 2: of no use to its caller any more. */
	int tier;
	/* Has more than a share of its objective left before it must start. */
	bool patient;
};

/* The longest chain of estimates from a step to the end of the job. */
static int64_t chain_from(struct wl_job *j, uint32_t step)
{
	int64_t behind = 0;

	for (uint32_t s = step + 1; s < j->spec.steps_len; s++) {
		for (uint32_t k = 0; k < j->spec.steps[s].after_len; k++) {
			if (j->spec.steps[s].after[k].step == step)
				behind = MAX(behind, chain_from(j, s));
		}
	}
	return step_estimate(j, &j->spec.steps[step]) + behind;
}

/* The longest chain of the whole job. */
static int64_t chain_of(struct wl_job *j)
{
	int64_t longest = 0;

	for (uint32_t s = 0; s < j->spec.steps_len; s++)
		longest = MAX(longest, chain_from(j, s));
	return longest;
}

/* Order: by priority; within, those that still can be in time by slack, then the late ones. */
static gint compare(gconstpointer pa, gconstpointer pb)
{
	const struct candidate *a = pa;
	const struct candidate *b = pb;
	const struct wl_job *ja = a->unit->job;
	const struct wl_job *jb = b->unit->job;

	if ((a->tier == 2) != (b->tier == 2))
		return a->tier == 2 ? 1 : -1;
	if (ja->priority != jb->priority)
		return ja->priority < jb->priority ? -1 : 1;
	if (a->entitled != b->entitled)
		return a->entitled ? -1 : 1;
	if (a->tier != b->tier)
		return a->tier < b->tier ? -1 : 1;
	if (a->slack != b->slack)
		return a->slack < b->slack ? -1 : 1;
	return a->unit < b->unit ? -1 : 1;
}

/* A gang that has lost members stops the rest, so that it can start again whole. */
static void mend_gang(struct wl_unit *u, int64_t now)
{
	uint32_t attached = 0;
	int64_t newest = 0;

	for (uint32_t i = 0; i < u->step->count; i++) {
		attached += u->tasks[i].node != NULL;
		newest = MAX(newest, MAX(u->tasks[i].placed_at, u->tasks[i].waiting_since));
	}
	if (attached == 0 || u->waiting == 0 || now - newest < GANG_STALL)
		return;
	unit_stop(u, now, "the gang is not whole", NULL);
}

/* Whether a unit may be placed now. */
static bool is_ready(struct wl_unit *u, int64_t now)
{
	if (u->is_done || u->waiting == 0 || u->retry_at > now || !unit_turn(u))
		return false;
	if (u->step->gang && u->waiting < u->step->count) {
		mend_gang(u, now);
		return false;
	}
	return true;
}

/* Add the units of a job that may be placed now. */
static void collect(struct wl *w, struct wl_job *j, int64_t now, GArray *out)
{
	int64_t chain = chain_of(j);

	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++) {
			struct wl_unit *u = &j->occurrences[k][s];
			struct candidate c = {.unit = u};
			int64_t goal;

			if (!is_ready(u, now))
				continue;
			if (u->ready_at == 0)
				u->ready_at = now;
			c.entitled = s == 0 && unit_entitled(w, u);
			goal = (int64_t)((double)chain * j->stretch) + j->target;
			c.slack = j->added_at + goal - now - chain_from(j, s);
			if (j->spec.repetitions > 0)
				c.slack = u->ready_at + goal - now - chain_from(j, s);
			c.patient = c.slack > (int64_t)(PATIENT_SHARE * (double)goal);
			if (c.slack < 0) {
				c.slack += (LATE_FACTOR - 1) * goal;
				c.tier = c.slack < 0 ? 2 : 1;
			}
			g_array_append_val(out, c);
		}
	}
}

/* Place the tasks of a plan: the orders go out once the places are stored. */
static void take_places(struct wl *w, struct wl_unit *u, const GArray *plan, int64_t now)
{
	uint32_t attempt = next_attempt(w, u->attempt);
	struct wl_job *j = u->job;

	for (guint i = 0; i < plan->len; i++) {
		const struct plan *p = &g_array_index(plan, struct plan, i);
		struct wl_task *t = p->task;

		task_attach(t, p->node, u->step->gang ? attempt : next_attempt(w, t->attempt));
		t->phase = TASK_PLACED;
		t->placed_version = j->version + 1;
		t->placed_at = now;
		t->running_at = 0;
		t->stop_sent = 0;
		event_log(EV_TASK_START,
			"task=%s.%u.%u.%u attempt=%u node=%s checkpoint=%s waited_ms=%" PRId64,
			j->spec.id, u->occurrence, u->step_index, t->index, t->attempt,
			p->node->name, t->checkpoint, (now - t->waiting_since) / NSEC_PER_MSEC);
	}
	if (j->state == WL_QUEUED)
		j->state = WL_RUNNING;
	job_dirty(j);
}

/* Take from both rooms what a plan on one of them has taken. */
static void mirror(const GArray *plan, enum plan_room taken)
{
	for (guint i = 0; i < plan->len; i++) {
		const struct plan *p = &g_array_index(plan, struct plan, i);
		struct wl_need need = task_need(p->task->unit->step);

		room_take(taken == PLAN_FREE ? &p->node->soon : &p->node->free, &need);
	}
}

/* Try one kind of room; the plan is kept where it places enough. */
static bool try_place(
	struct wl *w, struct wl_unit *u, int64_t now, enum plan_room room, GArray *plan)
{
	if (place_unit(w, u, now, room, false, plan) > 0)
		return true;
	return unit_is_local(u) && unit_may_spread(w, u, now) &&
	       place_unit(w, u, now, room, true, plan) > 0;
}

/* Whether an urgent unit will be late unless room is made for it now. */
static bool is_pressed(const struct wl *w, const struct candidate *c)
{
	return c->unit->job->priority == 0 && c->tier == 0 &&
	       c->slack < w->limits.stop_max + PRESSED_MARGIN;
}

/*
 * Whether room will come by itself before an urgent unit would be late: then nothing is stopped
 * for it, and that room is kept.
 */
static bool waits_for_room(struct wl *w, const struct candidate *c, int64_t now)
{
	int64_t claimed_by = c->unit->job->added_at + w->limits.reclaim_max -
			     w->limits.stop_max - RECLAIM_MARGIN;
	int64_t until = MIN(now + c->slack - PRESSED_MARGIN, claimed_by);

	return c->tier == 0 && until > now &&
	       keep_room(
		       w, c->unit, now, unit_may_spread(w, c->unit, now), KEEP_PROGRESS, until);
}

/* Place a unit, wait for room that is being freed, or make room for it. */
static void decide(struct wl *w, struct candidate *c, int64_t now, unsigned int *reservations)
{
	g_autoptr(GArray) plan = g_array_new(FALSE, FALSE, sizeof(struct plan));
	struct wl_unit *u = c->unit;

	if (try_place(w, u, now, PLAN_FREE, plan)) {
		mirror(plan, PLAN_FREE);
		take_places(w, u, plan, now);
		if (u->waiting == 0)
			return;
		g_array_set_size(plan, 0);
	}
	if (u->step->gang || u->job->priority == 0) {
		/* What is being stopped is kept for those that wait for it, in order. */
		if (try_place(w, u, now, PLAN_SOON, plan) && plan->len == u->waiting) {
			mirror(plan, PLAN_SOON);
			return;
		}
		plan_undo(plan, 0, PLAN_SOON);
	}
	if (c->entitled || is_pressed(w, c)) {
		if (waits_for_room(w, c, now))
			return;
		if (reclaim_for(w, u, now, c->entitled, plan)) {
			mirror(plan, PLAN_SOON);
			return;
		}
	}
	if (*reservations < RESERVATIONS_MAX) {
		(*reservations)++;
		keep_room(w, u, now, unit_may_spread(w, u, now), KEEP_ESTIMATES, INT64_MAX - 1);
	}
}

/* Have what runs have saved stored, now and then: a whole fleet may lose power. */
static void store_checkpoints(struct wl_job *j, int64_t now)
{
	if (!j->checkpoints_due || now - j->checkpoints_at < CHECKPOINT_PERIOD)
		return;
	j->checkpoints_due = false;
	j->checkpoints_at = now;
	job_dirty(j);
}

/* Whether something has happened since the last pass that may let work start. */
bool wl_wants_pass(const struct wl *w)
{
	return w->changed;
}

/* Place what can be placed. */
int64_t wl_pass(struct wl *w, int64_t now, int64_t wall)
{
	g_autoptr(GArray) order = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	unsigned int reservations = 0;
	bool chosen = false;
	int64_t next = PASS_IDLE;
	struct wl_job *j;

	if (w->config == NULL)
		return next;
	w->changed = false;
	health_check(w, now);
	compute_room(w, now);
	TAILQ_FOREACH(j, &w->list, entry) {
		int64_t due;

		if (wl_state_ended(j->state))
			continue;
		job_open_due(j, now, wall);
		store_checkpoints(j, now);
		due = job_next_due(j);
		if (due > 0)
			next = MIN(next, MAX(due - wall, NSEC_PER_MSEC));
		collect(w, j, now, order);
	}
	g_array_sort(order, compare);
	for (guint i = 0; i < order->len; i++) {
		struct candidate *c = &g_array_index(order, struct candidate, i);

		if (!chosen && c->unit->job->priority > 0) {
			headroom_choose(w);
			chosen = true;
		}
		w->may_use_headroom = c->unit->job->priority == 0 || c->tier > 0 ||
				      !c->patient || now - c->unit->ready_at > HEADROOM_WAIT;
		decide(w, c, now, &reservations);
	}
	return order->len > 0 ? MIN(next, 100 * NSEC_PER_MSEC) : next;
}

#include "wl-private.h"

#include <inttypes.h>

/* Weight of an accelerator in cores when lost work is compared. */
#define ACCELERATOR_CORES 8
/*
 * Core-seconds added to the lost work of a choice of victims for each point of the worker's
 * failure score; about the work of a whole worker in a few seconds.
 */
#define FAILURE_COST 100.0

/* Whether a unit is urgent and its organisation's urgent jobs are within its guarantee. */
bool unit_within_guarantee(struct wl *w, const struct wl_unit *u)
{
	const struct wl_org_demand *d = job_org_demand(w, u->job);

	return u->job->priority == URGENT_PRIORITY && d->guaranteed > 0 &&
	       d->urgent <= d->guaranteed;
}

/*
 * Whether the runs of a unit may be preempted. Those below urgent priority always may, urgent
 * ones only for a unit within its guarantee and if their own organisation exceeds its
 * guarantee. Units that limit unavailable tasks are never preempted.
 */
static bool may_preempt(struct wl *w, const struct wl_unit *u, bool within_guarantee)
{
	const struct wl_org_demand *d = job_org_demand(w, u->job);

	if (u->is_done || u->step->unavailable_max > 0)
		return false;
	if (u->job->priority > URGENT_PRIORITY)
		return true;
	if (!within_guarantee)
		return false;
	return !d->configured || d->urgent > d->guaranteed;
}

/* Work in core-seconds that is lost if a task is stopped now. */
static double task_lost_work(const struct wl *w, const struct wl_task *t, int64_t now)
{
	const struct wl_step *s = t->unit->step;
	double cores = s->cores_m / 1000.0 + ACCELERATOR_CORES * (double)s->accelerators;
	int64_t ran = t->running_at > 0 ? now - t->running_at : 0;

	/* Stopping saves a checkpoint: only the time to restore it is lost. */
	if (s->checkpoints)
		ran = MIN(ran, w->limits.restore);
	/* A long-running task loses one second of work, however long it ran. */
	if (s->long_running)
		ran = NSEC_PER_SEC;
	return cores * (double)MAX(ran, 0) / (double)NSEC_PER_SEC;
}

/* Work that is lost if a task is preempted; a gang is always preempted as a whole. */
static double victim_lost_work(const struct wl *w, const struct wl_task *t, int64_t now)
{
	double sum = 0;

	if (!t->unit->step->gang)
		return task_lost_work(w, t, now);
	for (uint32_t i = 0; i < t->unit->step->count; i++) {
		if (t->unit->tasks[i].node != NULL)
			sum += task_lost_work(w, &t->unit->tasks[i], now);
	}
	return sum;
}

/* The runs to be stopped for a unit, while they are being selected. */
struct preemption {
	GPtrArray *victims;
	double loss;	       /* core-seconds */
	bool within_guarantee; /* the unit is within its organisation's guarantee */
};

/* Whether a task or its gang is already selected. */
static bool is_victim(const struct preemption *c, const struct wl_task *t)
{
	for (guint i = 0; i < c->victims->len; i++) {
		const struct wl_task *v = c->victims->pdata[i];

		if (v == t || (v->unit == t->unit && v->unit->step->gang))
			return true;
	}
	return false;
}

/* Adds the resources that a victim and its gang would free, or deducts them again. */
static void adjust_available(const struct wl_task *v, bool add)
{
	struct wl_resources need = task_need(v->unit->step);
	const struct wl_unit *u = v->unit;

	for (uint32_t i = 0; i < u->step->count; i++) {
		struct wl_task *t = &u->tasks[i];

		if (t != v && !u->step->gang)
			continue;
		if (t->node == NULL || t->phase == TASK_STOPPING || t->phase == TASK_DONE)
			continue;
		if (add)
			resources_add(&t->node->free_after_stops, &need);
		else
			resources_deduct(&t->node->free_after_stops, &need);
	}
}

/* The run on a node that loses least work and would free resources that are short. */
static struct wl_task *cheapest_victim(struct wl *w, const struct wl_node *n,
	const struct preemption *c, const struct wl_resources *need, int64_t now)
{
	struct wl_task *t;
	struct wl_task *best = NULL;
	double lowest = 0;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		struct wl_resources frees = task_need(t->unit->step);
		double loss;

		if ((t->phase != TASK_RUNNING && t->phase != TASK_STARTING &&
			    t->phase != TASK_PLACED) ||
			!may_preempt(w, t->unit, c->within_guarantee) || is_victim(c, t))
			continue;
		/* Skip runs that free no resource that is short. */
		if (!((need->accelerators > n->free_after_stops.accelerators &&
			      frees.accelerators > 0) ||
			    (need->cores_m > n->free_after_stops.cores_m &&
				    frees.cores_m > 0) ||
			    (need->memory_mb > n->free_after_stops.memory_mb &&
				    frees.memory_mb > 0)))
			continue;
		loss = victim_lost_work(w, t, now);
		if (best == NULL || loss < lowest) {
			best = t;
			lowest = loss;
		}
	}
	return best;
}

/* Drops the victims from a position on and restores the loss without them. */
static void victims_truncate(struct preemption *c, guint from, double loss)
{
	for (guint i = from; i < c->victims->len; i++)
		adjust_available(c->victims->pdata[i], false);
	g_ptr_array_set_size(c->victims, (gint)from);
	c->loss = loss;
}

/* Selects victims on a node for one task; returns false with no change if that fails. */
static bool preempt_on_node(struct wl *w, struct wl_node *n, const struct wl_resources *need,
	struct preemption *c, int64_t now)
{
	guint from = c->victims->len;
	double loss = c->loss;

	while (!resources_fit(&n->free_after_stops, need)) {
		struct wl_task *v = cheapest_victim(w, n, c, need, now);

		if (v == NULL) {
			victims_truncate(c, from, loss);
			return false;
		}
		g_ptr_array_add(c->victims, v);
		c->loss += victim_lost_work(w, v, now);
		adjust_available(v, true);
	}
	return true;
}

/* Drops all victims and the placements from a position on, and restores the resources. */
static void preemption_undo(struct preemption *c, GArray *plan, guint from)
{
	placements_undo(plan, from, VIEW_AFTER_STOPS);
	victims_truncate(c, 0, 0);
}

/* Plans a task on the worker where preemption loses least work. */
static bool preempt_for_task(struct wl *w, struct wl_unit *u, struct wl_task *t, int64_t now,
	const char *rack, struct preemption *c, GArray *plan)
{
	struct wl_resources need = task_need(u->step);
	const GPtrArray *nodes = rack_nodes(w, rack);
	struct wl_node *best = NULL;
	double lowest = 0;
	struct placement p = {.task = t};

	for (guint i = 0; i < nodes->len; i++) {
		struct wl_node *n = nodes->pdata[i];
		guint from = c->victims->len;
		double before = c->loss;
		double loss;

		if (!node_eligible(n, u) || !below_worker_limit(u, n, plan) ||
			!preempt_on_node(w, n, &need, c, now))
			continue;
		loss = c->loss + node_unreliability(n, now) * FAILURE_COST;
		victims_truncate(c, from, before);
		if (best == NULL || loss < lowest) {
			best = n;
			lowest = loss;
		}
		if (loss <= before)
			break;
	}
	if (best == NULL || !preempt_on_node(w, best, &need, c, now))
		return false;
	resources_deduct(&best->free_after_stops, &need);
	p.node = best;
	g_array_append_val(plan, p);
	return true;
}

/* Plans all waiting tasks of a unit, within a rack if it is not NULL. */
static bool preempt_for_unit(struct wl *w, struct wl_unit *u, int64_t now, const char *rack,
	struct preemption *c, GArray *plan)
{
	for (uint32_t i = 0; i < u->step->count; i++) {
		if (u->tasks[i].phase != TASK_WAITING || u->tasks[i].node != NULL)
			continue;
		if (!preempt_for_task(w, u, &u->tasks[i], now, rack, c, plan))
			return false;
	}
	return true;
}

/* Plans all waiting tasks within the rack where preemption loses least work. */
static bool preempt_in_rack(
	struct wl *w, struct wl_unit *u, int64_t now, struct preemption *c, GArray *plan)
{
	const GPtrArray *racks = list_racks(w);
	const char *best = NULL;
	double lowest = 0;
	guint from = plan->len;

	for (guint i = 0; i < racks->len; i++) {
		const char *rack = ((struct wl_rack *)racks->pdata[i])->name;

		if (preempt_for_unit(w, u, now, rack, c, plan) &&
			(best == NULL || c->loss < lowest)) {
			best = rack;
			lowest = c->loss;
		}
		preemption_undo(c, plan, from);
	}
	return best != NULL && preempt_for_unit(w, u, now, best, c, plan);
}

/* Work in core-seconds of the waiting tasks of a unit. */
static double waiting_work(const struct wl_unit *u)
{
	const struct wl_step *s = u->step;
	double cores = s->cores_m / 1000.0 + ACCELERATOR_CORES * (double)s->accelerators;

	return cores * u->waiting_count * (double)step_estimate(u->job, s) /
	       (double)NSEC_PER_SEC;
}

/*
 * Preempts other runs, that is, stops them to free resources for an urgent unit, losing as
 * little work as possible. If the unit is not within its organisation's guarantee, the lost
 * work never exceeds the estimated work of its waiting tasks. Appends the unit's placements to
 * the plan, on VIEW_AFTER_STOPS.
 */
bool preempt_for_urgent_unit(
	struct wl *w, struct wl_unit *u, int64_t now, bool within_guarantee, GArray *plan)
{
	struct preemption c = {
		.victims = g_ptr_array_new(), .within_guarantee = within_guarantee};
	g_autoptr(GPtrArray) victims = c.victims;
	guint from = plan->len;
	bool ok = false;

	if (u->step->data_rack != NULL)
		ok = preempt_for_unit(w, u, now, u->data_rack, &c, plan);
	else if (u->step->rack_local)
		ok = preempt_in_rack(w, u, now, &c, plan);
	if (!ok && unit_may_spread(w, u, now)) {
		preemption_undo(&c, plan, from);
		ok = preempt_for_unit(w, u, now, NULL, &c, plan);
	}
	if (!ok || (!within_guarantee && c.loss > waiting_work(u))) {
		preemption_undo(&c, plan, from);
		return false;
	}
	for (guint i = 0; i < victims->len; i++) {
		struct wl_task *v = victims->pdata[i];

		if (v->unit->step->gang)
			unit_stop(v->unit, now, "preempted by an urgent job", u->job->spec.id);
		else
			task_stop(v, now, "preempted by an urgent job", u->job->spec.id);
	}
	return true;
}

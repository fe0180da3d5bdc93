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
	struct wl_unit *u = t->unit;

	if (!u->step->gang)
		return task_lost_work(w, t, now);
	if (u->lost_work_at == now)
		return u->lost_work;
	u->lost_work = 0;
	u->lost_work_at = now;
	for (uint32_t i = 0; i < u->step->count; i++) {
		if (u->tasks[i].node != NULL)
			u->lost_work += task_lost_work(w, &u->tasks[i], now);
	}
	return u->lost_work;
}

/* A run that may be stopped for the unit. */
struct preemptible {
	struct wl_task *task;
	double loss; /* core-seconds */
	guint position;
};

/* A worker on which the next task of the unit may be placed. */
struct preempt_option {
	struct wl_node *node;
	GArray *runs; /* of struct preemptible, those that lose least work first; or NULL */
	guint first;  /* those before it are victims */
	bool possible;
	double cost; /* lost work, and what the worker's failures add */
};

/* The runs to be stopped for a unit, while they are being selected. */
struct preemption {
	GPtrArray *victims;
	double loss;	       /* core-seconds */
	bool within_guarantee; /* the unit is within its organisation's guarantee */
	struct wl_resources need;
	int64_t now;
};

/* Whether a task or its gang is already selected. */
static bool is_victim(const struct wl_task *t)
{
	return t->unit->step->gang ? t->unit->victim : t->victim;
}

static void set_victim(struct wl_task *t, bool victim)
{
	if (t->unit->step->gang)
		t->unit->victim = victim;
	else
		t->victim = victim;
}

/* Adds the resources that stopping a run would free, or deducts them again. */
static void adjust_for_run(struct wl_task *t, const struct wl_resources *need, bool add)
{
	if (t->node == NULL || t->phase == TASK_STOPPING || t->phase == TASK_DONE)
		return;
	if (add)
		resources_add(&t->node->free_after_stops, need);
	else
		resources_deduct(&t->node->free_after_stops, need);
}

/* Adds the resources that a victim and its gang would free, or deducts them again. */
static void adjust_available(struct wl_task *v, bool add)
{
	struct wl_resources need = task_need(v->unit->step);

	if (!v->unit->step->gang) {
		adjust_for_run(v, &need, add);
		return;
	}
	for (uint32_t i = 0; i < v->unit->step->count; i++)
		adjust_for_run(&v->unit->tasks[i], &need, add);
}

static gint compare_preemptible(gconstpointer pa, gconstpointer pb)
{
	const struct preemptible *a = pa;
	const struct preemptible *b = pb;

	if (a->loss != b->loss)
		return a->loss < b->loss ? -1 : 1;
	return a->position < b->position ? -1 : 1;
}

/* Lists the runs on a worker that may be stopped, those that lose least work first. */
static GArray *list_preemptible(
	struct wl *w, const struct wl_node *n, const struct preemption *c)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct preemptible));
	struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		struct preemptible p = {.task = t, .position = out->len};

		if ((t->phase != TASK_RUNNING && t->phase != TASK_STARTING &&
			    t->phase != TASK_PLACED) ||
			!may_preempt(w, t->unit, c->within_guarantee))
			continue;
		p.loss = victim_lost_work(w, t, c->now);
		g_array_append_val(out, p);
	}
	g_array_sort(out, compare_preemptible);
	return out;
}

/* Whether stopping a run would free a resource that is short on a worker. */
static bool frees_short_resource(
	const struct wl_node *n, const struct wl_task *t, const struct wl_resources *need)
{
	const struct wl_available *left = &n->free_after_stops;
	struct wl_resources frees = task_need(t->unit->step);

	return (need->accelerators > left->accelerators && frees.accelerators > 0) ||
	       (need->cores_m > left->cores_m && frees.cores_m > 0) ||
	       (need->memory_mb > left->memory_mb && frees.memory_mb > 0);
}

/* Drops the victims from a position on and restores the loss without them. */
static void victims_truncate(struct preemption *c, guint from, double loss)
{
	for (guint i = from; i < c->victims->len; i++) {
		adjust_available(c->victims->pdata[i], false);
		set_victim(c->victims->pdata[i], false);
	}
	g_ptr_array_set_size(c->victims, (gint)from);
	c->loss = loss;
}

/*
 * Selects victims on a worker for one task; returns false with no change if that fails. What is
 * short only shrinks meanwhile, so a run that frees none of it is not looked at again.
 */
static bool preempt_on_node(struct wl *w, struct preempt_option *o, struct preemption *c)
{
	struct wl_node *n = o->node;
	guint from = c->victims->len;
	double loss = c->loss;

	if (resources_fit(&n->free_after_stops, &c->need))
		return true;
	if (o->runs == NULL)
		o->runs = list_preemptible(w, n, c);
	for (guint i = o->first; i < o->runs->len; i++) {
		const struct preemptible *p = &g_array_index(o->runs, struct preemptible, i);

		if (is_victim(p->task) || !frees_short_resource(n, p->task, &c->need))
			continue;
		g_ptr_array_add(c->victims, p->task);
		set_victim(p->task, true);
		c->loss += p->loss;
		adjust_available(p->task, true);
		if (resources_fit(&n->free_after_stops, &c->need))
			return true;
	}
	victims_truncate(c, from, loss);
	return false;
}

/* Drops all victims and the placements from a position on, and restores the resources. */
static void preemption_undo(struct preemption *c, GArray *plan, guint from)
{
	placements_undo(plan, from, VIEW_AFTER_STOPS);
	victims_truncate(c, 0, 0);
}

/* Computes what it costs to place the next task on a worker. */
static void option_update(struct wl *w, struct preempt_option *o, struct preemption *c)
{
	guint from = c->victims->len;
	double before = c->loss;

	while (o->runs != NULL && o->first < o->runs->len &&
		is_victim(g_array_index(o->runs, struct preemptible, o->first).task))
		o->first++;
	c->loss = 0;
	o->possible = preempt_on_node(w, o, c);
	o->cost = c->loss + node_unreliability(o->node, c->now) * FAILURE_COST;
	victims_truncate(c, from, before);
	o->node->preempt_stale = false;
}

/* Marks the workers on which a victim and its gang run as changed. */
static void mark_victim_workers(const struct wl_task *v)
{
	for (uint32_t i = 0; v->unit->step->gang && i < v->unit->step->count; i++) {
		if (v->unit->tasks[i].node != NULL)
			v->unit->tasks[i].node->preempt_stale = true;
	}
	v->node->preempt_stale = true;
}

/*
 * Plans a task on the worker where preemption loses least work. Only workers on which something
 * has changed since the last task are looked at anew.
 */
static bool preempt_for_task(struct wl *w, struct wl_unit *u, struct wl_task *t,
	GArray *options, struct preemption *c, GArray *plan)
{
	struct preempt_option *best = NULL;
	struct placement p = {.task = t};
	guint from = c->victims->len;

	for (guint i = 0; i < options->len; i++) {
		struct preempt_option *o = &g_array_index(options, struct preempt_option, i);

		if (!below_worker_limit(u, o->node, plan))
			continue;
		if (o->node->preempt_stale)
			option_update(w, o, c);
		if (o->possible && (best == NULL || o->cost < best->cost))
			best = o;
		if (best != NULL && best->cost <= 0)
			break;
	}
	if (best == NULL || !preempt_on_node(w, best, c))
		return false;
	for (guint i = from; i < c->victims->len; i++)
		mark_victim_workers(c->victims->pdata[i]);
	p.node = best->node;
	resources_deduct(&p.node->free_after_stops, &c->need);
	p.node->preempt_stale = true;
	worker_counts_add(p.node);
	g_array_append_val(plan, p);
	return true;
}

static void option_clear(void *arg)
{
	struct preempt_option *o = arg;

	if (o->runs != NULL)
		g_array_unref(o->runs);
}

/* Plans all waiting tasks of a unit, within a rack if it is not NULL. */
static bool preempt_for_unit(
	struct wl *w, struct wl_unit *u, const char *rack, struct preemption *c, GArray *plan)
{
	g_autoptr(GArray) options = g_array_new(FALSE, FALSE, sizeof(struct preempt_option));
	const GPtrArray *nodes = rack_nodes(w, rack);

	worker_counts_reset(w);
	g_array_set_clear_func(options, option_clear);
	for (guint i = 0; i < nodes->len; i++) {
		struct preempt_option o = {.node = nodes->pdata[i]};

		o.node->preempt_stale = true;
		if (node_eligible(o.node, u))
			g_array_append_val(options, o);
	}
	for (uint32_t i = 0; i < u->step->count; i++) {
		if (u->tasks[i].phase != TASK_WAITING || u->tasks[i].node != NULL)
			continue;
		if (!preempt_for_task(w, u, &u->tasks[i], options, c, plan))
			return false;
	}
	return true;
}

/* Plans all waiting tasks within the rack where preemption loses least work. */
static bool preempt_in_rack(struct wl *w, struct wl_unit *u, struct preemption *c, GArray *plan)
{
	const GPtrArray *racks = list_racks(w);
	const char *best = NULL;
	double lowest = 0;
	guint from = plan->len;

	for (guint i = 0; i < racks->len; i++) {
		const char *rack = ((struct wl_rack *)racks->pdata[i])->name;

		if (preempt_for_unit(w, u, rack, c, plan) &&
			(best == NULL || c->loss < lowest)) {
			best = rack;
			lowest = c->loss;
		}
		preemption_undo(c, plan, from);
	}
	return best != NULL && preempt_for_unit(w, u, best, c, plan);
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
	struct preemption c = {.victims = g_ptr_array_new(),
		.within_guarantee = within_guarantee,
		.need = task_need(u->step),
		.now = now};
	g_autoptr(GPtrArray) victims = c.victims;
	guint from = plan->len;
	bool ok = false;

	if (u->step->data_rack != NULL)
		ok = preempt_for_unit(w, u, u->data_rack, &c, plan);
	else if (u->step->rack_local)
		ok = preempt_in_rack(w, u, &c, plan);
	if (!ok && unit_may_spread(w, u, now)) {
		preemption_undo(&c, plan, from);
		ok = preempt_for_unit(w, u, NULL, &c, plan);
	}
	if (!ok || (!within_guarantee && c.loss > waiting_work(u))) {
		preemption_undo(&c, plan, from);
		return false;
	}
	for (guint i = 0; i < victims->len; i++) {
		struct wl_task *v = victims->pdata[i];

		set_victim(v, false);
		if (v->unit->step->gang)
			unit_stop(v->unit, now, "preempted by an urgent job", u->job->spec.id);
		else
			task_stop(v, now, "preempted by an urgent job", u->job->spec.id);
	}
	return true;
}

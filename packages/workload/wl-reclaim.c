#include "wl-private.h"

#include <inttypes.h>

/* An accelerator counts as so many cores when lost work is weighed. */
#define ACCELERATOR_CORES 8

/*
 * Accelerators that an organisation's urgent jobs need together: of all that have not ended,
 * counting the widest step of each.
 */
static uint64_t urgent_demand(const struct wl *w, const char *org)
{
	const struct wl_job *j;
	uint64_t sum = 0;

	TAILQ_FOREACH(j, &w->list, entry) {
		uint64_t widest = 0;

		if (j->priority != 0 || wl_state_ended(j->state) ||
			g_strcmp0(j->spec.org, org) != 0)
			continue;
		for (uint32_t s = 0; s < j->spec.steps_len; s++)
			widest = MAX(widest, (uint64_t)j->spec.steps[s].count *
						     j->spec.steps[s].accelerators);
		sum += widest;
	}
	return sum;
}

/* Whether a unit may take back what its organisation is guaranteed. */
bool unit_entitled(const struct wl *w, const struct wl_unit *u)
{
	const struct wl_org *org = wl_config_org(w->config, u->job->spec.org);

	return u->job->priority == 0 && org != NULL && org->guaranteed > 0 &&
	       urgent_demand(w, org->name) <= org->guaranteed;
}

/*
 * Whether the runs of a unit may be stopped: those of lower priority always, urgent ones beyond
 * their organisation's guarantee only for one within its own.
 */
static bool may_preempt(const struct wl *w, const struct wl_unit *u, bool entitled)
{
	const struct wl_org *org;

	if (u->is_done || u->step->unavailable_max > 0)
		return false;
	if (u->job->priority > 0)
		return true;
	if (!entitled)
		return false;
	org = wl_config_org(w->config, u->job->spec.org);
	return org == NULL || urgent_demand(w, org->name) > org->guaranteed;
}

/* Core-seconds that are lost if a task is stopped now. */
static double task_lost_work(const struct wl *w, const struct wl_task *t, int64_t now)
{
	const struct wl_step *s = t->unit->step;
	double cores = s->cores_m / 1000.0 + ACCELERATOR_CORES * (double)s->accelerators;
	int64_t ran = t->running_at > 0 ? now - t->running_at : 0;

	/* A stop saves what was done. */
	if (s->checkpoints)
		ran = MIN(ran, w->limits.restore);
	if (s->long_running)
		ran = NSEC_PER_SEC;
	return cores * (double)MAX(ran, 0) / (double)NSEC_PER_SEC;
}

/* What is lost if a task's run goes: a gang goes whole. */
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

/* A set of victims under construction. */
struct preemption {
	GPtrArray *victims;
	double loss;
	bool entitled;
};

/* Whether a task is already among the victims, by itself or with its gang. */
static bool is_victim(const struct preemption *c, const struct wl_task *t)
{
	for (guint i = 0; i < c->victims->len; i++) {
		const struct wl_task *v = c->victims->pdata[i];

		if (v == t || (v->unit == t->unit && v->unit->step->gang))
			return true;
	}
	return false;
}

/* Give back, or take again, the room that a victim would free everywhere. */
static void adjust_available(const struct wl_task *v, bool give)
{
	struct wl_need need = task_need(v->unit->step);
	const struct wl_unit *u = v->unit;

	for (uint32_t i = 0; i < u->step->count; i++) {
		struct wl_task *t = &u->tasks[i];

		if (t != v && !u->step->gang)
			continue;
		if (t->node == NULL || t->phase == TASK_STOPPING || t->phase == TASK_DONE)
			continue;
		if (give)
			resources_add(&t->node->free_after_stops, &need);
		else
			resources_deduct(&t->node->free_after_stops, &need);
	}
}

/* The cheapest run on a node that may be stopped and is not yet a victim. */
static struct wl_task *cheapest_victim(const struct wl *w, const struct wl_node *n,
	const struct preemption *c, const struct wl_need *need, int64_t now)
{
	struct wl_task *t;
	struct wl_task *best = NULL;
	double lowest = 0;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		struct wl_need frees = task_need(t->unit->step);
		double loss;

		if ((t->phase != TASK_RUNNING && t->phase != TASK_STARTING &&
			    t->phase != TASK_PLACED) ||
			!may_preempt(w, t->unit, c->entitled) || is_victim(c, t))
			continue;
		/* A run that frees none of what is short is no help. */
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

/* Make room for one task on a node; false, with nothing changed, where that cannot be. */
static bool preempt_on_node(struct wl *w, struct wl_node *n, const struct wl_need *need,
	struct preemption *c, int64_t now)
{
	guint from = c->victims->len;
	double loss = c->loss;

	while (!resources_fit(&n->free_after_stops, need)) {
		struct wl_task *v = cheapest_victim(w, n, c, need, now);

		if (v == NULL) {
			while (c->victims->len > from) {
				adjust_available(c->victims->pdata[c->victims->len - 1], false);
				g_ptr_array_set_size(c->victims, (gint)c->victims->len - 1);
			}
			c->loss = loss;
			return false;
		}
		g_ptr_array_add(c->victims, v);
		c->loss += victim_lost_work(w, v, now);
		adjust_available(v, true);
	}
	return true;
}

/* Undo what a claim has done to the room, from a plan position on. */
static void preemption_undo(struct preemption *c, GArray *plan, guint from)
{
	placements_undo(plan, from, VIEW_AFTER_STOPS);
	for (guint i = 0; i < c->victims->len; i++)
		adjust_available(c->victims->pdata[i], false);
	g_ptr_array_set_size(c->victims, 0);
	c->loss = 0;
}

/* Make room for one more task of a unit where that loses least. */
static bool preempt_for_task(struct wl *w, struct wl_unit *u, struct wl_task *t, int64_t now,
	const char *rack, struct preemption *c, GArray *plan)
{
	struct wl_need need = task_need(u->step);
	struct wl_node *best = NULL;
	double lowest = 0;
	struct placement p = {.task = t};

	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];
		struct preemption trial = {.victims = g_ptr_array_copy(c->victims, NULL, NULL),
			.loss = c->loss,
			.entitled = c->entitled};
		double loss;

		if (node_eligible(n, u) && (rack == NULL || g_strcmp0(rack, n->rack) == 0) &&
			below_worker_limit(u, n, plan) &&
			preempt_on_node(w, n, &need, &trial, now)) {
			/* Suspicion weighs as much as a few seconds of a whole worker. */
			loss = trial.loss + node_strikes(n, now) * 100.0;
			for (guint k = c->victims->len; k < trial.victims->len; k++)
				adjust_available(trial.victims->pdata[k], false);
			if (best == NULL || loss < lowest) {
				best = n;
				lowest = loss;
			}
		}
		g_ptr_array_unref(trial.victims);
	}
	if (best == NULL || !preempt_on_node(w, best, &need, c, now))
		return false;
	resources_deduct(&best->free_after_stops, &need);
	p.node = best;
	g_array_append_val(plan, p);
	return true;
}

/* Make room for all waiting tasks of a unit, in one rack where rack is not NULL. */
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

/* Try each rack; the one that loses least is claimed. */
static bool preempt_in_rack(
	struct wl *w, struct wl_unit *u, int64_t now, struct preemption *c, GArray *plan)
{
	const char *best = NULL;
	double lowest = 0;
	guint from = plan->len;

	for (guint i = 0; i < w->nodes->len; i++) {
		const struct wl_node *n = w->nodes->pdata[i];
		bool first = n->rack != NULL;

		for (guint k = 0; k < i && first; k++)
			first = g_strcmp0(((struct wl_node *)w->nodes->pdata[k])->rack,
					n->rack) != 0;
		if (!first)
			continue;
		if (preempt_for_unit(w, u, now, n->rack, c, plan) &&
			(best == NULL || c->loss < lowest)) {
			best = n->rack;
			lowest = c->loss;
		}
		preemption_undo(c, plan, from);
	}
	return best != NULL && preempt_for_unit(w, u, now, best, c, plan);
}

/* Core-seconds of work that the waiting tasks of a unit are. */
static double waiting_work(const struct wl_unit *u)
{
	const struct wl_step *s = u->step;
	double cores = s->cores_m / 1000.0 + ACCELERATOR_CORES * (double)s->accelerators;

	return cores * u->waiting * (double)step_estimate(u->job, s) / (double)NSEC_PER_SEC;
}

/*
 * Stop other runs to make room for an urgent unit, losing as little work as can be; one without
 * a guarantee never loses more than it is. Its places are added to the plan, counted on the
 * room that will be free soon.
 */
bool reclaim_for_unit(struct wl *w, struct wl_unit *u, int64_t now, bool entitled, GArray *plan)
{
	struct preemption c = {.victims = g_ptr_array_new(), .entitled = entitled};
	g_autoptr(GPtrArray) victims = c.victims;
	guint from = plan->len;
	bool ok = false;

	if (u->step->data_rack != NULL)
		ok = preempt_for_unit(w, u, now, u->step->data_rack, &c, plan);
	else if (u->step->rack_local)
		ok = preempt_in_rack(w, u, now, &c, plan);
	if (!ok && unit_may_spread(w, u, now)) {
		preemption_undo(&c, plan, from);
		ok = preempt_for_unit(w, u, now, NULL, &c, plan);
	}
	if (!ok || (!entitled && c.loss > waiting_work(u))) {
		preemption_undo(&c, plan, from);
		return false;
	}
	for (guint i = 0; i < victims->len; i++) {
		struct wl_task *v = victims->pdata[i];

		if (v->unit->step->gang)
			unit_stop(v->unit, now, "its room is guaranteed to another",
				u->job->spec.id);
		else
			task_stop(v, now, "its room is guaranteed to another", u->job->spec.id);
	}
	return true;
}

#include "wl-private.h"

#include <inttypes.h>

/* An accelerator counts as so many cores when lost work is weighed. */
#define ACCELERATOR_CORES 8

/*
 * Accelerators that an organisation's urgent jobs need together: of all that have not ended,
 * counting the widest step of each.
 */
static uint64_t urgent_need(const struct wl *w, const char *org)
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
	       urgent_need(w, org->name) <= org->guaranteed;
}

/*
 * Whether the runs of a unit may be stopped: those of lower priority always, urgent ones beyond
 * their organisation's guarantee only for one within its own.
 */
static bool may_stop(const struct wl *w, const struct wl_unit *u, bool entitled)
{
	const struct wl_org *org;

	if (u->is_done || u->step->unavailable_max > 0)
		return false;
	if (u->job->priority > 0)
		return true;
	if (!entitled)
		return false;
	org = wl_config_org(w->config, u->job->spec.org);
	return org == NULL || urgent_need(w, org->name) > org->guaranteed;
}

/* Core-seconds that are lost if a task is stopped now. */
static double task_loss(const struct wl *w, const struct wl_task *t, int64_t now)
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
static double victim_loss(const struct wl *w, const struct wl_task *t, int64_t now)
{
	double sum = 0;

	if (!t->unit->step->gang)
		return task_loss(w, t, now);
	for (uint32_t i = 0; i < t->unit->step->count; i++) {
		if (t->unit->tasks[i].node != NULL)
			sum += task_loss(w, &t->unit->tasks[i], now);
	}
	return sum;
}

/* A set of victims under construction. */
struct claim {
	GPtrArray *victims;
	double loss;
	bool entitled;
};

/* Whether a task is already among the victims, by itself or with its gang. */
static bool is_victim(const struct claim *c, const struct wl_task *t)
{
	for (guint i = 0; i < c->victims->len; i++) {
		const struct wl_task *v = c->victims->pdata[i];

		if (v == t || (v->unit == t->unit && v->unit->step->gang))
			return true;
	}
	return false;
}

/* Give back, or take again, the room that a victim would free everywhere. */
static void shift_room(const struct wl_task *v, bool give)
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
			room_give(&t->node->soon, &need);
		else
			room_take(&t->node->soon, &need);
	}
}

/* The cheapest run on a node that may be stopped and is not yet a victim. */
static struct wl_task *cheapest(const struct wl *w, const struct wl_node *n,
	const struct claim *c, const struct wl_need *need, int64_t now)
{
	struct wl_task *t;
	struct wl_task *best = NULL;
	double least = 0;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		struct wl_need frees = task_need(t->unit->step);
		double loss;

		if ((t->phase != TASK_RUNNING && t->phase != TASK_STARTING &&
			    t->phase != TASK_PLACED) ||
			!may_stop(w, t->unit, c->entitled) || is_victim(c, t))
			continue;
		/* A run that frees none of what is short is no help. */
		if (!((need->accelerators > n->soon.accelerators && frees.accelerators > 0) ||
			    (need->cores_m > n->soon.cores_m && frees.cores_m > 0) ||
			    (need->memory_mb > n->soon.memory_mb && frees.memory_mb > 0)))
			continue;
		loss = victim_loss(w, t, now);
		if (best == NULL || loss < least) {
			best = t;
			least = loss;
		}
	}
	return best;
}

/* Make room for one task on a node; false, with nothing changed, where that cannot be. */
static bool make_room(struct wl *w, struct wl_node *n, const struct wl_need *need,
	struct claim *c, int64_t now)
{
	guint from = c->victims->len;
	double loss = c->loss;

	while (!room_fits(&n->soon, need)) {
		struct wl_task *v = cheapest(w, n, c, need, now);

		if (v == NULL) {
			while (c->victims->len > from) {
				shift_room(c->victims->pdata[c->victims->len - 1], false);
				g_ptr_array_set_size(c->victims, (gint)c->victims->len - 1);
			}
			c->loss = loss;
			return false;
		}
		g_ptr_array_add(c->victims, v);
		c->loss += victim_loss(w, v, now);
		shift_room(v, true);
	}
	return true;
}

/* Undo what a claim has done to the room, from a plan position on. */
static void claim_undo(struct claim *c, GArray *plan, guint from)
{
	plan_undo(plan, from, PLAN_SOON);
	for (guint i = 0; i < c->victims->len; i++)
		shift_room(c->victims->pdata[i], false);
	g_ptr_array_set_size(c->victims, 0);
	c->loss = 0;
}

/* Make room for one more task of a unit where that loses least. */
static bool claim_one(struct wl *w, struct wl_unit *u, struct wl_task *t, int64_t now,
	const char *rack, struct claim *c, GArray *plan)
{
	struct wl_need need = task_need(u->step);
	struct wl_node *best = NULL;
	double least = 0;
	struct plan p = {.task = t};

	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];
		struct claim trial = {.victims = g_ptr_array_copy(c->victims, NULL, NULL),
			.loss = c->loss,
			.entitled = c->entitled};
		double loss;

		if (node_suits(n, u) && (rack == NULL || g_strcmp0(rack, n->rack) == 0) &&
			spread_allows(u, n, plan) && make_room(w, n, &need, &trial, now)) {
			/* Suspicion weighs as much as a few seconds of a whole worker. */
			loss = trial.loss + node_strikes(n, now) * 100.0;
			for (guint k = c->victims->len; k < trial.victims->len; k++)
				shift_room(trial.victims->pdata[k], false);
			if (best == NULL || loss < least) {
				best = n;
				least = loss;
			}
		}
		g_ptr_array_unref(trial.victims);
	}
	if (best == NULL || !make_room(w, best, &need, c, now))
		return false;
	room_take(&best->soon, &need);
	p.node = best;
	g_array_append_val(plan, p);
	return true;
}

/* Make room for all waiting tasks of a unit, in one rack where rack is not NULL. */
static bool claim_all(struct wl *w, struct wl_unit *u, int64_t now, const char *rack,
	struct claim *c, GArray *plan)
{
	for (uint32_t i = 0; i < u->step->count; i++) {
		if (u->tasks[i].phase != TASK_WAITING || u->tasks[i].node != NULL)
			continue;
		if (!claim_one(w, u, &u->tasks[i], now, rack, c, plan))
			return false;
	}
	return true;
}

/* Try each rack; the one that loses least is claimed. */
static bool claim_in_rack(
	struct wl *w, struct wl_unit *u, int64_t now, struct claim *c, GArray *plan)
{
	const char *best = NULL;
	double least = 0;
	guint from = plan->len;

	for (guint i = 0; i < w->nodes->len; i++) {
		const struct wl_node *n = w->nodes->pdata[i];
		bool first = n->rack != NULL;

		for (guint k = 0; k < i && first; k++)
			first = g_strcmp0(((struct wl_node *)w->nodes->pdata[k])->rack,
					n->rack) != 0;
		if (!first)
			continue;
		if (claim_all(w, u, now, n->rack, c, plan) &&
			(best == NULL || c->loss < least)) {
			best = n->rack;
			least = c->loss;
		}
		claim_undo(c, plan, from);
	}
	return best != NULL && claim_all(w, u, now, best, c, plan);
}

/* Core-seconds of work that the waiting tasks of a unit are. */
static double own_work(const struct wl_unit *u)
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
bool reclaim_for(struct wl *w, struct wl_unit *u, int64_t now, bool entitled, GArray *plan)
{
	struct claim c = {.victims = g_ptr_array_new(), .entitled = entitled};
	g_autoptr(GPtrArray) victims = c.victims;
	guint from = plan->len;
	bool ok = false;

	if (u->step->data_rack != NULL)
		ok = claim_all(w, u, now, u->step->data_rack, &c, plan);
	else if (u->step->rack_local)
		ok = claim_in_rack(w, u, now, &c, plan);
	if (!ok && unit_may_spread(w, u, now)) {
		claim_undo(&c, plan, from);
		ok = claim_all(w, u, now, NULL, &c, plan);
	}
	if (!ok || (!entitled && c.loss > own_work(u))) {
		claim_undo(&c, plan, from);
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

#include "wl-private.h"

/* A unit waits for its rack up to this share of the time that it would lose elsewhere. */
#define SPREAD_WAIT_SHARE 0.5
/* Added to the score of a rack for slow workers in the plan; above all other scores. */
#define SLOW_RACK_COST INT32_MAX
/* The same for cold workers; above the score of slow ones. */
#define COLD_RACK_COST (2 * (int64_t)INT32_MAX)
/* The same for each task on a worker whose speed isn't the one that the unit prefers. */
#define UNSUITED_COST 1000000
/* A task waits this long for reservations on workers that would otherwise be idle. */
#define IDLE_WAIT_MAX (1500 * NSEC_PER_MSEC)
/* Workers with a higher failure score are used only if no other fits. */
#define FAILURE_SCORE_AVOID 0.7

/* Whether the available resources cover a request. */
bool resources_fit(const struct wl_available *r, const struct wl_resources *n)
{
	return r->cores_m >= n->cores_m && r->memory_mb >= n->memory_mb &&
	       r->accelerators >= n->accelerators;
}

void resources_deduct(struct wl_available *r, const struct wl_resources *n)
{
	r->cores_m -= n->cores_m;
	r->memory_mb -= n->memory_mb;
	r->accelerators -= n->accelerators;
}

void resources_add(struct wl_available *r, const struct wl_resources *n)
{
	r->cores_m += n->cores_m;
	r->memory_mb += n->memory_mb;
	r->accelerators += n->accelerators;
}

/* Whether a worker has an interned label. */
static bool has_label(const struct wl_node *n, const char *label)
{
	for (guint i = 0; i < n->labels->len; i++) {
		if (n->labels->pdata[i] == label)
			return true;
	}
	return false;
}

/* Whether a worker accepts tasks of a unit in this pass; doesn't check its resources. */
bool node_eligible(const struct wl_node *n, const struct wl_unit *u)
{
	return n->usable && (!n->headroom || n->wl->may_use_headroom) && speed_allows(n) &&
	       probation_allows(n, u, n->wl->pass_at) && n->service == u->job->service &&
	       (u->label == NULL || has_label(n, u->label));
}

void worker_counts_reset(struct wl *w)
{
	w->counts_serial++;
	w->counted = false;
}

void worker_counts_add(struct wl_node *n)
{
	if (!n->wl->counted)
		return;
	n->unit_tasks = n->counts_serial == n->wl->counts_serial ? n->unit_tasks + 1 : 1;
	n->counts_serial = n->wl->counts_serial;
}

/* Number of tasks of a unit on a worker, including the planned ones. */
static uint32_t count_on_node(
	const struct wl_unit *u, const struct wl_node *n, const GArray *plan)
{
	struct wl *w = n->wl;

	if (!w->counted) {
		w->counted = true;
		for (uint32_t i = 0; i < u->step->count; i++) {
			if (u->tasks[i].node != NULL)
				worker_counts_add(u->tasks[i].node);
		}
		for (guint i = 0; i < plan->len; i++) {
			const struct placement *p = &g_array_index(plan, struct placement, i);

			if (p->task->unit == u)
				worker_counts_add(p->node);
		}
	}
	return n->counts_serial == w->counts_serial ? n->unit_tasks : 0;
}

/*
 * Whether per_worker_max allows one more task of a unit on a worker. One on probation gets a
 * single task.
 */
bool below_worker_limit(const struct wl_unit *u, const struct wl_node *n, const GArray *plan)
{
	uint32_t max = probation_applies(n, n->wl->pass_at) ? 1 : u->step->per_worker_max;

	return max == 0 || count_on_node(u, n, plan) < max;
}

/* Whether a worker is slow for a while, as it has just started; counts only with evacuation. */
bool node_is_cold(const struct wl_node *n, int64_t now)
{
	return n->wl->limits.evacuation_max > 0 && n->cold_until > now;
}

/* Cost of placing a task on a worker, most significant first; lower is better. */
struct place_cost {
	double unreliability;
	bool cold; /* slow, as it has just started */
	int64_t off_rack;
	int64_t unsuited; /* slow for a gang member, not slow for a task by itself */
	int64_t at_risk;  /* cores in use beside a task that may crash the worker */
	int64_t accelerators_left;
	int64_t cores_left;
};

static struct place_cost compute_cost(const struct wl_node *n, const struct wl_available *r,
	const struct wl_task *t, const struct wl_resources *need, int64_t now)
{
	double score = node_unreliability(n, now) + (t->avoid_node == n ? 1.0 : 0.0);
	const char *data_rack = t->unit->data_rack;

	return (struct place_cost){.unreliability = score > FAILURE_SCORE_AVOID ? score : 0,
		.cold = node_is_cold(n, now),
		.off_rack = data_rack != NULL && data_rack != n->rack,
		.unsuited = service_speeds(n->wl, n->service) != NULL
				    ? speed_rank(n)
				    : node_is_slow(n) == t->unit->step->gang,
		.at_risk = task_is_suspect(t) ? n->capacity.cores_m - r->cores_m : 0,
		.accelerators_left = r->accelerators - need->accelerators,
		.cores_left = r->cores_m - need->cores_m};
}

/*
 * Prefers reliable workers, then those that are not cold, then the rack of the data, then
 * speed, then, for a task that may crash the worker, where little else runs, then the tightest
 * fit.
 */
static bool cost_is_lower(const struct place_cost *a, const struct place_cost *b)
{
	if (a->unreliability != b->unreliability)
		return a->unreliability < b->unreliability;
	if (a->cold != b->cold)
		return !a->cold;
	if (a->off_rack != b->off_rack)
		return a->off_rack < b->off_rack;
	if (a->unsuited != b->unsuited)
		return a->unsuited < b->unsuited;
	if (a->at_risk != b->at_risk)
		return a->at_risk < b->at_risk;
	if (a->accelerators_left != b->accelerators_left)
		return a->accelerators_left < b->accelerators_left;
	return a->cores_left < b->cores_left;
}

/* Available resources of a node in a view. */
static struct wl_available *available_on(struct wl_node *n, enum placement_view view)
{
	return view == VIEW_FREE ? &n->free : &n->free_after_stops;
}

/*
 * Whether a task ends before a worker's reservation begins, or fits beside it. A task that has
 * waited for IDLE_WAIT_MAX may also use a reserved worker of a service that is half idle.
 */
static bool respects_reservation(const struct wl_node *n, const struct wl_task *t,
	const struct wl_resources *need, int64_t now)
{
	return n->reserved_from == 0 ||
	       now + speed_scale(n, step_estimate(t->unit->job, t->unit->step)) <=
		       n->reserved_from ||
	       resources_fit(&n->unreserved, need) ||
	       (now - t->waiting_since > IDLE_WAIT_MAX &&
		       service_is_half_idle(n->wl, n->service));
}

/* A worker that fits a task of the unit that is being placed. */
struct place_option {
	struct wl_node *node;
	struct place_cost cost;
	guint position; /* breaks ties */
};

/* Orders options by cost, then by position. */
static gint compare_options(gconstpointer pa, gconstpointer pb)
{
	const struct place_option *a = pa;
	const struct place_option *b = pb;

	if (cost_is_lower(&a->cost, &b->cost))
		return -1;
	if (cost_is_lower(&b->cost, &a->cost))
		return 1;
	return a->position < b->position ? -1 : 1;
}

/*
 * The workers of a rack, or of all if it is NULL, that fit a task; cheapest first. If others
 * would fit but for crash_allows, sets excluded to the one with the fewest runs to be proven.
 */
static GArray *list_options(struct wl *w, const struct wl_task *t, int64_t now,
	enum placement_view view, const char *rack, const GArray *plan,
	struct wl_node **excluded)
{
	struct wl_resources need = task_need(t->unit->step);
	const GPtrArray *nodes = rack_nodes(w, rack);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct place_option));

	for (guint i = 0; i < nodes->len; i++) {
		struct wl_node *n = nodes->pdata[i];
		struct wl_available *r = available_on(n, view);
		struct place_option o = {.node = n, .position = i};

		if (!resources_fit(r, &need) || !node_eligible(n, t->unit) ||
			!respects_reservation(n, t, &need, now) ||
			!below_worker_limit(t->unit, n, plan))
			continue;
		if (!crash_allows(n, t, plan, now)) {
			if (*excluded == NULL || node_is_isolated(*excluded, now) ||
				(!node_is_isolated(n, now) &&
					n->unproven < (*excluded)->unproven))
				*excluded = n;
			continue;
		}
		o.cost = compute_cost(n, r, t, &need, now);
		g_array_append_val(out, o);
	}
	g_array_sort(out, compare_options);
	return out;
}

/* Returns the next waiting task of a unit from an index on, or NULL. */
static struct wl_task *next_waiting(struct wl_unit *u, uint32_t *index)
{
	while (*index < u->step->count) {
		struct wl_task *t = &u->tasks[(*index)++];

		if (t->phase == TASK_WAITING && t->node == NULL)
			return t;
	}
	return NULL;
}

/*
 * Plans the waiting tasks of a unit; returns how many were placed. All tasks request the same,
 * and a worker that takes one is a tighter fit for the next: each worker is filled before the
 * next cheapest one is used. The workers are listed anew for tasks that avoid another one, and
 * for those that may crash their worker, which start by themselves.
 */
static uint32_t place_tasks(struct wl *w, struct wl_unit *u, int64_t now,
	enum placement_view view, const char *rack, GArray *out)
{
	struct wl_resources need = task_need(u->step);
	g_autoptr(GArray) options = NULL;
	const struct wl_node *avoided = NULL;
	bool isolated = false;
	struct wl_node *excluded = NULL;
	uint32_t placed = 0;
	uint32_t index = 0;
	guint next = 0;
	struct placement p;

	worker_counts_reset(w);
	while ((p.task = next_waiting(u, &index)) != NULL) {
		bool suspect = !u->step->gang && task_is_suspect(p.task);

		if (options == NULL || p.task->avoid_node != avoided || suspect || isolated) {
			if (options != NULL)
				g_array_unref(options);
			options = list_options(w, p.task, now, view, rack, out, &excluded);
			avoided = p.task->avoid_node;
			isolated = suspect;
			next = 0;
		}
		for (p.node = NULL; next < options->len; next++) {
			p.node = g_array_index(options, struct place_option, next).node;
			if (resources_fit(available_on(p.node, view), &need) &&
				below_worker_limit(u, p.node, out))
				break;
			p.node = NULL;
		}
		if (p.node == NULL && excluded != NULL)
			crash_hold(p.task, excluded, now);
		if (p.node == NULL)
			break;
		resources_deduct(available_on(p.node, view), &need);
		worker_counts_add(p.node);
		g_array_append_val(out, p);
		placed++;
	}
	return placed;
}

/* Removes the placements from a position on and returns their resources. */
void placements_undo(GArray *plan, guint from, enum placement_view view)
{
	for (guint i = from; i < plan->len; i++) {
		const struct placement *p = &g_array_index(plan, struct placement, i);
		struct wl_resources need = task_need(p->task->unit->step);

		resources_add(available_on(p->node, view), &need);
	}
	g_array_set_size(plan, from);
}

void rack_free(void *arg)
{
	struct wl_rack *r = arg;

	name_free(r->name);
	g_ptr_array_unref(r->nodes);
	free(r);
}

static struct wl_rack *rack_find(const struct wl *w, const char *name)
{
	for (guint i = 0; i < w->racks->len; i++) {
		struct wl_rack *r = w->racks->pdata[i];

		if (r->name == name)
			return r;
	}
	return NULL;
}

const GPtrArray *list_racks(struct wl *w)
{
	if (!w->racks_stale)
		return w->racks;
	w->racks_stale = false;
	g_ptr_array_set_size(w->racks, 0);
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];
		struct wl_rack *r = rack_find(w, n->rack);

		if (n->rack == NULL || n->instance_id == NULL)
			continue;
		if (r == NULL) {
			r = xcalloc(1, sizeof(*r));
			name_set(&r->name, n->rack);
			r->nodes = g_ptr_array_new();
			g_ptr_array_add(w->racks, r);
		}
		g_ptr_array_add(r->nodes, n);
	}
	return w->racks;
}

const GPtrArray *rack_nodes(struct wl *w, const char *rack)
{
	const struct wl_rack *r;

	if (rack == NULL)
		return w->nodes;
	list_racks(w);
	r = rack_find(w, rack);
	return r != NULL ? r->nodes : w->no_nodes;
}

/*
 * Rack in which tasks of a unit already run, or NULL. Those in an evacuated zone don't count:
 * the others can't join them.
 */
const char *rack_in_use(const struct wl_unit *u)
{
	for (uint32_t i = 0; i < u->step->count; i++) {
		if (u->tasks[i].node != NULL && !u->tasks[i].node->evacuated)
			return u->tasks[i].node->rack;
	}
	return NULL;
}

/*
 * Weighted sum of what remains free on the workers of a plan: 1000 per accelerator and 1 per
 * core. A worker counts once for each of its tasks in the plan. A slow worker outweighs all of
 * that, and a cold one that too.
 */
static int64_t free_capacity_score(const GArray *plan, guint from, enum placement_view view)
{
	int64_t sum = 0;
	int64_t unsuited = 0;
	bool has_cold = false;
	bool has_slow = false;
	bool uneven = false;

	for (guint i = from; i < plan->len; i++) {
		struct wl_node *n = g_array_index(plan, struct placement, i).node;

		sum += available_on(n, view)->accelerators * 1000 +
		       available_on(n, view)->cores_m / 1000;
		has_cold |= node_is_cold(n, n->wl->pass_at);
		has_slow |= node_is_slow(n);
		unsuited += speed_rank(n);
		uneven |= service_speeds(n->wl, n->service) != NULL;
	}
	sum += has_cold ? COLD_RACK_COST : 0;
	if (uneven)
		return sum + unsuited * UNSUITED_COST;
	return sum + (has_slow ? SLOW_RACK_COST : 0);
}

/* Plans a rack-local unit completely within one rack, the one with the tightest fit. */
static uint32_t place_in_rack(
	struct wl *w, struct wl_unit *u, int64_t now, enum placement_view view, GArray *out)
{
	const GPtrArray *racks = list_racks(w);
	const char *only = rack_in_use(u);
	const char *best = NULL;
	int64_t least = INT64_MAX;
	guint from = out->len;

	for (guint i = 0; i < racks->len; i++) {
		const char *rack = ((struct wl_rack *)racks->pdata[i])->name;
		uint32_t placed;
		int64_t cost;

		if (only != NULL && only != rack)
			continue;
		placed = place_tasks(w, u, now, view, rack, out);
		cost = free_capacity_score(out, from, view);
		placements_undo(out, from, view);
		if (placed == u->waiting_count && cost < least) {
			least = cost;
			best = rack;
		}
	}
	return best != NULL ? place_tasks(w, u, now, view, best, out) : 0;
}

/*
 * Plans the waiting tasks of a unit, for a gang all or none, and deducts their resources from
 * the view. anywhere allows tasks outside the preferred rack. Returns how many were placed.
 */
uint32_t place_unit(struct wl *w, struct wl_unit *u, int64_t now, enum placement_view view,
	bool anywhere, GArray *out)
{
	guint from = out->len;
	uint32_t placed;

	if (u->step->rack_local && u->step->data_rack == NULL && !anywhere)
		return place_in_rack(w, u, now, view, out);
	placed = place_tasks(w, u, now, view, anywhere ? NULL : u->data_rack, out);
	if (u->step->gang && placed < u->waiting_count) {
		placements_undo(out, from, view);
		return 0;
	}
	return placed;
}

/* Whether a worker would accept tasks of a unit if it were reachable and healthy. */
static bool node_potentially_eligible(const struct wl_node *n, const struct wl_unit *u)
{
	return !n->has_left && !n->draining && !n->evacuated && n->instance_id != NULL &&
	       n->service == u->job->service && (u->label == NULL || has_label(n, u->label));
}

/*
 * Whether some rack, only the data's rack if there is one, could hold the unit if it were empty
 * and its workers reachable: all tasks of a gang or a rack-local step, else at least one task.
 * Also true while any node awaits its report, but only if such a rack is known from the nodes
 * that have reported; if none is known, returns false.
 */
bool preferred_rack_possible(struct wl *w, const struct wl_unit *u)
{
	const GPtrArray *racks = list_racks(w);
	struct wl_resources need = task_need(u->step);
	bool awaiting = false;

	for (guint i = 0; i < w->nodes->len && !awaiting; i++)
		awaiting = ((struct wl_node *)w->nodes->pdata[i])->awaiting_report;
	for (guint i = 0; i < racks->len; i++) {
		const struct wl_rack *rack = racks->pdata[i];
		uint64_t fitting = 0;

		if (u->data_rack != NULL && u->data_rack != rack->name)
			continue;
		if (awaiting)
			return true;
		for (guint k = 0; k < rack->nodes->len; k++) {
			const struct wl_node *n = rack->nodes->pdata[k];
			uint64_t here = u->step->count;

			if (!node_potentially_eligible(n, u))
				continue;
			if (need.cores_m > 0)
				here = MIN(here, n->capacity.cores_m / need.cores_m);
			if (need.memory_mb > 0)
				here = MIN(here, n->capacity.memory_mb / need.memory_mb);
			if (need.accelerators > 0)
				here = MIN(here, n->capacity.accelerators / need.accelerators);
			if (u->step->per_worker_max > 0)
				here = MIN(here, u->step->per_worker_max);
			fitting += here;
		}
		if (fitting >= (u->step->gang || u->step->rack_local ? u->step->count : 1))
			return true;
	}
	return false;
}

/* Whether a unit should run within one rack or in the rack of its data. */
bool unit_prefers_rack(const struct wl_unit *u)
{
	return u->step->rack_local || u->step->data_rack != NULL;
}

/*
 * Whether a unit may be placed outside its preferred rack: if none can hold it, if it has
 * waited for SPREAD_WAIT_SHARE of the time that it would lose elsewhere, or if waiting any
 * longer would miss the start time of its guarantee.
 */
bool unit_may_spread(struct wl *w, const struct wl_unit *u, int64_t now)
{
	int64_t waited = now - u->ready_at;
	double lost = (w->limits.remote_penalty - 1) * (double)step_estimate(u->job, u->step);

	if (!unit_prefers_rack(u) || !preferred_rack_possible(w, u) ||
		(double)waited > SPREAD_WAIT_SHARE * lost)
		return true;
	return waited > w->limits.reclaim_max - w->limits.stop_max - GUARANTEED_START_MARGIN &&
	       unit_within_guarantee(w, u);
}

#include "wl-private.h"

/*
 * Reservations for units that cannot be placed yet, on the workers that will be able to hold
 * them at the earliest time. Units later in the order may use such a worker only if they end
 * before the reservation begins or fit beside it (backfilling). Without reservations, small
 * tasks would keep workers from ever becoming free enough for large ones, which would starve.
 */

/* Expected end of a run and the resources that it frees. */
struct pending_release {
	int64_t at;
	struct wl_resources freed;
};

/* Compares by time, the first member of both structs that are sorted here. */
static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Returns when a worker will be able to hold a request, INT64_MAX for never, and stores what
 * will be available then.
 */
static int64_t available_at(const struct wl_node *n, const struct wl_resources *need,
	int64_t now, enum reservation_basis basis, struct wl_available *available)
{
	g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(struct pending_release));
	const struct wl_task *t;

	*available = n->free;
	TAILQ_FOREACH(t, &n->tasks, on_node) {
		struct pending_release release = {.at = now, .freed = task_need(t->unit->step)};

		if (t->unit->step->long_running && t->phase == TASK_RUNNING)
			continue;
		if (basis == RESERVE_BY_PROGRESS && t->phase != TASK_STOPPING &&
			t->phase != TASK_DONE && !task_has_progress_rate(t))
			continue;
		if (t->phase == TASK_PLACED || t->phase == TASK_STARTING)
			release.at = now +
				     speed_scale(n, step_estimate(t->unit->job, t->unit->step));
		else if (t->phase == TASK_RUNNING)
			release.at = now + task_remaining(t, now);
		g_array_append_val(ends, release);
	}
	if (resources_fit(available, need))
		return now;
	g_array_sort(ends, compare_times);
	for (guint i = 0; i < ends->len; i++) {
		const struct pending_release *release =
			&g_array_index(ends, struct pending_release, i);

		resources_add(available, &release->freed);
		if (resources_fit(available, need))
			return release->at;
	}
	return INT64_MAX;
}

/* How often a request fits into the available resources, up to a limit. */
static uint32_t count_fitting(
	struct wl_available available, const struct wl_resources *need, uint32_t max)
{
	uint32_t n = 0;

	while (n < max && resources_fit(&available, need)) {
		resources_deduct(&available, need);
		n++;
	}
	return n;
}

/* A reservation on one worker: when it begins, and what it leaves to others. */
struct reservation {
	int64_t at;
	struct wl_node *node;
	struct wl_available remainder;
};

/* Workers without a reservation that will be able to hold a task of the unit, by time. */
static GArray *reservation_candidates(
	struct wl *w, const struct wl_unit *u, int64_t now, enum reservation_basis basis)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct reservation));
	struct wl_resources need = task_need(u->step);

	for (guint i = 0; i < w->nodes->len; i++) {
		struct reservation r = {.node = w->nodes->pdata[i]};

		if (!node_eligible(r.node, u) || r.node->reserved_from != 0)
			continue;
		r.at = available_at(r.node, &need, now, basis, &r.remainder);
		if (r.at != INT64_MAX)
			g_array_append_val(out, r);
	}
	g_array_sort(out, compare_times);
	return out;
}

/*
 * Plans reservations for all waiting tasks, within a rack if it is not NULL; returns when the
 * last one can start, INT64_MAX for never.
 */
static int64_t plan_reservations(const struct wl_unit *u, int64_t now, const GArray *candidates,
	const char *rack, GArray *out)
{
	struct wl_resources need = task_need(u->step);
	uint32_t remaining = u->waiting_count;
	int64_t last = now;

	g_array_set_size(out, 0);
	for (guint i = 0; i < candidates->len && remaining > 0; i++) {
		struct reservation r = g_array_index(candidates, struct reservation, i);
		uint32_t fitting;

		if (rack != NULL && rack != r.node->rack)
			continue;
		fitting = count_fitting(r.remainder, &need, remaining);
		for (uint32_t n = 0; n < fitting; n++)
			resources_deduct(&r.remainder, &need);
		remaining -= fitting;
		last = MAX(last, r.at);
		g_array_append_val(out, r);
	}
	return remaining > 0 ? INT64_MAX : last;
}

/*
 * Plans the reservations with which the last of the waiting tasks starts as early as possible.
 * Returns when that is, INT64_MAX for never.
 */
static int64_t plan_earliest(struct wl *w, const struct wl_unit *u, int64_t now, bool anywhere,
	enum reservation_basis basis, GArray *best)
{
	g_autoptr(GArray) trial = g_array_new(FALSE, FALSE, sizeof(struct reservation));
	g_autoptr(GArray) candidates = reservation_candidates(w, u, now, basis);
	const GPtrArray *racks = list_racks(w);
	int64_t earliest = INT64_MAX;

	if (!u->step->rack_local || u->step->data_rack != NULL || anywhere)
		return plan_reservations(
			u, now, candidates, anywhere ? NULL : u->data_rack, best);
	for (guint i = 0; i < racks->len; i++) {
		const struct wl_rack *rack = racks->pdata[i];
		int64_t at = plan_reservations(u, now, candidates, rack->name, trial);

		if (at >= earliest)
			continue;
		earliest = at;
		g_array_set_size(best, 0);
		g_array_append_vals(best, trial->data, trial->len);
	}
	return earliest;
}

/*
 * Reserves resources for the waiting tasks of a unit where the last of them can start earliest.
 * Reserves nothing and returns false if that is after until.
 */
bool reserve_resources(struct wl *w, struct wl_unit *u, int64_t now, bool anywhere,
	enum reservation_basis basis, int64_t until)
{
	g_autoptr(GArray) best = g_array_new(FALSE, FALSE, sizeof(struct reservation));
	int64_t earliest = plan_earliest(w, u, now, anywhere, basis, best);

	if (earliest == INT64_MAX || earliest > until)
		return false;
	for (guint i = 0; i < best->len; i++) {
		const struct reservation *r = &g_array_index(best, struct reservation, i);

		/* The members of a gang start together. */
		r->node->reserved_from = u->step->gang ? earliest : MAX(r->at, now + 1);
		r->node->unreserved = r->remainder;
	}
	return true;
}

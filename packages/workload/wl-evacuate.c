#include "wl-private.h"

#include <inttypes.h>

/*
 * Evacuated zones: their workers get no new tasks until the operator takes the zone back.
 *
 * Load that this answers: a zone is emptied while its workers are full and the other zones are
 * busy. What ends soon, or would lose its work, goes on; other runs move by their checkpoints,
 * as fast as the other zones have room, and after the units that wait already.
 *
 * The zones are known as of the last answer of the store. While that is too old, nothing is
 * placed or started anywhere, since any zone may have been evacuated meanwhile.
 */

/* Time between the decision to start a task and the worker's start of it. */
#define START_TIME_MAX NSEC_PER_SEC
/* Units whose runs are being stopped at a time to move them. */
#define MOVES_MAX 4

GAUGE(evacuated_runs, "damaskpath_evacuated_runs", "Runs left in evacuated zones.");
GAUGE(evacuated_zones, "damaskpath_evacuated_zones", "Zones that are evacuated.");

/* A zone that is evacuated. */
struct evacuation {
	char *zone; /* interned */
	int64_t since;
};

static void evacuation_clear(void *arg)
{
	struct evacuation *e = arg;

	name_free(e->zone);
}

GArray *evacuations_new(void)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct evacuation));

	g_array_set_clear_func(a, evacuation_clear);
	return a;
}

/* Whether the evacuated zones are known as of a time that is recent enough to start tasks. */
bool evacuation_view_current(const struct wl *w, int64_t now)
{
	int64_t max = w->limits.evacuation_max;

	if (max == 0)
		return true;
	return w->evacuations_read_at != 0 &&
	       now - w->evacuations_read_at <= MAX(max - START_TIME_MAX, max / 2);
}

/* Whether a node's worker may get no tasks; one of an unknown zone may be in any. */
bool evacuation_covers(const struct wl_node *n)
{
	const struct wl *w = n->wl;

	for (guint i = 0; i < w->evacuations->len; i++) {
		if (n->zone == NULL ||
			g_array_index(w->evacuations, struct evacuation, i).zone == n->zone)
			return true;
	}
	return false;
}

/*
 * Cancels a start. The other members of a gang can't run without it: their starts are cancelled
 * too, and their runs stopped.
 */
static void cancel_start(struct wl_task *t, int64_t now)
{
	struct wl_unit *u = t->unit;

	t->start_cancelled = true;
	task_cancel_start(t, now);
	for (uint32_t i = 0; u->step->gang && i < u->step->count; i++) {
		struct wl_task *m = &u->tasks[i];

		if (m->phase == TASK_STARTING) {
			m->start_cancelled = true;
			task_cancel_start(m, now);
		} else if (m->phase == TASK_PLACED || m->phase == TASK_RUNNING) {
			task_stop(m, now, "the start of a gang member was cancelled", NULL);
		}
	}
}

/* Cancels the starts on a worker that it hasn't confirmed. */
static void cancel_unconfirmed_starts(struct wl_node *n, int64_t now)
{
	struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		if (t->phase == TASK_STARTING)
			cancel_start(t, now);
	}
}

/* Decides anew whether a node is evacuated, after its zone or the list has changed. */
static void update_node(struct wl_node *n, int64_t now)
{
	bool before = n->evacuated;

	n->evacuated = evacuation_covers(n);
	if (n->evacuated == before)
		return;
	n->wl->racks_stale = true;
	n->wl->changed = true;
	if (!n->evacuated)
		return;
	node_release_unsent(n, now);
	cancel_unconfirmed_starts(n, now);
}

void wl_node_set_zone(struct wl *w, int64_t now, const char *node, const char *zone)
{
	struct wl_node *n = node_get_or_create(w, node);

	name_set(&n->zone, zone != NULL && *zone != '\0' ? zone : NULL);
	update_node(n, now);
}

/* Counts the workers of a zone and their runs. */
static void count_zone(
	const struct wl *w, const char *zone, unsigned int *workers, unsigned int *runs)
{
	const struct wl_task *t;

	*workers = 0;
	*runs = 0;
	for (guint i = 0; i < w->nodes->len; i++) {
		const struct wl_node *n = w->nodes->pdata[i];

		if (n->zone != zone || n->instance_id == NULL)
			continue;
		(*workers)++;
		TAILQ_FOREACH(t, &n->tasks, on_node)
			(*runs)++;
	}
}

static bool is_listed(const char *zone, const struct wl_zone *zones, uint32_t len)
{
	for (uint32_t i = 0; i < len; i++) {
		if (strcmp(zones[i].name, zone) == 0)
			return true;
	}
	return false;
}

static bool is_known(const struct wl *w, const char *zone)
{
	for (guint i = 0; i < w->evacuations->len; i++) {
		if (strcmp(g_array_index(w->evacuations, struct evacuation, i).zone, zone) == 0)
			return true;
	}
	return false;
}

/* Drops the zones that have been taken back. Returns whether there are any. */
static bool drop_returned(
	struct wl *w, int64_t now, const struct wl_zone *zones, uint32_t zones_len)
{
	bool changed = false;

	for (guint i = w->evacuations->len; i > 0; i--) {
		const struct evacuation *e =
			&g_array_index(w->evacuations, struct evacuation, i - 1);
		unsigned int workers;
		unsigned int runs;

		if (is_listed(e->zone, zones, zones_len))
			continue;
		count_zone(w, e->zone, &workers, &runs);
		event_log(EV_ZONE_RETURNED, "zone=%s workers=%u runs=%u after_s=%" PRId64,
			e->zone, workers, runs, (now - e->since) / NSEC_PER_SEC);
		g_array_remove_index(w->evacuations, i - 1);
		changed = true;
	}
	return changed;
}

/* Adds the zones that have been evacuated. Returns whether there are any. */
static bool add_evacuated(
	struct wl *w, int64_t now, const struct wl_zone *zones, uint32_t zones_len)
{
	bool changed = false;

	for (uint32_t i = 0; i < zones_len; i++) {
		struct evacuation e = {.since = now};
		unsigned int workers;
		unsigned int runs;

		if (is_known(w, zones[i].name))
			continue;
		name_set(&e.zone, zones[i].name);
		count_zone(w, e.zone, &workers, &runs);
		event_log(EV_ZONE_EVACUATED,
			"zone=%s revision=%" PRId64 " age_ms=%" PRId64 " workers=%u runs=%u",
			e.zone, zones[i].revision,
			(now - w->evacuations_read_at) / NSEC_PER_MSEC, workers, runs);
		g_array_append_val(w->evacuations, e);
		changed = true;
	}
	return changed;
}

/* Sends the starts that were held back while the zones were not known. */
static void send_held_starts(struct wl *w, int64_t now)
{
	struct wl_job *j;

	if (!w->starts_held || !evacuation_view_current(w, now))
		return;
	w->starts_held = false;
	w->changed = true;
	TAILQ_FOREACH(j, &w->list, entry) {
		if (!wl_state_ended(j->state))
			job_send_starts(j, now);
	}
}

void wl_set_evacuated(struct wl *w, int64_t now, int64_t read_at, const struct wl_zone *zones,
	uint32_t zones_len)
{
	bool changed;

	/* The answer to an earlier request may come after that to a later one. */
	if (w->limits.evacuation_max == 0 || read_at < w->evacuations_read_at)
		return;
	if (!evacuation_view_current(w, now))
		w->changed = true;
	w->evacuations_read_at = read_at;
	changed = drop_returned(w, now, zones, zones_len);
	changed |= add_evacuated(w, now, zones, zones_len);
	for (guint i = 0; changed && i < w->nodes->len; i++)
		update_node(w->nodes->pdata[i], now);
	counter_set(&evacuated_zones, w->evacuations->len);
	if (w->evacuations->len == 0)
		counter_set(&evacuated_runs, 0);
	send_held_starts(w, now);
}

/* Tasks of a step that are not running, besides those that wait for a dependency. */
static uint32_t count_away(const struct wl_unit *u)
{
	uint32_t away = 0;

	for (uint32_t i = 0; i < u->step->count; i++)
		away += u->tasks[i].phase != TASK_RUNNING && u->tasks[i].phase != TASK_DONE;
	return away;
}

/* Whether a run should go elsewhere: it would stay for long, and moving it loses little. */
static bool should_move(const struct wl_task *t, int64_t now)
{
	const struct wl_step *s = t->unit->step;
	uint64_t stopped = s->gang ? s->count : 1;

	if (t->phase != TASK_RUNNING || t->unit->is_done)
		return false;
	if (s->unavailable_max > 0 && count_away(t->unit) + stopped > s->unavailable_max)
		return false;
	if (s->long_running)
		return true;
	return s->checkpoints &&
	       task_remaining(t, now) > t->unit->job->wl->limits.evacuation_max;
}

/* Whether the tasks of a unit that move need a rack for all of them. */
static bool needs_rack(const struct wl_unit *u)
{
	return u->step->rack_local && u->step->data_rack == NULL;
}

/* How many tasks of a unit need room elsewhere, if one on an evacuated worker leaves. */
static uint32_t count_to_move(const struct wl_unit *u)
{
	uint32_t n = 0;

	/* Rack-local tasks move one by one, but all of them to the same rack. */
	if (!u->step->gang && needs_rack(u) && rack_in_use(u) == NULL)
		return u->step->count - u->done_count;
	if (!u->step->gang)
		return 1;
	/* A gang stays in one rack, if it is in one. */
	if (u->step->rack_local)
		return u->step->count;
	for (uint32_t i = 0; i < u->step->count; i++)
		n += u->tasks[i].node == NULL || u->tasks[i].node->evacuated;
	return n;
}

/*
 * Whether a run that moves may use a worker. One with a reservation is kept for the units that
 * wait, one on probation takes a single task, and beside an isolated run nothing starts.
 */
static bool accepts_moves(const struct wl_node *n, const struct wl_unit *u)
{
	return node_eligible(n, u) && n->reserved_from == 0 &&
	       !probation_applies(n, n->wl->pass_at) && !node_is_isolated(n, n->wl->pass_at);
}

/*
 * Deducts what tasks of a unit need from the free resources of other workers, in one rack if it
 * is not NULL. Deducts nothing and returns false if they don't fit.
 */
static bool take_room(struct wl *w, struct wl_unit *u, uint32_t tasks, const char *rack)
{
	const GPtrArray *nodes = rack_nodes(w, rack);
	g_autoptr(GPtrArray) taken = g_ptr_array_new();
	g_autoptr(GArray) plan = g_array_new(FALSE, FALSE, sizeof(struct placement));
	struct wl_resources need = task_need(u->step);

	worker_counts_reset(w);
	for (guint i = 0; i < nodes->len && taken->len < tasks; i++) {
		struct wl_node *n = nodes->pdata[i];

		if (!accepts_moves(n, u))
			continue;
		while (taken->len < tasks && resources_fit(&n->free, &need) &&
			below_worker_limit(u, n, plan)) {
			resources_deduct(&n->free, &need);
			worker_counts_add(n);
			g_ptr_array_add(taken, n);
		}
	}
	if (taken->len == tasks)
		return true;
	for (guint i = 0; i < taken->len; i++)
		resources_add(&((struct wl_node *)taken->pdata[i])->free, &need);
	return false;
}

/* Whether the other zones have room for tasks of a unit now; the room is taken then. */
static bool find_room(struct wl *w, struct wl_unit *u)
{
	uint32_t tasks = count_to_move(u);
	const GPtrArray *racks = list_racks(w);
	const char *only = u->step->gang ? NULL : rack_in_use(u);

	if (!needs_rack(u))
		return take_room(w, u, tasks, NULL);
	for (guint i = 0; i < racks->len; i++) {
		const char *rack = ((struct wl_rack *)racks->pdata[i])->name;

		if ((only == NULL || only == rack) && take_room(w, u, tasks, rack))
			return true;
	}
	return false;
}

/* Whether a task of a unit is being stopped to move. */
static bool unit_is_moving(const struct wl_unit *u)
{
	for (uint32_t i = 0; i < u->step->count; i++) {
		if (u->tasks[i].phase == TASK_STOPPING && u->tasks[i].moving)
			return true;
	}
	return false;
}

/*
 * Takes the room that runs need which are being stopped to move, so that no others are stopped
 * for the same. Returns the number of their units.
 */
static unsigned int take_room_of_moves(struct wl *w)
{
	g_autoptr(GHashTable) units = g_hash_table_new(g_direct_hash, g_direct_equal);
	const struct wl_task *t;

	for (guint i = 0; i < w->nodes->len; i++) {
		TAILQ_FOREACH(t, &((struct wl_node *)w->nodes->pdata[i])->tasks, on_node) {
			if (t->phase != TASK_STOPPING || !t->moving)
				continue;
			w->may_use_headroom = t->unit->job->priority == URGENT_PRIORITY;
			if (g_hash_table_add(units, t->unit) || !t->unit->step->gang)
				find_room(w, t->unit);
		}
	}
	return g_hash_table_size(units);
}

/* Stops a run, of a gang all, so that it is placed in another zone. */
static void move_run(struct wl_task *t, int64_t now)
{
	struct wl_unit *u = t->unit;

	if (!u->step->gang) {
		task_stop(t, now, "its zone is evacuated", NULL);
		t->moving = t->phase == TASK_STOPPING;
		return;
	}
	unit_stop(u, now, "its zone is evacuated", NULL);
	for (uint32_t i = 0; i < u->step->count; i++)
		u->tasks[i].moving = u->tasks[i].phase == TASK_STOPPING;
}

/* Stops the runs on a worker that should move and have room elsewhere. */
static void move_from_node(struct wl *w, struct wl_node *n, int64_t now, unsigned int *moves)
{
	struct wl_task *t;

	TAILQ_FOREACH(t, &n->tasks, on_node) {
		if (*moves >= MOVES_MAX)
			return;
		/* With per_worker_max the next one counts only what is placed. */
		if (!should_move(t, now) ||
			(t->unit->step->per_worker_max > 0 && unit_is_moving(t->unit)))
			continue;
		w->may_use_headroom = t->unit->job->priority == URGENT_PRIORITY;
		if (!find_room(w, t->unit))
			continue;
		(*moves)++;
		move_run(t, now);
	}
}

/*
 * Cancels what has not started in evacuated zones, and moves runs away. To be called once the
 * waiting units of a pass have been scheduled: what is free then is left over. With a view that
 * is too old nothing can be placed, so nothing is moved. headroom_selected tells that the pass
 * has selected the headroom, which it does only if units wait that have to leave it.
 */
void evacuation_move_runs(struct wl *w, int64_t now, bool headroom_selected)
{
	unsigned int moves;
	unsigned int runs = 0;
	const struct wl_task *t;

	if (w->evacuations->len == 0)
		return;
	if (!headroom_selected)
		headroom_select(w, now);
	w->speed_choice = SPEED_SLOW_FIRST;
	moves = take_room_of_moves(w);
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];

		if (!n->evacuated)
			continue;
		cancel_unconfirmed_starts(n, now);
		/* Runs on a worker whose zone is not known go on. */
		if (n->zone == NULL)
			continue;
		if (n->linked && !n->draining && evacuation_view_current(w, now))
			move_from_node(w, n, now, &moves);
		TAILQ_FOREACH(t, &n->tasks, on_node)
			runs++;
	}
	counter_set(&evacuated_runs, runs);
}

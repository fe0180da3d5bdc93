#include "wl-private.h"

#include <inttypes.h>

/*
 * Units per pass, in scheduling order, for which schedule_unit tries to reserve resources by
 * estimate because some of their tasks were not placed. A failed try counts too; tries of
 * reserve_before_deadline don't.
 */
#define RESERVATION_TRIES_MAX 3
/* A gang that has run incomplete for this long is stopped, to be restarted as a whole. */
#define GANG_RESTART_DELAY (2 * NSEC_PER_SEC)
/*
 * Most jobs per pass whose changed settings are requested to be stored: a new configuration may
 * change those of all jobs of a queue at once, and starts have to be stored meanwhile.
 */
#define SETTINGS_STORED_MAX 20
/* Units with more slack than this share of their objective don't use the headroom. */
#define DEFER_SLACK_SHARE 0.25
/*
 * A unit that has been ready for this long may use the headroom, so that the headroom does not
 * delay it further.
 */
#define HEADROOM_WAIT_MAX (3 * NSEC_PER_SEC)
/*
 * A unit is expired, of no more use to its caller, if its job will take longer than this many
 * times the objective.
 */
#define EXPIRED_FACTOR 3
/* Other runs are preempted for an urgent unit this long before it would become late. */
#define PREEMPTION_MARGIN (500 * NSEC_PER_MSEC)
/* Longest time between passes. */
#define IDLE_PASS_INTERVAL NSEC_PER_SEC
/* Longest time to the next pass after one that had units to place. */
#define WAITING_PASS_INTERVAL (100 * NSEC_PER_MSEC)

/* Computes the free resources of each worker, and whether it accepts new tasks. */
static void compute_available(struct wl *w, int64_t now)
{
	w->isolated_nodes = 0;
	for (guint i = 0; i < w->nodes->len; i++) {
		struct wl_node *n = w->nodes->pdata[i];
		struct wl_task *t;

		w->isolated_nodes += node_is_isolated(n, now);
		n->free = node_available(n);
		n->free_after_stops = (struct wl_available){.cores_m = n->capacity.cores_m,
			.memory_mb = n->capacity.memory_mb,
			.accelerators = n->capacity.accelerators};
		n->usable = node_usable(n, now);
		n->reserved_from = 0;
		TAILQ_FOREACH(t, &n->tasks, on_node) {
			struct wl_resources need = task_need(t->unit->step);

			if (t->phase != TASK_STOPPING && t->phase != TASK_DONE)
				resources_deduct(&n->free_after_stops, &need);
		}
	}
}

enum {
	UNIT_ON_TIME, /* can meet its objective */
	UNIT_LATE,
	UNIT_EXPIRED /* of no more use to its caller */
};

/* A unit that can be placed now, with its sort keys. */
struct candidate {
	struct wl_unit *unit;
	/* Unit of a job's first step that is within its organisation's guarantee. */
	bool within_guarantee;
	/* Time until it must start to meet its objective; if late, until it expires. */
	int64_t slack;
	int lateness; /* UNIT_* */
	/* Has enough slack to leave the headroom to urgent jobs. */
	bool can_defer;
};

/*
 * Computes for each step of a job the estimated time of the longest dependency chain from it to
 * the end of the job. Returns the longest of all. A step depends on earlier steps only.
 */
static int64_t critical_paths(struct wl_job *j, int64_t paths[WL_STEPS_MAX])
{
	int64_t longest = 0;

	memset(paths, 0, j->spec.steps_len * sizeof(*paths));
	for (uint32_t s = j->spec.steps_len; s-- > 0;) {
		const struct wl_step *step = &j->spec.steps[s];

		/* So far the longest chain of the steps that depend on this one. */
		paths[s] += speed_scale_sound(j, step_estimate(j, step));
		longest = MAX(longest, paths[s]);
		for (uint32_t k = 0; k < step->after_len; k++)
			paths[step->after[k].step] = MAX(paths[step->after[k].step], paths[s]);
	}
	return longest;
}

/*
 * Whether a unit is placed after all others. One within its guarantee is not, however late it
 * is: runs are preempted for it, and what they free is for it and not for the preempted ones.
 */
static bool comes_last(const struct candidate *c)
{
	return c->lateness == UNIT_EXPIRED && !c->within_guarantee;
}

/*
 * Expired units come last. The others are ordered by priority, then first steps within the
 * guarantee of their organisation first, then units that can meet their objective, then by
 * slack.
 */
static gint compare_candidates(gconstpointer pa, gconstpointer pb)
{
	const struct candidate *a = pa;
	const struct candidate *b = pb;
	const struct wl_job *ja = a->unit->job;
	const struct wl_job *jb = b->unit->job;

	if (comes_last(a) != comes_last(b))
		return comes_last(a) ? 1 : -1;
	if (ja->priority != jb->priority)
		return ja->priority < jb->priority ? -1 : 1;
	if (a->within_guarantee != b->within_guarantee)
		return a->within_guarantee ? -1 : 1;
	if (a->lateness != b->lateness)
		return a->lateness < b->lateness ? -1 : 1;
	if (a->slack != b->slack)
		return a->slack < b->slack ? -1 : 1;
	return a->unit < b->unit ? -1 : 1;
}

/* Stops the remaining members of a gang that has lost some, so that it can restart whole. */
static void stop_incomplete_gang(struct wl_unit *u, int64_t now)
{
	uint32_t attached = 0;
	int64_t newest = 0;

	for (uint32_t i = 0; i < u->step->count; i++) {
		attached += u->tasks[i].node != NULL;
		newest = MAX(newest, MAX(u->tasks[i].placed_at, u->tasks[i].waiting_since));
	}
	if (attached == 0 || u->waiting_count == 0 || now - newest < GANG_RESTART_DELAY)
		return;
	unit_stop(u, now, "the gang is incomplete", NULL);
}

/*
 * Returns whether a unit has waiting tasks that can be placed now. If not because it is a gang
 * that is only partly waiting, stops its other members after GANG_RESTART_DELAY.
 */
static bool prepare_placement(struct wl_unit *u, int64_t now)
{
	if (u->is_done || u->waiting_count == 0 || u->retry_at > now ||
		!unit_dependencies_met(u))
		return false;
	if (u->step->gang && u->waiting_count < u->step->count) {
		stop_incomplete_gang(u, now);
		return false;
	}
	return true;
}

/* Appends the units of a job that can be placed now. */
static void collect_candidates(struct wl *w, struct wl_job *j, int64_t now, GArray *out)
{
	int64_t paths[WL_STEPS_MAX];
	int64_t chain = critical_paths(j, paths);

	for (uint32_t k = 0; k < j->occurrences_len; k++) {
		for (uint32_t s = 0; s < j->spec.steps_len; s++) {
			struct wl_unit *u = &j->occurrences[k][s];
			struct candidate c = {.unit = u};
			int64_t allowed;

			if (!prepare_placement(u, now))
				continue;
			if (u->ready_at == 0)
				u->ready_at = now;
			c.within_guarantee = s == 0 && unit_within_guarantee(w, u);
			allowed = (int64_t)((double)chain * j->stretch) + j->target;
			c.slack = j->added_at + allowed - now - paths[s];
			if (j->spec.repetitions > 0)
				c.slack = u->ready_at + allowed - now - paths[s];
			c.can_defer = c.slack > (int64_t)(DEFER_SLACK_SHARE * (double)allowed);
			if (c.slack < 0) {
				c.slack += (EXPIRED_FACTOR - 1) * allowed;
				c.lateness = c.slack < 0 ? UNIT_EXPIRED : UNIT_LATE;
			}
			g_array_append_val(out, c);
		}
	}
}

/* Assigns the planned workers; start orders are sent once the placements are stored. */
static void commit_placements(struct wl *w, struct wl_unit *u, const GArray *plan, int64_t now)
{
	uint32_t attempt = next_attempt(w, u->attempt);
	struct wl_resources need = task_need(u->step);
	struct wl_job *j = u->job;

	for (guint i = 0; i < plan->len; i++) {
		const struct placement *p = &g_array_index(plan, struct placement, i);
		struct wl_task *t = p->task;
		g_autofree char *checkpoint = checkpoint_label(task_checkpoint(t));

		task_attach(t, p->node, u->step->gang ? attempt : next_attempt(w, t->attempt));
		task_set_phase(t, TASK_PLACED);
		usage_add(w, p->node, &need);
		t->placement_version = j->version + 1;
		t->placed_at = now;
		t->running_at = 0;
		t->stop_sent = 0;
		event_log(EV_TASK_START,
			"task=%s.%u.%u.%u attempt=%u node=%s checkpoint=%s waited_ms=%" PRId64,
			j->spec.id, u->occurrence, u->step_index, t->index, t->attempt,
			p->node->name, checkpoint, (now - t->waiting_since) / NSEC_PER_MSEC);
	}
	crash_release(u);
	job_request_store(j, WL_STORE_NOW);
}

/* Deducts a plan from the other view as well; planning deducted it from the used one. */
static void deduct_from_other_view(const GArray *plan, enum placement_view used)
{
	for (guint i = 0; i < plan->len; i++) {
		const struct placement *p = &g_array_index(plan, struct placement, i);
		struct wl_resources need = task_need(p->task->unit->step);

		resources_deduct(
			used == VIEW_FREE ? &p->node->free_after_stops : &p->node->free, &need);
	}
}

/* Plans a unit on one view, first within its preferred rack; false if nothing was placed. */
static bool try_placement(
	struct wl *w, struct wl_unit *u, int64_t now, enum placement_view view, GArray *plan)
{
	if (place_unit(w, u, now, view, false, plan) > 0)
		return true;
	return unit_prefers_rack(u) && unit_may_spread(w, u, now) &&
	       place_unit(w, u, now, view, true, plan) > 0;
}

/* Whether an urgent unit becomes late unless other runs are preempted for it now. */
static bool needs_preemption(const struct wl *w, const struct candidate *c)
{
	return c->unit->job->priority == URGENT_PRIORITY && c->lateness == UNIT_ON_TIME &&
	       c->slack < w->limits.stop_max + PREEMPTION_MARGIN;
}

/* When runs have to be stopped at the latest for a unit to start within reclaim_max. */
static int64_t preemption_deadline(const struct wl *w, const struct candidate *c)
{
	return c->unit->job->added_at + w->limits.reclaim_max - w->limits.stop_max -
	       GUARANTEED_START_MARGIN;
}

/*
 * Reserves resources for an urgent unit instead of preempting, if runs that end by themselves
 * free enough of them before the unit becomes late or would miss its guaranteed start. Returns
 * false, with nothing reserved, otherwise.
 */
static bool reserve_before_deadline(struct wl *w, const struct candidate *c, int64_t now)
{
	int64_t until = MIN(now + c->slack - PREEMPTION_MARGIN, preemption_deadline(w, c));

	return c->lateness == UNIT_ON_TIME && until > now &&
	       reserve_resources(w, c->unit, now, unit_may_spread(w, c->unit, now),
		       RESERVE_BY_PROGRESS, until);
}

/* Whether a unit's objective depends on the speed of its workers. */
static bool needs_fast_workers(const struct wl *w, const struct candidate *c)
{
	const struct wl_unit *u = c->unit;

	return u->job->priority == URGENT_PRIORITY && c->lateness == UNIT_ON_TIME &&
	       !u->step->long_running && !u->step->filler &&
	       service_speeds(w, u->job->service) != NULL;
}

/* Places a unit at once on workers of a choice, if all of its waiting tasks fit. */
static bool place_whole(
	struct wl *w, struct wl_unit *u, int64_t now, enum speed_choice choice, GArray *plan)
{
	w->speed_choice = choice;
	if (!try_placement(w, u, now, VIEW_FREE, plan))
		return false;
	if (plan->len < u->waiting_count) {
		placements_undo(plan, 0, VIEW_FREE);
		return false;
	}
	deduct_from_other_view(plan, VIEW_FREE);
	commit_placements(w, u, plan, now);
	return true;
}

/*
 * Places an urgent unit on workers that are fast enough for its objective, or has it wait for
 * them as long as it can still meet it. Without these, workers of unknown speed are tried.
 * Returns false if only slow workers are left. A guarantee is for a start on any worker: it
 * doesn't justify preempting urgent runs for speed, and isn't put at risk by waiting.
 */
static bool schedule_on_fast_workers(struct wl *w, struct candidate *c, int64_t now)
{
	g_autoptr(GArray) plan = g_array_new(FALSE, FALSE, sizeof(struct placement));
	struct wl_unit *u = c->unit;

	if (place_whole(w, u, now, SPEED_FAST_ONLY, plan))
		return true;
	if (c->within_guarantee && now >= preemption_deadline(w, c))
		return false;
	if (try_placement(w, u, now, VIEW_AFTER_STOPS, plan) && plan->len == u->waiting_count) {
		deduct_from_other_view(plan, VIEW_AFTER_STOPS);
		return true;
	}
	placements_undo(plan, 0, VIEW_AFTER_STOPS);
	if (reserve_before_deadline(w, c, now))
		return true;
	if (preempt_for_urgent_unit(w, u, now, false, plan)) {
		deduct_from_other_view(plan, VIEW_AFTER_STOPS);
		return true;
	}
	return place_whole(w, u, now, SPEED_NOT_SLOW, plan);
}

/*
 * Places the tasks of a unit. If some remain, withholds resources that are being freed from the
 * units later in the order (for a gang or an urgent unit), reserves the resources of runs
 * that end in time or preempts runs (for a unit within its guarantee or an urgent one that
 * would become late), or reserves future resources by estimate.
 */
static void schedule_unit(
	struct wl *w, struct candidate *c, int64_t now, unsigned int *reservation_tries)
{
	g_autoptr(GArray) plan = g_array_new(FALSE, FALSE, sizeof(struct placement));
	struct wl_unit *u = c->unit;

	if (needs_fast_workers(w, c) && schedule_on_fast_workers(w, c, now))
		return;
	w->speed_choice = speed_choose(u, c->slack);

	if (try_placement(w, u, now, VIEW_FREE, plan)) {
		deduct_from_other_view(plan, VIEW_FREE);
		commit_placements(w, u, plan, now);
		if (u->waiting_count == 0)
			return;
		g_array_set_size(plan, 0);
	}
	if (u->step->gang || u->job->priority == URGENT_PRIORITY) {
		/*
		 * If all waiting tasks fit once the runs being stopped have ended, withhold
		 * those resources from later units in this pass. Nothing is assigned: a later
		 * pass places the tasks once the resources are free.
		 */
		if (try_placement(w, u, now, VIEW_AFTER_STOPS, plan) &&
			plan->len == u->waiting_count) {
			deduct_from_other_view(plan, VIEW_AFTER_STOPS);
			return;
		}
		placements_undo(plan, 0, VIEW_AFTER_STOPS);
	}
	if (c->within_guarantee || needs_preemption(w, c)) {
		if (reserve_before_deadline(w, c, now))
			return;
		if (preempt_for_urgent_unit(w, u, now, c->within_guarantee, plan)) {
			deduct_from_other_view(plan, VIEW_AFTER_STOPS);
			return;
		}
	}
	if (*reservation_tries < RESERVATION_TRIES_MAX) {
		(*reservation_tries)++;
		reserve_resources(w, u, now, unit_may_spread(w, u, now), RESERVE_BY_ESTIMATE,
			INT64_MAX - 1 /* no limit; INT64_MAX would mean the same */);
	}
}

/* Periodically stores new checkpoints, in case all VMs lose power. */
static void store_checkpoints(struct wl_job *j, int64_t now)
{
	if (!j->checkpoints_unsaved || now - j->checkpoints_at < checkpoint_store_interval(j))
		return;
	j->checkpoints_unsaved = false;
	j->checkpoints_at = now;
	job_request_store(j, WL_STORE_SOON);
}

/*
 * Stores changed settings: the queue may be missing from the configuration when another
 * coordinator takes over. budget is the number of jobs that may still be stored in this pass.
 */
static void store_settings(struct wl_job *j, unsigned int *budget)
{
	if (!j->settings_unsaved || *budget == 0)
		return;
	(*budget)--;
	j->settings_unsaved = false;
	job_request_store(j, WL_STORE_SOON);
}

void wl_totals(const struct wl *w, struct wl_totals *out)
{
	const struct wl_job *j;
	const struct wl_task *t;

	*out = (struct wl_totals){0};
	TAILQ_FOREACH(j, &w->list, entry) {
		if (wl_state_ended(j->state))
			continue;
		for (uint32_t k = 0; k < j->occurrences_len; k++) {
			for (uint32_t s = 0; s < j->spec.steps_len; s++) {
				if (unit_dependencies_met(&j->occurrences[k][s]))
					out->waiting_tasks +=
						j->occurrences[k][s].waiting_count;
			}
		}
	}
	for (guint i = 0; i < w->nodes->len; i++) {
		TAILQ_FOREACH(t, &((struct wl_node *)w->nodes->pdata[i])->tasks, on_node)
			out->placed_tasks++;
	}
}

bool wl_pass_needed(const struct wl *w)
{
	return w->changed;
}

/* Collects the units that can be placed, sorts them and schedules each. */
int64_t wl_pass(struct wl *w, int64_t now, int64_t wall)
{
	g_autoptr(GArray) order = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	unsigned int reservation_tries = 0;
	unsigned int settings_budget = SETTINGS_STORED_MAX;
	bool headroom_selected = false;
	int64_t next = IDLE_PASS_INTERVAL;
	struct wl_job *j;

	if (w->config == NULL)
		return next;
	w->changed = false;
	w->pass_at = now;
	health_check(w, now);
	crash_give_up_jobs(w, now, wall);
	compute_available(w, now);
	usage_compute(w);
	speed_classify(w, now);
	TAILQ_FOREACH(j, &w->list, entry) {
		int64_t due;

		if (wl_state_ended(j->state))
			continue;
		job_open_due_occurrences(j, now, wall);
		store_checkpoints(j, now);
		store_settings(j, &settings_budget);
		due = job_next_due(j);
		/* One that is due already waits for the end of a task. */
		if (due > wall)
			next = MIN(next, MAX(due - wall, NSEC_PER_MSEC));
		collect_candidates(w, j, now, order);
	}
	g_array_sort(order, compare_candidates);
	for (guint i = 0; i < order->len && evacuation_view_current(w, now); i++) {
		struct candidate *c = &g_array_index(order, struct candidate, i);

		if (!headroom_selected && c->unit->job->priority > URGENT_PRIORITY) {
			headroom_select(w, now);
			headroom_selected = true;
		}
		w->may_use_headroom = c->unit->job->priority == URGENT_PRIORITY ||
				      c->lateness > UNIT_ON_TIME || !c->can_defer ||
				      now - c->unit->ready_at > HEADROOM_WAIT_MAX;
		schedule_unit(w, c, now, &reservation_tries);
	}
	evacuation_move_runs(w, now, headroom_selected);
	return order->len > 0 ? MIN(next, WAITING_PASS_INTERVAL) : next;
}

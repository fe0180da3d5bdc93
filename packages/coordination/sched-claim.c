#include "sched-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Preemption of borrowers. A job preempts them within the unused guarantee of its organisation,
 * or outside of it after it has waited for some time. The job is assigned to their workers at
 * once, so that no other job can be placed there. The borrowers are told to stop, and the job
 * starts when they have stopped. A borrower that was stopped is queued again. The grace time of
 * a stop bounds the wait.
 */

#define RESTART_COST (2 * NSEC_PER_SEC) /* run time lost by any restart */
/*
 * Preemption outside of guarantees by a job that is not urgent: its minimum time in the queue,
 * the minimum run time of a borrower that can resume from a checkpoint, and the maximum loss.
 */
#define PREEMPT_WAIT_MIN   (60 * NSEC_PER_SEC)
#define CHECKPOINT_RUN_MIN (60 * NSEC_PER_SEC)
#define LOSS_RATIO_MAX	   0.1 /* of the estimated work of the job that preempts */
/* The same minimum time in the queue and maximum loss for an urgent job. */
#define URGENT_WAIT_MIN (2 * NSEC_PER_SEC)
#define URGENT_LOSS_MAX 60.0 /* accelerator-seconds */

/*
 * A job that may be preempted, the work lost per accelerator that it releases on the worker, in
 * seconds (-1 if the job is stopping already), and the resources that it uses there.
 */
struct victim {
	struct sched_job *job;
	double loss_per_accelerator;
	struct sched_res used;
};

/* Returns the resources that a job uses on a worker. */
static struct sched_res job_usage_on(const struct sched_job *j, uint32_t worker)
{
	struct sched_res sum = {0};

	for (uint32_t i = 0; i < j->members_len; i++) {
		if (j->members[i].worker == worker)
			res_add(&sum, &j->members[i].need);
	}
	return sum;
}

/* Returns the work lost by preempting a job, in accelerator-seconds. */
static double preemption_loss(const struct sched_job *j, int64_t now)
{
	int64_t ran = j->started_at > 0 ? now - j->started_at : 0;
	int64_t lost = j->checkpoint ? RESTART_COST : ran + RESTART_COST;

	return (double)lost / (double)NSEC_PER_SEC * MAX(j->accelerators, 1);
}

/* Orders victims by the work lost per accelerator, then the last submitted first. */
static int compare_victims(const void *a, const void *b)
{
	const struct victim *x = a;
	const struct victim *y = b;

	if (x->loss_per_accelerator != y->loss_per_accelerator)
		return x->loss_per_accelerator < y->loss_per_accelerator ? -1 : 1;
	return x->job->sequence < y->job->sequence ? 1 : -1;
}

/*
 * Returns whether a job is a borrower that has resources in use: one that can be stopped, is
 * not charged to a hold and does not itself wait for borrowers to stop. It does not matter
 * whether the accelerators that it uses are guaranteed to anybody.
 */
static bool is_borrower(const struct sched_job *j)
{
	return !j->charged && job_stoppable(j) && j->state != SCHED_JOB_CLAIMING;
}

/*
 * Returns whether a queued job may preempt a borrower outside the guarantee of its own
 * organisation. Urgent borrowers are preempted only within that guarantee. A job that is not
 * urgent may preempt as well, so that a gang can replace jobs that were placed while it was
 * blocked, but a borrower that can resume from a checkpoint first runs for CHECKPOINT_RUN_MIN.
 */
static bool may_preempt(const struct sched_job *j, const struct sched_job *v, int64_t now)
{
	if (v->state == SCHED_JOB_STOPPING)
		return true;
	if (v->state != SCHED_JOB_RUNNING || v->urgent || v->started_at == 0)
		return false;
	if (j->urgent)
		return true;
	return !v->checkpoint || now - v->started_at >= CHECKPOINT_RUN_MIN;
}

/*
 * Returns the borrowers on a worker, least work lost per released accelerator first. If
 * preemptor is not NULL, only those that it may preempt outside its guarantee.
 */
static GArray *list_victims(
	const struct sched *s, int64_t now, uint32_t worker, const struct sched_job *preemptor)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct victim));

	for (guint i = 0; i < s->active->len; i++) {
		struct sched_job *j = s->active->pdata[i];
		struct victim v = {.job = j};

		if (!is_borrower(j) || (preemptor != NULL && !may_preempt(preemptor, j, now)))
			continue;
		v.used = job_usage_on(j, worker);
		if (v.used.slots == 0)
			continue;
		v.loss_per_accelerator = preemption_loss(j, now) / MAX(v.used.accelerators, 1);
		if (j->state == SCHED_JOB_STOPPING)
			v.loss_per_accelerator = -1;
		g_array_append_val(list, v);
	}
	g_array_sort(list, compare_victims);
	return list;
}

static bool contains_job(const GPtrArray *set, const struct sched_job *j)
{
	for (guint i = 0; i < set->len; i++) {
		if (set->pdata[i] == j)
			return true;
	}
	return false;
}

/*
 * Adds victims until need fits on a worker, and the work that they lose to loss. Victims chosen
 * for other workers count here as well. Returns false if need does not fit with all borrowers
 * stopped.
 */
static bool choose_victims(const struct sched *s, int64_t now, uint32_t worker,
	const struct sched_res *need, const struct sched_job *preemptor, GPtrArray *victims,
	double *loss)
{
	struct sched_res available = worker_free(sched_worker_at(s, worker));
	GArray *list = list_victims(s, now, worker, preemptor);

	for (guint i = 0; i < list->len; i++) {
		const struct victim *v = &g_array_index(list, struct victim, i);

		if (contains_job(victims, v->job))
			res_add(&available, &v->used);
	}
	for (guint i = 0; i < list->len && !res_fits(need, &available); i++) {
		const struct victim *v = &g_array_index(list, struct victim, i);

		if (contains_job(victims, v->job))
			continue;
		res_add(&available, &v->used);
		g_ptr_array_add(victims, v->job);
		if (v->loss_per_accelerator >= 0)
			*loss += preemption_loss(v->job, now);
	}
	g_array_unref(list);
	return res_fits(need, &available);
}

/*
 * A candidate placement with the jobs that have to be preempted for it and the work that they
 * lose, in accelerator-seconds. In mode FIT_CHARGED it is within hold or, if hold is NULL,
 * within all holds of the organisation; the other modes use no hold.
 */
struct claim {
	struct fit fit;
	enum fit_mode mode;
	struct sched_hold *hold;
	GPtrArray *victims;
	double total_loss;
};

/* Adds a member with n accelerators on a worker; returns false if it cannot be placed. */
static bool add_member(const struct sched *s, int64_t now, const struct sched_job *j,
	struct claim *c, uint32_t worker, uint32_t n)
{
	struct sched_member *m;

	if (c->fit.len == SCHED_MEMBERS_MAX)
		return false;
	m = &c->fit.members[c->fit.len++];
	memset(m, 0, sizeof(*m));
	m->worker = worker;
	m->accelerators = n;
	m->need = res_need(j, n);
	return choose_victims(s, now, worker, &m->need, c->mode == FIT_CHARGED ? NULL : j,
		c->victims, &c->total_loss);
}

/* Returns how many accelerators a worker can take; 0 outside the given rack (-1: any rack). */
static uint32_t claim_fit_count(const struct sched *s, int64_t now, const struct sched_job *j,
	const struct claim *c, uint32_t w, int rack)
{
	const struct sched_worker *worker = sched_worker_at(s, w);

	if (!worker->up || worker->draining || (rack >= 0 && worker->rack != (uint32_t)rack) ||
		!health_allows(worker, j, now))
		return 0;
	return fit_count(s, j, w, c->mode, c->hold);
}

/*
 * Tries to place a job on several workers of a rack (-1: any rack). Takes the workers that can
 * take the most accelerators first. For the last member, takes the worker that can take the
 * fewest accelerators of those that can take the whole rest.
 */
static bool claim_across_workers(const struct sched *s, int64_t now, const struct sched_job *j,
	int rack, struct claim *c)
{
	uint8_t *selected = xcalloc(s->workers->len, 1);
	uint32_t n = j->accelerators;
	bool ok = true;

	while (ok && n > 0) {
		uint32_t best_count = 0;
		int best = -1;

		for (uint32_t w = 0; w < s->workers->len; w++) {
			uint32_t available =
				selected[w] ? 0 : claim_fit_count(s, now, j, c, w, rack);
			bool better =
				best < 0 ||
				(best_count < n ? available > best_count
						: available >= n && available < best_count);

			if (available > 0 && better) {
				best = (int)w;
				best_count = available;
			}
		}
		if (best < 0) {
			ok = false;
			break;
		}
		selected[best] = 1;
		ok = add_member(s, now, j, c, (uint32_t)best, MIN(n, best_count));
		n -= MIN(n, best_count);
	}
	free(selected);
	return ok;
}

/* Moves c to best if c is valid and loses less work than best; empties c. */
static void keep_smaller_loss(struct claim *best, bool *found, struct claim *c, bool ok)
{
	if (ok && (!*found || c->total_loss < best->total_loss)) {
		GPtrArray *old = best->victims;

		*best = *c;
		c->victims = old;
		*found = true;
	}
	g_ptr_array_set_size(c->victims, 0);
	c->total_loss = 0;
	c->fit.len = 0;
}

/*
 * Finds the placement with the smallest loss of work in the mode of c, see struct claim.
 * Considers several workers only if no single worker can take the job.
 */
static void find_smallest_loss(struct sched *s, int64_t now, const struct sched_job *j,
	struct claim *c, struct claim *best, bool *found)
{
	bool fits_one_worker = false;

	for (uint32_t w = 0; w < s->workers->len; w++) {
		if (claim_fit_count(s, now, j, c, w, -1) < MAX(j->accelerators, 1u))
			continue;
		fits_one_worker = true;
		keep_smaller_loss(best, found, c, add_member(s, now, j, c, w, j->accelerators));
	}
	if (fits_one_worker || j->accelerators < 2)
		return;
	for (uint32_t r = 0; j->adjacency != ADJACENCY_WORKER && r < s->racks->len; r++)
		keep_smaller_loss(best, found, c, claim_across_workers(s, now, j, (int)r, c));
	if (!*found && j->adjacency == ADJACENCY_ANY)
		keep_smaller_loss(best, found, c, claim_across_workers(s, now, j, -1, c));
}

/* Starts a job on resources that are free. */
static void start_on(struct sched *s, int64_t now, struct sched_job *j, const struct fit *f,
	bool charged, struct sched_hold *hold)
{
	j->decision = (struct sched_decision){
		.why = charged ? SCHED_REASON_GUARANTEE : SCHED_REASON_FREE,
		.at = now,
		.considered = f->considered};
	sched_assign(s, j, f, charged, hold, false);
	sched_begin_attempt(s, now, j);
}

/*
 * Starts a job within a hold (NULL: all holds) on free resources. If that fails and the hold is
 * unused, tries again after moving the hold to free resources.
 */
static bool start_in_hold(
	struct sched *s, int64_t now, struct sched_job *j, struct sched_hold *h)
{
	struct fit f;

	if (!fit_job(s, now, j, FIT_CHARGED_FREE, h, &f) &&
		!(h != NULL && hold_movable(h) && plan_move_to_free(s, h) &&
			fit_job(s, now, j, FIT_CHARGED_FREE, h, &f)))
		return false;
	start_on(s, now, j, &f, true, h);
	return true;
}

/* Starts a job outside its guarantee if it fits without preemption. */
static bool start_outside_guarantee(struct sched *s, int64_t now, struct sched_job *j)
{
	struct fit f;

	if (!fit_job(s, now, j, job_stoppable(j) ? FIT_FREE : FIT_UNCOMMITTED, NULL, &f))
		return false;
	start_on(s, now, j, &f, false, NULL);
	return true;
}

/*
 * Assigns a job to its workers and stops the borrowers there; the job waits for them. The
 * recorded reason SCHED_REASON_CLAIM and the counter claims cover preemption within and outside
 * of guarantees.
 */
static void preempt_and_wait(
	struct sched *s, int64_t now, struct sched_job *j, const struct claim *c)
{
	j->decision = (struct sched_decision){.why = SCHED_REASON_CLAIM,
		.at = now,
		.victims = c->victims->len,
		.expected_at = now + s->grace};
	queue_remove(s, j);
	sched_assign(s, j, &c->fit, c->mode == FIT_CHARGED, c->hold, true);
	j->state = SCHED_JOB_CLAIMING;
	j->claim_at = now;
	s->counts.claims++;
	for (guint i = 0; i < c->victims->len; i++) {
		struct sched_job *v = c->victims->pdata[i];

		if (v->state != SCHED_JOB_STOPPING)
			sched_stop_job(s, v, v->checkpoint ? STOP_CHECKPOINT : STOP_NOW,
				SCHED_STOP_PREEMPTED);
	}
}

/* Orders holds by unused accelerators, fewest first, then the widest adjacency first. */
static int compare_holds(const void *a, const void *b)
{
	const struct sched_hold *x = *(struct sched_hold *const *)a;
	const struct sched_hold *y = *(struct sched_hold *const *)b;

	if (hold_unused(x) != hold_unused(y))
		return hold_unused(x) < hold_unused(y) ? -1 : 1;
	return x->adjacency < y->adjacency ? -1 : x->adjacency > y->adjacency;
}

/* Returns the holds of a job's organisation that can take the whole job, smallest first. */
static GPtrArray *list_holds(const struct sched *s, const struct sched_job *j)
{
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < s->holds->len; i++) {
		struct sched_hold *h = s->holds->pdata[i];

		if (h->org == j->org && h->placed && hold_unused(h) >= j->accelerators)
			g_ptr_array_add(list, h);
	}
	g_ptr_array_sort(list, compare_holds);
	return list;
}

/* Returns the index after the last hold that compares equal to the one at from. */
static guint equal_holds_end(const GPtrArray *list, guint from)
{
	guint to = from + 1;

	while (to < list->len && compare_holds(&list->pdata[from], &list->pdata[to]) == 0)
		to++;
	return to;
}

/*
 * Starts a job if a placement by preemption was found: without preemption and uncharged if the
 * job fits outside its guarantee, otherwise on the placement found.
 */
static bool apply_claim(
	struct sched *s, int64_t now, struct sched_job *j, const struct claim *best, bool found)
{
	if (!found)
		return false;
	if (!start_outside_guarantee(s, now, j))
		preempt_and_wait(s, now, j, best);
	return true;
}

/*
 * Tries the holds that can take the whole job, smallest first, so that larger shapes remain
 * available for larger jobs.
 */
static bool claim_in_holds(
	struct sched *s, int64_t now, struct sched_job *j, struct claim *best)
{
	g_autoptr(GPtrArray) list = list_holds(s, j);
	struct claim c = {.mode = FIT_CHARGED, .victims = g_ptr_array_new()};
	bool started = false;

	for (guint from = 0, to; !started && from < list->len; from = to) {
		bool found = false;

		to = equal_holds_end(list, from);
		for (guint i = from; !started && i < to; i++)
			started = start_in_hold(s, now, j, list->pdata[i]);
		for (guint i = from; !started && i < to; i++) {
			c.hold = list->pdata[i];
			find_smallest_loss(s, now, j, &c, best, &found);
		}
		started = started || apply_claim(s, now, j, best, found);
	}
	g_ptr_array_unref(c.victims);
	return started;
}

/* Tries all holds together, for a job that no single hold can take. */
static bool claim_across_holds(
	struct sched *s, int64_t now, struct sched_job *j, struct claim *best)
{
	struct claim c = {.mode = FIT_CHARGED, .victims = g_ptr_array_new()};
	bool found = false;
	bool started = start_in_hold(s, now, j, NULL);

	if (!started)
		find_smallest_loss(s, now, j, &c, best, &found);
	g_ptr_array_unref(c.victims);
	return started || apply_claim(s, now, j, best, found);
}

/*
 * Starts a job within the guarantee of its organisation, on free resources if possible,
 * otherwise by preempting borrowers. Returns false if the unused guarantee cannot take the job.
 */
bool claim_start(struct sched *s, int64_t now, struct sched_job *j)
{
	struct claim best = {.victims = g_ptr_array_new()};
	bool started = claim_in_holds(s, now, j, &best) || claim_across_holds(s, now, j, &best);

	g_ptr_array_unref(best.victims);
	return started;
}

/*
 * Preempts borrowers outside the guarantee of the job's organisation for a job that has been
 * queued for PREEMPT_WAIT_MIN, or for URGENT_WAIT_MIN if it is urgent, and if the work lost is
 * small. Gangs that do not all fit at once thus take turns on the workers instead of waiting
 * for the longest of them to end.
 */
bool claim_outside_guarantee(struct sched *s, int64_t now, struct sched_job *j)
{
	struct claim best = {.victims = g_ptr_array_new()};
	struct claim c = {.mode = job_stoppable(j) ? FIT_FREE_AFTER_PREEMPTION
						   : FIT_UNCOMMITTED_AFTER_PREEMPTION,
		.victims = g_ptr_array_new()};
	double estimated_work = (double)j->estimate / (double)NSEC_PER_SEC * j->accelerators;
	double loss_max = j->urgent ? URGENT_LOSS_MAX : LOSS_RATIO_MAX * estimated_work;
	bool found = false;

	if (now - j->queued_at >= (j->urgent ? URGENT_WAIT_MIN : PREEMPT_WAIT_MIN))
		find_smallest_loss(s, now, j, &c, &best, &found);
	found = found && best.total_loss <= loss_max;
	if (found)
		preempt_and_wait(s, now, j, &best);
	g_ptr_array_unref(c.victims);
	g_ptr_array_unref(best.victims);
	return found;
}

/* Returns whether all resources that a claiming job needs are free. */
static bool resources_free(const struct sched *s, const struct sched_job *j)
{
	for (uint32_t i = 0; i < j->members_len; i++) {
		const struct sched_worker *w = sched_worker_at(s, j->members[i].worker);
		struct sched_res available = w->capacity;

		res_sub(&available, &w->used);
		if (!w->up || !res_fits(&j->members[i].need, &available))
			return false;
	}
	return true;
}

/* Starts the claiming jobs whose resources have become free. */
void claim_finish(struct sched *s, int64_t now)
{
	for (guint i = 0; i < s->active->len; i++) {
		struct sched_job *j = s->active->pdata[i];

		if (j->state != SCHED_JOB_CLAIMING || !resources_free(s, j))
			continue;
		for (uint32_t m = 0; m < j->members_len; m++) {
			struct sched_worker *w = sched_worker_at(s, j->members[m].worker);

			res_sub(&w->pending, &j->members[m].need);
			res_add(&w->used, &j->members[m].need);
		}
		sched_begin_attempt(s, now, j);
	}
}

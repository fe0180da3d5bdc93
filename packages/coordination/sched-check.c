#include "sched-private.h"

#include <string.h>

/* Resources and number of the jobs on a worker, summed up from their members. */
struct job_totals {
	struct sched_res used;
	struct sched_res pending;
	struct sched_res committed;
	uint32_t jobs;
};

/* Returns an array with the totals of each worker, to be freed by the caller. */
static struct job_totals *sum_jobs_by_worker(const struct sched *s)
{
	struct job_totals *totals = xcalloc(s->workers->len, sizeof(*totals));

	for (guint i = 0; i < s->active->len; i++) {
		const struct sched_job *j = s->active->pdata[i];

		for (uint32_t m = 0; m < j->members_len; m++) {
			const struct sched_member *member = &j->members[m];
			struct job_totals *total = &totals[member->worker];

			total->jobs++;
			res_add(j->state == SCHED_JOB_CLAIMING ? &total->pending : &total->used,
				&member->need);
			res_add(&total->committed, &member->committed);
		}
	}
	return totals;
}

/* Checks that a worker's counters match its jobs and do not exceed its capacity. */
static char *check_worker(
	const struct sched *s, uint32_t worker, const struct job_totals *totals)
{
	const struct sched_worker *w = sched_worker_at(s, worker);
	struct sched_res share = res_share(&w->capacity, w->held);
	struct sched_res committed = w->committed;
	uint32_t held = 0;
	char *out = NULL;

	for (uint32_t o = 0; o < s->orgs->len; o++) {
		held += org_unused(s, o, worker);
	}
	if (!res_equal(&totals->used, &w->used) || !res_equal(&totals->pending, &w->pending) ||
		!res_equal(&totals->committed, &w->committed) || totals->jobs != w->jobs ||
		held != w->held)
		xasprintf(&out, "worker %s: the counters do not match the jobs", w->name);
	else if (w->up && !res_fits(&w->used, &w->capacity))
		xasprintf(&out, "worker %s: the used resources exceed the capacity", w->name);
	res_add(&committed, &share);
	if (out == NULL && w->up && !res_fits(&committed, &w->capacity))
		xasprintf(&out,
			"worker %s: unused guarantees do not fit (committed %d, held %u of %d)",
			w->name, w->committed.accelerators, w->held, w->capacity.accelerators);
	return out;
}

/* Checks that a job's members sum up to its size and satisfy its adjacency. */
static char *check_job(const struct sched *s, const struct sched_job *j)
{
	uint32_t sum = 0;
	char *out = NULL;

	for (uint32_t i = 0; i < j->members_len; i++) {
		sum += j->members[i].accelerators;
		if ((j->adjacency == ADJACENCY_WORKER && i > 0) ||
			(j->adjacency == ADJACENCY_RACK &&
				sched_worker_at(s, j->members[i].worker)->rack !=
					sched_worker_at(s, j->members[0].worker)->rack))
			xasprintf(&out, "job %s: the members violate the adjacency", j->id);
		if (out != NULL)
			return out;
	}
	if ((sum != j->accelerators && !j->partial) || j->members_len == 0)
		xasprintf(&out, "job %s: the members have %u of %u accelerators", j->id, sum,
			j->accelerators);
	return out;
}

/* Returns the accelerators of jobs that are charged to a hold on a worker. */
static uint32_t charged_on(const struct sched *s, const struct sched_hold *h, uint32_t worker)
{
	uint32_t sum = 0;

	for (guint i = 0; i < s->active->len; i++) {
		const struct sched_job *j = s->active->pdata[i];

		for (guint k = 0; j->charges != NULL && k < j->charges->len; k++) {
			const struct sched_charge *c =
				&g_array_index(j->charges, struct sched_charge, k);

			if (c->hold == h && c->worker == worker)
				sum += c->accelerators;
		}
	}
	return sum;
}

/*
 * Checks that a hold's pieces sum up to its size, satisfy its adjacency, are on workers that
 * are up, and match the charges of the jobs.
 */
static char *check_hold(const struct sched *s, const struct sched_hold *h)
{
	const char *org = sched_org_at(s, h->org)->name;
	uint32_t sum = 0;
	char *out = NULL;

	for (guint i = 0; out == NULL && i < h->pieces->len; i++) {
		const struct hold_piece *p = hold_piece_at(h, i);
		const struct sched_worker *w = sched_worker_at(s, p->worker);
		uint32_t first = hold_piece_at(h, 0)->worker;

		sum += p->accelerators;
		if ((h->adjacency == ADJACENCY_WORKER && p->worker != first) ||
			(h->adjacency == ADJACENCY_RACK &&
				w->rack != sched_worker_at(s, first)->rack) ||
			!w->up)
			xasprintf(&out,
				"a hold of %s violates its adjacency or is on a lost worker",
				org);
		else if (p->used > p->accelerators || p->used != charged_on(s, h, p->worker))
			xasprintf(&out,
				"a hold of %s has %u accelerators charged, its jobs have %u",
				org, p->used, charged_on(s, h, p->worker));
	}
	if (out == NULL && h->placed && sum != h->accelerators)
		xasprintf(&out, "a hold of %s has %u of %u accelerators placed", org, sum,
			h->accelerators);
	return out;
}

/* Checks the invariants of the whole state. */
char *sched_check(const struct sched *s)
{
	struct job_totals *totals = sum_jobs_by_worker(s);
	char *out = NULL;

	for (uint32_t i = 0; out == NULL && i < s->workers->len; i++)
		out = check_worker(s, i, &totals[i]);
	for (guint i = 0; out == NULL && i < s->active->len; i++)
		out = check_job(s, s->active->pdata[i]);
	for (guint i = 0; out == NULL && i < s->holds->len; i++)
		out = check_hold(s, s->holds->pdata[i]);
	xfreep(&totals);
	return out;
}

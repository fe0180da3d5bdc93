#include "sched-private.h"

#include <string.h>

/* What the jobs on a worker add up to. */
struct sums {
	struct sched_res used;
	struct sched_res pending;
	struct sched_res committed;
	uint32_t jobs;
};

/* Add up the jobs on each worker. */
static struct sums *sum_jobs(const struct sched *s)
{
	struct sums *sums = xcalloc(s->workers->len, sizeof(*sums));

	for (guint i = 0; i < s->active->len; i++) {
		const struct sched_job *j = s->active->pdata[i];

		for (uint32_t m = 0; m < j->members_len; m++) {
			const struct sched_member *mb = &j->members[m];
			struct sums *at = &sums[mb->worker];

			at->jobs++;
			res_add(j->state == SCHED_JOB_CLAIMING ? &at->pending : &at->used,
				&mb->need);
			res_add(&at->committed, &mb->committed);
		}
	}
	return sums;
}

/* One worker's books agree with its jobs, and nothing is given out twice. */
static char *check_worker(const struct sched *s, uint32_t at, const struct sums *sum)
{
	const struct sched_worker *w = sched_worker_at(s, at);
	struct sched_res share = res_share(&w->capacity, w->held);
	struct sched_res committed = w->committed;
	uint32_t held = 0;
	char *out = NULL;

	for (uint32_t o = 0; o < s->orgs->len; o++) {
		held += org_unused(s, o, at);
	}
	if (!res_equal(&sum->used, &w->used) || !res_equal(&sum->pending, &w->pending) ||
		!res_equal(&sum->committed, &w->committed) || sum->jobs != w->jobs ||
		held != w->held)
		xasprintf(&out, "worker %s: the books do not agree with the jobs", w->name);
	else if (w->up && !res_fits(&w->used, &w->capacity))
		xasprintf(&out, "worker %s: more is used than there is", w->name);
	res_add(&committed, &share);
	if (out == NULL && w->up && !res_fits(&committed, &w->capacity))
		xasprintf(&out,
			"worker %s: unused guarantees cannot be met (firm %d, held %u of %d)",
			w->name, w->committed.accelerators, w->held, w->capacity.accelerators);
	return out;
}

/* A job's members add up and are close enough together. */
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
			xasprintf(&out, "job %s: its members are too far apart", j->id);
		if (out != NULL)
			return out;
	}
	if ((sum != j->accelerators && !j->partial) || j->members_len == 0)
		xasprintf(&out, "job %s: %u of %u accelerators", j->id, sum, j->accelerators);
	return out;
}

/* What jobs are charged on a piece of a hold. */
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

/* A hold's pieces add up, are close enough together, and carry what is charged to them. */
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
			xasprintf(&out, "a hold of %s is not close together", org);
		else if (p->used > p->accelerators || p->used != charged_on(s, h, p->worker))
			xasprintf(&out, "a hold of %s is charged %u, its jobs say %u", org,
				p->used, charged_on(s, h, p->worker));
	}
	if (out == NULL && h->placed && sum != h->accelerators)
		xasprintf(&out, "a hold of %s has %u of %u", org, sum, h->accelerators);
	return out;
}

/* Check the whole state against its invariants. */
char *sched_check(const struct sched *s)
{
	struct sums *sums = sum_jobs(s);
	char *out = NULL;

	for (uint32_t i = 0; out == NULL && i < s->workers->len; i++)
		out = check_worker(s, i, &sums[i]);
	for (guint i = 0; out == NULL && i < s->active->len; i++)
		out = check_job(s, s->active->pdata[i]);
	for (guint i = 0; out == NULL && i < s->holds->len; i++)
		out = check_hold(s, s->holds->pdata[i]);
	xfreep(&sums);
	return out;
}

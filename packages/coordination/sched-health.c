#include "sched-private.h"

/*
 * A failure counts against a worker only while the job has failed nowhere else: a job that
 * fails on a second worker is taken to be bad itself, and the first worker is cleared of it.
 * After a few such jobs without a success between them the worker is quarantined; when the
 * time is over one repeatable job at a time probes it.
 */

#define BAD_JOBS_MAX   3
#define BAD_WORKERS    2
#define QUARANTINE_MIN (30 * NSEC_PER_SEC)
#define QUARANTINE_MAX (600 * NSEC_PER_SEC)

/* Whether a worker may be given a job. */
bool health_allows(const struct sched_worker *w, const struct sched_job *j, int64_t now)
{
	if (w->restricted && !j->idempotent)
		return false;
	if (!w->quarantined)
		return true;
	return now >= w->quarantine_until && !w->probing && j->idempotent && w->jobs == 0;
}

/* Whether a job failed on so many workers that the job is at fault. */
bool health_job_at_fault(const struct sched_job *j)
{
	return j->failed_on_len >= BAD_WORKERS;
}

/* Put a worker into quarantine, each time for longer. */
static void quarantine(struct sched *s, int64_t now, struct sched_worker *w)
{
	w->quarantine_length = w->quarantine_length == 0
				       ? QUARANTINE_MIN
				       : MIN(2 * w->quarantine_length, QUARANTINE_MAX);
	w->quarantine_until = now + w->quarantine_length;
	w->quarantined = true;
	w->probing = false;
	s->counts.quarantined++;
}

/* A job failed on a worker. */
void health_failed(struct sched *s, int64_t now, struct sched_job *j, uint32_t worker)
{
	struct sched_worker *w = sched_worker_at(s, worker);

	for (uint32_t i = 0; i < j->failed_on_len; i++) {
		if (j->failed_on[i] == worker)
			return;
	}
	if (j->failed_on_len < ARRAY_LEN(j->failed_on))
		j->failed_on[j->failed_on_len++] = worker;
	if (health_job_at_fault(j)) {
		struct sched_worker *first = sched_worker_at(s, j->failed_on[0]);

		if (j->failed_on_len == BAD_WORKERS && !first->quarantined &&
			first->failed_jobs > 0)
			first->failed_jobs--;
		return;
	}
	w->failed_jobs++;
	if (w->probing || w->failed_jobs >= BAD_JOBS_MAX)
		quarantine(s, now, w);
}

/* A job ended well on a worker. */
void health_succeeded(struct sched *s, uint32_t worker)
{
	struct sched_worker *w = sched_worker_at(s, worker);

	w->failed_jobs = 0;
	w->quarantined = false;
	w->probing = false;
	w->quarantine_length = 0;
}

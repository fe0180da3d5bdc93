#include "sched-private.h"

/*
 * A failed job counts against a worker only as long as it has failed on no other worker. A job
 * that fails on a second worker is considered faulty itself and no longer counts against the
 * first one. After several failed jobs without a success in between, a worker is quarantined.
 * After the quarantine time it gets one idempotent job at a time as a trial, until one
 * succeeds.
 */

#define QUARANTINE_FAILED_JOBS 3
#define FAULTY_JOB_WORKERS     2
#define QUARANTINE_MIN	       (30 * NSEC_PER_SEC)
#define QUARANTINE_MAX	       (600 * NSEC_PER_SEC)

/* Returns whether a job may be placed on a worker. */
bool health_allows(const struct sched_worker *w, const struct sched_job *j, int64_t now)
{
	if (w->restricted && !j->idempotent)
		return false;
	if (!w->quarantined)
		return true;
	return now >= w->quarantine_until && !w->probing && j->idempotent && w->jobs == 0;
}

/* Returns whether a job failed on so many workers that the job itself is considered faulty. */
bool health_job_at_fault(const struct sched_job *j)
{
	return j->failed_on_len >= FAULTY_JOB_WORKERS;
}

/* Quarantines a worker; the time doubles each time until a job succeeds there. */
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

/* Records that a job failed on a worker. */
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

		if (j->failed_on_len == FAULTY_JOB_WORKERS && !first->quarantined &&
			first->consecutive_failed_jobs > 0)
			first->consecutive_failed_jobs--;
		return;
	}
	w->consecutive_failed_jobs++;
	if (w->probing || w->consecutive_failed_jobs >= QUARANTINE_FAILED_JOBS)
		quarantine(s, now, w);
}

/* Records that a job succeeded on a worker, which ends its quarantine. */
void health_succeeded(struct sched *s, uint32_t worker)
{
	struct sched_worker *w = sched_worker_at(s, worker);

	w->consecutive_failed_jobs = 0;
	w->quarantined = false;
	w->probing = false;
	w->quarantine_length = 0;
}

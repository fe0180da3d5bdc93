#include "wl-private.h"

#include <inttypes.h>

/*
 * Workers that fail what they start. Such a worker is always free, so on a busy fleet it would
 * get one task after another, and each loses an attempt. After a run that failed at once, a
 * worker gets nothing for a while and then one task by itself that has attempts to spare; it is
 * trusted again once a run that started after the failure succeeds, or after PROBATION_MAX.
 *
 * A job whose tasks fail everywhere says nothing about workers: only its first worker is
 * suspected.
 */

/* A run that fails within this time failed at its start. */
#define QUICK_FAILURE_MAX (500 * NSEC_PER_MSEC)
/* Time without tasks after a failure at the start; doubles with each further one. */
#define PROBATION_PAUSE NSEC_PER_SEC
/* Longest pause; the probation ends after twice that. */
#define PROBATION_MAX (8 * NSEC_PER_SEC)

/* Records a run that failed on a worker after it had started at a time. */
void probation_record_failure(
	struct wl_node *n, struct wl_unit *u, int64_t now, int64_t started_at)
{
	if (now - started_at > QUICK_FAILURE_MAX ||
		(u->quick_failure_node != NULL && u->quick_failure_node != n))
		return;
	u->quick_failure_node = n;
	if (n->probation_pause_until > now)
		return;
	n->probation_since = now;
	n->probation_runs = MIN(n->probation_runs + 1, 4u);
	n->probation_pause_until =
		now + MIN(PROBATION_PAUSE << (n->probation_runs - 1), PROBATION_MAX);
	event_log(EV_WORKER_PROBATION, "node=%s pause_ms=%" PRId64, n->name,
		(n->probation_pause_until - now) / NSEC_PER_MSEC);
}

/* Records a run that succeeded on a worker after it had started at a time. */
void probation_record_success(struct wl_node *n, int64_t started_at)
{
	if (started_at < n->probation_since)
		return;
	n->probation_since = 0;
	n->probation_runs = 0;
}

bool node_on_probation(const struct wl_node *n, int64_t now)
{
	return n->probation_since != 0 && now - n->probation_since <= 2 * PROBATION_MAX;
}

/* Whether a worker is on probation, and its service has others that are not. */
bool probation_applies(const struct wl_node *n, int64_t now)
{
	return node_on_probation(n, now) && service_has_sound_worker(n->wl, n->service);
}

/* Whether the worker may get a task of a unit, as far as its probation is concerned. */
bool probation_allows(const struct wl_node *n, const struct wl_unit *u, int64_t now)
{
	if (!probation_applies(n, now))
		return true;
	return now >= n->probation_pause_until && !u->step->gang &&
	       u->job->attempts_max > u->most_failures + 1 && TAILQ_EMPTY(&n->tasks);
}

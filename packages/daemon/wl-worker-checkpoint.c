#include "wl-worker-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * How many bytes of checkpoints an agent sends to the coordinator, which gets those of all
 * workers. Each goes as a whole, or waits for a later report.
 */

/* Checkpoints up to this length are always sent. */
#define SHORT_CHECKPOINT 1024
/* Of longer ones of runs that go on, so much a second; what was not used adds up. */
#define RUN_BYTES_PER_S 131072
/* Most bytes of checkpoints in a report, unless a single one has more. */
#define REPORT_BYTES_MAX 1048576

COUNTER(refused_total, "damaskpath_worker_checkpoints_refused_total",
	"Checkpoints that were longer than the store's values, as the worker listed them.");
COUNTER(deferred_total, "damaskpath_checkpoints_deferred_total",
	"Checkpoints of runs that were left for a later report.");

/* The refusal of a checkpoint is logged at most this often. */
#define REFUSAL_LOG_INTERVAL (10 * NSEC_PER_SEC)

static size_t text_len(const char *text)
{
	return text != NULL ? strlen(text) : 0;
}

/* Drops a checkpoint that is longer than the values that the store takes. */
static void refuse_too_long(
	struct wl_worker *w, int64_t now, const char *task, uint32_t attempt, char **checkpoint)
{
	size_t len = text_len(*checkpoint);

	if (len <= w->p->settings.value_max)
		return;
	counter_add(&refused_total, 1);
	if (now >= w->checkpoint_log_at) {
		w->checkpoint_log_at = now + REFUSAL_LOG_INTERVAL;
		event_log(EV_CHECKPOINT_REFUSED,
			"task=%s attempt=%u bytes=%zu why=\"longer than the store takes\"",
			task, attempt, len);
	}
	free(*checkpoint);
	*checkpoint = NULL;
}

/*
 * Leaves the ended runs for later with which the report would get too large. They are listed
 * again once those before are acknowledged.
 */
static size_t limit_ends(struct pf_reply *r)
{
	struct wl_msg later = {.kind = WL_MSG_REPORT};
	size_t bytes = 0;
	uint32_t n = 0;

	for (; n < r->ends_len; n++) {
		size_t len = text_len(r->ends[n].checkpoint);

		if (n > 0 && bytes + len > REPORT_BYTES_MAX)
			break;
		bytes += len;
	}
	if (n == r->ends_len)
		return bytes;
	later.report.ends_len = r->ends_len - n;
	later.report.ends = xcalloc(later.report.ends_len, sizeof(*r->ends));
	memcpy(later.report.ends, r->ends + n, later.report.ends_len * sizeof(*r->ends));
	wl_msg_clear(&later);
	r->ends_len = n;
	r->has_more_ends = true;
	r->lists_complete = false;
	return bytes;
}

/* Lets the runs take turns whose checkpoints are longer than what may be sent now. */
static void limit_runs(struct wl_worker *w, struct pf_reply *r)
{
	uint32_t first = r->runs_len > 0 ? w->next_checkpoint % r->runs_len : 0;
	bool deferred = false;

	for (uint32_t k = 0; k < r->runs_len; k++) {
		uint32_t i = (first + k) % r->runs_len;
		struct wl_run *run = &r->runs[i];
		size_t len = text_len(run->checkpoint);

		if (len <= SHORT_CHECKPOINT)
			continue;
		if (w->checkpoint_allowance > 0) {
			w->checkpoint_allowance -= (int64_t)len;
			continue;
		}
		if (!deferred)
			w->next_checkpoint = i;
		deferred = true;
		counter_add(&deferred_total, 1);
		free(run->checkpoint);
		run->checkpoint = NULL;
	}
}

void worker_limit_checkpoints(struct wl_worker *w, int64_t now, struct pf_reply *r)
{
	int64_t elapsed = MIN(now - w->checkpoint_allowance_at, 60 * NSEC_PER_SEC);

	for (uint32_t i = 0; i < r->ends_len; i++)
		refuse_too_long(
			w, now, r->ends[i].task, r->ends[i].attempt, &r->ends[i].checkpoint);
	for (uint32_t i = 0; i < r->runs_len; i++)
		refuse_too_long(
			w, now, r->runs[i].task, r->runs[i].attempt, &r->runs[i].checkpoint);
	w->checkpoint_allowance =
		MIN(w->checkpoint_allowance + elapsed / NSEC_PER_MSEC * RUN_BYTES_PER_S / 1000,
			REPORT_BYTES_MAX);
	w->checkpoint_allowance_at = now;
	w->checkpoint_allowance -= (int64_t)limit_ends(r);
	limit_runs(w, r);
}

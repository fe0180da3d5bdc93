#include "wl-coord-private.h"

#include <inttypes.h>

/*
 * What the coordinator's time goes to, by kind of work: as counters on the metrics address, and
 * as a log line each LOG_PERIOD. The time is that of the clock, so it includes the time for
 * which the process had no processor.
 */

#define LOG_PERIOD (5 * NSEC_PER_SEC)

#define LOAD_COUNTERS(id, work)                                                                \
	COUNTER(id##_ns, "damaskpath_coordinator_busy_ns_total{work=\"" work "\"}",            \
		"Time of the coordinator by kind of work, in nanoseconds.");                   \
	COUNTER(id##_times, "damaskpath_coordinator_work_total{work=\"" work "\"}",            \
		"Pieces of work of the coordinator by kind.")

LOAD_COUNTERS(pass, "pass");
LOAD_COUNTERS(report, "report");
LOAD_COUNTERS(answer, "answer");
LOAD_COUNTERS(stored, "stored");
LOAD_COUNTERS(inbox, "inbox");
GAUGE(waiting_gauge, "damaskpath_coordinator_waiting_tasks", "Tasks that wait for a worker.");
GAUGE(running_gauge, "damaskpath_coordinator_running_tasks", "Tasks placed on workers.");

static const struct {
	struct counter *ns;
	struct counter *times;
} work_counters[COORD_WORK_COUNT] = {
	[COORD_WORK_PASS] = {&pass_ns, &pass_times},
	[COORD_WORK_REPORT] = {&report_ns, &report_times},
	[COORD_WORK_ANSWER] = {&answer_ns, &answer_times},
	[COORD_WORK_STORED] = {&stored_ns, &stored_times},
	[COORD_WORK_INBOX] = {&inbox_ns, &inbox_times},
};

void coord_load_add(struct coord_load *l, enum coord_work work, int64_t duration)
{
	counter_add(work_counters[work].ns, (uint64_t)MAX(duration, 0));
	counter_add(work_counters[work].times, 1);
	l->busy[work] += duration;
	l->times[work]++;
	l->longest[work] = MAX(l->longest[work], duration);
}

void coord_load_log(struct coord_load *l, int64_t now, const struct wl *scheduler)
{
	struct wl_totals totals;

	if (now - l->logged_at < LOG_PERIOD)
		return;
	wl_totals(scheduler, &totals);
	counter_set(&waiting_gauge, totals.waiting_tasks);
	counter_set(&running_gauge, totals.placed_tasks);
	event_log(EV_COORD_LOAD,
		"waiting=%u placed=%u pass_ms=%" PRId64 "/%u/%" PRId64 " report_ms=%" PRId64
		"/%u/%" PRId64 " answer_ms=%" PRId64 "/%u stored_ms=%" PRId64
		"/%u inbox_ms=%" PRId64 "/%u",
		totals.waiting_tasks, totals.placed_tasks,
		l->busy[COORD_WORK_PASS] / NSEC_PER_MSEC, l->times[COORD_WORK_PASS],
		l->longest[COORD_WORK_PASS] / NSEC_PER_MSEC,
		l->busy[COORD_WORK_REPORT] / NSEC_PER_MSEC, l->times[COORD_WORK_REPORT],
		l->longest[COORD_WORK_REPORT] / NSEC_PER_MSEC,
		l->busy[COORD_WORK_ANSWER] / NSEC_PER_MSEC, l->times[COORD_WORK_ANSWER],
		l->busy[COORD_WORK_STORED] / NSEC_PER_MSEC, l->times[COORD_WORK_STORED],
		l->busy[COORD_WORK_INBOX] / NSEC_PER_MSEC, l->times[COORD_WORK_INBOX]);
	*l = (struct coord_load){.logged_at = now};
}

#ifndef DP_WORKLOAD_FIXTURE_H
#define DP_WORKLOAD_FIXTURE_H

#include "unit.h"
#include "workload.h"

/* What the tests of the scheduler core share: a core with a store, and no network. */

#define MS  NSEC_PER_MSEC
#define SEC NSEC_PER_SEC
/* Bytes of a record that the simulated store takes. */
#define RECORD_MAX 1048576
/* Bytes of checkpoints that a core keeps in memory. */
#define CHECKPOINTS_MAX (4 * 1048576)

/* A start that the core has ordered. */
struct started {
	char task[80];
	char node[16];
	uint32_t attempt;
	uint64_t ordinal;
	char *checkpoint; /* empty for none */
};

/* A scheduler core, a simulated store, and the orders that the core has sent. */
struct fixture {
	struct wl *wl;
	struct wl_config *config;
	int64_t now;	    /* monotonic time; also passed as the wall clock */
	GPtrArray *stopped; /* names of the tasks that were ordered to stop */
	unsigned int starts;
	unsigned int stops;
	uint64_t ordinal;
	char last_start[80];
	char last_node[16];
	char last_stop[80];
	char last_stop_node[16];
	uint64_t last_stop_ordinal; /* of the start that it cancels, 0 for a run */
	uint32_t last_attempt;
	GArray *started; /* all starts, of struct started */
	uint64_t acked;	 /* highest finished run that a worker was told to forget */
	unsigned int acks;
	GPtrArray *dirty; /* ids of jobs whose progress must be stored */
	bool store_down;
};

void fixture_init(struct fixture *f);
/* The same with wl_limits.evacuation_max. */
void fixture_init_evacuation(struct fixture *f, int64_t evacuation_max);
void fixture_clear(struct fixture *f);
/* Stores the progress of all dirty jobs, unless the store is down. */
void store_dirty_jobs(struct fixture *f);
/* Reports a worker with 8 accelerators; runs and ends may be NULL. */
void report_worker(struct fixture *f, const char *node, struct wl_run *runs, uint32_t runs_len,
	struct wl_ended *ends, uint32_t ends_len);
/* Reports workers without runs: w<from> to w<to - 1>. */
void report_idle_workers(struct fixture *f, unsigned int from, unsigned int to);
/* Submits a job of one step; its id is the number in hexadecimal digits. */
void submit_job(struct fixture *f, unsigned int number, const char *queue, uint32_t count,
	uint32_t accelerators, uint32_t estimate_ms, bool gang);
/* Adds job 1, in the queue "batch", of one step; its progress is NULL for a new one. */
void add_step_job(
	struct fixture *f, const struct wl_step *step, const struct wl_progress *progress);
void run_pass(struct fixture *f);

#endif

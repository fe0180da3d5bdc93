/*
 * Measures the cost of the coordinator's decisions on a simulated fleet, under a load of LOAD
 * times its capacity (1.2 by default) and with a mix of jobs like that of its users. Prints
 * the CPU time per simulated second and per scheduling pass.
 *
 *	bench-workload WORKERS [SECONDS [LOAD]]
 *	bench-workload memory
 */
#include "workload.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define STEP_NS			(20 * NSEC_PER_MSEC)
#define REPORT_INTERVAL_NS	NSEC_PER_SEC
#define WORKERS_PER_RACK	8
#define ORG_COUNT		10
#define ACCELERATORS_PER_WORKER 8
#define ANY_SIZE_MEAN		3.75 /* accelerators: the mean of 1, 2, 4 and 8 */
#define PASS_INTERVAL_NS	(100 * NSEC_PER_MSEC)
#define RANDOM_SEED		20261204
#define STOP_DURATION_NS	(300 * NSEC_PER_MSEC)

/* The mix of jobs. */
static const struct job_kind {
	const char *queue;
	uint32_t priority;
	double share;	/* of the accelerators of the fleet */
	double tasks;	/* mean tasks per job */
	double seconds; /* mean run time */
	bool any_size;	/* 1, 2, 4 or 8 accelerators per task, otherwise 1 */
} job_kinds[] = {{"confirm", 0, 0.30, 5, 2.5, true}, {"plan", 1, 0.45, 6, 6.8, true},
	{"quote", 2, 0.25, 30, 6.1, false}};

/* A run on a simulated worker. Times are simulated, in nanoseconds. */
struct sim_run {
	char task[48];
	uint32_t attempt;
	int64_t started_at;
	int64_t ends_at;
	bool stopped;
	struct sim_node *node;
};
struct sim_node {
	char name[16];
	char worker_instance[16];
	char rack[16];
	int64_t next_report;
	uint64_t ended;
	GPtrArray *runs;
	GArray *ends;
	bool report_due; /* the runs have changed since the last report */
};
struct sim {
	struct wl *wl;
	GPtrArray *nodes;
	GPtrArray *dirty;     /* ids of jobs with progress to store */
	GHashTable *run_time; /* job id to run time in nanoseconds */
	int64_t now;
	uint64_t ordinal;
	unsigned int jobs;
	unsigned int starts;
	unsigned int stops;
	unsigned int done;
};

static struct sim_node *find_node(struct sim *s, const char *name)
{
	for (guint i = 0; i < s->nodes->len; i++) {
		if (strcmp(((struct sim_node *)s->nodes->pdata[i])->name, name) == 0)
			return s->nodes->pdata[i];
	}
	return NULL;
}

static void on_start(void *arg, const char *node, const struct wl_start_order *o)
{
	struct sim *s = arg;
	struct sim_node *n = find_node(s, node);

	for (uint32_t i = 0; i < o->starts_len; i++) {
		struct sim_run *r = xcalloc(1, sizeof(*r));
		g_autofree char *id = g_strndup(o->starts[i].task, WL_ID_LEN);
		const int64_t *run_time_ns = g_hash_table_lookup(s->run_time, id);

		g_strlcpy(r->task, o->starts[i].task, sizeof(r->task));
		r->attempt = o->starts[i].attempt;
		r->started_at = s->now;
		r->ends_at = s->now + *run_time_ns;
		g_ptr_array_add(n->runs, r);
		s->ordinal = o->starts[i].ordinal;
		s->starts++;
	}
	n->report_due = true;
}

static void on_stop(void *arg, const char *node, const struct wl_stop_order *o)
{
	struct sim *s = arg;
	const struct sim_node *n = find_node(s, node);

	s->stops++;
	for (guint i = 0; i < n->runs->len; i++) {
		struct sim_run *r = n->runs->pdata[i];

		if (strcmp(r->task, o->task) != 0 || r->stopped)
			continue;
		r->stopped = true;
		r->ends_at = MIN(r->ends_at, s->now + STOP_DURATION_NS);
	}
}

static void on_pace(void *arg, const char *node, const struct wl_pace_order *o)
{
	(void)arg;
	(void)node;
	(void)o;
}

static void on_stored(void *arg, const char *node, const struct wl_stored *s)
{
	(void)arg;
	(void)node;
	(void)s;
}

static void on_dirty(void *arg, const char *id, enum wl_store_urgency urgency)
{
	struct sim *s = arg;

	(void)urgency;
	g_ptr_array_add(s->dirty, g_strdup(id));
}

/* Reports the progress of all changed jobs as stored. */
static void complete_store_writes(struct sim *s)
{
	while (s->dirty->len > 0) {
		g_autofree char *id = g_ptr_array_steal_index_fast(s->dirty, 0);
		uint64_t version;
		struct bytes p = wl_job_progress(s->wl, id, &version);

		bytes_clear(&p);
		wl_job_stored(s->wl, s->now, id, version);
	}
}

/* Sends a worker's complete lists: its runs, and those that ended since the last report. */
static void report(struct sim *s, struct sim_node *n)
{
	GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct wl_run));
	struct wl_report r = {.node = n->name,
		.worker_instance = n->worker_instance,
		.service = (char *)"s",
		.rack = n->rack,
		.cores_m = 128000,
		.memory_mb = 262144,
		.accelerators = ACCELERATORS_PER_WORKER,
		.covers = s->ordinal, /* the report reflects all starts sent so far */
		.sent_ns = (uint64_t)s->now,
		.ends = (struct wl_ended *)n->ends->data,
		.ends_len = n->ends->len};

	for (guint i = 0; i < n->runs->len; i++) {
		struct sim_run *x = n->runs->pdata[i];
		struct wl_run run = {.task = x->task,
			.attempt = x->attempt,
			.percent = (uint32_t)(100 * (s->now - x->started_at) /
					      MAX(x->ends_at - x->started_at, 1))};

		g_array_append_val(runs, run);
	}
	r.runs = (struct wl_run *)runs->data;
	r.runs_len = runs->len;
	wl_node_report(s->wl, s->now, s->now, &r);
	wl_ack_stored_ends(s->wl);
	for (guint i = 0; i < n->ends->len; i++)
		free(g_array_index(n->ends, struct wl_ended, i).task);
	g_array_set_size(n->ends, 0);
	g_array_free(runs, TRUE);
	n->report_due = false;
	n->next_report = s->now + REPORT_INTERVAL_NS;
}

/* Ends the runs whose time has come. */
static void end_due_runs(struct sim *s, struct sim_node *n)
{
	for (guint i = n->runs->len; i > 0; i--) {
		struct sim_run *r = n->runs->pdata[i - 1];
		struct wl_ended e = {.task = xstrdup(r->task),
			.attempt = r->attempt,
			.number = n->ended + 1,
			.how = r->stopped ? WL_END_STOPPED : WL_END_DONE};

		if (s->now < r->ends_at) {
			free(e.task);
			continue;
		}
		n->ended++;
		s->done += !r->stopped;
		g_array_append_val(n->ends, e);
		g_ptr_array_remove_index(n->runs, i - 1);
		free(r);
		n->report_due = true;
	}
}

/* Returns a random number around a mean, log-uniform within a factor of exp(0.6). */
static double random_around(double mean)
{
	return mean * exp(0.6 * g_random_double_range(-1, 1));
}

static void submit(struct sim *s, const struct job_kind *k)
{
	char id[WL_ID_LEN + 1];
	char org[16];
	int64_t *run_time_ns = g_new(int64_t, 1);
	struct wl_step step = {.count = (uint32_t)MAX(random_around(k->tasks), 1),
		.cores_m = 11000,
		.memory_mb = 23000,
		.accelerators = k->any_size ? 1u << g_random_int_range(0, 4) : 1,
		.gang = k->priority < 2 && g_random_int_range(0, 3) > 0,
		.rack_local = k->priority < 2 && g_random_int_range(0, 2) > 0};
	struct wl_spec spec = {.id = id,
		.queue = (char *)k->queue,
		.service = (char *)"s",
		.org = org,
		.payload = (char *)"x",
		.steps = &step,
		.steps_len = 1};

	g_snprintf(id, sizeof(id), "%016x", ++s->jobs);
	g_snprintf(org, sizeof(org), "o%d", g_random_int_range(0, ORG_COUNT));
	*run_time_ns = (int64_t)(random_around(k->seconds) * (double)NSEC_PER_SEC);
	step.estimate_ms = (uint32_t)(*run_time_ns / NSEC_PER_MSEC);
	g_hash_table_insert(s->run_time, g_strdup(id), run_time_ns);
	wl_job_add(s->wl, s->now, s->now, &spec, NULL);
}

static struct wl_config *make_config(unsigned int workers)
{
	struct wl_config *c = wl_config_new();

	for (size_t i = 0; i < ARRAY_LEN(job_kinds); i++) {
		struct wl_queue *q = xcalloc(1, sizeof(*q));

		q->name = xstrdup(job_kinds[i].queue);
		q->host = xstrdup("h");
		q->prefix = xstrdup(job_kinds[i].queue);
		q->service = xstrdup("s");
		q->priority = job_kinds[i].priority;
		q->attempts_max = 4;
		/* Objective: stretch times the critical path of the job plus target_ms. */
		q->stretch = job_kinds[i].priority == 0 ? 1.5 : 3;
		q->target_ms = 250;
		wl_config_add_queue(c, q);
	}
	for (int i = 0; i < ORG_COUNT; i++) {
		struct wl_org *o = xcalloc(1, sizeof(*o));

		o->name = g_strdup_printf("o%d", i);
		o->keys = g_ptr_array_new_with_free_func(free);
		o->guaranteed = workers * ACCELERATORS_PER_WORKER / (2 * ORG_COUNT);
		wl_config_add_org(c, o);
	}
	return c;
}

static double cpu_time_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static struct wl_callbacks sim_callbacks(struct sim *s)
{
	return (struct wl_callbacks){.start = on_start,
		.stop = on_stop,
		.pace = on_pace,
		.stored = on_stored,
		.dirty = on_dirty,
		.arg = s};
}

#define MEMORY_TASKS  170000
#define TASKS_PER_JOB 17000
#define MEMORY_NODES  10000

/*
 * Prints the memory that the core takes for the tasks of the target size, each of which runs
 * and has saved a checkpoint as short as those of the pages, or longer.
 */
static void measure_memory(size_t checkpoint_len)
{
	struct sim s = {.now = 100 * NSEC_PER_SEC};
	const struct wl_limits limits = {.retention = 150 * NSEC_PER_SEC};
	const struct wl_callbacks callbacks = sim_callbacks(&s);
	struct wl_step step = {.count = TASKS_PER_JOB, .checkpoints = true};
	g_autofree struct wl_mark *marks = g_new0(struct wl_mark, TASKS_PER_JOB);
	g_autofree char *checkpoint = g_strnfill(checkpoint_len, 'c');
	size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;

	s.wl = wl_new(2, &limits, &callbacks);
	for (unsigned int i = 0; i < MEMORY_NODES; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "w%u", i);
		wl_node_await_report(s.wl, s.now, name);
	}
	for (unsigned int j = 0; j < MEMORY_TASKS / TASKS_PER_JOB; j++) {
		char id[17];
		const struct wl_spec spec = {.id = id,
			.queue = (char *)"q",
			.service = (char *)"s",
			.steps = &step,
			.steps_len = 1};
		struct wl_progress p = {
			.state = WL_RUNNING, .marks = marks, .marks_len = TASKS_PER_JOB};

		g_snprintf(id, sizeof(id), "%016x", j);
		for (uint32_t i = 0; i < TASKS_PER_JOB; i++) {
			marks[i].index = i;
			marks[i].attempt = 1;
			marks[i].checkpoint = checkpoint;
			marks[i].node =
				g_strdup_printf("w%u", g_random_int_range(0, MEMORY_NODES));
		}
		wl_job_add(s.wl, s.now, s.now, &spec, &p);
		for (uint32_t i = 0; i < TASKS_PER_JOB; i++)
			g_free(marks[i].node);
	}
	printf("workload what=workload_memory tasks=%d checkpoint=%zu value=%.1f unit=MB\n",
		MEMORY_TASKS, checkpoint_len,
		(double)(mallinfo2().uordblks + mallinfo2().hblkhd - before) / 1e6);
	wl_free(s.wl);
}

int main(int argc, char **argv)
{
	unsigned int workers = argc > 1 ? (unsigned int)atoi(argv[1]) : 62;
	double seconds = argc > 2 ? atof(argv[2]) : 30;
	double load = argc > 3 ? atof(argv[3]) : 1.2;
	const struct wl_limits limits = {.stop_max = 400 * NSEC_PER_MSEC,
		.gang_wait = 4 * NSEC_PER_SEC,
		.remote_penalty = 3,
		.restore = 250 * NSEC_PER_MSEC, /* to resume from a checkpoint */
		.silence_max = 10 * NSEC_PER_SEC,
		.reclaim_max = 2900 * NSEC_PER_MSEC,
		.retention = 150 * NSEC_PER_SEC};
	struct sim s = {.now = 100 * NSEC_PER_SEC};
	const struct wl_callbacks callbacks = sim_callbacks(&s);
	struct wl_config *config = make_config(workers);
	double jobs_due[ARRAY_LEN(job_kinds)] = {0};
	double pass_cpu_s = 0;
	double pass_cpu_max_s = 0;
	double cpu_begin_s;
	unsigned int passes = 0;

	g_random_set_seed(RANDOM_SEED);
	if (argc > 1 && strcmp(argv[1], "memory") == 0) {
		measure_memory(16);
		measure_memory(96);
		return 0;
	}
	s.nodes = g_ptr_array_new();
	s.dirty = g_ptr_array_new_with_free_func(g_free);
	s.run_time = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s.wl = wl_new(1, &limits, &callbacks);
	wl_set_config(s.wl, config);
	for (unsigned int i = 0; i < workers; i++) {
		struct sim_node *n = xcalloc(1, sizeof(*n));

		g_snprintf(n->name, sizeof(n->name), "w%u", i);
		g_snprintf(n->worker_instance, sizeof(n->worker_instance), "l%u", i);
		g_snprintf(n->rack, sizeof(n->rack), "r%u", i / WORKERS_PER_RACK);
		n->runs = g_ptr_array_new();
		n->ends = g_array_new(FALSE, TRUE, sizeof(struct wl_ended));
		n->next_report = s.now + i * REPORT_INTERVAL_NS / workers;
		g_ptr_array_add(s.nodes, n);
		report(&s, n);
	}
	cpu_begin_s = cpu_time_s();
	for (int64_t end = s.now + (int64_t)(seconds * (double)NSEC_PER_SEC); s.now < end;
		s.now += STEP_NS) {
		for (size_t k = 0; k < ARRAY_LEN(job_kinds); k++) {
			double accelerators_per_task =
				job_kinds[k].any_size ? ANY_SIZE_MEAN : 1;
			double jobs_per_s = load * job_kinds[k].share * workers *
					    ACCELERATORS_PER_WORKER /
					    (job_kinds[k].tasks * job_kinds[k].seconds *
						    accelerators_per_task);

			jobs_due[k] += jobs_per_s * (double)STEP_NS / (double)NSEC_PER_SEC;
			for (; jobs_due[k] >= 1; jobs_due[k]--)
				submit(&s, &job_kinds[k]);
		}
		for (guint i = 0; i < s.nodes->len; i++) {
			struct sim_node *n = s.nodes->pdata[i];

			end_due_runs(&s, n);
			if (n->report_due || s.now >= n->next_report)
				report(&s, n);
		}
		complete_store_writes(&s);
		if (wl_pass_needed(s.wl) || s.now % PASS_INTERVAL_NS == 0) {
			double t = cpu_time_s();

			wl_pass(s.wl, s.now, s.now);
			t = cpu_time_s() - t;
			pass_cpu_s += t;
			pass_cpu_max_s = MAX(pass_cpu_max_s, t);
			passes++;
		}
		complete_store_writes(&s);
	}
	printf("workload what=workload_cpu n=%u load=%.1f value=%.2f unit=percent_of_core\n",
		workers, load, 100 * (cpu_time_s() - cpu_begin_s) / seconds);
	printf("workload what=workload_pass n=%u load=%.1f value=%.3f unit=ms\n", workers, load,
		1000 * pass_cpu_s / passes);
	printf("workload what=workload_pass_worst n=%u load=%.1f value=%.2f unit=ms\n", workers,
		load, 1000 * pass_cpu_max_s);
	printf("# jobs=%u starts=%u stops=%u done=%u passes_a_second=%.1f\n", s.jobs, s.starts,
		s.stops, s.done, passes / seconds);
	return 0;
}

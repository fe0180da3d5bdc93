#include "workload-fixture.h"

#include <stdlib.h>
#include <string.h>

static void on_start(void *arg, const char *node, const struct wl_start_order *o)
{
	struct fixture *f = arg;

	f->starts += o->starts_len;
	for (uint32_t i = 0; i < o->starts_len; i++) {
		struct started s = {
			.attempt = o->starts[i].attempt, .ordinal = o->starts[i].ordinal};

		g_strlcpy(s.task, o->starts[i].task, sizeof(s.task));
		g_strlcpy(s.node, node, sizeof(s.node));
		s.checkpoint = g_strdup(
			o->starts[i].checkpoint != NULL ? o->starts[i].checkpoint : "");
		g_array_append_val(f->started, s);
	}
	g_strlcpy(f->last_start, o->starts[o->starts_len - 1].task, sizeof(f->last_start));
	f->last_attempt = o->starts[o->starts_len - 1].attempt;
	f->ordinal = o->starts[o->starts_len - 1].ordinal;
	g_strlcpy(f->last_node, node, sizeof(f->last_node));
}

static void on_stop(void *arg, const char *node, const struct wl_stop_order *o)
{
	struct fixture *f = arg;

	f->stops++;
	f->last_stop_ordinal = o->ordinal;
	g_strlcpy(f->last_stop_node, node, sizeof(f->last_stop_node));
	g_ptr_array_add(f->stopped, g_strdup(o->task));
	g_strlcpy(f->last_stop, o->task, sizeof(f->last_stop));
}

static void on_pace(void *arg, const char *node, const struct wl_pace_order *o)
{
	(void)arg;
	(void)node;
	(void)o;
}

static void on_stored(void *arg, const char *node, const struct wl_stored *s)
{
	struct fixture *f = arg;

	(void)node;
	f->acks++;
	f->acked = s->number;
}

static void on_dirty(void *arg, const char *id, enum wl_store_urgency urgency)
{
	struct fixture *f = arg;

	(void)urgency;
	g_ptr_array_add(f->dirty, g_strdup(id));
}

static void started_clear(void *arg)
{
	g_free(((struct started *)arg)->checkpoint);
}

void store_dirty_jobs(struct fixture *f)
{
	while (!f->store_down && f->dirty->len > 0) {
		g_autofree char *id = g_ptr_array_steal_index(f->dirty, 0);
		uint64_t version;
		struct bytes p = wl_job_progress(f->wl, id, &version);

		bytes_clear(&p);
		wl_job_stored(f->wl, f->now, id, version);
	}
}

/*
 * Adds a queue. Its jobs should complete within stretch times their estimated critical path
 * plus target_ms.
 */
static void add_queue(struct fixture *f, const char *name, uint32_t priority, double stretch)
{
	struct wl_queue *q = xcalloc(1, sizeof(*q));

	q->name = xstrdup(name);
	q->host = xstrdup("h");
	q->prefix = xstrdup(name);
	q->service = xstrdup("s");
	q->priority = priority;
	q->attempts_max = 2;
	q->stretch = stretch;
	q->target_ms = 250;
	wl_config_add_queue(f->config, q);
}

void fixture_init_evacuation(struct fixture *f, int64_t evacuation_max)
{
	const struct wl_limits limits = {.stop_max = 500 * MS,
		.gang_wait = 3 * SEC,
		.remote_penalty = 3,
		.restore = 500 * MS, /* to resume from a checkpoint */
		.silence_max = 10 * SEC,
		.reclaim_max = 3 * SEC,
		.retention = 100 * SEC,
		.record_max = RECORD_MAX,
		.checkpoints_max = CHECKPOINTS_MAX,
		.evacuation_max = evacuation_max};
	const struct wl_callbacks out = {.start = on_start,
		.stop = on_stop,
		.pace = on_pace,
		.stored = on_stored,
		.dirty = on_dirty,
		.arg = f};
	struct wl_org *org = xcalloc(1, sizeof(*org));

	memset(f, 0, sizeof(*f));
	f->now = 100 * SEC;
	f->started = g_array_new(FALSE, FALSE, sizeof(struct started));
	g_array_set_clear_func(f->started, started_clear);
	f->stopped = g_ptr_array_new_with_free_func(g_free);
	f->dirty = g_ptr_array_new_with_free_func(g_free);
	f->config = wl_config_new();
	add_queue(f, "urgent", 0, 1.5);
	add_queue(f, "batch", 2, 3);
	org->name = xstrdup("o");
	org->keys = g_ptr_array_new_with_free_func(free);
	org->guaranteed = 16;
	wl_config_add_org(f->config, org);
	f->wl = wl_new(1, &limits, &out);
	wl_set_config(f->wl, f->config);
}

void fixture_init(struct fixture *f)
{
	fixture_init_evacuation(f, 0);
}

void fixture_clear(struct fixture *f)
{
	wl_free(f->wl);
	wl_config_free(f->config);
	g_array_unref(f->started);
	g_ptr_array_unref(f->stopped);
	g_ptr_array_unref(f->dirty);
}

void report_worker(struct fixture *f, const char *node, struct wl_run *runs, uint32_t runs_len,
	struct wl_ended *ends, uint32_t ends_len)
{
	char worker_instance[32];
	const struct wl_report r = {.node = (char *)node,
		.worker_instance = worker_instance,
		.service = (char *)"s",
		.rack = (char *)"r1",
		.cores_m = 32000,
		.memory_mb = 64000,
		.accelerators = 8,
		.covers = f->ordinal, /* the report reflects all starts sent so far */
		.sent_ns = (uint64_t)f->now,
		.runs = runs,
		.runs_len = runs_len,
		.ends = ends,
		.ends_len = ends_len};

	snprintf(worker_instance, sizeof(worker_instance), "%s@1", node);
	wl_node_report(f->wl, f->now, f->now, &r);
}

void report_idle_workers(struct fixture *f, unsigned int from, unsigned int to)
{
	for (unsigned int i = from; i < to; i++) {
		char name[16];

		snprintf(name, sizeof(name), "w%u", i);
		report_worker(f, name, NULL, 0, NULL, 0);
	}
}

void submit_job(struct fixture *f, unsigned int number, const char *queue, uint32_t count,
	uint32_t accelerators, uint32_t estimate_ms, bool gang)
{
	char id[17];
	struct wl_step step = {.count = count,
		.accelerators = accelerators,
		.cores_m = 1000,
		.memory_mb = 100,
		.estimate_ms = estimate_ms,
		.gang = gang};
	struct wl_spec spec = {.id = id,
		.queue = (char *)queue,
		.service = (char *)"s",
		.org = (char *)"o",
		.steps = &step,
		.steps_len = 1};

	snprintf(id, sizeof(id), "%016x", number);
	wl_job_add(f->wl, f->now, f->now, &spec, NULL);
}

void add_step_job(
	struct fixture *f, const struct wl_step *step, const struct wl_progress *progress)
{
	const struct wl_spec spec = {.id = (char *)"0000000000000001",
		.queue = (char *)"batch",
		.service = (char *)"s",
		.org = (char *)"o",
		.steps = (struct wl_step *)step,
		.steps_len = 1};

	wl_job_add(f->wl, f->now, f->now, &spec, progress);
}

void run_pass(struct fixture *f)
{
	wl_pass(f->wl, f->now, f->now);
	store_dirty_jobs(f);
}

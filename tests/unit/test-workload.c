#include "unit.h"

#include "platform.h"
#include "workload.h"

#include <stdlib.h>
#include <string.h>

#define MS  NSEC_PER_MSEC
#define SEC NSEC_PER_SEC

/* A core with what it has ordered last. */
struct bed {
	struct wl *wl;
	struct wl_config *config;
	int64_t now;
	unsigned int starts;
	unsigned int stops;
	uint64_t ordinal;
	char last_start[80];
	char last_node[16];
	char last_stop[80];
	uint32_t last_attempt;
	GPtrArray *dirty;
	bool store_down;
};

static void on_start(void *arg, const char *node, const struct wl_start_order *o)
{
	struct bed *b = arg;

	b->starts += o->starts_len;
	g_strlcpy(b->last_start, o->starts[o->starts_len - 1].task, sizeof(b->last_start));
	b->last_attempt = o->starts[o->starts_len - 1].attempt;
	b->ordinal = o->starts[o->starts_len - 1].ordinal;
	g_strlcpy(b->last_node, node, sizeof(b->last_node));
}

static void on_stop(void *arg, const char *node, const struct wl_stop_order *o)
{
	struct bed *b = arg;

	(void)node;
	b->stops++;
	g_strlcpy(b->last_stop, o->task, sizeof(b->last_stop));
}

static void on_pace(void *arg, const char *node, const struct wl_pace_order *o)
{
	(void)arg;
	(void)node;
	(void)o;
}

static void on_dirty(void *arg, const char *id)
{
	struct bed *b = arg;

	g_ptr_array_add(b->dirty, g_strdup(id));
}

/* Store all that is to be stored. */
static void store(struct bed *b)
{
	while (!b->store_down && b->dirty->len > 0) {
		g_autofree char *id = g_ptr_array_steal_index(b->dirty, 0);
		uint64_t version;
		struct bytes p = wl_job_progress(b->wl, id, &version);

		bytes_clear(&p);
		wl_job_stored(b->wl, b->now, id, version);
	}
}

static void add_queue(struct bed *b, const char *name, uint32_t priority, double stretch)
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
	wl_config_add_queue(b->config, q);
}

static void bed_open(struct bed *b)
{
	const struct wl_limits limits = {.stop_max = 500 * MS,
		.gang_wait = 3 * SEC,
		.remote_penalty = 3,
		.restore = 500 * MS,
		.silence_max = 10 * SEC,
		.reclaim_max = 3 * SEC,
		.retention = 100 * SEC};
	const struct wl_callbacks out = {.start = on_start,
		.stop = on_stop,
		.pace = on_pace,
		.dirty = on_dirty,
		.arg = b};
	struct wl_org *org = xcalloc(1, sizeof(*org));

	memset(b, 0, sizeof(*b));
	b->now = 100 * SEC;
	b->dirty = g_ptr_array_new_with_free_func(g_free);
	b->config = wl_config_new();
	add_queue(b, "urgent", 0, 1.5);
	add_queue(b, "batch", 2, 3);
	org->name = xstrdup("o");
	org->keys = g_ptr_array_new_with_free_func(free);
	org->guaranteed = 16;
	wl_config_add_org(b->config, org);
	b->wl = wl_new(1, &limits, &out);
	wl_set_config(b->wl, b->config);
}

static void bed_close(struct bed *b)
{
	wl_free(b->wl);
	wl_config_free(b->config);
	g_ptr_array_unref(b->dirty);
}

/* A worker of 8 accelerators reports; runs and ends may be NULL. */
static void report(struct bed *b, const char *node, struct wl_run *runs, uint32_t runs_len,
	struct wl_ended *ends, uint32_t ends_len)
{
	char life[32];
	const struct wl_report r = {.node = (char *)node,
		.life = life,
		.service = (char *)"s",
		.rack = (char *)"r1",
		.cores_m = 32000,
		.memory_mb = 64000,
		.accelerators = 8,
		.covers = b->ordinal,
		.runs = runs,
		.runs_len = runs_len,
		.ends = ends,
		.ends_len = ends_len};

	snprintf(life, sizeof(life), "%s@1", node);
	wl_node_report(b->wl, b->now, b->now, &r);
}

static void submit(struct bed *b, unsigned int number, const char *queue, uint32_t count,
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
	wl_job_add(b->wl, b->now, b->now, &spec, NULL);
}

static void pass(struct bed *b)
{
	wl_pass(b->wl, b->now, b->now);
	store(b);
}

/* No order goes out before the store says where the task may run. */
static void test_place_before_start(void)
{
	struct bed b;

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	b.store_down = true;
	submit(&b, 1, "urgent", 1, 1, 1000, false);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 0);
	b.store_down = false;
	store(&b);
	CU_ASSERT_EQUAL(b.starts, 1);
	CU_ASSERT_STRING_EQUAL(b.last_start, "0000000000000001.0.0.0");
	bed_close(&b);
}

/* Pattern: an urgent job of a whole worker comes while patient small work is about. */
static void test_headroom(void)
{
	struct bed b;

	bed_open(&b);
	for (unsigned int i = 0; i < 4; i++) {
		char name[8];

		snprintf(name, sizeof(name), "w%u", i);
		report(&b, name, NULL, 0, NULL, 0);
	}
	submit(&b, 1, "urgent", 1, 8, 1000, false);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 1);
	submit(&b, 2, "batch", 32, 1, 5000, false);
	pass(&b);
	/* Of the three empty workers one is left alone. */
	CU_ASSERT_EQUAL(b.starts, 1 + 16);
	submit(&b, 3, "urgent", 1, 8, 1000, false);
	pass(&b);
	CU_ASSERT_STRING_EQUAL(b.last_start, "0000000000000003.0.0.0");
	CU_ASSERT_EQUAL(b.stops, 0);
	bed_close(&b);
}

/* Pattern: a guarantee is claimed while others hold all workers; as little as can be is lost.
 */
static void test_reclaim(void)
{
	struct bed b;
	struct wl_run runs[8];
	char names[8][32];

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	submit(&b, 1, "batch", 8, 1, 60000, false);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 8);
	for (unsigned int i = 0; i < 8; i++) {
		snprintf(names[i], sizeof(names[i]), "0000000000000001.0.0.%u", i);
		runs[i] = (struct wl_run){.task = names[i], .attempt = 1, .percent = 1};
	}
	report(&b, "w1", runs, 8, NULL, 0);
	b.now += SEC;
	submit(&b, 2, "urgent", 1, 2, 1000, false);
	pass(&b);
	CU_ASSERT_EQUAL(b.stops, 2);
	/* Asked again while the stops are under way, nothing more is stopped. */
	pass(&b);
	CU_ASSERT_EQUAL(b.stops, 2);
	bed_close(&b);
}

/* Pattern: an urgent job on a full worker where a run is about to end: nothing is stopped for
 * it. */
static void test_waits_for_room(void)
{
	const unsigned int percents[] = {90, 10};

	for (size_t i = 0; i < ARRAY_LEN(percents); i++) {
		struct bed b;
		struct wl_run run = {.task = (char *)"0000000000000001.0.0.0", .attempt = 1};

		bed_open(&b);
		report(&b, "w1", NULL, 0, NULL, 0);
		submit(&b, 1, "batch", 1, 8, 9000, false);
		pass(&b);
		report(&b, "w1", &run, 1, NULL, 0);
		b.now += 1800 * MS;
		run.percent = percents[i];
		report(&b, "w1", &run, 1, NULL, 0);
		submit(&b, 2, "urgent", 1, 8, 2000, false);
		pass(&b);
		CU_ASSERT_EQUAL(b.stops, percents[i] == 90 ? 0 : 1);
		bed_close(&b);
	}
}

/* Pattern: a large task behind small ones; later small ones may not take what it waits for. */
static void test_room_is_kept(void)
{
	struct bed b;
	struct wl_run run = {.task = (char *)"0000000000000001.0.0.0", .attempt = 1};

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	submit(&b, 1, "batch", 1, 1, 2000, false);
	pass(&b);
	report(&b, "w1", &run, 1, NULL, 0);
	submit(&b, 2, "batch", 1, 8, 2000, false);
	submit(&b, 3, "batch", 1, 1, 9000, false);
	submit(&b, 4, "batch", 1, 1, 500, false);
	pass(&b);
	/* The short one ends before the large one can start, the long one would not. */
	CU_ASSERT_EQUAL(b.starts, 2);
	CU_ASSERT_STRING_EQUAL(b.last_start, "0000000000000004.0.0.0");
	bed_close(&b);
}

/* Pattern: data on a full rack; running elsewhere at once would take three times as long. */
static void test_waits_for_rack(void)
{
	struct bed b;
	struct wl_step step = {
		.count = 1, .accelerators = 8, .estimate_ms = 2000, .data_rack = (char *)"r1"};
	struct wl_spec spec = {.id = (char *)"0000000000000002",
		.queue = (char *)"batch",
		.service = (char *)"s",
		.steps = &step,
		.steps_len = 1};
	struct wl_report other = {.node = (char *)"w2",
		.life = (char *)"w2@1",
		.service = (char *)"s",
		.rack = (char *)"r2",
		.cores_m = 32000,
		.memory_mb = 64000,
		.accelerators = 8};

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	submit(&b, 1, "batch", 1, 8, 9000, false);
	pass(&b);
	wl_node_report(b.wl, b.now, b.now, &other);
	wl_job_add(b.wl, b.now, b.now, &spec, NULL);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 1);
	/* Half of the 4 s that it loses elsewhere are over. */
	b.now += 2100 * MS;
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 2);
	CU_ASSERT_STRING_EQUAL(b.last_node, "w2");
	bed_close(&b);
}

/* A gang starts whole or not at all. */
static void test_gang_whole(void)
{
	struct bed b;

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	submit(&b, 1, "urgent", 3, 4, 1000, true);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 0);
	report(&b, "w2", NULL, 0, NULL, 0);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 3);
	bed_close(&b);
}

/* After a takeover a task that may run on a silent node waits; others start at once. */
static void test_held_after_takeover(void)
{
	struct bed b;
	struct wl_mark mark = {.node = (char *)"w1", .attempt = 1};
	struct wl_progress p = {.state = WL_RUNNING, .marks = &mark, .marks_len = 1};
	struct wl_step step = {.count = 2, .accelerators = 1, .estimate_ms = 1000};
	struct wl_spec spec = {.id = (char *)"0000000000000001",
		.queue = (char *)"urgent",
		.service = (char *)"s",
		.steps = &step,
		.steps_len = 1};
	GPtrArray *gone;

	bed_open(&b);
	wl_node_await_report(b.wl, b.now, "w1");
	wl_job_add(b.wl, b.now, b.now, &spec, &p);
	report(&b, "w2", NULL, 0, NULL, 0);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 1);
	CU_ASSERT_STRING_EQUAL(b.last_start, "0000000000000001.0.0.1");
	b.now += 11 * SEC;
	gone = wl_nodes_expired(b.wl, b.now);
	CU_ASSERT_EQUAL(gone->len, 1);
	g_ptr_array_unref(gone);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 2);
	CU_ASSERT_STRING_EQUAL(b.last_start, "0000000000000001.0.0.0");
	bed_close(&b);
}

/* An end may be forgotten by the worker only once its effect is stored. */
static void test_ends_after_store(void)
{
	struct bed b;
	struct wl_ended end = {
		.number = 1, .task = (char *)"0000000000000001.0.0.0", .attempt = 1};
	const char *life;
	uint64_t number;

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	submit(&b, 1, "urgent", 1, 1, 1000, false);
	pass(&b);
	b.store_down = true;
	report(&b, "w1", NULL, 0, &end, 1);
	CU_ASSERT_FALSE(wl_node_ends_stored(b.wl, "w1", &life, &number));
	b.store_down = false;
	store(&b);
	CU_ASSERT_TRUE_FATAL(wl_node_ends_stored(b.wl, "w1", &life, &number));
	CU_ASSERT_EQUAL(number, 1);
	bed_close(&b);
}

/*
 * Pattern: an agent restarts with a start under way that its worker carries out late. Without a
 * word on that start the task may run nowhere else, and its room stays taken.
 */
static void test_unanswered_start(void)
{
	struct bed b;
	struct wl_answer_note note = {.life = (char *)"w1@1",
		.task = (char *)"0000000000000001.0.0.0",
		.attempt = 1,
		.answer = WL_ANSWER_REFUSED_OTHER};

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	submit(&b, 1, "urgent", 1, 8, 1000, false);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 1);
	note.ordinal = b.ordinal;
	report(&b, "w1", NULL, 0, NULL, 0);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 1);
	CU_ASSERT_EQUAL(b.stops, 1);
	wl_node_answer(b.wl, b.now, &note);
	b.now += SEC;
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 2);
	bed_close(&b);
}

/* A task that fails as often as it may ends its job; one failure listed twice counts once. */
static void test_failures(void)
{
	struct bed b;
	struct wl_ended ends[] = {{.number = 1,
					  .task = (char *)"0000000000000001.0.0.0",
					  .attempt = 1,
					  .how = WL_END_FAILED},
		{.number = 2,
			.task = (char *)"0000000000000001.0.0.0",
			.attempt = 1,
			.how = WL_END_FAILED},
		{.number = 3,
			.task = (char *)"0000000000000001.0.0.0",
			.attempt = 2,
			.how = WL_END_FAILED}};
	struct wl_progress p = {0};
	struct bytes stored;
	uint64_t version;

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	submit(&b, 1, "urgent", 1, 1, 1000, false);
	pass(&b);
	report(&b, "w1", NULL, 0, ends, 2);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 2);
	CU_ASSERT_EQUAL(b.last_attempt, 2);
	report(&b, "w1", NULL, 0, ends, 3);
	stored = wl_job_progress(b.wl, "0000000000000001", &version);
	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, &p, stored.data, stored.len, NULL));
	CU_ASSERT_EQUAL(p.state, WL_FAILED);
	fields_clear(&wl_progress_fields, &p);
	bytes_clear(&stored);
	bed_close(&b);
}

/* Pattern: all lose power; what runs had saved is in the store by then. */
static void test_checkpoints_outlive(void)
{
	struct bed b;
	struct wl_run run = {.task = (char *)"0000000000000001.0.0.0",
		.attempt = 1,
		.checkpoint = (char *)"00ab"};
	struct wl_step step = {
		.count = 1, .accelerators = 1, .estimate_ms = 9000, .checkpoints = true};
	struct wl_spec spec = {.id = (char *)"0000000000000001",
		.queue = (char *)"batch",
		.service = (char *)"s",
		.steps = &step,
		.steps_len = 1};
	struct wl_progress p = {0};
	struct bytes stored;
	uint64_t version;

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	wl_job_add(b.wl, b.now, b.now, &spec, NULL);
	pass(&b);
	report(&b, "w1", &run, 1, NULL, 0);
	b.store_down = true;
	pass(&b);
	CU_ASSERT_EQUAL(b.dirty->len, 1);
	stored = wl_job_progress(b.wl, spec.id, &version);
	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, &p, stored.data, stored.len, NULL));
	CU_ASSERT_EQUAL_FATAL(p.marks_len, 1);
	CU_ASSERT_STRING_EQUAL(p.marks[0].checkpoint, "00ab");
	fields_clear(&wl_progress_fields, &p);
	bytes_clear(&stored);
	bed_close(&b);
}

/* A worker that may be leaving lists its only run. */
static void report_run(struct bed *b, uint32_t percent, uint32_t leaves_in_ms)
{
	struct wl_run run = {
		.task = (char *)"0000000000000001.0.0.0", .attempt = 1, .percent = percent};
	const struct wl_report r = {.node = (char *)"w1",
		.life = (char *)"w1@1",
		.service = (char *)"s",
		.accelerators = 8,
		.cores_m = 32000,
		.memory_mb = 64000,
		.draining = leaves_in_ms > 0,
		.leaves_in_ms = leaves_in_ms,
		.covers = b->ordinal,
		.runs = &run,
		.runs_len = 1};

	wl_node_report(b->wl, b->now, b->now, &r);
}

/* A leaving worker gets nothing new, and what cannot end there in time moves. */
static void test_leaving(void)
{
	struct bed b;

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	submit(&b, 1, "batch", 1, 1, 9000, false);
	pass(&b);
	report_run(&b, 0, 1000);
	submit(&b, 2, "urgent", 1, 1, 500, false);
	pass(&b);
	CU_ASSERT_EQUAL(b.starts, 1);
	CU_ASSERT_EQUAL(b.stops, 1);
	bed_close(&b);
}

/* Between two lists of a leaving worker a run moves on: one that ends in time is left alone. */
static void test_leaving_in_time(void)
{
	struct bed b;

	bed_open(&b);
	report(&b, "w1", NULL, 0, NULL, 0);
	submit(&b, 1, "batch", 1, 1, 9000, false);
	pass(&b);
	report_run(&b, 0, 0);
	b.now += SEC;
	report_run(&b, 50, 2000);
	pass(&b);
	b.now += 900 * MS;
	pass(&b);
	CU_ASSERT_EQUAL(b.stops, 0);
	bed_close(&b);
}

/* What callers and operators send is read, and what cannot be is refused. */
static void test_platform_reads(void)
{
	static const char *const bad[] = {"", "[]", "{}", "{\"steps\":{}}", "{\"steps\":[]}",
		"{\"steps\":[{\"count\":0}]}", "{\"steps\":[{\"count\":-1}]}",
		"{\"steps\":[{\"count\":\"x\"}]}", "{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":1}],\"repetitions\":1e12}",
		"{\"spec\":3,\"steps\":[{\"count\":1}]}"};
	static const char good[] =
		"{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"gpu\":4,"
		"\"gang_scheduled\":true},{\"count\":1,\"after\":[0],\"new\":1}]}";
	struct wl_spec s = {.id = xstrdup("5c0e7a21d94b36f8")};
	struct bytes text = {(void *)good, strlen(good)};

	CU_ASSERT_TRUE(pf_job_parse(&text, &s, NULL));
	CU_ASSERT_EQUAL(s.steps_len, 2);
	CU_ASSERT_TRUE(s.steps[0].gang);
	CU_ASSERT_EQUAL(s.steps[0].accelerators, 4);
	fields_clear(&wl_spec_fields, &s);
	for (size_t i = 0; i < ARRAY_LEN(bad); i++) {
		g_autoptr(GError) err = NULL;

		s = (struct wl_spec){.id = xstrdup("5c0e7a21d94b36f8")};
		text = (struct bytes){(void *)bad[i], strlen(bad[i])};
		CU_ASSERT_FALSE(pf_job_parse(&text, &s, &err));
		CU_ASSERT_PTR_NOT_NULL(err);
		fields_clear(&wl_spec_fields, &s);
	}
}

/* The longest prefix of a host wins, and a key names its organisation. */
static void test_platform_config(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.x\",\"prefix\":\"/p/"
		"\","
		"\"service\":\"s\"},{\"name\":\"b\",\"host\":\"h.x\",\"prefix\":\"/p/q/\","
		"\"service\":\"s\",\"public\":true},{\"name\":3}],"
		"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\",4],\"guaranteed\":{\"gpu\":"
		"16}}]}";
	const struct bytes b = {(void *)text, strlen(text)};
	const struct bytes junk = {(void *)"{\"routes\":1}", 12};
	struct wl_config *c = pf_config_parse(&b, 9, NULL);
	g_autoptr(GError) err = NULL;

	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_STRING_EQUAL(wl_config_route(c, "H.x:80", "/p/1")->name, "a");
	CU_ASSERT_STRING_EQUAL(wl_config_route(c, "h.x", "/p/q/1")->name, "b");
	CU_ASSERT_PTR_NULL(wl_config_route(c, "h.y", "/p/1"));
	CU_ASSERT_EQUAL(wl_config_key(c, "k")->guaranteed, 16);
	CU_ASSERT_PTR_NULL(wl_config_key(c, "z"));
	wl_config_free(c);
	CU_ASSERT_PTR_NULL(pf_config_parse(&junk, 1, &err));
	CU_ASSERT_PTR_NOT_NULL(err);
}

/* A worker's report is taken only when it is whole; others' junk names no worker. */
static void test_platform_beat(void)
{
	static const char good[] =
		"{\"service\":\"s\",\"state\":\"draining\",\"drain_remaining_ms\":900,\"born\":"
		"5,"
		"\"capacity\":{\"cpu\":1000,\"task_memory_mb\":10,\"gpu\":2},\"labels\":[\"a\","
		"\"r1-3\"]}";
	static const char junk[] = "{\"service\":\"s\",\"state\":\"odd\",\"capacity\":{}}";
	struct bytes text = {(void *)good, strlen(good)};
	struct pf_heartbeat b;

	CU_ASSERT_EQUAL(
		pf_heartbeat_parse("PUT", "/v1/instances/i-1", &text, &b), PF_HEARTBEAT_REPORT);
	CU_ASSERT_STRING_EQUAL(b.id, "i-1");
	CU_ASSERT_STRING_EQUAL(b.worker_report.rack, "r1-3");
	CU_ASSERT_TRUE(b.worker_report.draining);
	pf_heartbeat_clear(&b);
	CU_ASSERT_EQUAL(pf_heartbeat_parse("DELETE", "/v1/instances/i-1", &text, &b),
		PF_HEARTBEAT_LEAVE);
	pf_heartbeat_clear(&b);
	text = (struct bytes){(void *)junk, strlen(junk)};
	CU_ASSERT_EQUAL(pf_heartbeat_parse("PUT", "/v1/instances/i-1", &text, &b),
		PF_HEARTBEAT_INVALID);
	CU_ASSERT_EQUAL(
		pf_heartbeat_parse("PUT", "/elsewhere", &text, &b), PF_HEARTBEAT_INVALID);
}

void unit_workload(CU_pSuite s)
{
	CU_add_test(s, "a place is stored before the start", test_place_before_start);
	CU_add_test(s, "headroom for urgent work", test_headroom);
	CU_add_test(s, "a guarantee is reclaimed", test_reclaim);
	CU_add_test(s, "an urgent job waits for room that comes in time", test_waits_for_room);
	CU_add_test(s, "room is kept for a large task", test_room_is_kept);
	CU_add_test(s, "a unit waits for its rack", test_waits_for_rack);
	CU_add_test(s, "a gang starts whole", test_gang_whole);
	CU_add_test(s, "a takeover waits for silent nodes only", test_held_after_takeover);
	CU_add_test(s, "ends are forgotten once stored", test_ends_after_store);
	CU_add_test(s, "a start without an answer holds its task", test_unanswered_start);
	CU_add_test(s, "failures are counted once", test_failures);
	CU_add_test(s, "checkpoints outlive the processes", test_checkpoints_outlive);
	CU_add_test(s, "a leaving worker is emptied", test_leaving);
	CU_add_test(
		s, "a run that ends in time stays on a leaving worker", test_leaving_in_time);
	CU_add_test(s, "jobs of the platform are read", test_platform_reads);
	CU_add_test(s, "the platform's configuration is read", test_platform_config);
	CU_add_test(s, "workers' reports are read", test_platform_beat);
}

#include "unit.h"

#include "platform.h"
#include "workload-fixture.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* No start order is sent before the task's placement is stored. */
static void test_placement_stored_before_start(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	f.store_down = true;
	submit_job(&f, 1, "urgent", 1, 1, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 0);
	f.store_down = false;
	store_dirty_jobs(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000001.0.0.0");
	fixture_clear(&f);
}

/* Submits a job whose steps depend on all steps of the layer before; a layer has width steps.
 */
static void submit_layers(struct fixture *f, const char *id, uint32_t steps, uint32_t width,
	const uint32_t *estimates_ms)
{
	struct wl_step list[WL_STEPS_MAX] = {0};
	struct wl_step_ref after[WL_STEPS_MAX];
	struct wl_spec spec = {.id = (char *)id,
		.queue = (char *)"batch",
		.service = (char *)"s",
		.org = (char *)"o",
		.steps = list,
		.steps_len = steps};

	for (uint32_t s = 0; s < steps; s++) {
		after[s].step = s;
		list[s] = (struct wl_step){.count = 1,
			.accelerators = 8,
			.estimate_ms = estimates_ms != NULL ? estimates_ms[s] : 100};
		if (s >= width) {
			list[s].after = &after[s - s % width - width];
			list[s].after_len = width;
		}
	}
	wl_job_add(f->wl, f->now, f->now, &spec, NULL);
}

/*
 * A job with a long chain of steps, or with many paths through them, is accepted: a pass takes
 * so long that the coordinator loses its term, and so does the next one.
 */
static void test_pass_time_of_many_paths(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_layers(&f, "0000000000000001", WL_STEPS_MAX, 1, NULL);
	submit_layers(&f, "0000000000000002", WL_STEPS_MAX, 4, NULL);
	/* Ends the process if the pass doesn't end. */
	alarm(10);
	run_pass(&f);
	alarm(0);
	CU_ASSERT_EQUAL(f.starts, 1);
	fixture_clear(&f);
}

/* Of two jobs, the one whose longest chain of steps is shorter has less slack. */
static void test_order_by_longest_chain(void)
{
	const uint32_t short_chain[] = {100, 900, 100, 8500};
	const uint32_t long_chain[] = {100, 9500, 100, 400};

	for (int first = 0; first <= 1; first++) {
		struct fixture f;

		fixture_init(&f);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		submit_layers(&f, "0000000000000001", 4, 2, first ? long_chain : short_chain);
		submit_layers(&f, "0000000000000002", 4, 2, first ? short_chain : long_chain);
		run_pass(&f);
		CU_ASSERT_EQUAL(f.starts, 1);
		CU_ASSERT_EQUAL(strncmp(f.last_start,
					first ? "0000000000000002" : "0000000000000001", 16),
			0);
		fixture_clear(&f);
	}
}

/*
 * Small batch tasks are queued, then an urgent job needs a whole worker. It starts at once
 * without preemption, as the batch tasks don't fill all workers.
 */
static void test_headroom(void)
{
	struct fixture f;

	fixture_init(&f);
	report_idle_workers(&f, 0, 4);
	submit_job(&f, 1, "urgent", 1, 8, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	submit_job(&f, 2, "batch", 32, 1, 5000, false);
	run_pass(&f);
	/* One of the three empty workers is kept as headroom. */
	CU_ASSERT_EQUAL(f.starts, 1 + 16);
	submit_job(&f, 3, "urgent", 1, 8, 1000, false);
	run_pass(&f);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000003.0.0.0");
	CU_ASSERT_EQUAL(f.stops, 0);
	fixture_clear(&f);
}

/*
 * An urgent job claims its guarantee while batch tasks occupy the worker. Only as many are
 * preempted as are needed, here two.
 */
static void test_reclaim(void)
{
	struct fixture f;
	struct wl_run runs[8];
	char names[8][32];

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 8, 1, 60000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 8);
	for (unsigned int i = 0; i < 8; i++) {
		snprintf(names[i], sizeof(names[i]), "0000000000000001.0.0.%u", i);
		runs[i] = (struct wl_run){.task = names[i], .attempt = 1, .percent = 1};
	}
	report_worker(&f, "w1", runs, 8, NULL, 0);
	f.now += SEC;
	submit_job(&f, 2, "urgent", 1, 2, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.stops, 2);
	/* The next pass counts the runs that are being stopped and preempts no more. */
	run_pass(&f);
	CU_ASSERT_EQUAL(f.stops, 2);
	fixture_clear(&f);
}

/*
 * LOST, RECLAIM: an urgent job within its guarantee is far too late, and runs are preempted for
 * it. A batch task must not get the room first, in each pass anew, only to be preempted.
 */
static void test_late_claim_comes_first(void)
{
	struct fixture f;

	fixture_init(&f);
	submit_job(&f, 1, "urgent", 1, 8, 1000, false);
	f.now += 60 * SEC;
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 2, "batch", 1, 8, 9000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000001.0.0.0");
	CU_ASSERT_EQUAL(f.stops, 0);
	fixture_clear(&f);
}

/*
 * An urgent job needs a fully occupied worker. A run that is about to end is not preempted for
 * it; one that has far to go is.
 */
static void test_waits_for_ending_run(void)
{
	const unsigned int percents[] = {90, 10};

	for (size_t i = 0; i < ARRAY_LEN(percents); i++) {
		struct fixture f;
		struct wl_run run = {.task = (char *)"0000000000000001.0.0.0", .attempt = 1};

		fixture_init(&f);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		submit_job(&f, 1, "batch", 1, 8, 9000, false);
		run_pass(&f);
		report_worker(&f, "w1", &run, 1, NULL, 0);
		f.now += 1800 * MS;
		run.percent = percents[i];
		report_worker(&f, "w1", &run, 1, NULL, 0);
		submit_job(&f, 2, "urgent", 1, 8, 2000, false);
		run_pass(&f);
		CU_ASSERT_EQUAL(f.stops, percents[i] == 90 ? 0 : 1);
		fixture_clear(&f);
	}
}

/*
 * A large task waits for a small one to end. Resources are reserved for it, so that small tasks
 * submitted later don't delay it.
 */
static void test_reserves_for_large_task(void)
{
	struct fixture f;
	struct wl_run run = {.task = (char *)"0000000000000001.0.0.0", .attempt = 1};

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 1, 2000, false);
	run_pass(&f);
	report_worker(&f, "w1", &run, 1, NULL, 0);
	submit_job(&f, 2, "batch", 1, 8, 2000, false);
	submit_job(&f, 3, "batch", 1, 1, 9000, false);
	submit_job(&f, 4, "batch", 1, 1, 500, false);
	run_pass(&f);
	/* Only the short task ends before the large one can start. */
	CU_ASSERT_EQUAL(f.starts, 2);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000004.0.0.0");
	fixture_clear(&f);
}

/*
 * The rack that holds a task's data is full, and elsewhere the task takes three times as long.
 * It waits for its rack at first, then starts elsewhere.
 */
static void test_waits_for_rack(void)
{
	struct fixture f;
	struct wl_step step = {
		.count = 1, .accelerators = 8, .estimate_ms = 2000, .data_rack = (char *)"r1"};
	struct wl_spec spec = {.id = (char *)"0000000000000002",
		.queue = (char *)"batch",
		.service = (char *)"s",
		.steps = &step,
		.steps_len = 1};
	struct wl_report remote = {.node = (char *)"w2",
		.worker_instance = (char *)"w2@1",
		.service = (char *)"s",
		.rack = (char *)"r2",
		.cores_m = 32000,
		.memory_mb = 64000,
		.accelerators = 8};

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 8, 9000, false);
	run_pass(&f);
	wl_node_report(f.wl, f.now, f.now, &remote);
	wl_job_add(f.wl, f.now, f.now, &spec, NULL);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	/* The wait is limited to half of the 4 s that running elsewhere costs. */
	f.now += 2100 * MS;
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	CU_ASSERT_STRING_EQUAL(f.last_node, "w2");
	fixture_clear(&f);
}

/* A gang starts with all its members or not at all. */
static void test_gang_starts_whole(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "urgent", 3, 4, 1000, true);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 0);
	report_worker(&f, "w2", NULL, 0, NULL, 0);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 3);
	fixture_clear(&f);
}

/*
 * After a takeover, a task that may be running on a node that has not reported waits until the
 * node's leases have expired. Other tasks start at once.
 */
static void test_unconfirmed_after_takeover(void)
{
	struct fixture f;
	struct wl_mark mark = {.node = (char *)"w1", .attempt = 1};
	struct wl_progress p = {.state = WL_RUNNING, .marks = &mark, .marks_len = 1};
	struct wl_step step = {.count = 2, .accelerators = 1, .estimate_ms = 1000};
	struct wl_spec spec = {.id = (char *)"0000000000000001",
		.queue = (char *)"urgent",
		.service = (char *)"s",
		.steps = &step,
		.steps_len = 1};
	struct wl_run run = {.task = (char *)"0000000000000001.0.0.1", .attempt = 1};
	GPtrArray *expired;

	fixture_init(&f);
	wl_node_await_report(f.wl, f.now, "w1");
	wl_job_add(f.wl, f.now, f.now, &spec, &p);
	report_worker(&f, "w2", NULL, 0, NULL, 0);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000001.0.0.1");
	f.now += 11 * SEC;
	/* The live worker reports each second. */
	report_worker(&f, "w2", &run, 1, NULL, 0);
	expired = wl_nodes_expired(f.wl, f.now);
	CU_ASSERT_EQUAL(expired->len, 1);
	g_ptr_array_unref(expired);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	CU_ASSERT_STRING_EQUAL(f.last_start, "0000000000000001.0.0.0");
	fixture_clear(&f);
}

/* A finished run is acknowledged to the worker only after its effect is stored. */
static void test_ends_acked_after_store(void)
{
	struct fixture f;
	struct wl_ended end = {
		.number = 1, .task = (char *)"0000000000000001.0.0.0", .attempt = 1};

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "urgent", 1, 1, 1000, false);
	run_pass(&f);
	f.store_down = true;
	report_worker(&f, "w1", NULL, 0, &end, 1);
	wl_ack_stored_ends(f.wl);
	CU_ASSERT_EQUAL(f.acks, 0);
	f.store_down = false;
	store_dirty_jobs(&f);
	wl_ack_stored_ends(f.wl);
	CU_ASSERT_EQUAL(f.acked, 1);
	wl_ack_stored_ends(f.wl);
	CU_ASSERT_EQUAL(f.acks, 1);
	fixture_clear(&f);
}

/*
 * The acknowledgement of a finished run is lost with the agent's connection. The worker lists
 * the run until it is acknowledged, so the next connection gets the number again.
 */
static void test_ack_repeated_on_new_connection(void)
{
	struct fixture f;
	struct wl_ended end = {
		.number = 1, .task = (char *)"0000000000000001.0.0.0", .attempt = 1};

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "urgent", 1, 1, 1000, false);
	run_pass(&f);
	report_worker(&f, "w1", NULL, 0, &end, 1);
	store_dirty_jobs(&f);
	wl_ack_stored_ends(f.wl);
	CU_ASSERT_EQUAL(f.acks, 1);
	wl_node_unreachable(f.wl, f.now, "w1");
	wl_node_connected(f.wl, "w1");
	report_worker(&f, "w1", NULL, 0, &end, 1);
	wl_ack_stored_ends(f.wl);
	CU_ASSERT_EQUAL(f.acks, 2);
	CU_ASSERT_EQUAL(f.acked, 1);
	fixture_clear(&f);
}

/*
 * A start gets no answer because the agent restarted, and the next report doesn't list the run.
 * The worker may still execute the start late, so a second start could make the task run twice.
 * The scheduler sends a stop instead. Until the agent answers the start, the task must not
 * start again and its resources stay allocated.
 */
static void test_unanswered_start(void)
{
	struct fixture f;
	struct wl_answer_note answer = {.worker_instance = (char *)"w1@1",
		.task = (char *)"0000000000000001.0.0.0",
		.attempt = 1,
		/* Also the agent's answer once the stop ensures that the start can't run. */
		.answer = WL_ANSWER_REFUSED_OTHER};

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "urgent", 1, 8, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	answer.ordinal = f.ordinal;
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	CU_ASSERT_EQUAL(f.stops, 1);
	wl_node_answer(f.wl, f.now, &answer);
	f.now += SEC;
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	fixture_clear(&f);
}

/*
 * A job fails when one of its tasks has failed attempts_max times. A failed attempt that is
 * listed twice counts once.
 */
static void test_failures_counted_once(void)
{
	struct fixture f;
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

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "urgent", 1, 1, 1000, false);
	run_pass(&f);
	report_worker(&f, "w1", NULL, 0, ends, 2);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	CU_ASSERT_EQUAL(f.last_attempt, 2);
	report_worker(&f, "w1", NULL, 0, ends, 3);
	stored = wl_job_progress(f.wl, "0000000000000001", &version);
	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, &p, stored.data, stored.len, NULL));
	CU_ASSERT_EQUAL(p.state, WL_FAILED);
	fields_clear(&wl_progress_fields, &p);
	bytes_clear(&stored);
	fixture_clear(&f);
}

/* Reports that the last start has failed, and starts the task again after its delay. */
static void fail_attempt(struct fixture *f, uint64_t number)
{
	struct wl_ended end = {.number = number,
		.task = f->last_start,
		.attempt = f->last_attempt,
		.how = WL_END_FAILED};

	report_worker(f, "w1", NULL, 0, &end, 1);
	f->now += 10 * SEC;
	report_worker(f, "w1", NULL, 0, NULL, 0);
	run_pass(f);
}

/* Decodes a job's record and returns its state. */
static uint32_t read_record(struct fixture *f, const char *id, struct wl_progress *p)
{
	uint64_t version;
	struct bytes stored = wl_job_progress(f->wl, id, &version);

	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, p, stored.data, stored.len, NULL));
	bytes_clear(&stored);
	return p->state;
}

/* Returns the state of a stored job after its task has failed a number of times more. */
static uint32_t state_after_failures(
	const struct wl_settings *accepted, struct wl_progress *record, unsigned int failures)
{
	struct fixture f;
	struct wl_progress p = {0};
	struct wl_step step = {.count = 1, .accelerators = 1, .estimate_ms = 1000};
	struct wl_spec spec = {.id = (char *)"0000000000000001",
		.queue = (char *)"removed",
		.service = (char *)"s",
		.org = (char *)"o",
		.steps = &step,
		.steps_len = 1,
		.settings = *accepted};
	uint32_t state;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	wl_job_add(f.wl, f.now, f.now, &spec, record);
	run_pass(&f);
	for (unsigned int i = 1; i <= failures; i++)
		fail_attempt(&f, i);
	state = read_record(&f, spec.id, &p);
	fields_clear(&wl_progress_fields, &p);
	fixture_clear(&f);
	return state;
}

/*
 * The coordinator restarts while the configuration lacks a job's queue: the job must not fail
 * before, nor run after, the attempts that its queue allowed.
 */
static void test_settings_survive_takeover(void)
{
	struct fixture f;
	const struct wl_settings unknown = {0};
	struct wl_queue *q = xcalloc(1, sizeof(*q));
	struct wl_progress record = {0};

	fixture_init(&f);
	q->name = xstrdup("removed");
	q->host = xstrdup("h");
	q->prefix = xstrdup("removed");
	q->service = xstrdup("s");
	q->attempts_max = 6;
	q->stretch = 3;
	wl_config_add_queue(f.config, q);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "removed", 1, 1, 1000, false);
	run_pass(&f);
	fail_attempt(&f, 1);
	fail_attempt(&f, 2);
	read_record(&f, "0000000000000001", &record);
	CU_ASSERT_EQUAL(record.marks_len, 1);
	CU_ASSERT_EQUAL(record.marks[0].failures, 2);
	/* The fixtures have the same term, so the next one counts attempts from 1 as well. */
	record.marks[0].failed_attempt = 0;
	CU_ASSERT_NOT_EQUAL(state_after_failures(&unknown, &record, 3), WL_FAILED);
	CU_ASSERT_EQUAL(state_after_failures(&unknown, &record, 4), WL_FAILED);
	fields_clear(&wl_progress_fields, &record);
	fixture_clear(&f);
}

/* The queue is removed before the coordinator reads the job: the settings at acceptance hold.
 */
static void test_settings_as_accepted(void)
{
	const struct wl_settings accepted = {
		.priority = 1, .attempts_max = 5, .stretch_milli = 3000};

	CU_ASSERT_NOT_EQUAL(state_after_failures(&accepted, NULL, 4), WL_FAILED);
	CU_ASSERT_EQUAL(state_after_failures(&accepted, NULL, 5), WL_FAILED);
}

/* A record of an earlier version has no settings: it is read, and gets the fallback. */
static void test_record_without_settings(void)
{
	const struct wl_progress old = {
		.state = WL_RUNNING, .queue = (char *)"removed", .org = (char *)"o"};
	const struct wl_settings unknown = {0};
	struct field_table table = wl_progress_fields;
	struct wl_progress record = {0};
	struct bytes stored;

	table.count--;
	stored = fields_encode(&table, &old);
	CU_ASSERT_TRUE(
		fields_decode(&wl_progress_fields, &record, stored.data, stored.len, NULL));
	CU_ASSERT_NOT_EQUAL(state_after_failures(&unknown, &record, 2), WL_FAILED);
	CU_ASSERT_EQUAL(state_after_failures(&unknown, &record, 3), WL_FAILED);
	fields_clear(&wl_progress_fields, &record);
	bytes_clear(&stored);
}

/*
 * A new configuration changes the settings of jobs that wait: they are stored without another
 * change of the jobs, a bounded number in a pass.
 */
static void test_changed_settings_stored(void)
{
	struct fixture f;
	struct wl_queue *q;
	struct wl_progress record = {0};

	fixture_init(&f);
	for (unsigned int i = 1; i <= 100; i++)
		submit_job(&f, i, "batch", 1, 1, 1000, false);
	run_pass(&f);
	q = (struct wl_queue *)wl_config_queue(f.config, "batch");
	q->attempts_max = 5;
	wl_set_config(f.wl, f.config);
	wl_pass(f.wl, f.now, f.now);
	CU_ASSERT_TRUE(f.dirty->len > 0 && f.dirty->len <= 20);
	for (int i = 0; i < 20; i++)
		wl_pass(f.wl, f.now, f.now);
	CU_ASSERT_EQUAL(f.dirty->len, 100);
	read_record(&f, "0000000000000001", &record);
	CU_ASSERT_EQUAL(record.settings.attempts_max, 5);
	fields_clear(&wl_progress_fields, &record);
	fixture_clear(&f);
}

/* Returns the state in the record of the job 0000000000000001. */
static uint32_t stored_state(struct fixture *f)
{
	struct wl_progress p = {0};
	uint32_t state = read_record(f, "0000000000000001", &p);

	fields_clear(&wl_progress_fields, &p);
	return state;
}

/* Answers the last start order. */
static void answer_start(struct fixture *f, uint32_t how)
{
	const struct wl_answer_note answer = {.worker_instance = (char *)"w1@1",
		.task = f->last_start,
		.attempt = f->last_attempt,
		.ordinal = f->ordinal,
		.answer = how};

	wl_node_answer(f->wl, f->now, &answer);
}

/*
 * A job that is placed and refused waits: it must count as queued all the time, or the depth of
 * its queue is told as 0. Once a run has started it stays running.
 */
static void test_refused_job_is_queued(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "urgent", 1, 8, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(stored_state(&f), WL_QUEUED);
	answer_start(&f, WL_ANSWER_UNHEALTHY);
	CU_ASSERT_EQUAL(f.dirty->len, 0);
	CU_ASSERT_EQUAL(stored_state(&f), WL_QUEUED);
	f.now += 10 * SEC;
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	run_pass(&f);
	CU_ASSERT_EQUAL(stored_state(&f), WL_QUEUED);
	answer_start(&f, WL_ANSWER_RUNNING);
	CU_ASSERT_EQUAL(f.dirty->len, 1);
	store_dirty_jobs(&f);
	CU_ASSERT_EQUAL(stored_state(&f), WL_RUNNING);
	fail_attempt(&f, 1);
	answer_start(&f, WL_ANSWER_UNHEALTHY);
	CU_ASSERT_EQUAL(stored_state(&f), WL_RUNNING);
	fixture_clear(&f);
}

/*
 * A checkpoint that a worker reports is part of the job's progress, which becomes due for
 * storing while the run goes on. Once stored, it survives a power loss of all VMs.
 */
static void test_checkpoints_stored(void)
{
	struct fixture f;
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

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	wl_job_add(f.wl, f.now, f.now, &spec, NULL);
	run_pass(&f);
	report_worker(&f, "w1", &run, 1, NULL, 0);
	store_dirty_jobs(&f);
	f.store_down = true;
	run_pass(&f);
	CU_ASSERT_EQUAL(f.dirty->len, 1);
	stored = wl_job_progress(f.wl, spec.id, &version);
	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, &p, stored.data, stored.len, NULL));
	CU_ASSERT_EQUAL_FATAL(p.marks_len, 1);
	CU_ASSERT_STRING_EQUAL(p.marks[0].checkpoint, "00ab");
	fields_clear(&wl_progress_fields, &p);
	bytes_clear(&stored);
	fixture_clear(&f);
}

/* Reports that a worker lists a member of the gang, or with instance 2 that it has restarted.
 */
static void report_gang_member(struct fixture *f, uint32_t member, int instance)
{
	static const char *const nodes[] = {"w1", "w2"};
	static const char *const checkpoints[] = {"00aa", "00bb"};
	g_autofree char *task = g_strdup_printf("0000000000000001.0.0.%u", member);
	g_autofree char *name = g_strdup_printf("%s@%d", nodes[member], instance);
	struct wl_run run = {
		.task = task, .attempt = 1, .checkpoint = (char *)checkpoints[member]};
	const struct wl_report r = {.node = (char *)nodes[member],
		.worker_instance = name,
		.service = (char *)"s",
		.accelerators = 8,
		.cores_m = 32000,
		.covers = f->ordinal,
		.sent_ns = (uint64_t)f->now,
		.runs = &run,
		.runs_len = instance == 1};

	wl_node_report(f->wl, f->now, f->now, &r);
}

/*
 * The members of a gang list different checkpoints, and are lost without an end: they start
 * again from one of these, as a gang works only if all resume from the same.
 */
static void test_gang_resumes_from_one_checkpoint(void)
{
	struct wl_step step = {.count = 2,
		.accelerators = 8,
		.estimate_ms = 9000,
		.gang = true,
		.checkpoints = true};
	struct wl_spec spec = {.id = (char *)"0000000000000001",
		.queue = (char *)"batch",
		.service = (char *)"s",
		.steps = &step,
		.steps_len = 1};
	const struct started *again;
	struct fixture f;

	fixture_init(&f);
	report_idle_workers(&f, 1, 3);
	wl_job_add(f.wl, f.now, f.now, &spec, NULL);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	for (int instance = 1; instance <= 2; instance++) {
		for (int i = 0; i < 3; i++) {
			f.now += SEC;
			report_gang_member(&f, 0, instance);
			report_gang_member(&f, 1, instance);
			run_pass(&f);
		}
	}
	CU_ASSERT_EQUAL_FATAL(f.starts, 4);
	again = &g_array_index(f.started, struct started, 2);
	CU_ASSERT_STRING_EQUAL(again[0].checkpoint, "00aa");
	CU_ASSERT_STRING_EQUAL(again[1].checkpoint, "00aa");
	fixture_clear(&f);
}

/* Reports worker w1 with one run; it is draining if leaves_in_ms is not 0. */
static void report_run(struct fixture *f, uint32_t percent, uint32_t leaves_in_ms)
{
	struct wl_run run = {
		.task = (char *)"0000000000000001.0.0.0", .attempt = 1, .percent = percent};
	const struct wl_report r = {.node = (char *)"w1",
		.worker_instance = (char *)"w1@1",
		.service = (char *)"s",
		.accelerators = 8,
		.cores_m = 32000,
		.memory_mb = 64000,
		.draining = leaves_in_ms > 0,
		.leaves_in_ms = leaves_in_ms,
		.covers = f->ordinal, /* the report reflects all starts sent so far */
		.runs = &run,
		.runs_len = 1};

	wl_node_report(f->wl, f->now, f->now, &r);
}

/* A draining worker gets no new tasks, and runs that can't end before it leaves are stopped. */
static void test_draining_worker(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 1, 9000, false);
	run_pass(&f);
	report_run(&f, 0, 1000);
	submit_job(&f, 2, "urgent", 1, 1, 500, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	CU_ASSERT_EQUAL(f.stops, 1);
	fixture_clear(&f);
}

/*
 * A run that ends before its draining worker leaves is not stopped. Its remaining time must be
 * estimated from the run time at its last report. With the run time up to now, the same
 * percentage would give a longer estimate the older the report is.
 */
static void test_draining_run_ends_in_time(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 1, 9000, false);
	run_pass(&f);
	report_run(&f, 0, 0);
	f.now += SEC;
	report_run(&f, 50, 2000);
	run_pass(&f);
	f.now += 900 * MS;
	run_pass(&f);
	CU_ASSERT_EQUAL(f.stops, 0);
	fixture_clear(&f);
}

/* Valid job documents are parsed, unknown keys are ignored, and invalid ones are rejected. */
static void test_job_parse(void)
{
	static const char *const invalid[] = {"", "[]", "{}", "{\"steps\":{}}",
		"{\"steps\":[]}", "{\"steps\":[{\"count\":0}]}", "{\"steps\":[{\"count\":-1}]}",
		"{\"steps\":[{\"count\":\"x\"}]}", "{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":1}],\"repetitions\":1e12}",
		"{\"spec\":3,\"steps\":[{\"count\":1}]}"};
	static const char valid[] =
		"{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"gpu\":4,"
		"\"gang_scheduled\":true},{\"count\":1,\"after\":[0],\"new\":1}]}";
	struct wl_spec s = {.id = xstrdup("5c0e7a21d94b36f8")};
	struct bytes text = {(void *)valid, strlen(valid)};

	CU_ASSERT_TRUE(pf_job_parse(&text, &s, NULL));
	CU_ASSERT_EQUAL(s.steps_len, 2);
	CU_ASSERT_TRUE(s.steps[0].gang);
	CU_ASSERT_EQUAL(s.steps[0].accelerators, 4);
	fields_clear(&wl_spec_fields, &s);
	for (size_t i = 0; i < ARRAY_LEN(invalid); i++) {
		g_autoptr(GError) err = NULL;

		s = (struct wl_spec){.id = xstrdup("5c0e7a21d94b36f8")};
		text = (struct bytes){(void *)invalid[i], strlen(invalid[i])};
		CU_ASSERT_FALSE(pf_job_parse(&text, &s, &err));
		CU_ASSERT_PTR_NOT_NULL(err);
		fields_clear(&wl_spec_fields, &s);
	}
}

/* Requests go to the longest matching prefix; an API key identifies its organisation. */
static void test_config_parse(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.x\",\"prefix\":\"/p/"
		"\","
		"\"service\":\"s\"},{\"name\":\"b\",\"host\":\"h.x\",\"prefix\":\"/p/q/\","
		"\"service\":\"s\",\"public\":true},{\"name\":3}],"
		"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\",4],\"guaranteed\":{\"gpu\":"
		"16}}]}";
	const struct bytes b = {(void *)text, strlen(text)};
	const struct bytes malformed = {(void *)"{\"routes\":1}", 12};
	struct wl_config *c = pf_config_parse(&b, 9, NULL);
	g_autoptr(GError) err = NULL;

	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_STRING_EQUAL(wl_config_route(c, "H.x:80", "/p/1")->name, "a");
	CU_ASSERT_STRING_EQUAL(wl_config_route(c, "h.x", "/p/q/1")->name, "b");
	CU_ASSERT_PTR_NULL(wl_config_route(c, "h.y", "/p/1"));
	CU_ASSERT_EQUAL(wl_config_org_by_key(c, "k")->guaranteed, 16);
	CU_ASSERT_PTR_NULL(wl_config_org_by_key(c, "z"));
	wl_config_free(c);
	CU_ASSERT_PTR_NULL(pf_config_parse(&malformed, 1, &err));
	CU_ASSERT_PTR_NOT_NULL(err);
}

/* Heartbeats of workers are parsed; invalid ones and unknown paths are rejected. */
static void test_heartbeat_parse(void)
{
	static const char valid[] =
		"{\"service\":\"s\",\"state\":\"draining\",\"drain_remaining_ms\":900,\"born\":"
		"5,"
		"\"capacity\":{\"cpu\":1000,\"task_memory_mb\":10,\"gpu\":2},\"labels\":[\"a\","
		"\"r1-3\"],\"sequence\":7}";
	static const char invalid[] = "{\"service\":\"s\",\"state\":\"odd\",\"capacity\":{}}";
	struct bytes text = {(void *)valid, strlen(valid)};
	struct pf_heartbeat b;

	CU_ASSERT_EQUAL(
		pf_heartbeat_parse("PUT", "/v1/instances/i-1", &text, &b), PF_HEARTBEAT_REPORT);
	CU_ASSERT_STRING_EQUAL(b.id, "i-1");
	CU_ASSERT_STRING_EQUAL(b.worker_report.rack, "r1-3");
	CU_ASSERT_TRUE(b.worker_report.draining);
	CU_ASSERT_EQUAL(b.instance_started_at, 5);
	CU_ASSERT_EQUAL(b.sequence, 7);
	pf_heartbeat_clear(&b);
	CU_ASSERT_EQUAL(pf_heartbeat_parse("DELETE", "/v1/instances/i-1", &text, &b),
		PF_HEARTBEAT_LEAVE);
	pf_heartbeat_clear(&b);
	text = (struct bytes){(void *)invalid, strlen(invalid)};
	CU_ASSERT_EQUAL(pf_heartbeat_parse("PUT", "/v1/instances/i-1", &text, &b),
		PF_HEARTBEAT_INVALID);
	CU_ASSERT_EQUAL(
		pf_heartbeat_parse("PUT", "/elsewhere", &text, &b), PF_HEARTBEAT_INVALID);
}

/*
 * A job of which far more occurrences are due than memory holds tasks: one that was accepted
 * ended each coordinator in turn. Those that don't fit beside the open ones wait for these to
 * be done.
 */
static void test_due_occurrences_wait(void)
{
	struct wl_step step = {.count = 15000, .accelerators = 1};
	struct wl_spec spec = {.id = (char *)"0000000000000001",
		.queue = (char *)"batch",
		.service = (char *)"s",
		.org = (char *)"o",
		.steps = &step,
		.steps_len = 1,
		.repetitions = 20};
	struct wl_mark marks[] = {{.occurrence = 0, .index = WL_INDEX_GANG, .done = true},
		{.occurrence = 1, .index = WL_INDEX_GANG, .done = true}};
	struct wl_totals totals;
	struct fixture f;

	for (uint32_t done = 0; done <= ARRAY_LEN(marks); done++) {
		const struct wl_progress p = {
			.state = WL_RUNNING, .marks = marks, .marks_len = done};

		fixture_init(&f);
		wl_job_add(f.wl, f.now, f.now, &spec, &p);
		run_pass(&f);
		run_pass(&f);
		wl_totals(f.wl, &totals);
		CU_ASSERT_EQUAL(totals.waiting_tasks, 15000);
		fixture_clear(&f);
	}
	step.count = 1;
	for (spec.repetitions = 7; spec.repetitions <= WL_REPETITIONS_MAX;
		spec.repetitions *= 100) {
		fixture_init(&f);
		wl_job_add(f.wl, f.now, f.now, &spec, NULL);
		wl_totals(f.wl, &totals);
		CU_ASSERT_EQUAL(totals.waiting_tasks, MIN(spec.repetitions, WL_TASKS_MAX));
		fixture_clear(&f);
	}
}

/*
 * Times beyond the year 2262, which nanoseconds don't reach: the job would be due at once, or
 * its later occurrences would.
 */
static void test_times_out_of_range(void)
{
	static const struct {
		const char *times;
		bool valid;
	} cases[] = {
		{"\"repetitions\":3,\"start_at_ms\":1796438000000,\"interval_ms\":1000", true},
		{"\"repetitions\":1,\"start_at_ms\":9300000000000", false},
		{"\"repetitions\":1,\"start_at_ms\":1e15", false},
		{"\"repetitions\":100000,\"start_at_ms\":5,\"interval_ms\":100000000", false},
	};

	for (size_t i = 0; i < ARRAY_LEN(cases); i++) {
		struct wl_spec s = {.id = xstrdup("0000000000000001")};
		AUTOFREE char *body = NULL;
		struct bytes text;

		xasprintf(
			&body, "{\"spec\":\"\",%s,\"steps\":[{\"count\":1}]}", cases[i].times);
		text = (struct bytes){body, strlen(body)};
		CU_ASSERT_EQUAL(pf_job_parse(&text, &s, NULL), cases[i].valid);
		fields_clear(&wl_spec_fields, &s);
	}
}

/* Reports with a field that can't be right name no worker; odd ones among unused fields do. */
static void test_odd_heartbeats(void)
{
	g_autofree char *deep = g_strnfill(40000, '[');
	static const struct {
		const char *id;
		const char *fields;
		enum pf_heartbeat_kind kind;
	} cases[] = {
		{"i-1", "\"capacity\":{\"cpu\":1000,\"gpu\":8}", PF_HEARTBEAT_REPORT},
		{"i-1", "\"capacity\":{\"gpu\":8},\"sequence\":1e400", PF_HEARTBEAT_REPORT},
		{"i-1", "\"capacity\":{\"gpu\":8},\"x\":99999999999999999999",
			PF_HEARTBEAT_REPORT},
		{"i-1", "\"capacity\":{\"gpu\":-8}", PF_HEARTBEAT_INVALID},
		{"i-1", "\"capacity\":{\"gpu\":1e400}", PF_HEARTBEAT_INVALID},
		{"i-1", "\"capacity\":{\"cpu\":99999999999}", PF_HEARTBEAT_INVALID},
		{"i-1", "\"capacity\":{\"gpu\":\"8\"}", PF_HEARTBEAT_INVALID},
		{"i-1", "\"capacity\":[8]", PF_HEARTBEAT_INVALID},
		{"i-1", "\"capacity\":{},\"labels\":{\"r1-1\":1}", PF_HEARTBEAT_INVALID},
		{"i-1", "\"capacity\":{},\"born\":-1", PF_HEARTBEAT_INVALID},
		{"i-1", "\"capacity\":{},\"born\":\"1\"", PF_HEARTBEAT_INVALID},
		{"i-1", "\"capacity\":{},\"born\":99999999999999999999", PF_HEARTBEAT_INVALID},
		{"i-1", "\"capacity\":{},\"drain_remaining_ms\":-1", PF_HEARTBEAT_INVALID},
		{"i 1", "\"capacity\":{}", PF_HEARTBEAT_INVALID},
		{"i-1\r\nX: 1", "\"capacity\":{}", PF_HEARTBEAT_INVALID},
	};
	struct pf_heartbeat b;
	struct bytes text;

	for (size_t i = 0; i < ARRAY_LEN(cases); i++) {
		AUTOFREE char *path = NULL;
		AUTOFREE char *body = NULL;

		xasprintf(&path, "/v1/instances/%s", cases[i].id);
		xasprintf(&body, "{\"service\":\"s\",\"state\":\"ready\",%s}", cases[i].fields);
		text = (struct bytes){body, strlen(body)};
		CU_ASSERT_EQUAL(pf_heartbeat_parse("PUT", path, &text, &b), cases[i].kind);
		pf_heartbeat_clear(&b);
	}
	text = (struct bytes){deep, strlen(deep)};
	CU_ASSERT_EQUAL(pf_heartbeat_parse("PUT", "/v1/instances/i-1", &text, &b),
		PF_HEARTBEAT_INVALID);
}

/*
 * Guards against a job that is completed without having run: a worker lists the end of a run of
 * an earlier job with the same id. The attempts of both differ, also for the next coordinator.
 */
static void test_id_used_again(void)
{
	struct wl_run run = {.task = (char *)"0000000000000001.0.0.0", .attempt = 1};
	struct wl_ended end = {.number = 1, .task = run.task, .attempt = 1, .how = WL_END_DONE};
	g_autoptr(GPtrArray) expired = NULL;
	struct wl_progress p = {0};
	struct fixture f;
	struct bytes record;
	uint64_t version;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 8, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.last_attempt, 1);
	report_worker(&f, "w1", &run, 1, NULL, 0);
	/* The worker is cut off for longer than its run and the job's record last. */
	wl_node_unreachable(f.wl, f.now, "w1");
	wl_job_cancel(f.wl, f.now, f.now, "0000000000000001");
	store_dirty_jobs(&f);
	f.now += 200 * SEC;
	g_ptr_array_unref(wl_nodes_expired(f.wl, f.now));
	expired = wl_jobs_expired(f.wl, f.now);
	CU_ASSERT_EQUAL(expired->len, 1);
	wl_job_forget(f.wl, "0000000000000001");
	submit_job(&f, 1, "batch", 1, 8, 1000, false);
	report_worker(&f, "w1", NULL, 0, &end, 1);
	CU_ASSERT_TRUE(wl_job_is_open(f.wl, "0000000000000001"));
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	CU_ASSERT_EQUAL(f.last_attempt, 2);
	record = wl_job_progress(f.wl, "0000000000000001", &version);
	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, &p, record.data, record.len, NULL));
	CU_ASSERT_EQUAL(p.first_attempt, 2);
	bytes_clear(&record);
	fields_clear(&wl_progress_fields, &p);
	fixture_clear(&f);
}

void unit_workload(CU_pSuite s)
{
	CU_add_test(s, "an id is used again after its job is removed", test_id_used_again);
	CU_add_test(s, "jobs: due occurrences wait while as many tasks are open as fit",
		test_due_occurrences_wait);
	CU_add_test(
		s, "jobs: times that no clock reaches are refused", test_times_out_of_range);
	CU_add_test(s, "heartbeats: a field that can't be right names no worker",
		test_odd_heartbeats);
	CU_add_test(s, "a placement is stored before its start order",
		test_placement_stored_before_start);
	CU_add_test(s, "a pass with many paths through a job's steps ends",
		test_pass_time_of_many_paths);
	CU_add_test(
		s, "the longest chain of steps decides the order", test_order_by_longest_chain);
	CU_add_test(s, "a job whose starts are refused is queued", test_refused_job_is_queued);
	CU_add_test(s, "a queue's settings survive a takeover without the queue",
		test_settings_survive_takeover);
	CU_add_test(s, "a job keeps the settings with which it was accepted",
		test_settings_as_accepted);
	CU_add_test(
		s, "a record without settings gets the fallback", test_record_without_settings);
	CU_add_test(s, "changed settings are stored", test_changed_settings_stored);
	CU_add_test(s, "headroom for urgent work", test_headroom);
	CU_add_test(s, "a guarantee is reclaimed", test_reclaim);
	CU_add_test(s, "a late claim of a guarantee comes before other work",
		test_late_claim_comes_first);
	CU_add_test(s, "an urgent job waits for a run that is about to end",
		test_waits_for_ending_run);
	CU_add_test(s, "resources are reserved for a large task", test_reserves_for_large_task);
	CU_add_test(s, "a task waits for the rack of its data", test_waits_for_rack);
	CU_add_test(s, "a gang starts with all its members", test_gang_starts_whole);
	CU_add_test(
		s, "a takeover waits for silent nodes only", test_unconfirmed_after_takeover);
	CU_add_test(
		s, "finished runs are acknowledged once stored", test_ends_acked_after_store);
	CU_add_test(s, "an acknowledgement is repeated on a new connection",
		test_ack_repeated_on_new_connection);
	CU_add_test(s, "a task is not started again before its start is answered",
		test_unanswered_start);
	CU_add_test(s, "a failed attempt is counted once", test_failures_counted_once);
	CU_add_test(s, "a gang that is lost resumes from one checkpoint",
		test_gang_resumes_from_one_checkpoint);
	CU_add_test(s, "reported checkpoints are part of the progress to store",
		test_checkpoints_stored);
	CU_add_test(s, "a run that cannot end before its worker leaves is stopped",
		test_draining_worker);
	CU_add_test(s, "a run that ends before its worker leaves is not stopped",
		test_draining_run_ends_in_time);
	CU_add_test(s, "job documents of the platform are parsed", test_job_parse);
	CU_add_test(s, "the platform's configuration is read", test_config_parse);
	CU_add_test(s, "heartbeats of workers are parsed", test_heartbeat_parse);
}

#include "unit.h"

#include "workload-fixture.h"

#include <string.h>

/* What callers are told of a job that is placed: it is queued until it is known to have begun.
 */

#define JOB   "0000000000000001"
#define TASK0 JOB ".0.0.0"
#define TASK1 JOB ".0.0.1"

static uint32_t read_record(struct fixture *f, struct wl_progress *p)
{
	uint64_t version;
	struct bytes record = wl_job_progress(f->wl, JOB, &version);

	memset(p, 0, sizeof(*p));
	CU_ASSERT_TRUE(fields_decode(&wl_progress_fields, p, record.data, record.len, NULL));
	bytes_clear(&record);
	return p->state;
}

static uint32_t told_state(struct fixture *f)
{
	struct wl_progress p;
	uint32_t state = read_record(f, &p);

	fields_clear(&wl_progress_fields, &p);
	return state;
}

static void answer_running(struct fixture *f, guint number)
{
	const struct started *s = &g_array_index(f->started, struct started, number);
	char instance[24];
	const struct wl_answer_note answer = {.worker_instance = instance,
		.task = (char *)s->task,
		.attempt = s->attempt,
		.ordinal = s->ordinal,
		.answer = WL_ANSWER_RUNNING};

	snprintf(instance, sizeof(instance), "%s@1", s->node);
	wl_node_answer(f->wl, f->now, &answer);
}

/* Guards against jobs missing from pending whose machine has lost power (MIXED). */
static void test_silent_machine(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 8, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 1);
	CU_ASSERT_EQUAL(told_state(&f), WL_QUEUED);
	f.now += 4 * SEC;
	wl_node_unreachable(f.wl, f.now, "w1");
	run_pass(&f);
	CU_ASSERT_EQUAL(told_state(&f), WL_QUEUED);
	f.now += 11 * SEC;
	g_ptr_array_unref(wl_nodes_expired(f.wl, f.now));
	report_worker(&f, "w2", NULL, 0, NULL, 0);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	CU_ASSERT_EQUAL(told_state(&f), WL_QUEUED);
	answer_running(&f, 1);
	CU_ASSERT_EQUAL(f.dirty->len, 1);
	CU_ASSERT_EQUAL(told_state(&f), WL_RUNNING);
	store_dirty_jobs(&f);
	/* It has begun, whatever becomes of the run. */
	wl_node_unreachable(f.wl, f.now, "w2");
	f.now += 11 * SEC;
	g_ptr_array_unref(wl_nodes_expired(f.wl, f.now));
	CU_ASSERT_EQUAL(told_state(&f), WL_RUNNING);
	fixture_clear(&f);
}

/* The worker alone is silent: its agent reports, and the start stays without an answer. */
static void test_silent_worker(void)
{
	struct wl_report r = {.node = (char *)"w1",
		.worker_instance = (char *)"w1@1",
		.service = (char *)"s",
		.cores_m = 32000,
		.memory_mb = 64000,
		.accelerators = 8,
		.partial = true};
	struct wl_run run = {.task = (char *)TASK0, .attempt = 1};
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 1, 8, 1000, false);
	run_pass(&f);
	for (int i = 0; i < 8; i++) {
		f.now += SEC;
		wl_node_report(f.wl, f.now, f.now, &r);
		run_pass(&f);
		CU_ASSERT_EQUAL(told_state(&f), WL_QUEUED);
	}
	/* It had started the task all the same. */
	report_worker(&f, "w1", &run, 1, NULL, 0);
	CU_ASSERT_EQUAL(told_state(&f), WL_RUNNING);
	fixture_clear(&f);
}

/* A gang works once all its members run: those that wait for one are no start. */
static void test_gang_in_part(void)
{
	struct wl_run run = {.task = (char *)TASK0, .attempt = 1};
	struct wl_ended alone = {
		.number = 1, .task = (char *)TASK0, .attempt = 1, .how = WL_END_ALONE};
	struct fixture f;

	fixture_init(&f);
	report_idle_workers(&f, 1, 3);
	submit_job(&f, 1, "batch", 2, 8, 1000, true);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 2);
	answer_running(&f, 0);
	report_worker(&f, "w1", &run, 1, NULL, 0);
	CU_ASSERT_EQUAL(told_state(&f), WL_QUEUED);
	wl_node_unreachable(f.wl, f.now, "w2");
	f.now += 3 * SEC;
	report_worker(&f, "w1", NULL, 0, &alone, 1);
	CU_ASSERT_EQUAL(told_state(&f), WL_QUEUED);
	f.now += 11 * SEC;
	g_ptr_array_unref(wl_nodes_expired(f.wl, f.now));
	report_idle_workers(&f, 1, 3);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 4);
	answer_running(&f, 2);
	CU_ASSERT_EQUAL(told_state(&f), WL_QUEUED);
	answer_running(&f, 3);
	CU_ASSERT_EQUAL(told_state(&f), WL_RUNNING);
	fixture_clear(&f);
}

/* After a takeover a placed job is queued until its node lists it, also with an older record.
 */
static void test_takeover(void)
{
	for (int earlier = 0; earlier <= 1; earlier++) {
		struct wl_run run = {.task = (char *)TASK0, .attempt = 1};
		struct wl_step step = {.count = 1, .accelerators = 8};
		struct wl_progress p;
		struct fixture f;

		fixture_init(&f);
		report_worker(&f, "w1", NULL, 0, NULL, 0);
		submit_job(&f, 1, "batch", 1, 8, 1000, false);
		run_pass(&f);
		CU_ASSERT_EQUAL(read_record(&f, &p), WL_QUEUED);
		CU_ASSERT_EQUAL(p.marks_len, 1);
		if (earlier) {
			p.state = WL_RUNNING;
			p.first_attempt = 0;
		}
		fixture_clear(&f);
		fixture_init(&f);
		wl_node_await_report(f.wl, f.now, "w1");
		add_step_job(&f, &step, &p);
		CU_ASSERT_EQUAL(f.dirty->len, (guint)earlier);
		run_pass(&f);
		CU_ASSERT_EQUAL(f.starts, 0);
		CU_ASSERT_EQUAL(told_state(&f), WL_QUEUED);
		report_worker(&f, "w1", &run, 1, NULL, 0);
		CU_ASSERT_EQUAL(told_state(&f), WL_RUNNING);
		fields_clear(&wl_progress_fields, &p);
		/* Having begun is in the record. */
		CU_ASSERT_EQUAL(read_record(&f, &p), WL_RUNNING);
		fixture_clear(&f);
		fixture_init(&f);
		add_step_job(&f, &step, &p);
		CU_ASSERT_EQUAL(told_state(&f), WL_RUNNING);
		fields_clear(&wl_progress_fields, &p);
		fixture_clear(&f);
	}
}

/* Guards against a write for each start: a job begins once, however many tasks it has. */
static void test_one_write_a_job(void)
{
	struct fixture f;

	fixture_init(&f);
	report_worker(&f, "w1", NULL, 0, NULL, 0);
	submit_job(&f, 1, "batch", 8, 1, 1000, false);
	run_pass(&f);
	CU_ASSERT_EQUAL(f.starts, 8);
	for (guint i = 0; i < 8; i++)
		answer_running(&f, i);
	CU_ASSERT_EQUAL(f.dirty->len, 1);
	fixture_clear(&f);
}

void unit_begin(CU_pSuite s)
{
	CU_add_test(s, "placed on a machine without power", test_silent_machine);
	CU_add_test(s, "placed on a silent worker", test_silent_worker);
	CU_add_test(s, "a gang that starts in part", test_gang_in_part);
	CU_add_test(s, "a takeover before the first answer", test_takeover);
	CU_add_test(s, "one write a job", test_one_write_a_job);
}

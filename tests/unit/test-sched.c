#include "unit.h"

#include "sched.h"

#include <string.h>

#define SEC NSEC_PER_SEC

/* Returns a scheduler with two workers of 8 accelerators in one rack and no guarantees. */
static struct sched *make_sched(void)
{
	static const char cluster[] = "grace: 1s\n"
				      "cells: {c: {workers: 2, workers_per_rack: 2, "
				      "accelerators: 8}}\n"
				      "classes: {later: {priority: 2}}\n";
	static const char team[] = "organisations: {a: {}, b: {}}\n";
	struct doc_section sections[] = {{(char *)"cluster", (char *)cluster, 1, 1, 0},
		{(char *)"teams/t", (char *)team, 2, 1, 0}};
	struct doc_problems problems = STAILQ_HEAD_INITIALIZER(problems);
	struct doc *d = doc_parse_sections(sections, ARRAY_LEN(sections), &problems);
	struct sched *s = sched_new(SCHED_POLICY_FULL, 1);

	d->number = 1;
	sched_set_config(s, SEC, d, "c");
	doc_free(d);
	for (int i = 0; i < 2; i++) {
		struct sched_worker_spec w = {i == 0 ? "w0" : "w1", "r",
			{.accelerators = 8, .slots = 8, .cores = 32, .memory_mb = 65536}};

		sched_worker_up(s, SEC, &w);
	}
	return s;
}

/* Submits an idempotent job, which may be preempted. */
static job_ref submit(struct sched *s, int64_t now, const char *id, uint32_t accelerators,
	bool urgent, bool checkpoint, int64_t run)
{
	struct job_spec spec = {.id = (char *)id,
		.org = (char *)(urgent ? "b" : "a"),
		.kind = (char *)"k",
		.urgent = urgent,
		.accelerators = accelerators,
		.adjacency = ADJACENCY_RACK,
		.idempotent = true,
		.checkpoint = checkpoint,
		.run_time_ms = run / NSEC_PER_MSEC};

	return sched_submit(s, now, &spec, NULL);
}

/*
 * Runs a scheduling pass, reports the placed jobs as started and checks the invariants. Returns
 * the number of stop actions.
 */
static int run_pass(struct sched *s, int64_t now)
{
	struct sched_action action;
	int stop_actions = 0;
	char *violation;

	sched_run(s, now);
	while (sched_next(s, &action)) {
		if (action.kind == SCHED_ACTION_PLACE)
			sched_started(s, now, action.job, action.attempt);
		stop_actions += action.kind == SCHED_ACTION_STOP;
		sched_action_clear(&action);
	}
	violation = sched_check(s);
	CU_ASSERT_PTR_NULL(violation);
	g_free(violation);
	return stop_actions;
}

/*
 * A gang preempts another one once it was queued for PREEMPT_WAIT_MIN and the other has run for
 * CHECKPOINT_RUN_MIN, not earlier. Both are 60 s, in coordination/sched-claim.c.
 */
static void test_gang_time_slice(void)
{
	struct sched *s = make_sched();
	job_ref first = submit(s, SEC, "first", 16, false, true, 3600 * SEC);
	job_ref second;

	CU_ASSERT_EQUAL(run_pass(s, SEC), 0);
	CU_ASSERT_EQUAL(sched_job(s, first)->state, SCHED_JOB_RUNNING);
	second = submit(s, 2 * SEC, "second", 16, false, true, 3600 * SEC);
	CU_ASSERT_EQUAL(run_pass(s, 30 * SEC), 0);
	CU_ASSERT_EQUAL(run_pass(s, 70 * SEC), 1);
	CU_ASSERT_EQUAL(sched_job(s, second)->state, SCHED_JOB_CLAIMING);
	/* The first gang has run for 69 s, which its checkpoints preserve. */
	for (uint32_t i = 0; i < 2; i++)
		sched_member_ended(s, 71 * SEC, first, 1, i, MEMBER_END_STOPPED, 69 * SEC);
	CU_ASSERT_EQUAL(run_pass(s, 71 * SEC), 0);
	CU_ASSERT_EQUAL(sched_job(s, second)->state, SCHED_JOB_RUNNING);
	CU_ASSERT_EQUAL(sched_job(s, first)->state, SCHED_JOB_QUEUED);
	CU_ASSERT_EQUAL(run_pass(s, 100 * SEC), 0);
	CU_ASSERT_EQUAL(run_pass(s, 140 * SEC), 1);
	sched_free(s);
}

/* A gang does not preempt another one that would lose much work without a checkpoint. */
static void test_no_preemption_at_high_loss(void)
{
	struct sched *s = make_sched();

	submit(s, SEC, "first", 16, false, false, 3600 * SEC);
	CU_ASSERT_EQUAL(run_pass(s, SEC), 0);
	submit(s, 2 * SEC, "second", 16, false, true, 60 * SEC);
	CU_ASSERT_EQUAL(run_pass(s, 200 * SEC), 0);
	sched_free(s);
}

/*
 * An urgent job without a guarantee preempts a borrower once it was queued for URGENT_WAIT_MIN,
 * 2 s in coordination/sched-claim.c, if little work is lost.
 */
static void test_urgent_preempts(void)
{
	struct sched *s = make_sched();
	job_ref urgent;

	submit(s, SEC, "long", 16, false, true, 3600 * SEC);
	CU_ASSERT_EQUAL(run_pass(s, SEC), 0);
	urgent = submit(s, 10 * SEC, "urgent", 1, true, false, SEC);
	CU_ASSERT_EQUAL(run_pass(s, 10 * SEC), 0);
	CU_ASSERT_EQUAL(run_pass(s, 13 * SEC), 1);
	CU_ASSERT_EQUAL(sched_job(s, urgent)->state, SCHED_JOB_CLAIMING);
	sched_free(s);
}

void unit_sched(CU_pSuite s)
{
	CU_add_test(s, "a gang preempts another one after a time slice", test_gang_time_slice);
	CU_add_test(s, "no preemption if much work is lost", test_no_preemption_at_high_loss);
	CU_add_test(s, "an urgent job preempts a borrower", test_urgent_preempts);
}

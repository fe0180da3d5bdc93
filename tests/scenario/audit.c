#include "runner.h"

#include <stdlib.h>
#include <string.h>

/*
 * Upstreams print "begin JOB-ATTEMPT-MEMBER TAG TIME" and "done|failed|stopped ... TIME" with a
 * monotonic time in ns. The tag comes from the payload and is the scenario's name for the job.
 * These lines give the number of runs and the gangs that ran only in part.
 */

/* Bound on the time that other members of a gang run after one of them has ended. */
#define PARTIAL_RUN_MAX (9 * NSEC_PER_SEC)

struct run {
	char *tag;
	char *attempt;
	int member;
	int64_t started_at;
	int64_t ended_at;
	bool done;
};

static void run_free(void *p)
{
	struct run *r = p;

	free(r->tag);
	free(r->attempt);
	free(r);
}

/* Find the latest run of a member that has not ended, or return NULL. */
static struct run *find_unfinished_run(GPtrArray *runs, const char *attempt, int member)
{
	for (guint i = runs->len; i-- > 0;) {
		struct run *r = runs->pdata[i];

		if (r->ended_at == 0 && r->member == member && strcmp(r->attempt, attempt) == 0)
			return r;
	}
	return NULL;
}

/* Add the start or the end of a run from a line of an upstream's output. */
static void parse_line(GPtrArray *runs, const char *line)
{
	g_auto(GStrv) w = g_strsplit(line, " ", -1);
	char *dash;
	struct run *r;

	if (g_strv_length(w) != 4 || strcmp(w[0], "ready") == 0)
		return;
	dash = strrchr(w[1], '-');
	if (dash == NULL)
		return;
	*dash = '\0';
	if (strcmp(w[0], "begin") == 0) {
		r = xcalloc(1, sizeof(*r));
		r->tag = xstrdup(w[2]);
		r->attempt = xstrdup(w[1]);
		r->member = atoi(dash + 1);
		r->started_at = strtoll(w[3], NULL, 10);
		g_ptr_array_add(runs, r);
		return;
	}
	r = find_unfinished_run(runs, w[1], atoi(dash + 1));
	if (r == NULL)
		return;
	r->ended_at = strtoll(w[3], NULL, 10);
	r->done = strcmp(w[0], "done") == 0;
}

/* End the unfinished runs from index first on at the time of the n-th kill, from 0. */
static void end_killed_runs(GPtrArray *runs, guint first, const struct proc *p, guint n)
{
	for (guint q = first; n < p->kill_times->len && q < runs->len; q++) {
		struct run *r = runs->pdata[q];

		if (r->ended_at == 0)
			r->ended_at = g_array_index(p->kill_times, int64_t, n);
	}
}

/*
 * Read the runs of all upstreams. An upstream prints "ready" each time it starts, so runs that
 * are unfinished at a later "ready" ended when the process before was killed.
 */
static GPtrArray *read_runs(struct scenario *s)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(run_free);

	for (guint i = 0; i < s->workers->len; i++) {
		const struct worker *w = s->workers->pdata[i];
		g_autofree char *text = NULL;
		g_auto(GStrv) lines = NULL;
		guint first = all->len;
		guint process_starts = 0;

		if (!g_file_get_contents(w->upstream->out, &text, NULL, NULL))
			continue;
		lines = g_strsplit(text, "\n", -1);
		for (size_t k = 0; lines[k] != NULL; k++) {
			if (g_str_has_prefix(lines[k], "ready") && process_starts++ > 0)
				end_killed_runs(all, first, w->upstream, process_starts - 2);
			parse_line(all, lines[k]);
		}
		if (w->upstream->killed && process_starts > 0)
			end_killed_runs(all, first, w->upstream, process_starts - 1);
	}
	return all;
}

/* Count the starts of member 0 of a job. */
static uint32_t count_starts(const GPtrArray *runs, const struct job *j)
{
	uint32_t n = 0;

	for (guint i = 0; i < runs->len; i++) {
		const struct run *r = runs->pdata[i];

		n += r->member == 0 && strcmp(r->tag, j->name) == 0;
	}
	return n;
}

/* Count how often a job was started so far. */
uint32_t audit_count_starts(struct scenario *s, const struct job *j)
{
	GPtrArray *runs = read_runs(s);
	uint32_t n = count_starts(runs, j);

	g_ptr_array_unref(runs);
	return n;
}

/*
 * Return the time from the first member of an attempt that ended without success to the last
 * end of a member, or 0 if all succeeded. Unfinished runs do not count.
 */
static int64_t partial_run_time(const GPtrArray *runs, const struct run *first)
{
	int64_t first_failure = INT64_MAX;
	int64_t last = 0;

	for (guint i = 0; i < runs->len; i++) {
		const struct run *r = runs->pdata[i];

		if (strcmp(r->attempt, first->attempt) != 0 || r->ended_at == 0)
			continue;
		last = MAX(last, r->ended_at);
		if (!r->done)
			first_failure = MIN(first_failure, r->ended_at);
	}
	return first_failure == INT64_MAX ? 0 : last - first_failure;
}

/* Whether a job is allowed to run more than once. */
static bool may_run_twice(struct scenario *s, const struct job *j)
{
	(void)s;
	return j->idempotent;
}

/*
 * Count duplicate runs, wrong not_run reports and gangs that ran in part for too long. A run
 * counts for every job whose name equals the tag of the run. The word tag= of the submit
 * command sets the name, so submissions under one key with one tag share their runs. Jobs with
 * a key are not checked for wrong not_run reports.
 */
void audit_check_runs(struct scenario *s)
{
	GPtrArray *runs = read_runs(s);

	s->counts.runs += runs->len;
	for (guint i = 0; i < s->jobs->len; i++) {
		const struct job *j = s->jobs->pdata[i];
		uint32_t n = count_starts(runs, j);

		if (!may_run_twice(s, j) && n > 1) {
			fprintf(stderr, "%s: job %s ran %u times\n", s->file, j->name, n);
			s->counts.doubled++;
		}
		if (j->not_run && n > 0 && j->key == NULL) {
			fprintf(stderr, "%s: job %s ran but was reported as not run\n", s->file,
				j->name);
			s->counts.false_not_run++;
		}
	}
	for (guint i = 0; i < runs->len; i++) {
		const struct run *r = runs->pdata[i];

		if (r->member == 0 && partial_run_time(runs, r) > PARTIAL_RUN_MAX) {
			fprintf(stderr, "%s: attempt %s ran partially for %.1f s\n", s->file,
				r->attempt,
				(double)partial_run_time(runs, r) / (double)NSEC_PER_SEC);
			s->counts.partial++;
		}
	}
	g_ptr_array_unref(runs);
}

#include "runner.h"

#include <stdlib.h>
#include <string.h>

/*
 * Upstreams print "begin JOB-ATTEMPT-MEMBER TAG TIME" and "done|failed|stopped ... TIME".
 * The tag is the scenario's name of the job, from its payload. From these lines we count runs
 * and find gangs of which only a part ran.
 */

#define PARTIAL_MAX (9 * NSEC_PER_SEC)

struct run {
	char *tag;
	char *attempt;
	int member;
	int64_t began;
	int64_t ended;
	bool done;
};

static void run_free(void *p)
{
	struct run *r = p;

	free(r->tag);
	free(r->attempt);
	free(r);
}

/* Find the open run of a task. */
static struct run *open_run(GPtrArray *runs, const char *attempt, int member)
{
	for (guint i = runs->len; i-- > 0;) {
		struct run *r = runs->pdata[i];

		if (r->ended == 0 && r->member == member && strcmp(r->attempt, attempt) == 0)
			return r;
	}
	return NULL;
}

/* Take one line of an upstream's output. */
static void read_line(GPtrArray *runs, const char *line)
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
		r->began = strtoll(w[3], NULL, 10);
		g_ptr_array_add(runs, r);
		return;
	}
	r = open_run(runs, w[1], atoi(dash + 1));
	if (r == NULL)
		return;
	r->ended = strtoll(w[3], NULL, 10);
	r->done = strcmp(w[0], "done") == 0;
}

/* The runs that were open when an upstream was killed for the n-th time end with that. */
static void end_killed(GPtrArray *runs, guint first, const struct proc *p, guint n)
{
	for (guint q = first; n < p->kill_times->len && q < runs->len; q++) {
		struct run *r = runs->pdata[q];

		if (r->ended == 0)
			r->ended = g_array_index(p->kill_times, int64_t, n);
	}
}

/* All runs of all upstreams; those cut short by a kill end with it. */
static GPtrArray *read_runs(struct scenario *s)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(run_free);

	for (guint i = 0; i < s->workers->len; i++) {
		const struct worker *w = s->workers->pdata[i];
		g_autofree char *text = NULL;
		g_auto(GStrv) lines = NULL;
		guint first = all->len;
		guint starts = 0;

		if (!g_file_get_contents(w->upstream->out, &text, NULL, NULL))
			continue;
		lines = g_strsplit(text, "\n", -1);
		for (size_t k = 0; lines[k] != NULL; k++) {
			if (g_str_has_prefix(lines[k], "ready") && starts++ > 0)
				end_killed(all, first, w->upstream, starts - 2);
			read_line(all, lines[k]);
		}
		if (w->upstream->killed && starts > 0)
			end_killed(all, first, w->upstream, starts - 1);
	}
	return all;
}

/* How often member 0 of a job was begun. */
static uint32_t begun(const GPtrArray *runs, const struct job *j)
{
	uint32_t n = 0;

	for (guint i = 0; i < runs->len; i++) {
		const struct run *r = runs->pdata[i];

		n += r->member == 0 && strcmp(r->tag, j->name) == 0;
	}
	return n;
}

/* How often a job was begun. */
uint32_t audit_count_starts(struct scenario *s, const struct job *j)
{
	GPtrArray *runs = read_runs(s);
	uint32_t n = begun(runs, j);

	g_ptr_array_unref(runs);
	return n;
}

/* The longest that a part of a gang ran on after another part was gone. */
static int64_t partial_time(const GPtrArray *runs, const struct run *first)
{
	int64_t gone = INT64_MAX;
	int64_t last = 0;

	for (guint i = 0; i < runs->len; i++) {
		const struct run *r = runs->pdata[i];

		if (strcmp(r->attempt, first->attempt) != 0 || r->ended == 0)
			continue;
		last = MAX(last, r->ended);
		if (!r->done)
			gone = MIN(gone, r->ended);
	}
	return gone == INT64_MAX ? 0 : last - gone;
}

/* The jobs under a tag; those with one key count as one. */
static bool may_run_twice(struct scenario *s, const struct job *j)
{
	(void)s;
	return j->idempotent;
}

/* Count what must not be. */
void audit_check_runs(struct scenario *s)
{
	GPtrArray *runs = read_runs(s);

	s->t.runs += runs->len;
	for (guint i = 0; i < s->jobs->len; i++) {
		const struct job *j = s->jobs->pdata[i];
		uint32_t n = begun(runs, j);

		if (!may_run_twice(s, j) && n > 1) {
			fprintf(stderr, "%s: job %s ran %u times\n", s->file, j->name, n);
			s->t.doubled++;
		}
		if (j->not_run && n > 0 && j->key == NULL) {
			fprintf(stderr, "%s: job %s was said not to have run\n", s->file,
				j->name);
			s->t.false_not_run++;
		}
	}
	for (guint i = 0; i < runs->len; i++) {
		const struct run *r = runs->pdata[i];

		if (r->member == 0 && partial_time(runs, r) > PARTIAL_MAX) {
			fprintf(stderr, "%s: attempt %s ran in part for %.1f s\n", s->file,
				r->attempt,
				(double)partial_time(runs, r) / (double)NSEC_PER_SEC);
			s->t.partial++;
		}
	}
	g_ptr_array_unref(runs);
}

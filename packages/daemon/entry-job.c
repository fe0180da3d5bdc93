#include "entry-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

COUNTER(answers_sent, "damaskpath_answers_total", "Answers given to callers.");
COUNTER(answers_stray, "damaskpath_answers_stray_total",
	"Answers of coordinators for which no caller waited any more.");
COUNTER(jobs_resent, "damaskpath_jobs_resent_total", "Jobs submitted again to a new term.");
GAUGE(jobs_open, "damaskpath_jobs_open", "Jobs whose callers wait at this entry.");

/* Frees an open job. */
void open_job_free(struct open_job *j)
{
	fields_clear(&job_spec_fields, &j->spec);
	free(j->cell);
	free(j);
}

/* Removes an answered job from the list of open jobs and frees it. */
static void release_job(struct open_job *j)
{
	struct entry *e = j->entry;

	LIST_REMOVE(j, link);
	__atomic_fetch_sub(&e->open_count, 1, __ATOMIC_RELAXED);
	counter_set(&jobs_open, __atomic_load_n(&e->open_count, __ATOMIC_RELAXED));
	counter_add(&answers_sent, 1);
	open_job_free(j);
}

/* Prepends a job to the chain of jobs with its id. */
static void chain_add(struct open_job *j)
{
	j->next_same_id = g_hash_table_lookup(j->entry->jobs_by_id, j->spec.id);
	g_hash_table_replace(j->entry->jobs_by_id, j->spec.id, j);
}

/* Removes the chain of an id from the table and returns its head, or NULL. */
static struct open_job *chain_take(struct entry *e, const char *id)
{
	struct open_job *j = g_hash_table_lookup(e->jobs_by_id, id);

	if (j != NULL)
		g_hash_table_remove(e->jobs_by_id, id);
	return j;
}

/* Removes an answered job from its chain and releases it. */
static void close_job(struct open_job *j)
{
	struct open_job *other = chain_take(j->entry, j->spec.id);
	struct open_job *next;

	for (; other != NULL; other = next) {
		next = other->next_same_id;
		if (other != j)
			chain_add(other);
	}
	release_job(j);
}

/*
 * Returns the JSON members "outcome" and "job", which are added to a problem document, with a
 * leading comma.
 */
static char *outcome_json_fields(const char *job, const struct job_result *res)
{
	char *text;

	xasprintf(&text, ",\"outcome\":\"%s\",\"job\":\"%s\"", outcome_name(res->outcome), job);
	return text;
}

/* Answers a request with the result of a job, or a problem document if it has none. */
void reply_job_result(struct http_request *r, const char *job, const struct job_result *res)
{
	AUTOFREE char *extra = NULL;

	http_reply_header(r, "Damaskpath-Job", job);
	http_reply_header(r, "Damaskpath-Outcome", outcome_name(res->outcome));
	if (res->outcome == OUTCOME_DONE) {
		http_reply(r, res->status >= 100 && res->status < 600 ? (int)res->status : 200,
			res->type, res->body.data, res->body.len);
		return;
	}
	extra = outcome_json_fields(job, res);
	http_reply_problem_full(
		r, res->error, res->detail, res->not_run, res->retry_after_s, extra);
}

/* Answers that a job was accepted, with the path to query it. */
static void reply_accepted(struct http_request *r, const char *job)
{
	AUTOFREE char *location = NULL;
	AUTOFREE char *body = NULL;

	xasprintf(&location, "/v1/jobs/%s", job);
	xasprintf(&body, "{\"id\":\"%s\",\"state\":\"accepted\"}\n", job);
	http_reply_header(r, "Location", location);
	http_reply_header(r, "Damaskpath-Job", job);
	http_reply_text(r, 202, "application/json", body);
}

/*
 * Submits a job to the coordinator of its cell. A job sent before is marked, with the term it
 * was last sent to, so that a new coordinator knows that an earlier one may have seen it.
 * "wait" asks the coordinator to send the result, also for a caller that does not wait for it.
 */
static void send_job(struct open_job *j, struct cell_link *l)
{
	int64_t now = loop_now(j->entry->p->loop);
	struct msg m = {.kind = MSG_SUBMIT};

	m.submit = (struct msg_submit){.spec = j->spec,
		.resubmitted = j->sent,
		.last_term = j->last_term,
		.wait = true};
	if (j->deadline_at > 0)
		m.submit.spec.deadline_ms = MAX((j->deadline_at - now) / NSEC_PER_MSEC, 1);
	if (!cell_link_send(j->entry, l, &m))
		return;
	if (j->sent)
		counter_add(&jobs_resent, 1);
	j->sent = true;
	j->last_term = l->ready_term;
}

/*
 * Registers a job and submits it if the cell's coordinator is connected. Posted to the loop by
 * an HTTP thread.
 */
void job_open(struct open_job *j)
{
	struct entry *e = j->entry;
	struct cell_link *l = cell_link_find(e, j->cell);

	LIST_INSERT_HEAD(&e->open_jobs, j, link);
	chain_add(j);
	counter_set(&jobs_open, __atomic_load_n(&e->open_count, __ATOMIC_RELAXED));
	if (l != NULL && l->ready)
		send_job(j, l);
}

/* Submits the open jobs of a cell to a coordinator that has just connected. */
void jobs_resubmit(struct entry *e, struct cell_link *l)
{
	struct open_job *j;

	LIST_FOREACH(j, &e->open_jobs, link) {
		if (strcmp(j->cell, l->name) == 0)
			send_job(j, l);
	}
}

/*
 * Handles an answer about a job. Answers are matched by job id, never by order or connection.
 * A returned job has not been started and counts as never sent.
 */
void job_on_answer(struct entry *e, const struct msg_answer *a)
{
	struct open_job *j = a->job != NULL ? chain_take(e, a->job) : NULL;
	struct open_job *next;

	if (j == NULL)
		counter_add(&answers_stray, 1);
	for (; j != NULL; j = next) {
		next = j->next_same_id;
		if (a->returned) {
			j->sent = false;
			j->last_term = 0;
			j->waiting_since = loop_now(e->p->loop);
			chain_add(j);
			continue;
		}
		j->accepted = j->accepted || a->accepted_only;
		if (a->accepted_only && j->wait) {
			chain_add(j);
			continue;
		}
		if (a->accepted_only)
			reply_accepted(j->request, j->spec.id);
		else
			reply_job_result(j->request, j->spec.id, &a->result);
		release_job(j);
	}
}

/* Answers a job's request if it has timed out. */
static void check_timeout(struct open_job *j, int64_t now)
{
	struct entry *e = j->entry;
	/*
	 * A job is sent once its cell's coordinator has sent its welcome. A job that a
	 * coordinator returned is sent again only on the next welcome, so it can time out here
	 * too.
	 */
	bool unsent_too_long = !j->sent && now - j->waiting_since > e->coordinator_timeout_ns;

	if (unsent_too_long) {
		http_reply_problem(j->request, ERR_NO_COORDINATOR,
			"the cell has no coordinator; the job was not handed over", NULL);
		close_job(j);
	} else if (now - j->waiting_since > e->answer_timeout_ns && j->sent) {
		if (j->accepted)
			reply_accepted(j->request, j->spec.id);
		else
			http_reply_problem_full(j->request, ERR_UNKNOWN_OUTCOME,
				"no coordinator confirmed the job in time", false, 0, NULL);
		close_job(j);
	}
}

/* Answers the requests that have timed out. */
void jobs_check_timeouts(struct entry *e, int64_t now)
{
	struct open_job *j;
	struct open_job *next;

	for (j = LIST_FIRST(&e->open_jobs); j != NULL; j = next) {
		next = LIST_NEXT(j, link);
		check_timeout(j, now);
	}
}

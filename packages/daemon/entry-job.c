#include "entry-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

COUNTER(answers_sent, "damaskpath_answers_total", "Answers given to callers.");
COUNTER(answers_stray, "damaskpath_answers_stray_total",
	"Answers of coordinators for which no caller waited any more.");
COUNTER(jobs_resent, "damaskpath_jobs_resent_total", "Jobs submitted again to a new term.");
GAUGE(jobs_open, "damaskpath_jobs_open", "Jobs whose callers wait at this entry.");

/* Free an open job. */
void open_job_free(struct open_job *j)
{
	fields_clear(&job_spec_fields, &j->spec);
	free(j->cell);
	free(j);
}

/* Count a job out; it is in no list any more. */
static void count_out(struct open_job *j)
{
	struct entry *e = j->entry;

	LIST_REMOVE(j, link);
	__atomic_fetch_sub(&e->open_count, 1, __ATOMIC_RELAXED);
	counter_set(&jobs_open, __atomic_load_n(&e->open_count, __ATOMIC_RELAXED));
	counter_add(&answers_sent, 1);
	open_job_free(j);
}

/* Put a job at the head of the chain of its id. */
static void chain_add(struct open_job *j)
{
	j->next_same_id = g_hash_table_lookup(j->entry->jobs_by_id, j->spec.id);
	g_hash_table_replace(j->entry->jobs_by_id, j->spec.id, j);
}

/* Take the chain of an id out of the table. */
static struct open_job *chain_take(struct entry *e, const char *id)
{
	struct open_job *j = g_hash_table_lookup(e->jobs_by_id, id);

	if (j != NULL)
		g_hash_table_remove(e->jobs_by_id, id);
	return j;
}

/* Forget a job that has been answered. */
static void close_job(struct open_job *j)
{
	struct open_job *at = chain_take(j->entry, j->spec.id);
	struct open_job *next;

	for (; at != NULL; at = next) {
		next = at->next_same_id;
		if (at != j)
			chain_add(at);
	}
	count_out(j);
}

/* The outcome's extra members of a problem. */
static char *outcome_json(const char *job, const struct job_result *res)
{
	char *text;

	xasprintf(&text, ",\"outcome\":\"%s\",\"job\":\"%s\"", outcome_name(res->outcome), job);
	return text;
}

/* Answer a request with how its job ended. */
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
	extra = outcome_json(job, res);
	http_reply_outcome(r, res->error, res->detail, res->not_run, res->retry_after_s, extra);
}

/* Tell a caller that its job was accepted and where to ask for it. */
static void answer_accepted(struct http_request *r, const char *job)
{
	AUTOFREE char *location = NULL;
	AUTOFREE char *body = NULL;

	xasprintf(&location, "/v1/jobs/%s", job);
	xasprintf(&body, "{\"id\":\"%s\",\"state\":\"accepted\"}\n", job);
	http_reply_header(r, "Location", location);
	http_reply_header(r, "Damaskpath-Job", job);
	http_reply_text(r, 202, "application/json", body);
}

/* Submit a job to its cell, if there is a coordinator. */
static void send_job(struct open_job *j, struct cell_link *l)
{
	int64_t now = loop_now(j->entry->p->loop);
	struct msg m = {.kind = MSG_SUBMIT};

	m.submit = (struct msg_submit){
		.spec = j->spec, .again = j->sent, .last_term = j->last_term, .wait = true};
	if (j->deadline_at > 0)
		m.submit.spec.deadline_ms = MAX((j->deadline_at - now) / NSEC_PER_MSEC, 1);
	if (!link_send_msg(j->entry, l, &m))
		return;
	if (j->sent)
		counter_add(&jobs_resent, 1);
	j->sent = true;
	j->last_term = l->ready_term;
}

/* A new job of a caller. Posted to the loop by an HTTP thread. */
void job_open(struct open_job *j)
{
	struct entry *e = j->entry;
	struct cell_link *l = link_find(e, j->cell);

	LIST_INSERT_HEAD(&e->open_jobs, j, link);
	chain_add(j);
	counter_set(&jobs_open, __atomic_load_n(&e->open_count, __ATOMIC_RELAXED));
	if (l != NULL && l->ready)
		send_job(j, l);
}

/* A cell has a new coordinator, or ours is back: submit what is open there again. */
void jobs_resubmit(struct entry *e, struct cell_link *l)
{
	struct open_job *j;

	LIST_FOREACH(j, &e->open_jobs, link) {
		if (strcmp(j->cell, l->name) == 0)
			send_job(j, l);
	}
}

/* An answer of a coordinator: matched by job, never by order or connection. */
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
			answer_accepted(j->request, j->spec.id);
		else
			reply_job_result(j->request, j->spec.id, &a->result);
		count_out(j);
	}
}

/* Answer a caller that has waited too long. */
static void answer_late(struct open_job *j, int64_t now)
{
	struct entry *e = j->entry;
	bool no_coordinator = !j->sent && now - j->waiting_since > e->coordinator_timeout;

	if (no_coordinator) {
		http_reply_problem(j->request, ERR_NO_COORDINATOR,
			"the cell has no coordinator; the job was not handed over", NULL);
		close_job(j);
	} else if (now - j->waiting_since > e->answer_timeout && j->sent) {
		if (j->accepted)
			answer_accepted(j->request, j->spec.id);
		else
			http_reply_outcome(j->request, ERR_UNKNOWN_OUTCOME,
				"no coordinator confirmed the job in time", false, 0, NULL);
		close_job(j);
	}
}

/* Enforce the limits on waiting. */
void jobs_check_timeouts(struct entry *e, int64_t now)
{
	struct open_job *j;
	struct open_job *next;

	for (j = LIST_FIRST(&e->open_jobs); j != NULL; j = next) {
		next = LIST_NEXT(j, link);
		answer_late(j, now);
	}
}

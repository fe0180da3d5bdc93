#include "coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

COUNTER(jobs_submitted, "damaskpath_jobs_submitted_total",
	"Jobs that came to this coordinator.");
COUNTER(jobs_repeated, "damaskpath_jobs_repeated_total",
	"Submissions of a job that was known.");
COUNTER(jobs_ended, "damaskpath_jobs_ended_total", "Jobs that ended here.");
COUNTER(jobs_unknown, "damaskpath_jobs_unknown_total", "Jobs whose outcome is unknown.");

/* Free a job. */
void coord_job_free(void *p)
{
	struct coord_job *j = p;

	fields_clear(&job_spec_fields, &j->spec);
	fields_clear(&job_result_fields, &j->result);
	bytes_clear(&j->checkpoint);
	g_array_unref(j->waiters);
	g_array_unref(j->acks);
	free(j->explained);
	free(j->placed);
	free(j);
}

/* Find a job by its id. */
struct coord_job *job_find(struct coord *c, const char *id)
{
	return id != NULL ? g_hash_table_lookup(c->jobs, id) : NULL;
}

/* Enter a job. */
struct coord_job *job_add(struct coord *c, int64_t now, const struct job_spec *spec)
{
	struct coord_job *j = xcalloc(1, sizeof(*j));

	fields_copy(&job_spec_fields, &j->spec, spec);
	j->ref = JOB_REF_NONE;
	j->submitted_at = now;
	j->waiters = g_array_new(FALSE, TRUE, sizeof(peer_id));
	j->acks = g_array_new(FALSE, TRUE, sizeof(struct coord_ack));
	g_hash_table_insert(c->jobs, j->spec.id, j);
	return j;
}

/* The record in the store is out of date. */
void job_mark_dirty(struct coord_job *j)
{
	if (!j->spec.durable)
		return;
	j->dirty = true;
	j->version++;
}

/* Give a job to the core. */
void job_submit_to_sched(struct coord *c, int64_t now, struct coord_job *j)
{
	struct sched_job *s;

	j->in_core = true;
	j->ref = sched_submit(c->sched, now, &j->spec, j);
	s = sched_job(c->sched, j->ref);
	if (j->record_attempt == 0)
		return;
	s->attempt = MAX(j->record_attempt, coord_attempt_floor(c));
	s->ran = j->spec.idempotent;
}

/*
 * Whether a job has ended and that may be told. That a job which must be remembered was not run
 * is true only once its record says so: the next coordinator would run what the record has
 * open.
 */
bool job_is_told(const struct coord_job *j)
{
	return j->ended && !(j->spec.durable && j->result.not_run && j->dirty);
}

/* Send a job's end, or that it was accepted, to an entry. */
void job_answer(struct coord *c, struct coord_job *j, peer_id peer)
{
	struct msg m = {.kind = MSG_ANSWER,
		.answer = {.job = j->spec.id, .term = c->term, .accepted_only = !j->ended}};

	m.answer.result = j->result;
	coord_send(c, peer, &m);
}

/* Send a job's end to all who wait for it, if it may be told. */
static void answer_waiters(struct coord *c, struct coord_job *j)
{
	if (!job_is_told(j))
		return;
	for (guint i = 0; i < j->waiters->len; i++)
		job_answer(c, j, g_array_index(j->waiters, peer_id, i));
	g_array_set_size(j->waiters, 0);
}

/* Refuse a job that was never entered. */
static void refuse(struct coord *c, peer_id peer, const char *id, enum outcome outcome,
	enum error_kind kind, bool not_run, const char *detail)
{
	struct msg m = {.kind = MSG_ANSWER, .answer = {.job = (char *)id, .term = c->term}};

	m.answer.result = (struct job_result){.outcome = outcome,
		.error = kind,
		.not_run = not_run,
		.retry_after_s = (uint32_t)error_answer(kind)->retry_after_s,
		.detail = (char *)detail};
	coord_send(c, peer, &m);
}

/* Note that an entry waits for a job's end. */
static void add_waiter(struct coord_job *j, peer_id peer)
{
	for (guint i = 0; i < j->waiters->len; i++) {
		if (g_array_index(j->waiters, peer_id, i) == peer)
			return;
	}
	g_array_append_val(j->waiters, peer);
}

/* A job that is known comes again. */
static void submit_again(
	struct coord *c, peer_id peer, struct coord_job *j, const struct msg_submit *m)
{
	counter_add(&jobs_repeated, 1);
	if (g_strcmp0(j->spec.fingerprint, m->spec.fingerprint) != 0) {
		refuse(c, peer, m->spec.id, OUTCOME_NOT_RUN, ERR_KEY_REUSED, true,
			"this request was not run; the key belongs to an earlier, different "
			"one");
		return;
	}
	if (job_is_told(j)) {
		job_answer(c, j, peer);
		return;
	}
	if (m->wait || j->ended)
		add_waiter(j, peer);
	if (!j->accepting && !j->ended)
		job_answer(c, j, peer);
}

/* Give a job that no agent was told of back to an entry; to the next term it is a new one. */
static void give_back(struct coord *c, const char *id, peer_id peer)
{
	struct msg m = {.kind = MSG_ANSWER,
		.answer = {.job = (char *)id, .term = c->term, .returned = true}};

	coord_send(c, peer, &m);
}

/*
 * Before a planned stop: place nothing more, and give the jobs that only wait back to the
 * entries that wait for them. Returns how many answers were sent.
 */
size_t coord_return_waiting(struct coord *c)
{
	GHashTableIter it;
	gpointer value;
	size_t sent = 0;

	c->handing_over = true;
	sched_set_settling(c->sched, true);
	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_job *j = value;
		const struct sched_job *s = j->in_core ? sched_job(c->sched, j->ref) : NULL;

		if (s == NULL || s->ran || j->spec.durable ||
			(s->state != SCHED_JOB_QUEUED && s->state != SCHED_JOB_CLAIMING))
			continue;
		for (guint i = 0; i < j->waiters->len; i++)
			give_back(c, j->spec.id, g_array_index(j->waiters, peer_id, i));
		sent += j->waiters->len;
		g_array_set_size(j->waiters, 0);
	}
	return sent;
}

/* An entry submits a job, perhaps again. */
void job_submit(struct coord *c, int64_t now, peer_id peer, const struct msg_submit *m)
{
	struct coord_job *j = job_find(c, m->spec.id);

	if (m->spec.id == NULL || m->spec.org == NULL)
		return;
	if (j != NULL) {
		submit_again(c, peer, j, m);
		return;
	}
	if (c->handing_over && !m->again) {
		give_back(c, m->spec.id, peer);
		return;
	}
	if (m->spec.durable && !c->store_up) {
		refuse(c, peer, m->spec.id, OUTCOME_NOT_RUN, ERR_STORE_DOWN, true,
			"the store is down, so a job that has to be remembered cannot be "
			"accepted");
		return;
	}
	counter_add(&jobs_submitted, 1);
	j = job_add(c, now, &m->spec);
	if (m->again)
		j->record_attempt = coord_attempt_floor(c);
	if (m->wait)
		add_waiter(j, peer);
	if (m->again && !m->spec.idempotent && m->last_term < c->term &&
		!settle_all_agents_present(c, &m->spec)) {
		j->may_have_started = true;
		return;
	}
	if (j->spec.durable) {
		j->accepting = true;
		job_mark_dirty(j);
		return;
	}
	job_submit_to_sched(c, now, j);
}

/* Answer a request to cancel. */
static void cancel_reply(struct coord *c, peer_id peer, uint64_t request, bool failed,
	enum error_kind kind, const char *json)
{
	struct msg m = {.kind = MSG_REPLY,
		.reply = {.request = request,
			.failed = failed,
			.error = kind,
			.json = (char *)json}};

	coord_send(c, peer, &m);
}

/* A caller no longer wants a job. */
void job_cancel(struct coord *c, int64_t now, peer_id peer, const struct msg_cancel *m)
{
	struct coord_job *j = job_find(c, m->job);

	if (j == NULL || (m->org != NULL && g_strcmp0(m->org, j->spec.org) != 0)) {
		cancel_reply(c, peer, m->request, true, ERR_NOT_FOUND, "the job is not known");
		return;
	}
	if (j->in_core && !j->ended) {
		coord_audit(c, now, "job.cancel", j->spec.org, j->spec.id, "");
		sched_cancel(c->sched, now, j->ref);
		run_actions(c, now);
	} else if (!j->ended) {
		cancel_reply(c, peer, m->request, true, ERR_OVERLOAD,
			"the job is being accepted; try again");
		return;
	}
	cancel_reply(c, peer, m->request, false, ERR_INTERNAL, "{}");
}

/* Keep the ended jobs within bounds. */
static void push_ended(struct coord *c, struct coord_job *j)
{
	TAILQ_INSERT_TAIL(&c->ended, j, ended_entry);
	c->ended_len++;
	c->ended_bytes += j->result.body.len + j->spec.payload.len;
}

/* A job has ended: tell all who wait, and remember it for a while. */
void job_end(struct coord *c, int64_t now, struct coord_job *j, const struct job_result *r)
{
	if (j->ended)
		return;
	if (r != &j->result) {
		fields_clear(&job_result_fields, &j->result);
		fields_copy(&job_result_fields, &j->result, r);
	}
	j->ended = true;
	j->may_have_started = false;
	j->accepting = false;
	j->ended_at = now;
	j->ended_wall = coord_wall(c, now);
	counter_add(&jobs_ended, 1);
	if (j->result.outcome == OUTCOME_UNKNOWN)
		counter_add(&jobs_unknown, 1);
	bytes_clear(&j->spec.payload);
	job_mark_dirty(j);
	answer_waiters(c, j);
	push_ended(c, j);
	log_info("coord", "A job ended: %s. job=%s attempt=%u term=%" PRIu64,
		outcome_name(j->result.outcome), j->spec.id, j->attempt, c->term);
}

/* Whether an ended job may be forgotten. */
static bool may_forget(const struct coord *c, const struct coord_job *j, int64_t now)
{
	int64_t age = now - j->ended_at;

	if (j->dirty || j->in_batch)
		return false;
	if (j->spec.durable)
		return age > COORD_DURABLE_JOB_TTL_NS;
	return age > COORD_ENDED_JOB_TTL_NS || c->ended_len > COORD_ENDED_JOBS_MAX ||
	       c->ended_bytes > COORD_ENDED_BYTES_MAX;
}

/* Forget ended jobs that are old, or too many. */
void job_expire(struct coord *c, int64_t now)
{
	struct coord_job *j;
	struct coord_job *next;
	int budget = 1000;

	for (j = TAILQ_FIRST(&c->ended); j != NULL && budget-- > 0; j = next) {
		next = TAILQ_NEXT(j, ended_entry);
		if (!may_forget(c, j, now)) {
			if (now - j->ended_at < COORD_ENDED_JOB_TTL_NS &&
				c->ended_len <= COORD_ENDED_JOBS_MAX &&
				c->ended_bytes <= COORD_ENDED_BYTES_MAX)
				return;
			continue;
		}
		if (j->spec.durable && !j->remove && c->store_up) {
			j->remove = true;
			job_mark_dirty(j);
			continue;
		}
		if (j->spec.durable && !j->remove)
			continue;
		TAILQ_REMOVE(&c->ended, j, ended_entry);
		c->ended_len--;
		c->ended_bytes -= MIN(c->ended_bytes, j->result.body.len);
		g_hash_table_remove(c->jobs, j->spec.id);
	}
}

/* Collect what has to be written; false where there is nothing. */
bool coord_take_batch(struct coord *c, struct coord_batch *out)
{
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(struct job_write));
	GPtrArray *ids = g_ptr_array_new();
	GArray *versions = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_job *j = value;
		struct job_write w = {.remove = j->remove};

		if (!j->dirty || j->in_batch)
			continue;
		fields_copy(&job_spec_fields, &w.record.spec, &j->spec);
		fields_copy(&job_result_fields, &w.record.result, &j->result);
		w.record.attempt = j->record_attempt;
		w.record.placed = xstrdup(j->placed);
		w.record.ended_wall_ms = j->ended_wall / NSEC_PER_MSEC;
		g_array_append_val(writes, w);
		g_ptr_array_add(ids, xstrdup(j->spec.id));
		g_array_append_val(versions, j->version);
		j->in_batch = true;
	}
	out->len = writes->len;
	out->writes = (struct job_write *)g_array_free(writes, FALSE);
	out->ids = (char **)g_ptr_array_free(ids, FALSE);
	out->versions = (uint64_t *)g_array_free(versions, FALSE);
	if (out->len > 0)
		return true;
	coord_batch_clear(out);
	return false;
}

/* Free a batch. */
void coord_batch_clear(struct coord_batch *b)
{
	for (size_t i = 0; i < b->len; i++) {
		fields_clear(&job_record_fields, &b->writes[i].record);
		free(b->ids[i]);
	}
	g_free(b->writes);
	g_free(b->ids);
	g_free(b->versions);
	memset(b, 0, sizeof(*b));
}

/* Acknowledge the ends that waited for the record. */
static void send_acks(struct coord *c, struct coord_job *j)
{
	for (guint i = 0; i < j->acks->len; i++) {
		const struct coord_ack *a = &g_array_index(j->acks, struct coord_ack, i);
		struct msg m = {.kind = MSG_ENDED_ACK,
			.ended_ack = {
				.term = c->term, .job = j->spec.id, .attempt = a->attempt}};

		coord_send(c, a->peer, &m);
	}
	g_array_set_size(j->acks, 0);
}

/* The record of a job is in the store as it was at a version. */
static void record_written(struct coord *c, int64_t now, struct coord_job *j, uint64_t version)
{
	j->written_version = version;
	if (j->version == version)
		j->dirty = false;
	if (j->accepting) {
		j->accepting = false;
		for (guint i = 0; i < j->waiters->len; i++)
			job_answer(c, j, g_array_index(j->waiters, peer_id, i));
		job_submit_to_sched(c, now, j);
	}
	if (j->write_before_start && !j->dirty) {
		j->write_before_start = false;
		run_dispatch(c, now, j);
	}
	if (j->ended && !j->dirty) {
		answer_waiters(c, j);
		send_acks(c, j);
	}
}

/* A batch was written, or was not. */
void coord_batch_done(struct coord *c, int64_t now, const struct coord_batch *b, bool written)
{
	for (size_t i = 0; i < b->len; i++) {
		struct coord_job *j = job_find(c, b->ids[i]);

		if (j == NULL)
			continue;
		j->in_batch = false;
		if (written)
			record_written(c, now, j, b->versions[i]);
	}
	run_actions(c, now);
}

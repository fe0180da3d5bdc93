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
	free(j->explanation);
	free(j->placed);
	free(j);
}

/* Find a job by its id. */
struct coord_job *job_find(struct coord *c, const char *id)
{
	return id != NULL ? g_hash_table_lookup(c->jobs, id) : NULL;
}

/* Add a job to the table; its id must be new. */
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

/* Note that the stored record of a durable job is out of date. */
void job_mark_dirty(struct coord_job *j)
{
	if (!j->spec.durable)
		return;
	j->dirty = true;
	j->version++;
}

/* Submit a job to the scheduler. */
void job_submit_to_sched(struct coord *c, int64_t now, struct coord_job *j)
{
	struct sched_job *s;

	j->in_sched = true;
	j->ref = sched_submit(c->sched, now, &j->spec, j);
	s = sched_job(c->sched, j->ref);
	if (j->last_attempt == 0)
		return;
	s->attempt = MAX(j->last_attempt, coord_attempt_floor(c));
	s->ran = j->spec.idempotent;
}

/*
 * Whether a job has ended and its result may be sent. That a durable job was not run may be
 * reported only once its record says so: the next coordinator would run a job whose record has
 * no result.
 */
bool job_result_sendable(const struct coord_job *j)
{
	return j->ended && !(j->spec.durable && j->result.not_run && j->dirty);
}

/* Send the result of a job to an entry, or that the job was accepted if it has not ended. */
void job_answer(struct coord *c, struct coord_job *j, peer_id peer)
{
	struct msg m = {.kind = MSG_ANSWER,
		.answer = {.job = j->spec.id, .term = c->term, .accepted_only = !j->ended}};

	m.answer.result = j->result;
	coord_send(c, peer, &m);
}

/* Send the result of a job to all entries that wait for it, if it may be sent. */
static void answer_waiters(struct coord *c, struct coord_job *j)
{
	if (!job_result_sendable(j))
		return;
	for (guint i = 0; i < j->waiters->len; i++)
		job_answer(c, j, g_array_index(j->waiters, peer_id, i));
	g_array_set_size(j->waiters, 0);
}

/* Refuse a submission; no job is added for it. */
static void send_refusal(struct coord *c, peer_id peer, const char *id, enum outcome outcome,
	enum error_kind kind, bool not_run, const char *detail)
{
	struct msg m = {.kind = MSG_ANSWER, .answer = {.job = (char *)id, .term = c->term}};

	m.answer.result = (struct job_result){.outcome = outcome,
		.error = kind,
		.not_run = not_run,
		.retry_after_s = (uint32_t)error_info(kind)->retry_after_s,
		.detail = (char *)detail};
	coord_send(c, peer, &m);
}

/* Register an entry that waits for a job, once. */
static void add_waiter(struct coord_job *j, peer_id peer)
{
	for (guint i = 0; i < j->waiters->len; i++) {
		if (g_array_index(j->waiters, peer_id, i) == peer)
			return;
	}
	g_array_append_val(j->waiters, peer);
}

/*
 * Answer the submission of a job that is already known: with a refusal if it is a different
 * request, with the result, or that the job was accepted. Without a result, the entry is added
 * to those that wait for it, if it asks for that or the job has ended.
 */
static void answer_repeated_submission(
	struct coord *c, peer_id peer, struct coord_job *j, const struct msg_submit *m)
{
	counter_add(&jobs_repeated, 1);
	if (g_strcmp0(j->spec.fingerprint, m->spec.fingerprint) != 0) {
		send_refusal(c, peer, m->spec.id, OUTCOME_NOT_RUN, ERR_KEY_REUSED, true,
			"this request was not run; the key belongs to an earlier, different "
			"one");
		return;
	}
	if (job_result_sendable(j)) {
		job_answer(c, j, peer);
		return;
	}
	if (m->wait || j->ended)
		add_waiter(j, peer);
	if (!j->accepting && !j->ended)
		job_answer(c, j, peer);
}

/*
 * Give a job back to its entry, which submits it to the next coordinator as a new one. The
 * caller makes sure that no attempt of the job can have started.
 */
static void send_returned(struct coord *c, const char *id, peer_id peer)
{
	struct msg m = {.kind = MSG_ANSWER,
		.answer = {.job = (char *)id, .term = c->term, .returned = true}};

	coord_send(c, peer, &m);
}

/*
 * Prepare for a planned stop: place no more jobs, and return the queued ones to the entries
 * that wait for them, except durable jobs and those of which an ended attempt may have started.
 * A job whose reservations were refused or released is returned as well. Returns the number of
 * answers sent.
 */
size_t coord_hand_over_queued(struct coord *c)
{
	GHashTableIter it;
	gpointer value;
	size_t sent = 0;

	c->handing_over = true;
	/*
	 * No job is placed from now on, as while the coordinator waits for inventories after
	 * its start. Queued jobs are shown with the same reason, "settling".
	 */
	sched_set_settling(c->sched, true);
	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_job *j = value;
		const struct sched_job *s = j->in_sched ? sched_job(c->sched, j->ref) : NULL;

		if (s == NULL || s->ran || j->spec.durable ||
			(s->state != SCHED_JOB_QUEUED && s->state != SCHED_JOB_CLAIMING))
			continue;
		for (guint i = 0; i < j->waiters->len; i++)
			send_returned(c, j->spec.id, g_array_index(j->waiters, peer_id, i));
		sent += j->waiters->len;
		g_array_set_size(j->waiters, 0);
	}
	return sent;
}

/* Handle a submission, which may be a repeated one. */
void job_submit(struct coord *c, int64_t now, peer_id peer, const struct msg_submit *m)
{
	struct coord_job *j = job_find(c, m->spec.id);

	if (m->spec.id == NULL || m->spec.org == NULL)
		return;
	if (j != NULL) {
		answer_repeated_submission(c, peer, j, m);
		return;
	}
	if (c->handing_over && !m->resubmitted) {
		send_returned(c, m->spec.id, peer);
		return;
	}
	if (m->spec.durable && !c->store_up) {
		send_refusal(c, peer, m->spec.id, OUTCOME_NOT_RUN, ERR_STORE_DOWN, true,
			"the store is down, so a job that has to be remembered cannot be "
			"accepted");
		return;
	}
	counter_add(&jobs_submitted, 1);
	j = job_add(c, now, &m->spec);
	if (m->resubmitted)
		j->last_attempt = coord_attempt_floor(c);
	if (m->wait)
		add_waiter(j, peer);
	if (m->resubmitted && !m->spec.idempotent && m->last_term < c->term &&
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

/* Reply to a cancel request. */
static void send_cancel_reply(struct coord *c, peer_id peer, uint64_t request, bool failed,
	enum error_kind kind, const char *json)
{
	struct msg m = {.kind = MSG_REPLY,
		.reply = {.request = request,
			.failed = failed,
			.error = kind,
			.json = (char *)json}};

	coord_send(c, peer, &m);
}

/* Handle a cancel request. */
void job_cancel(struct coord *c, int64_t now, peer_id peer, const struct msg_cancel *m)
{
	struct coord_job *j = job_find(c, m->job);

	if (j == NULL || (m->org != NULL && g_strcmp0(m->org, j->spec.org) != 0)) {
		send_cancel_reply(
			c, peer, m->request, true, ERR_NOT_FOUND, "the job is not known");
		return;
	}
	if (j->in_sched && !j->ended) {
		coord_audit(c, now, "job.cancel", j->spec.org, j->spec.id, "");
		sched_cancel(c->sched, now, j->ref);
		run_actions(c, now);
	} else if (!j->ended) {
		send_cancel_reply(c, peer, m->request, true, ERR_OVERLOAD,
			"the job is being accepted; try again");
		return;
	}
	send_cancel_reply(c, peer, m->request, false, ERR_INTERNAL, "{}");
}

/* Append a job to the list of ended ones, from which job_expire drops it. */
static void track_ended(struct coord *c, struct coord_job *j)
{
	TAILQ_INSERT_TAIL(&c->ended, j, ended_entry);
	c->ended_len++;
	c->ended_bytes += j->result.body.len + j->spec.payload.len;
}

/* End a job: send the result to the waiting entries, and keep it for repeated submissions. */
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
	track_ended(c, j);
	log_info("coord", "A job ended: %s. job=%s attempt=%u term=%" PRIu64,
		outcome_name(j->result.outcome), j->spec.id, j->attempt, c->term);
}

/* Whether an ended job may be dropped. */
static bool is_expirable(const struct coord *c, const struct coord_job *j, int64_t now)
{
	int64_t age = now - j->ended_at;

	if (j->dirty || j->in_batch)
		return false;
	if (j->spec.durable)
		return age > COORD_DURABLE_JOB_TTL_NS;
	return age > COORD_ENDED_JOB_TTL_NS || c->ended_len > COORD_ENDED_JOBS_MAX ||
	       c->ended_bytes > COORD_ENDED_BYTES_MAX;
}

/*
 * Drop ended jobs that are too old, too many or too large in sum. A durable job is only marked
 * for the removal of its record, and is dropped by a later call once the removal has been
 * written. The work of one call is bounded.
 */
void job_expire(struct coord *c, int64_t now)
{
	struct coord_job *j;
	struct coord_job *next;
	int budget = 1000; /* jobs looked at in one call */

	for (j = TAILQ_FIRST(&c->ended); j != NULL && budget-- > 0; j = next) {
		next = TAILQ_NEXT(j, ended_entry);
		if (!is_expirable(c, j, now)) {
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

/* Collect the records that have to be written; false if there are none. */
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
		w.record.attempt = j->last_attempt;
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

/* Free what a batch holds. */
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

/* Send the acknowledgements that waited until a job's record with its result was written. */
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

/* Handle a completed write of version of a job's record; newer changes keep the job dirty. */
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

/* Handle that the write of a batch has succeeded, or failed: then its jobs stay dirty. */
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

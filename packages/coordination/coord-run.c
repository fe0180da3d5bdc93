#include "coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Tell an agent to stop or release an attempt. */
void run_send_stop(
	struct coord *c, peer_id peer, const char *job, uint32_t attempt, enum stop_mode mode)
{
	struct msg m = {.kind = MSG_STOP,
		.stop = {.term = c->term,
			.job = (char *)job,
			.attempt = attempt,
			.mode = mode,
			.grace_ms = (uint32_t)(c->grace / NSEC_PER_MSEC)}};

	coord_send(c, peer, &m);
}

/*
 * Return the addresses of the agents of all members, ordered by member ("ADDR,ADDR,..."). It is
 * called roster in messages, but has nothing to do with coord_roster.
 */
static char *member_addrs(const struct coord_job *j)
{
	GString *out = g_string_new(NULL);

	for (uint32_t i = 0; i < j->size; i++)
		g_string_append_printf(
			out, "%s%s", i > 0 ? "," : "", j->members[i].agent->addr);
	return g_string_free(out, FALSE);
}

/*
 * Send the reservation of one member. No reservation is sent before the agent's inventory has
 * arrived, so that a member missing from the inventory is known never to have been reserved.
 */
static void send_reserve(struct coord *c, struct coord_job *j, uint32_t member,
	uint32_t accelerators, const char *addrs)
{
	struct coord_member *m = &j->members[member];
	struct msg out = {.kind = MSG_RESERVE};

	out.reserve = (struct msg_reserve){.term = c->term,
		.spec = j->spec,
		.attempt = j->attempt,
		.member = member,
		.size = j->size,
		.accelerators = accelerators,
		.start = j->size == 1,
		.roster = (char *)addrs,
		.checkpoint = j->checkpoint};
	m->sent = m->agent->inventory && coord_send(c, m->agent->peer, &out);
	m->start_sent = m->sent && j->size == 1;
}

/*
 * Abort an attempt of which no member was told to start: release its reservations and report
 * the failure to the scheduler.
 */
static void abort_attempt(struct coord *c, int64_t now, struct coord_job *j)
{
	for (uint32_t i = 0; i < j->size; i++) {
		if (j->members[i].sent && j->members[i].agent != NULL)
			run_send_stop(c, j->members[i].agent->peer, j->spec.id, j->attempt,
				STOP_RELEASE);
	}
	j->dispatched = false;
	j->write_before_start = false;
	j->size = 0;
	sched_attempt_withdrawn(c->sched, now, j->ref, j->attempt);
}

/* Send the reservations of an attempt; if one cannot be sent, the attempt is aborted. */
void run_dispatch(struct coord *c, int64_t now, struct coord_job *j)
{
	const struct sched_job *s = sched_job(c->sched, j->ref);
	g_autofree char *addrs = NULL;
	bool all = true;

	if (s == NULL || s->attempt != j->attempt || s->members_len != j->size ||
		s->state != SCHED_JOB_PLACING)
		return;
	for (uint32_t i = 0; i < j->size; i++)
		all = all && j->members[i].agent != NULL;
	if (!all) {
		abort_attempt(c, now, j);
		return;
	}
	addrs = member_addrs(j);
	j->dispatched = true;
	j->reserve_deadline = now + COORD_RESERVE_TIMEOUT_NS;
	for (uint32_t i = 0; all && i < j->size; i++) {
		send_reserve(c, j, i, s->members[i].accelerators, addrs);
		all = j->members[i].sent;
	}
	if (!all)
		abort_attempt(c, now, j);
}

/*
 * Handle the placement of a job by the scheduler. The record of a job that is durable but not
 * idempotent is written before any reservation is sent.
 */
static void on_place(struct coord *c, int64_t now, struct coord_job *j, uint32_t attempt)
{
	const struct sched_job *s = sched_job(c->sched, j->ref);
	GString *placed = g_string_new(NULL);

	j->attempt = attempt;
	j->size = s->members_len;
	j->dispatched = false;
	j->started = false;
	memset(j->members, 0, j->size * sizeof(j->members[0]));
	for (uint32_t i = 0; i < j->size; i++) {
		struct coord_agent *a = agent_by_worker(c, s->members[i].worker);

		j->members[i].agent = a;
		j->members[i].incarnation = a != NULL ? a->incarnation : 0;
		if (a != NULL)
			g_string_append_printf(placed, "%s%s/%" PRIx64, i > 0 ? "," : "",
				a->name, a->incarnation);
	}
	free(j->placed);
	j->placed = xstrdup(placed->str);
	g_string_free(placed, TRUE);
	j->last_attempt = attempt;
	log_info("coord", "Placed a job on %s. job=%s attempt=%u term=%" PRIu64, j->placed,
		j->spec.id, attempt, c->term);
	if (j->spec.durable && !j->spec.idempotent) {
		job_mark_dirty(j);
		j->write_before_start = true;
		j->reserve_deadline = now + COORD_RESERVE_TIMEOUT_NS;
		return;
	}
	run_dispatch(c, now, j);
}

/* Stop an attempt for the scheduler; abort it if its reservations have not been sent yet. */
static void on_stop(
	struct coord *c, int64_t now, struct coord_job *j, const struct sched_action *a)
{
	if (a->stop.why == SCHED_STOP_PREEMPTED)
		coord_audit(c, now, "job.preempt", j->spec.org, j->spec.id,
			"its accelerators were claimed by their owner");
	if (j->attempt != a->attempt) {
		sched_attempt_withdrawn(c->sched, now, j->ref, a->attempt);
		return;
	}
	if (!j->dispatched && !j->started) {
		abort_attempt(c, now, j);
		return;
	}
	for (uint32_t i = 0; i < j->size; i++) {
		struct coord_member *m = &j->members[i];

		if (!m->ended && m->sent && m->agent != NULL)
			run_send_stop(c, m->agent->peer, j->spec.id, j->attempt, a->stop.mode);
	}
}

/* Handle the end of a job in the scheduler: keep its explanation and end it with its result. */
static void on_end(
	struct coord *c, int64_t now, struct coord_job *j, const struct sched_action *a)
{
	json_t *why = sched_explain(c->sched, now, j->ref);

	free(j->explanation);
	j->explanation = json_dumps(why, JSON_COMPACT);
	json_decref(why);
	j->result.outcome = a->end.outcome;
	j->result.error = a->end.error;
	j->result.not_run = a->end.not_run;
	j->result.retry_after_s = a->end.retry_after_s;
	if (j->result.detail == NULL || a->end.outcome != OUTCOME_FAILED) {
		free(j->result.detail);
		j->result.detail = xstrdup(a->end.detail);
	}
	sched_remove_job(c->sched, j->ref);
	j->in_sched = false;
	j->ref = JOB_REF_NONE;
	job_end(c, now, j, &j->result);
}

/* Carry out the pending actions of the scheduler. */
void run_actions(struct coord *c, int64_t now)
{
	struct sched_action a;

	while (sched_next(c->sched, &a)) {
		const struct sched_job *s = sched_job(c->sched, a.job);
		struct coord_job *j = s != NULL ? s->owner : NULL;

		if (j == NULL) {
			sched_action_clear(&a);
			continue;
		}
		j->ref = a.job;
		switch (a.kind) {
		case SCHED_ACTION_PLACE:
			if (s->attempt == a.attempt && s->state == SCHED_JOB_PLACING)
				on_place(c, now, j, a.attempt);
			break;
		case SCHED_ACTION_STOP:
			if (s->attempt == a.attempt)
				on_stop(c, now, j, &a);
			break;
		case SCHED_ACTION_END:
			on_end(c, now, j, &a);
			break;
		}
		sched_action_clear(&a);
	}
}

/* Tell all members of a gang to start; all of them are reserved. */
static void start_gang(struct coord *c, int64_t now, struct coord_job *j)
{
	for (uint32_t i = 0; i < j->size; i++) {
		struct msg m = {.kind = MSG_START,
			.start = {.term = c->term, .job = j->spec.id, .attempt = j->attempt}};

		j->members[i].start_sent = true;
		coord_send(c, j->members[i].agent->peer, &m);
	}
	j->started = true;
	sched_started(c->sched, now, j->ref, j->attempt);
}

/*
 * Handle the answer to a reservation. A refusal aborts the attempt, and the job is started once
 * all members are reserved. A reservation that is no longer wanted is released.
 */
void run_reserved(
	struct coord *c, int64_t now, struct coord_agent *a, const struct msg_reserved *m)
{
	struct coord_job *j = job_find(c, m->job);
	bool all = true;

	if (j == NULL || j->ended || m->attempt != j->attempt || m->member >= j->size ||
		j->members[m->member].agent != a || !j->dispatched || !j->in_sched) {
		if (m->ok)
			run_send_stop(c, a->peer, m->job, m->attempt, STOP_RELEASE);
		return;
	}
	if (j->started || j->members[m->member].ended)
		return;
	if (!m->ok) {
		log_info("coord", "Agent %s refused a reservation: %s. job=%s attempt=%u",
			a->name, m->reason != NULL ? m->reason : "no reason", m->job,
			m->attempt);
		j->members[m->member].sent = false;
		j->members[m->member].start_sent = false;
		abort_attempt(c, now, j);
		return;
	}
	j->members[m->member].reserved = true;
	for (uint32_t i = 0; i < j->size; i++)
		all = all && j->members[i].reserved && !j->members[i].ended;
	if (!all)
		return;
	if (j->size > 1) {
		start_gang(c, now, j);
		return;
	}
	j->started = true;
	sched_started(c->sched, now, j->ref, j->attempt);
}

/*
 * Acknowledge the end of a member: at once, or for a durable job once the whole job has ended
 * and its record with the result is written. An attempt that failed or was preempted thus stays
 * unacknowledged through all later attempts.
 */
static void acknowledge_end(
	struct coord *c, struct coord_agent *a, struct coord_job *j, const struct msg_ended *m)
{
	struct coord_ack ack = {a->peer, m->attempt};
	struct msg out = {.kind = MSG_ENDED_ACK,
		.ended_ack = {.term = c->term, .job = m->job, .attempt = m->attempt}};

	if (j != NULL && j->spec.durable && (j->dirty || !j->ended))
		g_array_append_val(j->acks, ack);
	else
		coord_send(c, a->peer, &out);
}

/* Keep the result and the checkpoint of a member if it is member 0 or has failed. */
static void keep_result(struct coord_job *j, const struct msg_ended *m)
{
	bool failed = m->end == MEMBER_END_FAILED;

	if (m->member != 0 && !failed)
		return;
	fields_clear(&job_result_fields, &j->result);
	fields_copy(&job_result_fields, &j->result, &m->result);
	if (m->checkpoint.len > 0) {
		bytes_clear(&j->checkpoint);
		j->checkpoint = bytes_copy(m->checkpoint.data, m->checkpoint.len);
	}
}

/*
 * Handle the end of a member: keep its result, hand the end to the scheduler and acknowledge
 * it. The member is looked up by its agent, as the index in j->members is not always the member
 * number. The scheduler is told how much run time a checkpoint saves; the time since submission
 * is passed for that, which includes the time that the job has waited.
 */
void run_end_member(
	struct coord *c, int64_t now, struct coord_agent *a, const struct msg_ended *m)
{
	struct coord_job *j = job_find(c, m->job);
	uint32_t member = UINT32_MAX;

	for (uint32_t i = 0; j != NULL && i < j->size; i++) {
		if (j->members[i].agent == a)
			member = i;
	}
	if (j != NULL && !j->ended && j->attempt == m->attempt && member < j->size &&
		j->members[member].agent == a && !j->members[member].ended) {
		j->members[member].ended = true;
		keep_result(j, m);
		if (!j->started && j->size == 1 && m->end != MEMBER_END_NEVER_STARTED) {
			j->started = true;
			sched_started(c->sched, now, j->ref, j->attempt);
		}
		sched_member_ended(c->sched, now, j->ref, j->attempt, member, m->end,
			m->checkpoint.len > 0 ? now - j->submitted_at : 0);
		run_actions(c, now);
	}
	acknowledge_end(c, a, j, m);
}

/*
 * Handle the report that a member has ended. If the member is known only from an agent's
 * inventory, because its job has not been settled yet, the end is only noted here; it is
 * handled and acknowledged when the job is settled.
 */
void run_handle_ended(
	struct coord *c, int64_t now, struct coord_agent *a, const struct msg_ended *m)
{
	if (m->job != NULL && !settle_update_listed_end(c, a, m))
		run_end_member(c, now, a, m);
}

/*
 * Tell the scheduler that members of an agent have ended of which no report will come.
 *
 * With inventory_handled, the agent is connected and its inventory has been handled. Members
 * that the same incarnation of the agent has confirmed, on this connection or an earlier one,
 * are left, as their ends may still be reported; whether they are listed is not checked. The
 * others have never started: if the inventory listed them, handling it would have confirmed
 * them.
 *
 * Without it, the agent is dead or has restarted: a member that may have been told to start is
 * lost, and the others have never started.
 */
void run_end_missing_members(
	struct coord *c, int64_t now, struct coord_agent *a, bool inventory_handled)
{
	g_autoptr(GPtrArray) jobs = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_job *j = value;

		if (!j->ended && j->in_sched && j->size > 0)
			g_ptr_array_add(jobs, j);
	}
	for (guint k = 0; k < jobs->len; k++) {
		struct coord_job *j = jobs->pdata[k];

		for (uint32_t i = 0; i < j->size; i++) {
			struct coord_member *m = &j->members[i];

			if (m->agent != a || m->ended || !m->sent)
				continue;
			if (inventory_handled && m->incarnation == a->incarnation &&
				m->reserved)
				continue;
			m->ended = true;
			sched_member_ended(c->sched, now, j->ref, j->attempt, i,
				m->start_sent && !inventory_handled ? MEMBER_END_LOST
								    : MEMBER_END_NEVER_STARTED,
				0);
		}
	}
	run_actions(c, now);
}

/*
 * Abort attempts of gangs whose reservations were not all confirmed in time, and any attempts
 * whose records were not written in time. A job of one member that was dispatched is not
 * aborted.
 */
void run_check_timeouts(struct coord *c, int64_t now)
{
	g_autoptr(GPtrArray) expired = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_job *j = value;
		bool gang_late = j->dispatched && !j->started && j->size > 1;

		if (!j->ended && j->in_sched && now > j->reserve_deadline &&
			(gang_late || j->write_before_start))
			g_ptr_array_add(expired, j);
	}
	for (guint i = 0; i < expired->len; i++)
		abort_attempt(c, now, expired->pdata[i]);
}

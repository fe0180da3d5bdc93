#include "coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * A new coordinator rebuilds its state from two sources: the agents, which know what runs and
 * what ended, and the store, which has the jobs that must be remembered. An agent that has
 * adopted our term refuses the messages of older ones, so its inventory is final: what it does
 * not list can no longer start there.
 */

/* Whether an incarnation that could have been told to start a job has gone since it came. */
static bool lost_witness(const struct coord *c, const struct job_spec *spec)
{
	for (guint i = 0; i < c->dead_incarnations->len; i++) {
		const struct dead_incarnation *g = c->dead_incarnations->pdata[i];

		if (g->wall_ms + COORD_CLOCK_SKEW_MAX_MS >= spec->submitted_wall_ms)
			return true;
	}
	return false;
}

/*
 * Whether every agent that an earlier term could have told to start a job is here, and none
 * that was here since the job came has restarted or died.
 */
bool settle_all_agents_present(struct coord *c, const struct job_spec *spec)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, c->previous_roster);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (!agent_same(c, key, *(uint64_t *)value))
			return false;
	}
	return !lost_witness(c, spec);
}

/* Whether the agents of a record's placement say that they do not have the job. */
static bool never_started(struct coord *c, const char *placed)
{
	g_auto(GStrv) parts = g_strsplit(placed != NULL ? placed : "", ",", -1);

	for (size_t i = 0; parts[i] != NULL; i++) {
		char *slash = strrchr(parts[i], '/');

		if (slash == NULL)
			return false;
		*slash = '\0';
		if (!agent_same(c, parts[i], strtoull(slash + 1, NULL, 16)))
			return false;
	}
	return parts[0] != NULL;
}

/* Send what an agent listed as ended through the ordinary path. */
static void replay_end(
	struct coord *c, int64_t now, struct coord_agent *a, struct member_record *r)
{
	struct msg_ended m = {.term = c->term,
		.job = r->spec.id,
		.attempt = r->attempt,
		.member = r->member,
		.end = r->end,
		.result = r->result};

	run_take_end(c, now, a, &m);
}

/* Compare an agent's member with a job that we have in hand. */
static void reconcile(struct coord *c, int64_t now, struct coord_agent *a, struct coord_job *j,
	struct member_record *r)
{
	struct msg_reserved ok = {
		.job = r->spec.id, .attempt = r->attempt, .member = r->member, .ok = true};

	if (r->state == MEMBER_ENDED) {
		replay_end(c, now, a, r);
		return;
	}
	if (!j->in_core || j->attempt != r->attempt) {
		run_send_stop(c, a->peer, r->spec.id, r->attempt, STOP_NOW);
		return;
	}
	run_reserved(c, now, a, &ok);
}

/* Free a member that was found. */
void reported_member_free(void *p)
{
	struct reported_member *f = p;

	fields_clear(&member_record_fields, &f->record);
	free(f);
}

/* Remember a member for the end of settling. */
static void keep_found(struct coord *c, struct coord_agent *a, const struct member_record *r)
{
	struct reported_member *f = xcalloc(1, sizeof(*f));

	f->agent = a;
	fields_copy(&member_record_fields, &f->record, r);
	g_ptr_array_add(c->reported_members, f);
}

/* Forget what an agent listed: it has restarted, or lists anew. */
void settle_forget(struct coord *c, const struct coord_agent *a)
{
	for (guint i = c->reported_members->len; i-- > 0;) {
		if (((struct reported_member *)c->reported_members->pdata[i])->agent == a)
			g_ptr_array_remove_index(c->reported_members, i);
	}
}

/*
 * A member ended that was listed as running and has not been settled yet: keep how, for the
 * end of settling, which acknowledges it. False where no such member was listed.
 */
bool settle_ended(struct coord *c, const struct coord_agent *a, const struct msg_ended *m)
{
	for (guint i = 0; i < c->reported_members->len; i++) {
		struct reported_member *f = c->reported_members->pdata[i];

		if (f->agent != a || strcmp(f->record.spec.id, m->job) != 0 ||
			f->record.attempt != m->attempt || f->record.member != m->member)
			continue;
		f->record.state = MEMBER_ENDED;
		f->record.end = m->end;
		fields_clear(&job_result_fields, &f->record.result);
		fields_copy(&job_result_fields, &f->record.result, &m->result);
		return true;
	}
	return false;
}

/* Take in an agent's inventory. */
void settle_found(struct coord *c, struct coord_agent *a, const struct msg_inventory *inv)
{
	settle_forget(c, a);
	for (uint32_t i = 0; i < inv->members_len; i++) {
		struct member_record *r = &inv->members[i];
		struct coord_job *j = job_find(c, r->spec.id);

		if (r->spec.id == NULL || r->spec.org == NULL)
			continue;
		if (j != NULL && (j->in_core || j->ended))
			reconcile(c, c->wall_sampled_at, a, j, r);
		else
			keep_found(c, a, r);
	}
}

/* The members of one job that were found, of its newest attempt. */
static GPtrArray *group_of(struct coord *c, const char *id)
{
	GPtrArray *group = g_ptr_array_new();
	uint32_t newest = 0;

	for (guint i = 0; i < c->reported_members->len; i++) {
		struct reported_member *f = c->reported_members->pdata[i];

		if (strcmp(f->record.spec.id, id) == 0)
			newest = MAX(newest, f->record.attempt);
	}
	for (guint i = 0; i < c->reported_members->len; i++) {
		struct reported_member *f = c->reported_members->pdata[i];

		if (strcmp(f->record.spec.id, id) != 0)
			continue;
		if (f->record.attempt == newest)
			g_ptr_array_add(group, f);
		else if (f->record.state != MEMBER_ENDED)
			run_send_stop(c, f->agent->peer, id, f->record.attempt, STOP_NOW);
	}
	return group;
}

/* Whether no member of a group was ever started. */
static bool none_started(const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		const struct reported_member *f = group->pdata[i];
		bool never = f->record.state == MEMBER_ENDED &&
			     f->record.end == MEMBER_END_NEVER_STARTED;

		if (f->record.state != MEMBER_RESERVED && !never)
			return false;
	}
	return true;
}

/* Whether all members of a gang were found; one that was not may have started. */
static bool is_whole(const GPtrArray *group)
{
	return group->len == ((struct reported_member *)group->pdata[0])->record.size;
}

/* Send the ends of a group through the ordinary path. */
static void replay_ends(struct coord *c, int64_t now, const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		struct reported_member *f = group->pdata[i];

		if (f->record.state == MEMBER_ENDED)
			replay_end(c, now, f->agent, &f->record);
	}
}

/* Release the reservations of a group. */
static void release_group(struct coord *c, const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		const struct reported_member *f = group->pdata[i];

		run_send_stop(
			c, f->agent->peer, f->record.spec.id, f->record.attempt, STOP_RELEASE);
	}
}

/* Finish the start of a gang that the coordinator before us had begun. */
static void finish_start(struct coord *c, struct coord_job *j, const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		const struct reported_member *f = group->pdata[i];
		struct msg m = {.kind = MSG_START,
			.start = {.term = c->term, .job = j->spec.id, .attempt = j->attempt}};

		if (f->record.state == MEMBER_RESERVED)
			coord_send(c, f->agent->peer, &m);
	}
}

/* Take over a job of which members have started. */
static void adopt_group(struct coord *c, int64_t now, struct coord_job *j, GPtrArray *group)
{
	struct sched_member members[SCHED_MEMBERS_MAX] = {0};
	const struct reported_member *first = group->pdata[0];
	uint32_t len = MIN(group->len, (guint)SCHED_MEMBERS_MAX);
	bool whole = is_whole(group);
	int64_t running = 0;

	for (uint32_t i = 0; i < len; i++) {
		const struct reported_member *f = group->pdata[i];

		members[i].worker = f->agent->worker;
		members[i].accelerators = f->record.accelerators;
		running = MAX(running, f->record.running_ms * NSEC_PER_MSEC);
		j->members[i] = (struct coord_member){.agent = f->agent,
			.incarnation = f->agent->incarnation,
			.sent = true,
			.reserved = true,
			.told = true};
	}
	j->size = len;
	j->attempt = first->record.attempt;
	j->record_attempt = j->attempt;
	j->dispatched = true;
	j->started = true;
	j->in_core = true;
	j->may_have_started = false;
	j->ref = sched_adopt(c->sched, now, &j->spec, j, j->attempt, members, len, running);
	sched_job(c->sched, j->ref)->attempt_floor = coord_attempt_floor(c);
	log_info("coord", "A running job was taken over%s. job=%s attempt=%u term=%" PRIu64,
		whole ? "" : " in part and is stopped", j->spec.id, j->attempt, c->term);
	if (whole)
		finish_start(c, j, group);
	run_actions(c, now);
	replay_ends(c, now, group);
}

/* Whether each member of a group belongs to a worker that we know. */
static bool has_workers(const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		if (!((struct reported_member *)group->pdata[i])->agent->has_worker)
			return false;
	}
	return true;
}

/* Whether a job of the found is known and goes on, or has an entry that waits for it. */
static bool is_wanted(struct coord *c, const struct job_spec *spec)
{
	const struct coord_job *j = job_find(c, spec->id);

	return spec->durable || (j != NULL && (j->in_core || j->ended || j->waiters->len > 0));
}

/* Whether all members of a group have ended. */
static bool all_ended(const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		if (((struct reported_member *)group->pdata[i])->record.state != MEMBER_ENDED)
			return false;
	}
	return true;
}

/*
 * Whether a group is only what is left of a job that nobody waits for any more, as the
 * coordinator before us has answered: of one that never started, which may have been cancelled,
 * or in part of one that may run again. An entry that still wants it submits it again.
 */
static bool is_leftover(struct coord *c, const GPtrArray *group)
{
	const struct job_spec *spec = &((struct reported_member *)group->pdata[0])->record.spec;

	if (is_wanted(c, spec))
		return false;
	return none_started(group) ||
	       (spec->idempotent && !is_whole(group) && all_ended(group));
}

/* Acknowledge the ends of a group and release its reservations. */
static void drop_group(struct coord *c, int64_t now, const GPtrArray *group)
{
	release_group(c, group);
	replay_ends(c, now, group);
}

/* Decide on one job that was found. */
static void settle_group(struct coord *c, int64_t now, GPtrArray *group)
{
	struct reported_member *first = group->pdata[0];
	struct coord_job *j = job_find(c, first->record.spec.id);

	if (is_leftover(c, group)) {
		drop_group(c, now, group);
		return;
	}
	if (j == NULL)
		j = job_add(c, now, &first->record.spec);
	j->record_attempt = MAX(j->record_attempt, first->record.attempt);
	if (j->in_core || j->ended) {
		for (guint i = 0; i < group->len; i++) {
			struct reported_member *f = group->pdata[i];

			reconcile(c, now, f->agent, j, &f->record);
		}
	} else if (none_started(group)) {
		release_group(c, group);
		j->may_have_started = !is_whole(group) && !j->spec.idempotent;
		if (!j->may_have_started)
			job_submit_to_sched(c, now, j);
	} else if (has_workers(group)) {
		adopt_group(c, now, j, group);
	} else {
		release_group(c, group);
	}
}

/* Go through what was found, job by job. */
static void settle_groups(struct coord *c, int64_t now)
{
	while (c->reported_members->len > 0) {
		struct reported_member *first = c->reported_members->pdata[0];
		AUTOFREE char *id = xstrdup(first->record.spec.id);
		GPtrArray *group = group_of(c, id);

		settle_group(c, now, group);
		g_ptr_array_unref(group);
		for (guint i = c->reported_members->len; i-- > 0;) {
			const struct reported_member *f = c->reported_members->pdata[i];

			if (strcmp(f->record.spec.id, id) == 0)
				g_ptr_array_remove_index(c->reported_members, i);
		}
	}
}

/* Take in the records that the coordinator before us left. */
void settle_load_records(struct coord *c, int64_t now, GPtrArray *records)
{
	for (guint i = 0; records != NULL && i < records->len; i++) {
		const struct job_record *r = records->pdata[i];
		struct coord_job *j = job_add(c, now, &r->spec);

		j->record_attempt = r->attempt;
		j->placed = xstrdup(r->placed);
		if (r->result.outcome == OUTCOME_NONE) {
			j->may_have_started = true;
			continue;
		}
		job_end(c, now, j, &r->result);
		j->dirty = false;
	}
}

/* Whether an undecided job can be shown never to have started, so that it may run. */
static bool may_run(struct coord *c, const struct coord_job *j)
{
	if (j->spec.idempotent)
		return true;
	if (j->spec.durable)
		return j->record_attempt == 0 || never_started(c, j->placed);
	return settle_all_agents_present(c, &j->spec);
}

/* Decide on the jobs that nobody runs as far as we can see. */
static void settle_uncertain_jobs(struct coord *c, int64_t now)
{
	g_autoptr(GPtrArray) open = g_ptr_array_new();
	bool late = now - c->term_started_at > COORD_UNKNOWN_OUTCOME_TIMEOUT_NS;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct coord_job *)value)->may_have_started)
			g_ptr_array_add(open, value);
	}
	for (guint i = 0; i < open->len; i++) {
		struct coord_job *j = open->pdata[i];
		struct job_result lost = {.outcome = OUTCOME_UNKNOWN,
			.error = ERR_UNKNOWN_OUTCOME,
			.detail = "a worker that may have run the job is gone"};

		if (may_run(c, j)) {
			j->may_have_started = false;
			j->record_attempt = MAX(j->record_attempt, coord_attempt_floor(c));
			job_submit_to_sched(c, now, j);
		} else if (late && now - j->submitted_at > COORD_SETTLE_TIMEOUT_NS) {
			job_end(c, now, j, &lost);
		}
	}
}

/* Whether all agents of the roster have told what they run. */
static bool all_heard(struct coord *c)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, c->previous_roster);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct coord_agent *a = g_hash_table_lookup(c->agents, key);

		if (a == NULL || !a->inventory)
			return false;
	}
	return true;
}

/* Go on with settling: done when all agents were heard, or after a while. */
void settle_sweep(struct coord *c, int64_t now)
{
	if (c->term == 0)
		return;
	if (!c->settled &&
		(now - c->term_started_at > COORD_SETTLE_TIMEOUT_NS ||
			(g_hash_table_size(c->previous_roster) > 0 && all_heard(c)))) {
		c->settled = true;
		settle_groups(c, now);
		sched_set_settling(c->sched, false);
		log_info("coord", "Settled; jobs are placed from now on. cell=%s term=%" PRIu64,
			c->cell, c->term);
	}
	if (!c->settled)
		return;
	settle_groups(c, now);
	settle_uncertain_jobs(c, now);
}

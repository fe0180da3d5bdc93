#include "coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Recovery after a takeover. A new coordinator rebuilds its state from two sources: the agents,
 * which know what runs and what ended, and the store, which has the durable jobs. An agent that
 * has adopted the new coordinator's term refuses the messages of older ones, so its inventory
 * is final: what it does not list can no longer start there.
 *
 * A group is the listed members of the newest attempt of one job. It is complete if it has all
 * members of that attempt; the group of a job with one member is always complete.
 */

/* Whether an agent that may have been told to start a job has died since its submission. */
static bool agent_died_since(const struct coord *c, const struct job_spec *spec)
{
	for (guint i = 0; i < c->dead_incarnations->len; i++) {
		const struct dead_incarnation *di = c->dead_incarnations->pdata[i];

		if (di->wall_ms + COORD_CLOCK_SKEW_MAX_MS >= spec->submitted_wall_ms)
			return true;
	}
	return false;
}

/*
 * Whether every agent that an earlier term may have told to start a job has sent an inventory,
 * and none has restarted or died since the job was submitted. An agent that has lost its
 * connection since counts as present until it connects again or is declared dead.
 */
bool settle_all_agents_present(struct coord *c, const struct job_spec *spec)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, c->previous_roster);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (!agent_is_same_incarnation(c, key, *(uint64_t *)value))
			return false;
	}
	return !agent_died_since(c, spec);
}

/*
 * Whether the agents on which a job was placed ("NAME/INCARNATION,...") have all sent an
 * inventory and have not restarted or died. The inventories are not searched for the job: the
 * listed members have been settled before, so a job that is still uncertain has not started
 * there.
 */
static bool all_placed_agents_present(struct coord *c, const char *placed)
{
	g_auto(GStrv) parts = g_strsplit(placed != NULL ? placed : "", ",", -1);

	for (size_t i = 0; parts[i] != NULL; i++) {
		char *slash = strrchr(parts[i], '/');

		if (slash == NULL)
			return false;
		*slash = '\0';
		if (!agent_is_same_incarnation(c, parts[i], strtoull(slash + 1, NULL, 16)))
			return false;
	}
	return parts[0] != NULL;
}

/*
 * Handle a member listed as ended with a MSG_ENDED made from the list. It has no checkpoint, as
 * inventories don't contain any: the job keeps the one it has, if any, and the scheduler is
 * told that no run time was saved.
 */
static void replay_member_end(
	struct coord *c, int64_t now, struct coord_agent *a, struct member_record *r)
{
	struct msg_ended m = {.term = c->term,
		.job = r->spec.id,
		.attempt = r->attempt,
		.member = r->member,
		.end = r->end,
		.result = r->result};

	run_end_member(c, now, a, &m);
}

/* Match a listed member to its job, and stop it if it is not of the current attempt. */
static void reconcile_member(struct coord *c, int64_t now, struct coord_agent *a,
	struct coord_job *j, struct member_record *r)
{
	struct msg_reserved ok = {
		.job = r->spec.id, .attempt = r->attempt, .member = r->member, .ok = true};

	if (r->state == MEMBER_ENDED) {
		replay_member_end(c, now, a, r);
		return;
	}
	if (!j->in_sched || j->attempt != r->attempt) {
		run_send_stop(c, a->peer, r->spec.id, r->attempt, STOP_NOW);
		return;
	}
	run_reserved(c, now, a, &ok);
}

void listed_member_free(void *p)
{
	struct listed_member *lm = p;

	fields_clear(&member_record_fields, &lm->record);
	free(lm);
}

/* Keep a listed member until its job is settled. */
static void keep_listed_member(
	struct coord *c, struct coord_agent *a, const struct member_record *r)
{
	struct listed_member *lm = xcalloc(1, sizeof(*lm));

	lm->agent = a;
	fields_copy(&member_record_fields, &lm->record, r);
	g_ptr_array_add(c->listed_members, lm);
}

/* Drop the listed members of an agent that died, restarted or sends a new inventory. */
void settle_drop_inventory(struct coord *c, const struct coord_agent *a)
{
	for (guint i = c->listed_members->len; i-- > 0;) {
		if (((struct listed_member *)c->listed_members->pdata[i])->agent == a)
			g_ptr_array_remove_index(c->listed_members, i);
	}
}

/*
 * Note in the list that a listed member has ended whose job has not been settled yet; settling
 * the job handles and acknowledges the end. False if the list does not have the member. A
 * checkpoint in the message is dropped.
 */
bool settle_update_listed_end(
	struct coord *c, const struct coord_agent *a, const struct msg_ended *m)
{
	for (guint i = 0; i < c->listed_members->len; i++) {
		struct listed_member *lm = c->listed_members->pdata[i];

		if (lm->agent != a || strcmp(lm->record.spec.id, m->job) != 0 ||
			lm->record.attempt != m->attempt || lm->record.member != m->member)
			continue;
		lm->record.state = MEMBER_ENDED;
		lm->record.end = m->end;
		fields_clear(&job_result_fields, &lm->record.result);
		fields_copy(&job_result_fields, &lm->record.result, &m->result);
		return true;
	}
	return false;
}

/*
 * Handle an agent's inventory: match the members of jobs that are in the scheduler or have
 * ended, and keep the others until their jobs are settled. The time of the last tick, at most
 * one tick ago, is used as the current time.
 */
void settle_handle_inventory(
	struct coord *c, struct coord_agent *a, const struct msg_inventory *inv)
{
	settle_drop_inventory(c, a);
	for (uint32_t i = 0; i < inv->members_len; i++) {
		struct member_record *r = &inv->members[i];
		struct coord_job *j = job_find(c, r->spec.id);

		if (r->spec.id == NULL || r->spec.org == NULL)
			continue;
		if (j != NULL && (j->in_sched || j->ended))
			reconcile_member(c, c->latest_tick, a, j, r);
		else
			keep_listed_member(c, a, r);
	}
}

/* Return the listed members of a job's newest attempt, and stop those of older ones. */
static GPtrArray *select_newest_attempt(struct coord *c, const char *id)
{
	GPtrArray *group = g_ptr_array_new();
	uint32_t newest = 0;

	for (guint i = 0; i < c->listed_members->len; i++) {
		struct listed_member *lm = c->listed_members->pdata[i];

		if (strcmp(lm->record.spec.id, id) == 0)
			newest = MAX(newest, lm->record.attempt);
	}
	for (guint i = 0; i < c->listed_members->len; i++) {
		struct listed_member *lm = c->listed_members->pdata[i];

		if (strcmp(lm->record.spec.id, id) != 0)
			continue;
		if (lm->record.attempt == newest)
			g_ptr_array_add(group, lm);
		else if (lm->record.state != MEMBER_ENDED)
			run_send_stop(c, lm->agent->peer, id, lm->record.attempt, STOP_NOW);
	}
	return group;
}

/* Whether no member of a group was ever started. */
static bool none_started(const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		const struct listed_member *lm = group->pdata[i];
		bool never = lm->record.state == MEMBER_ENDED &&
			     lm->record.end == MEMBER_END_NEVER_STARTED;

		if (lm->record.state != MEMBER_RESERVED && !never)
			return false;
	}
	return true;
}

/* Whether all members of an attempt were listed; one that was not may have started. */
static bool is_complete(const GPtrArray *group)
{
	return group->len == ((struct listed_member *)group->pdata[0])->record.size;
}

/* Handle the members of a group that were listed as ended, and acknowledge their ends. */
static void replay_group_ends(struct coord *c, int64_t now, const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		struct listed_member *lm = group->pdata[i];

		if (lm->record.state == MEMBER_ENDED)
			replay_member_end(c, now, lm->agent, &lm->record);
	}
}

/*
 * Tell the agents to release the members of a group. A reserved member ends as never started,
 * and the task of a running one is stopped as with STOP_NOW.
 */
static void stop_group(struct coord *c, const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		const struct listed_member *lm = group->pdata[i];

		run_send_stop(c, lm->agent->peer, lm->record.spec.id, lm->record.attempt,
			STOP_RELEASE);
	}
}

/* Complete the start of a gang that the previous coordinator had begun. */
static void resume_gang_start(struct coord *c, struct coord_job *j, const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		const struct listed_member *lm = group->pdata[i];
		struct msg m = {.kind = MSG_START,
			.start = {.term = c->term, .job = j->spec.id, .attempt = j->attempt}};

		if (lm->record.state == MEMBER_RESERVED)
			coord_send(c, lm->agent->peer, &m);
	}
}

/*
 * Take over a job that has started; one with missing members is stopped. Its members are stored
 * in the order of the group, so their index is not their member number.
 */
static void adopt_job(struct coord *c, int64_t now, struct coord_job *j, GPtrArray *group)
{
	struct sched_member members[SCHED_MEMBERS_MAX] = {0};
	const struct listed_member *first = group->pdata[0];
	uint32_t len = MIN(group->len, (guint)SCHED_MEMBERS_MAX);
	bool complete = is_complete(group);
	int64_t running = 0;

	for (uint32_t i = 0; i < len; i++) {
		const struct listed_member *lm = group->pdata[i];

		members[i].worker = lm->agent->worker;
		members[i].accelerators = lm->record.accelerators;
		running = MAX(running, lm->record.running_ms * NSEC_PER_MSEC);
		j->members[i] = (struct coord_member){.agent = lm->agent,
			.incarnation = lm->agent->incarnation,
			.sent = true,
			.reserved = true,
			.start_sent = true};
	}
	j->size = len;
	j->attempt = first->record.attempt;
	j->last_attempt = j->attempt;
	j->dispatched = true;
	j->started = true;
	j->in_sched = true;
	j->may_have_started = false;
	j->ref = sched_adopt(c->sched, now, &j->spec, j, j->attempt, members, len, running);
	sched_job(c->sched, j->ref)->attempt_floor = coord_attempt_floor(c);
	log_info("coord", "A running job was adopted%s. job=%s attempt=%u term=%" PRIu64,
		complete ? "" : " in part and is stopped", j->spec.id, j->attempt, c->term);
	if (complete)
		resume_gang_start(c, j, group);
	run_actions(c, now);
	replay_group_ends(c, now, group);
}

/* Whether the worker of each member of a group is known to the scheduler. */
static bool all_have_workers(const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		if (!((struct listed_member *)group->pdata[i])->agent->has_worker)
			return false;
	}
	return true;
}

/*
 * Whether the members of a job must not be discarded, because its result may still be asked
 * for: a durable job even if no entry waits for it, other jobs only if they are in the
 * scheduler, have ended, or have an entry that waits.
 */
static bool is_wanted(struct coord *c, const struct job_spec *spec)
{
	const struct coord_job *j = job_find(c, spec->id);

	return spec->durable || (j != NULL && (j->in_sched || j->ended || j->waiters->len > 0));
}

/* Whether all members of a group have ended. */
static bool all_ended(const GPtrArray *group)
{
	for (guint i = 0; i < group->len; i++) {
		if (((struct listed_member *)group->pdata[i])->record.state != MEMBER_ENDED)
			return false;
	}
	return true;
}

/*
 * Whether a group can be discarded: the job is not wanted, and either none of its listed
 * members was started, or it is idempotent, the group is incomplete and all its members have
 * ended. It is taken for the rest of a job that the previous coordinator has answered, for
 * example as cancelled. An entry that still needs the result submits the job again.
 */
static bool is_abandoned(struct coord *c, const GPtrArray *group)
{
	const struct job_spec *spec = &((struct listed_member *)group->pdata[0])->record.spec;

	if (is_wanted(c, spec))
		return false;
	return none_started(group) ||
	       (spec->idempotent && !is_complete(group) && all_ended(group));
}

/* Stop the members of a group, and acknowledge the ends of those that have ended. */
static void discard_group(struct coord *c, int64_t now, const GPtrArray *group)
{
	stop_group(c, group);
	replay_group_ends(c, now, group);
}

/*
 * Settle the job of a group:
 * - a group that can be discarded is discarded;
 * - the group of a job that is in the scheduler or has ended is matched to it;
 * - if no member has started, the reservations are released, and the job is submitted to the
 *   scheduler; but if it is not idempotent and the group is incomplete, an unlisted member may
 *   have started, and settle_uncertain_jobs decides;
 * - a job that has started is adopted, if the scheduler knows the workers of all members;
 * - otherwise the members are stopped and the job stays in the table. settle_uncertain_jobs
 *   decides on it if may_have_started is already set; with a job that was just added here,
 *   nothing more happens at later ticks unless an inventory lists its members again.
 */
static void settle_group(struct coord *c, int64_t now, GPtrArray *group)
{
	struct listed_member *first = group->pdata[0];
	struct coord_job *j = job_find(c, first->record.spec.id);

	if (is_abandoned(c, group)) {
		discard_group(c, now, group);
		return;
	}
	if (j == NULL)
		j = job_add(c, now, &first->record.spec);
	j->last_attempt = MAX(j->last_attempt, first->record.attempt);
	if (j->in_sched || j->ended) {
		for (guint i = 0; i < group->len; i++) {
			struct listed_member *lm = group->pdata[i];

			reconcile_member(c, now, lm->agent, j, &lm->record);
		}
	} else if (none_started(group)) {
		stop_group(c, group);
		j->may_have_started = !is_complete(group) && !j->spec.idempotent;
		if (!j->may_have_started)
			job_submit_to_sched(c, now, j);
	} else if (all_have_workers(group)) {
		adopt_job(c, now, j, group);
	} else {
		stop_group(c, group);
	}
}

/* Settle the jobs of all listed members. */
static void settle_groups(struct coord *c, int64_t now)
{
	while (c->listed_members->len > 0) {
		struct listed_member *first = c->listed_members->pdata[0];
		AUTOFREE char *id = xstrdup(first->record.spec.id);
		GPtrArray *group = select_newest_attempt(c, id);

		settle_group(c, now, group);
		g_ptr_array_unref(group);
		for (guint i = c->listed_members->len; i-- > 0;) {
			const struct listed_member *lm = c->listed_members->pdata[i];

			if (strcmp(lm->record.spec.id, id) == 0)
				g_ptr_array_remove_index(c->listed_members, i);
		}
	}
}

/* Load the job records of earlier terms; a job without a result may have started. */
void settle_load_records(struct coord *c, int64_t now, GPtrArray *records)
{
	for (guint i = 0; records != NULL && i < records->len; i++) {
		const struct job_record *r = records->pdata[i];
		struct coord_job *j = job_add(c, now, &r->spec);

		j->last_attempt = r->attempt;
		j->placed = xstrdup(r->placed);
		if (r->result.outcome == OUTCOME_NONE) {
			j->may_have_started = true;
			continue;
		}
		job_end(c, now, j, &r->result);
		j->dirty = false;
	}
}

/* Whether a job may be run: it is idempotent, or is proven not to have started. */
static bool is_safe_to_run(struct coord *c, const struct coord_job *j)
{
	if (j->spec.idempotent)
		return true;
	if (j->spec.durable)
		return j->last_attempt == 0 || all_placed_agents_present(c, j->placed);
	return settle_all_agents_present(c, &j->spec);
}

/*
 * Run the jobs that an earlier term may have started where that is safe. The others end as
 * unknown once the term is older than COORD_UNKNOWN_OUTCOME_TIMEOUT_NS and this coordinator has
 * had the job for COORD_SETTLE_TIMEOUT_NS.
 */
static void settle_uncertain_jobs(struct coord *c, int64_t now)
{
	g_autoptr(GPtrArray) uncertain_jobs = g_ptr_array_new();
	bool late = now - c->term_started_at > COORD_UNKNOWN_OUTCOME_TIMEOUT_NS;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct coord_job *)value)->may_have_started)
			g_ptr_array_add(uncertain_jobs, value);
	}
	for (guint i = 0; i < uncertain_jobs->len; i++) {
		struct coord_job *j = uncertain_jobs->pdata[i];
		struct job_result lost = {.outcome = OUTCOME_UNKNOWN,
			.error = ERR_UNKNOWN_OUTCOME,
			.detail = "a worker that may have run the job is gone"};

		if (is_safe_to_run(c, j)) {
			j->may_have_started = false;
			j->last_attempt = MAX(j->last_attempt, coord_attempt_floor(c));
			job_submit_to_sched(c, now, j);
		} else if (late && now - j->submitted_at > COORD_SETTLE_TIMEOUT_NS) {
			job_end(c, now, j, &lost);
		}
	}
}

/* Whether all agents of the previous roster have sent their inventory. */
static bool all_inventories_received(struct coord *c)
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

/*
 * Finish the settling phase once all agents of the previous roster have sent their inventory,
 * or after COORD_SETTLE_TIMEOUT_NS. With an empty roster, as in a new cell, it always lasts
 * until the timeout. After that, settle at each call the jobs of members that were listed
 * since, and those that are still uncertain.
 */
void settle_advance(struct coord *c, int64_t now)
{
	if (c->term == 0)
		return;
	if (!c->settled && (now - c->term_started_at > COORD_SETTLE_TIMEOUT_NS ||
				   (g_hash_table_size(c->previous_roster) > 0 &&
					   all_inventories_received(c)))) {
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

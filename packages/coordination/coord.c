#include "coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define SUMMARY_PERIOD_NS NSEC_PER_SEC

GAUGE(term_gauge, "damaskpath_coordinator_term", "Term of this process as coordinator, or 0.");
GAUGE(queued_gauge, "damaskpath_jobs_queued", "Jobs waiting in this cell.");
GAUGE(placed_gauge, "damaskpath_jobs_placed", "Jobs placed in this cell.");

static void dead_incarnation_free(void *p)
{
	struct dead_incarnation *di = p;

	free(di->name);
	free(di);
}

/* Create a coordinator that has no term yet. */
struct coord *coord_new(const char *cell, const struct coord_ports *ports)
{
	struct coord *c = xcalloc(1, sizeof(*c));

	c->cell = xstrdup(cell);
	c->ports = *ports;
	c->sched = sched_new(SCHED_POLICY_FULL, random_u64());
	c->agents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, coord_agent_free);
	c->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, coord_job_free);
	c->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, free, NULL);
	c->previous_roster = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	c->saved_roster = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	c->listed_members = g_ptr_array_new_with_free_func(listed_member_free);
	c->dead_incarnations = g_ptr_array_new_with_free_func(dead_incarnation_free);
	c->grace = 5 * NSEC_PER_SEC;
	c->store_up = true;
	TAILQ_INIT(&c->ended);
	g_queue_init(&c->audit);
	return c;
}

/* Free a coordinator; it may be NULL. */
void coord_free(struct coord *c)
{
	char *line;

	if (c == NULL)
		return;
	counter_set(&term_gauge, 0);
	g_ptr_array_unref(c->listed_members);
	g_ptr_array_unref(c->dead_incarnations);
	g_hash_table_destroy(c->jobs);
	g_hash_table_destroy(c->agents);
	g_hash_table_destroy(c->entries);
	g_hash_table_destroy(c->previous_roster);
	g_hash_table_destroy(c->saved_roster);
	sched_free(c->sched);
	while ((line = g_queue_pop_head(&c->audit)) != NULL)
		free(line);
	free(c->saved_roster_text);
	free(c->cell);
	free(c);
}

/* Add an incarnation of an agent to those that have died. */
static void add_dead_incarnation(
	struct coord *c, const char *name, uint64_t incarnation, int64_t wall_ms)
{
	struct dead_incarnation *di = xcalloc(1, sizeof(*di));

	di->name = xstrdup(name);
	di->incarnation = incarnation;
	di->wall_ms = wall_ms;
	g_ptr_array_add(c->dead_incarnations, di);
}

/*
 * Check at the first hello of an agent in this term whether the previous roster lists another
 * incarnation of it. If so, the agent has restarted, and that incarnation is added to the dead
 * ones.
 */
void coord_check_agent_restart(
	struct coord *c, int64_t now, const char *name, uint64_t incarnation)
{
	const uint64_t *old = g_hash_table_lookup(c->previous_roster, name);

	if (old != NULL && *old != incarnation)
		add_dead_incarnation(c, name, *old, coord_wall(c, now) / NSEC_PER_MSEC);
}

/*
 * Remove agents of the previous roster that have not connected in time, and add their
 * incarnations to the dead ones.
 */
static void declare_missing_agents_dead(struct coord *c, int64_t now)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	if (now - c->term_started_at < COORD_DEAD_TIMEOUT_NS)
		return;
	g_hash_table_iter_init(&it, c->previous_roster);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (g_hash_table_contains(c->agents, key))
			continue;
		add_dead_incarnation(
			c, key, *(uint64_t *)value, coord_wall(c, now) / NSEC_PER_MSEC);
		g_hash_table_iter_remove(&it);
	}
}

/*
 * Add the incarnation of an agent that has died or restarted to the dead ones. From then on,
 * settle_all_agents_present is false for jobs submitted before, so those that are not
 * idempotent are not run when an entry submits them again.
 */
void coord_add_dead_agent(struct coord *c, int64_t now, const struct coord_agent *a)
{
	add_dead_incarnation(c, a->name, a->incarnation, coord_wall(c, now) / NSEC_PER_MSEC);
}

/*
 * Parse a roster, "NAME/INCARNATION,-NAME/INCARNATION@WALL_MS,...". Live agents go into table.
 * Items with a minus sign are dead incarnations, which are added to c unless it is NULL.
 */
static void parse_roster(GHashTable *table, struct coord *c, const char *text)
{
	g_auto(GStrv) parts = g_strsplit(text != NULL ? text : "", ",", -1);

	for (size_t i = 0; parts[i] != NULL; i++) {
		bool dead = parts[i][0] == '-' && strchr(parts[i], '@') != NULL;
		char *slash = strrchr(parts[i], '/');
		uint64_t *incarnation;

		if (slash == NULL)
			continue;
		*slash = '\0';
		if (dead && c != NULL) {
			add_dead_incarnation(c, parts[i] + 1, strtoull(slash + 1, NULL, 16),
				strtoll(strchr(slash + 1, '@') + 1, NULL, 10));
		} else if (!dead) {
			incarnation = xmalloc(sizeof(*incarnation));
			*incarnation = strtoull(slash + 1, NULL, 16);
			g_hash_table_replace(table, g_strdup(parts[i]), incarnation);
		}
	}
}

/* Start a term that this process has won, and begin to settle. */
void coord_start_term(struct coord *c, int64_t now, int64_t wall, uint64_t term,
	const char *roster, GPtrArray *records, const struct doc *config)
{
	c->term = term;
	c->term_started_at = now;
	c->wall = wall;
	c->latest_tick = now;
	counter_set(&term_gauge, term);
	parse_roster(c->previous_roster, c, roster);
	sched_set_settling(c->sched, true);
	if (config != NULL)
		coord_set_config(c, now, config);
	settle_load_records(c, now, records);
	log_info("coord",
		"Started coordinating; waiting for the inventories of %u agents. cell=%s "
		"term=%" PRIu64,
		g_hash_table_size(c->previous_roster), c->cell, term);
}

/*
 * Return a number that is higher than any attempt number of an earlier term. If a job may have
 * had attempts in an earlier term, its attempts in this term get numbers above the one
 * returned.
 */
uint32_t coord_attempt_floor(const struct coord *c)
{
	return (uint32_t)c->term << COORD_ATTEMPT_TERM_SHIFT;
}

/* Return the coordinator's term, or 0 before one has started. */
uint64_t coord_term(const struct coord *c)
{
	return c->term;
}

/* Return the scheduler; not called anywhere. */
struct sched *coord_sched(struct coord *c)
{
	return c->sched;
}

/* Whether the settling phase is over, so that jobs are placed; not called anywhere. */
bool coord_settled(const struct coord *c)
{
	return c->settled;
}

/* Whether another agent than self is connected and takes work, so that it can coordinate. */
bool coord_has_successor(struct coord *c, const char *self)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct coord_agent *a = value;

		if (a->peer != PEER_NONE && a->serving && strcmp(a->name, self) != 0)
			return true;
	}
	return false;
}

/* Count the dispatched jobs that have not ended, and the jobs with unsent acknowledgements. */
size_t coord_unfinished_jobs(const struct coord *c)
{
	GHashTableIter it;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&it, c->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct coord_job *j = value;

		n += (j->dispatched && !j->ended) || j->acks->len > 0;
	}
	return n;
}

/* Convert a monotonic time to wall time. */
int64_t coord_wall(const struct coord *c, int64_t now)
{
	return c->wall + now - c->latest_tick;
}

/* Send a message; false if the peer is not connected. */
bool coord_send(struct coord *c, peer_id peer, const struct msg *m)
{
	return peer != PEER_NONE && c->ports.send(c->ports.arg, peer, m);
}

/*
 * Append a line to the audit log, which drops its oldest when full. event is its name, for
 * example "job.cancel"; actor is an organisation or "operator"; subject is the id of the job or
 * the name of the worker that the event is about.
 */
void coord_audit(struct coord *c, int64_t now, const char *event, const char *actor,
	const char *subject, const char *detail)
{
	AUTOFREE char *when = clock_format_wall(coord_wall(c, now));
	json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:I}", "what", event, "when", when,
		"who", actor, "job", subject, "detail", detail, "cell", c->cell, "term",
		(json_int_t)c->term);

	g_queue_push_tail(&c->audit, json_dumps(o, JSON_COMPACT));
	json_decref(o);
	if (c->audit.length > COORD_AUDIT_LINES_MAX)
		free(g_queue_pop_head(&c->audit));
}

/* Adopt a configuration; one older than the current is ignored. */
void coord_set_config(struct coord *c, int64_t now, const struct doc *config)
{
	if (config->number < c->config_number)
		return;
	c->config_number = config->number;
	c->grace = config->grace;
	sched_set_config(c->sched, now, config, c->cell);
	if (c->settled)
		coord_schedule(c, now);
}

/* Register an entry and send it a welcome. */
static void entry_hello(struct coord *c, peer_id peer)
{
	struct msg m = {.kind = MSG_WELCOME,
		.welcome = {.term = c->term,
			.cell = c->cell,
			.heartbeat_ms = COORD_BEAT_MS,
			.lease_ms = COORD_LEASE_MS,
			.config_revision = c->config_number}};

	g_hash_table_add(c->entries, g_memdup2(&peer, sizeof(peer)));
	coord_send(c, peer, &m);
}

/* Handle the hello of a peer. */
void coord_hello(struct coord *c, int64_t now, peer_id peer, const struct msg_hello *h)
{
	if (h->role == ROLE_AGENT)
		agent_hello(c, now, peer, h);
	else
		entry_hello(c, peer);
}

/* Handle a message of an agent or an entry. */
void coord_message(struct coord *c, int64_t now, peer_id peer, const struct msg *m)
{
	struct coord_agent *a = agent_by_peer(c, peer);

	if (a != NULL)
		agent_message(c, now, a, m);
	else if (m->kind == MSG_SUBMIT)
		job_submit(c, now, peer, &m->submit);
	else if (m->kind == MSG_CANCEL)
		job_cancel(c, now, peer, &m->cancel);
	else if (m->kind == MSG_QUERY)
		query_answer(c, now, peer, &m->query);
	else
		log_debug("coord",
			"Ignored an unexpected %s from a peer whose role does not send it.",
			msg_name(m->kind));
	run_actions(c, now);
}

/* Handle a closed connection. */
void coord_peer_closed(struct coord *c, int64_t now, peer_id peer)
{
	struct coord_agent *a = agent_by_peer(c, peer);

	if (a != NULL)
		agent_lost(c, now, a);
	else
		g_hash_table_remove(c->entries, &peer);
}

/*
 * Send the load and the free capacity of the cell to all entries. The running jobs of the
 * summary and the placed jobs of the metric are the same number, see cell_json.
 */
static void send_summary(struct coord *c, int64_t now)
{
	struct sched_free_view v;
	struct msg m = {.kind = MSG_SUMMARY};
	GHashTableIter it;
	gpointer key;

	sched_free_view(c->sched, now, &v);
	m.summary = (struct msg_summary){
		.term = c->term,
		.cell = c->cell,
		.workers = v.workers,
		.free_accelerators = v.free,
		.largest_worker = v.largest_worker,
		.largest_rack = v.largest_rack,
		.queued = (uint32_t)sched_queued_count(c->sched),
		.running = (uint32_t)sched_active_count(c->sched),
		.oldest_queued_ms = (uint32_t)(v.oldest / NSEC_PER_MSEC),
		.config_revision = c->config_number,
	};
	g_hash_table_iter_init(&it, c->entries);
	while (g_hash_table_iter_next(&it, &key, NULL))
		coord_send(c, *(peer_id *)key, &m);
	counter_set(&queued_gauge, sched_queued_count(c->sched));
	counter_set(&placed_gauge, sched_active_count(c->sched));
	c->last_summary = now;
}

/* Run the scheduler and carry out its actions. */
void coord_schedule(struct coord *c, int64_t now)
{
	sched_run(c->sched, now);
	run_actions(c, now);
}

/* Drop incarnations that died longer ago than COORD_DEAD_INCARNATION_TTL_MS. */
static void expire_dead_incarnations(struct coord *c)
{
	int64_t oldest = c->wall / NSEC_PER_MSEC - COORD_DEAD_INCARNATION_TTL_MS;

	for (guint i = c->dead_incarnations->len; i-- > 0;) {
		if (((struct dead_incarnation *)c->dead_incarnations->pdata[i])->wall_ms <
			oldest)
			g_ptr_array_remove_index(c->dead_incarnations, i);
	}
}

/* Enforce timeouts and run the scheduler; call about ten times a second. */
void coord_tick(struct coord *c, int64_t now, int64_t wall)
{
	c->wall = wall;
	c->latest_tick = now;
	settle_advance(c, now);
	agent_check_timeouts(c, now);
	run_check_timeouts(c, now);
	job_expire(c, now);
	declare_missing_agents_dead(c, now);
	expire_dead_incarnations(c);
	coord_schedule(c, now);
	if (now - c->last_summary >= SUMMARY_PERIOD_NS)
		send_summary(c, now);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/*
 * Format the roster, see parse_roster: agents that are not dead, agents of the previous term
 * that have not connected yet, and incarnations that died recently.
 */
char *coord_roster(const struct coord *c)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	gpointer key;
	gpointer value;
	char *text;

	g_hash_table_iter_init(&it, c->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct coord_agent *a = value;

		if (!a->dead)
			g_ptr_array_add(
				names, g_strdup_printf("%s/%" PRIx64, a->name, a->incarnation));
	}
	g_hash_table_iter_init(&it, c->previous_roster);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (!g_hash_table_contains(c->agents, key))
			g_ptr_array_add(names, g_strdup_printf("%s/%" PRIx64, (char *)key,
						       *(uint64_t *)value));
	}
	for (guint i = 0; i < c->dead_incarnations->len; i++) {
		const struct dead_incarnation *di = c->dead_incarnations->pdata[i];

		g_ptr_array_add(names, g_strdup_printf("-%s/%" PRIx64 "@%" PRId64, di->name,
					       di->incarnation, di->wall_ms));
	}
	g_ptr_array_sort(names, compare_names);
	g_ptr_array_add(names, NULL);
	text = g_strjoinv(",", (char **)names->pdata);
	return text;
}

/* Whether the settling phase is over and the saved roster is out of date. */
bool coord_roster_changed(const struct coord *c)
{
	g_autofree char *roster = coord_roster(c);

	return c->settled && g_strcmp0(roster, c->saved_roster_text) != 0;
}

/* Handle that a roster was stored; workers of its agents may now get any job. */
void coord_roster_saved(struct coord *c, const char *roster)
{
	GHashTableIter it;
	gpointer value;

	free(c->saved_roster_text);
	c->saved_roster_text = xstrdup(roster);
	g_hash_table_remove_all(c->saved_roster);
	parse_roster(c->saved_roster, NULL, roster);
	g_hash_table_iter_init(&it, c->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_agent *a = value;
		const uint64_t *saved = g_hash_table_lookup(c->saved_roster, a->name);

		if (a->has_worker)
			sched_worker_restrict(
				c->sched, a->worker, saved == NULL || *saved != a->incarnation);
	}
}

/* Set whether the store can be reached; durable jobs are refused while it cannot. */
void coord_set_store_up(struct coord *c, int64_t now, bool up)
{
	(void)now;
	c->store_up = up;
}

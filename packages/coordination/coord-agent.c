#include "coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

COUNTER(agents_lost, "damaskpath_agents_lost_total", "Agents declared dead.");

static const struct field_table *report_fields(void);

/* Free an agent. */
void coord_agent_free(void *p)
{
	struct coord_agent *a = p;

	free(a->name);
	free(a->addr);
	free(a->report.worker);
	free(a->report.rack);
	free(a->report.zone);
	free(a);
}

/* Find an agent by its connection. */
struct coord_agent *agent_by_peer(struct coord *c, peer_id peer)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_agent *a = value;

		if (a->peer == peer && peer != PEER_NONE)
			return a;
	}
	return NULL;
}

/* Find the agent that manages a worker of the scheduler; dead agents are skipped. */
struct coord_agent *agent_by_worker(struct coord *c, uint32_t worker)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_agent *a = value;

		if (a->has_worker && a->worker == worker && !a->dead)
			return a;
	}
	return NULL;
}

/* Whether an agent is alive, has sent its inventory and has not restarted since. */
bool agent_is_same_incarnation(struct coord *c, const char *name, uint64_t incarnation)
{
	const struct coord_agent *a = g_hash_table_lookup(c->agents, name);

	return a != NULL && a->inventory && !a->dead && a->incarnation == incarnation;
}

/* Handle the death, restart or replacement of an agent: what it may have started is lost. */
static void handle_agent_death(struct coord *c, int64_t now, struct coord_agent *a)
{
	coord_add_dead_agent(c, now, a);
	if (a->has_worker)
		sched_worker_down(c->sched, now, a->worker);
	settle_drop_inventory(c, a);
	run_end_missing_members(c, now, a, false);
}

/* Send the welcome message, which an agent answers with its report and inventory. */
static void send_welcome(struct coord *c, const struct coord_agent *a)
{
	struct msg m = {.kind = MSG_WELCOME,
		.welcome = {.term = c->term,
			.cell = c->cell,
			.heartbeat_ms = COORD_BEAT_MS,
			.lease_ms = COORD_LEASE_MS,
			.config_revision = c->config_number,
			.grace_ms = (uint32_t)(c->grace / NSEC_PER_MSEC)}};

	coord_send(c, a->peer, &m);
}

/* Handle the first message on a connection of an agent, which may be new or have restarted. */
void agent_hello(struct coord *c, int64_t now, peer_id peer, const struct msg_hello *h)
{
	struct coord_agent *a;

	if (h->name == NULL || h->addr == NULL)
		return;
	a = g_hash_table_lookup(c->agents, h->name);
	if (a == NULL) {
		coord_check_agent_restart(c, now, h->name, h->incarnation);
		a = xcalloc(1, sizeof(*a));
		a->name = xstrdup(h->name);
		g_hash_table_insert(c->agents, a->name, a);
	} else if (a->incarnation != h->incarnation) {
		log_info("coord", "Agent %s restarted.", a->name);
		handle_agent_death(c, now, a);
		a->has_worker = false;
	}
	if (a->peer != PEER_NONE && a->peer != peer)
		c->ports.close(c->ports.arg, a->peer);
	a->peer = peer;
	a->incarnation = h->incarnation;
	free(a->addr);
	a->addr = xstrdup(h->addr);
	a->dead = false;
	a->inventory = false;
	a->report_accepted = false;
	a->last_seen = now;
	send_welcome(c, a);
}

/*
 * Add the worker that an agent reports to the scheduler, or update it. It is restricted to
 * idempotent jobs while the saved roster does not list the agent's incarnation.
 */
static void register_worker(struct coord *c, int64_t now, struct coord_agent *a)
{
	const struct msg_report *r = &a->report;
	struct sched_worker_spec spec = {
		.name = r->worker,
		.rack = r->rack,
		.capacity = {.accelerators = (int32_t)r->accelerators,
			.slots = (int32_t)MIN(r->slots, r->connections),
			.cores = (int32_t)r->cores,
			.memory_mb = r->memory_mb},
	};
	const uint64_t *saved_incarnation = g_hash_table_lookup(c->saved_roster, a->name);

	a->worker = sched_worker_up(c->sched, now, &spec);
	a->has_worker = true;
	sched_worker_restrict(c->sched, a->worker,
		saved_incarnation == NULL || *saved_incarnation != a->incarnation);
	if (!a->serving)
		sched_worker_drain(c->sched, a->worker, true);
}

/* Find another live agent that reports the same worker; NULL if there is none. */
static struct coord_agent *find_other_agent(struct coord *c, const struct coord_agent *a)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_agent *o = value;

		if (o != a && !o->dead && o->report_accepted &&
			g_strcmp0(o->report.worker, a->report.worker) == 0)
			return o;
	}
	return NULL;
}

/*
 * Handle an agent's report of its upstream's capacity. If another agent has reported the same
 * worker, the report is ignored while that agent is connected; otherwise the other agent is
 * declared dead and this one takes over the worker.
 */
static void on_report(struct coord *c, int64_t now, struct coord_agent *a, const struct msg *m)
{
	struct coord_agent *other;

	if (m->report.worker == NULL || m->report.rack == NULL)
		return;
	fields_clear(report_fields(), &a->report);
	fields_copy(report_fields(), &a->report, &m->report);
	a->report_accepted = true;
	a->serving = m->report.serving && !m->report.draining;
	other = find_other_agent(c, a);
	if (other != NULL && other->peer != PEER_NONE) {
		log_warning("coord",
			"Agents %s and %s both report worker %s; the second is ignored.",
			other->name, a->name, a->report.worker);
		a->report_accepted = false;
		return;
	}
	if (other != NULL) {
		log_info("coord",
			"Agent %s now reports worker %s; agent %s, which had reported it, is "
			"disconnected and was declared dead.",
			a->name, a->report.worker, other->name);
		handle_agent_death(c, now, other);
		other->dead = true;
		other->has_worker = false;
	}
	if (a->inventory)
		register_worker(c, now, a);
}

/*
 * Handle the inventory of an agent, sent after it adopted the coordinator's term: all members
 * that it keeps, whether reserved, running, stopping or ended.
 */
static void on_inventory(
	struct coord *c, int64_t now, struct coord_agent *a, const struct msg_inventory *inv)
{
	if (inv->term != c->term)
		return;
	a->inventory = true;
	if (a->report_accepted)
		register_worker(c, now, a);
	settle_handle_inventory(c, a, inv);
	run_end_missing_members(c, now, a, true);
	settle_advance(c, now);
}

/* Handle a heartbeat. */
static void on_beat(struct coord *c, struct coord_agent *a, const struct msg_beat *b)
{
	struct msg m = {.kind = MSG_BEAT_ACK,
		.beat_ack = {.term = c->term,
			.config_revision = c->config_number,
			.grace_ms = (uint32_t)(c->grace / NSEC_PER_MSEC)}};

	a->busy = b->busy_accelerators;
	a->usage_percent = b->usage_percent;
	a->config_revision = b->config_revision;
	coord_send(c, a->peer, &m);
}

/* Handle a message from an agent; a suspected agent is usable again. */
void agent_message(struct coord *c, int64_t now, struct coord_agent *a, const struct msg *m)
{
	if (a->suspected && a->inventory && a->has_worker && a->serving)
		sched_worker_drain(c->sched, a->worker, false);
	a->suspected = false;
	a->last_seen = now;
	switch (m->kind) {
	case MSG_REPORT:
		on_report(c, now, a, m);
		break;
	case MSG_INVENTORY:
		on_inventory(c, now, a, &m->inventory);
		break;
	case MSG_BEAT:
		on_beat(c, a, &m->beat);
		break;
	case MSG_RESERVED:
		run_reserved(c, now, a, &m->reserved);
		break;
	case MSG_ENDED:
		run_handle_ended(c, now, a, &m->ended);
		break;
	default:
		break;
	}
}

/*
 * Handle the loss of an agent's connection: its worker gets no new work until the agent has
 * reconnected, has sent its report and inventory, and takes work. If the agent is declared dead
 * before that, its worker is taken out of service.
 */
void agent_lost(struct coord *c, int64_t now, struct coord_agent *a)
{
	(void)now;
	a->peer = PEER_NONE;
	if (a->has_worker)
		sched_worker_drain(c->sched, a->worker, true);
	log_info("coord", "Lost the connection to agent %s.", a->name);
}

/*
 * Suspect agents that have been silent for COORD_SUSPECT_TIMEOUT_NS, and declare them dead
 * after COORD_DEAD_TIMEOUT_NS. The worker of a suspected agent is drained.
 */
void agent_check_timeouts(struct coord *c, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct coord_agent *a = value;
		int64_t silent = now - a->last_seen;

		if (a->dead || silent < COORD_SUSPECT_TIMEOUT_NS)
			continue;
		a->suspected = true;
		if (a->has_worker && silent < COORD_DEAD_TIMEOUT_NS) {
			sched_worker_drain(c->sched, a->worker, true);
			continue;
		}
		if (silent < COORD_DEAD_TIMEOUT_NS)
			continue;
		log_warning("coord", "Agent %s timed out and was declared dead.", a->name);
		counter_add(&agents_lost, 1);
		a->dead = true;
		if (a->peer != PEER_NONE)
			c->ports.close(c->ports.arg, a->peer);
		a->peer = PEER_NONE;
		handle_agent_death(c, now, a);
	}
}

static const struct field report_field_list[] = {
	{.kind = FIELD_TEXT, .offset = offsetof(struct msg_report, worker)},
	{.kind = FIELD_TEXT, .offset = offsetof(struct msg_report, rack)},
	{.kind = FIELD_TEXT, .offset = offsetof(struct msg_report, zone)},
};

/* Return the table of the fields of a report that own memory, for copying and freeing. */
static const struct field_table *report_fields(void)
{
	static const struct field_table t = {.name = "report",
		.size = sizeof(struct msg_report),
		.fields = report_field_list,
		.count = ARRAY_LEN(report_field_list)};

	return &t;
}

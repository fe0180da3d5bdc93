#include "agent-core.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define VOIDS_MAX     4096
#define STOP_PATIENCE (2 * NSEC_PER_SEC)

COUNTER(refused_terms, "damaskpath_agent_stale_terms_total",
	"Messages refused because their term was lower than one seen.");
COUNTER(members_started, "damaskpath_agent_members_started_total", "Members started.");
COUNTER(members_refused, "damaskpath_agent_reservations_refused_total",
	"Reservations refused.");
COUNTER(gangs_cut, "damaskpath_agent_gang_leases_lost_total",
	"Members stopped because another member of the gang was not heard of.");

/*
 * voids remembers which attempts must never start here: a late or repeated message of a
 * voided attempt finds it there. It is bounded; what falls out is old enough that its term
 * or reservation has ended.
 */
struct agent_core {
	struct agent_ports ports;
	uint64_t term;
	bool connected;
	bool draining;
	bool was_serving;
	int64_t last_tick;
	struct agent_upstream upstream;
	GHashTable *members;
	size_t live;
	uint32_t busy;
	GHashTable *voids;
	GQueue void_order;
};

/* Free a member. */
static void member_free(void *p)
{
	struct agent_member *m = p;

	fields_clear(&member_record_fields, &m->record);
	bytes_clear(&m->checkpoint);
	free(m->gang_last_seen);
	free(m);
}

/* Free what an announcement holds. */
static void upstream_clear(struct agent_upstream *u)
{
	free(u->addr);
	free(u->worker);
	free(u->rack);
	free(u->zone);
	memset(u, 0, sizeof(*u));
}

/* An agent that knows no upstream and no term. */
struct agent_core *agent_core_new(const struct agent_ports *ports)
{
	struct agent_core *a = xcalloc(1, sizeof(*a));

	a->ports = *ports;
	a->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
	a->voids = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	g_queue_init(&a->void_order);
	return a;
}

/* Free an agent. */
void agent_core_free(struct agent_core *a)
{
	char *job;

	if (a == NULL)
		return;
	g_hash_table_destroy(a->members);
	g_hash_table_destroy(a->voids);
	while ((job = g_queue_pop_head(&a->void_order)) != NULL)
		free(job);
	upstream_clear(&a->upstream);
	free(a);
}

/* The highest term seen. */
uint64_t agent_core_term(const struct agent_core *a)
{
	return a->term;
}

/* What the upstream announced last. */
const struct agent_upstream *agent_core_upstream(const struct agent_core *a)
{
	return &a->upstream;
}

/* Never let an attempt, or an earlier one, start here. */
static void void_attempt(struct agent_core *a, const char *job, uint32_t attempt)
{
	gpointer key;
	gpointer value;

	if (g_hash_table_lookup_extended(a->voids, job, &key, &value)) {
		if (GPOINTER_TO_UINT(value) < attempt)
			g_hash_table_insert(a->voids, key, GUINT_TO_POINTER(attempt));
		return;
	}
	key = xstrdup(job);
	g_hash_table_insert(a->voids, key, GUINT_TO_POINTER(attempt));
	g_queue_push_tail(&a->void_order, key);
	while (a->void_order.length > VOIDS_MAX) {
		key = g_queue_pop_head(&a->void_order);
		g_hash_table_remove(a->voids, key);
		free(key);
	}
}

/* Whether a member is reserved, running or stopping. */
static bool is_live(const struct agent_member *m)
{
	return m->record.state != MEMBER_ENDED;
}

/* Number of members that are not ended. */
size_t agent_core_live_members(const struct agent_core *a)
{
	return a->live;
}

/* Number of ended members that the coordinator has not acknowledged. */
size_t agent_core_unacked_ends(const struct agent_core *a)
{
	GHashTableIter it;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&it, a->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct agent_member *m = value;

		n += !is_live(m) && !m->acked;
	}
	return n;
}

/* Accelerators of the members that are not ended. */
uint32_t agent_core_busy_accelerators(const struct agent_core *a)
{
	return a->busy;
}

/* Whether new members are taken. */
bool agent_core_serving(const struct agent_core *a, int64_t now)
{
	return a->upstream.known && !a->upstream.leaving && !a->draining &&
	       now < a->upstream.expires;
}

/* Tell the coordinator what the upstream offers. */
void agent_core_report(struct agent_core *a, int64_t now)
{
	const struct agent_upstream *u = &a->upstream;
	struct msg m = {.kind = MSG_REPORT};

	a->was_serving = agent_core_serving(a, now);
	if (!u->known)
		return;
	m.report = (struct msg_report){
		.term = a->term,
		.worker = u->worker,
		.rack = u->rack,
		.zone = u->zone,
		.accelerators = u->accelerators,
		.slots = u->slots,
		.connections = u->connections,
		.cores = u->cores,
		.memory_mb = u->memory_mb,
		.serving = a->was_serving,
		.draining = a->draining || u->leaving,
	};
	a->ports.send(a->ports.arg, &m);
}

/* Send all members to the coordinator, the ended ones too. */
static void send_inventory(struct agent_core *a, int64_t now)
{
	struct msg m = {.kind = MSG_INVENTORY};
	struct member_record *list = xcalloc(g_hash_table_size(a->members), sizeof(*list));
	GHashTableIter it;
	gpointer value;

	m.inventory.term = a->term;
	m.inventory.members = list;
	g_hash_table_iter_init(&it, a->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct agent_member *mb = value;

		mb->record.running_ms =
			mb->started_at > 0 ? (now - mb->started_at) / NSEC_PER_MSEC : 0;
		list[m.inventory.members_len++] = mb->record;
	}
	a->ports.send(a->ports.arg, &m);
	free(list);
}

/* A coordinator welcomed us; false where its term is out of date. */
bool agent_core_adopt_term(struct agent_core *a, int64_t now, uint64_t term)
{
	if (term < a->term) {
		counter_add(&refused_terms, 1);
		return false;
	}
	a->term = term;
	a->connected = true;
	agent_core_report(a, now);
	send_inventory(a, now);
	return true;
}

/* The connection to the coordinator is gone. */
void agent_core_lost_coordinator(struct agent_core *a)
{
	a->connected = false;
}

/* The upstream announced itself, or renewed. */
void agent_core_upstream_announced(
	struct agent_core *a, int64_t now, const struct agent_upstream *u)
{
	struct agent_upstream *mine = &a->upstream;
	bool changed = !mine->known || mine->accelerators != u->accelerators ||
		       mine->slots != u->slots || mine->cores != u->cores ||
		       mine->connections != u->connections || mine->memory_mb != u->memory_mb ||
		       g_strcmp0(mine->worker, u->worker) != 0 || !a->was_serving;

	upstream_clear(mine);
	*mine = *u;
	mine->known = true;
	mine->addr = xstrdup(u->addr);
	mine->worker = xstrdup(u->worker);
	mine->rack = xstrdup(u->rack);
	mine->zone = xstrdup(u->zone);
	if (changed)
		agent_core_report(a, now);
}

/* The upstream is leaving: what runs goes on, nothing new comes. */
void agent_core_upstream_leaving(struct agent_core *a, int64_t now)
{
	a->upstream.leaving = true;
	agent_core_report(a, now);
}

/* This agent is stopping: no new work. */
void agent_core_drain(struct agent_core *a)
{
	a->draining = true;
}

/* Send how a member ended. */
static void send_ended(struct agent_core *a, const struct agent_member *mb)
{
	struct msg m = {.kind = MSG_ENDED};

	m.ended = (struct msg_ended){
		.term = a->term,
		.job = mb->record.spec.id,
		.attempt = mb->record.attempt,
		.member = mb->record.member,
		.end = mb->record.end,
		.result = mb->record.result,
		.checkpoint = mb->checkpoint,
	};
	a->ports.send(a->ports.arg, &m);
}

/* Send the end of an attempt that is not here and will not start. */
static void send_never(struct agent_core *a, const char *job, uint32_t attempt, uint32_t member)
{
	struct msg m = {.kind = MSG_ENDED};

	m.ended = (struct msg_ended){.term = a->term,
		.job = (char *)job,
		.attempt = attempt,
		.member = member,
		.end = MEMBER_END_NEVER_STARTED};
	a->ports.send(a->ports.arg, &m);
}

/* A member has ended. */
static void end_member(
	struct agent_core *a, int64_t now, struct agent_member *mb, enum member_end end)
{
	if (is_live(mb)) {
		a->live--;
		a->busy -= mb->record.accelerators;
	}
	mb->record.state = MEMBER_ENDED;
	mb->record.end = end;
	mb->ended_at = now;
	void_attempt(a, mb->record.spec.id, mb->record.attempt);
	send_ended(a, mb);
}

/* Find a member by job and attempt. */
static struct agent_member *find_member(struct agent_core *a, const char *job, uint32_t attempt)
{
	struct agent_member *m = job != NULL ? g_hash_table_lookup(a->members, job) : NULL;

	return m != NULL && m->record.attempt == attempt ? m : NULL;
}

/* Answer a reservation. */
static void send_reserved(struct agent_core *a, const struct msg_reserve *r, const char *reason)
{
	struct msg m = {.kind = MSG_RESERVED};

	m.reserved = (struct msg_reserved){.term = a->term,
		.job = r->spec.id,
		.attempt = r->attempt,
		.member = r->member,
		.ok = reason == NULL,
		.reason = (char *)reason};
	if (reason != NULL)
		counter_add(&members_refused, 1);
	a->ports.send(a->ports.arg, &m);
}

/* Why a reservation cannot be taken; NULL if it can. */
static const char *refusal(struct agent_core *a, int64_t now, const struct msg_reserve *r)
{
	const struct agent_member *old = g_hash_table_lookup(a->members, r->spec.id);
	uint32_t voided = GPOINTER_TO_UINT(g_hash_table_lookup(a->voids, r->spec.id));

	if (!agent_core_serving(a, now))
		return "the upstream takes no new work";
	if (r->attempt <= voided)
		return "the attempt is void";
	if (old != NULL && is_live(old))
		return "an earlier attempt is still here";
	if (agent_core_live_members(a) >= MIN(a->upstream.slots, a->upstream.connections))
		return "no slot is free";
	if (agent_core_busy_accelerators(a) + r->accelerators > a->upstream.accelerators)
		return "no accelerators are free";
	return NULL;
}

/* Open the start gate of a member. */
static void start_member(struct agent_core *a, int64_t now, struct agent_member *m)
{
	m->record.state = MEMBER_RUNNING;
	m->started_at = now;
	m->gang_last_heard = now;
	for (uint32_t i = 0; m->gang_last_seen != NULL && i < m->record.size; i++)
		m->gang_last_seen[i] = now;
	counter_add(&members_started, 1);
	a->ports.start_task(a->ports.arg, m);
}

/* Reserve a member. */
static void on_reserve(struct agent_core *a, int64_t now, const struct msg_reserve *r)
{
	struct agent_member *m = find_member(a, r->spec.id, r->attempt);
	const char *why;

	if (m != NULL && is_live(m)) {
		send_reserved(a, r, NULL);
		return;
	}
	why = refusal(a, now, r);
	if (why != NULL) {
		log_info("agent",
			"A reservation was refused: %s. job=%s attempt=%u term=%" PRIu64, why,
			r->spec.id, r->attempt, r->term);
		send_reserved(a, r, why);
		return;
	}
	m = xcalloc(1, sizeof(*m));
	fields_copy(&job_spec_fields, &m->record.spec, &r->spec);
	m->record.attempt = r->attempt;
	m->record.member = r->member;
	m->record.size = r->size;
	m->record.accelerators = r->accelerators;
	m->record.state = MEMBER_RESERVED;
	m->record.roster = xstrdup(r->roster);
	m->reserved_until = now + AGENT_RESERVE_LEASE_NS;
	m->checkpoint = bytes_copy(r->checkpoint.data, r->checkpoint.len);
	if (r->size > 1 && r->member == 0)
		m->gang_last_seen = xcalloc(r->size, sizeof(*m->gang_last_seen));
	g_hash_table_replace(a->members, m->record.spec.id, m);
	a->live++;
	a->busy += m->record.accelerators;
	send_reserved(a, r, NULL);
	if (r->start)
		start_member(a, now, m);
}

/* Start a reserved member. */
static void on_start(struct agent_core *a, int64_t now, const struct msg_start *s)
{
	struct agent_member *m = find_member(a, s->job, s->attempt);

	if (m == NULL) {
		void_attempt(a, s->job, s->attempt);
		send_never(a, s->job, s->attempt, UINT32_MAX);
		return;
	}
	if (m->record.state == MEMBER_ENDED)
		send_ended(a, m);
	if (m->record.state != MEMBER_RESERVED)
		return;
	if (s->roster != NULL) {
		free(m->record.roster);
		m->record.roster = xstrdup(s->roster);
	}
	start_member(a, now, m);
}

/* Ask the upstream to stop a member. */
static void stop_member(struct agent_core *a, int64_t now, struct agent_member *m,
	enum stop_mode mode, int64_t grace)
{
	if (m->record.state == MEMBER_RESERVED) {
		m->never_started = true;
		end_member(a, now, m, MEMBER_END_NEVER_STARTED);
		return;
	}
	m->record.state = MEMBER_STOPPING;
	m->stop_sent = mode != STOP_CHECKPOINT;
	m->stop_deadline = now + grace;
	a->ports.stop_task(a->ports.arg, m, mode);
}

/* Stop or release a member; an attempt that is not here is made void. */
static void on_stop(struct agent_core *a, int64_t now, const struct msg_stop *s)
{
	struct agent_member *m = find_member(a, s->job, s->attempt);

	if (m == NULL) {
		void_attempt(a, s->job, s->attempt);
		send_never(a, s->job, s->attempt, UINT32_MAX);
		return;
	}
	if (m->record.state == MEMBER_ENDED)
		send_ended(a, m);
	else if (m->record.state != MEMBER_STOPPING || s->mode == STOP_NOW)
		stop_member(a, now, m, s->mode, s->grace_ms * NSEC_PER_MSEC);
}

/* The coordinator has the end of a member. */
static void on_ended_ack(struct agent_core *a, int64_t now, const struct msg_ended_ack *s)
{
	struct agent_member *m = find_member(a, s->job, s->attempt);

	if (m == NULL || m->record.state != MEMBER_ENDED || m->acked)
		return;
	m->acked = true;
	m->ended_at = now;
}

/* The term of a coordinator's message; 0 where the kind has none. */
static uint64_t term_of(const struct msg *m)
{
	switch (m->kind) {
	case MSG_RESERVE:
		return m->reserve.term;
	case MSG_START:
		return m->start.term;
	case MSG_STOP:
		return m->stop.term;
	case MSG_ENDED_ACK:
		return m->ended_ack.term;
	default:
		return 0;
	}
}

/* A message of the coordinator. One with a lower term than seen is refused. */
void agent_core_message(struct agent_core *a, int64_t now, const struct msg *m)
{
	uint64_t term = term_of(m);

	if (term == 0)
		return;
	if (term < a->term) {
		counter_add(&refused_terms, 1);
		log_warning("agent",
			"A %s of an old term was refused. term=%" PRIu64 " ours=%" PRIu64,
			msg_name(m->kind), term, a->term);
		if (m->kind == MSG_RESERVE)
			send_reserved(a, &m->reserve, "the term is over");
		return;
	}
	a->term = term;
	switch (m->kind) {
	case MSG_RESERVE:
		if (m->reserve.spec.id != NULL)
			on_reserve(a, now, &m->reserve);
		break;
	case MSG_START:
		if (m->start.job != NULL)
			on_start(a, now, &m->start);
		break;
	case MSG_STOP:
		if (m->stop.job != NULL)
			on_stop(a, now, &m->stop);
		break;
	case MSG_ENDED_ACK:
		on_ended_ack(a, now, &m->ended_ack);
		break;
	default:
		break;
	}
}

/* The upstream's task of a member has ended. */
void agent_core_task_ended(struct agent_core *a, int64_t now, const char *job, uint32_t attempt,
	enum member_end end, const struct job_result *result)
{
	struct agent_member *m = find_member(a, job, attempt);

	if (m == NULL || !is_live(m) || m->record.state == MEMBER_RESERVED)
		return;
	if (m->record.state == MEMBER_STOPPING && end != MEMBER_END_DONE)
		end = end == MEMBER_END_NEVER_STARTED ? end : MEMBER_END_STOPPED;
	fields_clear(&job_result_fields, &m->record.result);
	fields_copy(&job_result_fields, &m->record.result, result);
	end_member(a, now, m, end);
}

/* The upstream saved a member's state; now it can be stopped. */
void agent_core_checkpointed(struct agent_core *a, int64_t now, const char *job,
	uint32_t attempt, const struct bytes *state)
{
	struct agent_member *m = find_member(a, job, attempt);

	if (m == NULL || m->record.state != MEMBER_STOPPING || m->stop_sent)
		return;
	if (state != NULL) {
		bytes_clear(&m->checkpoint);
		m->checkpoint = bytes_copy(state->data, state->len);
	}
	m->stop_sent = true;
	m->stop_deadline = now;
	a->ports.stop_task(a->ports.arg, m, STOP_NOW);
}

/* The address of a gang's member in its roster ("ADDR,ADDR,..."). */
static char *roster_addr(const struct agent_member *m, uint32_t member)
{
	g_auto(GStrv) parts = g_strsplit(m->record.roster ? m->record.roster : "", ",", -1);

	return g_strv_length(parts) > member ? g_strdup(parts[member]) : NULL;
}

/* Send or answer a beat between members. */
static void send_gang_beat(struct agent_core *a, const char *addr, const struct agent_member *m,
	uint32_t member, bool alive)
{
	struct msg out = {.kind = MSG_GANG_BEAT};

	out.gang_beat = (struct msg_gang_beat){.job = m->record.spec.id,
		.attempt = m->record.attempt,
		.member = member,
		.alive = alive,
		.done = m->record.state == MEMBER_ENDED};
	if (addr != NULL)
		a->ports.send_gang(a->ports.arg, addr, &out);
}

/* Whether a member is running or ended well, so that the others may go on. */
static bool is_well(const struct agent_member *m)
{
	return m->record.state == MEMBER_RUNNING ||
	       (m->record.state == MEMBER_ENDED && m->record.end == MEMBER_END_DONE);
}

/* Member 0 hears another member. */
void agent_core_gang_beat(
	struct agent_core *a, int64_t now, const struct msg_gang_beat *b, const char *reply_to)
{
	struct agent_member *m = find_member(a, b->job, b->attempt);
	struct msg out = {.kind = MSG_GANG_BEAT, .gang_beat = *b};

	out.gang_beat.alive = m != NULL && (is_well(m) || m->record.state == MEMBER_RESERVED);
	if (m != NULL && m->gang_last_seen != NULL && b->member < m->record.size && b->alive) {
		m->gang_last_seen[b->member] = b->done ? INT64_MAX : now;
		if (m->record.state == MEMBER_ENDED)
			m->ended_at = now;
	}
	a->ports.send_gang(a->ports.arg, reply_to, &out);
}

/* Another member hears member 0. */
void agent_core_gang_beat_reply(
	struct agent_core *a, int64_t now, const struct msg_gang_beat *b)
{
	struct agent_member *m = find_member(a, b->job, b->attempt);

	if (m == NULL || m->record.state != MEMBER_RUNNING)
		return;
	if (b->alive) {
		m->gang_last_heard = now;
		return;
	}
	counter_add(&gangs_cut, 1);
	stop_member(a, now, m, STOP_NOW, STOP_PATIENCE);
}

/* Whether a running member of a gang has lost the others. */
static bool lost_gang(const struct agent_member *m, int64_t now)
{
	if (m->record.member != 0)
		return now - m->gang_last_heard > AGENT_GANG_LEASE_NS;
	for (uint32_t i = 1; i < m->record.size; i++) {
		if (now - m->gang_last_seen[i] > AGENT_GANG_LEASE_NS)
			return true;
	}
	return false;
}

/* Keep the lease between the members of a gang. */
static void tick_gang(struct agent_core *a, int64_t now, struct agent_member *m)
{
	if (m->record.size < 2 || !is_well(m))
		return;
	if (m->record.member != 0) {
		g_autofree char *addr = roster_addr(m, 0);

		send_gang_beat(a, addr, m, m->record.member, true);
	}
	if (m->record.state != MEMBER_RUNNING || !lost_gang(m, now))
		return;
	log_warning("agent",
		"Another member of the gang was not heard of; ours is stopped. job=%s "
		"attempt=%u",
		m->record.spec.id, m->record.attempt);
	counter_add(&gangs_cut, 1);
	stop_member(a, now, m, STOP_NOW, STOP_PATIENCE);
}

/* Enforce the times of one member; true where it can be forgotten. */
static bool tick_member(struct agent_core *a, int64_t now, struct agent_member *m)
{
	if (m->record.state == MEMBER_RESERVED && now > m->reserved_until) {
		log_info("agent", "A reservation was not used in time. job=%s attempt=%u",
			m->record.spec.id, m->record.attempt);
		end_member(a, now, m, MEMBER_END_NEVER_STARTED);
	}
	if (m->record.state == MEMBER_STOPPING && now > m->stop_deadline) {
		m->stop_deadline = now + STOP_PATIENCE;
		m->stop_sent = true;
		a->ports.stop_task(a->ports.arg, m, STOP_NOW);
	}
	tick_gang(a, now, m);
	return m->record.state == MEMBER_ENDED && m->acked && a->connected &&
	       now - m->ended_at > AGENT_ENDED_TTL_NS;
}

/* Enforce times; call about once a second. */
void agent_core_tick(struct agent_core *a, int64_t now)
{
	int64_t gap = a->last_tick > 0 ? now - a->last_tick : 0;
	GHashTableIter it;
	gpointer value;

	a->last_tick = now;
	g_hash_table_iter_init(&it, a->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct agent_member *m = value;

		if (!a->connected)
			m->ended_at += gap;
		if (tick_member(a, now, m))
			g_hash_table_iter_remove(&it);
	}
	if (a->was_serving != agent_core_serving(a, now))
		agent_core_report(a, now);
}

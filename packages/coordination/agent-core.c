#include "agent-core.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define VOIDED_JOBS_MAX 4096
/* STOP_NOW is sent again at this interval until the task has ended. */
#define STOP_RETRY_INTERVAL_NS (2 * NSEC_PER_SEC)

COUNTER(stale_messages, "damaskpath_agent_stale_terms_total",
	"Messages refused because their term was lower than one seen.");
COUNTER(members_started, "damaskpath_agent_members_started_total", "Members started.");
COUNTER(reservations_refused, "damaskpath_agent_reservations_refused_total",
	"Reservations refused.");
COUNTER(gang_leases_lost, "damaskpath_agent_gang_leases_lost_total",
	"Members stopped because another member of the gang was not heard of.");

/*
 * An attempt is voided when it must never start here; late or repeated messages are checked
 * against voided_attempts. When the table has more than VOIDED_JOBS_MAX jobs, the oldest are
 * dropped. Their age is not checked: it is assumed that no message about such an attempt can
 * still arrive, because its term is over or its reservation has expired.
 */
struct agent_core {
	struct agent_ports ports;
	uint64_t term; /* highest term seen */
	bool connected;
	bool draining;
	bool reported_serving; /* as in the last report */
	int64_t last_tick;
	struct agent_upstream upstream;
	GHashTable *members; /* job id -> struct agent_member */
	size_t live_members;
	uint32_t busy_accelerators;
	GHashTable *voided_attempts; /* job id -> highest voided attempt */
	GQueue voided_jobs;	     /* keys of voided_attempts, oldest first */
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

/* Free the fields of an announcement and reset it. */
static void upstream_clear(struct agent_upstream *u)
{
	free(u->addr);
	free(u->worker);
	free(u->rack);
	free(u->zone);
	memset(u, 0, sizeof(*u));
}

/* Create an agent that knows no upstream and no term yet. */
struct agent_core *agent_core_new(const struct agent_ports *ports)
{
	struct agent_core *a = xcalloc(1, sizeof(*a));

	a->ports = *ports;
	a->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
	a->voided_attempts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	g_queue_init(&a->voided_jobs);
	return a;
}

/* Free an agent. */
void agent_core_free(struct agent_core *a)
{
	char *job;

	if (a == NULL)
		return;
	g_hash_table_destroy(a->members);
	g_hash_table_destroy(a->voided_attempts);
	while ((job = g_queue_pop_head(&a->voided_jobs)) != NULL)
		free(job);
	upstream_clear(&a->upstream);
	free(a);
}

/* Return the highest term seen. */
uint64_t agent_core_term(const struct agent_core *a)
{
	return a->term;
}

/* Return what the upstream announced last. */
const struct agent_upstream *agent_core_upstream(const struct agent_core *a)
{
	return &a->upstream;
}

/* Make sure that an attempt and all earlier attempts of the job never start here. */
static void void_attempt(struct agent_core *a, const char *job, uint32_t attempt)
{
	gpointer key;
	gpointer value;

	if (g_hash_table_lookup_extended(a->voided_attempts, job, &key, &value)) {
		if (GPOINTER_TO_UINT(value) < attempt)
			g_hash_table_insert(a->voided_attempts, key, GUINT_TO_POINTER(attempt));
		return;
	}
	key = xstrdup(job);
	g_hash_table_insert(a->voided_attempts, key, GUINT_TO_POINTER(attempt));
	g_queue_push_tail(&a->voided_jobs, key);
	while (a->voided_jobs.length > VOIDED_JOBS_MAX) {
		key = g_queue_pop_head(&a->voided_jobs);
		g_hash_table_remove(a->voided_attempts, key);
		free(key);
	}
}

/* Whether a member is reserved, running or stopping. */
static bool is_live(const struct agent_member *m)
{
	return m->record.state != MEMBER_ENDED;
}

/* Return the number of members that have not ended. */
size_t agent_core_live_members(const struct agent_core *a)
{
	return a->live_members;
}

/* Return the number of ended members that the coordinator has not acknowledged. */
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

/* Return the number of accelerators held by members that have not ended. */
uint32_t agent_core_busy_accelerators(const struct agent_core *a)
{
	return a->busy_accelerators;
}

/* Whether new members are accepted. */
bool agent_core_serving(const struct agent_core *a, int64_t now)
{
	return a->upstream.known && !a->upstream.leaving && !a->draining &&
	       now < a->upstream.expires;
}

/* Report the capacity of the upstream to the coordinator. */
void agent_core_report(struct agent_core *a, int64_t now)
{
	const struct agent_upstream *u = &a->upstream;
	struct msg m = {.kind = MSG_REPORT};

	a->reported_serving = agent_core_serving(a, now);
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
		.serving = a->reported_serving,
		.draining = a->draining || u->leaving,
	};
	a->ports.send(a->ports.arg, &m);
}

/* Send all members to the coordinator, including those that have ended. */
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

/* Accept a coordinator that welcomed this agent; false if its term is out of date. */
bool agent_core_adopt_term(struct agent_core *a, int64_t now, uint64_t term)
{
	if (term < a->term) {
		counter_add(&stale_messages, 1);
		return false;
	}
	a->term = term;
	a->connected = true;
	agent_core_report(a, now);
	send_inventory(a, now);
	return true;
}

/* Handle the loss of the connection to the coordinator. */
void agent_core_lost_coordinator(struct agent_core *a)
{
	a->connected = false;
}

/*
 * Handle an announcement of the upstream or its renewal. It is reported to the coordinator if
 * the capacity or the worker changed, or if the last report said that no new members are
 * accepted.
 */
void agent_core_upstream_announced(
	struct agent_core *a, int64_t now, const struct agent_upstream *u)
{
	struct agent_upstream *current = &a->upstream;
	bool changed = !current->known || current->accelerators != u->accelerators ||
		       current->slots != u->slots || current->cores != u->cores ||
		       current->connections != u->connections ||
		       current->memory_mb != u->memory_mb ||
		       g_strcmp0(current->worker, u->worker) != 0 || !a->reported_serving;

	upstream_clear(current);
	*current = *u;
	current->known = true;
	current->addr = xstrdup(u->addr);
	current->worker = xstrdup(u->worker);
	current->rack = xstrdup(u->rack);
	current->zone = xstrdup(u->zone);
	if (changed)
		agent_core_report(a, now);
}

/* Handle that the upstream is leaving: running members continue, no new ones are accepted. */
void agent_core_upstream_leaving(struct agent_core *a, int64_t now)
{
	a->upstream.leaving = true;
	agent_core_report(a, now);
}

/* Accept no new members, because this agent is stopping. */
void agent_core_drain(struct agent_core *a)
{
	a->draining = true;
}

/* Send the end of a member to the coordinator. */
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

/* Report an attempt that is unknown here, and now voided, as never started. */
static void send_never_started(
	struct agent_core *a, const char *job, uint32_t attempt, uint32_t member)
{
	struct msg m = {.kind = MSG_ENDED};

	m.ended = (struct msg_ended){.term = a->term,
		.job = (char *)job,
		.attempt = attempt,
		.member = member,
		.end = MEMBER_END_NEVER_STARTED};
	a->ports.send(a->ports.arg, &m);
}

/* Mark a member as ended, void its attempt and report the end. */
static void end_member(
	struct agent_core *a, int64_t now, struct agent_member *mb, enum member_end end)
{
	if (is_live(mb)) {
		a->live_members--;
		a->busy_accelerators -= mb->record.accelerators;
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

/* Answer a reservation; reason is why it is refused, or NULL if it is confirmed. */
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
		counter_add(&reservations_refused, 1);
	a->ports.send(a->ports.arg, &m);
}

/* Return why a reservation must be refused; NULL if it can be accepted. */
static const char *refusal_reason(
	struct agent_core *a, int64_t now, const struct msg_reserve *r)
{
	const struct agent_member *old = g_hash_table_lookup(a->members, r->spec.id);
	uint32_t voided = GPOINTER_TO_UINT(g_hash_table_lookup(a->voided_attempts, r->spec.id));

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

/* Start the task of a reserved member. */
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

/* Handle a reservation; one that is repeated is confirmed again. */
static void on_reserve(struct agent_core *a, int64_t now, const struct msg_reserve *r)
{
	struct agent_member *m = find_member(a, r->spec.id, r->attempt);
	const char *why;

	if (m != NULL && is_live(m)) {
		send_reserved(a, r, NULL);
		return;
	}
	why = refusal_reason(a, now, r);
	if (why != NULL) {
		log_info("agent", "Refused a reservation: %s. job=%s attempt=%u term=%" PRIu64,
			why, r->spec.id, r->attempt, r->term);
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
	a->live_members++;
	a->busy_accelerators += m->record.accelerators;
	send_reserved(a, r, NULL);
	if (r->start)
		start_member(a, now, m);
}

/* Handle the order to start a reserved member; an unknown attempt is voided. */
static void on_start(struct agent_core *a, int64_t now, const struct msg_start *s)
{
	struct agent_member *m = find_member(a, s->job, s->attempt);

	if (m == NULL) {
		void_attempt(a, s->job, s->attempt);
		send_never_started(a, s->job, s->attempt, UINT32_MAX);
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

/* Stop a member: end it if it is only reserved, else ask the upstream to stop its task. */
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

/* Handle the order to stop or release a member; an unknown attempt is voided. */
static void on_stop(struct agent_core *a, int64_t now, const struct msg_stop *s)
{
	struct agent_member *m = find_member(a, s->job, s->attempt);

	if (m == NULL) {
		void_attempt(a, s->job, s->attempt);
		send_never_started(a, s->job, s->attempt, UINT32_MAX);
		return;
	}
	if (m->record.state == MEMBER_ENDED)
		send_ended(a, m);
	else if (m->record.state != MEMBER_STOPPING || s->mode == STOP_NOW)
		stop_member(a, now, m, s->mode, s->grace_ms * NSEC_PER_MSEC);
}

/* Handle the acknowledgement of a member's end; the time it is kept starts now. */
static void on_ended_ack(struct agent_core *a, int64_t now, const struct msg_ended_ack *s)
{
	struct agent_member *m = find_member(a, s->job, s->attempt);

	if (m == NULL || m->record.state != MEMBER_ENDED || m->acked)
		return;
	m->acked = true;
	m->ended_at = now;
}

/* Return the term of a message from the coordinator; 0 for other kinds of message. */
static uint64_t message_term(const struct msg *m)
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

/* Handle a message from the coordinator; one with a lower term than seen before is refused. */
void agent_core_message(struct agent_core *a, int64_t now, const struct msg *m)
{
	uint64_t term = message_term(m);

	if (term == 0)
		return;
	if (term < a->term) {
		counter_add(&stale_messages, 1);
		log_warning("agent",
			"Refused a %s message of an old term. term=%" PRIu64 " ours=%" PRIu64,
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

/*
 * Handle the end of a member's task on the upstream. If the member was being stopped, an end
 * other than done or never started counts as stopped.
 */
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

/*
 * Keep the checkpoint of a member that is being stopped in memory, to be sent with its end, and
 * stop its task.
 */
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

/* Return the address of a gang member from the roster ("ADDR,ADDR,..."); NULL if missing. */
static char *roster_addr(const struct agent_member *m, uint32_t member)
{
	g_auto(GStrv) parts = g_strsplit(m->record.roster ? m->record.roster : "", ",", -1);

	return g_strv_length(parts) > member ? g_strdup(parts[member]) : NULL;
}

/* Send a heartbeat to another member of a gang. */
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

/* Whether a member is running or has completed, so that the rest of the gang may continue. */
static bool is_running_or_done(const struct agent_member *m)
{
	return m->record.state == MEMBER_RUNNING ||
	       (m->record.state == MEMBER_ENDED && m->record.end == MEMBER_END_DONE);
}

/*
 * Handle the heartbeat of another member; it is sent to the agent of member 0, which answers
 * whether its own member is alive.
 */
void agent_core_gang_beat(
	struct agent_core *a, int64_t now, const struct msg_gang_beat *b, const char *reply_to)
{
	struct agent_member *m = find_member(a, b->job, b->attempt);
	struct msg out = {.kind = MSG_GANG_BEAT, .gang_beat = *b};

	out.gang_beat.alive =
		m != NULL && (is_running_or_done(m) || m->record.state == MEMBER_RESERVED);
	if (m != NULL && m->gang_last_seen != NULL && b->member < m->record.size && b->alive) {
		m->gang_last_seen[b->member] = b->done ? INT64_MAX : now;
		if (m->record.state == MEMBER_ENDED)
			m->ended_at = now;
	}
	a->ports.send_gang(a->ports.arg, reply_to, &out);
}

/* Handle the answer of member 0; if member 0 is not alive, stop the member here. */
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
	counter_add(&gang_leases_lost, 1);
	stop_member(a, now, m, STOP_NOW, STOP_RETRY_INTERVAL_NS);
}

/* Whether a running member has not heard from its gang for AGENT_GANG_LEASE_NS. */
static bool gang_lease_expired(const struct agent_member *m, int64_t now)
{
	if (m->record.member != 0)
		return now - m->gang_last_heard > AGENT_GANG_LEASE_NS;
	for (uint32_t i = 1; i < m->record.size; i++) {
		if (now - m->gang_last_seen[i] > AGENT_GANG_LEASE_NS)
			return true;
	}
	return false;
}

/* Send the heartbeat of a gang member, and stop the member if its lease has expired. */
static void tick_gang(struct agent_core *a, int64_t now, struct agent_member *m)
{
	if (m->record.size < 2 || !is_running_or_done(m))
		return;
	if (m->record.member != 0) {
		g_autofree char *addr = roster_addr(m, 0);

		send_gang_beat(a, addr, m, m->record.member, true);
	}
	if (m->record.state != MEMBER_RUNNING || !gang_lease_expired(m, now))
		return;
	log_warning("agent",
		"Lost contact with another member of the gang; stopping the local one. job=%s "
		"attempt=%u",
		m->record.spec.id, m->record.attempt);
	counter_add(&gang_leases_lost, 1);
	stop_member(a, now, m, STOP_NOW, STOP_RETRY_INTERVAL_NS);
}

/* Check the timeouts of one member; returns true once the member can be dropped. */
static bool tick_member(struct agent_core *a, int64_t now, struct agent_member *m)
{
	if (m->record.state == MEMBER_RESERVED && now > m->reserved_until) {
		log_info("agent",
			"A reservation expired before it was started. job=%s attempt=%u",
			m->record.spec.id, m->record.attempt);
		end_member(a, now, m, MEMBER_END_NEVER_STARTED);
	}
	if (m->record.state == MEMBER_STOPPING && now > m->stop_deadline) {
		m->stop_deadline = now + STOP_RETRY_INTERVAL_NS;
		m->stop_sent = true;
		a->ports.stop_task(a->ports.arg, m, STOP_NOW);
	}
	tick_gang(a, now, m);
	return m->record.state == MEMBER_ENDED && m->acked && a->connected &&
	       now - m->ended_at > AGENT_ENDED_TTL_NS;
}

/*
 * Check all timeouts and send the heartbeats of gang members; the daemon calls this about twice
 * a second (AGENT_TICK_PERIOD_NS). The time for which ended members are kept does not run while
 * the coordinator is disconnected.
 */
void agent_core_tick(struct agent_core *a, int64_t now)
{
	int64_t elapsed = a->last_tick > 0 ? now - a->last_tick : 0;
	GHashTableIter it;
	gpointer value;

	a->last_tick = now;
	g_hash_table_iter_init(&it, a->members);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct agent_member *m = value;

		if (!a->connected)
			m->ended_at += elapsed;
		if (tick_member(a, now, m))
			g_hash_table_iter_remove(&it);
	}
	if (a->reported_serving != agent_core_serving(a, now))
		agent_core_report(a, now);
}

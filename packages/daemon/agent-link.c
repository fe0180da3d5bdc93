#include "agent-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * An agent that has no connection to the cell's coordinator reads the cell's term from the
 * store, after a random delay so that the agents of a cell do not all call the store at once.
 * It connects to the holder, or takes the term if nobody holds it. While connected, an agent
 * makes no calls to the store, except for the one that hosts the coordinator: it connects to
 * itself without a lookup, and agent-host.c calls the store.
 */

#define RETRY_DELAY_MIN_NS  (300 * NSEC_PER_MSEC)
#define RETRY_DELAY_MAX_NS  (5 * NSEC_PER_SEC)
#define SILENCE_TIMEOUT_NS  (4 * NSEC_PER_SEC)
#define LOOKUP_DELAY_MAX_NS (400 * NSEC_PER_MSEC)

/*
 * A lookup of the cell's term in the store. If nobody holds the term and may_take_term is set,
 * it takes the term and loads the job records.
 */
struct term_lookup {
	struct agent *agent;
	bool may_take_term;
	bool ok;
	bool term_taken;
	struct cell_term term;
	GPtrArray *records;
	GError *err;
	struct timespec delay;
};

bool link_owns_peer(const struct agent *a, peer_id peer)
{
	return a->link.peer == peer && peer != PEER_NONE;
}

void link_clear(struct agent *a)
{
	free(a->link.addr);
	a->link.addr = NULL;
}

/* Schedules the next attempt with exponential backoff and jitter. */
static void schedule_retry(struct agent *a, int64_t now)
{
	int64_t max_delay =
		MIN(RETRY_DELAY_MIN_NS << MIN(a->link.failures, 8u), RETRY_DELAY_MAX_NS);

	a->link.state = LINK_DISCONNECTED;
	a->link.peer = PEER_NONE;
	a->link.failures++;
	a->link.next_retry_at =
		now + max_delay / 2 + (int64_t)(random_u64() % (uint64_t)(max_delay / 2 + 1));
}

/* Reads the term and takes it if nobody holds it. Runs on the pool. */
static void lookup_run(void *arg)
{
	struct term_lookup *q = arg;
	struct agent *a = q->agent;
	struct store *s = a->p->store;

	nanosleep(&q->delay, NULL);
	q->ok = cell_term_read(s, a->cell, &q->term, &q->err);
	if (!q->ok || q->term.held || !q->may_take_term)
		return;
	q->term_taken = cell_term_acquire(
		s, a->cell, a->addr, a->name, a->lease_ns / NSEC_PER_SEC, &q->term, &q->err);
	if (!q->term_taken)
		return;
	q->records = g_ptr_array_new_with_free_func(job_record_free);
	if (!job_store_load(s, a->cell, q->records, &q->err)) {
		cell_term_release(s, &q->term, NULL);
		q->term_taken = false;
	}
}

static void connect_to_coord(struct agent *a, int64_t now, const char *addr)
{
	g_autoptr(GError) err = NULL;

	if (a->link.addr != addr) {
		free(a->link.addr);
		a->link.addr = xstrdup(addr);
	}
	a->link.peer = peer_dial(a->net, addr, &err);
	if (a->link.peer == PEER_NONE) {
		schedule_retry(a, now);
		return;
	}
	a->link.state = LINK_CONNECTING;
	a->link.last_received_at = now;
}

/*
 * Connects to the holder of the term, or hosts the coordinator if this agent took the term. If
 * the term cannot be read, dials the last known address if link.failures is even; otherwise
 * only schedules a retry. Such a dial adds 1 to link.failures and its failure adds 1 more, so
 * the count stays even and the next failed read dials again. Runs on the loop.
 */
static void lookup_done(void *arg)
{
	struct term_lookup *q = arg;
	struct agent *a = q->agent;
	int64_t now = loop_now(a->p->loop);

	if (q->term_taken) {
		host_start(a, now, &q->term, q->records);
		connect_to_coord(a, now, a->addr);
	} else if (q->ok && q->term.held && q->term.addr != NULL &&
		   strcmp(q->term.addr, a->addr) != 0) {
		connect_to_coord(a, now, q->term.addr);
	} else {
		if (q->err != NULL && error_kind_of(q->err) != ERR_CONFLICT)
			log_warning("agent", "Could not look up the coordinator: %s.",
				q->err->message);
		if (!q->ok && a->link.addr != NULL && a->link.failures % 2 == 0) {
			a->link.failures++;
			connect_to_coord(a, now, a->link.addr);
		} else {
			schedule_retry(a, now);
		}
	}
	if (q->records != NULL)
		g_ptr_array_unref(q->records);
	cell_term_clear(&q->term);
	g_clear_error(&q->err);
	free(q);
}

/* Looks up the coordinator in the store after a random delay. */
static void start_lookup(struct agent *a)
{
	struct term_lookup *q = xcalloc(1, sizeof(*q));
	int64_t delay = (int64_t)(random_u64() % (uint64_t)LOOKUP_DELAY_MAX_NS);

	q->agent = a;
	q->may_take_term = !a->stopping && a->host.coord == NULL;
	q->delay.tv_nsec = (long)delay;
	a->link.state = LINK_LOOKUP;
	work_submit(a->p->pool, lookup_run, lookup_done, q);
}

/* Sends a message to the coordinator; drops it and returns false if there is none. */
bool link_send(struct agent *a, const struct msg *m)
{
	return a->link.state >= LINK_HELLO_SENT && agent_send_peer(a, a->link.peer, m);
}

/* Sends the hello on a new connection. */
void link_peer_opened(struct agent *a)
{
	struct msg m = {.kind = MSG_HELLO,
		.hello = {.role = ROLE_AGENT,
			.name = a->name,
			.addr = a->addr,
			.zone = (char *)a->p->zone,
			.incarnation = a->incarnation,
			.term = agent_core_term(a->core)}};

	a->link.state = LINK_HELLO_SENT;
	agent_send_peer(a, a->link.peer, &m);
}

/* Adopts the coordinator's term; disconnects if it is outdated or of another cell. */
static void handle_welcome(struct agent *a, int64_t now, const struct msg_welcome *w)
{
	if (w->term == 0 || g_strcmp0(w->cell, a->cell) != 0 ||
		!agent_core_adopt_term(a->core, now, w->term)) {
		peer_close(a->net, a->link.peer);
		return;
	}
	if (a->link.state != LINK_READY)
		log_info("agent", "Registered with the coordinator at %s. term=%" PRIu64,
			a->link.addr, w->term);
	a->link.state = LINK_READY;
	a->link.term = w->term;
	a->link.failures = 0;
	a->link.config_revision = w->config_revision;
}

void link_handle_message(struct agent *a, int64_t now, const struct msg *m)
{
	a->link.last_received_at = now;
	if (m->kind == MSG_WELCOME)
		handle_welcome(a, now, &m->welcome);
	else if (m->kind == MSG_BEAT_ACK)
		a->link.config_revision = m->beat_ack.config_revision;
	else
		agent_core_message(a->core, now, m);
}

void link_peer_closed(struct agent *a, int64_t now)
{
	if (a->link.state == LINK_READY) {
		log_info("agent", "Lost the connection to the coordinator.");
		a->link.failures = 0;
	}
	agent_core_lost_coordinator(a->core);
	schedule_retry(a, now);
}

static void send_heartbeat(struct agent *a)
{
	struct msg m = {.kind = MSG_BEAT,
		.beat = {.term = agent_core_term(a->core),
			.members = (uint32_t)agent_core_live_members(a->core),
			.busy_accelerators = agent_core_busy_accelerators(a->core),
			.usage_percent = agent_core_upstream(a->core)->usage_percent,
			.config_revision = a->link.config_revision}};

	link_send(a, &m);
}

/* Retries, sends heartbeats and disconnects from a silent coordinator. */
void link_tick(struct agent *a, int64_t now)
{
	switch (a->link.state) {
	case LINK_DISCONNECTED:
		if (now < a->link.next_retry_at)
			break;
		if (a->host.coord != NULL)
			connect_to_coord(a, now, a->addr);
		else
			start_lookup(a);
		break;
	case LINK_LOOKUP:
		break;
	case LINK_CONNECTING:
	case LINK_HELLO_SENT:
	case LINK_READY:
		if (a->link.state == LINK_READY)
			send_heartbeat(a);
		if (now - a->link.last_received_at > SILENCE_TIMEOUT_NS)
			peer_close(a->net, a->link.peer);
		break;
	}
}

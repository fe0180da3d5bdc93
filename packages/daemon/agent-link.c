#include "agent-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * An agent that has no coordinator reads the cell's term from the store, after a random delay
 * so that a cell does not ask in one moment. It dials the holder, or takes the term where
 * nobody holds it. An agent with a coordinator makes no calls to the store at all.
 */

#define RETRY_MIN     (300 * NSEC_PER_MSEC)
#define RETRY_MAX     (5 * NSEC_PER_SEC)
#define SILENCE_MAX   (4 * NSEC_PER_SEC)
#define CAMPAIGN_WAIT (400 * NSEC_PER_MSEC)

/* One question to the store, on the pool. */
struct ask {
	struct agent *agent;
	bool campaign;
	bool ok;
	bool won;
	struct cell_term term;
	GPtrArray *records;
	GError *err;
	struct timespec pause;
};

/* Whether a connection is the one to the coordinator. */
bool link_owns_peer(const struct agent *a, peer_id peer)
{
	return a->link.peer == peer && peer != PEER_NONE;
}

/* Free what the link holds. */
void link_clear(struct agent *a)
{
	free(a->link.addr);
	a->link.addr = NULL;
}

/* Try again after a while that grows with failures. */
static void retry_later(struct agent *a, int64_t now)
{
	int64_t most = MIN(RETRY_MIN << MIN(a->link.failures, 8u), RETRY_MAX);

	a->link.state = LINK_DISCONNECTED;
	a->link.peer = PEER_NONE;
	a->link.failures++;
	a->link.next_retry_at =
		now + most / 2 + (int64_t)(random_u64() % (uint64_t)(most / 2 + 1));
}

/* Read the term, and take it where nobody holds it. Runs on the pool. */
static void ask_run(void *arg)
{
	struct ask *q = arg;
	struct agent *a = q->agent;
	struct store *s = a->p->store;

	nanosleep(&q->pause, NULL);
	q->ok = cell_term_read(s, a->cell, &q->term, &q->err);
	if (!q->ok || q->term.held || !q->campaign)
		return;
	q->won = cell_term_take(
		s, a->cell, a->addr, a->name, a->lease_ns / NSEC_PER_SEC, &q->term, &q->err);
	if (!q->won)
		return;
	q->records = g_ptr_array_new_with_free_func(job_record_free);
	if (!job_store_load(s, a->cell, q->records, &q->err)) {
		cell_term_release(s, &q->term, NULL);
		q->won = false;
	}
}

/* Connect to the holder of the term. */
static void dial(struct agent *a, int64_t now, const char *addr)
{
	g_autoptr(GError) err = NULL;

	if (a->link.addr != addr) {
		free(a->link.addr);
		a->link.addr = xstrdup(addr);
	}
	a->link.peer = peer_dial(a->net, addr, &err);
	if (a->link.peer == PEER_NONE) {
		retry_later(a, now);
		return;
	}
	a->link.state = LINK_CONNECTING;
	a->link.last_received_at = now;
}

/* The store answered. Runs on the loop. */
static void ask_done(void *arg)
{
	struct ask *q = arg;
	struct agent *a = q->agent;
	int64_t now = loop_now(a->p->loop);

	if (q->won) {
		host_start(a, now, &q->term, q->records);
		dial(a, now, a->addr);
	} else if (q->ok && q->term.held && q->term.addr != NULL &&
		   strcmp(q->term.addr, a->addr) != 0) {
		dial(a, now, q->term.addr);
	} else {
		if (q->err != NULL && error_kind_of(q->err) != ERR_CONFLICT)
			log_warning("agent", "The coordinator cannot be looked up: %s.",
				q->err->message);
		if (!q->ok && a->link.addr != NULL && a->link.failures % 2 == 0) {
			a->link.failures++;
			dial(a, now, a->link.addr);
		} else {
			retry_later(a, now);
		}
	}
	if (q->records != NULL)
		g_ptr_array_unref(q->records);
	cell_term_clear(&q->term);
	g_clear_error(&q->err);
	free(q);
}

/* Ask the store who coordinates. */
static void ask(struct agent *a)
{
	struct ask *q = xcalloc(1, sizeof(*q));
	int64_t pause = (int64_t)(random_u64() % (uint64_t)CAMPAIGN_WAIT);

	q->agent = a;
	q->campaign = !a->stopping && a->host.coord == NULL;
	q->pause.tv_nsec = (long)pause;
	a->link.state = LINK_LOOKUP;
	work_submit(a->p->pool, ask_run, ask_done, q);
}

/* Send a message to the coordinator; dropped where there is none. */
bool link_send(struct agent *a, const struct msg *m)
{
	return a->link.state >= LINK_HELLO_SENT && agent_send_peer(a, a->link.peer, m);
}

/* The connection is open: introduce ourselves. */
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

/* The coordinator's welcome. */
static void on_welcome(struct agent *a, int64_t now, const struct msg_welcome *w)
{
	if (w->term == 0 || g_strcmp0(w->cell, a->cell) != 0 ||
		!agent_core_adopt_term(a->core, now, w->term)) {
		peer_close(a->net, a->link.peer);
		return;
	}
	if (a->link.state != LINK_READY)
		log_info("agent", "The coordinator at %s has us. term=%" PRIu64, a->link.addr,
			w->term);
	a->link.state = LINK_READY;
	a->link.term = w->term;
	a->link.failures = 0;
	a->link.config_revision = w->config_revision;
}

/* A message of the coordinator. */
void link_handle_message(struct agent *a, int64_t now, const struct msg *m)
{
	a->link.last_received_at = now;
	if (m->kind == MSG_WELCOME)
		on_welcome(a, now, &m->welcome);
	else if (m->kind == MSG_BEAT_ACK)
		a->link.config_revision = m->beat_ack.config_revision;
	else
		agent_core_message(a->core, now, m);
}

/* The connection is gone. */
void link_peer_closed(struct agent *a, int64_t now)
{
	if (a->link.state == LINK_READY) {
		log_info("agent", "The connection to the coordinator is gone.");
		a->link.failures = 0;
	}
	agent_core_lost_coordinator(a->core);
	retry_later(a, now);
}

/* Tell the coordinator that we are alive. */
static void send_beat(struct agent *a)
{
	struct msg m = {.kind = MSG_BEAT,
		.beat = {.term = agent_core_term(a->core),
			.members = (uint32_t)agent_core_live(a->core),
			.busy_accelerators = agent_core_busy(a->core),
			.usage_percent = agent_core_upstream(a->core)->usage_percent,
			.config_revision = a->link.config_revision}};

	link_send(a, &m);
}

/* Enforce times. */
void link_tick(struct agent *a, int64_t now)
{
	switch (a->link.state) {
	case LINK_DISCONNECTED:
		if (now < a->link.next_retry_at)
			break;
		if (a->host.coord != NULL)
			dial(a, now, a->addr);
		else
			ask(a);
		break;
	case LINK_LOOKUP:
		break;
	case LINK_CONNECTING:
	case LINK_HELLO_SENT:
	case LINK_READY:
		if (a->link.state == LINK_READY)
			send_beat(a);
		if (now - a->link.last_received_at > SILENCE_MAX)
			peer_close(a->net, a->link.peer);
		break;
	}
}

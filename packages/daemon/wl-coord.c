#include "wl-coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * The coordinator: reads the accepted jobs from the store, follows what entries write there,
 * and decides for the agents that have a connection to it. Its term is proved by renewing the
 * lease of its key: while that lease stands nobody else can have taken the key.
 */

COUNTER(passes_total, "damaskpath_passes_total", "Passes of the scheduler.");
HISTOGRAM(pass_seconds, "damaskpath_pass_seconds", "Time of one pass of the scheduler.");

#define CONFIG_PERIOD NSEC_PER_SEC
#define KEEP_PERIOD   (700 * NSEC_PER_MSEC)
#define SWEEP_PERIOD  (500 * NSEC_PER_MSEC)
/* An agent reports about once a second; after this it is taken to be out of reach. */
#define AGENT_SILENCE (3500 * NSEC_PER_MSEC)
/* No starts are ordered on a term that the store has not confirmed for so long. */
#define START_AGE_MAX (3 * NSEC_PER_SEC)
/* A lease of a run on a worker whose clock is slow, and what a message may take. */
#define LEASE_SLACK (400 * NSEC_PER_MSEC)
/* The rest after a pass is as long as the pass, and no longer than this. */
#define PASS_REST_MAX (100 * NSEC_PER_MSEC)
/* Room for callers that ask for a job's state late. */
#define RETENTION_EXTRA (30 * NSEC_PER_SEC)

static void coord_release(struct wl_coord *c);

uint64_t wl_coord_term(const struct wl_coord *c)
{
	return c->term;
}

/* A call of ours has ended; false where the coordinator is only waiting to be freed. */
bool coord_call_ended(struct wl_coord *c)
{
	c->calls--;
	if (!c->freed)
		return true;
	coord_release(c);
	return false;
}

/* Stop coordinating; the owner frees us. */
void coord_lose(struct wl_coord *c, const char *why)
{
	if (c->lost)
		return;
	c->lost = true;
	event_log(EV_TERM_LOST, "term=%" PRIu64 " why=\"%s\"", c->term, why);
	c->ev.lost(c->ev.arg);
}

/* Find the member of a node. */
static struct member *member_find(struct wl_coord *c, const char *node)
{
	for (guint i = 0; i < c->members->len; i++) {
		struct member *m = c->members->pdata[i];

		if (strcmp(m->node, node) == 0)
			return m;
	}
	return NULL;
}

/* Send a message to a node's agent; dropped where it has no connection. */
static void send_node(struct wl_coord *c, const char *node, const struct wl_msg *m)
{
	struct member *to = member_find(c, node);
	struct bytes body;

	if (to == NULL || to->peer == PEER_NONE)
		return;
	body = wl_msg_encode(m);
	peer_send(to->net, to->peer, body.data, body.len);
	bytes_clear(&body);
}

/* The core's orders. */
static void order_start(void *arg, const char *node, const struct wl_start_order *o)
{
	struct wl_msg m = {.kind = WL_MSG_START, .start = *o};

	send_node(arg, node, &m);
}

static void order_stop(void *arg, const char *node, const struct wl_stop_order *o)
{
	struct wl_msg m = {.kind = WL_MSG_STOP, .stop = *o};

	send_node(arg, node, &m);
}

static void order_pace(void *arg, const char *node, const struct wl_pace_order *o)
{
	struct wl_msg m = {.kind = WL_MSG_PACE, .pace = *o};

	send_node(arg, node, &m);
}

static void mark_dirty(void *arg, const char *id)
{
	struct wl_coord *c = arg;

	record_writer_dirty(c->records, id);
}

/* Age of the last proof of the term. */
static int64_t term_age(const struct wl_coord *c)
{
	return loop_now(c->p->loop) - c->confirmed;
}

static void schedule_pass(struct wl_coord *c, int64_t delay);

/* Decide. */
static void run_pass(void *arg)
{
	struct wl_coord *c = arg;
	int64_t now = loop_now(c->p->loop);
	int64_t next = NSEC_PER_SEC;

	c->pass_timer = NULL;
	if (c->loaded && !c->stopping && !c->lost && term_age(c) < START_AGE_MAX) {
		next = wl_pass(c->wl, now, clock_wall(loop_clock(c->p->loop)));
		c->pass_ended = loop_now(c->p->loop);
		c->pass_took = MIN(c->pass_ended - now, PASS_REST_MAX);
		counter_add(&passes_total, 1);
		histogram_add(&pass_seconds, c->pass_ended - now);
	}
	if (c->pass_timer == NULL)
		schedule_pass(c, next);
}

/* Have a pass after a delay, or sooner where one is due sooner. */
static void schedule_pass(struct wl_coord *c, int64_t delay)
{
	if (c->pass_timer != NULL)
		loop_timer_del(c->p->loop, c->pass_timer);
	c->pass_timer = loop_timer_add(c->p->loop, delay, 0, run_pass, c);
}

/*
 * Something came: decide soon if it may let work start. Passes take at most half of the time,
 * so that messages are not kept waiting where a pass is long.
 */
void coord_pass_soon(struct wl_coord *c)
{
	if (wl_wants_pass(c->wl))
		schedule_pass(c, MAX(c->pass_ended + c->pass_took - loop_now(c->p->loop), 0));
}

/* Tell agents up to where the ends that they listed are stored. */
static void tell_stored(struct wl_coord *c)
{
	for (guint i = 0; i < c->members->len; i++) {
		struct member *m = c->members->pdata[i];
		struct wl_msg msg = {.kind = WL_MSG_STORED, .stored.term = c->term};
		const char *life;

		if (!wl_node_stored(c->wl, m->node, &life, &msg.stored.number))
			continue;
		msg.stored.life = (char *)life;
		send_node(c, m->node, &msg);
	}
}

/* Answer to a report: alive, and how fresh our term is. */
static void send_beat(struct wl_coord *c, const struct member *m, uint64_t echo)
{
	struct wl_msg msg = {.kind = WL_MSG_LEAD_BEAT,
		.lead_beat = {.term = c->term,
			.age_ms = (uint32_t)MIN(term_age(c) / NSEC_PER_MSEC, UINT32_MAX),
			.stopping = c->stopping,
			.echo_ns = echo,
			.ordinal = wl_ordinal(c->wl)}};

	send_node(c, m->node, &msg);
}

/* Let the core see a report. */
static void take_report(struct wl_coord *c, const struct wl_report *r)
{
	wl_node_report(c->wl, loop_now(c->p->loop), clock_wall(loop_clock(c->p->loop)), r);
	tell_stored(c);
	coord_pass_soon(c);
}

/* Records were stored: reports that waited for them, and ends that may be forgotten. */
static void on_stored(void *arg)
{
	struct wl_coord *c = arg;

	for (guint i = 0; i < c->members->len; i++) {
		struct member *m = c->members->pdata[i];

		if (!m->has_held || !record_writer_has_node(c->records, m->node))
			continue;
		m->has_held = false;
		take_report(c, &m->held.report);
		wl_msg_clear(&m->held);
	}
	tell_stored(c);
	coord_pass_soon(c);
}

static void on_records_lost(void *arg)
{
	coord_lose(arg, "the store has another term");
}

/* A report: the node has to be on record before it may get tasks. */
static void on_report(struct wl_coord *c, struct member *m, struct wl_msg *msg)
{
	if (msg->report.node == NULL || strcmp(msg->report.node, m->node) != 0)
		return;
	send_beat(c, m, msg->report.sent_ns);
	if (m->has_held)
		wl_msg_clear(&m->held);
	m->has_held = false;
	if (c->loaded && record_writer_has_node(c->records, m->node)) {
		take_report(c, &msg->report);
		return;
	}
	m->held = *msg;
	m->has_held = true;
	memset(msg, 0, sizeof(*msg));
	if (c->loaded)
		record_writer_node(c->records, m->node, true);
}

/* An agent introduces itself. */
static void on_hello(
	struct wl_coord *c, struct peer_net *net, peer_id peer, const struct wl_hello *h)
{
	struct member *m;

	if (h->node == NULL)
		return;
	m = member_find(c, h->node);
	if (m == NULL) {
		m = xcalloc(1, sizeof(*m));
		m->node = xstrdup(h->node);
		g_ptr_array_add(c->members, m);
	}
	if (m->peer != PEER_NONE && m->peer != peer)
		peer_close(m->net, m->peer);
	m->net = net;
	m->peer = peer;
	m->heard = loop_now(c->p->loop);
	send_beat(c, m, 0);
}

/* A message of an agent. */
void wl_coord_message(
	struct wl_coord *c, struct peer_net *net, peer_id peer, struct wl_msg *msg)
{
	struct member *m = NULL;

	if (msg->kind == WL_MSG_HELLO) {
		on_hello(c, net, peer, &msg->hello);
		return;
	}
	for (guint i = 0; i < c->members->len && m == NULL; i++) {
		if (((struct member *)c->members->pdata[i])->peer == peer)
			m = c->members->pdata[i];
	}
	if (m == NULL)
		return;
	m->heard = loop_now(c->p->loop);
	if (msg->kind == WL_MSG_PING) {
		send_beat(c, m, msg->ping.sent_ns);
	} else if (msg->kind == WL_MSG_REPORT && msg->report.term == c->term) {
		on_report(c, m, msg);
	} else if (msg->kind == WL_MSG_ANSWER && msg->answer.term == c->term) {
		wl_node_answer(c->wl, m->heard, &msg->answer);
		coord_pass_soon(c);
	}
}

/* A node's connection is gone or silent. */
static void member_silent(struct wl_coord *c, struct member *m)
{
	m->peer = PEER_NONE;
	if (m->has_held)
		wl_msg_clear(&m->held);
	m->has_held = false;
	wl_node_silent(c->wl, loop_now(c->p->loop), m->node);
	coord_pass_soon(c);
}

/* A connection is closed. */
void wl_coord_closed(struct wl_coord *c, peer_id peer)
{
	for (guint i = 0; i < c->members->len; i++) {
		struct member *m = c->members->pdata[i];

		if (m->peer == peer && peer != PEER_NONE)
			member_silent(c, m);
	}
}

/* The store answered to a renewal. */
static void kept(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	c->keeping = false;
	if (!coord_call_ended(c))
		return;
	if (r->status == KV_OK)
		c->confirmed = MAX(c->confirmed, r->sent);
	else if (r->status == KV_MISSING)
		coord_lose(c, "its lease has run out");
}

/* Renew the lease of our key. */
static void keep(void *arg)
{
	struct wl_coord *c = arg;

	if (c->keeping || c->lost || c->stopping)
		return;
	c->keeping = true;
	c->calls++;
	kv_lease_keep(c->p->kv, c->lease, kept, c);
}

/* Look after silent agents, what has run out, and what need not be remembered. */
static void sweep(void *arg)
{
	struct wl_coord *c = arg;
	int64_t now = loop_now(c->p->loop);
	g_autoptr(GPtrArray) gone = NULL;
	g_autoptr(GPtrArray) expired = NULL;

	for (guint i = 0; i < c->members->len; i++) {
		struct member *m = c->members->pdata[i];

		if (m->peer == PEER_NONE || now - m->heard < AGENT_SILENCE)
			continue;
		peer_close(m->net, m->peer);
		member_silent(c, m);
	}
	if (!c->loaded || c->lost)
		return;
	gone = wl_nodes_gone(c->wl, now);
	for (guint i = 0; i < gone->len; i++) {
		record_writer_node(c->records, gone->pdata[i], false);
		coord_pass_soon(c);
	}
	expired = wl_jobs_expired(c->wl, clock_wall(loop_clock(c->p->loop)));
	for (guint i = 0; i < expired->len; i++)
		record_writer_remove(c->records, expired->pdata[i]);
}

/* Agents that reported before the jobs were read. */
void coord_take_held(struct wl_coord *c)
{
	for (guint i = 0; i < c->members->len; i++) {
		struct member *m = c->members->pdata[i];

		if (!m->has_held)
			continue;
		if (!record_writer_has_node(c->records, m->node)) {
			record_writer_node(c->records, m->node, true);
			continue;
		}
		m->has_held = false;
		take_report(c, &m->held.report);
		wl_msg_clear(&m->held);
	}
}

/* Free a stored progress. */
static void states_free(void *arg)
{
	struct bytes *b = arg;

	bytes_clear(b);
	free(b);
}

/* Another configuration is in force. */
static void on_config(void *arg)
{
	struct wl_coord *c = arg;

	wl_set_config(c->wl, config_feed_get(c->feed));
	coord_pass_soon(c);
}

/* Coordinate under a term that was taken with this lease. */
struct wl_coord *wl_coord_new(struct wl_process *p, uint64_t term, int64_t term_revision,
	int64_t lease, const struct wl_coord_events *ev)
{
	const struct pf_settings *s = &p->settings;
	struct wl_coord *c = xcalloc(1, sizeof(*c));
	const struct wl_limits limits = {.stop_max = s->stop_max,
		.gang_wait = s->gang_wait,
		.remote_penalty = s->remote_penalty,
		.restore = s->restore,
		.reclaim_max = s->reclaim_max,
		.silence_max = AUTHORITY_MAX + s->hold_max + s->hold_max / 50 + LEASE_SLACK,
		.retention = s->ended_visible + RETENTION_EXTRA};
	const struct wl_out out = {.start = order_start,
		.stop = order_stop,
		.pace = order_pace,
		.dirty = mark_dirty,
		.arg = c};

	c->p = p;
	c->ev = *ev;
	c->term = term;
	c->term_revision = term_revision;
	c->lease = lease;
	c->confirmed = loop_now(p->loop);
	c->members = g_ptr_array_new();
	c->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, states_free);
	c->cancels = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->wl = wl_new(term, &limits, &out);
	c->records = record_writer_new(p, c->wl, term_revision, on_stored, on_records_lost, c);
	c->feed = config_feed_new(p, CONFIG_PERIOD, on_config, c);
	c->keep_timer = loop_timer_add(p->loop, KEEP_PERIOD, KEEP_PERIOD, keep, c);
	c->sweep_timer = loop_timer_add(p->loop, SWEEP_PERIOD, SWEEP_PERIOD, sweep, c);
	inbox_load(c);
	return c;
}

/* The lease was given back. */
static void ended(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	(void)r;
	coord_call_ended(c);
}

/* Hand over: no more orders, agents are told, and the lease is given back for the next one. */
void wl_coord_stop(struct wl_coord *c)
{
	if (c->stopping)
		return;
	c->stopping = true;
	for (guint i = 0; i < c->members->len; i++)
		send_beat(c, c->members->pdata[i], 0);
	event_log(EV_TERM_LOST, "term=%" PRIu64 " why=\"the process stops\"", c->term);
	c->calls++;
	kv_lease_end(c->p->kv, c->lease, ended, c);
}

bool wl_coord_idle(const struct wl_coord *c)
{
	return c->stopping && record_writer_idle(c->records);
}

/* Free what is left once no call is under way. */
static void coord_release(struct wl_coord *c)
{
	if (c->calls > 0)
		return;
	for (guint i = 0; i < c->members->len; i++) {
		struct member *m = c->members->pdata[i];

		if (m->has_held)
			wl_msg_clear(&m->held);
		free(m->node);
		free(m);
	}
	g_ptr_array_unref(c->members);
	g_hash_table_destroy(c->states);
	g_hash_table_destroy(c->cancels);
	free(c);
}

/* Free a coordinator; calls that are under way finish first. */
void wl_coord_free(struct wl_coord *c)
{
	if (c == NULL || c->freed)
		return;
	c->freed = true;
	loop_timer_del(c->p->loop, c->keep_timer);
	loop_timer_del(c->p->loop, c->sweep_timer);
	loop_timer_del(c->p->loop, c->pass_timer);
	loop_timer_del(c->p->loop, c->watch_timer);
	record_writer_free(c->records);
	config_feed_free(c->feed);
	wl_free(c->wl);
	coord_release(c);
}

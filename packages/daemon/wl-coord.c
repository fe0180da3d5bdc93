#include "wl-coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * The coordinator: reads the accepted jobs from the store, watches the keys that entries write,
 * and schedules tasks on the agents connected to it. Each renewal of the store lease
 * of its key confirms its term: no other process can take the key before that lease expires.
 */

COUNTER(passes_total, "damaskpath_passes_total", "Passes of the scheduler.");
HISTOGRAM(pass_seconds, "damaskpath_pass_seconds", "Time of one pass of the scheduler.");

#define CONFIG_PERIOD NSEC_PER_SEC
/* Renewal of the store lease that holds the coordinator's key. */
#define STORE_LEASE_RENEW_PERIOD (700 * NSEC_PER_MSEC)
/* A longer time without a confirmation of the term is made up for, see resume_after_gap. */
#define RENEWAL_GAP_MAX (2 * NSEC_PER_SEC)
#define SWEEP_PERIOD	(500 * NSEC_PER_MSEC)
/* An agent reports about once a second; one silent for this long is considered unreachable. */
#define AGENT_TIMEOUT (3500 * NSEC_PER_MSEC)
/* No tasks are started if the store last confirmed the term longer ago than this. */
#define START_TERM_AGE_MAX (3 * NSEC_PER_SEC)
/*
 * The pause after a pass is this many times as long as the pass, within the limits. Renewing
 * leases and storing ends come first when the process is short of processor time.
 */
#define PASS_PAUSE_FACTOR 3
#define PASS_PAUSE_MIN	  (10 * NSEC_PER_MSEC)
#define PASS_PAUSE_MAX	  (300 * NSEC_PER_MSEC)
/* Part of the machine's memory that checkpoints may use. */
#define CHECKPOINTS_DIVISOR 8
/* Keeps ended jobs longer than the setting ended_retention, for callers that query late. */
#define RETENTION_MARGIN (30 * NSEC_PER_SEC)

static void coord_free_if_idle(struct wl_coord *c);

uint64_t wl_coord_term(const struct wl_coord *c)
{
	return c->term;
}

bool coord_call_ended(struct wl_coord *c)
{
	c->calls_in_flight--;
	if (!c->freed)
		return true;
	coord_free_if_idle(c);
	return false;
}

void coord_lose_term(struct wl_coord *c, const char *why)
{
	if (c->term_lost)
		return;
	c->term_lost = true;
	event_log(EV_TERM_LOST, "term=%" PRIu64 " why=\"%s\"", c->term, why);
	c->ev.term_lost(c->ev.arg);
}

/* Returns the agent of a node, or NULL if it has not sent a hello. */
static struct agent_conn *agent_find(struct wl_coord *c, const char *node)
{
	return g_hash_table_lookup(c->agents_by_node, node);
}

/* Returns the agent of a connection, or NULL if it has not sent a hello on it. */
static struct agent_conn *agent_of_peer(struct wl_coord *c, peer_id peer)
{
	return g_hash_table_lookup(c->agents_by_peer, &peer);
}

/* Sends a message to a node's agent, or drops it if the agent is not connected. */
static void send_to_node(struct wl_coord *c, const char *node, const struct wl_msg *m)
{
	struct agent_conn *to = agent_find(c, node);
	struct bytes body;

	if (to == NULL || to->peer == PEER_NONE)
		return;
	body = wl_msg_encode(m);
	peer_send(to->net, to->peer, body.data, body.len);
	bytes_clear(&body);
}

/* Callbacks by which the scheduler sends its orders to agents. */
static void order_start(void *arg, const char *node, const struct wl_start_order *o)
{
	struct wl_msg m = {.kind = WL_MSG_START, .start = *o};

	send_to_node(arg, node, &m);
}

static void order_stop(void *arg, const char *node, const struct wl_stop_order *o)
{
	struct wl_msg m = {.kind = WL_MSG_STOP, .stop = *o};

	send_to_node(arg, node, &m);
}

static void order_pace(void *arg, const char *node, const struct wl_pace_order *o)
{
	struct wl_msg m = {.kind = WL_MSG_PACE, .pace = *o};

	send_to_node(arg, node, &m);
}

/* Tells an agent up to which number the worker's ended runs are stored. */
static void order_stored(void *arg, const char *node, const struct wl_stored *s)
{
	struct wl_msg m = {.kind = WL_MSG_STORED, .stored = *s};

	send_to_node(arg, node, &m);
}

static void on_job_dirty(void *arg, const char *id, enum wl_store_urgency urgency)
{
	struct wl_coord *c = arg;

	record_writer_mark_dirty(c->records, id, urgency);
}

/* Time since the store last confirmed the term. */
static int64_t term_age(const struct wl_coord *c)
{
	return loop_now(c->p->loop) - c->term_confirmed_at;
}

static void schedule_pass(struct wl_coord *c, int64_t delay);

/*
 * Runs a scheduling pass if the store confirmed the term less than START_TERM_AGE_MAX ago, and
 * schedules the next one.
 */
static void on_pass_timer(void *arg)
{
	struct wl_coord *c = arg;
	int64_t now = loop_now(c->p->loop);
	int64_t next = NSEC_PER_SEC;

	c->pass_timer = NULL;
	if (c->loaded && !c->stopping && !c->term_lost && term_age(c) < START_TERM_AGE_MAX) {
		next = wl_pass(c->scheduler, now, clock_wall(loop_clock(c->p->loop)));
		c->pass_ended = loop_now(c->p->loop);
		c->pass_pause = CLAMP(PASS_PAUSE_FACTOR * (c->pass_ended - now), PASS_PAUSE_MIN,
			PASS_PAUSE_MAX);
		counter_add(&passes_total, 1);
		histogram_add(&pass_seconds, c->pass_ended - now);
		coord_load_add(&c->load, COORD_WORK_PASS, c->pass_ended - now);
	}
	if (c->pass_timer == NULL)
		schedule_pass(c, next);
}

/* Schedules the next pass after a delay, replacing one already scheduled. */
static void schedule_pass(struct wl_coord *c, int64_t delay)
{
	if (c->pass_timer != NULL)
		loop_timer_del(c->p->loop, c->pass_timer);
	c->pass_timer = loop_timer_add(c->p->loop, delay, 0, on_pass_timer, c);
}

/* The pause between passes lets the process handle messages. */
void coord_request_pass(struct wl_coord *c)
{
	if (wl_pass_needed(c->scheduler))
		schedule_pass(c, MAX(c->pass_ended + c->pass_pause - loop_now(c->p->loop), 0));
}

/*
 * Sends an agent the coordinator's heartbeat, with the age of the term and the ordinal of the
 * last start. It is the reply to the agent's message whose sent_ns is echo; 0 for none.
 */
static void send_coordinator_heartbeat(
	struct wl_coord *c, const struct agent_conn *agent, uint64_t echo)
{
	struct wl_msg msg = {.kind = WL_MSG_LEAD_BEAT,
		.lead_beat = {.term = c->term,
			.age_ms = (uint32_t)MIN(term_age(c) / NSEC_PER_MSEC, UINT32_MAX),
			.stopping = c->stopping,
			.echo_ns = echo,
			.ordinal = wl_last_ordinal(c->scheduler),
			.speed = wl_node_speed(
				c->scheduler, loop_now(c->p->loop), agent->node)}};

	send_to_node(c, agent->node, &msg);
}

/*
 * The store has confirmed the term again after a gap in which the agents' authority may have
 * run out. They get it back before the orders of the next pass reach them: an agent without
 * authority refuses starts.
 */
static void resume_after_gap(struct wl_coord *c)
{
	for (guint i = 0; i < c->agents->len; i++) {
		const struct agent_conn *agent = c->agents->pdata[i];

		if (agent->last_echo != 0)
			send_coordinator_heartbeat(c, agent, agent->last_echo);
	}
	schedule_pass(c, 0);
}

/*
 * The store has confirmed the term by a call that was sent at a time: a renewal, or a
 * transaction that requires the term. A coordinator of a later term comes after that, and waits
 * for longer than the authority that follows from this.
 */
static void on_term_confirmed(int64_t sent, void *arg)
{
	struct wl_coord *c = arg;
	bool late = sent - c->term_confirmed_at > RENEWAL_GAP_MAX;

	c->term_confirmed_at = MAX(c->term_confirmed_at, sent);
	if (late)
		resume_after_gap(c);
}

/* Passes a report to the scheduler. */
static void apply_report(struct wl_coord *c, const struct wl_report *r)
{
	wl_node_report(
		c->scheduler, loop_now(c->p->loop), clock_wall(loop_clock(c->p->loop)), r);
	wl_ack_stored_ends(c->scheduler);
	coord_request_pass(c);
}

/* Records were stored: processes the reports that waited for them, acknowledges ended runs. */
static void on_records_stored(void *arg)
{
	struct wl_coord *c = arg;
	int64_t began = loop_now(c->p->loop);

	for (guint i = 0; i < c->agents->len; i++) {
		struct agent_conn *agent = c->agents->pdata[i];

		if (!agent->has_pending_report ||
			!record_writer_has_node(c->records, agent->node))
			continue;
		agent->has_pending_report = false;
		apply_report(c, &agent->pending_report.report);
		wl_msg_clear(&agent->pending_report);
	}
	wl_ack_stored_ends(c->scheduler);
	coord_request_pass(c);
	coord_load_add(&c->load, COORD_WORK_STORED, loop_now(c->p->loop) - began);
}

/*
 * Reads a job that was accepted under the id of a removed one: what the watch told of it was
 * ignored while the earlier job was known.
 */
static void on_job_replaced(const char *id, void *arg)
{
	g_autofree char *key = g_strconcat(KEY_JOB, id, NULL);

	event_log(EV_JOB_REPLACED, "job=%s", id);
	inbox_read_key(arg, key);
}

static void on_term_superseded(void *arg)
{
	coord_lose_term(arg, "a write found another term in the store");
}

/*
 * Handles a report. It is deferred until the node's record is stored: a node gets no tasks
 * before that, so that the next coordinator knows of every node that may run some.
 */
static void on_report(struct wl_coord *c, struct agent_conn *agent, struct wl_msg *msg)
{
	if (msg->report.node == NULL || strcmp(msg->report.node, agent->node) != 0)
		return;
	agent->last_echo = msg->report.sent_ns;
	send_coordinator_heartbeat(c, agent, msg->report.sent_ns);
	if (agent->has_pending_report)
		wl_msg_clear(&agent->pending_report);
	agent->has_pending_report = false;
	if (c->loaded && record_writer_has_node(c->records, agent->node)) {
		apply_report(c, &msg->report);
		return;
	}
	agent->pending_report = *msg;
	agent->has_pending_report = true;
	memset(msg, 0, sizeof(*msg));
	if (c->loaded)
		record_writer_set_node(c->records, agent->node, true);
}

/* Registers an agent; a newer connection of the same node replaces the older one. */
static void on_hello(
	struct wl_coord *c, struct peer_net *net, peer_id peer, const struct wl_hello *h)
{
	struct agent_conn *agent;

	if (h->node == NULL)
		return;
	agent = agent_find(c, h->node);
	if (agent == NULL) {
		agent = xcalloc(1, sizeof(*agent));
		agent->node = xstrdup(h->node);
		g_ptr_array_add(c->agents, agent);
		g_hash_table_insert(c->agents_by_node, agent->node, agent);
	}
	if (agent->peer != PEER_NONE && agent->peer != peer)
		peer_close(agent->net, agent->peer);
	if (agent->peer != PEER_NONE)
		g_hash_table_remove(c->agents_by_peer, &agent->peer);
	agent->net = net;
	agent->peer = peer;
	agent->last_echo = 0;
	g_hash_table_replace(c->agents_by_peer, &agent->peer, agent);
	agent->last_heard = loop_now(c->p->loop);
	send_coordinator_heartbeat(c, agent, 0);
	if (c->p->settings.evacuation_max > 0)
		wl_node_set_zone(c->scheduler, loop_now(c->p->loop), agent->node, h->zone);
	wl_node_connected(c->scheduler, agent->node);
}

/*
 * Handles a message from an agent. Peers that have sent no hello are ignored, and so are
 * reports and answers of another term; a ping is answered whatever its term.
 */
void wl_coord_handle_message(
	struct wl_coord *c, struct peer_net *net, peer_id peer, struct wl_msg *msg)
{
	struct agent_conn *agent;

	if (msg->kind == WL_MSG_HELLO) {
		on_hello(c, net, peer, &msg->hello);
		return;
	}
	agent = agent_of_peer(c, peer);
	if (agent == NULL)
		return;
	agent->last_heard = loop_now(c->p->loop);
	if (msg->kind == WL_MSG_PING) {
		agent->last_echo = msg->ping.sent_ns;
		send_coordinator_heartbeat(c, agent, msg->ping.sent_ns);
	} else if (msg->kind == WL_MSG_REPORT && msg->report.term == c->term) {
		on_report(c, agent, msg);
		coord_load_add(
			&c->load, COORD_WORK_REPORT, loop_now(c->p->loop) - agent->last_heard);
	} else if (msg->kind == WL_MSG_ANSWER && msg->answer.term == c->term) {
		wl_node_answer(c->scheduler, agent->last_heard, &msg->answer);
		coord_request_pass(c);
		coord_load_add(
			&c->load, COORD_WORK_ANSWER, loop_now(c->p->loop) - agent->last_heard);
	}
}

/* Marks an agent as disconnected after its connection closed or timed out. */
static void agent_disconnected(struct wl_coord *c, struct agent_conn *agent)
{
	g_hash_table_remove(c->agents_by_peer, &agent->peer);
	agent->peer = PEER_NONE;
	if (agent->has_pending_report)
		wl_msg_clear(&agent->pending_report);
	agent->has_pending_report = false;
	wl_node_unreachable(c->scheduler, loop_now(c->p->loop), agent->node);
	coord_request_pass(c);
}

void wl_coord_handle_peer_closed(struct wl_coord *c, peer_id peer)
{
	struct agent_conn *agent = agent_of_peer(c, peer);

	if (agent != NULL)
		agent_disconnected(c, agent);
}

/*
 * Handles the reply to a renewal of the store lease. The term is confirmed as of when the
 * request was sent, since the lease may have been renewed any time after that.
 */
static void on_lease_renewed(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	c->renewing_lease = false;
	if (!coord_call_ended(c))
		return;
	if (r->status == KV_NOT_FOUND)
		coord_lose_term(c, "the store lease has expired");
	if (r->status == KV_OK)
		on_term_confirmed(r->sent, c);
}

/* Renews the store lease of the coordinator's key. */
static void renew_lease(void *arg)
{
	struct wl_coord *c = arg;

	if (c->renewing_lease || c->term_lost || c->stopping)
		return;
	c->renewing_lease = true;
	c->calls_in_flight++;
	kv_lease_keepalive(c->p->kv, c->store_lease, on_lease_renewed, c);
}

/* Disconnects silent agents, and removes the records of expired nodes and expired jobs. */
static void on_sweep_timer(void *arg)
{
	struct wl_coord *c = arg;
	int64_t now = loop_now(c->p->loop);
	g_autoptr(GPtrArray) expired_nodes = NULL;
	g_autoptr(GPtrArray) expired_jobs = NULL;

	for (guint i = 0; i < c->agents->len; i++) {
		struct agent_conn *agent = c->agents->pdata[i];

		if (agent->peer == PEER_NONE || now - agent->last_heard < AGENT_TIMEOUT)
			continue;
		peer_close(agent->net, agent->peer);
		agent_disconnected(c, agent);
	}
	if (!c->loaded || c->term_lost)
		return;
	coord_load_log(&c->load, now, c->scheduler);
	expired_nodes = wl_nodes_expired(c->scheduler, now);
	for (guint i = 0; i < expired_nodes->len; i++) {
		record_writer_set_node(c->records, expired_nodes->pdata[i], false);
		coord_request_pass(c);
	}
	expired_jobs = wl_jobs_expired(c->scheduler, clock_wall(loop_clock(c->p->loop)));
	for (guint i = 0; i < expired_jobs->len; i++)
		record_writer_remove_job(c->records, expired_jobs->pdata[i]);
}

void coord_apply_pending_reports(struct wl_coord *c)
{
	for (guint i = 0; i < c->agents->len; i++) {
		struct agent_conn *agent = c->agents->pdata[i];

		if (!agent->has_pending_report)
			continue;
		if (!record_writer_has_node(c->records, agent->node)) {
			record_writer_set_node(c->records, agent->node, true);
			continue;
		}
		agent->has_pending_report = false;
		apply_report(c, &agent->pending_report.report);
		wl_msg_clear(&agent->pending_report);
	}
}

static void stored_progress_free(void *arg)
{
	struct bytes *b = arg;

	bytes_clear(b);
	free(b);
}

/* Applies a changed configuration. */
static void on_config(void *arg)
{
	struct wl_coord *c = arg;

	wl_set_config(c->scheduler, config_feed_get(c->feed));
	coord_request_pass(c);
}

/* Takes the evacuated zones that were read from the store. */
static void on_evacuations(
	void *arg, int64_t read_at, const struct wl_zone *zones, uint32_t zones_len)
{
	struct wl_coord *c = arg;

	wl_set_evacuated(c->scheduler, loop_now(c->p->loop), read_at, zones, zones_len);
	coord_request_pass(c);
}

/* Starts coordinating under a term that has been written to the store. */
struct wl_coord *wl_coord_new(struct wl_process *p, uint64_t term, int64_t term_revision,
	int64_t store_lease, const struct wl_coord_events *ev)
{
	const struct pf_settings *s = &p->settings;
	struct wl_coord *c = xcalloc(1, sizeof(*c));
	/* Durations are in nanoseconds. */
	const struct wl_limits limits = {.stop_max = s->stop_max,
		.gang_wait = s->gang_wait,
		.remote_penalty = s->remote_penalty, /* factor outside of the rack */
		.restore = s->restore,		     /* time to resume from a checkpoint */
		.reclaim_max = s->reclaim_max, /* until a job within its guarantee starts */
		/* After this time no run survives on an unreachable worker. */
		.silence_max = AUTHORITY_MAX + s->lease_max +
			       s->lease_max / SLOW_CLOCK_DIVISOR + RUN_LEASE_MARGIN,
		.retention = s->ended_retention + RETENTION_MARGIN,
		.evacuation_max = s->evacuation_max,
		.checkpoints_max = s->memory_max / CHECKPOINTS_DIVISOR,
		.record_max = s->value_max};
	const struct record_events records = {.confirmed = on_term_confirmed,
		.stored = on_records_stored,
		.replaced = on_job_replaced,
		.term_lost = on_term_superseded,
		.arg = c};
	const struct wl_callbacks out = {.start = order_start,
		.stop = order_stop,
		.pace = order_pace,
		.stored = order_stored,
		.dirty = on_job_dirty,
		.arg = c};

	c->p = p;
	c->ev = *ev;
	c->term = term;
	c->term_revision = term_revision;
	c->store_lease = store_lease;
	/*
	 * The time of the reply to the write of the term. The write was sent earlier, so until
	 * the first renewal the term's age comes out too low by up to the time of that call.
	 */
	c->term_confirmed_at = loop_now(p->loop);
	c->agents = g_ptr_array_new();
	c->noted_keys = g_ptr_array_new_with_free_func(free);
	c->agents_by_node = g_hash_table_new(g_str_hash, g_str_equal);
	c->agents_by_peer = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->stored_progress =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stored_progress_free);
	c->pending_cancels = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	c->scheduler = wl_new(term, &limits, &out);
	c->records = record_writer_new(p, c->scheduler, term_revision, &records);
	c->feed = config_feed_new(p, CONFIG_PERIOD, on_config, c);
	if (s->evacuation_max > 0)
		c->evacuations = evacuation_feed_new(p, on_evacuations, c);
	c->renew_timer = loop_timer_add(
		p->loop, STORE_LEASE_RENEW_PERIOD, STORE_LEASE_RENEW_PERIOD, renew_lease, c);
	c->sweep_timer = loop_timer_add(p->loop, SWEEP_PERIOD, SWEEP_PERIOD, on_sweep_timer, c);
	inbox_start(c);
	return c;
}

static void on_lease_revoked(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	(void)r;
	coord_call_ended(c);
}

/*
 * Stops giving orders, tells the agents, and revokes the store lease so that another process
 * can take over at once.
 */
void wl_coord_stop(struct wl_coord *c)
{
	if (c->stopping)
		return;
	c->stopping = true;
	record_writer_flush(c->records);
	for (guint i = 0; i < c->agents->len; i++)
		send_coordinator_heartbeat(c, c->agents->pdata[i], 0);
	event_log(EV_TERM_LOST, "term=%" PRIu64 " why=\"process is stopping\"", c->term);
	c->calls_in_flight++;
	kv_lease_revoke(c->p->kv, c->store_lease, on_lease_revoked, c);
}

bool wl_coord_idle(const struct wl_coord *c)
{
	return c->stopping && record_writer_idle(c->records);
}

/* Frees what the callbacks of store calls use, once none is in flight. */
static void coord_free_if_idle(struct wl_coord *c)
{
	if (c->calls_in_flight > 0)
		return;
	for (guint i = 0; i < c->agents->len; i++) {
		struct agent_conn *agent = c->agents->pdata[i];

		if (agent->has_pending_report)
			wl_msg_clear(&agent->pending_report);
		free(agent->node);
		free(agent);
	}
	g_ptr_array_unref(c->agents);
	g_ptr_array_unref(c->noted_keys);
	g_hash_table_destroy(c->agents_by_node);
	g_hash_table_destroy(c->agents_by_peer);
	g_hash_table_destroy(c->stored_progress);
	g_hash_table_destroy(c->pending_cancels);
	free(c);
}

/* Frees a coordinator. What callbacks of store calls use is freed after the last of them. */
void wl_coord_free(struct wl_coord *c)
{
	if (c == NULL || c->freed)
		return;
	c->freed = true;
	loop_timer_del(c->p->loop, c->renew_timer);
	loop_timer_del(c->p->loop, c->sweep_timer);
	loop_timer_del(c->p->loop, c->pass_timer);
	loop_timer_del(c->p->loop, c->inbox_timer);
	loop_timer_del(c->p->loop, c->note_timer);
	c->note_timer = NULL;
	record_writer_free(c->records);
	config_feed_free(c->feed);
	evacuation_feed_free(c->evacuations);
	wl_free(c->scheduler);
	coord_free_if_idle(c);
}

#include "agent-private.h"

#include <stdlib.h>
#include <string.h>

#define HANDOVER_DELAY_NS    (300 * NSEC_PER_MSEC)
#define HTTP_BODY_MAX_BYTES  65536
#define HTTP_CONNECTIONS_MAX 64

bool agent_send_peer(struct agent *a, peer_id peer, const struct msg *m)
{
	struct bytes b = msg_encode(m);
	bool ok = peer_send(a->net, peer, b.data, b.len);

	bytes_clear(&b);
	return ok;
}

/* Agent core callback: sends a message to the coordinator. */
static void send_to_coord(void *arg, const struct msg *m)
{
	link_send(arg, m);
}

/* Returns the connection to another agent of a gang, dialling it if there is none. */
static peer_id gang_peer_connect(struct agent *a, const char *addr)
{
	peer_id *known = g_hash_table_lookup(a->gang_peers, addr);
	peer_id peer;

	if (known != NULL)
		return *known;
	peer = peer_dial(a->net, addr, NULL);
	if (peer != PEER_NONE)
		g_hash_table_insert(
			a->gang_peers, g_strdup(addr), g_memdup2(&peer, sizeof(peer)));
	return peer;
}

/*
 * Agent core callback: sends a message to another agent of a gang. addr is its peer address or,
 * to reply on the connection that a heartbeat came from, "#" and the id of that connection.
 */
static void send_to_gang_agent(void *arg, const char *addr, const struct msg *m)
{
	struct agent *a = arg;

	if (addr[0] == '#')
		agent_send_peer(a, strtoull(addr + 1, NULL, 10), m);
	else
		agent_send_peer(a, gang_peer_connect(a, addr), m);
}

/* Coordinator callback: sends to a peer. */
static bool coord_send_peer(void *arg, peer_id peer, const struct msg *m)
{
	return agent_send_peer(arg, peer, m);
}

/* Coordinator callback: closes a peer's connection. */
static void coord_close_peer(void *arg, peer_id peer)
{
	peer_close(((struct agent *)arg)->net, peer);
}

/* Returns the address that a connection of a gang was dialled with; NULL for any other. */
static const char *gang_peer_addr(struct agent *a, peer_id peer)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, a->gang_peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (*(peer_id *)value == peer)
			return key;
	}
	return NULL;
}

static void on_opened(void *arg, peer_id peer, bool dialled)
{
	struct agent *a = arg;

	(void)dialled;
	if (link_owns_peer(a, peer))
		link_peer_opened(a);
}

/*
 * Passes a hello to the hosted coordinator. Without one, replies with a welcome of term 0,
 * which means that this peer is not a coordinator.
 */
static void handle_hello(struct agent *a, peer_id peer, const struct msg_hello *h)
{
	struct msg not_coordinator = {.kind = MSG_WELCOME, .welcome = {.cell = a->cell}};

	if (a->host.coord != NULL) {
		g_hash_table_add(a->coord_peers, g_memdup2(&peer, sizeof(peer)));
		coord_hello(a->host.coord, loop_now(a->p->loop), peer, h);
		return;
	}
	agent_send_peer(a, peer, &not_coordinator);
}

/*
 * Handles a heartbeat between the agents of a gang. On a connection that this agent dialled it
 * is the reply to a heartbeat that this agent sent. On any other it is the heartbeat of another
 * member, to be answered on that connection.
 */
static void handle_gang_beat(struct agent *a, peer_id peer, const struct msg_gang_beat *b)
{
	g_autofree char *reply = NULL;

	if (b->job == NULL)
		return;
	if (gang_peer_addr(a, peer) != NULL) {
		agent_core_gang_beat_reply(a->core, loop_now(a->p->loop), b);
		return;
	}
	reply = g_strdup_printf("#%" G_GUINT64_FORMAT, peer);
	agent_core_gang_beat(a->core, loop_now(a->p->loop), b, reply);
}

/*
 * Returns the term of a reservation's reply, a heartbeat or a hello, and 0 for all other
 * messages to the coordinator, even if they carry a term.
 */
static uint64_t message_term(const struct msg *m)
{
	switch (m->kind) {
	case MSG_RESERVED:
		return m->reserved.term;
	case MSG_BEAT:
		return m->beat.term;
	case MSG_HELLO:
		return m->hello.term;
	default:
		return 0;
	}
}

/* Decodes a message and dispatches it by its connection and kind. */
static void on_message(void *arg, peer_id peer, const uint8_t *body, size_t len)
{
	struct agent *a = arg;
	g_autoptr(GError) err = NULL;
	struct msg m;

	if (!msg_decode(&m, body, len, &err)) {
		log_warning("agent", "Closing a peer connection that sent %s.", err->message);
		peer_close(a->net, peer);
		return;
	}
	if (a->host.coord != NULL && message_term(&m) > coord_term(a->host.coord))
		host_step_down(a, "an agent reported a higher term");
	if (link_owns_peer(a, peer))
		link_handle_message(a, loop_now(a->p->loop), &m);
	else if (m.kind == MSG_GANG_BEAT)
		handle_gang_beat(a, peer, &m.gang_beat);
	else if (m.kind == MSG_HELLO)
		handle_hello(a, peer, &m.hello);
	else if (a->host.coord != NULL && g_hash_table_contains(a->coord_peers, &peer))
		coord_message(a->host.coord, loop_now(a->p->loop), peer, &m);
	msg_clear(&m);
}

static void on_closed(void *arg, peer_id peer, const GError *why)
{
	struct agent *a = arg;
	const char *addr = gang_peer_addr(a, peer);

	(void)why;
	if (addr != NULL)
		g_hash_table_remove(a->gang_peers, addr);
	if (g_hash_table_remove(a->coord_peers, &peer) && a->host.coord != NULL)
		coord_peer_closed(a->host.coord, loop_now(a->p->loop), peer);
	if (link_owns_peer(a, peer))
		link_peer_closed(a, loop_now(a->p->loop));
}

/*
 * Hands the term over during a graceful stop, once the queued jobs have been returned to the
 * entries, except for durable jobs and jobs that ran before, which stay queued. If no other
 * agent accepts work, waits until every running job has ended and its result has been reported
 * and stored.
 */
static void check_handover(struct agent *a, int64_t now)
{
	if (a->host.coord == NULL || now < a->handover_not_before)
		return;
	/*
	 * Jobs that an agent rejected were queued again. If any are returned now, waits a tick
	 * so that the answers to the entries are sent before the connections close.
	 */
	if (coord_hand_over_queued(a->host.coord) > 0)
		return;
	if (!coord_has_successor(a->host.coord, a->name) &&
		(coord_unfinished_jobs(a->host.coord) > 0 ||
			agent_core_unacked_ends(a->core) > 0))
		return;
	host_release(a);
	host_step_down(a, "this process is stopping");
}

/* Runs the timers of the agent core and of the connection to the coordinator. */
static void on_tick(void *arg)
{
	struct agent *a = arg;
	int64_t now = loop_now(a->p->loop);

	agent_core_tick(a->core, now);
	link_tick(a, now);
	if (a->stopping)
		check_handover(a, now);
	__atomic_store_n(
		&a->ready, a->link.state == LINK_READY && !a->stopping, __ATOMIC_RELAXED);
}

/* Opens the peer and HTTP listeners and derives the agent's address and name. */
static bool open_listeners(struct agent *a, GError **err)
{
	struct http_limits limits = {.body_max = HTTP_BODY_MAX_BYTES,
		.connections_max = HTTP_CONNECTIONS_MAX,
		.idle_timeout_s = 30,
		.threads = 1};
	struct options *o = a->p->options;
	g_autofree char *bound = NULL;

	bound = peer_listen(a->net, options_string(o, "peer"), err);
	if (bound == NULL)
		return false;
	a->addr = xstrdup(
		*options_string(o, "advertise") ? options_string(o, "advertise") : bound);
	a->name = xstrdup(*options_string(o, "name") ? options_string(o, "name") : a->addr);
	a->http = http_server_new(
		options_string(o, "agent-http"), &limits, upstream_handle_request, a, err);
	return a->http != NULL;
}

struct agent *agent_new(struct process *p, GError **err)
{
	struct agent *a = xcalloc(1, sizeof(*a));
	struct peer_events events = {on_opened, on_message, on_closed, a};
	/* Callbacks to the connections and the upstream, not network ports. */
	struct agent_ports ports = {
		send_to_coord, send_to_gang_agent, upstream_start_task, upstream_stop_task, a};

	a->p = p;
	a->cell = xstrdup(options_string(p->options, "cell"));
	a->lease_ns = options_number(p->options, "lease");
	a->incarnation = random_u64();
	a->net = peer_net_new(p->loop, p->keys, &events);
	a->client = http_client_new(p->loop);
	a->core = agent_core_new(&ports);
	a->gang_peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->coord_peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (!open_listeners(a, err)) {
		agent_free(a);
		return NULL;
	}
	a->tick_timer =
		loop_timer_add(p->loop, AGENT_TICK_PERIOD_NS, AGENT_TICK_PERIOD_NS, on_tick, a);
	log_info("agent", "Agent %s of cell %s is listening. peers=%s upstream=%s", a->name,
		a->cell, a->addr, http_server_addr(a->http));
	return a;
}

/* Begins a graceful stop: accepts no new work and lets running tasks finish. */
void agent_stop(struct agent *a)
{
	int64_t now = loop_now(a->p->loop);

	a->stopping = true;
	a->handover_not_before = now + HANDOVER_DELAY_NS;
	agent_core_drain(a->core);
	/* Tells the coordinator that this worker accepts no new work. */
	agent_core_report(a->core, now);
	if (a->host.coord != NULL)
		coord_hand_over_queued(a->host.coord);
}

/*
 * Whether no coordinator is hosted, no member is left (reserved, running or stopping), and a
 * coordinator has acknowledged every result: an unacknowledged result would be lost when this
 * process exits.
 */
bool agent_idle(const struct agent *a)
{
	return a->host.coord == NULL && agent_core_live_members(a->core) == 0 &&
	       agent_core_unacked_ends(a->core) == 0;
}

/* "running" counts all members that have not ended, reserved and stopping ones included. */
char *agent_describe_pending(const struct agent *a)
{
	return g_strdup_printf("coordinates=%d running=%zu unacknowledged=%zu",
		a->host.coord != NULL, agent_core_live_members(a->core),
		agent_core_unacked_ends(a->core));
}

/* Refuses requests from now on; once this returns, none is being handled. */
void agent_refuse(struct agent *a)
{
	http_server_refuse(a->http);
}

/* Stops at once and frees the agent, releasing the lease if it coordinates. */
void agent_free(struct agent *a)
{
	if (a == NULL)
		return;
	host_release(a);
	host_clear(a);
	loop_timer_del(a->p->loop, a->tick_timer);
	http_server_free(a->http);
	http_client_free(a->client);
	peer_net_free(a->net);
	agent_core_free(a->core);
	g_hash_table_destroy(a->gang_peers);
	g_hash_table_destroy(a->coord_peers);
	link_clear(a);
	free(a->cell);
	free(a->name);
	free(a->addr);
	free(a);
}

/* Returns the address on which the upstream announces itself. */
const char *agent_http_addr(const struct agent *a)
{
	return http_server_addr(a->http);
}

/* Creates a coordinator that communicates through this agent's connections. */
struct coord *agent_create_coord(struct agent *a)
{
	/* Callbacks to the connections, not network ports. */
	struct coord_ports ports = {coord_send_peer, coord_close_peer, a};

	return coord_new(a->cell, &ports);
}

#include "agent-private.h"

#include <stdlib.h>
#include <string.h>

#define HAND_OVER_TIME	 (300 * NSEC_PER_MSEC)
#define HTTP_BODY_MAX	 65536
#define HTTP_CONNECTIONS 64

/* Encode and send a message. */
bool agent_send_peer(struct agent *a, peer_id peer, const struct msg *m)
{
	struct bytes b = msg_encode(m);
	bool ok = peer_send(a->net, peer, b.data, b.len);

	bytes_clear(&b);
	return ok;
}

/* The agent core's way to the coordinator. */
static void port_send(void *arg, const struct msg *m)
{
	link_send(arg, m);
}

/* The connection to another agent of a gang, made when needed. */
static peer_id gang_peer(struct agent *a, const char *addr)
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

/* The agent core's way to other agents; "#N" answers on an open connection. */
static void port_send_gang(void *arg, const char *addr, const struct msg *m)
{
	struct agent *a = arg;

	if (addr[0] == '#')
		agent_send_peer(a, strtoull(addr + 1, NULL, 10), m);
	else
		agent_send_peer(a, gang_peer(a, addr), m);
}

/* The coordinator's way to its peers. */
static bool coord_port_send(void *arg, peer_id peer, const struct msg *m)
{
	return agent_send_peer(arg, peer, m);
}

static void coord_port_close(void *arg, peer_id peer)
{
	peer_close(((struct agent *)arg)->net, peer);
}

/* Where a gang's connection goes; NULL if it is not one. */
static const char *gang_addr(struct agent *a, peer_id peer)
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

/* A connection is open. */
static void on_opened(void *arg, peer_id peer, bool dialled)
{
	struct agent *a = arg;

	(void)dialled;
	if (link_owns_peer(a, peer))
		link_peer_opened(a);
}

/* A peer introduced itself to us. */
static void on_hello(struct agent *a, peer_id peer, const struct msg_hello *h)
{
	struct msg no = {.kind = MSG_WELCOME, .welcome = {.cell = a->cell}};

	if (a->host.coord != NULL) {
		g_hash_table_add(a->coord_peers, g_memdup2(&peer, sizeof(peer)));
		coord_hello(a->host.coord, loop_now(a->p->loop), peer, h);
		return;
	}
	agent_send_peer(a, peer, &no);
}

/* A beat of another member of a gang, or the answer to ours. */
static void on_gang_beat(struct agent *a, peer_id peer, const struct msg_gang_beat *b)
{
	g_autofree char *reply = NULL;

	if (b->job == NULL)
		return;
	if (gang_addr(a, peer) != NULL) {
		agent_core_gang_answer(a->core, loop_now(a->p->loop), b);
		return;
	}
	reply = g_strdup_printf("#%" G_GUINT64_FORMAT, peer);
	agent_core_gang_beat(a->core, loop_now(a->p->loop), b, reply);
}

/* The term that a message carries to a coordinator; 0 for none. */
static uint64_t seen_term(const struct msg *m)
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

/* A message came. */
static void on_message(void *arg, peer_id peer, const uint8_t *body, size_t len)
{
	struct agent *a = arg;
	g_autoptr(GError) err = NULL;
	struct msg m;

	if (!msg_decode(&m, body, len, &err)) {
		log_warning("agent", "A peer sent %s.", err->message);
		peer_close(a->net, peer);
		return;
	}
	if (a->host.coord != NULL && seen_term(&m) > coord_term(a->host.coord))
		host_step_down(a, "an agent has seen a higher term");
	if (link_owns_peer(a, peer))
		link_handle_message(a, loop_now(a->p->loop), &m);
	else if (m.kind == MSG_GANG_BEAT)
		on_gang_beat(a, peer, &m.gang_beat);
	else if (m.kind == MSG_HELLO)
		on_hello(a, peer, &m.hello);
	else if (a->host.coord != NULL && g_hash_table_contains(a->coord_peers, &peer))
		coord_message(a->host.coord, loop_now(a->p->loop), peer, &m);
	msg_clear(&m);
}

/* A connection is gone. */
static void on_closed(void *arg, peer_id peer, const GError *why)
{
	struct agent *a = arg;
	const char *addr = gang_addr(a, peer);

	(void)why;
	if (addr != NULL)
		g_hash_table_remove(a->gang_peers, addr);
	if (g_hash_table_remove(a->coord_peers, &peer) && a->host.coord != NULL)
		coord_closed(a->host.coord, loop_now(a->p->loop), peer);
	if (link_owns_peer(a, peer))
		link_peer_closed(a, loop_now(a->p->loop));
}

/*
 * While stopping as the coordinator: let another agent coordinate once the entries have their
 * jobs back. Where no other agent takes work, go on until all that runs has been reported and
 * stored.
 */
static void tick_hand_over(struct agent *a, int64_t now)
{
	if (a->host.coord == NULL || now < a->handover_at)
		return;
	/* Jobs that an agent has refused wait again; their return takes until the next tick. */
	if (coord_return_waiting(a->host.coord) > 0)
		return;
	if (!coord_has_successor(a->host.coord, a->name) &&
		(coord_open_jobs(a->host.coord) > 0 || agent_core_unacked(a->core) > 0))
		return;
	host_release(a);
	host_step_down(a, "this process is stopping");
}

/* Twice a second. */
static void on_tick(void *arg)
{
	struct agent *a = arg;
	int64_t now = loop_now(a->p->loop);

	agent_core_tick(a->core, now);
	link_tick(a, now);
	if (a->stopping)
		tick_hand_over(a, now);
	__atomic_store_n(
		&a->ready, a->link.state == LINK_READY && !a->stopping, __ATOMIC_RELAXED);
}

/* Start to listen. */
static bool open_agent(struct agent *a, GError **err)
{
	struct http_limits limits = {.body_max = HTTP_BODY_MAX,
		.connections_max = HTTP_CONNECTIONS,
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

/* Start an agent. */
struct agent *agent_new(struct process *p, GError **err)
{
	struct agent *a = xcalloc(1, sizeof(*a));
	struct peer_events events = {on_opened, on_message, on_closed, a};
	struct agent_ports ports = {
		port_send, port_send_gang, upstream_start_task, upstream_stop_task, a};

	a->p = p;
	a->cell = xstrdup(options_string(p->options, "cell"));
	a->lease_ns = options_number(p->options, "lease");
	a->incarnation = random_u64();
	a->net = peer_net_new(p->loop, p->keys, &events);
	a->client = http_client_new(p->loop);
	a->core = agent_core_new(&ports);
	a->gang_peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->coord_peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (!open_agent(a, err)) {
		agent_free(a);
		return NULL;
	}
	a->tick_timer =
		loop_timer_add(p->loop, AGENT_TICK_PERIOD_NS, AGENT_TICK_PERIOD_NS, on_tick, a);
	log_info("agent", "Agent %s of cell %s is up. peers=%s upstream=%s", a->name, a->cell,
		a->addr, http_server_addr(a->http));
	return a;
}

/* Begin a graceful stop: no new work; what runs is finished. */
void agent_stop(struct agent *a)
{
	int64_t now = loop_now(a->p->loop);

	a->stopping = true;
	a->handover_at = now + HAND_OVER_TIME;
	agent_core_drain(a->core);
	agent_core_report(a->core, now);
	if (a->host.coord != NULL)
		coord_return_waiting(a->host.coord);
}

/*
 * Whether nothing runs any more and a coordinator has every result: one that no coordinator
 * has heard of would be lost with this process.
 */
bool agent_idle(const struct agent *a)
{
	return a->host.coord == NULL && agent_core_live(a->core) == 0 &&
	       agent_core_unacked(a->core) == 0;
}

/* What keeps a stopping agent from ending, for the log. */
char *agent_describe_pending(const struct agent *a)
{
	return g_strdup_printf("coordinates=%d running=%zu unacknowledged=%zu",
		a->host.coord != NULL, agent_core_live(a->core), agent_core_unacked(a->core));
}

/* Stop at once. */
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

/* Where the upstream announces itself. */
const char *agent_http_addr(const struct agent *a)
{
	return http_server_addr(a->http);
}

/* The ports of a coordinator hosted here. */
struct coord *agent_create_coord(struct agent *a)
{
	struct coord_ports ports = {coord_port_send, coord_port_close, a};

	return coord_new(a->cell, &ports);
}

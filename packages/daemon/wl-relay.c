#include "wl-daemon.h"

#include <stdlib.h>

/*
 * Relays the store calls of other processes, which reach the store through this one (see
 * wl-detour.c). Each takes memory and a connection to the store until it is answered, so their
 * number and bytes are bounded in all and per peer. A call beyond the bounds is answered with
 * 503, which proves to its sender that it was not carried out.
 */

COUNTER(refused_total, "damaskpath_relay_refused_total",
	"Store calls of other processes that were refused, as too many were under way.");

/* Parts of the connections that descriptors allow. */
#define CALLS_DIVISOR	   4
#define PEER_CALLS_DIVISOR 8
/* The store usually answers in 4 ms, so an entry has a few calls under way, 100 at 500 ms. */
#define PEER_CALLS_MAX 256
/* For settings with fewer descriptors than any machine has. */
#define PEER_CALLS_MIN 8
/* Part of the budget that the calls of one peer may take. */
#define PEER_BYTES_DIVISOR 2
/* Memory of a call besides its body: its transfer, and the answer, which is usually small. */
#define CALL_OVERHEAD ((size_t)32 * 1024)

/* Longer than entries wait; one that never ends would keep its memory. */
#define TIMEOUT_MAX_MS 5000

/* What a peer has under way; exists while that is anything. */
struct relay_peer {
	peer_id peer;
	unsigned int calls;
	size_t bytes;
};

struct wl_relay {
	struct wl_process *p;
	struct peer_net *net;
	unsigned int calls;
	GHashTable *peers; /* relay_peers by handle */
};

struct relayed_call {
	struct wl_relay *relay;
	peer_id peer;
	uint64_t number;
	size_t bytes; /* taken from the budget */
};

static void send_reply(struct wl_relay *r, peer_id peer, uint64_t number, int status,
	const struct bytes *answer)
{
	const struct wl_msg m = {.kind = WL_MSG_STORE_REPLY,
		.store_reply = {.number = number, .status = (uint32_t)status, .body = *answer}};
	struct bytes out = wl_msg_encode(&m);

	peer_send(r->net, peer, out.data, out.len);
	bytes_clear(&out);
}

/* Ends a call: frees it and what it has taken. */
static void call_end(struct relayed_call *c)
{
	struct wl_relay *r = c->relay;
	struct relay_peer *p = g_hash_table_lookup(r->peers, &c->peer);

	budget_give_back(r->p->budget, c->bytes);
	r->calls--;
	p->calls--;
	p->bytes -= c->bytes;
	if (p->calls == 0)
		g_hash_table_remove(r->peers, &c->peer);
	free(c);
}

static void on_answer(int status, const struct bytes *answer, void *arg)
{
	struct relayed_call *c = arg;

	send_reply(c->relay, c->peer, c->number, status, answer);
	call_end(c);
}

/* Counts a call and takes its memory; NULL if that is beyond the bounds. */
static struct relayed_call *call_new(struct wl_relay *r, peer_id peer, size_t bytes)
{
	unsigned int peer_calls_max = CLAMP(
		r->p->connections_max / PEER_CALLS_DIVISOR, PEER_CALLS_MIN, PEER_CALLS_MAX);
	size_t peer_bytes_max = budget_max(r->p->budget) / PEER_BYTES_DIVISOR;
	struct relay_peer *p = g_hash_table_lookup(r->peers, &peer);
	struct relayed_call *c;

	if (r->calls >= MAX(r->p->connections_max / CALLS_DIVISOR, PEER_CALLS_MIN) ||
		(p != NULL && p->calls >= peer_calls_max) ||
		bytes > peer_bytes_max - (p != NULL ? p->bytes : 0) ||
		!budget_take(r->p->budget, bytes))
		return NULL;
	if (p == NULL) {
		p = xcalloc(1, sizeof(*p));
		p->peer = peer;
		g_hash_table_insert(r->peers, &p->peer, p);
	}
	r->calls++;
	p->calls++;
	p->bytes += bytes;
	c = xcalloc(1, sizeof(*c));
	c->relay = r;
	c->peer = peer;
	c->bytes = bytes;
	return c;
}

void wl_relay_call(struct wl_relay *r, peer_id peer, const struct wl_store_call *s)
{
	const struct bytes none = {0};
	struct relayed_call *c = call_new(r, peer, s->body.len + CALL_OVERHEAD);

	if (c == NULL) {
		counter_add(&refused_total, 1);
		event_log(EV_CLIENT_LIMIT,
			"cause=relay addr=- listener=peers bytes=%zu connections=%u",
			s->body.len, r->calls);
		send_reply(r, peer, s->number, 503, &none);
		return;
	}
	c->number = s->number;
	pf_store_forward(r->p->kv, s->method ? s->method : "", s->path ? s->path : "", &s->body,
		(int64_t)CLAMP(s->timeout_ms, 1, TIMEOUT_MAX_MS) * NSEC_PER_MSEC, on_answer, c);
}

struct wl_relay *wl_relay_new(struct wl_process *p, struct peer_net *net)
{
	struct wl_relay *r = xcalloc(1, sizeof(*r));

	r->p = p;
	r->net = net;
	r->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	return r;
}

/* To be called only while no calls are under way, as when the agent's start has failed. */
void wl_relay_free(struct wl_relay *r)
{
	if (r == NULL)
		return;
	g_hash_table_destroy(r->peers);
	free(r);
}

#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Detour: relays an entry's store calls through the coordinator's process when the store has
 * just refused this VM's calls, or not answered them, or has been silent for some time
 * (pf-store.c). The coordinator is likely to reach the store, as it would lose its term
 * otherwise. Its address is read from the store periodically, and a connection to it is kept
 * open, because a call that the store has just refused has no time left to wait for one.
 */

COUNTER(detour_links_total, "damaskpath_detour_links_total",
	"Connections opened for a detour.");

/*
 * Period of reading the address. These reads are KV_READ_STALE and so never take the detour:
 * while it is in use, they also show whether the store serves this VM again.
 */
#define ADDR_READ_PERIOD NSEC_PER_SEC
/* Also the least time between two attempts to connect. */
#define CONNECT_TIMEOUT (500 * NSEC_PER_MSEC)
#define TICK_PERIOD	(100 * NSEC_PER_MSEC)

/* A call that was sent to the coordinator's process and has no reply yet. */
struct detour_call {
	uint64_t number;
	int64_t deadline;
	pf_detour_fn *fn;
	void *arg;
};

struct wl_detour {
	struct wl_process *p;
	struct peer_net *net;
	struct loop_timer *timer;
	char *addr;
	peer_id peer;
	bool connected;
	int64_t connect_started_at;
	int64_t addr_read_sent_at;
	bool addr_read_in_flight;
	int64_t odd_revision; /* the last one at which the key named no coordinator */
	uint64_t last_call_number;
	GArray *calls; /* detour_calls in progress */
};

/* Fails the calls whose deadline is at or before now; returns how many there were. */
static guint expire_calls(struct wl_detour *d, int64_t now)
{
	const struct bytes none = {0};
	guint ended = 0;

	for (guint i = 0; i < d->calls->len;) {
		struct detour_call c = g_array_index(d->calls, struct detour_call, i);

		if (c.deadline > now) {
			i++;
			continue;
		}
		g_array_remove_index(d->calls, i);
		c.fn(0, &none, c.arg);
		ended++;
	}
	return ended;
}

/* Closes the connection and fails all its calls. */
static void disconnect(struct wl_detour *d)
{
	peer_id peer = d->peer;

	d->peer = PEER_NONE;
	d->connected = false;
	if (peer != PEER_NONE)
		peer_close(d->net, peer);
	expire_calls(d, INT64_MAX);
}

/* Takes the coordinator's address from the store; a changed one drops the old connection. */
static void on_addr_read(const struct kv_result *r, void *arg)
{
	struct wl_detour *d = arg;

	d->addr_read_in_flight = false;
	if (r->status != KV_OK || r->items_len == 0)
		return;
	if (!wl_names_coordinator(&r->items[0])) {
		if (r->items[0].revision != d->odd_revision)
			event_log(EV_BAD_INPUT, "from=store what=\"%s\"", r->items[0].key);
		d->odd_revision = r->items[0].revision;
		return;
	}
	if (d->addr != NULL && strlen(d->addr) == r->items[0].value.len &&
		memcmp(d->addr, r->items[0].value.data, r->items[0].value.len) == 0)
		return;
	disconnect(d);
	free(d->addr);
	d->addr = xcalloc(1, r->items[0].value.len + 1);
	memcpy(d->addr, r->items[0].value.data, r->items[0].value.len);
}

/* Reads the address when due, expires calls and reconnects. */
static void on_tick(void *arg)
{
	struct wl_detour *d = arg;
	int64_t now = loop_now(d->p->loop);

	if (!d->addr_read_in_flight && now - d->addr_read_sent_at >= ADDR_READ_PERIOD) {
		d->addr_read_in_flight = true;
		d->addr_read_sent_at = now;
		kv_get(d->p->kv, KEY_COORDINATOR_ADDR, KV_READ_STALE, on_addr_read, d);
	}
	/* A connection on which a call expires may be dead without having been reset. */
	if (expire_calls(d, now) > 0 || (d->peer != PEER_NONE && !d->connected &&
						now - d->connect_started_at > CONNECT_TIMEOUT))
		disconnect(d);
	if (d->peer == PEER_NONE && d->addr != NULL &&
		now - d->connect_started_at >= CONNECT_TIMEOUT) {
		counter_add(&detour_links_total, 1);
		d->connect_started_at = now;
		d->peer = peer_dial(d->net, d->addr, NULL);
	}
}

/* Whether the connection to the coordinator's process is open. */
static bool detour_is_open(void *arg)
{
	return ((struct wl_detour *)arg)->connected;
}

/* Sends a call; it fails with status 0 if no reply arrives within timeout. */
static void detour_send(void *arg, const char *method, const char *path,
	const struct bytes *body, int64_t timeout, pf_detour_fn *fn, void *fn_arg)
{
	struct wl_detour *d = arg;
	int64_t now = loop_now(d->p->loop);
	struct detour_call c = {.number = ++d->last_call_number,
		.deadline = now + timeout,
		.fn = fn,
		.arg = fn_arg};
	const struct wl_msg m = {.kind = WL_MSG_STORE_CALL,
		.store_call = {.number = c.number,
			.method = (char *)method,
			.path = (char *)path,
			.body = *body,
			.timeout_ms = (uint32_t)(timeout / NSEC_PER_MSEC)}};
	struct bytes out = wl_msg_encode(&m);

	g_array_append_val(d->calls, c);
	peer_send(d->net, d->peer, out.data, out.len);
	bytes_clear(&out);
}

/*
 * The watch of the coordinator may hear nothing for a while, or its connection may be dead. The
 * note only makes the coordinator read the key: what counts is what the store holds.
 */
void wl_detour_note_stored(struct wl_detour *d, const char *key)
{
	const struct wl_msg m = {.kind = WL_MSG_INBOX_NOTE, .inbox_note = {.key = (char *)key}};
	struct bytes out;

	if (!d->connected)
		return;
	out = wl_msg_encode(&m);
	peer_send(d->net, d->peer, out.data, out.len);
	bytes_clear(&out);
}

/*
 * Sends a note of no key, which has no effect but that the other end knows that this process
 * has the key of the peers. Connections that may not have it are closed first when there are
 * too many, and this one may have no call to send for hours.
 */
static void prove_key(struct wl_detour *d)
{
	wl_detour_note_stored(d, NULL);
}

static void on_opened(void *arg, peer_id peer, bool dialled)
{
	struct wl_detour *d = arg;

	if (!dialled || peer != d->peer)
		return;
	d->connected = true;
	event_log(EV_DETOUR, "addr=%s open=1", d->addr);
	prove_key(d);
}

/* Completes the call to which the reply belongs; a late reply matches none and is ignored. */
static void on_message(void *arg, peer_id peer, const uint8_t *body, size_t len)
{
	struct wl_detour *d = arg;
	struct wl_msg m = {0};
	g_autoptr(GError) err = NULL;

	if (!wl_msg_decode(&m, body, len, &err)) {
		event_log(EV_BAD_INPUT, "from=peer what=\"%s\"", err->message);
		return;
	}
	for (guint i = 0; peer == d->peer && m.kind == WL_MSG_STORE_REPLY && i < d->calls->len;
		i++) {
		struct detour_call c = g_array_index(d->calls, struct detour_call, i);

		if (c.number != m.store_reply.number)
			continue;
		g_array_remove_index(d->calls, i);
		c.fn((int)m.store_reply.status, &m.store_reply.body, c.arg);
		break;
	}
	wl_msg_clear(&m);
}

static void on_closed(void *arg, peer_id peer, const GError *why)
{
	struct wl_detour *d = arg;

	if (peer != d->peer || peer == PEER_NONE)
		return;
	event_log(EV_DETOUR, "addr=%s open=0 why=\"%s\"", d->addr,
		why != NULL ? why->message : "closed");
	disconnect(d);
}

/* Creates the detour and registers it with the process's store client. */
struct wl_detour *wl_detour_new(struct wl_process *p)
{
	struct wl_detour *d = xcalloc(1, sizeof(*d));
	const struct peer_events events = {
		.opened = on_opened, .message = on_message, .closed = on_closed, .arg = d};
	const struct pf_detour detour = {
		.relay_available = detour_is_open, .send = detour_send, .arg = d};

	d->p = p;
	d->net = peer_net_new(p->loop, p->keys, &events);
	peer_net_set_limits(d->net, p->budget, p->connections_max);
	d->calls = g_array_new(FALSE, FALSE, sizeof(struct detour_call));
	d->connect_started_at = -CONNECT_TIMEOUT;
	d->addr_read_sent_at = -ADDR_READ_PERIOD;
	d->timer = loop_timer_add(p->loop, TICK_PERIOD, TICK_PERIOD, on_tick, d);
	pf_store_set_detour(p->kv, &detour);
	return d;
}

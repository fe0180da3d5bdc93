#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * An entry's way round to a store that does not serve its VM: the coordinator has to reach the
 * store to be one, so its process carries the entry's calls. Its address is read from the store
 * now and then; a connection is kept open, as the first refused call has no time to wait for
 * one.
 */

COUNTER(detour_links_total, "damaskpath_detour_links_total",
	"Connections opened for a detour.");

/* The address may be so old; while the store does not answer this is also the probe of it. */
#define LOOK_PERIOD NSEC_PER_SEC
#define DIAL_LIMIT  (500 * NSEC_PER_MSEC)
#define TICK	    (100 * NSEC_PER_MSEC)

/* A call on its way through the coordinator's process. */
struct detour_call {
	uint64_t number;
	int64_t until;
	pf_detour_fn *fn;
	void *arg;
};

struct wl_detour {
	struct wl_process *p;
	struct peer_net *net;
	struct loop_timer *timer;
	char *addr;
	peer_id peer;
	bool is_open;
	int64_t dialled_at;
	int64_t looked_at;
	bool looking;
	uint64_t number;
	GArray *calls;
};

/* End calls: all, or those whose time is over; how many. */
static guint end_calls(struct wl_detour *d, int64_t until)
{
	const struct bytes none = {0};
	guint ended = 0;

	for (guint i = 0; i < d->calls->len;) {
		struct detour_call c = g_array_index(d->calls, struct detour_call, i);

		if (c.until > until) {
			i++;
			continue;
		}
		g_array_remove_index(d->calls, i);
		c.fn(0, &none, c.arg);
		ended++;
	}
	return ended;
}

/* Give the connection up. */
static void drop(struct wl_detour *d)
{
	peer_id peer = d->peer;

	d->peer = PEER_NONE;
	d->is_open = false;
	if (peer != PEER_NONE)
		peer_close(d->net, peer);
	end_calls(d, INT64_MAX);
}

/* The store names the coordinator. */
static void looked(const struct kv_result *r, void *arg)
{
	struct wl_detour *d = arg;

	d->looking = false;
	if (r->status != KV_OK || r->items_len == 0)
		return;
	if (d->addr != NULL && strlen(d->addr) == r->items[0].value.len &&
		memcmp(d->addr, r->items[0].value.data, r->items[0].value.len) == 0)
		return;
	drop(d);
	free(d->addr);
	d->addr = xcalloc(1, r->items[0].value.len + 1);
	memcpy(d->addr, r->items[0].value.data, r->items[0].value.len);
}

/* Look the address up, end calls whose time is over, keep the connection open. */
static void tick(void *arg)
{
	struct wl_detour *d = arg;
	int64_t now = loop_now(d->p->loop);

	if (!d->looking && now - d->looked_at >= LOOK_PERIOD) {
		d->looking = true;
		d->looked_at = now;
		kv_get(d->p->kv, KEY_LEAD, KV_READ_STALE, looked, d);
	}
	/* A connection that brings no answer may be dead without a reset. */
	if (end_calls(d, now) > 0 ||
		(d->peer != PEER_NONE && !d->is_open && now - d->dialled_at > DIAL_LIMIT))
		drop(d);
	if (d->peer == PEER_NONE && d->addr != NULL && now - d->dialled_at >= DIAL_LIMIT) {
		counter_add(&detour_links_total, 1);
		d->dialled_at = now;
		d->peer = peer_dial(d->net, d->addr, NULL);
	}
}

/* Whether calls can go this way. */
static bool detour_open(void *arg)
{
	return ((struct wl_detour *)arg)->is_open;
}

/* Send a call; without an answer in its time it ends as that. */
static void detour_send(void *arg, const char *method, const char *path,
	const struct bytes *body, int64_t timeout, pf_detour_fn *fn, void *fn_arg)
{
	struct wl_detour *d = arg;
	int64_t now = loop_now(d->p->loop);
	struct detour_call c = {
		.number = ++d->number, .until = now + timeout, .fn = fn, .arg = fn_arg};
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

/* The connection is open. */
static void on_opened(void *arg, peer_id peer, bool dialled)
{
	struct wl_detour *d = arg;

	if (!dialled || peer != d->peer)
		return;
	d->is_open = true;
	event_log(EV_DETOUR, "addr=%s open=1", d->addr);
}

/* An answer that the coordinator's process brings. */
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

/* The connection is gone. */
static void on_closed(void *arg, peer_id peer, const GError *why)
{
	struct wl_detour *d = arg;

	if (peer != d->peer || peer == PEER_NONE)
		return;
	event_log(EV_DETOUR, "addr=%s open=0 why=\"%s\"", d->addr,
		why != NULL ? why->message : "closed");
	drop(d);
}

/* Give the process's store client a way round. */
struct wl_detour *wl_detour_new(struct wl_process *p)
{
	struct wl_detour *d = xcalloc(1, sizeof(*d));
	const struct peer_events events = {
		.opened = on_opened, .message = on_message, .closed = on_closed, .arg = d};
	const struct pf_detour way = {.open = detour_open, .send = detour_send, .arg = d};

	d->p = p;
	d->net = peer_net_new(p->loop, p->keys, &events);
	d->calls = g_array_new(FALSE, FALSE, sizeof(struct detour_call));
	d->dialled_at = -DIAL_LIMIT;
	d->looked_at = -LOOK_PERIOD;
	d->timer = loop_timer_add(p->loop, TICK, TICK, tick, d);
	pf_store_set_detour(p->kv, &way);
	return d;
}

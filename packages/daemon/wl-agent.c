#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * The agent of a VM: follows the coordinator that the store names, and becomes it where the
 * store names none. With a coordinator that answers it makes no calls to the store.
 */

COUNTER(takeovers_total, "damaskpath_takeovers_total", "Terms taken by this process.");
COUNTER(links_lost_total, "damaskpath_links_lost_total",
	"Coordinators that went out of reach.");

#define TICK (100 * NSEC_PER_MSEC)
/* A coordinator that has not answered a report for so long is looked up again. */
#define LINK_SILENCE (2500 * NSEC_PER_MSEC)
/* One whose term the store has not confirmed for so long may have been replaced. */
#define TERM_OLD   (2000 * NSEC_PER_MSEC)
#define ASK_PERIOD (400 * NSEC_PER_MSEC)
/* Without a report for so long the coordinator is asked whether it is alive. */
#define PING_PERIOD (700 * NSEC_PER_MSEC)
#define DIAL_LIMIT  (1000 * NSEC_PER_MSEC)
/* Agents that find no coordinator do not all try to become it in one moment. */
#define CAMPAIGN_SPREAD (150 * NSEC_PER_MSEC)
/* The lease of the coordinator's key: what an outage of it costs before another takes over. */
#define LEASE_MS 2500

enum link_state {
	LINK_NONE,
	LINK_DIALLING,
	LINK_OPEN
};

struct wl_agent {
	struct wl_process *p;
	struct peer_net *net;
	struct wl_worker *worker;
	struct wl_coord *coord;
	struct loop_timer *timer;
	char *addr;
	bool stopping;
	/* The coordinator that we follow. */
	enum link_state state;
	peer_id peer;
	char *lead;
	uint64_t term;
	int64_t dialled_at;
	int64_t heard;
	int64_t sent;
	int64_t term_age;
	/* Calls to the store. */
	bool asking;
	int64_t asked;
	int64_t campaign_at;
	int64_t term_revision;
	uint64_t term_stored;
	int64_t lease;
};

static int64_t now_of(const struct wl_agent *a)
{
	return loop_now(a->p->loop);
}

/* Send a message to the coordinator. */
static void send_lead(struct wl_agent *a, const struct wl_msg *m)
{
	struct bytes body;

	if (a->state != LINK_OPEN)
		return;
	if (m->kind == WL_MSG_REPORT || m->kind == WL_MSG_PING)
		a->sent = now_of(a);
	body = wl_msg_encode(m);
	peer_send(a->net, a->peer, body.data, body.len);
	bytes_clear(&body);
}

/* The worker's events go to the coordinator. */
static void on_report(const struct wl_report *r, void *arg)
{
	struct wl_msg m = {.kind = WL_MSG_REPORT, .report = *r};

	send_lead(arg, &m);
}

static void on_answer(const struct wl_answer_note *n, void *arg)
{
	struct wl_msg m = {.kind = WL_MSG_ANSWER, .answer = *n};

	send_lead(arg, &m);
}

/* Leave the coordinator. */
static void link_drop(struct wl_agent *a, const char *why)
{
	peer_id peer = a->peer;

	if (a->state == LINK_NONE)
		return;
	if (a->state == LINK_OPEN) {
		counter_add(&links_lost_total, 1);
		event_log(EV_LINK_LOST, "addr=%s why=\"%s\" silent_ms=%" PRId64, a->lead, why,
			(now_of(a) - a->heard) / NSEC_PER_MSEC);
	}
	a->state = LINK_NONE;
	a->peer = PEER_NONE;
	peer_close(a->net, peer);
}

static void on_fenced(void *arg)
{
	struct wl_agent *a = arg;

	link_drop(a, "the worker has seen a higher term");
	wl_worker_set_term(a->worker, 0);
}

/* Connect to the coordinator at an address. */
static void dial(struct wl_agent *a, const char *addr)
{
	g_autoptr(GError) err = NULL;
	char *copy = xstrdup(addr);

	link_drop(a, "another coordinator");
	free(a->lead);
	a->lead = copy;
	a->peer = peer_dial(a->net, copy, &err);
	if (a->peer == PEER_NONE)
		return;
	a->state = LINK_DIALLING;
	a->dialled_at = now_of(a);
}

static void campaign(struct wl_agent *a);

/* The coordinator's part of us lost its term; freed outside of its own calls. */
static void coord_gone(void *arg)
{
	struct wl_agent *a = arg;

	if (a->coord == NULL)
		return;
	wl_coord_free(a->coord);
	a->coord = NULL;
	a->lease = 0;
	if (a->lead != NULL && strcmp(a->lead, a->addr) == 0)
		link_drop(a, "its term is over");
}

static void on_coord_lost(void *arg)
{
	struct wl_agent *a = arg;

	loop_post(a->p->loop, coord_gone, a);
}

/* The term is ours. */
static void won(struct wl_agent *a, uint64_t term, int64_t revision)
{
	const struct wl_coord_events ev = {.lost = on_coord_lost, .arg = a};

	counter_add(&takeovers_total, 1);
	a->term_revision = revision;
	a->term_stored = term;
	a->coord = wl_coord_new(a->p, term, revision, a->lease, &ev);
	dial(a, a->addr);
}

/* The number in a term's record. */
static uint64_t term_of(const struct kv_item *it)
{
	g_autofree char *text = g_strndup(it->value.data ? it->value.data : "", it->value.len);

	return g_ascii_strtoull(text, NULL, 10);
}

/* The store answered to our attempt to take the term. */
static void campaigned(const struct kv_result *r, void *arg)
{
	struct wl_agent *a = arg;

	a->asking = false;
	if (r->status == KV_OK) {
		if (!a->stopping && a->coord == NULL)
			won(a, a->term_stored + 1, r->at);
		return;
	}
	for (size_t i = 0; r->status == KV_CONFLICT && i < r->items_len; i++) {
		const struct kv_item *it = &r->items[i];

		if (strcmp(it->key, KEY_TERM) == 0) {
			a->term_revision = it->revision;
			a->term_stored = term_of(it);
		} else if (strcmp(it->key, KEY_COORDINATOR_ADDR) == 0 && it->revision > 0) {
			g_autofree char *addr = g_strndup(it->value.data, it->value.len);

			dial(a, addr);
			return;
		}
	}
	/* Without an answer the term may be ours: its lease must not be used again. */
	if (r->status == KV_UNSURE || r->status == KV_MISSING)
		a->lease = 0;
	else if (r->status == KV_CONFLICT && !a->stopping)
		campaign(a);
}

/* Write the next term and our address, where nobody has. */
static void write_term(struct wl_agent *a)
{
	g_autofree char *term = g_strdup_printf("%" PRIu64, a->term_stored + 1);
	struct kv_txn t = {.expect_len = 2, .write_len = 2};

	t.expect[0] = (struct kv_expect){KEY_COORDINATOR_ADDR, 0};
	t.expect[1] = (struct kv_expect){KEY_TERM, a->term_revision};
	t.write[0] = (struct kv_write){KEY_TERM, term, strlen(term), 0};
	t.write[1] =
		(struct kv_write){KEY_COORDINATOR_ADDR, a->addr, strlen(a->addr), a->lease};
	a->asking = true;
	a->asked = now_of(a);
	kv_commit(a->p->kv, &t, campaigned, a);
}

/* The store granted a lease, or not. */
static void granted(const struct kv_result *r, void *arg)
{
	struct wl_agent *a = arg;

	a->asking = false;
	if (r->status != KV_OK || a->stopping || a->coord != NULL)
		return;
	a->lease = r->lease;
	write_term(a);
}

/* Try to become the coordinator. */
static void campaign(struct wl_agent *a)
{
	if (a->asking || a->coord != NULL || a->stopping)
		return;
	if (a->lease != 0) {
		write_term(a);
		return;
	}
	a->asking = true;
	a->asked = now_of(a);
	kv_lease_grant(a->p->kv, MAX((int64_t)LEASE_MS, a->p->settings.min_ttl / NSEC_PER_MSEC),
		granted, a);
}

/* The key of our last life is gone, or another agent was faster. */
static void cleared(const struct kv_result *r, void *arg)
{
	struct wl_agent *a = arg;

	a->asking = false;
	if (r->status == KV_OK)
		campaign(a);
}

/*
 * The coordinator that the store names was this agent in an earlier life, so it is dead: its
 * key is removed rather than waited for.
 */
static void clear_last_life(struct wl_agent *a, int64_t lead_revision)
{
	struct kv_txn t = {.expect_len = 1, .remove_len = 1};

	if (a->stopping)
		return;
	t.expect[0] = (struct kv_expect){KEY_COORDINATOR_ADDR, lead_revision};
	t.remove[0] = KEY_COORDINATOR_ADDR;
	a->asking = true;
	a->asked = now_of(a);
	kv_commit(a->p->kv, &t, cleared, a);
}

/* The store says who coordinates. */
static void lead_read(const struct kv_result *r, void *arg)
{
	struct wl_agent *a = arg;

	a->asking = false;
	if (r->status == KV_OK && r->items_len > 0) {
		g_autofree char *addr =
			g_strndup(r->items[0].value.data, r->items[0].value.len);

		a->campaign_at = 0;
		a->lease = 0;
		if (strcmp(addr, a->addr) == 0 && a->coord == NULL) {
			clear_last_life(a, r->items[0].revision);
			return;
		}
		if (a->state == LINK_OPEN && g_strcmp0(a->lead, addr) == 0)
			return;
		if (a->state != LINK_DIALLING || g_strcmp0(a->lead, addr) != 0)
			dial(a, addr);
		return;
	}
	if (r->status == KV_MISSING && a->campaign_at == 0)
		a->campaign_at =
			now_of(a) + (int64_t)(random_u64() % (uint64_t)CAMPAIGN_SPREAD);
}

/* Ask the store who coordinates. */
static void ask_lead(struct wl_agent *a)
{
	if (a->asking || now_of(a) - a->asked < ASK_PERIOD)
		return;
	a->asking = true;
	a->asked = now_of(a);
	kv_get(a->p->kv, KEY_COORDINATOR_ADDR, KV_READ_EXACT, lead_read, a);
}

/* Whether there is no coordinator, or one whose term the store has not confirmed for long. */
static bool needs_coordinator(const struct wl_agent *a)
{
	return a->state == LINK_NONE ||
	       (a->state == LINK_OPEN && a->coord == NULL &&
		       a->term_age + (now_of(a) - a->heard) > TERM_OLD);
}

/* Look after the link. */
static void tick(void *arg)
{
	struct wl_agent *a = arg;
	int64_t now = now_of(a);

	if (a->state == LINK_DIALLING && now - a->dialled_at > DIAL_LIMIT)
		link_drop(a, "it does not answer");
	if (a->state == LINK_OPEN && now - a->heard > LINK_SILENCE)
		link_drop(a, "it is silent");
	if (a->state == LINK_OPEN && now - a->sent > PING_PERIOD) {
		const struct wl_msg m = {.kind = WL_MSG_PING,
			.ping = {.term = a->term, .sent_ns = (uint64_t)now}};

		send_lead(a, &m);
	}
	if (a->stopping)
		return;
	if (a->campaign_at != 0 && now >= a->campaign_at && needs_coordinator(a)) {
		a->campaign_at = 0;
		campaign(a);
		return;
	}
	if (needs_coordinator(a))
		ask_lead(a);
}

/* A connection is open: an agent introduces itself to the coordinator. */
static void on_opened(void *arg, peer_id peer, bool dialled)
{
	struct wl_agent *a = arg;
	struct wl_msg m = {.kind = WL_MSG_HELLO,
		.hello = {.node = a->p->settings.node, .zone = a->p->settings.zone}};

	if (!dialled || peer != a->peer)
		return;
	a->state = LINK_OPEN;
	a->heard = now_of(a);
	a->term_age = 0;
	m.hello.term = a->term;
	send_lead(a, &m);
}

/* Alive: follow its term, and renew leases on its word. */
static void on_lead_beat(struct wl_agent *a, const struct wl_lead_beat *b)
{
	if (b->term < a->term) {
		link_drop(a, "its term is older than one that we have followed");
		return;
	}
	if (b->term != a->term)
		event_log(EV_TERM_SEEN, "term=%" PRIu64 " addr=%s", b->term, a->lead);
	a->term = b->term;
	a->heard = now_of(a);
	a->term_age = (int64_t)b->age_ms * NSEC_PER_MSEC;
	wl_worker_set_term(a->worker, b->term);
	wl_worker_set_start_ordinal(a->worker, b->ordinal);
	if (b->echo_ns != 0)
		wl_worker_set_authority(
			a->worker, (int64_t)b->echo_ns - a->term_age + AUTHORITY_MAX);
	if (b->stopping) {
		link_drop(a, "it stops");
		a->asked = 0;
	}
}

/* A message of the coordinator that we follow. */
static void on_order(struct wl_agent *a, struct wl_msg *m)
{
	switch (m->kind) {
	case WL_MSG_LEAD_BEAT:
		on_lead_beat(a, &m->lead_beat);
		break;
	case WL_MSG_START:
		wl_worker_start(a->worker, &m->start);
		break;
	case WL_MSG_STOP:
		wl_worker_stop(a->worker, &m->stop);
		break;
	case WL_MSG_PACE:
		wl_worker_pace(a->worker, &m->pace);
		break;
	case WL_MSG_STORED:
		wl_worker_ack_ends(a->worker, &m->stored);
		break;
	case WL_MSG_HELLO:
	case WL_MSG_REPORT:
	case WL_MSG_ANSWER:
	case WL_MSG_PING:
	case WL_MSG_STORE_CALL:
	case WL_MSG_STORE_REPLY:
	case WL_MSG_END:
		break;
	}
}

/* A call to the store that is carried for an entry. */
struct carried {
	struct wl_agent *agent;
	peer_id peer;
	uint64_t number;
};

/* A call that was carried has ended: its answer goes to the entry. */
static void carried_done(int status, const struct bytes *answer, void *arg)
{
	struct carried *c = arg;
	const struct wl_msg m = {.kind = WL_MSG_STORE_REPLY,
		.store_reply = {
			.number = c->number, .status = (uint32_t)status, .body = *answer}};
	struct bytes out = wl_msg_encode(&m);

	peer_send(c->agent->net, c->peer, out.data, out.len);
	bytes_clear(&out);
	free(c);
}

/* Carry a call to the store for an entry that the store does not serve. */
static void carry(struct wl_agent *a, peer_id peer, const struct wl_store_call *s)
{
	struct carried *c = xcalloc(1, sizeof(*c));

	c->agent = a;
	c->peer = peer;
	c->number = s->number;
	pf_store_forward(a->p->kv, s->method ? s->method : "", s->path ? s->path : "", &s->body,
		(int64_t)s->timeout_ms * NSEC_PER_MSEC, carried_done, c);
}

/* Whether a kind of message goes from agents to the coordinator. */
static bool for_coordinator(enum wl_msg_kind k)
{
	return k == WL_MSG_HELLO || k == WL_MSG_REPORT || k == WL_MSG_ANSWER ||
	       k == WL_MSG_PING;
}

/* A message, for one of our two parts. */
static void on_message(void *arg, peer_id peer, const uint8_t *body, size_t len)
{
	struct wl_agent *a = arg;
	struct wl_msg m = {0};
	g_autoptr(GError) err = NULL;

	if (!wl_msg_decode(&m, body, len, &err)) {
		event_log(EV_BAD_INPUT, "from=peer what=\"%s\"", err->message);
		return;
	}
	if (m.kind == WL_MSG_STORE_CALL)
		carry(a, peer, &m.store_call);
	else if (peer == a->peer && !for_coordinator(m.kind))
		on_order(a, &m);
	else if (a->coord != NULL)
		wl_coord_message(a->coord, a->net, peer, &m);
	else
		peer_close(a->net, peer);
	wl_msg_clear(&m);
}

/* A connection is closed. */
static void on_closed(void *arg, peer_id peer, const GError *why)
{
	struct wl_agent *a = arg;

	if (a->coord != NULL)
		wl_coord_peer_closed(a->coord, peer);
	if (peer == a->peer && peer != PEER_NONE) {
		link_drop(a, why != NULL ? why->message : "closed");
		a->asked = 0;
	}
}

/* Stand beside the worker of this VM. */
struct wl_agent *wl_agent_new(struct wl_process *p, GError **err)
{
	struct wl_agent *a = xcalloc(1, sizeof(*a));
	const struct peer_events events = {
		.opened = on_opened, .message = on_message, .closed = on_closed, .arg = a};
	const struct wl_worker_events worker = {
		.report = on_report, .answer = on_answer, .fenced = on_fenced, .arg = a};
	g_autofree char *listen = NULL;

	a->p = p;
	a->net = peer_net_new(p->loop, p->keys, &events);
	listen = g_strdup_printf("%s:%d", p->settings.ip, p->settings.peer_port);
	a->addr = peer_listen(a->net, listen, err);
	if (a->addr != NULL)
		a->worker = wl_worker_new(p, &worker, err);
	if (a->worker == NULL) {
		wl_agent_free(a);
		return NULL;
	}
	a->asked = -ASK_PERIOD;
	a->timer = loop_timer_add(p->loop, TICK, TICK, tick, a);
	ask_lead(a);
	return a;
}

/* Begin to stop: what runs goes on under its leases until we are back. */
void wl_agent_stop(struct wl_agent *a)
{
	a->stopping = true;
	if (a->coord != NULL)
		wl_coord_stop(a->coord);
}

/* Whether all orders were answered and the term was handed over. */
bool wl_agent_idle(const struct wl_agent *a)
{
	return a->stopping && wl_worker_idle(a->worker) &&
	       (a->coord == NULL || wl_coord_idle(a->coord));
}

/* Free an agent. */
void wl_agent_free(struct wl_agent *a)
{
	if (a == NULL)
		return;
	if (a->timer != NULL)
		loop_timer_del(a->p->loop, a->timer);
	if (a->coord != NULL)
		wl_coord_free(a->coord);
	wl_worker_free(a->worker);
	peer_net_free(a->net);
	free(a->addr);
	free(a->lead);
	free(a);
}

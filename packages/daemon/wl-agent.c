#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * The agent of a VM: connects its worker to the coordinator whose address is in the store, and
 * campaigns to become the coordinator if there is none. The agent itself begins to call
 * the store only while it needs a coordinator (see needs_coordinator): without a link to one,
 * or while one in another process still answers, but the store last confirmed its term longer
 * than TERM_AGE_MAX ago.
 */

COUNTER(takeovers_total, "damaskpath_takeovers_total", "Terms taken by this process.");
COUNTER(links_lost_total, "damaskpath_links_lost_total",
	"Coordinators that went out of reach.");

#define TICK_PERIOD (100 * NSEC_PER_MSEC)
/* The link is dropped if no heartbeat of the coordinator has arrived for this long. */
#define LINK_TIMEOUT (2500 * NSEC_PER_MSEC)
/* A coordinator whose term the store last confirmed longer ago may have been replaced. */
#define TERM_AGE_MAX  (2000 * NSEC_PER_MSEC)
#define LOOKUP_PERIOD (400 * NSEC_PER_MSEC)
/* The coordinator is pinged if no report was sent for this long; there is one a second. */
#define PING_PERIOD  (1200 * NSEC_PER_MSEC)
#define DIAL_TIMEOUT (1000 * NSEC_PER_MSEC)
/* A random delay up to this keeps agents from campaigning all at once. */
#define CAMPAIGN_DELAY_MAX (150 * NSEC_PER_MSEC)
/* TTL of the store lease: how long a failed coordinator delays a takeover. */
#define LEASE_TTL_MS 2500

enum link_state {
	LINK_NONE,
	LINK_DIALLING,
	LINK_OPEN
};

struct wl_agent {
	struct wl_process *p;
	struct peer_net *net;
	struct wl_relay *relay; /* of entries' store calls */
	struct wl_worker *worker;
	struct wl_coord *coord;
	struct loop_timer *timer;
	char *own_addr;
	bool stopping;
	/* The link to the coordinator. */
	enum link_state state;
	peer_id peer;
	char *coordinator_addr;
	uint64_t term; /* of the last heartbeat; 0 before the first */
	int64_t dialled_at;
	int64_t heard_at; /* of the last heartbeat, or of the link's opening */
	int64_t sent_at;  /* of the last report or ping */
	/*
	 * Time since the store confirmed the term, as of heard_at. 0 on a new link until the
	 * first heartbeat, as it is not known yet.
	 */
	int64_t term_age;
	/* Calls to the store. */
	bool store_call_pending;
	/*
	 * When the last call was sent. 0 after the link was lost, so that the coordinator is
	 * looked up without waiting for LOOKUP_PERIOD.
	 */
	int64_t store_call_at;
	int64_t campaign_at; /* 0 for no campaign */
	/* The term as last read from the store, or as written by this agent. */
	int64_t stored_term_revision;
	uint64_t stored_term;
	int64_t store_lease; /* id of the store lease for the coordinator's key; 0 for none */
};

static int64_t agent_now(const struct wl_agent *a)
{
	return loop_now(a->p->loop);
}

static void send_to_coordinator(struct wl_agent *a, const struct wl_msg *m)
{
	struct bytes body;

	if (a->state != LINK_OPEN)
		return;
	if (m->kind == WL_MSG_REPORT || m->kind == WL_MSG_PING)
		a->sent_at = agent_now(a);
	body = wl_msg_encode(m);
	peer_send(a->net, a->peer, body.data, body.len);
	bytes_clear(&body);
}

static void on_report(const struct wl_report *r, void *arg)
{
	struct wl_msg m = {.kind = WL_MSG_REPORT, .report = *r};

	send_to_coordinator(arg, &m);
}

static void on_answer(const struct wl_answer_note *n, void *arg)
{
	struct wl_msg m = {.kind = WL_MSG_ANSWER, .answer = *n};

	send_to_coordinator(arg, &m);
}

/* Closes the link to the coordinator. */
static void link_drop(struct wl_agent *a, const char *why)
{
	peer_id peer = a->peer;

	if (a->state == LINK_NONE)
		return;
	if (a->state == LINK_OPEN) {
		counter_add(&links_lost_total, 1);
		event_log(EV_LINK_LOST, "addr=%s why=\"%s\" silent_ms=%" PRId64,
			a->coordinator_addr, why, (agent_now(a) - a->heard_at) / NSEC_PER_MSEC);
	}
	a->state = LINK_NONE;
	a->peer = PEER_NONE;
	peer_close(a->net, peer);
}

static void on_fenced(void *arg)
{
	struct wl_agent *a = arg;

	link_drop(a, "the worker has seen a higher fencing token");
	wl_worker_set_term(a->worker, 0);
}

static void dial(struct wl_agent *a, const char *addr)
{
	g_autoptr(GError) err = NULL;
	char *copy = xstrdup(addr);

	link_drop(a, "switching to another coordinator");
	free(a->coordinator_addr);
	a->coordinator_addr = copy;
	a->peer = peer_dial(a->net, copy, &err);
	if (a->peer == PEER_NONE)
		return;
	a->state = LINK_DIALLING;
	a->dialled_at = agent_now(a);
}

static void campaign(struct wl_agent *a);

/* Runs from the loop, as the coordinator can't be freed inside its own callback. */
static void free_lost_coordinator(void *arg)
{
	struct wl_agent *a = arg;

	if (a->coord == NULL)
		return;
	wl_coord_free(a->coord);
	a->coord = NULL;
	a->store_lease = 0;
	if (a->coordinator_addr != NULL && strcmp(a->coordinator_addr, a->own_addr) == 0)
		link_drop(a, "the coordinator's term has ended");
}

static void on_coord_term_lost(void *arg)
{
	struct wl_agent *a = arg;

	loop_post(a->p->loop, free_lost_coordinator, a);
}

static void become_coordinator(struct wl_agent *a, uint64_t term, int64_t revision)
{
	const struct wl_coord_events ev = {.term_lost = on_coord_term_lost, .arg = a};

	counter_add(&takeovers_total, 1);
	a->stored_term_revision = revision;
	a->stored_term = term;
	a->coord = wl_coord_new(a->p, term, revision, a->store_lease, &ev);
	dial(a, a->own_addr);
}

bool wl_names_coordinator(const struct kv_item *it)
{
	g_autofree char *addr = g_strndup(it->value.data, it->value.len);
	g_autofree char *host = NULL;
	int port = 0;

	return it->lease != 0 && strlen(addr) == it->value.len &&
	       addr_parse(addr, &host, &port, NULL) && port > 0;
}

/*
 * Takes the term from its key. Each term changes the key once, so that none is higher than the
 * revision at which it was written. Where another writer has left something else, the terms
 * before were not higher than that revision either.
 */
static void learn_term(struct wl_agent *a, const struct kv_item *it)
{
	g_autofree char *text = g_strndup(it->value.data ? it->value.data : "", it->value.len);
	char *end;
	uint64_t revision = (uint64_t)MAX(it->revision, 0);
	uint64_t term = g_ascii_strtoull(text, &end, 10);

	if (it->revision > 0 && (*end != '\0' || term == 0 || term > revision)) {
		event_log(EV_BAD_INPUT, "from=store what=\"%s: '%.64s'\"", it->key, text);
		term = revision;
	}
	a->stored_term_revision = it->revision;
	a->stored_term = MAX(a->stored_term, term);
}

static void remove_coordinator_key(struct wl_agent *a, int64_t revision);

/* Removes a coordinator's key that another writer has left, and campaigns then. */
static void remove_odd_key(struct wl_agent *a, const struct kv_item *it)
{
	g_autofree char *text = g_strndup(it->value.data, MIN(it->value.len, 64));

	event_log(EV_BAD_INPUT, "from=store what=\"%s: '%s', lease %" PRId64 "\"", it->key,
		text, it->lease);
	remove_coordinator_key(a, it->revision);
}

static void on_term_written(const struct kv_result *r, void *arg)
{
	struct wl_agent *a = arg;

	a->store_call_pending = false;
	if (r->status == KV_OK) {
		if (!a->stopping && a->coord == NULL)
			become_coordinator(a, a->stored_term + 1, r->store_revision);
		return;
	}
	for (size_t i = 0; r->status == KV_CONFLICT && i < r->items_len; i++) {
		const struct kv_item *it = &r->items[i];

		if (strcmp(it->key, KEY_TERM) == 0) {
			learn_term(a, it);
		} else if (strcmp(it->key, KEY_COORDINATOR_ADDR) == 0 && it->revision > 0) {
			g_autofree char *addr = g_strndup(it->value.data, it->value.len);

			if (wl_names_coordinator(it))
				dial(a, addr);
			else
				remove_odd_key(a, it);
			return;
		}
	}
	/*
	 * Without an answer the key may have been written, so its store lease must not be
	 * reused. KV_NOT_FOUND means that the store lease no longer exists.
	 */
	if (r->status == KV_OUTCOME_UNKNOWN || r->status == KV_NOT_FOUND)
		a->store_lease = 0;
	else if (r->status == KV_CONFLICT && !a->stopping)
		campaign(a);
}

/* Writes the next term and this agent's address, unless another agent did so first. */
static void write_term(struct wl_agent *a)
{
	g_autofree char *term = g_strdup_printf("%" PRIu64, a->stored_term + 1);
	struct kv_txn t = {.expect_len = 2, .write_len = 2};

	t.expect[0] = (struct kv_condition){KEY_COORDINATOR_ADDR, 0};
	t.expect[1] = (struct kv_condition){KEY_TERM, a->stored_term_revision};
	t.write[0] = (struct kv_write){KEY_TERM, term, strlen(term), 0};
	t.write[1] = (struct kv_write){
		KEY_COORDINATOR_ADDR, a->own_addr, strlen(a->own_addr), a->store_lease};
	a->store_call_pending = true;
	a->store_call_at = agent_now(a);
	kv_commit(a->p->kv, &t, on_term_written, a);
}

static void on_lease_granted(const struct kv_result *r, void *arg)
{
	struct wl_agent *a = arg;

	a->store_call_pending = false;
	if (r->status != KV_OK || a->stopping || a->coord != NULL)
		return;
	a->store_lease = r->lease;
	write_term(a);
}

/* Tries to become the coordinator, with a store lease that is requested first if needed. */
static void campaign(struct wl_agent *a)
{
	if (a->store_call_pending || a->coord != NULL || a->stopping)
		return;
	if (a->store_lease != 0) {
		write_term(a);
		return;
	}
	a->store_call_pending = true;
	a->store_call_at = agent_now(a);
	kv_lease_grant(a->p->kv,
		MAX((int64_t)LEASE_TTL_MS, a->p->settings.min_ttl / NSEC_PER_MSEC),
		on_lease_granted, a);
}

static void on_key_removed(const struct kv_result *r, void *arg)
{
	struct wl_agent *a = arg;

	a->store_call_pending = false;
	/* A conflict means that another agent has already replaced the key. */
	if (r->status == KV_OK)
		campaign(a);
}

/*
 * Removes a coordinator's key that names no other coordinator: one that another writer has
 * left, or that holds this agent's own address. An earlier process of this agent wrote that and
 * is gone, so there is no need to wait for the key to expire.
 */
static void remove_coordinator_key(struct wl_agent *a, int64_t revision)
{
	struct kv_txn t = {.expect_len = 1, .remove_len = 1};

	if (a->stopping)
		return;
	t.expect[0] = (struct kv_condition){KEY_COORDINATOR_ADDR, revision};
	t.remove[0] = KEY_COORDINATOR_ADDR;
	a->store_call_pending = true;
	a->store_call_at = agent_now(a);
	kv_commit(a->p->kv, &t, on_key_removed, a);
}

static void on_coordinator_read(const struct kv_result *r, void *arg)
{
	struct wl_agent *a = arg;

	a->store_call_pending = false;
	if (r->status == KV_OK && r->items_len > 0) {
		g_autofree char *addr =
			g_strndup(r->items[0].value.data, r->items[0].value.len);

		a->campaign_at = 0;
		a->store_lease = 0;
		if (strcmp(addr, a->own_addr) == 0 && a->coord == NULL) {
			remove_coordinator_key(a, r->items[0].revision);
			return;
		}
		if (!wl_names_coordinator(&r->items[0])) {
			remove_odd_key(a, &r->items[0]);
			return;
		}
		if (a->state == LINK_OPEN && g_strcmp0(a->coordinator_addr, addr) == 0)
			return;
		if (a->state != LINK_DIALLING || g_strcmp0(a->coordinator_addr, addr) != 0)
			dial(a, addr);
		return;
	}
	if (r->status == KV_NOT_FOUND && a->campaign_at == 0)
		a->campaign_at =
			agent_now(a) + (int64_t)(random_u64() % (uint64_t)CAMPAIGN_DELAY_MAX);
}

/* Reads the coordinator's address from the store. */
static void lookup_coordinator(struct wl_agent *a)
{
	if (a->store_call_pending || agent_now(a) - a->store_call_at < LOOKUP_PERIOD)
		return;
	a->store_call_pending = true;
	a->store_call_at = agent_now(a);
	kv_get(a->p->kv, KEY_COORDINATOR_ADDR, KV_READ_LINEARIZABLE, on_coordinator_read, a);
}

/*
 * Whether there is no link to a coordinator and none is being opened, or only one to a
 * coordinator in another process whose term the store confirmed too long ago.
 */
static bool needs_coordinator(const struct wl_agent *a)
{
	return a->state == LINK_NONE ||
	       (a->state == LINK_OPEN && a->coord == NULL &&
		       a->term_age + (agent_now(a) - a->heard_at) > TERM_AGE_MAX);
}

/* Checks the link for timeouts, sends pings, and looks for a coordinator if needed. */
static void tick(void *arg)
{
	struct wl_agent *a = arg;
	int64_t now = agent_now(a);

	if (a->state == LINK_DIALLING && now - a->dialled_at > DIAL_TIMEOUT)
		link_drop(a, "dial timed out");
	if (a->state == LINK_OPEN && now - a->heard_at > LINK_TIMEOUT)
		link_drop(a, "no answer from the coordinator");
	if (a->state == LINK_OPEN && now - a->sent_at > PING_PERIOD) {
		const struct wl_msg m = {.kind = WL_MSG_PING,
			.ping = {.term = a->term, .sent_ns = (uint64_t)now}};

		send_to_coordinator(a, &m);
	}
	if (a->stopping)
		return;
	if (a->campaign_at != 0 && now >= a->campaign_at && needs_coordinator(a)) {
		a->campaign_at = 0;
		campaign(a);
		return;
	}
	if (needs_coordinator(a))
		lookup_coordinator(a);
}

/* Sends a hello on the link to the coordinator. */
static void on_peer_opened(void *arg, peer_id peer, bool dialled)
{
	struct wl_agent *a = arg;
	struct wl_msg m = {.kind = WL_MSG_HELLO,
		.hello = {.node = a->p->settings.node, .zone = a->p->settings.zone}};

	if (!dialled || peer != a->peer)
		return;
	a->state = LINK_OPEN;
	a->heard_at = agent_now(a);
	a->term_age = 0;
	m.hello.term = a->term;
	send_to_coordinator(a, &m);
}

/*
 * Handles the coordinator's heartbeat: adopts its term, and extends the authority to renew the
 * leases of runs.
 */
static void handle_coordinator_heartbeat(struct wl_agent *a, const struct wl_lead_beat *b)
{
	if (b->term < a->term) {
		link_drop(a, "the coordinator's term is older than the last one seen");
		return;
	}
	if (b->term != a->term)
		event_log(
			EV_TERM_SEEN, "term=%" PRIu64 " addr=%s", b->term, a->coordinator_addr);
	a->term = b->term;
	a->heard_at = agent_now(a);
	a->term_age = (int64_t)b->age_ms * NSEC_PER_MSEC;
	wl_worker_set_term(a->worker, b->term);
	wl_worker_note_start_ordinal(a->worker, b->ordinal);
	wl_worker_note_speed(a->worker, &b->speed);
	if (b->echo_ns != 0)
		wl_worker_set_authority(
			a->worker, (int64_t)b->echo_ns - a->term_age + AUTHORITY_MAX);
	if (b->stopping) {
		link_drop(a, "coordinator is stopping");
		a->store_call_at = 0;
	}
}

/* Handles a message from the coordinator: its heartbeat, or an order or note for the worker. */
static void handle_coordinator_message(struct wl_agent *a, struct wl_msg *m)
{
	switch (m->kind) {
	case WL_MSG_LEAD_BEAT:
		handle_coordinator_heartbeat(a, &m->lead_beat);
		break;
	case WL_MSG_START:
		wl_worker_start_tasks(a->worker, &m->start);
		break;
	case WL_MSG_STOP:
		wl_worker_stop_run(a->worker, &m->stop);
		break;
	case WL_MSG_PACE:
		wl_worker_pace_run(a->worker, &m->pace);
		break;
	case WL_MSG_STORED: /* tells which ended runs are stored */
		wl_worker_ack_ends(a->worker, &m->stored);
		break;
	case WL_MSG_HELLO:
	case WL_MSG_REPORT:
	case WL_MSG_ANSWER:
	case WL_MSG_PING:
	case WL_MSG_STORE_CALL:
	case WL_MSG_STORE_REPLY:
	case WL_MSG_INBOX_NOTE:
	case WL_MSG_END:
		break;
	}
}

/* Whether agents send this kind of message to the coordinator. */
static bool is_for_coordinator(enum wl_msg_kind k)
{
	return k == WL_MSG_HELLO || k == WL_MSG_REPORT || k == WL_MSG_ANSWER ||
	       k == WL_MSG_PING;
}

/* Passes a message to the agent or to the coordinator in this process. */
static void on_peer_message(void *arg, peer_id peer, const uint8_t *body, size_t len)
{
	struct wl_agent *a = arg;
	struct wl_msg m = {0};
	g_autoptr(GError) err = NULL;

	if (!wl_msg_decode(&m, body, len, &err)) {
		event_log(EV_BAD_INPUT, "from=peer what=\"%s\"", err->message);
		return;
	}
	if (m.kind == WL_MSG_STORE_CALL)
		wl_relay_call(a->relay, peer, &m.store_call);
	else if (m.kind == WL_MSG_INBOX_NOTE && a->coord != NULL)
		wl_coord_note_stored(a->coord, m.inbox_note.key);
	else if (m.kind == WL_MSG_INBOX_NOTE)
		; /* Ignored: the entry soon reads the new coordinator's address. */
	else if (peer == a->peer && !is_for_coordinator(m.kind))
		handle_coordinator_message(a, &m);
	else if (a->coord != NULL)
		wl_coord_handle_message(a->coord, a->net, peer, &m);
	else
		peer_close(a->net, peer);
	wl_msg_clear(&m);
}

static void on_peer_closed(void *arg, peer_id peer, const GError *why)
{
	struct wl_agent *a = arg;

	if (a->coord != NULL)
		wl_coord_handle_peer_closed(a->coord, peer);
	if (peer == a->peer && peer != PEER_NONE) {
		link_drop(a, why != NULL ? why->message : "closed");
		a->store_call_at = 0;
	}
}

struct wl_agent *wl_agent_new(struct wl_process *p, GError **err)
{
	struct wl_agent *a = xcalloc(1, sizeof(*a));
	const struct peer_events events = {.opened = on_peer_opened,
		.message = on_peer_message,
		.closed = on_peer_closed,
		.arg = a};
	const struct wl_worker_events worker_events = {
		.report = on_report, .answer = on_answer, .fenced = on_fenced, .arg = a};
	g_autofree char *listen = NULL;

	a->p = p;
	a->net = peer_net_new(p->loop, p->keys, &events);
	peer_net_set_limits(a->net, p->budget, p->connections_max);
	a->relay = wl_relay_new(p, a->net);
	listen = g_strdup_printf("%s:%d", p->settings.ip, p->settings.peer_port);
	a->own_addr = peer_listen(a->net, listen, err);
	if (a->own_addr != NULL)
		a->worker = wl_worker_new(p, &worker_events, err);
	if (a->worker == NULL) {
		wl_agent_free(a);
		return NULL;
	}
	a->store_call_at = -LOOKUP_PERIOD;
	a->timer = loop_timer_add(p->loop, TICK_PERIOD, TICK_PERIOD, tick, a);
	lookup_coordinator(a);
	return a;
}

/* Begins to stop. Running tasks continue under their leases until the agent is back. */
void wl_agent_stop(struct wl_agent *a)
{
	a->stopping = true;
	if (a->coord != NULL)
		wl_coord_stop(a->coord);
}

/*
 * Whether the agent can exit: no call that carries an order to the worker is under way, and a
 * coordinator in this process writes no records. Doesn't wait for the store to revoke the lease
 * of the coordinator's key, nor for starts that await the worker's lists.
 */
bool wl_agent_idle(const struct wl_agent *a)
{
	return a->stopping && wl_worker_idle(a->worker) &&
	       (a->coord == NULL || wl_coord_idle(a->coord));
}

void wl_agent_free(struct wl_agent *a)
{
	if (a == NULL)
		return;
	if (a->timer != NULL)
		loop_timer_del(a->p->loop, a->timer);
	if (a->coord != NULL)
		wl_coord_free(a->coord);
	wl_worker_free(a->worker);
	wl_relay_free(a->relay);
	peer_net_free(a->net);
	free(a->own_addr);
	free(a->coordinator_addr);
	free(a);
}

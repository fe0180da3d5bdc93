#include "wl-worker-private.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/*
 * The worker of this VM: it reports here, and takes our calls. It keeps what runs, what ended
 * and the leases; we only renew those while we have authority, and carry orders and lists.
 */

/* The lists are asked for anew after this where nothing ends. */
#define HOLD_WAIT_MS 1000
/* Between calls that fail. */
#define HOLD_PAUSE (250 * NSEC_PER_MSEC)
/* Time for ends to be stored before the lists are asked for again. */
#define STORE_WAIT (150 * NSEC_PER_MSEC)
/* A worker that has not reported for so long is gone. */
#define BEAT_SILENCE (8 * NSEC_PER_SEC)

static void hold(struct wl_worker *w);

static int64_t now_of(const struct wl_worker *w)
{
	return loop_now(w->p->loop);
}

/* Send a call. */
void worker_send_call(struct wl_worker *w, struct http_call *c, struct open_start *s,
	void (*done)(struct http_call *call, void *arg))
{
	struct worker_call *wc = xcalloc(1, sizeof(*wc));

	wc->worker = w;
	wc->start = s;
	wc->term = w->term;
	c->done = done;
	c->arg = wc;
	w->calls++;
	http_client_send(w->p->http, c);
}

/* The worker's clock now, at the earliest; 0 before it is known. */
static int64_t worker_clock(const struct wl_worker *w)
{
	if (w->clock_at == 0)
		return 0;
	return w->clock_ms + (now_of(w) - w->clock_at) / NSEC_PER_MSEC;
}

/* Until when leases may be granted, on the worker's clock; 0 where they may not. */
int64_t worker_lease_deadline(const struct wl_worker *w)
{
	if (now_of(w) >= w->authority || w->clock_at == 0)
		return 0;
	return worker_clock(w) + w->p->settings.lease_max / NSEC_PER_MSEC;
}

/* Begin another life of the worker: nothing of the last one is open. */
static void begin_life(struct wl_worker *w, const char *id, int64_t instance_started_at)
{
	free(w->life);
	xasprintf(&w->life, "%s@%" PRId64, id, instance_started_at);
	w->instance_started_at = instance_started_at;
	w->clock_at = 0;
	w->ends_stored = 0;
	w->ends_listed = 0;
	while (w->open->len > 0)
		worker_open_drop(w, w->open->pdata[0]);
}

/* Learn the worker's clock and life from an answer. */
static void learn(struct wl_worker *w, const struct pf_reply *r)
{
	if (r->instance_started_at != 0 && w->beat.id != NULL &&
		r->instance_started_at != w->instance_started_at)
		begin_life(w, w->beat.id, r->instance_started_at);
	if (r->clock_ms > 0) {
		w->clock_ms = r->clock_ms;
		w->clock_at = now_of(w);
	}
}

/* Pass the worker's state and lists on. */
static void report(struct wl_worker *w, const struct pf_reply *r)
{
	struct wl_report out = w->beat.worker_report;

	out.term = w->term;
	out.node = w->p->settings.node;
	out.life = w->life;
	out.left = w->left;
	out.covers = w->hold_covers;
	out.sent_ns = (uint64_t)w->hold_sent;
	out.runs = r->runs;
	out.runs_len = r->runs_len;
	out.ends = r->ends;
	out.ends_len = r->ends_len;
	w->ev.report(&out, w->ev.arg);
}

static void on_hold_timer(void *arg)
{
	struct wl_worker *w = arg;

	w->hold_timer = NULL;
	hold(w);
}

/* Ask again after a pause. */
static void hold_later(struct wl_worker *w, int64_t pause)
{
	if (w->hold_timer == NULL)
		w->hold_timer = loop_timer_add(w->p->loop, pause, 0, on_hold_timer, w);
}

/* The lists have come. */
static void hold_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct pf_reply r;

	w->calls--;
	w->holding = false;
	pf_reply_parse(c, &r);
	if (w->freed) {
		wl_worker_free(w);
	} else {
		learn(w, &r);
		if (r.kind == PF_REPLY_FENCED && wc->term == w->term)
			w->ev.fenced(w->ev.arg);
		if (r.kind == PF_REPLY_OK && wc->term == w->term && w->life != NULL) {
			/* A run that has ended is told as that, not as a start that is void. */
			report(w, &r);
			worker_settle_unsure(w, &r, w->hold_sent);
		}
		if (r.ends_len > 0)
			w->ends_listed = MAX(w->ends_listed, r.ends[r.ends_len - 1].number);
		/* Ends that are listed and not stored are listed again at once: give them time.
		 */
		if (r.kind == PF_REPLY_OK && w->ends_listed > w->ends_stored)
			hold_later(w, STORE_WAIT);
		else if (r.kind == PF_REPLY_OK)
			hold(w);
		else
			hold_later(w, HOLD_PAUSE);
	}
	pf_reply_clear(&r);
	http_call_free(c);
	free(wc);
}

/*
 * Up to which end the worker may forget. A start without an answer may have reached a new life
 * under the same name that has not been heard of yet: its ends are numbered from 1 again, so
 * none may be forgotten before the start is answered.
 */
static uint64_t ends_to_forget(const struct wl_worker *w)
{
	return w->open->len > 0 ? 0 : w->ends_stored;
}

/* Renew the leases and ask for the lists, as long as there is a coordinator. */
static void hold(struct wl_worker *w)
{
	struct pf_lease_renewal h = {.fence = w->term,
		.ends_stored = ends_to_forget(w),
		.deadline_ms = worker_lease_deadline(w),
		.wait_ms = HOLD_WAIT_MS};

	if (w->holding || w->hold_timer != NULL || w->term == 0 || w->beat.id == NULL ||
		w->left)
		return;
	if (now_of(w) - w->beat_at > BEAT_SILENCE) {
		hold_later(w, HOLD_PAUSE);
		return;
	}
	/* Without its clock no lease can be renewed: ask for that first. */
	if (w->clock_at == 0)
		h.wait_ms = 0;
	else if (worker_has_unsure(w))
		h.wait_ms = HOLD_WAIT_MS / 10;
	w->holding = true;
	w->hold_covers = worker_covers(w);
	w->hold_sent = now_of(w);
	worker_send_call(w, pf_worker_renew_leases(w->p->settings.worker_addr, w->beat.id, &h),
		NULL, hold_done);
}

/* Ends up to a number are stored: the worker may forget them with the next call. */
void wl_worker_ack_ends(struct wl_worker *w, const struct wl_stored *s)
{
	if (s->term == w->term && w->life != NULL && g_strcmp0(s->life, w->life) == 0)
		w->ends_stored = MAX(w->ends_stored, s->number);
	if (w->hold_timer != NULL && w->ends_listed <= w->ends_stored) {
		loop_timer_del(w->p->loop, w->hold_timer);
		w->hold_timer = NULL;
		hold(w);
	}
}

/* Follow a coordinator; 0 for none. */
void wl_worker_set_term(struct wl_worker *w, uint64_t term)
{
	if (w->term == term)
		return;
	w->term = term;
	w->last_ordinal = 0;
	while (w->open->len > 0)
		worker_open_drop(w, w->open->pdata[0]);
	hold(w);
}

void wl_worker_set_start_ordinal(struct wl_worker *w, uint64_t ordinal)
{
	w->last_ordinal = MAX(w->last_ordinal, ordinal);
}

/* Renew leases until then. */
void wl_worker_set_authority(struct wl_worker *w, int64_t until)
{
	bool had = now_of(w) < w->authority;

	w->authority = until;
	if (!had)
		hold(w);
}

/* Take over a report of the worker, on the loop. */
static void take_beat(void *arg)
{
	struct wl_worker *w = arg;
	bool left;

	pthread_mutex_lock(&w->lock);
	w->beat_posted = false;
	left = w->beat_next.service == NULL;
	if (!left) {
		if (w->life == NULL || g_strcmp0(w->beat.id, w->beat_next.id) != 0 ||
			w->beat_next.instance_started_at != w->instance_started_at)
			begin_life(w, w->beat_next.id, w->beat_next.instance_started_at);
		pf_heartbeat_clear(&w->beat);
		w->beat = w->beat_next;
		memset(&w->beat_next, 0, sizeof(w->beat_next));
		w->left = false;
	} else if (g_strcmp0(w->beat.id, w->beat_next.id) == 0) {
		w->left = true;
		pf_heartbeat_clear(&w->beat_next);
	}
	pthread_mutex_unlock(&w->lock);
	w->beat_at = now_of(w);
	if (w->left && w->term != 0 && w->life != NULL) {
		const struct pf_reply none = {0};

		w->hold_sent = now_of(w);
		w->hold_covers = w->last_ordinal;
		report(w, &none);
		return;
	}
	hold(w);
}

/* The worker reports, on a thread of the server. */
static void on_beat(struct http_request *r, void *arg)
{
	struct wl_worker *w = arg;
	struct pf_heartbeat b;
	enum pf_heartbeat_kind k =
		pf_heartbeat_parse(http_method(r), http_path(r), http_body(r), &b);
	bool post;

	if (k == PF_HEARTBEAT_INVALID) {
		event_log(EV_BAD_INPUT, "from=worker what=\"%s %s\"", http_method(r),
			http_path(r));
		http_reply(r, 400, NULL, "", 0);
		return;
	}
	pthread_mutex_lock(&w->lock);
	pf_heartbeat_clear(&w->beat_next);
	w->beat_next = b;
	post = !w->beat_posted;
	w->beat_posted = true;
	pthread_mutex_unlock(&w->lock);
	if (post)
		loop_post(w->p->loop, take_beat, w);
	http_reply_text(r, 200, "application/json", "{}");
}

/* Stand beside the worker that the settings name. */
struct wl_worker *wl_worker_new(
	struct wl_process *p, const struct wl_worker_events *ev, GError **err)
{
	const struct http_limits limits = {.body_max = 4096 * 1024,
		.connections_max = 64,
		.idle_timeout_s = 120,
		.threads = 1};
	struct wl_worker *w;

	if (p->settings.worker_control_addr == NULL || p->settings.worker_addr == NULL) {
		error_set(err, ERR_INVALID, "the settings file names no worker");
		return NULL;
	}
	w = xcalloc(1, sizeof(*w));
	w->p = p;
	w->ev = *ev;
	w->open = g_ptr_array_new();
	pthread_mutex_init(&w->lock, NULL);
	w->server = http_server_new(p->settings.worker_control_addr, &limits, on_beat, w, err);
	if (w->server != NULL)
		return w;
	wl_worker_free(w);
	return NULL;
}

/* Whether no order is under way; asking for the lists does not count. */
bool wl_worker_idle(const struct wl_worker *w)
{
	return w->calls <= (w->holding ? 1u : 0u);
}

/* Free; the process ends, and calls under way go with it. */
void wl_worker_free(struct wl_worker *w)
{
	if (w == NULL)
		return;
	w->freed = true;
	http_server_free(w->server);
	w->server = NULL;
	if (w->calls > 0)
		return;
	pf_heartbeat_clear(&w->beat);
	pf_heartbeat_clear(&w->beat_next);
	free(w->life);
	g_ptr_array_unref(w->open);
	free(w);
}

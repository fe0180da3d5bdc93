#include "wl-daemon.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/*
 * The worker of this VM: it reports here, and takes our calls. It keeps what runs, what ended
 * and the leases; we only renew those while we have authority, and carry orders and lists.
 */

COUNTER(starts_total, "damaskpath_starts_total", "Starts sent to the worker.");
COUNTER(starts_unsure, "damaskpath_starts_unsure_total", "Starts without an answer.");
COUNTER(stops_total, "damaskpath_stops_total", "Stops sent to the worker.");
HISTOGRAM(start_seconds, "damaskpath_start_seconds", "Time until the worker answers a start.");

/* The lists are asked for anew after this where nothing ends. */
#define HOLD_WAIT_MS 1000
/* Between calls that fail. */
#define HOLD_PAUSE (250 * NSEC_PER_MSEC)
/* Time for ends to be stored before the lists are asked for again. */
#define STORE_WAIT (150 * NSEC_PER_MSEC)
/* An order without an answer is sent so often: carried out twice it has the effect of one. */
#define ORDER_SENDS_MAX 3
/* A start without an answer may still show in the lists; then it is made void. */
#define UNSURE_PATIENCE (400 * NSEC_PER_MSEC)
/* A worker that has not reported for so long is gone. */
#define BEAT_SILENCE (8 * NSEC_PER_SEC)

/* A start whose outcome is not known yet. */
struct open_start {
	struct wl_worker *worker;
	uint64_t ordinal;
	uint64_t term;
	char *life;
	char *task;
	uint32_t attempt;
	/* What it is sent again with. */
	char *payload;
	char *checkpoint;
	char *ticket;
	unsigned int sends;
	int64_t sent;
	bool unsure;	    /* no answer came */
	bool calling;	    /* a call for it is under way */
	int64_t void_since; /* the stop was answered: it will not start any more */
	bool dropped;
};

struct wl_worker {
	struct wl_process *p;
	struct wl_worker_events ev;
	struct http_server *server;
	unsigned int calls;
	bool freed;
	/* What its last report said; id is NULL before the first. */
	pthread_mutex_t lock;
	struct pf_beat beat;
	struct pf_beat beat_next;
	bool beat_posted;
	int64_t beat_at;
	bool left;
	char *life;
	int64_t born;
	/* Its clock, as of when an answer with it came. */
	int64_t clock_ms;
	int64_t clock_at;
	uint64_t term;
	int64_t authority;
	uint64_t last_ordinal;
	uint64_t ends_stored;
	/* The last end that the worker has listed. */
	uint64_t ends_listed;
	GPtrArray *open;
	bool holding;
	uint64_t hold_covers;
	int64_t hold_sent;
	struct loop_timer *hold_timer;
};

static void hold(struct wl_worker *w);

/* A stop on its way to the worker. */
struct open_stop {
	char *task;
	uint32_t attempt;
	unsigned int sends;
};

/* One call to the worker, with what its answer is for. */
struct worker_call {
	struct wl_worker *worker;
	struct open_start *start;
	struct open_stop *stop;
	uint64_t term;
};

static int64_t now_of(const struct wl_worker *w)
{
	return loop_now(w->p->loop);
}

/* Send a call. */
static void send_call(struct wl_worker *w, struct http_call *c, struct open_start *s,
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
static int64_t lease_deadline(const struct wl_worker *w)
{
	if (now_of(w) >= w->authority || w->clock_at == 0)
		return 0;
	return worker_clock(w) + w->p->settings.hold_max / NSEC_PER_MSEC;
}

/* Free an open start. */
static void open_free(void *arg)
{
	struct open_start *s = arg;

	free(s->life);
	free(s->task);
	free(s->payload);
	free(s->checkpoint);
	free(s->ticket);
	free(s);
}

/* Forget an open start; one with a call under way is freed when that ends. */
static void open_drop(struct wl_worker *w, struct open_start *s)
{
	s->dropped = true;
	g_ptr_array_remove(w->open, s);
	if (!s->calling)
		open_free(s);
}

/* The outcome of a start is known. */
static void open_answer(struct wl_worker *w, struct open_start *s, enum wl_answer answer)
{
	const struct wl_answer_note note = {.term = s->term,
		.life = s->life,
		.ordinal = s->ordinal,
		.task = s->task,
		.attempt = s->attempt,
		.answer = answer};

	w->ev.answer(&note, w->ev.arg);
	open_drop(w, s);
}

/* Up to which start all outcomes are known. */
static uint64_t covers(const struct wl_worker *w)
{
	uint64_t least = w->last_ordinal + 1;

	for (guint i = 0; i < w->open->len; i++)
		least = MIN(least, ((struct open_start *)w->open->pdata[i])->ordinal);
	return least - 1;
}

/* Begin another life of the worker: nothing of the last one is open. */
static void begin_life(struct wl_worker *w, const char *id, int64_t born)
{
	free(w->life);
	xasprintf(&w->life, "%s@%" PRId64, id, born);
	w->born = born;
	w->clock_at = 0;
	w->ends_stored = 0;
	w->ends_listed = 0;
	while (w->open->len > 0)
		open_drop(w, w->open->pdata[0]);
}

/* Learn the worker's clock and life from an answer. */
static void learn(struct wl_worker *w, const struct pf_reply *r)
{
	if (r->born != 0 && w->beat.id != NULL && r->born != w->born)
		begin_life(w, w->beat.id, r->born);
	if (r->clock_ms > 0) {
		w->clock_ms = r->clock_ms;
		w->clock_at = now_of(w);
	}
}

/* The stop that makes an unanswered start void was answered, or not. */
static void void_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct open_start *s = wc->start;
	struct pf_reply r;

	w->calls--;
	pf_worker_read(c, &r);
	s->calling = false;
	if (s->dropped)
		open_free(s);
	else if (r.kind == PF_REPLY_OK)
		s->void_since = now_of(w);
	else
		s->sent = now_of(w);
	pf_reply_clear(&r);
	http_call_free(c);
	free(wc);
}

/* See to the starts without an answer, by lists that were asked for at a time. */
static void settle_unsure(struct wl_worker *w, const struct pf_reply *r, int64_t asked)
{
	for (guint i = w->open->len; i > 0; i--) {
		struct open_start *s = w->open->pdata[i - 1];
		bool listed = false;

		if (!s->unsure || s->calling)
			continue;
		for (uint32_t k = 0; k < r->runs_len && !listed; k++)
			listed = strcmp(r->runs[k].task, s->task) == 0 &&
				 r->runs[k].attempt == s->attempt;
		if (listed) {
			open_answer(w, s, WL_ANSWER_RUNNING);
		} else if (s->void_since > 0) {
			if (asked > s->void_since)
				open_answer(w, s, WL_ANSWER_REFUSED_OTHER);
		} else if (now_of(w) - s->sent > UNSURE_PATIENCE) {
			s->calling = true;
			send_call(w,
				pf_worker_stop(w->p->settings.worker_addr, w->beat.id, w->term,
					s->task, s->attempt),
				s, void_done);
		}
	}
}

/* Whether some start waits for its outcome. */
static bool has_unsure(const struct wl_worker *w)
{
	for (guint i = 0; i < w->open->len; i++) {
		if (((struct open_start *)w->open->pdata[i])->unsure)
			return true;
	}
	return false;
}

/* Pass the worker's state and lists on. */
static void report(struct wl_worker *w, const struct pf_reply *r)
{
	struct wl_report out = w->beat.self;

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
	pf_worker_read(c, &r);
	if (w->freed) {
		wl_worker_free(w);
	} else {
		learn(w, &r);
		if (r.kind == PF_REPLY_FENCED && wc->term == w->term)
			w->ev.fenced(w->ev.arg);
		if (r.kind == PF_REPLY_OK && wc->term == w->term && w->life != NULL) {
			settle_unsure(w, &r, w->hold_sent);
			report(w, &r);
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
	struct pf_hold h = {.fence = w->term,
		.ends_stored = ends_to_forget(w),
		.deadline_ms = lease_deadline(w),
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
	else if (has_unsure(w))
		h.wait_ms = HOLD_WAIT_MS / 10;
	w->holding = true;
	w->hold_covers = covers(w);
	w->hold_sent = now_of(w);
	send_call(
		w, pf_worker_hold(w->p->settings.worker_addr, w->beat.id, &h), NULL, hold_done);
}

/* What an answer to a start means to the coordinator. */
static enum wl_answer answer_of(enum pf_reply_kind k)
{
	switch (k) {
	case PF_REPLY_OK:
		return WL_ANSWER_RUNNING;
	case PF_REPLY_OLD:
		return WL_ANSWER_REFUSED_OLD;
	case PF_REPLY_ROOM:
		return WL_ANSWER_REFUSED_ROOM;
	case PF_REPLY_TICKET:
		return WL_ANSWER_REFUSED_TICKET;
	case PF_REPLY_UNHEALTHY:
		return WL_ANSWER_UNHEALTHY;
	case PF_REPLY_FENCED:
	case PF_REPLY_LATE:
	case PF_REPLY_OTHER_LIFE:
	case PF_REPLY_REFUSED:
	case PF_REPLY_NONE:
		break;
	}
	return WL_ANSWER_REFUSED_OTHER;
}

static void start_done(struct http_call *c, void *arg);

/* Send a start, for the first time or again: a worker that has the run says so. */
static void start_send(struct wl_worker *w, struct open_start *s, int64_t deadline)
{
	const struct wl_start start = {.task = s->task,
		.attempt = s->attempt,
		.checkpoint = s->checkpoint,
		.ticket = s->ticket};

	counter_add(&starts_total, 1);
	s->calling = true;
	s->sends++;
	s->sent = now_of(w);
	send_call(w,
		pf_worker_start(w->p->settings.worker_addr, w->beat.id, w->term, deadline,
			s->payload, &start),
		s, start_done);
}

/* No answer came: send the start again, or leave it to the lists. */
static void start_unanswered(struct wl_worker *w, struct open_start *s)
{
	int64_t deadline = lease_deadline(w);
	bool again = s->sends < ORDER_SENDS_MAX && deadline != 0 && s->term == w->term;

	counter_add(&starts_unsure, 1);
	event_log(EV_START_UNSURE, "task=%s attempt=%u sends=%u again=%d", s->task, s->attempt,
		s->sends, again);
	if (again)
		start_send(w, s, deadline);
	else
		s->unsure = true;
}

/* The worker answered to a start, or not. */
static void start_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct open_start *s = wc->start;
	struct pf_reply r;

	w->calls--;
	pf_worker_read(c, &r);
	histogram_add(&start_seconds, now_of(w) - s->sent);
	s->calling = false;
	if (s->dropped) {
		open_free(s);
	} else if (r.kind == PF_REPLY_NONE) {
		start_unanswered(w, s);
	} else {
		open_answer(w, s, answer_of(r.kind));
		if (r.kind == PF_REPLY_FENCED && wc->term == w->term)
			w->ev.fenced(w->ev.arg);
	}
	pf_reply_clear(&r);
	http_call_free(c);
	free(wc);
}

/* Whether an order is of the coordinator that we follow and for this life of the worker. */
static bool is_for_us(const struct wl_worker *w, uint64_t term, const char *life)
{
	return term == w->term && w->life != NULL && g_strcmp0(life, w->life) == 0;
}

/* Start tasks; one for another life or without authority is refused here. */
void wl_worker_start(struct wl_worker *w, const struct wl_start_order *o)
{
	int64_t deadline = lease_deadline(w);
	bool ours = is_for_us(w, o->term, o->life);

	for (uint32_t i = 0; i < o->starts_len; i++) {
		struct open_start *s = xcalloc(1, sizeof(*s));

		s->worker = w;
		s->ordinal = o->starts[i].ordinal;
		s->term = o->term;
		s->life = xstrdup(o->life);
		s->task = xstrdup(o->starts[i].task);
		s->attempt = o->starts[i].attempt;
		s->payload = xstrdup(o->payload);
		s->checkpoint = xstrdup(o->starts[i].checkpoint);
		s->ticket = xstrdup(o->starts[i].ticket);
		g_ptr_array_add(w->open, s);
		w->last_ordinal = MAX(w->last_ordinal, s->ordinal);
		if (!ours || deadline == 0)
			open_answer(w, s, WL_ANSWER_REFUSED_OTHER);
		else
			start_send(w, s, deadline);
	}
}

/* An order that the lists will show the effect of was answered. */
static void order_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;

	wc->worker->calls--;
	http_call_free(c);
	free(wc);
}

/*
 * Make a start void that an earlier process of ours may have sent, or that never came: once the
 * stop is answered it cannot begin, and the next lists show whether it has.
 */
static void void_start(struct wl_worker *w, const struct wl_stop_order *o)
{
	struct open_start *s;

	for (guint i = 0; i < w->open->len; i++) {
		if (((struct open_start *)w->open->pdata[i])->ordinal == o->ordinal)
			return;
	}
	s = xcalloc(1, sizeof(*s));
	s->worker = w;
	s->ordinal = o->ordinal;
	s->term = o->term;
	s->life = xstrdup(o->life);
	s->task = xstrdup(o->task);
	s->attempt = o->attempt;
	s->sent = now_of(w);
	s->unsure = true;
	s->calling = true;
	g_ptr_array_add(w->open, s);
	send_call(w,
		pf_worker_stop(
			w->p->settings.worker_addr, w->beat.id, w->term, o->task, o->attempt),
		s, void_done);
}

static void stop_done(struct http_call *c, void *arg);

/* Send a stop, for the first time or again. */
static void stop_send(struct wl_worker *w, struct open_stop *s)
{
	struct http_call *c = pf_worker_stop(
		w->p->settings.worker_addr, w->beat.id, w->term, s->task, s->attempt);

	counter_add(&stops_total, 1);
	s->sends++;
	send_call(w, c, NULL, stop_done);
	((struct worker_call *)c->arg)->stop = s;
}

/* The worker answered to a stop, or not; its effect shows in the lists. */
static void stop_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct open_stop *s = wc->stop;
	struct pf_reply r;

	w->calls--;
	pf_worker_read(c, &r);
	if (r.kind == PF_REPLY_NONE && s->sends < ORDER_SENDS_MAX && wc->term == w->term &&
		!w->freed) {
		stop_send(w, s);
	} else {
		free(s->task);
		free(s);
	}
	pf_reply_clear(&r);
	http_call_free(c);
	free(wc);
}

/* Stop a run; the coordinator asks again where it goes on. */
void wl_worker_stop(struct wl_worker *w, const struct wl_stop_order *o)
{
	struct open_stop *s;

	if (!is_for_us(w, o->term, o->life))
		return;
	if (o->ordinal != 0) {
		void_start(w, o);
		return;
	}
	/* A start that is under way is not sent again behind its stop. */
	for (guint i = 0; i < w->open->len; i++) {
		struct open_start *start = w->open->pdata[i];

		if (start->attempt == o->attempt && strcmp(start->task, o->task) == 0)
			start->sends = ORDER_SENDS_MAX;
	}
	s = xcalloc(1, sizeof(*s));
	s->task = xstrdup(o->task);
	s->attempt = o->attempt;
	stop_send(w, s);
}

/* Let a run work slower or at full speed again. */
void wl_worker_pace(struct wl_worker *w, const struct wl_pace_order *o)
{
	if (!is_for_us(w, o->term, o->life))
		return;
	send_call(w,
		pf_worker_pace(w->p->settings.worker_addr, w->beat.id, w->term, o->task,
			o->attempt, o->percent),
		NULL, order_done);
}

/* Ends up to a number are stored: the worker may forget them with the next call. */
void wl_worker_stored(struct wl_worker *w, const struct wl_stored *s)
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
void wl_worker_follow(struct wl_worker *w, uint64_t term)
{
	if (w->term == term)
		return;
	w->term = term;
	w->last_ordinal = 0;
	while (w->open->len > 0)
		open_drop(w, w->open->pdata[0]);
	hold(w);
}

void wl_worker_ordered(struct wl_worker *w, uint64_t ordinal)
{
	w->last_ordinal = MAX(w->last_ordinal, ordinal);
}

/* Renew leases until then. */
void wl_worker_authority(struct wl_worker *w, int64_t until)
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
			w->beat_next.born != w->born)
			begin_life(w, w->beat_next.id, w->beat_next.born);
		pf_beat_clear(&w->beat);
		w->beat = w->beat_next;
		memset(&w->beat_next, 0, sizeof(w->beat_next));
		w->left = false;
	} else if (g_strcmp0(w->beat.id, w->beat_next.id) == 0) {
		w->left = true;
		pf_beat_clear(&w->beat_next);
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
	struct pf_beat b;
	enum pf_beat_kind k = pf_beat_parse(http_method(r), http_path(r), http_body(r), &b);
	bool post;

	if (k == PF_BEAT_UNREADABLE) {
		event_log(EV_BAD_INPUT, "from=worker what=\"%s %s\"", http_method(r),
			http_path(r));
		http_reply(r, 400, NULL, "", 0);
		return;
	}
	pthread_mutex_lock(&w->lock);
	pf_beat_clear(&w->beat_next);
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
	pf_beat_clear(&w->beat);
	pf_beat_clear(&w->beat_next);
	free(w->life);
	g_ptr_array_unref(w->open);
	free(w);
}

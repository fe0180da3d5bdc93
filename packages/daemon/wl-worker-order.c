#include "wl-worker-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Orders to the worker of this VM. One without an answer may have been carried out, or may be
 * later: it is sent again, and a start is made void before its task may run elsewhere.
 */

COUNTER(starts_total, "damaskpath_starts_total", "Starts sent to the worker.");
COUNTER(starts_unsure, "damaskpath_starts_unsure_total", "Starts without an answer.");
COUNTER(stops_total, "damaskpath_stops_total", "Stops sent to the worker.");
HISTOGRAM(start_seconds, "damaskpath_start_seconds", "Time until the worker answers a start.");

/* An order without an answer is sent so often: carried out twice it has the effect of one. */
#define ORDER_SENDS_MAX 3
/* A start without an answer may still show in the lists; then it is made void. */
#define UNSURE_PATIENCE (400 * NSEC_PER_MSEC)

static int64_t now_of(const struct wl_worker *w)
{
	return loop_now(w->p->loop);
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
void worker_open_drop(struct wl_worker *w, struct open_start *s)
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
	worker_open_drop(w, s);
}

/* Up to which start all outcomes are known. */
uint64_t worker_covers(const struct wl_worker *w)
{
	uint64_t least = w->last_ordinal + 1;

	for (guint i = 0; i < w->open->len; i++)
		least = MIN(least, ((struct open_start *)w->open->pdata[i])->ordinal);
	return least - 1;
}

/* The answer to an order has come, or will not; order_end follows. */
static void order_answered(struct http_call *c, struct pf_reply *r)
{
	((struct worker_call *)c->arg)->worker->calls--;
	pf_reply_parse(c, r);
}

/* Free an order's call and its answer. */
static void order_end(struct http_call *c, struct pf_reply *r)
{
	free(c->arg);
	pf_reply_clear(r);
	http_call_free(c);
}

/* The stop that makes an unanswered start void was answered, or not. */
static void void_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct open_start *s = wc->start;
	struct pf_reply r;

	order_answered(c, &r);
	s->calling = false;
	if (s->dropped)
		open_free(s);
	else if (r.kind == PF_REPLY_OK)
		s->void_since = now_of(w);
	else
		s->sent = now_of(w);
	order_end(c, &r);
}

/* See to the starts without an answer, by lists that were asked for at a time. */
void worker_settle_unsure(struct wl_worker *w, const struct pf_reply *r, int64_t asked)
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
			worker_send_call(w,
				pf_worker_stop(w->p->settings.worker_addr, w->beat.id, w->term,
					s->task, s->attempt),
				s, void_done);
		}
	}
}

/* Whether some start waits for its outcome. */
bool worker_has_unsure(const struct wl_worker *w)
{
	for (guint i = 0; i < w->open->len; i++) {
		if (((struct open_start *)w->open->pdata[i])->unsure)
			return true;
	}
	return false;
}

/* What an answer to a start means to the coordinator. */
static enum wl_answer answer_of(enum pf_reply_kind k)
{
	switch (k) {
	case PF_REPLY_OK:
		return WL_ANSWER_RUNNING;
	case PF_REPLY_STALE_ATTEMPT:
		return WL_ANSWER_REFUSED_OLD;
	case PF_REPLY_NO_CAPACITY:
		return WL_ANSWER_REFUSED_ROOM;
	case PF_REPLY_INVALID_TICKET:
		return WL_ANSWER_REFUSED_TICKET;
	case PF_REPLY_UNHEALTHY:
		return WL_ANSWER_UNHEALTHY;
	case PF_REPLY_FENCED:
	case PF_REPLY_DEADLINE_PASSED:
	case PF_REPLY_OTHER_INSTANCE:
	case PF_REPLY_REFUSED:
	case PF_REPLY_NO_ANSWER:
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
	worker_send_call(w,
		pf_worker_start(w->p->settings.worker_addr, w->beat.id, w->term, deadline,
			s->payload, &start),
		s, start_done);
}

/* No answer came: send the start again, or leave it to the lists. */
static void start_unanswered(struct wl_worker *w, struct open_start *s)
{
	int64_t deadline = worker_lease_deadline(w);
	bool again = s->sends < ORDER_SENDS_MAX && deadline != 0 && s->term == w->term;

	counter_add(&starts_unsure, 1);
	event_log(EV_START_UNSURE, "task=%s attempt=%u sends=%u again=%d", s->task, s->attempt,
		s->sends, again);
	if (again)
		start_send(w, s, deadline);
	else
		s->unsure = true;
}

/*
 * Whether an answer says only that the start comes too late: where it was sent before, the
 * worker may have run it and listed its end, which the coordinator has to see first.
 */
static bool may_have_ended(const struct open_start *s, enum pf_reply_kind k)
{
	return k == PF_REPLY_STALE_ATTEMPT && s->sends > 1;
}

/* The worker answered to a start, or not. */
static void start_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct open_start *s = wc->start;
	struct pf_reply r;

	order_answered(c, &r);
	histogram_add(&start_seconds, now_of(w) - s->sent);
	s->calling = false;
	if (s->dropped) {
		open_free(s);
	} else if (r.kind == PF_REPLY_NO_ANSWER) {
		start_unanswered(w, s);
	} else if (may_have_ended(s, r.kind)) {
		s->unsure = true;
		s->void_since = now_of(w);
	} else {
		open_answer(w, s, answer_of(r.kind));
		if (r.kind == PF_REPLY_FENCED && wc->term == w->term)
			w->ev.fenced(w->ev.arg);
	}
	order_end(c, &r);
}

/* Whether an order is of the coordinator that we follow and for this life of the worker. */
static bool is_for_us(const struct wl_worker *w, uint64_t term, const char *life)
{
	return term == w->term && w->life != NULL && g_strcmp0(life, w->life) == 0;
}

/* Start tasks; one for another life or without authority is refused here. */
void wl_worker_start(struct wl_worker *w, const struct wl_start_order *o)
{
	int64_t deadline = worker_lease_deadline(w);
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
	worker_send_call(w,
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
	worker_send_call(w, c, NULL, stop_done);
	((struct worker_call *)c->arg)->stop = s;
}

/* The worker answered to a stop, or not; its effect shows in the lists. */
static void stop_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct open_stop *s = wc->stop;
	struct pf_reply r;

	order_answered(c, &r);
	if (r.kind == PF_REPLY_NO_ANSWER && s->sends < ORDER_SENDS_MAX && wc->term == w->term &&
		!w->freed) {
		stop_send(w, s);
	} else {
		free(s->task);
		free(s);
	}
	order_end(c, &r);
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
	worker_send_call(w,
		pf_worker_pace(w->p->settings.worker_addr, w->beat.id, w->term, o->task,
			o->attempt, o->percent),
		NULL, order_done);
}

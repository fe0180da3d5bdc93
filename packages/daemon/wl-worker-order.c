#include "wl-worker-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Orders to the worker of this VM. One without an answer may have been carried out, or may be
 * later: it is sent again, and a start is made void before its task may run elsewhere.
 */

COUNTER(starts_total, "damaskpath_starts_total", "Starts sent to the worker.");
COUNTER(starts_unanswered, "damaskpath_starts_unsure_total", "Starts without an answer.");
COUNTER(stops_total, "damaskpath_stops_total", "Stops sent to the worker.");
HISTOGRAM(start_seconds, "damaskpath_start_seconds", "Time until the worker answers a start.");

/* An order without an answer is sent so often: carried out twice it has the effect of one. */
#define ORDER_SENDS_MAX 3
/* A start without an answer may still show in the lists; then it is made void. */
#define UNLISTED_START_WAIT (400 * NSEC_PER_MSEC)

static int64_t worker_now(const struct wl_worker *w)
{
	return loop_now(w->p->loop);
}

/* Free an open start. */
static void pending_start_free(void *arg)
{
	struct pending_start *s = arg;

	free(s->instance);
	free(s->task);
	free(s->payload);
	free(s->checkpoint);
	free(s->ticket);
	free(s);
}

/* Forget an open start; one with a call under way is freed when that ends. */
void worker_drop_start(struct wl_worker *w, struct pending_start *s)
{
	s->dropped = true;
	g_ptr_array_remove(w->pending_starts, s);
	if (!s->call_pending)
		pending_start_free(s);
}

/* The outcome of a start is known. */
static void resolve_start(struct wl_worker *w, struct pending_start *s, enum wl_answer answer)
{
	const struct wl_answer_note note = {.term = s->term,
		.life = s->instance,
		.ordinal = s->ordinal,
		.task = s->task,
		.attempt = s->attempt,
		.answer = answer};

	w->events.answer(&note, w->events.arg);
	worker_drop_start(w, s);
}

/* Up to which start all outcomes are known. */
uint64_t worker_settled_ordinal(const struct wl_worker *w)
{
	uint64_t least = w->last_start_ordinal + 1;

	for (guint i = 0; i < w->pending_starts->len; i++)
		least = MIN(
			least, ((struct pending_start *)w->pending_starts->pdata[i])->ordinal);
	return least - 1;
}

/* The answer to an order has come, or will not; order_end follows. */
static void order_parse_reply(struct http_call *c, struct pf_reply *r)
{
	((struct worker_call *)c->arg)->worker->calls_pending--;
	pf_reply_parse(c, r);
}

/* Free an order's call and its answer. */
static void order_call_free(struct http_call *c, struct pf_reply *r)
{
	free(c->arg);
	pf_reply_clear(r);
	http_call_free(c);
}

/* The stop that makes an unanswered start void was answered, or not. */
static void void_stop_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct pending_start *s = wc->start;
	struct pf_reply r;

	order_parse_reply(c, &r);
	s->call_pending = false;
	if (s->dropped)
		pending_start_free(s);
	else if (r.kind == PF_REPLY_OK)
		s->voided_at = worker_now(w);
	else
		s->sent_at = worker_now(w);
	order_call_free(c, &r);
}

/* See to the starts without an answer, by lists that were asked for at a time. */
void worker_resolve_unknown_starts(
	struct wl_worker *w, const struct pf_reply *r, int64_t requested_at)
{
	for (guint i = w->pending_starts->len; i > 0; i--) {
		struct pending_start *s = w->pending_starts->pdata[i - 1];
		bool listed = false;

		if (!s->outcome_unknown || s->call_pending)
			continue;
		for (uint32_t k = 0; k < r->runs_len && !listed; k++)
			listed = strcmp(r->runs[k].task, s->task) == 0 &&
				 r->runs[k].attempt == s->attempt;
		if (listed) {
			resolve_start(w, s, WL_ANSWER_RUNNING);
		} else if (s->voided_at > 0) {
			if (requested_at > s->voided_at)
				resolve_start(w, s, WL_ANSWER_REFUSED_OTHER);
		} else if (worker_now(w) - s->sent_at > UNLISTED_START_WAIT) {
			s->call_pending = true;
			worker_send_call(w,
				pf_worker_stop(w->p->settings.worker_addr, w->heartbeat.id,
					w->term, s->task, s->attempt),
				s, void_stop_done);
		}
	}
}

/* Whether some start waits for its outcome. */
bool worker_has_unknown_starts(const struct wl_worker *w)
{
	for (guint i = 0; i < w->pending_starts->len; i++) {
		if (((struct pending_start *)w->pending_starts->pdata[i])->outcome_unknown)
			return true;
	}
	return false;
}

/* What an answer to a start means to the coordinator. */
static enum wl_answer start_answer(enum pf_reply_kind k)
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
static void start_send(struct wl_worker *w, struct pending_start *s, int64_t deadline)
{
	const struct wl_start start = {.task = s->task,
		.attempt = s->attempt,
		.checkpoint = s->checkpoint,
		.ticket = s->ticket};

	counter_add(&starts_total, 1);
	s->call_pending = true;
	s->send_count++;
	s->sent_at = worker_now(w);
	worker_send_call(w,
		pf_worker_start(w->p->settings.worker_addr, w->heartbeat.id, w->term, deadline,
			s->payload, &start),
		s, start_done);
}

/* No answer came: send the start again, or leave it to the lists. */
static void handle_unanswered_start(struct wl_worker *w, struct pending_start *s)
{
	int64_t deadline = worker_lease_deadline(w);
	bool again = s->send_count < ORDER_SENDS_MAX && deadline != 0 && s->term == w->term;

	counter_add(&starts_unanswered, 1);
	event_log(EV_START_UNSURE, "task=%s attempt=%u sends=%u again=%d", s->task, s->attempt,
		s->send_count, again);
	if (again)
		start_send(w, s, deadline);
	else
		s->outcome_unknown = true;
}

/*
 * Whether an answer says only that the start comes too late: where it was sent before, the
 * worker may have run it and listed its end, which the coordinator has to see first.
 */
static bool may_have_ended(const struct pending_start *s, enum pf_reply_kind k)
{
	return k == PF_REPLY_STALE_ATTEMPT && s->send_count > 1;
}

/* The worker answered to a start, or not. */
static void start_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct pending_start *s = wc->start;
	struct pf_reply r;

	order_parse_reply(c, &r);
	histogram_add(&start_seconds, worker_now(w) - s->sent_at);
	s->call_pending = false;
	if (s->dropped) {
		pending_start_free(s);
	} else if (r.kind == PF_REPLY_NO_ANSWER) {
		handle_unanswered_start(w, s);
	} else if (may_have_ended(s, r.kind)) {
		s->outcome_unknown = true;
		s->voided_at = worker_now(w);
	} else {
		resolve_start(w, s, start_answer(r.kind));
		if (r.kind == PF_REPLY_FENCED && wc->term == w->term)
			w->events.fenced(w->events.arg);
	}
	order_call_free(c, &r);
}

/* Whether an order is of the coordinator that we follow and for this life of the worker. */
static bool is_current(const struct wl_worker *w, uint64_t term, const char *life)
{
	return term == w->term && w->instance != NULL && g_strcmp0(life, w->instance) == 0;
}

/* Start tasks; one for another life or without authority is refused here. */
void wl_worker_start(struct wl_worker *w, const struct wl_start_order *o)
{
	int64_t deadline = worker_lease_deadline(w);
	bool current = is_current(w, o->term, o->life);

	for (uint32_t i = 0; i < o->starts_len; i++) {
		struct pending_start *s = xcalloc(1, sizeof(*s));

		s->worker = w;
		s->ordinal = o->starts[i].ordinal;
		s->term = o->term;
		s->instance = xstrdup(o->life);
		s->task = xstrdup(o->starts[i].task);
		s->attempt = o->starts[i].attempt;
		s->payload = xstrdup(o->payload);
		s->checkpoint = xstrdup(o->starts[i].checkpoint);
		s->ticket = xstrdup(o->starts[i].ticket);
		g_ptr_array_add(w->pending_starts, s);
		w->last_start_ordinal = MAX(w->last_start_ordinal, s->ordinal);
		if (!current || deadline == 0)
			resolve_start(w, s, WL_ANSWER_REFUSED_OTHER);
		else
			start_send(w, s, deadline);
	}
}

/* An order that the lists will show the effect of was answered. */
static void pace_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;

	wc->worker->calls_pending--;
	http_call_free(c);
	free(wc);
}

/*
 * Make a start void that an earlier process of ours may have sent, or that never came: once the
 * stop is answered it cannot begin, and the next lists show whether it has.
 */
static void void_unknown_start(struct wl_worker *w, const struct wl_stop_order *o)
{
	struct pending_start *s;

	for (guint i = 0; i < w->pending_starts->len; i++) {
		if (((struct pending_start *)w->pending_starts->pdata[i])->ordinal ==
			o->ordinal)
			return;
	}
	s = xcalloc(1, sizeof(*s));
	s->worker = w;
	s->ordinal = o->ordinal;
	s->term = o->term;
	s->instance = xstrdup(o->life);
	s->task = xstrdup(o->task);
	s->attempt = o->attempt;
	s->sent_at = worker_now(w);
	s->outcome_unknown = true;
	s->call_pending = true;
	g_ptr_array_add(w->pending_starts, s);
	worker_send_call(w,
		pf_worker_stop(w->p->settings.worker_addr, w->heartbeat.id, w->term, o->task,
			o->attempt),
		s, void_stop_done);
}

static void stop_done(struct http_call *c, void *arg);

/* Send a stop, for the first time or again. */
static void stop_send(struct wl_worker *w, struct pending_stop *s)
{
	struct http_call *c = pf_worker_stop(
		w->p->settings.worker_addr, w->heartbeat.id, w->term, s->task, s->attempt);

	counter_add(&stops_total, 1);
	s->send_count++;
	worker_send_call(w, c, NULL, stop_done);
	((struct worker_call *)c->arg)->stop = s;
}

/* The worker answered to a stop, or not; its effect shows in the lists. */
static void stop_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct pending_stop *s = wc->stop;
	struct pf_reply r;

	order_parse_reply(c, &r);
	if (r.kind == PF_REPLY_NO_ANSWER && s->send_count < ORDER_SENDS_MAX &&
		wc->term == w->term && !w->freed) {
		stop_send(w, s);
	} else {
		free(s->task);
		free(s);
	}
	order_call_free(c, &r);
}

/* Stop a run; the coordinator asks again where it goes on. */
void wl_worker_stop(struct wl_worker *w, const struct wl_stop_order *o)
{
	struct pending_stop *s;

	if (!is_current(w, o->term, o->life))
		return;
	if (o->ordinal != 0) {
		void_unknown_start(w, o);
		return;
	}
	/* A start that is under way is not sent again behind its stop. */
	for (guint i = 0; i < w->pending_starts->len; i++) {
		struct pending_start *start = w->pending_starts->pdata[i];

		if (start->attempt == o->attempt && strcmp(start->task, o->task) == 0)
			start->send_count = ORDER_SENDS_MAX;
	}
	s = xcalloc(1, sizeof(*s));
	s->task = xstrdup(o->task);
	s->attempt = o->attempt;
	stop_send(w, s);
}

/* Let a run work slower or at full speed again. */
void wl_worker_pace(struct wl_worker *w, const struct wl_pace_order *o)
{
	if (!is_current(w, o->term, o->life))
		return;
	worker_send_call(w,
		pf_worker_pace(w->p->settings.worker_addr, w->heartbeat.id, w->term, o->task,
			o->attempt, o->percent),
		NULL, pace_done);
}

#include "wl-worker-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Orders to the worker of this VM. An order without an answer may have been carried out, or may
 * be later, so it is sent again. A start with a send that got no answer, whatever the others
 * got, is voided by a stop (see pending_start.voided_at) before its task may run elsewhere.
 */

COUNTER(starts_total, "damaskpath_starts_total", "Starts sent to the worker.");
COUNTER(starts_unanswered, "damaskpath_starts_unsure_total", "Starts without an answer.");
COUNTER(stops_total, "damaskpath_stops_total", "Stops sent to the worker.");
HISTOGRAM(start_seconds, "damaskpath_start_seconds", "Time until the worker answers a start.");

/*
 * How many times a start, or a stop of a run, is sent in all while it has no answer; both are
 * idempotent. A stop that voids a start has no such limit.
 */
#define ORDER_SENDS_MAX 3
/*
 * Orders that are under way at a time. A job may start thousands of tasks on a worker at once:
 * each call takes a descriptor and memory, and an overloaded worker answers none in time.
 */
#define ORDERS_IN_FLIGHT_MAX 32
/*
 * A start without an answer may still show up in the worker's lists; one that has not this
 * long after it was last sent is voided by a stop.
 */
#define UNLISTED_START_WAIT (400 * NSEC_PER_MSEC)
/*
 * Starts that have waited here for longer are not sent where zones can be evacuated. The
 * scheduler core counts on a second from its decision to the worker's start (wl-evacuate.c).
 */
#define START_AGE_MAX (800 * NSEC_PER_MSEC)

static int64_t worker_now(const struct wl_worker *w)
{
	return loop_now(w->p->loop);
}

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

static void pending_start_add(struct wl_worker *w, struct pending_start *s)
{
	s->position = w->pending_starts->len;
	g_ptr_array_add(w->pending_starts, s);
}

/* Removes a pending start; while a call for it is under way, that call's end frees it. */
static void drop_start(struct wl_worker *w, struct pending_start *s)
{
	struct pending_start *last = w->pending_starts->pdata[w->pending_starts->len - 1];

	last->position = s->position;
	g_ptr_array_remove_index_fast(w->pending_starts, s->position);
	s->dropped = true;
	if (!s->call_pending)
		pending_start_free(s);
}

static void pending_stop_free(void *arg)
{
	struct pending_stop *s = arg;

	free(s->task);
	free(s);
}

void worker_drop_orders(struct wl_worker *w)
{
	g_queue_clear(&w->queued_starts);
	g_queue_clear_full(&w->queued_stops, pending_stop_free);
	while (w->pending_starts->len > 0)
		drop_start(w, w->pending_starts->pdata[w->pending_starts->len - 1]);
}

/* Reports a start's outcome to the coordinator. */
static void resolve_start(struct wl_worker *w, struct pending_start *s, enum wl_answer answer)
{
	const struct wl_answer_note note = {.term = s->term,
		.worker_instance = s->instance,
		.ordinal = s->ordinal,
		.task = s->task,
		.attempt = s->attempt,
		.answer = answer};

	w->events.answer(&note, w->events.arg);
	drop_start(w, s);
}

uint64_t worker_settled_ordinal(const struct wl_worker *w)
{
	uint64_t least = w->last_start_ordinal + 1;

	for (guint i = 0; i < w->pending_starts->len; i++)
		least = MIN(
			least, ((struct pending_start *)w->pending_starts->pdata[i])->ordinal);
	return least - 1;
}

/* Sends a call that carries an order; order_parse_reply has to follow. */
static void order_send(struct wl_worker *w, struct http_call *c, struct pending_start *s,
	void (*done)(struct http_call *call, void *arg))
{
	w->orders_in_flight++;
	worker_send_call(w, c, s, done);
}

/* Decodes the answer to an order; order_call_free has to follow. */
static void order_parse_reply(struct http_call *c, struct pf_reply *r)
{
	struct wl_worker *w = ((struct worker_call *)c->arg)->worker;

	w->calls_pending--;
	w->orders_in_flight--;
	pf_reply_parse(c, r);
}

static void send_queued_orders(struct wl_worker *w);

/* Frees the call of an order, and sends orders that waited for it. */
static void order_call_free(struct http_call *c, struct pf_reply *r)
{
	struct wl_worker *w = ((struct worker_call *)c->arg)->worker;

	free(c->arg);
	pf_reply_clear(r);
	http_call_free(c);
	send_queued_orders(w);
}

/* Handles the answer to a stop that voids a start; if it failed, it is sent again later. */
static void void_stop_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct pending_start *s = wc->start;
	struct pf_reply r;

	order_parse_reply(c, &r);
	s->call_pending = false;
	s->void_lists_after = 0;
	if (r.kind == PF_REPLY_OK)
		s->voided_at = worker_now(w);
	else
		s->last_try_at = worker_now(w);
	if (s->dropped)
		pending_start_free(s);
	order_call_free(c, &r);
}

/* Whether a start of unknown outcome that is not in these lists is to be voided. */
static bool is_void_due(const struct pending_start *s, int64_t now, int64_t requested_at)
{
	if (s->void_lists_after > 0 && requested_at > s->void_lists_after)
		return true;
	return now - s->last_try_at > UNLISTED_START_WAIT;
}

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
		} else if (!r->lists_complete) {
			continue;
		} else if (s->voided_at > 0) {
			if (requested_at > s->voided_at)
				resolve_start(w, s, s->refusal);
		} else if (s->deadline_ms > 0 && r->clock_ms > s->deadline_ms) {
			/* Whatever arrives now is refused as late. */
			resolve_start(w, s, s->refusal);
		} else if (w->orders_in_flight < ORDERS_IN_FLIGHT_MAX &&
			   is_void_due(s, worker_now(w), requested_at)) {
			s->call_pending = true;
			order_send(w,
				pf_worker_stop(w->p->settings.worker_addr, w->heartbeat.id,
					worker_fence(w), s->task, s->attempt),
				s, void_stop_done);
		}
	}
}

bool worker_has_unknown_starts(const struct wl_worker *w)
{
	for (guint i = 0; i < w->pending_starts->len; i++) {
		if (((struct pending_start *)w->pending_starts->pdata[i])->outcome_unknown)
			return true;
	}
	return false;
}

/*
 * The worker's answer to a start, as it is reported to the coordinator. Refusals that have no
 * answer of their own are reported as WL_ANSWER_REFUSED_OTHER.
 */
static enum wl_answer start_answer(enum pf_reply_kind k)
{
	switch (k) {
	case PF_REPLY_OK:
		return WL_ANSWER_RUNNING;
	case PF_REPLY_STALE_ATTEMPT:
		return WL_ANSWER_REFUSED_STALE_ATTEMPT;
	case PF_REPLY_NO_CAPACITY:
		return WL_ANSWER_REFUSED_NO_CAPACITY;
	case PF_REPLY_INVALID_TICKET:
		return WL_ANSWER_REFUSED_INVALID_TICKET;
	case PF_REPLY_UNAVAILABLE:
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

/*
 * Sends a start, for the first time or again: a worker that already has the run confirms it.
 * Only starts of the current term are sent, so w->term is also theirs.
 */
static void start_send(struct wl_worker *w, struct pending_start *s, int64_t deadline)
{
	const struct wl_start start = {.task = s->task,
		.attempt = s->attempt,
		.checkpoint = s->checkpoint,
		.ticket = s->ticket};

	counter_add(&starts_total, 1);
	s->call_pending = true;
	s->sends_used++;
	s->deadline_ms = MAX(s->deadline_ms, deadline);
	s->last_try_at = worker_now(w);
	order_send(w,
		pf_worker_start(w->p->settings.worker_addr, w->heartbeat.id, worker_fence(w),
			deadline, s->payload, &start),
		s, start_done);
}

/*
 * Whether a start is not to be sent any more: where zones can be evacuated, the coordinator
 * orders it by what it knew of them when it sent the order.
 */
static bool start_is_late(const struct wl_worker *w, const struct pending_start *s)
{
	return w->p->settings.evacuation_max > 0 &&
	       worker_now(w) - s->received_at > START_AGE_MAX;
}

/* Sends the start again, or leaves its outcome to be found out from the worker's lists. */
static void handle_unanswered_start(struct wl_worker *w, struct pending_start *s)
{
	int64_t deadline = worker_lease_deadline(w);
	bool again = s->sends_used < ORDER_SENDS_MAX && !s->stop_ordered && deadline != 0 &&
		     s->term == w->term && !start_is_late(w, s);

	s->unanswered = true;
	counter_add(&starts_unanswered, 1);
	event_log(EV_START_UNSURE, "task=%s attempt=%u sends=%u again=%d", s->task, s->attempt,
		s->sends_used, again);
	if (again)
		start_send(w, s, deadline);
	else
		s->outcome_unknown = true;
}

/*
 * Handles a refusal. It answers one send: an earlier one that had no answer may have been
 * carried out, or may be later, so the start's outcome is left to the worker's lists.
 *
 * So is that of a start that was refused as a stale attempt after an order to stop it: it may
 * have run before the stop. The coordinator has to get the end of that run, with the next
 * lists, before the start is reported as refused. A stale attempt can't start any more.
 */
static void handle_refused_start(
	struct wl_worker *w, struct pending_start *s, enum pf_reply_kind kind)
{
	s->refusal = start_answer(kind);
	if (!s->unanswered && !(kind == PF_REPLY_STALE_ATTEMPT && s->stop_ordered)) {
		resolve_start(w, s, s->refusal);
		return;
	}
	event_log(EV_START_REFUSED, "task=%s attempt=%u sends=%u answer=%s", s->task,
		s->attempt, s->sends_used, wl_answer_name(s->refusal));
	s->outcome_unknown = true;
	s->void_lists_after = worker_now(w);
	if (kind == PF_REPLY_STALE_ATTEMPT)
		s->voided_at = s->void_lists_after;
}

static void start_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct pending_start *s = wc->start;
	struct pf_reply r;

	order_parse_reply(c, &r);
	worker_note_lease(w, c, s->last_try_at);
	histogram_add(&start_seconds, worker_now(w) - s->last_try_at);
	s->call_pending = false;
	if (s->dropped) {
		pending_start_free(s);
	} else if (r.kind == PF_REPLY_NO_ANSWER) {
		handle_unanswered_start(w, s);
	} else if (r.kind == PF_REPLY_OK) {
		resolve_start(w, s, WL_ANSWER_RUNNING);
	} else {
		handle_refused_start(w, s, r.kind);
		if (r.kind == PF_REPLY_FENCED)
			worker_handle_fenced(w, wc);
	}
	order_call_free(c, &r);
}

/* Whether an order is from the current coordinator and for the worker's current instance. */
static bool is_current(const struct wl_worker *w, uint64_t term, const char *instance)
{
	return term == w->term && w->instance != NULL && g_strcmp0(instance, w->instance) == 0;
}

/*
 * Starts tasks. Refuses the order if it is of another term or for another instance, and starts
 * for which, when they are to be sent, this agent has no authority or doesn't know the worker's
 * clock.
 */
void wl_worker_start_tasks(struct wl_worker *w, const struct wl_start_order *o)
{
	bool current = is_current(w, o->term, o->worker_instance);

	for (uint32_t i = 0; i < o->starts_len; i++) {
		struct pending_start *s = xcalloc(1, sizeof(*s));

		s->worker = w;
		s->ordinal = o->starts[i].ordinal;
		s->term = o->term;
		s->instance = xstrdup(o->worker_instance);
		s->task = xstrdup(o->starts[i].task);
		s->attempt = o->starts[i].attempt;
		s->payload = xstrdup(o->payload);
		s->checkpoint = xstrdup(o->starts[i].checkpoint);
		s->ticket = xstrdup(o->starts[i].ticket);
		s->refusal = WL_ANSWER_REFUSED_OTHER;
		s->received_at = worker_now(w);
		pending_start_add(w, s);
		w->last_start_ordinal = MAX(w->last_start_ordinal, s->ordinal);
		if (!current)
			resolve_start(w, s, WL_ANSWER_REFUSED_OTHER);
		else
			g_queue_push_tail(&w->queued_starts, s);
	}
	send_queued_orders(w);
}

/*
 * Ignores the answer: an order that fails is not sent again here, and the worker's lists don't
 * hold a run's speed limit.
 */
static void pace_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;

	wc->worker->calls_pending--;
	http_call_free(c);
	free(wc);
}

/*
 * Voids a start that an earlier process of this agent may have sent, or whose order never
 * reached this agent. Once the worker has confirmed the stop, it can't start the task any more,
 * and its next lists show whether it had started it before.
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
	s->instance = xstrdup(o->worker_instance);
	s->task = xstrdup(o->task);
	s->attempt = o->attempt;
	s->refusal = WL_ANSWER_REFUSED_OTHER;
	s->outcome_unknown = true;
	pending_start_add(w, s);
	/* If it can't be sent now, the worker's next lists have it sent. */
	if (w->orders_in_flight >= ORDERS_IN_FLIGHT_MAX)
		return;
	s->last_try_at = worker_now(w);
	s->call_pending = true;
	order_send(w,
		pf_worker_stop(w->p->settings.worker_addr, w->heartbeat.id, worker_fence(w),
			o->task, o->attempt),
		s, void_stop_done);
}

static void stop_done(struct http_call *c, void *arg);

static void stop_send(struct wl_worker *w, struct pending_stop *s)
{
	struct http_call *c = pf_worker_stop(w->p->settings.worker_addr, w->heartbeat.id,
		worker_fence(w), s->task, s->attempt);

	counter_add(&stops_total, 1);
	s->send_count++;
	order_send(w, c, NULL, stop_done);
	((struct worker_call *)c->arg)->stop = s;
}

/* Sends the orders that wait, stops first, as far as there may be more under way. */
static void send_queued_orders(struct wl_worker *w)
{
	while (w->orders_in_flight < ORDERS_IN_FLIGHT_MAX && !w->freed) {
		struct pending_stop *stop = g_queue_pop_head(&w->queued_stops);
		int64_t deadline = worker_lease_deadline(w);
		struct pending_start *s;

		if (stop != NULL) {
			stop_send(w, stop);
			continue;
		}
		s = g_queue_pop_head(&w->queued_starts);
		if (s == NULL)
			return;
		if (s->stop_ordered)
			resolve_start(w, s, WL_ANSWER_REFUSED_STALE_ATTEMPT);
		else if (deadline == 0 || start_is_late(w, s))
			resolve_start(w, s, WL_ANSWER_REFUSED_OTHER);
		else
			start_send(w, s, deadline);
	}
}

/* Sends the stop again if it has no answer; its effect shows in the worker's lists. */
static void stop_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct pending_stop *s = wc->stop;
	struct pf_reply r;

	order_parse_reply(c, &r);
	if (r.kind == PF_REPLY_NO_ANSWER && s->send_count < ORDER_SENDS_MAX &&
		wc->fence == worker_fence(w) && !w->freed) {
		stop_send(w, s);
	} else {
		pending_stop_free(s);
	}
	order_call_free(c, &r);
}

/* Stops a run, or voids a start. The coordinator orders a stop again while the run goes on. */
void wl_worker_stop_run(struct wl_worker *w, const struct wl_stop_order *o)
{
	struct pending_stop *s;

	if (!is_current(w, o->term, o->worker_instance))
		return;
	/* With an ordinal it is not an order to stop a run, but to void that start. */
	if (o->ordinal != 0) {
		void_unknown_start(w, o);
		return;
	}
	/* A pending start must not be sent again after its stop. */
	for (guint i = 0; i < w->pending_starts->len; i++) {
		struct pending_start *start = w->pending_starts->pdata[i];

		if (start->attempt == o->attempt && strcmp(start->task, o->task) == 0)
			start->stop_ordered = true;
	}
	s = xcalloc(1, sizeof(*s));
	s->task = xstrdup(o->task);
	s->attempt = o->attempt;
	g_queue_push_tail(&w->queued_stops, s);
	send_queued_orders(w);
}

/* Throttles a run to a percentage of its speed; 100 is full speed. */
void wl_worker_pace_run(struct wl_worker *w, const struct wl_pace_order *o)
{
	if (!is_current(w, o->term, o->worker_instance))
		return;
	worker_send_call(w,
		pf_worker_limit_speed(w->p->settings.worker_addr, w->heartbeat.id,
			worker_fence(w), o->task, o->attempt, o->percent),
		NULL, pace_done);
}

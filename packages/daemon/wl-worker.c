#include "wl-worker-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * The agent's client for the worker of this VM, which sends its heartbeats here and answers
 * calls. The worker keeps the state: running tasks, ended runs and leases. The agent renews the
 * leases while it has authority to, and passes orders and lists between the worker and the
 * coordinator.
 */

/* Long poll: how long the worker may hold back its lists of runs while no run ends. */
#define RENEWAL_WAIT_MS 1000
/* Pause before the next renewal, after a failed one or while heartbeats are missing. */
#define RENEWAL_RETRY_DELAY (250 * NSEC_PER_MSEC)
/* Time for the coordinator to store ended runs before the lists are requested again. */
#define ENDS_STORE_DELAY (150 * NSEC_PER_MSEC)
/*
 * While the worker has sent no heartbeat for this long, its leases are not renewed and its
 * lists not requested. It is not reported as having left, and its instance is kept.
 */
#define HEARTBEAT_TIMEOUT (8 * NSEC_PER_SEC)
/* After this many renewals in a row without an answer, further ones only request the lists. */
#define UNANSWERED_RENEWALS_MAX 3
/* A worker is lost at the earliest after this silence, however short its leases are. */
#define LOST_SILENCE (4 * NSEC_PER_SEC)

/*
 * A fencing token is the term and, in its lower bits, the rank of the worker's instance. The
 * rank follows from the instance's start time, so that another process of this agent gets the
 * same. Tokens of RANK_BITS + 21 bits are exact even if the worker reads numbers as doubles.
 */
#define RANK_BITS    32
#define RANK_MAX     ((INT64_C(1) << RANK_BITS) - 1)
#define RANK_UNIT_MS 1024

static void renew_and_list(struct wl_worker *w);

static int64_t worker_now(const struct wl_worker *w)
{
	return loop_now(w->p->loop);
}

/*
 * An order that the worker carries out late may reach its next instance, which may have the
 * same id and knows neither tokens nor stops. The first call with that instance's own token
 * shuts out all orders to the instances before.
 */
uint64_t worker_fence(const struct wl_worker *w)
{
	return (w->term << RANK_BITS) | w->instance_rank;
}

/* Ranks an instance by its start time, but above the one before if this process knows it. */
static void rank_instance(struct wl_worker *w, int64_t started_at)
{
	int64_t by_time = CLAMP(started_at / RANK_UNIT_MS, 1, RANK_MAX);

	w->instance_rank = (uint64_t)MIN(MAX(by_time, (int64_t)w->instance_rank + 1), RANK_MAX);
	w->rank_step = 0;
}

void worker_handle_fenced(struct wl_worker *w, const struct worker_call *wc)
{
	if (wc->fence != worker_fence(w))
		return;
	/*
	 * Either there is a higher term, which no rank can outdo, or an earlier process of this
	 * agent has ranked the instance higher: the worker's clock had been set back.
	 */
	w->rank_step = w->rank_step * 2 + 1;
	w->instance_rank = MIN(w->instance_rank + w->rank_step, (uint64_t)RANK_MAX);
	event_log(EV_WORKER_FENCED, "life=%s term=%" PRIu64 " rank=%" PRIu64,
		w->instance != NULL ? w->instance : "-", w->term, w->instance_rank);
	w->events.fenced(w->events.arg);
}

void worker_send_call(struct wl_worker *w, struct http_call *c, struct pending_start *s,
	void (*done)(struct http_call *call, void *arg))
{
	struct worker_call *wc = xcalloc(1, sizeof(*wc));

	wc->worker = w;
	wc->start = s;
	wc->fence = worker_fence(w);
	wc->instance_count = w->instance_count;
	c->done = done;
	c->arg = wc;
	w->calls_pending++;
	http_client_send(w->p->http, c);
}

/*
 * A lower bound of the worker's clock, in ms: the time that its last answer took to arrive is
 * not counted. 0 before the clock is known.
 */
static int64_t worker_clock_ms(const struct wl_worker *w)
{
	if (w->clock_at == 0)
		return 0;
	return w->clock_ms + (worker_now(w) - w->clock_at) / NSEC_PER_MSEC;
}

int64_t worker_lease_deadline(const struct wl_worker *w)
{
	if (worker_now(w) >= w->authority_until || w->clock_at == 0)
		return 0;
	return worker_clock_ms(w) + w->p->settings.lease_max / NSEC_PER_MSEC;
}

void worker_note_lease(struct wl_worker *w, const struct http_call *c, int64_t sent_at)
{
	/* From the last time that the worker's clock was known to when the lease ends. */
	int64_t span = w->p->settings.lease_max;

	if (c->error != NULL && c->never_sent)
		return;
	/* 0 after a change of the instance: the lease was that of the one before. */
	if (w->clock_at != 0)
		span += MAX(sent_at - w->clock_at, 0);
	w->lease_end_at =
		MAX(w->lease_end_at, sent_at + w->p->settings.lease_max +
					     span / SLOW_CLOCK_DIVISOR + RUN_LEASE_MARGIN);
}

/* Switches to another instance of the worker; drops the starts pending at the previous one. */
static void begin_instance(struct wl_worker *w, const char *id, int64_t instance_started_at)
{
	AUTOFREE char *previous = w->instance;

	xasprintf(&w->instance, "%s@%" PRId64, id, instance_started_at);
	event_log(EV_WORKER_LIFE, "life=%s previous=%s starts=%u", w->instance,
		previous != NULL ? previous : "-", w->pending_starts->len);
	if (instance_started_at != w->instance_started_at)
		rank_instance(w, instance_started_at);
	w->previous_started_at = w->instance_started_at;
	w->instance_started_at = instance_started_at;
	w->instance_count++;
	w->replaced = false;
	w->clock_at = 0;
	w->lost = false;
	w->leaving = false;
	w->unanswered = 0;
	w->ends_stored = 0;
	w->ends_listed = 0;
	w->ends_left = false;
	worker_drop_orders(w);
}

/*
 * Takes the worker's clock, or another instance, from an answer. The answer to a call that was
 * sent since the current instance is known shows which one lives now, whatever its start time.
 */
static void observe_reply(
	struct wl_worker *w, const struct worker_call *wc, const struct pf_reply *r)
{
	bool sent_to_current = wc->instance_count == w->instance_count;

	if (r->kind == PF_REPLY_OTHER_INSTANCE) {
		w->replaced |= sent_to_current;
		return;
	}
	if (r->instance_started_at != 0 && w->heartbeat.id != NULL &&
		r->instance_started_at != w->instance_started_at) {
		if (sent_to_current)
			begin_instance(w, w->heartbeat.id, r->instance_started_at);
		return;
	}
	if (r->clock_ms > 0) {
		w->clock_ms = r->clock_ms;
		w->clock_at = worker_now(w);
		w->heard_at = w->clock_at;
		w->lost = false;
	}
}

/*
 * Reports the worker's state, as of its last heartbeat, and the lists in r. sent_ns is when the
 * lists were requested, not when the report is sent: the authority that the coordinator's reply
 * extends counts from it, and an earlier time only shortens that.
 */
static void report_runs(struct wl_worker *w, const struct pf_reply *r)
{
	struct wl_report out = w->heartbeat.worker_report;

	out.term = w->term;
	out.node = w->p->settings.node;
	out.worker_instance = w->instance;
	out.left = w->left || w->lost;
	out.partial = !r->lists_complete;
	out.covers = out.partial ? 0 : w->renewal_settled_ordinal;
	out.sent_ns = (uint64_t)w->renewal_sent_at;
	out.speed = w->speed;
	out.runs = r->runs;
	out.runs_len = r->runs_len;
	out.ends = r->ends;
	out.ends_len = r->ends_len;
	w->events.report(&out, w->events.arg);
}

/*
 * Reports a worker as gone that neither answers nor sends heartbeats, once nothing can be
 * running on it any more. An answer ends this.
 */
static void check_lost(struct wl_worker *w)
{
	const struct pf_reply none = {.lists_present = true, .lists_complete = true};
	int64_t now = worker_now(w);

	if (w->lost || w->left || w->term == 0 || w->instance == NULL || w->calls_pending > 0 ||
		now <= w->lease_end_at ||
		now - MAX(w->heard_at, w->heartbeat_at) < LOST_SILENCE)
		return;
	w->lost = true;
	event_log(EV_WORKER_LOST, "life=%s silent_ms=%" PRId64, w->instance,
		(now - MAX(w->heard_at, w->heartbeat_at)) / NSEC_PER_MSEC);
	w->renewal_sent_at = now;
	w->renewal_settled_ordinal = w->last_start_ordinal;
	report_runs(w, &none);
}

static void on_renewal_timer(void *arg)
{
	struct wl_worker *w = arg;

	w->renewal_timer = NULL;
	check_lost(w);
	renew_and_list(w);
}

static void schedule_renewal(struct wl_worker *w, int64_t pause)
{
	if (w->renewal_timer == NULL)
		w->renewal_timer = loop_timer_add(w->p->loop, pause, 0, on_renewal_timer, w);
}

/* Whether the current instance has said of itself what it can take. */
static bool has_own_heartbeat(const struct wl_worker *w)
{
	return w->instance != NULL &&
	       w->heartbeat.instance_started_at == w->instance_started_at;
}

/*
 * Passes the lists of an answer on. They count only if the call was sent to the current
 * instance, and only with that instance's own heartbeat.
 */
static void process_lists(struct wl_worker *w, const struct worker_call *wc, struct pf_reply *r)
{
	if (wc->fence != worker_fence(w) || wc->instance_count != w->instance_count ||
		!has_own_heartbeat(w))
		return;
	/*
	 * The report with the ended runs is sent first. If a start without an answer has been
	 * voided by a stop, and its run has ended, the run is not listed as running and the
	 * start is reported as refused below. The coordinator must know by then that the run
	 * has ended.
	 */
	worker_limit_checkpoints(w, worker_now(w), r);
	w->ends_left = r->has_more_ends;
	report_runs(w, r);
	worker_resolve_unknown_starts(w, r, w->renewal_sent_at);
	if (r->ends_len > 0)
		w->ends_listed = MAX(w->ends_listed, r->ends[r->ends_len - 1].number);
}

/*
 * The number up to which the worker may forget ended runs. A new instance with the same id that
 * is not known here yet numbers its ends from 1 again. So none are acknowledged while a start
 * without an answer may have reached such an instance, or after a renewal without an answer.
 *
 * Starts don't count while the worker has more ends than it lists: what became of them may
 * show in those only.
 */
static uint64_t ends_to_acknowledge(const struct wl_worker *w)
{
	bool starts_sent = w->pending_starts->len > w->queued_starts.length;

	if (!w->renewal_answered || (starts_sent && !w->ends_left))
		return 0;
	return w->ends_stored;
}

/*
 * Whether an answer lists ends that the next renewal will not acknowledge: the worker would
 * answer that one at once, with the same ends.
 */
static bool lists_unstored_ends(const struct wl_worker *w, const struct pf_reply *r)
{
	return r->ends_len > 0 && r->ends[r->ends_len - 1].number > ends_to_acknowledge(w);
}

static void renewal_done(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct pf_reply r;

	w->calls_pending--;
	w->renewal_pending = false;
	pf_reply_parse(c, &r);
	if (r.kind == PF_REPLY_OK && !r.lists_present)
		r.kind = PF_REPLY_NO_ANSWER;
	if (w->renewal_granted)
		worker_note_lease(w, c, w->renewal_sent_at);
	w->unanswered = r.kind == PF_REPLY_NO_ANSWER ? w->unanswered + 1 : 0;
	if (w->freed) {
		wl_worker_free(w);
	} else {
		observe_reply(w, wc, &r);
		if (r.kind == PF_REPLY_FENCED)
			worker_handle_fenced(w, wc);
		w->renewal_answered =
			r.kind == PF_REPLY_OK && wc->instance_count == w->instance_count;
		if (r.kind == PF_REPLY_OK)
			process_lists(w, wc, &r);
		/* Gives the coordinator some time to store the ends. */
		if (r.kind == PF_REPLY_OK && lists_unstored_ends(w, &r))
			schedule_renewal(w, ENDS_STORE_DELAY);
		else if (r.kind == PF_REPLY_OK && (has_own_heartbeat(w) || w->clock_at == 0))
			renew_and_list(w);
		else
			schedule_renewal(w, RENEWAL_RETRY_DELAY);
	}
	pf_reply_clear(&r);
	http_call_free(c);
	free(wc);
}

/*
 * Sends the renewal, as long as there is a coordinator and the worker has not left. Without
 * authority or the worker's clock the deadline is 0: the call then only requests the lists.
 */
static void renew_and_list(struct wl_worker *w)
{
	struct pf_lease_renewal renewal = {.fence = worker_fence(w),
		.ends_stored = ends_to_acknowledge(w),
		.deadline_ms = worker_lease_deadline(w),
		.wait_ms = RENEWAL_WAIT_MS};

	if (w->renewal_pending || w->renewal_timer != NULL || w->term == 0 ||
		w->heartbeat.id == NULL || w->left)
		return;
	if (worker_now(w) - w->spoke_at > HEARTBEAT_TIMEOUT) {
		schedule_renewal(w, RENEWAL_RETRY_DELAY);
		return;
	}
	if (w->unanswered >= UNANSWERED_RENEWALS_MAX)
		renewal.deadline_ms = 0;
	/* No lease can be renewed until an answer gives the worker's clock: get it at once. */
	if (w->clock_at == 0)
		renewal.wait_ms = 0;
	else if (worker_has_unknown_starts(w))
		renewal.wait_ms = RENEWAL_WAIT_MS / 10;
	w->renewal_pending = true;
	w->renewal_granted = renewal.deadline_ms != 0;
	w->renewal_settled_ordinal = worker_settled_ordinal(w);
	w->renewal_sent_at = worker_now(w);
	worker_send_call(w,
		pf_worker_renew_leases(w->p->settings.worker_addr, w->heartbeat.id, &renewal),
		NULL, renewal_done);
}

void wl_worker_ack_ends(struct wl_worker *w, const struct wl_stored *s)
{
	if (s->term == w->term && w->instance != NULL &&
		g_strcmp0(s->worker_instance, w->instance) == 0)
		w->ends_stored = MAX(w->ends_stored, s->number);
	if (w->renewal_timer != NULL && w->ends_listed <= ends_to_acknowledge(w)) {
		loop_timer_del(w->p->loop, w->renewal_timer);
		w->renewal_timer = NULL;
		renew_and_list(w);
	}
}

void wl_worker_set_term(struct wl_worker *w, uint64_t term)
{
	if (w->term == term)
		return;
	w->term = term;
	w->last_start_ordinal = 0;
	worker_drop_orders(w);
	renew_and_list(w);
}

void wl_worker_note_start_ordinal(struct wl_worker *w, uint64_t ordinal)
{
	w->last_start_ordinal = MAX(w->last_start_ordinal, ordinal);
}

void wl_worker_note_speed(struct wl_worker *w, const struct wl_speed *s)
{
	if (s->variance_milli > 0)
		w->speed = *s;
}

void wl_worker_set_authority(struct wl_worker *w, int64_t until)
{
	bool had_authority = worker_now(w) < w->authority_until;

	w->authority_until = until;
	if (!had_authority)
		renew_and_list(w);
}

/* The settings are looked up at most this often for a heartbeat of another service. */
#define SETTINGS_READ_INTERVAL NSEC_PER_SEC
/* So many overtaken heartbeats in their order are those of the worker. */
#define OVERTAKEN_RUN_MAX 3

/* Whether a service is that of this VM's worker, which a change of the settings may replace. */
static bool is_own_service(struct wl_worker *w, const char *service)
{
	struct pf_settings *own = &w->p->settings;
	struct pf_settings now;

	if (own->service == NULL || strcmp(own->service, service) == 0)
		return true;
	if (worker_now(w) - w->settings_read_at < SETTINGS_READ_INTERVAL ||
		!pf_settings_read(&now, NULL))
		return false;
	w->settings_read_at = worker_now(w);
	free(own->service);
	own->service = xstrdup(now.service);
	pf_settings_clear(&now);
	return own->service == NULL || strcmp(own->service, service) == 0;
}

/*
 * Whether overtaken heartbeats of the current instance go on in their order: they are the
 * worker's, and the later one was another writer's. Late ones come mixed with newer ones.
 */
static bool goes_on_overtaken(struct wl_worker *w, const struct pf_heartbeat *h)
{
	if (h->sequence <= w->overtaken_sequence)
		w->overtaken_run = 0;
	w->overtaken_sequence = h->sequence;
	w->overtaken_run++;
	return w->overtaken_run >= OVERTAKEN_RUN_MAX;
}

/*
 * Why a heartbeat is outdated, NULL if it is not: a later one of its instance has overtaken it,
 * or it is of an instance before the current one. An earlier start time may also mean that the
 * worker's clock was set back, so it counts only while the current instance may be alive.
 */
static const char *heartbeat_outdated(struct wl_worker *w, const struct pf_heartbeat *h)
{
	bool may_be_alive = !w->left && !w->lost && !w->replaced;

	if (w->heartbeat.id == NULL)
		return NULL;
	if (h->instance_started_at == w->heartbeat.instance_started_at &&
		strcmp(h->id, w->heartbeat.id) == 0 && h->sequence >= 0 &&
		h->sequence <= w->heartbeat.sequence)
		return goes_on_overtaken(w, h) ? NULL : "overtaken";
	if (h->instance_started_at == w->instance_started_at || !may_be_alive)
		return NULL;
	return h->instance_started_at < w->instance_started_at ||
			       h->instance_started_at == w->previous_started_at
		       ? "earlier life"
		       : NULL;
}

/* A heartbeat on its way from a thread of the server to the loop. */
struct received_heartbeat {
	struct wl_worker *worker;
	struct pf_heartbeat heartbeat;
};

static void ask_leaving_worker(void *arg);

/* Reports a worker that has left. */
static void report_left(struct wl_worker *w)
{
	const struct pf_reply none = {.lists_present = true, .lists_complete = true};

	if (w->term == 0 || w->instance == NULL)
		return;
	/* It runs nothing any more: its empty lists are up to date and settle all starts. */
	w->renewal_sent_at = worker_now(w);
	w->renewal_settled_ordinal = w->last_start_ordinal;
	report_runs(w, &none);
}

/*
 * Whether a call shows that the current instance has ended: nobody listens in its place, or
 * another instance does. A call without an answer shows nothing, unless all leases have run out
 * and the worker has been silent for as long as one that is lost.
 */
static bool shows_that_it_left(
	const struct wl_worker *w, const struct http_call *c, const struct pf_reply *r)
{
	int64_t now = worker_now(w);

	if (c->nobody_listens || r->kind == PF_REPLY_OTHER_INSTANCE)
		return true;
	if (r->kind == PF_REPLY_NO_ANSWER || c->error != NULL)
		return now > w->lease_end_at &&
		       now - MAX(w->heard_at, w->heartbeat_at) >= LOST_SILENCE;
	return r->instance_started_at != 0 && r->instance_started_at != w->instance_started_at;
}

static void leaving_worker_asked(struct http_call *c, void *arg)
{
	struct worker_call *wc = arg;
	struct wl_worker *w = wc->worker;
	struct pf_reply r;

	w->calls_pending--;
	pf_reply_parse(c, &r);
	if (w->freed) {
		wl_worker_free(w);
	} else if (w->leaving && !shows_that_it_left(w, c, &r)) {
		loop_timer_add(w->p->loop, RENEWAL_RETRY_DELAY, 0, ask_leaving_worker, w);
	} else if (w->leaving) {
		w->leaving = false;
		w->left = true;
		report_left(w);
	}
	pf_reply_clear(&r);
	http_call_free(c);
	free(wc);
}

/* Asks a worker that has said that it leaves whether it is still there. */
static void ask_leaving_worker(void *arg)
{
	struct wl_worker *w = arg;
	const struct pf_lease_renewal question = {.fence = worker_fence(w)};

	if (w->leaving && !w->freed)
		worker_send_call(w,
			pf_worker_renew_leases(
				w->p->settings.worker_addr, w->heartbeat.id, &question),
			NULL, leaving_worker_asked);
}

/*
 * Handles the heartbeat of a worker that leaves, of which only the id is known. It may come
 * late, from an instance before the current one under the same id, so it is believed once the
 * instance has shown to have ended. A worker that goes on sends another heartbeat.
 */
static void process_leave(struct wl_worker *w, const struct pf_heartbeat *h)
{
	if (w->left) {
		report_left(w);
		return;
	}
	if (w->leaving || g_strcmp0(w->heartbeat.id, h->id) != 0)
		return;
	w->leaving = true;
	ask_leaving_worker(w);
}

/* Processes a heartbeat, on the loop. */
static void process_heartbeat(void *arg)
{
	AUTOFREE struct received_heartbeat *received = arg;
	struct wl_worker *w = received->worker;
	struct pf_heartbeat *h = &received->heartbeat;
	const char *outdated;

	if (h->service != NULL && !is_own_service(w, h->service)) {
		event_log(EV_BAD_INPUT, "from=worker what=\"%s is of the service %s\"", h->id,
			h->service);
		pf_heartbeat_clear(h);
		return;
	}
	w->spoke_at = worker_now(w);
	if (h->service == NULL) {
		process_leave(w, h);
		pf_heartbeat_clear(h);
		renew_and_list(w);
		return;
	}
	outdated = heartbeat_outdated(w, h);
	if (outdated != NULL) {
		event_log(EV_REPORT_OUTDATED,
			"report=%s@%" PRId64 " sequence=%" PRId64 " life=%s why=\"%s\"", h->id,
			h->instance_started_at, h->sequence, w->instance, outdated);
		pf_heartbeat_clear(h);
	} else {
		if (w->instance == NULL || g_strcmp0(w->heartbeat.id, h->id) != 0 ||
			h->instance_started_at != w->instance_started_at)
			begin_instance(w, h->id, h->instance_started_at);
		pf_heartbeat_clear(&w->heartbeat);
		w->heartbeat = *h;
		w->heartbeat_at = w->spoke_at;
		w->overtaken_run = 0;
		if (w->leaving)
			event_log(EV_REPORT_OUTDATED,
				"report=%s sequence=-1 life=%s why=\"it goes on\"", h->id,
				w->instance);
		w->leaving = false;
		w->left = false;
	}
	renew_and_list(w);
}

/* Receives a heartbeat, on a thread of the server. */
static void on_heartbeat(struct http_request *r, void *arg)
{
	struct received_heartbeat *received = xcalloc(1, sizeof(*received));

	received->worker = arg;
	if (pf_heartbeat_parse(http_method(r), http_path(r), http_body(r),
		    &received->heartbeat) == PF_HEARTBEAT_INVALID) {
		event_log(EV_BAD_INPUT, "from=worker what=\"%s %s\"", http_method(r),
			http_path(r));
		free(received);
		http_reply(r, 400, NULL, "", 0);
		return;
	}
	loop_post(received->worker->p->loop, process_heartbeat, received);
	http_reply_text(r, 200, "application/json", "{}");
}

struct wl_worker *wl_worker_new(
	struct wl_process *p, const struct wl_worker_events *ev, GError **err)
{
	const struct http_limits limits = {.body_max = 4096 * 1024, /* bytes */
		.connections_max = 64,
		.idle_timeout_s = 120,
		.threads = 1,
		.budget = p->budget,
		.header_timeout_s = HTTP_HEADER_TIMEOUT_S,
		.body_timeout_s = HTTP_BODY_TIMEOUT_S};
	struct wl_worker *w;

	if (p->settings.worker_control_addr == NULL || p->settings.worker_addr == NULL) {
		error_set(err, ERR_INVALID, "the settings file names no worker");
		return NULL;
	}
	w = xcalloc(1, sizeof(*w));
	w->p = p;
	w->events = *ev;
	w->checkpoint_allowance_at = worker_now(w);
	w->pending_starts = g_ptr_array_new();
	/* An earlier process of this agent may have granted leases until now. */
	w->lease_end_at = worker_now(w) + p->settings.lease_max +
			  p->settings.lease_max / SLOW_CLOCK_DIVISOR + RUN_LEASE_MARGIN;
	w->server =
		http_server_new(p->settings.worker_control_addr, &limits, on_heartbeat, w, err);
	if (w->server != NULL)
		return w;
	wl_worker_free(w);
	return NULL;
}

/* Whether no order is under way; a pending renewal doesn't count. */
bool wl_worker_idle(const struct wl_worker *w)
{
	return w->calls_pending <= (w->renewal_pending ? 1u : 0u);
}

/*
 * Stops the server and frees the client. If calls are under way, the memory is not freed here.
 * The end of a pending renewal then calls this again. If other calls are still under way by
 * then, or no renewal is pending, the memory is never freed.
 */
void wl_worker_free(struct wl_worker *w)
{
	if (w == NULL)
		return;
	w->freed = true;
	http_server_free(w->server);
	w->server = NULL;
	if (w->calls_pending > 0)
		return;
	pf_heartbeat_clear(&w->heartbeat);
	free(w->instance);
	g_ptr_array_unref(w->pending_starts);
	free(w);
}

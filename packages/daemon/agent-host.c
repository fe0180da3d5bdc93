#include "agent-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define COORD_TICK_PERIOD_NS  (100 * NSEC_PER_MSEC)
#define CONFIG_POLL_PERIOD_NS (2 * NSEC_PER_SEC)
#define WRITE_RETRY_DELAY_NS  (500 * NSEC_PER_MSEC)

/*
 * A store call for the hosted coordinator, run on the pool. Its result is dropped if the term
 * has changed when it arrives. cell_term is the term as the store functions take it, without
 * its strings; term is its number.
 */
struct coord_store_call {
	struct agent *agent;
	uint64_t term;
	struct cell_term cell_term;
	struct coord_batch batch;
	struct config_snapshot config;
	struct doc *doc;
	char *roster;
	bool ok;
	bool term_current;
	GError *err;
};

/* Creates a store call for the current term. */
static struct coord_store_call *coord_store_call_new(struct agent *a)
{
	struct coord_store_call *call = xcalloc(1, sizeof(*call));

	call->agent = a;
	call->term = a->host.term.term;
	call->cell_term = a->host.term;
	call->cell_term.addr = NULL;
	call->cell_term.name = NULL;
	call->cell_term.roster = NULL;
	return call;
}

static void coord_store_call_free(struct coord_store_call *call)
{
	coord_batch_clear(&call->batch);
	config_snapshot_clear(&call->config);
	doc_free(call->doc);
	g_free(call->roster);
	g_clear_error(&call->err);
	free(call);
}

/* Whether this process still coordinates in the term that the call was made for. */
static bool store_call_is_current(const struct coord_store_call *call)
{
	return call->agent->host.coord != NULL && call->agent->host.term.term == call->term;
}

/* Records whether the store responds and logs a change. */
static void set_store_up(struct agent *a, bool up, const GError *err)
{
	if (a->host.store_up != up) {
		if (up)
			log_info("coord", "The store answers again.");
		else
			log_warning("coord", "The store does not answer: %s.",
				err != NULL ? err->message : "unknown");
	}
	a->host.store_up = up;
	if (a->host.coord != NULL)
		coord_set_store_up(a->host.coord, loop_now(a->p->loop), up);
}

/*
 * Renews the lease or, if it has expired and the term is not lost, takes a new lease for the
 * same term. Runs on the pool.
 */
static void lease_renew_run(void *arg)
{
	struct coord_store_call *call = arg;

	call->ok = cell_term_renew(call->agent->p->store, call->agent->cell,
		call->agent->lease_ns / NSEC_PER_SEC, &call->cell_term, &call->err);
}

/* A conflict is an answer of the store, so the store is up: this agent has lost the term. */
static void lease_renew_done(void *arg)
{
	struct coord_store_call *call = arg;
	struct agent *a = call->agent;

	a->host.renewing = false;
	if (store_call_is_current(call)) {
		set_store_up(
			a, call->ok || error_kind_of(call->err) == ERR_CONFLICT, call->err);
		if (call->ok) {
			/* A new id if the old lease had expired. */
			a->host.term.lease = call->cell_term.lease;
			a->host.lease_renewed_at = loop_now(a->p->loop);
		} else if (error_kind_of(call->err) == ERR_CONFLICT) {
			host_step_down(a, "the lease renewal found the term lost");
		}
	}
	coord_store_call_free(call);
}

/* Writes job records if the term is still current. Runs on the pool. */
static void records_write_run(void *arg)
{
	struct coord_store_call *call = arg;

	call->ok = job_store_write(call->agent->p->store, call->agent->cell, &call->cell_term,
		call->batch.writes, call->batch.len, &call->term_current, &call->err);
}

static void records_write_done(void *arg)
{
	struct coord_store_call *call = arg;
	struct agent *a = call->agent;
	int64_t now = loop_now(a->p->loop);

	a->host.writing = false;
	if (store_call_is_current(call)) {
		set_store_up(a, call->ok, call->err);
		coord_batch_done(
			a->host.coord, now, &call->batch, call->ok && call->term_current);
		if (!call->ok)
			a->host.write_retry_at = now + WRITE_RETRY_DELAY_NS;
		else if (!call->term_current)
			host_step_down(a, "the store rejected a write of an outdated term");
	}
	coord_store_call_free(call);
}

/* Saves the roster if the term is still current. Runs on the pool. */
static void roster_save_run(void *arg)
{
	struct coord_store_call *call = arg;

	call->ok = cell_term_save_roster(call->agent->p->store, call->agent->cell,
		&call->cell_term, call->roster, &call->err);
}

static void roster_save_done(void *arg)
{
	struct coord_store_call *call = arg;
	struct agent *a = call->agent;

	a->host.saving_roster = false;
	if (store_call_is_current(call)) {
		if (call->ok)
			coord_roster_saved(a->host.coord, call->roster);
		else if (error_kind_of(call->err) == ERR_CONFLICT)
			host_step_down(a, "the roster save found the term lost");
		else
			a->host.write_retry_at = loop_now(a->p->loop) + WRITE_RETRY_DELAY_NS;
	}
	coord_store_call_free(call);
}

/*
 * Loads the configuration and parses it if its number changed. It is also parsed if the number
 * was 0 before: at the first load of a term, and at every poll while the store has no
 * configuration. Runs on the pool.
 */
static void config_load_run(void *arg)
{
	struct coord_store_call *call = arg;
	uint64_t before = call->config.number;

	call->ok = config_load(call->agent->p->store, &call->config, &call->err);
	if (call->ok && (call->config.number != before || before == 0))
		call->doc = config_parse(&call->config);
}

static void config_load_done(void *arg)
{
	struct coord_store_call *call = arg;
	struct agent *a = call->agent;

	a->host.loading_config = false;
	if (store_call_is_current(call) && call->ok && call->doc != NULL) {
		config_snapshot_clear(&a->host.config);
		a->host.config = call->config;
		memset(&call->config, 0, sizeof(call->config));
		coord_set_config(a->host.coord, loop_now(a->p->loop), call->doc);
	}
	/* Other failures are not logged; the next poll loads it again. */
	if (!call->ok && error_kind_of(call->err) == ERR_CONFLICT)
		log_error("coord", "The configuration was rejected: %s.", call->err->message);
	coord_store_call_free(call);
}

/* Submits the store calls that are due, one of each kind at a time. */
static void submit_due_store_calls(struct agent *a, int64_t now)
{
	struct host *h = &a->host;
	struct coord_store_call *call;

	if (!h->renewing && now - h->lease_renewed_at > a->lease_ns / 3) {
		h->renewing = true;
		work_submit(
			a->p->pool, lease_renew_run, lease_renew_done, coord_store_call_new(a));
	}
	if (!h->loading_config && now - h->config_checked_at > CONFIG_POLL_PERIOD_NS) {
		h->loading_config = true;
		h->config_checked_at = now;
		call = coord_store_call_new(a);
		config_snapshot_copy(&call->config, &h->config);
		work_submit(a->p->pool, config_load_run, config_load_done, call);
	}
	if (now < h->write_retry_at)
		return;
	if (!h->saving_roster && coord_roster_changed(h->coord)) {
		h->saving_roster = true;
		call = coord_store_call_new(a);
		call->roster = coord_roster(h->coord);
		work_submit(a->p->pool, roster_save_run, roster_save_done, call);
	}
	if (h->writing)
		return;
	call = coord_store_call_new(a);
	if (coord_take_batch(h->coord, &call->batch)) {
		h->writing = true;
		work_submit(a->p->pool, records_write_run, records_write_done, call);
	} else {
		coord_store_call_free(call);
	}
}

/*
 * Runs the coordinator's timers and starts the store calls that are due. Steps down if the
 * process was paused for longer than its lease: another agent may have taken the term
 * meanwhile.
 */
void host_tick(void *arg)
{
	struct agent *a = arg;
	int64_t now = loop_now(a->p->loop);
	int64_t gap = now - a->host.last_tick_at;

	if (a->host.coord == NULL)
		return;
	a->host.last_tick_at = now;
	if (gap > a->lease_ns) {
		host_step_down(a, "this process was paused for longer than its lease");
		return;
	}
	coord_tick(a->host.coord, now, clock_wall(loop_clock(a->p->loop)));
	submit_due_store_calls(a, now);
}

/*
 * Starts the coordinator after this agent took the term. Takes ownership of the strings of
 * *term and zeroes it.
 */
void host_start(struct agent *a, int64_t now, struct cell_term *term, GPtrArray *records)
{
	struct host *h = &a->host;

	h->coord = agent_create_coord(a);
	h->term = *term;
	memset(term, 0, sizeof(*term));
	h->lease_renewed_at = now;
	h->last_tick_at = now;
	h->config_checked_at = now - CONFIG_POLL_PERIOD_NS;
	h->store_up = true;
	h->write_retry_at = 0;
	coord_start_term(h->coord, now, clock_wall(loop_clock(a->p->loop)), h->term.term,
		h->term.roster, records, NULL);
	a->coord_timer = loop_timer_add(
		a->p->loop, COORD_TICK_PERIOD_NS, COORD_TICK_PERIOD_NS, host_tick, a);
}

/* Frees the coordinator and closes its peers, which then look up the next one. */
void host_step_down(struct agent *a, const char *why)
{
	GHashTableIter it;
	gpointer key;

	if (a->host.coord == NULL)
		return;
	log_warning("coord", "Stepping down: %s. cell=%s term=%" PRIu64, why, a->cell,
		a->host.term.term);
	g_hash_table_iter_init(&it, a->coord_peers);
	while (g_hash_table_iter_next(&it, &key, NULL))
		peer_close(a->net, *(peer_id *)key);
	g_hash_table_remove_all(a->coord_peers);
	host_clear(a);
}

/* Releases the lease, so that another agent need not wait for the lease to expire. */
void host_release(struct agent *a)
{
	if (a->host.coord == NULL)
		return;
	if (!cell_term_release(a->p->store, &a->host.term, NULL))
		log_info("coord", "The lease could not be released; it will expire.");
}

void host_clear(struct agent *a)
{
	struct host *h = &a->host;

	loop_timer_del(a->p->loop, a->coord_timer);
	a->coord_timer = NULL;
	coord_free(h->coord);
	h->coord = NULL;
	cell_term_clear(&h->term);
	config_snapshot_clear(&h->config);
}

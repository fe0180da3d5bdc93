#include "agent-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define COORD_TICK_PERIOD_NS  (100 * NSEC_PER_MSEC)
#define CONFIG_POLL_PERIOD_NS (2 * NSEC_PER_SEC)
#define WRITE_RETRY_DELAY_NS  (500 * NSEC_PER_MSEC)

/* A store call that runs on the pool; its result is dropped if the term has changed. */
struct store_task {
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
static struct store_task *store_task_new(struct agent *a)
{
	struct store_task *w = xcalloc(1, sizeof(*w));

	w->agent = a;
	w->term = a->host.term.term;
	w->cell_term = a->host.term;
	w->cell_term.addr = NULL;
	w->cell_term.name = NULL;
	w->cell_term.roster = NULL;
	return w;
}

static void store_task_free(struct store_task *w)
{
	coord_batch_clear(&w->batch);
	config_snapshot_clear(&w->config);
	doc_free(w->doc);
	g_free(w->roster);
	g_clear_error(&w->err);
	free(w);
}

/* Whether this process still coordinates in the term that the call was made for. */
static bool task_is_current(const struct store_task *w)
{
	return w->agent->host.coord != NULL && w->agent->host.term.term == w->term;
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

/* Renews the lease. Runs on the pool. */
static void lease_renew_run(void *arg)
{
	struct store_task *w = arg;

	w->ok = cell_term_renew(w->agent->p->store, w->agent->cell,
		w->agent->lease_ns / NSEC_PER_SEC, &w->cell_term, &w->err);
}

/* A conflict means that the store responded: another agent took the term. */
static void lease_renew_done(void *arg)
{
	struct store_task *w = arg;
	struct agent *a = w->agent;

	a->host.renewing = false;
	if (task_is_current(w)) {
		set_store_up(a, w->ok || error_kind_of(w->err) == ERR_CONFLICT, w->err);
		if (w->ok) {
			a->host.term.lease = w->cell_term.lease;
			a->host.lease_renewed_at = loop_now(a->p->loop);
		} else if (error_kind_of(w->err) == ERR_CONFLICT) {
			host_step_down(a, "another agent holds the lease");
		}
	}
	store_task_free(w);
}

/* Writes job records if the term is still current. Runs on the pool. */
static void records_write_run(void *arg)
{
	struct store_task *w = arg;

	w->ok = job_store_write(w->agent->p->store, w->agent->cell, &w->cell_term,
		w->batch.writes, w->batch.len, &w->term_current, &w->err);
}

static void records_write_done(void *arg)
{
	struct store_task *w = arg;
	struct agent *a = w->agent;
	int64_t now = loop_now(a->p->loop);

	a->host.writing = false;
	if (task_is_current(w)) {
		set_store_up(a, w->ok, w->err);
		coord_batch_done(a->host.coord, now, &w->batch, w->ok && w->term_current);
		if (!w->ok)
			a->host.write_retry_at = now + WRITE_RETRY_DELAY_NS;
		else if (!w->term_current)
			host_step_down(a, "the store rejected a write of an outdated term");
	}
	store_task_free(w);
}

/* Saves the roster if the term is still current. Runs on the pool. */
static void roster_save_run(void *arg)
{
	struct store_task *w = arg;

	w->ok = cell_term_save_roster(
		w->agent->p->store, w->agent->cell, &w->cell_term, w->roster, &w->err);
}

static void roster_save_done(void *arg)
{
	struct store_task *w = arg;
	struct agent *a = w->agent;

	a->host.saving_roster = false;
	if (task_is_current(w)) {
		if (w->ok)
			coord_roster_saved(a->host.coord, w->roster);
		else if (error_kind_of(w->err) == ERR_CONFLICT)
			host_step_down(a, "another agent holds the term");
		else
			a->host.write_retry_at = loop_now(a->p->loop) + WRITE_RETRY_DELAY_NS;
	}
	store_task_free(w);
}

/* Loads the configuration and parses it if its number changed. Runs on the pool. */
static void config_load_run(void *arg)
{
	struct store_task *w = arg;
	uint64_t before = w->config.number;

	w->ok = config_load(w->agent->p->store, &w->config, &w->err);
	if (w->ok && (w->config.number != before || before == 0))
		w->doc = config_parse(&w->config);
}

static void config_load_done(void *arg)
{
	struct store_task *w = arg;
	struct agent *a = w->agent;

	a->host.loading_config = false;
	if (task_is_current(w) && w->ok && w->doc != NULL) {
		config_snapshot_clear(&a->host.config);
		a->host.config = w->config;
		memset(&w->config, 0, sizeof(w->config));
		coord_set_config(a->host.coord, loop_now(a->p->loop), w->doc);
	}
	if (!w->ok && error_kind_of(w->err) == ERR_CONFLICT)
		log_error("coord", "The configuration was not adopted: %s.", w->err->message);
	store_task_free(w);
}

/* Submits the store calls that are due, one of each kind at a time. */
static void submit_due_tasks(struct agent *a, int64_t now)
{
	struct host *h = &a->host;
	struct store_task *w;

	if (!h->renewing && now - h->lease_renewed_at > a->lease_ns / 3) {
		h->renewing = true;
		work_submit(a->p->pool, lease_renew_run, lease_renew_done, store_task_new(a));
	}
	if (!h->loading_config && now - h->config_checked_at > CONFIG_POLL_PERIOD_NS) {
		h->loading_config = true;
		h->config_checked_at = now;
		w = store_task_new(a);
		config_snapshot_copy(&w->config, &h->config);
		work_submit(a->p->pool, config_load_run, config_load_done, w);
	}
	if (now < h->write_retry_at)
		return;
	if (!h->saving_roster && coord_roster_changed(h->coord)) {
		h->saving_roster = true;
		w = store_task_new(a);
		w->roster = coord_roster(h->coord);
		work_submit(a->p->pool, roster_save_run, roster_save_done, w);
	}
	if (h->writing)
		return;
	w = store_task_new(a);
	if (coord_take_batch(h->coord, &w->batch)) {
		h->writing = true;
		work_submit(a->p->pool, records_write_run, records_write_done, w);
	} else {
		store_task_free(w);
	}
}

/*
 * Drives the coordinator. Steps down if the process was paused for longer than its lease:
 * another agent may have taken the term meanwhile.
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
	submit_due_tasks(a, now);
}

/* Starts the coordinator after this agent took the term; takes over the fields of term. */
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

/* Releases the lease on a graceful stop, so that another agent need not await its end. */
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

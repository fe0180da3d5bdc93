#include "agent-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define COORD_TICK    (100 * NSEC_PER_MSEC)
#define CONFIG_PERIOD (2 * NSEC_PER_SEC)
#define WRITE_RETRY   (500 * NSEC_PER_MSEC)

/* One piece of work on the store; the coordinator of another term no longer wants it. */
struct host_work {
	struct agent *agent;
	uint64_t term;
	struct cell_term cell;
	struct coord_batch batch;
	struct config_snapshot config;
	struct doc *doc;
	char *roster;
	bool ok;
	bool still_ours;
	GError *err;
};

/* Make a piece of work for the present coordinator. */
static struct host_work *work_new(struct agent *a)
{
	struct host_work *w = xcalloc(1, sizeof(*w));

	w->agent = a;
	w->term = a->host.term.term;
	w->cell = a->host.term;
	w->cell.addr = NULL;
	w->cell.name = NULL;
	w->cell.roster = NULL;
	return w;
}

/* Free a piece of work. */
static void work_free(struct host_work *w)
{
	coord_batch_clear(&w->batch);
	config_snapshot_clear(&w->config);
	doc_free(w->doc);
	g_free(w->roster);
	g_clear_error(&w->err);
	free(w);
}

/* Whether the coordinator that asked for a piece of work is still here. */
static bool is_current(const struct host_work *w)
{
	return w->agent->host.coord != NULL && w->agent->host.term.term == w->term;
}

/* Note whether the store answers; a change is logged. */
static void note_store(struct agent *a, bool up, const GError *err)
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
		coord_store_state(a->host.coord, loop_now(a->p->loop), up);
}

/* Renew the lease. */
static void renew_run(void *arg)
{
	struct host_work *w = arg;

	w->ok = cell_term_renew(w->agent->p->store, w->agent->cell,
		w->agent->lease_ns / NSEC_PER_SEC, &w->cell, &w->err);
}

static void renew_done(void *arg)
{
	struct host_work *w = arg;
	struct agent *a = w->agent;

	a->host.renewing = false;
	if (is_current(w)) {
		note_store(a, w->ok || error_kind_of(w->err) == ERR_CONFLICT, w->err);
		if (w->ok) {
			a->host.term.lease = w->cell.lease;
			a->host.lease_renewed_at = loop_now(a->p->loop);
		} else if (error_kind_of(w->err) == ERR_CONFLICT) {
			host_step_down(a, "the lease went to another");
		}
	}
	work_free(w);
}

/* Write job records. */
static void write_run(void *arg)
{
	struct host_work *w = arg;

	w->ok = job_store_write(w->agent->p->store, w->agent->cell, &w->cell, w->batch.writes,
		w->batch.len, &w->still_ours, &w->err);
}

static void write_done(void *arg)
{
	struct host_work *w = arg;
	struct agent *a = w->agent;
	int64_t now = loop_now(a->p->loop);

	a->host.writing = false;
	if (is_current(w)) {
		note_store(a, w->ok, w->err);
		coord_batch_done(a->host.coord, now, &w->batch, w->ok && w->still_ours);
		if (!w->ok)
			a->host.write_retry_at = now + WRITE_RETRY;
		else if (!w->still_ours)
			host_step_down(a, "a write was fenced off");
	}
	work_free(w);
}

/* Save the roster. */
static void roster_run(void *arg)
{
	struct host_work *w = arg;

	w->ok = cell_term_save_roster(
		w->agent->p->store, w->agent->cell, &w->cell, w->roster, &w->err);
}

static void roster_done(void *arg)
{
	struct host_work *w = arg;
	struct agent *a = w->agent;

	a->host.saving_roster = false;
	if (is_current(w)) {
		if (w->ok)
			coord_roster_saved(a->host.coord, w->roster);
		else if (error_kind_of(w->err) == ERR_CONFLICT)
			host_step_down(a, "the term went to another");
		else
			a->host.write_retry_at = loop_now(a->p->loop) + WRITE_RETRY;
	}
	work_free(w);
}

/* Read the configuration if it changed. */
static void config_run(void *arg)
{
	struct host_work *w = arg;
	uint64_t before = w->config.number;

	w->ok = config_load(w->agent->p->store, &w->config, &w->err);
	if (w->ok && (w->config.number != before || before == 0))
		w->doc = config_parse(&w->config);
}

static void config_done(void *arg)
{
	struct host_work *w = arg;
	struct agent *a = w->agent;

	a->host.loading_config = false;
	if (is_current(w) && w->ok && w->doc != NULL) {
		config_snapshot_clear(&a->host.config);
		a->host.config = w->config;
		memset(&w->config, 0, sizeof(w->config));
		coord_set_doc(a->host.coord, loop_now(a->p->loop), w->doc);
	}
	if (!w->ok && error_kind_of(w->err) == ERR_CONFLICT)
		log_error("coord", "The configuration was not adopted: %s.", w->err->message);
	work_free(w);
}

/* Start what is due on the store. */
static void start_work(struct agent *a, int64_t now)
{
	struct host *h = &a->host;
	struct host_work *w;

	if (!h->renewing && now - h->lease_renewed_at > a->lease_ns / 3) {
		h->renewing = true;
		work_submit(a->p->pool, renew_run, renew_done, work_new(a));
	}
	if (!h->loading_config && now - h->config_checked_at > CONFIG_PERIOD) {
		h->loading_config = true;
		h->config_checked_at = now;
		w = work_new(a);
		config_snapshot_copy(&w->config, &h->config);
		work_submit(a->p->pool, config_run, config_done, w);
	}
	if (now < h->write_retry_at)
		return;
	if (!h->saving_roster && coord_roster_changed(h->coord)) {
		h->saving_roster = true;
		w = work_new(a);
		w->roster = coord_roster(h->coord);
		work_submit(a->p->pool, roster_run, roster_done, w);
	}
	if (h->writing)
		return;
	w = work_new(a);
	if (coord_take_batch(h->coord, &w->batch)) {
		h->writing = true;
		work_submit(a->p->pool, write_run, write_done, w);
	} else {
		work_free(w);
	}
}

/* Ten times a second. A process that was paused past its lease no longer trusts its state. */
void host_tick(void *arg)
{
	struct agent *a = arg;
	int64_t now = loop_now(a->p->loop);
	int64_t gap = now - a->host.last_tick_at;

	if (a->host.coord == NULL)
		return;
	a->host.last_tick_at = now;
	if (gap > a->lease_ns) {
		host_step_down(a, "this process was paused past its lease");
		return;
	}
	coord_tick(a->host.coord, now, clock_wall(loop_clock(a->p->loop)));
	start_work(a, now);
}

/* The term has been won. */
void host_start(struct agent *a, int64_t now, struct cell_term *term, GPtrArray *records)
{
	struct host *h = &a->host;

	h->coord = agent_create_coord(a);
	h->term = *term;
	memset(term, 0, sizeof(*term));
	h->lease_renewed_at = now;
	h->last_tick_at = now;
	h->config_checked_at = now - CONFIG_PERIOD;
	h->store_up = true;
	h->write_retry_at = 0;
	coord_begin(h->coord, now, clock_wall(loop_clock(a->p->loop)), h->term.term,
		h->term.roster, records, NULL);
	a->coord_timer = loop_timer_add(a->p->loop, COORD_TICK, COORD_TICK, host_tick, a);
}

/* Stop being the coordinator; the peers find the next one. */
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

/* Give the lease back at a planned stop. */
void host_release(struct agent *a)
{
	if (a->host.coord == NULL)
		return;
	if (!cell_term_release(a->p->store, &a->host.term, NULL))
		log_info("coord", "The lease could not be given back; it ends by itself.");
}

/* Free the coordinator. */
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

#include "wl-coord-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * The coordinator's reading: nodes, progress and inbox once, page by page, then the inbox's
 * changes.
 */

/* A watch that is silent for longer may be dead; a new one is cheap. */
#define WATCH_WAIT_MS 1500
#define WATCH_PAUSE   (200 * NSEC_PER_MSEC)

static void watch(struct wl_coord *c);
static void list_inbox(struct wl_coord *c, const char *after);

/* Take a job that an entry has stored. */
static void take_job(struct wl_coord *c, const struct kv_item *it)
{
	struct wl_spec spec = {0};
	const struct bytes *state;
	struct wl_progress p = {0};
	bool has_state = false;
	g_autoptr(GError) err = NULL;
	int64_t now = loop_now(c->p->loop);
	const char *id = it->key + strlen(KEY_JOB);
	uint64_t tasks = 0;

	if (wl_job_has(c->wl, id))
		return;
	if (!fields_decode(&wl_spec_fields, &spec, it->value.data, it->value.len, &err) ||
		!wl_spec_check(&spec, &err) || strcmp(spec.id, id) != 0) {
		event_log(EV_BAD_INPUT, "from=store what=\"%s: %s\"", it->key,
			err != NULL ? err->message : "another id");
		fields_clear(&wl_spec_fields, &spec);
		return;
	}
	state = g_hash_table_lookup(c->states, id);
	if (state != NULL)
		has_state =
			fields_decode(&wl_progress_fields, &p, state->data, state->len, NULL);
	record_writer_known(c->records, id, it->revision);
	for (uint32_t s = 0; s < spec.steps_len; s++)
		tasks += spec.steps[s].count;
	event_log(EV_JOB_SEEN,
		"job=%s queue=%s org=%s tasks=%" PRIu64
		" accelerators=%u cores_m=%u estimate_ms=%u gang=%d rack_local=%d "
		"repetitions=%u "
		"state=%s revision=%" PRId64,
		id, spec.queue, spec.org ? spec.org : "-", tasks, spec.steps[0].accelerators,
		spec.steps[0].cores_m, spec.steps[0].estimate_ms, spec.steps[0].gang,
		spec.steps[0].rack_local, spec.repetitions,
		has_state ? wl_state_name(p.state) : "new", it->revision);
	wl_job_add(
		c->wl, now, clock_wall(loop_clock(c->p->loop)), &spec, has_state ? &p : NULL);
	c->jobs++;
	g_hash_table_remove(c->states, id);
	fields_clear(&wl_spec_fields, &spec);
	fields_clear(&wl_progress_fields, &p);
	if (g_hash_table_remove(c->cancels, id))
		wl_job_cancel(c->wl, now, clock_wall(loop_clock(c->p->loop)), id);
}

/* Cancel a job, or keep the wish until the job is read: its key may come first. */
static void take_cancel(struct wl_coord *c, const char *id)
{
	if (wl_job_has(c->wl, id))
		wl_job_cancel(
			c->wl, loop_now(c->p->loop), clock_wall(loop_clock(c->p->loop)), id);
	else
		g_hash_table_add(c->cancels, g_strdup(id));
}

/* Take one entry of the inbox. */
static void take_inbox(struct wl_coord *c, const struct kv_item *it)
{
	if (it->deleted)
		return;
	if (g_str_has_prefix(it->key, KEY_JOB)) {
		take_job(c, it);
	} else if (g_str_has_prefix(it->key, KEY_CANCEL)) {
		take_cancel(c, it->key + strlen(KEY_CANCEL));
	} else if (strcmp(it->key, KEY_TERM) == 0 && it->revision > c->term_revision) {
		coord_lose(c, "another term was taken");
	}
}

/* Watch again after a pause. */
static void on_watch_timer(void *arg)
{
	struct wl_coord *c = arg;

	c->watch_timer = NULL;
	watch(c);
}

/* The inbox has changed, or has not for a while. */
static void watched(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	if (!coord_call_ended(c) || c->lost)
		return;
	switch (r->status) {
	case KV_OK:
		for (size_t i = 0; i < r->items_len && !c->lost; i++)
			take_inbox(c, &r->items[i]);
		if (r->at > c->watch_at)
			c->watch_at = r->at;
		if (c->lost)
			return;
		if (r->items_len > 0)
			coord_pass_soon(c);
		watch(c);
		return;
	case KV_MISSING:
		c->watch_at = 0;
		list_inbox(c, NULL);
		return;
	case KV_CONFLICT:
	case KV_REFUSED:
	case KV_UNSURE:
		break;
	}
	if (c->watch_timer == NULL)
		c->watch_timer = loop_timer_add(c->p->loop,
			r->status == KV_UNSURE ? 0 : WATCH_PAUSE, 0, on_watch_timer, c);
}

/* Wait for changes of the inbox. */
static void watch(struct wl_coord *c)
{
	if (c->lost || c->freed)
		return;
	c->calls++;
	kv_watch(c->p->kv, KEY_INBOX, c->watch_at, WATCH_WAIT_MS, watched, c);
}

/* All is read. */
static void load_done(struct wl_coord *c)
{
	if (!c->loaded) {
		c->loaded = true;
		event_log(EV_TERM_TAKEN,
			"term=%" PRIu64 " revision=%" PRId64 " jobs=%u nodes=%zu", c->term,
			c->term_revision, c->jobs, wl_node_count(c->wl));
		coord_take_held(c);
	}
	coord_pass_soon(c);
	watch(c);
}

/* Read a page again after a pause. */
static void on_list_again(void *arg)
{
	struct wl_coord *c = arg;

	c->watch_timer = NULL;
	list_inbox(c, NULL);
}

/* Whether a page was read; where the store did not give it, again is called after a pause. */
static bool page_read(struct wl_coord *c, const struct kv_result *r, loop_fn *again)
{
	if (!coord_call_ended(c) || c->lost)
		return false;
	if (r->status == KV_OK)
		return true;
	c->watch_at = 0;
	c->watch_timer = loop_timer_add(c->p->loop, WATCH_PAUSE, 0, again, c);
	return false;
}

/* One page of the inbox was read. */
static void inbox_read(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	if (!page_read(c, r, on_list_again))
		return;
	if (c->watch_at == 0)
		c->watch_at = r->at;
	for (size_t i = 0; i < r->items_len && !c->lost; i++)
		take_inbox(c, &r->items[i]);
	if (c->lost)
		return;
	if (r->more && r->items_len > 0)
		list_inbox(c, r->items[r->items_len - 1].key);
	else
		load_done(c);
}

/* Read the inbox from behind a key. */
static void list_inbox(struct wl_coord *c, const char *after)
{
	c->calls++;
	kv_list(c->p->kv, KEY_INBOX, after, KV_READ_EXACT, inbox_read, c);
}

static void list_states(struct wl_coord *c, const char *after);
static void list_nodes(struct wl_coord *c, const char *after);

/* Begin to load again after a pause. */
static void on_load_again(void *arg)
{
	struct wl_coord *c = arg;

	c->watch_timer = NULL;
	list_nodes(c, NULL);
}

/* One page of the progress records was read. */
static void states_read(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	if (!page_read(c, r, on_load_again))
		return;
	for (size_t i = 0; i < r->items_len; i++) {
		const char *id = r->items[i].key + strlen(KEY_PROGRESS);
		struct bytes *b = xcalloc(1, sizeof(*b));

		*b = bytes_copy(r->items[i].value.data, r->items[i].value.len);
		g_hash_table_replace(c->states, g_strdup(id), b);
		record_writer_known(c->records, id, r->items[i].revision);
	}
	if (r->more && r->items_len > 0)
		list_states(c, r->items[r->items_len - 1].key);
	else
		list_inbox(c, NULL);
}

static void list_states(struct wl_coord *c, const char *after)
{
	c->calls++;
	kv_list(c->p->kv, KEY_PROGRESS, after, KV_READ_EXACT, states_read, c);
}

/* One page of the nodes was read. */
static void nodes_read(const struct kv_result *r, void *arg)
{
	struct wl_coord *c = arg;

	if (!page_read(c, r, on_load_again))
		return;
	for (size_t i = 0; i < r->items_len; i++) {
		const char *node = r->items[i].key + strlen(KEY_NODE);

		record_writer_node_found(c->records, node);
		wl_node_expect(c->wl, loop_now(c->p->loop), node);
	}
	if (r->more && r->items_len > 0)
		list_nodes(c, r->items[r->items_len - 1].key);
	else
		list_states(c, NULL);
}

static void list_nodes(struct wl_coord *c, const char *after)
{
	c->calls++;
	kv_list(c->p->kv, KEY_NODE, after, KV_READ_EXACT, nodes_read, c);
}

/* Read all, from the nodes on. */
void inbox_load(struct wl_coord *c)
{
	list_nodes(c, NULL);
}

#include "wl-daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Reads the evacuated zones from the store, once a period. A watch would tell of them sooner,
 * but one that has gone silent can't be told from one with nothing to tell; a read has an age.
 */

#define READ_PERIOD NSEC_PER_SEC
/* Pause after a read that failed. */
#define RETRY_DELAY (200 * NSEC_PER_MSEC)

struct evacuation_feed {
	struct wl_process *p;
	evacuation_fn *fn;
	void *arg;
	struct loop_timer *timer;
	int64_t read_at; /* when the first page was asked for */
	GArray *zones;	 /* of struct wl_zone, as far as they have been read */
	bool read_pending;
	bool store_lost; /* the last read failed */
	bool freed;
};

static void zone_clear(void *arg)
{
	struct wl_zone *z = arg;

	g_free((char *)z->name);
}

static void read_page(struct evacuation_feed *f, const char *after);

static void on_timer(void *arg)
{
	struct evacuation_feed *f = arg;

	f->timer = NULL;
	f->read_at = loop_now(f->p->loop);
	g_array_set_size(f->zones, 0);
	read_page(f, NULL);
}

static void read_later(struct evacuation_feed *f, int64_t delay)
{
	f->timer = loop_timer_add(f->p->loop, delay, 0, on_timer, f);
}

/* Logs when reads begin to fail, and when they succeed again. */
static void note_outcome(struct evacuation_feed *f, const struct kv_result *r)
{
	bool lost = r->status != KV_OK;

	if (lost && !f->store_lost)
		event_log(EV_STORE_LOST, "call=evacuations status=%s age_ms=%" PRId64,
			kv_status_name(r->status),
			(loop_now(f->p->loop) - f->read_at) / NSEC_PER_MSEC);
	if (!lost && f->store_lost)
		event_log(EV_STORE_BACK, "gap_ms=%" PRId64,
			(loop_now(f->p->loop) - f->read_at) / NSEC_PER_MSEC);
	f->store_lost = lost;
}

/* Takes a page of keys; after the last one, hands over all zones. */
static void on_page(const struct kv_result *r, void *arg)
{
	struct evacuation_feed *f = arg;

	f->read_pending = false;
	if (f->freed) {
		evacuation_feed_free(f);
		return;
	}
	note_outcome(f, r);
	if (r->status != KV_OK) {
		read_later(f, RETRY_DELAY);
		return;
	}
	for (size_t i = 0; i < r->items_len; i++) {
		const struct kv_item *it = &r->items[i];
		struct wl_zone z = {.revision = it->revision};

		if (!g_str_has_prefix(it->key, PF_EVACUATION_PREFIX))
			continue;
		z.name = g_strdup(it->key + strlen(PF_EVACUATION_PREFIX));
		g_array_append_val(f->zones, z);
	}
	if (r->has_more) {
		read_page(f, r->last_key);
		return;
	}
	f->fn(f->arg, f->read_at, (const struct wl_zone *)f->zones->data, f->zones->len);
	read_later(f, MAX(f->read_at + READ_PERIOD - loop_now(f->p->loop), RETRY_DELAY));
}

static void read_page(struct evacuation_feed *f, const char *after)
{
	f->read_pending = true;
	kv_list_keys(f->p->kv, PF_EVACUATION_PREFIX, after, on_page, f);
}

/* Reads the zones at once and then once a period; fn gets them after each read. */
struct evacuation_feed *evacuation_feed_new(struct wl_process *p, evacuation_fn *fn, void *arg)
{
	struct evacuation_feed *f = xcalloc(1, sizeof(*f));

	f->p = p;
	f->fn = fn;
	f->arg = arg;
	f->zones = g_array_new(FALSE, FALSE, sizeof(struct wl_zone));
	g_array_set_clear_func(f->zones, zone_clear);
	on_timer(f);
	return f;
}

/* Frees a feed, which may be NULL; if a read is under way, its answer frees the memory. */
void evacuation_feed_free(struct evacuation_feed *f)
{
	if (f == NULL)
		return;
	f->freed = true;
	if (f->timer != NULL)
		loop_timer_del(f->p->loop, f->timer);
	f->timer = NULL;
	if (f->read_pending)
		return;
	g_array_unref(f->zones);
	free(f);
}

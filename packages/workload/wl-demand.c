#include "wl-private.h"

/*
 * What the unfinished urgent jobs of each organisation request, against its guarantee. Passes
 * ask for it once a unit and once a possible victim, so it is kept until a job or the
 * configuration changes.
 */

void org_demand_free(void *arg)
{
	struct wl_org_demand *d = arg;

	free(d->org);
	free(d);
}

struct wl_org_demand *org_demand_get(struct wl *w, const char *org)
{
	const char *name = org != NULL ? org : "";
	struct wl_org_demand *d = g_hash_table_lookup(w->demands, name);

	if (d != NULL)
		return d;
	d = xcalloc(1, sizeof(*d));
	d->org = xstrdup(name);
	g_hash_table_insert(w->demands, d->org, d);
	return d;
}

/* Recomputes the demands of all organisations, with their guarantees. */
static void demands_update(struct wl *w)
{
	const struct wl_job *j;
	GHashTableIter it;
	gpointer value;

	w->demands_stale = false;
	g_hash_table_iter_init(&it, w->demands);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct wl_org_demand *d = value;
		const struct wl_org *org = wl_config_org(w->config, d->org);

		d->urgent = 0;
		d->configured = org != NULL;
		d->guaranteed = org != NULL ? org->guaranteed : 0;
	}
	TAILQ_FOREACH(j, &w->list, entry) {
		uint64_t largest = 0;

		if (j->priority != URGENT_PRIORITY || wl_state_ended(j->state))
			continue;
		for (uint32_t s = 0; s < j->spec.steps_len; s++)
			largest = MAX(largest, (uint64_t)j->spec.steps[s].count *
						       j->spec.steps[s].accelerators);
		j->demand->urgent += largest;
	}
}

const struct wl_org_demand *job_org_demand(struct wl *w, const struct wl_job *j)
{
	if (w->demands_stale)
		demands_update(w);
	return j->demand;
}

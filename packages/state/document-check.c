#include "state.h"

#include <string.h>

/*
 * List the workers of all declared cells with all accelerators free. Racks of different cells
 * get different numbers.
 */
static GArray *declared_workers(const struct doc *d)
{
	GArray *workers = g_array_new(FALSE, TRUE, sizeof(struct pack_worker));
	const struct doc_cell *c;
	uint32_t rack = 0;

	STAILQ_FOREACH(c, &d->cells, entry)
	{
		for (uint32_t i = 0; i < c->workers; i++) {
			struct pack_worker worker = {.rack = rack + i / c->workers_per_rack,
				.free = c->accelerators};

			g_array_append_val(workers, worker);
		}
		rack += c->workers / c->workers_per_rack + 1;
	}
	return workers;
}

/* Check that all guaranteed shapes fit at once on the declared topology. */
static void check_guarantees_fit(const struct doc *d, struct doc_problems *problems)
{
	GArray *workers = declared_workers(d);
	GArray *shapes = g_array_new(FALSE, TRUE, sizeof(struct pack_shape));
	GPtrArray *owners = g_ptr_array_new();
	GArray *allocations = g_array_new(FALSE, TRUE, sizeof(struct pack_allocation));
	const struct doc_org *o;
	struct doc_guarantee *g;
	uint32_t failed = 0;

	STAILQ_FOREACH(o, &d->orgs, entry)
	{
		STAILQ_FOREACH(g, &o->guarantees, entry)
		{
			struct pack_shape shape = {g->accelerators, g->adjacency};

			for (uint32_t i = 0; i < g->count; i++) {
				g_array_append_val(shapes, shape);
				g_ptr_array_add(owners, g);
			}
		}
	}
	if (pack_all((struct pack_shape *)shapes->data, shapes->len,
		    (struct pack_worker *)workers->data, workers->len, allocations,
		    &failed) < shapes->len) {
		g = owners->pdata[failed];
		doc_problem_add(problems, g->where.section, g->where.line, g->where.column,
			"guarantees",
			"the guarantees cannot be met together: no place is left for %u "
			"accelerators within %s",
			g->accelerators, adjacency_name(g->adjacency));
	}
	g_array_unref(workers);
	g_array_unref(shapes);
	g_array_unref(allocations);
	g_ptr_array_unref(owners);
}

/* Check that an organisation's quota covers its guarantees; a quota of 0 means unlimited. */
static void check_quota_covers_guarantees(
	const struct doc_org *o, struct doc_problems *problems)
{
	const struct doc_guarantee *g;
	uint64_t guaranteed = 0;

	STAILQ_FOREACH(g, &o->guarantees, entry)
	guaranteed += (uint64_t)g->accelerators * g->count;
	if (o->quota_accelerators != 0 && o->quota_accelerators < guaranteed)
		doc_problem_add(problems, o->where.section, o->where.line, o->where.column,
			o->name,
			"the quota of %u accelerators is below the %" G_GUINT64_FORMAT
			" that are guaranteed",
			o->quota_accelerators, guaranteed);
}

/* Check the rules that span sections. The document must have parsed without problems. */
void doc_check(const struct doc *d, struct doc_problems *problems)
{
	const struct doc_org *o;

	if (STAILQ_EMPTY(&d->classes))
		doc_problem_add(
			problems, "cluster", 1, 1, "classes", "one class or more is needed");
	if (STAILQ_EMPTY(&d->cells))
		doc_problem_add(
			problems, "cluster", 1, 1, "cells", "one cell or more is needed");
	STAILQ_FOREACH(o, &d->orgs, entry)
	check_quota_covers_guarantees(o, problems);
	check_guarantees_fit(d, problems);
}

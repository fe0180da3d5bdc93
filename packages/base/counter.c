#include "base.h"

#include <inttypes.h>
#include <string.h>

static SLIST_HEAD(, counter) counters = SLIST_HEAD_INITIALIZER(counters);

/* Register a counter. Not thread-safe: called only from constructors, before main(). */
void counter_register(struct counter *c)
{
	SLIST_INSERT_HEAD(&counters, c, entry);
}

/* Increase a counter; may be called from any thread. */
void counter_add(struct counter *c, uint64_t n)
{
	__atomic_fetch_add(&c->value, n, __ATOMIC_RELAXED);
}

/* Set a gauge; may be called from any thread. */
void counter_set(struct counter *c, uint64_t value)
{
	__atomic_store_n(&c->value, value, __ATOMIC_RELAXED);
}

/* Return the value of a counter; may be called from any thread. */
uint64_t counter_get(const struct counter *c)
{
	return __atomic_load_n(&c->value, __ATOMIC_RELAXED);
}

/* Return the metric family of a counter, which is its name without labels. */
static char *family_name(const struct counter *c)
{
	const char *brace = strchr(c->name, '{');

	return brace ? g_strndup(c->name, (gsize)(brace - c->name)) : g_strdup(c->name);
}

/* Format all counters in the Prometheus text exposition format; the caller frees it. */
char *counter_render(void)
{
	GString *out = g_string_new(NULL);
	struct counter *c;

	SLIST_FOREACH(c, &counters, entry)
	{
		g_autofree char *family = family_name(c);

		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n%s %" PRIu64 "\n",
			family, c->help, family, c->gauge ? "gauge" : "counter", c->name,
			counter_get(c));
	}
	return g_string_free(out, FALSE);
}

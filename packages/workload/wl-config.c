#include "workload.h"

#include <stdlib.h>
#include <string.h>

static void queue_free(void *arg)
{
	struct wl_queue *q = arg;

	free(q->name);
	free(q->host);
	free(q->prefix);
	free(q->service);
	free(q);
}

static void org_free(void *arg)
{
	struct wl_org *o = arg;

	free(o->name);
	g_ptr_array_unref(o->keys);
	free(o);
}

/* Returns an empty configuration. */
struct wl_config *wl_config_new(void)
{
	struct wl_config *c = xcalloc(1, sizeof(*c));

	c->queues = g_ptr_array_new_with_free_func(queue_free);
	c->orgs = g_ptr_array_new_with_free_func(org_free);
	c->orgs_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	c->queues_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->orgs_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return c;
}

/* Returns what the jobs of a queue keep of its settings if the queue is removed. */
void wl_queue_settings(const struct wl_queue *q, struct wl_settings *out)
{
	*out = (struct wl_settings){.priority = q->priority,
		.attempts_max = MAX(q->attempts_max, 1),
		.stretch_milli = (uint32_t)CLAMP(q->stretch * 1000 + 0.5, 0, UINT32_MAX),
		.target_ms = q->target_ms,
		.approval = q->approval};
}

/* Returns where callers find a queue: its host, in lower case, and its prefix. */
char *wl_queue_address(const struct wl_queue *q)
{
	g_autofree char *host = g_ascii_strdown(q->host, -1);
	char *out;

	xasprintf(&out, "%s%s", host, q->prefix);
	return out;
}

/* Adds a queue and takes ownership of it. */
void wl_config_add_queue(struct wl_config *c, struct wl_queue *q)
{
	g_ptr_array_add(c->queues, q);
	g_hash_table_replace(c->queues_by_name, q->name, q);
}

/* Adds an organisation with its keys and takes ownership of it. */
void wl_config_add_org(struct wl_config *c, struct wl_org *o)
{
	g_ptr_array_add(c->orgs, o);
	if (!g_hash_table_contains(c->orgs_by_name, o->name))
		g_hash_table_insert(c->orgs_by_name, o->name, o);
	for (guint i = 0; i < o->keys->len; i++)
		g_hash_table_replace(c->orgs_by_key, o->keys->pdata[i], o);
}

void wl_config_free(struct wl_config *c)
{
	if (c == NULL)
		return;
	g_hash_table_destroy(c->orgs_by_key);
	g_hash_table_destroy(c->queues_by_name);
	g_hash_table_destroy(c->orgs_by_name);
	g_ptr_array_unref(c->queues);
	g_ptr_array_unref(c->orgs);
	free(c);
}

/* Returns the queue with a name, or NULL. */
const struct wl_queue *wl_config_queue(const struct wl_config *c, const char *name)
{
	return c != NULL && name != NULL ? g_hash_table_lookup(c->queues_by_name, name) : NULL;
}

/*
 * Returns the queue of a host with the longest prefix that matches the path, or NULL. The port
 * in host is ignored.
 */
const struct wl_queue *wl_config_route(
	const struct wl_config *c, const char *host, const char *path)
{
	const struct wl_queue *match = NULL;
	size_t match_len = 0;
	size_t host_len = host != NULL ? strcspn(host, ":") : 0;

	for (guint i = 0; i < c->queues->len; i++) {
		const struct wl_queue *q = c->queues->pdata[i];
		size_t len = strlen(q->prefix);

		if (len < match_len || strncmp(path, q->prefix, len) != 0)
			continue;
		if (strlen(q->host) != host_len ||
			g_ascii_strncasecmp(host, q->host, host_len) != 0)
			continue;
		match = q;
		match_len = len;
	}
	return match;
}

/* Returns the organisation that an API key belongs to, or NULL. */
const struct wl_org *wl_config_org_by_key(const struct wl_config *c, const char *key)
{
	return key != NULL ? g_hash_table_lookup(c->orgs_by_key, key) : NULL;
}

/* Returns the organisation with a name, or NULL. */
const struct wl_org *wl_config_org(const struct wl_config *c, const char *name)
{
	return c != NULL && name != NULL ? g_hash_table_lookup(c->orgs_by_name, name) : NULL;
}

#include "wl-coord-nodes.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * A node's key exists while the node may run tasks: the next coordinator waits for the reports
 * of the nodes that have one. A transaction without an answer may be carried out later, so each
 * is conditional on the revision of the key that was known when it was sent. A later one of the
 * same condition that is answered rules the earlier ones out: if it succeeded it changed the
 * revision, and a conflict tells of another revision. Only the writes that require the key to
 * be missing can still succeed after that, once it is removed: they leave a key too many.
 */

enum node_key_change {
	NODE_KEY_KEEP,
	NODE_KEY_WRITE,
	NODE_KEY_REMOVE
};

struct node_key {
	char *key;	  /* in the store */
	const char *name; /* of the node; the end of key */
	bool wanted;
	int64_t revision;	     /* as last known; 0 if the key doesn't exist */
	bool unsettled;		     /* a transaction on this revision got no answer */
	enum node_key_change change; /* in the transaction in flight */
	bool queued;
};

struct node_keys {
	GPtrArray *all;
	GHashTable *by_name;
	GQueue queue;	      /* keys to write or remove */
	GPtrArray *in_flight; /* keys in the transaction in flight */
};

static void node_key_free(void *arg)
{
	struct node_key *n = arg;

	free(n->key);
	free(n);
}

struct node_keys *node_keys_new(void)
{
	struct node_keys *k = xcalloc(1, sizeof(*k));

	k->all = g_ptr_array_new_with_free_func(node_key_free);
	k->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	k->in_flight = g_ptr_array_new();
	g_queue_init(&k->queue);
	return k;
}

void node_keys_free(struct node_keys *k)
{
	g_queue_clear(&k->queue);
	g_ptr_array_unref(k->in_flight);
	g_hash_table_destroy(k->by_name);
	g_ptr_array_unref(k->all);
	free(k);
}

/* Returns a node's key, creating it if needed. */
static struct node_key *node_key_get(struct node_keys *k, const char *name)
{
	struct node_key *n = g_hash_table_lookup(k->by_name, name);

	if (n != NULL)
		return n;
	n = xcalloc(1, sizeof(*n));
	xasprintf(&n->key, KEY_NODE "%s", name);
	n->name = n->key + strlen(KEY_NODE);
	g_ptr_array_add(k->all, n);
	g_hash_table_insert(k->by_name, (gpointer)n->name, n);
	return n;
}

/* Returns how a key has to be changed, as far as is known now. */
static enum node_key_change node_key_next_change(const struct node_key *n)
{
	if (n->wanted)
		return n->revision == 0 || n->unsettled ? NODE_KEY_WRITE : NODE_KEY_KEEP;
	if (n->revision > 0)
		return NODE_KEY_REMOVE;
	/* A removal can't require a revision of a key that may be missing. */
	return n->unsettled ? NODE_KEY_WRITE : NODE_KEY_KEEP;
}

/* Queues a key that has to be changed, unless it is queued or in a transaction. */
static void node_key_queue(struct node_keys *k, struct node_key *n)
{
	if (n->queued || n->change != NODE_KEY_KEEP || node_key_next_change(n) == NODE_KEY_KEEP)
		return;
	n->queued = true;
	g_queue_push_tail(&k->queue, n);
}

void node_keys_set(struct node_keys *k, const char *name, bool present)
{
	struct node_key *n = node_key_get(k, name);

	n->wanted = present;
	node_key_queue(k, n);
}

void node_keys_note_stored(struct node_keys *k, const char *name, int64_t revision)
{
	struct node_key *n = node_key_get(k, name);

	n->wanted = true;
	n->revision = revision;
}

bool node_keys_has(const struct node_keys *k, const char *name)
{
	const struct node_key *n = g_hash_table_lookup(k->by_name, name);

	return n != NULL && n->wanted && n->revision > 0 && !n->unsettled &&
	       n->change == NODE_KEY_KEEP;
}

bool node_keys_pending(const struct node_keys *k)
{
	return k->queue.length > 0;
}

void node_keys_fill(struct node_keys *k, struct kv_txn *txn)
{
	struct node_key *n;

	while (txn->expect_len + txn->write_len + txn->remove_len + 2 <= KV_TXN_MAX &&
		(n = g_queue_pop_head(&k->queue)) != NULL) {
		n->queued = false;
		n->change = node_key_next_change(n);
		if (n->change == NODE_KEY_KEEP)
			continue;
		txn->expect[txn->expect_len++] = (struct kv_condition){n->key, n->revision};
		if (n->change == NODE_KEY_WRITE)
			txn->write[txn->write_len++] = (struct kv_write){n->key, "", 0, 0};
		else
			txn->remove[txn->remove_len++] = n->key;
		g_ptr_array_add(k->in_flight, n);
	}
}

/* Takes the revision of a key from a conflict, which tells of the keys that exist. */
static void node_key_take_conflict(struct node_key *n, const struct kv_result *res)
{
	int64_t revision = 0;

	for (size_t i = 0; i < res->items_len; i++) {
		if (strcmp(res->items[i].key, n->key) == 0)
			revision = res->items[i].revision;
	}
	if (revision == n->revision)
		return;
	event_log(EV_NODE_KEY, "node=%s change=conflict revision=%" PRId64 " known=%" PRId64,
		n->name, revision, n->revision);
	n->revision = revision;
	n->unsettled = false;
}

/* Handles the end of a transaction for one key. */
static void node_key_settle(struct node_key *n, const struct kv_result *res)
{
	enum node_key_change change = n->change;

	n->change = NODE_KEY_KEEP;
	switch (res->status) {
	case KV_OK:
		n->revision = change == NODE_KEY_WRITE ? res->store_revision : 0;
		n->unsettled = false;
		event_log(EV_NODE_KEY, "node=%s change=%s revision=%" PRId64, n->name,
			change == NODE_KEY_WRITE ? "written" : "removed", res->store_revision);
		break;
	case KV_CONFLICT:
		node_key_take_conflict(n, res);
		break;
	case KV_OUTCOME_UNKNOWN:
		n->unsettled = true;
		event_log(EV_NODE_KEY, "node=%s change=unknown known=%" PRId64, n->name,
			n->revision);
		break;
	case KV_NOT_FOUND:
	case KV_REFUSED:
		break;
	}
}

void node_keys_settle(struct node_keys *k, const struct kv_result *res)
{
	g_autoptr(GPtrArray) settled = g_steal_pointer(&k->in_flight);

	k->in_flight = g_ptr_array_new();
	for (guint i = 0; i < settled->len; i++) {
		struct node_key *n = settled->pdata[i];

		node_key_settle(n, res);
		node_key_queue(k, n);
	}
}

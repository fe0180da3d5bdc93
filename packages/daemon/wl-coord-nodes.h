#ifndef DP_WL_COORD_NODES_H
#define DP_WL_COORD_NODES_H

#include "wl-daemon.h"

/*
 * wl-coord-nodes.c: the keys of nodes in the store, which the record writer's transactions
 * write and remove.
 */
struct node_keys;
struct node_keys *node_keys_new(void);
void node_keys_free(struct node_keys *k);
/* Requests that a node's key exists, or that it doesn't. */
void node_keys_set(struct node_keys *k, const char *name, bool present);
/* Notes that a node's key was found in the store. */
void node_keys_note_stored(struct node_keys *k, const char *name, int64_t revision);
/* Whether a node's key is in the store, and no write that may remove it is left. */
bool node_keys_has(const struct node_keys *k, const char *name);
/* Whether keys have to be written or removed that are in no transaction. */
bool node_keys_pending(const struct node_keys *k);
/* Adds keys that have to be written or removed to a transaction, as far as it has room. */
void node_keys_fill(struct node_keys *k, struct kv_txn *txn);
/* Handles the end of the transaction that node_keys_fill added keys to. */
void node_keys_settle(struct node_keys *k, const struct kv_result *res);

#endif

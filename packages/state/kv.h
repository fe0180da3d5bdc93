#ifndef DP_KV_H
#define DP_KV_H

#include "base.h"

/*
 * Asynchronous client of the platform's key-value store, used by the workload daemons (wl-*.c)
 * and implemented in platform/pf-store.c. The other daemons use another store through the
 * blocking client in state.h (struct store). Each call invokes its callback exactly once, on
 * the event loop. The result is valid only during the callback.
 */
struct kv;

/* Outcome of a call. */
enum kv_status {
	/* The call succeeded. */
	KV_OK,
	/* A condition failed and nothing was written. items hold the current values. */
	KV_CONFLICT,
	/* The key or lease does not exist, or the revision to watch from has been compacted. */
	KV_NOT_FOUND,
	/* The store rejected the call without executing it. */
	KV_REFUSED,
	/*
	 * No usable response: a write may be applied already, or seconds later. The same as
	 * ERR_STORE_UNSURE in state.h.
	 */
	KV_OUTCOME_UNKNOWN
};
const char *kv_status_name(enum kv_status s);

struct kv_item {
	char *key;
	struct bytes value;
	/* Store revision of the last change; 0 if the key does not exist. */
	int64_t revision;
	int64_t lease; /* with which the key expires; 0 for none */
	bool deleted;
};

struct kv_result {
	enum kv_status status;
	struct kv_item *items;
	size_t items_len;
	/*
	 * How many items or events the answer has, with those that can't be read and are left
	 * out of items, and the key of the last one that has a key; NULL for none.
	 */
	size_t rows_len;
	const char *last_key;
	/* Store revision of the response; for a transaction, the revision of its change. */
	int64_t store_revision;
	/* Whether the list continues after its last item. */
	bool has_more;
	int64_t lease;
	int64_t ttl_ms;
	/*
	 * Loop time at which the call was sent. The store executed the call at this time or
	 * later, so a lease that it renewed lasts at least until ttl_ms after this time.
	 */
	int64_t sent;
};
typedef void kv_callback(const struct kv_result *r, void *arg);

/* True when the key was last changed at this revision. Revision 0 matches an absent key. */
struct kv_condition {
	const char *key;
	int64_t revision;
};
struct kv_write {
	const char *key;
	const void *value;
	size_t len;
	int64_t lease;
};
/* Most conditions, writes and removals of a transaction, all three together. */
#define KV_TXN_MAX 32
struct kv_txn {
	struct kv_condition expect[KV_TXN_MAX];
	size_t expect_len;
	struct kv_write write[KV_TXN_MAX];
	size_t write_len;
	const char *remove[KV_TXN_MAX];
	size_t remove_len;
	/* Timeout in nanoseconds; 0 selects the store's default. */
	int64_t timeout;
};

enum kv_consistency {
	/* Linearizable: returns the latest committed data. */
	KV_READ_LINEARIZABLE,
	/*
	 * Answered by any replica of the store without asking the others, so cheaper for the
	 * store, but the data may be seconds old. Never goes through another process.
	 */
	KV_READ_STALE
};

void kv_get(
	struct kv *kv, const char *key, enum kv_consistency how, kv_callback *fn, void *arg);
/* Lists one page of the keys with a prefix; after is the previous page's last key or NULL. */
void kv_list(struct kv *kv, const char *prefix, const char *after, enum kv_consistency how,
	kv_callback *fn, void *arg);
/*
 * Like kv_list with KV_READ_LINEARIZABLE, but lists the keys without their values, also those
 * whose value or revision can't be read; such a revision is 0. An answer that is no list has
 * the status KV_OUTCOME_UNKNOWN.
 */
void kv_list_keys(
	struct kv *kv, const char *prefix, const char *after, kv_callback *fn, void *arg);
/* Waits up to wait_ms for changes later than after_revision. */
void kv_watch(struct kv *kv, const char *prefix, int64_t after_revision, int64_t wait_ms,
	kv_callback *fn, void *arg);
void kv_commit(struct kv *kv, const struct kv_txn *t, kv_callback *fn, void *arg);
void kv_lease_grant(struct kv *kv, int64_t ttl_ms, kv_callback *fn, void *arg);
void kv_lease_keepalive(struct kv *kv, int64_t lease, kv_callback *fn, void *arg);
void kv_lease_revoke(struct kv *kv, int64_t lease, kv_callback *fn, void *arg);
/* Number of calls in flight; a process waits for them before it exits. */
unsigned int kv_calls_in_flight(const struct kv *kv);
/*
 * Whether key reads and transactions now take the detour: another process relays them to the
 * store, because the store has recently refused this process's calls or left them unanswered.
 */
bool kv_uses_detour(const struct kv *kv);
/*
 * Nanoseconds for which calls have been in flight without a response from the store to any of
 * them; 0 if none are in flight or if calls go through another process.
 */
int64_t kv_unanswered_ns(const struct kv *kv);

#endif

#ifndef DP_KV_H
#define DP_KV_H

#include "base.h"

/*
 * Asynchronous client of the key-value store. Each call invokes its callback exactly once, on
 * the event loop. The result is valid only during the callback.
 */
struct kv;

/* Outcome of a call. */
enum kv_status {
	/* The call succeeded. */
	KV_OK,
	/* A condition failed and nothing was written. items hold the current values. */
	KV_CONFLICT,
	/* The requested key, lease or history does not exist. */
	KV_NOT_FOUND,
	/* The store rejected the call without executing it. */
	KV_REFUSED,
	/* No usable response: a write may be applied already, or seconds later. */
	KV_OUTCOME_UNKNOWN
};
const char *kv_status_name(enum kv_status s);

struct kv_item {
	char *key;
	struct bytes value;
	/* Store revision of the last change; 0 if the key does not exist. */
	int64_t revision;
	bool deleted;
};

struct kv_result {
	enum kv_status status;
	struct kv_item *items;
	size_t items_len;
	/* Store revision of the response; for a transaction, the revision of its change. */
	int64_t store_revision;
	/* Whether the list continues after its last item. */
	bool has_more;
	int64_t lease;
	int64_t ttl_ms;
	/* Loop time at which the call was sent; what the result proves held after that. */
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
#define KV_TXN_MAX 32 /* conditions, writes and removals per transaction */
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
	KV_READ_EXACT,
	/* Cheaper, but may return data that is seconds old. */
	KV_READ_STALE
};

void kv_get(
	struct kv *kv, const char *key, enum kv_consistency how, kv_callback *fn, void *arg);
void kv_list(struct kv *kv, const char *prefix, const char *after, enum kv_consistency how,
	kv_callback *fn, void *arg);
void kv_watch(struct kv *kv, const char *prefix, int64_t after, int64_t wait_ms,
	kv_callback *fn, void *arg);
void kv_commit(struct kv *kv, const struct kv_txn *t, kv_callback *fn, void *arg);
void kv_lease_grant(struct kv *kv, int64_t ttl_ms, kv_callback *fn, void *arg);
void kv_lease_keepalive(struct kv *kv, int64_t lease, kv_callback *fn, void *arg);
void kv_lease_revoke(struct kv *kv, int64_t lease, kv_callback *fn, void *arg);
/* Number of calls in flight; a process waits for them before it exits. */
unsigned int kv_calls_in_flight(const struct kv *kv);
/* Whether calls go through another process because the store does not serve this one. */
bool kv_via_peer(const struct kv *kv);
/*
 * Nanoseconds for which calls have been in flight without a response from the store to any of
 * them; 0 if none are in flight or if calls go through another process.
 */
int64_t kv_unanswered_ns(const struct kv *kv);

#endif

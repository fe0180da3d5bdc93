#ifndef DP_KV_H
#define DP_KV_H

#include "base.h"

/*
 * A key-value store that is called from a loop without blocking it. Every answer comes on the
 * loop through the callback, once; results are valid only during it.
 */
struct kv;

/* What an answer, or its absence, proves. */
enum kv_status {
	/* The call was carried out. */
	KV_OK,
	/* A condition did not hold: nothing was written; items hold what stands there now. */
	KV_CONFLICT,
	/* The key, the lease or the history asked for does not exist. */
	KV_MISSING,
	/* Refused: nothing was done. */
	KV_REFUSED,
	/* No usable answer: a write may have been done, or may be done seconds later. */
	KV_UNSURE
};
const char *kv_status_name(enum kv_status s);

struct kv_item {
	char *key;
	struct bytes value;
	/* Store revision of the last change; 0 where the key does not exist. */
	int64_t revision;
	bool deleted;
};

struct kv_result {
	enum kv_status status;
	struct kv_item *items;
	size_t items_len;
	/* The store's revision as of the answer; of the change, after a transaction. */
	int64_t at;
	/* Whether a list goes on behind its last item. */
	bool more;
	int64_t lease;
	int64_t ttl_ms;
	/* When the call was sent, on the loop's clock: what it proves held after that. */
	int64_t sent;
};
typedef void kv_fn(const struct kv_result *r, void *arg);

/* Holds when the key's last change has this revision; 0 means that the key is absent. */
struct kv_expect {
	const char *key;
	int64_t revision;
};
struct kv_write {
	const char *key;
	const void *value;
	size_t len;
	int64_t lease;
};
#define KV_TXN_MAX 32 /* conditions, writes and removals of one transaction */
struct kv_txn {
	struct kv_expect expect[KV_TXN_MAX];
	size_t expect_len;
	struct kv_write write[KV_TXN_MAX];
	size_t write_len;
	const char *remove[KV_TXN_MAX];
	size_t remove_len;
	/* Nanoseconds after which the call counts as unanswered; 0 for the store's default. */
	int64_t timeout;
};

enum kv_read {
	KV_READ_EXACT,
	/* Cheap, and may be seconds old. */
	KV_READ_STALE
};

void kv_get(struct kv *kv, const char *key, enum kv_read how, kv_fn *fn, void *arg);
void kv_list(struct kv *kv, const char *prefix, const char *after, enum kv_read how, kv_fn *fn,
	void *arg);
void kv_watch(struct kv *kv, const char *prefix, int64_t after, int64_t wait_ms, kv_fn *fn,
	void *arg);
void kv_commit(struct kv *kv, const struct kv_txn *t, kv_fn *fn, void *arg);
void kv_lease_grant(struct kv *kv, int64_t ttl_ms, kv_fn *fn, void *arg);
void kv_lease_keep(struct kv *kv, int64_t lease, kv_fn *fn, void *arg);
void kv_lease_end(struct kv *kv, int64_t lease, kv_fn *fn, void *arg);
/* Calls under way; a process that stops waits for them. */
unsigned int kv_open(const struct kv *kv);
/* Whether the store does not serve this process and calls go through another. */
bool kv_detoured(const struct kv *kv);
/*
 * For how long calls have been open without the store answering any call; 0 where none are, or
 * where calls get through another process.
 */
int64_t kv_silence(const struct kv *kv);

#endif

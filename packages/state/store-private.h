#ifndef DP_STORE_PRIVATE_H
#define DP_STORE_PRIVATE_H

#include "state.h"

#include <pthread.h>

enum store_kind {
	STORE_KIND_EMBEDDED,
	STORE_KIND_ETCD,
	STORE_KIND_FAULTY
};

struct store_history_entry;

/* In-memory store; lock protects everything but clock. */
struct store_embedded {
	const struct clock *clock;
	pthread_mutex_t lock;
	/* Signalled on every change, to wake watches. */
	pthread_cond_t watch_cond;
	GTree *keys;
	GHashTable *leases;
	/* The events (store_history_entry) newer than compacted_revision, oldest first. */
	GQueue history;
	int64_t revision;
	int64_t compacted_revision;
	int64_t next_lease_id;
};

struct store_etcd {
	char *url;
	int64_t timeout;
};

struct store_faulty {
	struct store *inner;
	store_fault_fn *fn;
	void *arg;
};

struct store {
	enum store_kind kind;
	union {
		struct store_embedded embedded;
		struct store_etcd etcd;
		struct store_faulty faulty;
	};
};

/* store-embedded.c */
bool embedded_range(struct store *s, const char *prefix, bool exact, struct store_range *out);
bool embedded_txn(struct store *s, const struct store_txn *txn, bool *succeeded,
	int64_t *revision, GError **err);
bool embedded_grant(struct store *s, int64_t ttl_s, int64_t *lease);
bool embedded_keepalive(struct store *s, int64_t lease, int64_t *ttl_s);
bool embedded_revoke(struct store *s, int64_t lease);
bool embedded_watch(struct store *s, const char *prefix, int64_t from, store_watch_fn *fn,
	void *arg, GError **err);
void embedded_destroy(struct store *s);

/* store-etcd.c */
bool etcd_range(
	struct store *s, const char *prefix, bool exact, struct store_range *out, GError **err);
bool etcd_txn(struct store *s, const struct store_txn *txn, bool *succeeded, int64_t *revision,
	GError **err);
bool etcd_grant(struct store *s, int64_t ttl_s, int64_t *lease, GError **err);
bool etcd_keepalive(struct store *s, int64_t lease, int64_t *ttl_s, GError **err);
bool etcd_revoke(struct store *s, int64_t lease, GError **err);
bool etcd_watch(struct store *s, const char *prefix, int64_t from, store_watch_fn *fn,
	void *arg, GError **err);
void etcd_destroy(struct store *s);

/* store-faulty.c */
bool faulty_range(
	struct store *s, const char *prefix, bool exact, struct store_range *out, GError **err);
bool faulty_txn(struct store *s, const struct store_txn *txn, bool *succeeded,
	int64_t *revision, GError **err);
bool faulty_grant(struct store *s, int64_t ttl_s, int64_t *lease, GError **err);
bool faulty_keepalive(struct store *s, int64_t lease, int64_t *ttl_s, GError **err);
bool faulty_revoke(struct store *s, int64_t lease, GError **err);
bool faulty_watch(struct store *s, const char *prefix, int64_t from, store_watch_fn *fn,
	void *arg, GError **err);

#endif

#include "store-private.h"

#include <stdlib.h>
#include <string.h>

COUNTER(range_calls, "damaskpath_store_calls_total{call=\"range\"}",
	"Calls to the store by kind.");
COUNTER(txn_calls, "damaskpath_store_calls_total{call=\"txn\"}", "Calls to the store by kind.");
COUNTER(lease_calls, "damaskpath_store_calls_total{call=\"lease\"}",
	"Calls to the store by kind.");
COUNTER(watch_calls, "damaskpath_store_calls_total{call=\"watch\"}",
	"Calls to the store by kind.");
COUNTER(failed_calls, "damaskpath_store_failures_total", "Calls to the store that failed.");

/* Update the metrics for a finished call; returns ok. */
static bool count_call(struct counter *c, bool ok)
{
	counter_add(c, 1);
	if (!ok)
		counter_add(&failed_calls, 1);
	return ok;
}

/* Read a key, or all keys with a prefix. */
bool store_get_range(
	struct store *s, const char *prefix, bool exact, struct store_range *out, GError **err)
{
	memset(out, 0, sizeof(*out));
	switch (s->kind) {
	case STORE_KIND_EMBEDDED:
		return count_call(&range_calls, embedded_range(s, prefix, exact, out));
	case STORE_KIND_ETCD:
		return count_call(&range_calls, etcd_range(s, prefix, exact, out, err));
	case STORE_KIND_FAULTY:
		return faulty_range(s, prefix, exact, out, err);
	}
	return false;
}

/*
 * Run the operations if all compares match. ERR_STORE_DOWN means that nothing was written,
 * ERR_STORE_UNSURE that the transaction may have been applied.
 */
bool store_run_txn(struct store *s, const struct store_txn *txn, bool *succeeded,
	int64_t *revision, GError **err)
{
	switch (s->kind) {
	case STORE_KIND_EMBEDDED:
		return count_call(&txn_calls, embedded_txn(s, txn, succeeded, revision, err));
	case STORE_KIND_ETCD:
		return count_call(&txn_calls, etcd_txn(s, txn, succeeded, revision, err));
	case STORE_KIND_FAULTY:
		return faulty_txn(s, txn, succeeded, revision, err);
	}
	return false;
}

/* Grant a lease that expires after ttl_s seconds unless it is renewed. */
bool store_lease_grant(struct store *s, int64_t ttl_s, int64_t *lease, GError **err)
{
	switch (s->kind) {
	case STORE_KIND_EMBEDDED:
		return count_call(&lease_calls, embedded_grant(s, ttl_s, lease));
	case STORE_KIND_ETCD:
		return count_call(&lease_calls, etcd_grant(s, ttl_s, lease, err));
	case STORE_KIND_FAULTY:
		return faulty_grant(s, ttl_s, lease, err);
	}
	return false;
}

/* Renew a lease; *ttl_s is 0 if it has expired. */
bool store_lease_keepalive(struct store *s, int64_t lease, int64_t *ttl_s, GError **err)
{
	switch (s->kind) {
	case STORE_KIND_EMBEDDED:
		return count_call(&lease_calls, embedded_keepalive(s, lease, ttl_s));
	case STORE_KIND_ETCD:
		return count_call(&lease_calls, etcd_keepalive(s, lease, ttl_s, err));
	case STORE_KIND_FAULTY:
		return faulty_keepalive(s, lease, ttl_s, err);
	}
	return false;
}

/* Revoke a lease and delete the keys attached to it. */
bool store_lease_revoke(struct store *s, int64_t lease, GError **err)
{
	switch (s->kind) {
	case STORE_KIND_EMBEDDED:
		return count_call(&lease_calls, embedded_revoke(s, lease));
	case STORE_KIND_ETCD:
		return count_call(&lease_calls, etcd_revoke(s, lease, err));
	case STORE_KIND_FAULTY:
		return faulty_revoke(s, lease, err);
	}
	return false;
}

/*
 * Watch a prefix from a revision until fn returns false. ERR_NOT_FOUND means that the revision
 * has been compacted and the caller must read the range again.
 */
bool store_watch(struct store *s, const char *prefix, int64_t from_revision, store_watch_fn *fn,
	void *arg, GError **err)
{
	switch (s->kind) {
	case STORE_KIND_EMBEDDED:
		return count_call(
			&watch_calls, embedded_watch(s, prefix, from_revision, fn, arg, err));
	case STORE_KIND_ETCD:
		return count_call(
			&watch_calls, etcd_watch(s, prefix, from_revision, fn, arg, err));
	case STORE_KIND_FAULTY:
		return faulty_watch(s, prefix, from_revision, fn, arg, err);
	}
	return false;
}

/* Free a store, including the inner store of a wrapper. */
void store_free(struct store *s)
{
	if (s == NULL)
		return;
	switch (s->kind) {
	case STORE_KIND_EMBEDDED:
		embedded_destroy(s);
		break;
	case STORE_KIND_ETCD:
		etcd_destroy(s);
		break;
	case STORE_KIND_FAULTY:
		store_free(s->faulty.inner);
		break;
	}
	free(s);
}

/* Release the key and value of a pair. */
void store_kv_clear(struct store_kv *kv)
{
	free(kv->key);
	kv->key = NULL;
	bytes_clear(&kv->value);
}

/* Release the pairs of a range and reset it. */
void store_range_clear(struct store_range *r)
{
	for (size_t i = 0; i < r->len; i++)
		store_kv_clear(&r->kvs[i]);
	free(r->kvs);
	memset(r, 0, sizeof(*r));
}

/* Return the pair with a key, or NULL. */
const struct store_kv *store_range_find(const struct store_range *r, const char *key)
{
	for (size_t i = 0; i < r->len; i++) {
		if (strcmp(r->kvs[i].key, key) == 0)
			return &r->kvs[i];
	}
	return NULL;
}

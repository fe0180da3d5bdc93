#include "store-private.h"

/* Ask the callback which fault applies to a call. */
static enum store_fault select_fault(struct store *s, const char *call)
{
	return s->faulty.fn(call, s->faulty.arg);
}

/* Report that the call did not reach the store. */
static bool fail_before(GError **err)
{
	error_set(err, ERR_STORE_DOWN, "store is down (injected fault)");
	return false;
}

/* Report that the response of an executed call was lost. */
static bool fail_after(GError **err)
{
	error_set(err, ERR_STORE_UNSURE, "store response was lost (injected fault)");
	return false;
}

#define RUN_WITH_FAULT(s, call, expr, err)                                                     \
	do {                                                                                   \
		enum store_fault fault_ = select_fault(s, call);                               \
		bool ok_;                                                                      \
                                                                                               \
		if (fault_ == STORE_FAULT_NOT_APPLIED)                                         \
			return fail_before(err);                                               \
		ok_ = (expr);                                                                  \
		if (ok_ && fault_ == STORE_FAULT_RESPONSE_LOST)                                \
			return fail_after(err);                                                \
		return ok_;                                                                    \
	} while (0)

/* Read a range; any fault fails the call before it runs. */
bool faulty_range(
	struct store *s, const char *prefix, bool exact, struct store_range *out, GError **err)
{
	bool ok;

	if (select_fault(s, "range") != STORE_FAULT_NONE)
		return fail_before(err);
	ok = store_get_range(s->faulty.inner, prefix, exact, out, err);
	return ok;
}

/* Run a transaction, subject to faults. */
bool faulty_txn(struct store *s, const struct store_txn *txn, bool *succeeded,
	int64_t *revision, GError **err)
{
	RUN_WITH_FAULT(
		s, "txn", store_run_txn(s->faulty.inner, txn, succeeded, revision, err), err);
}

/* Grant a lease, subject to faults. */
bool faulty_grant(struct store *s, int64_t ttl_s, int64_t *lease, GError **err)
{
	RUN_WITH_FAULT(s, "grant", store_lease_grant(s->faulty.inner, ttl_s, lease, err), err);
}

/* Renew a lease, subject to faults. */
bool faulty_keepalive(struct store *s, int64_t lease, int64_t *ttl_s, GError **err)
{
	RUN_WITH_FAULT(
		s, "keepalive", store_lease_keepalive(s->faulty.inner, lease, ttl_s, err), err);
}

/* Revoke a lease, subject to faults. */
bool faulty_revoke(struct store *s, int64_t lease, GError **err)
{
	RUN_WITH_FAULT(s, "revoke", store_lease_revoke(s->faulty.inner, lease, err), err);
}

/* Watch a prefix; any fault fails the call before it runs. */
bool faulty_watch(struct store *s, const char *prefix, int64_t from, store_watch_fn *fn,
	void *arg, GError **err)
{
	if (select_fault(s, "watch") != STORE_FAULT_NONE)
		return fail_before(err);
	return store_watch(s->faulty.inner, prefix, from, fn, arg, err);
}

/* Create a store that injects faults into calls to inner, which it owns. */
struct store *store_faulty_new(struct store *inner, store_fault_fn *fn, void *arg)
{
	struct store *s = xcalloc(1, sizeof(*s));

	s->kind = STORE_KIND_FAULTY;
	s->faulty.inner = inner;
	s->faulty.fn = fn;
	s->faulty.arg = arg;
	return s;
}

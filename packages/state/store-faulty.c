#include "store-private.h"

/* Ask the plan what happens to a call. */
static enum store_fault plan(struct store *s, const char *call)
{
	return s->faulty.fn(call, s->faulty.arg);
}

/* Fail a call before it reaches the store. */
static bool fail_before(GError **err)
{
	error_set(err, ERR_STORE_DOWN, "the store is down (fault)");
	return false;
}

/* Lose the answer of a call that took effect. */
static bool fail_after(GError **err)
{
	error_set(err, ERR_STORE_UNSURE, "the store's answer was lost (fault)");
	return false;
}

#define FAULTY(s, call, expr, err)                                                             \
	do {                                                                                   \
		enum store_fault fault_ = plan(s, call);                                       \
		bool ok_;                                                                      \
                                                                                               \
		if (fault_ == STORE_FAULT_BEFORE)                                              \
			return fail_before(err);                                               \
		ok_ = (expr);                                                                  \
		if (ok_ && fault_ == STORE_FAULT_AFTER)                                        \
			return fail_after(err);                                                \
		return ok_;                                                                    \
	} while (0)

/* Read a range, or fail as planned. */
bool faulty_range(
	struct store *s, const char *prefix, bool exact, struct store_range *out, GError **err)
{
	bool ok;

	if (plan(s, "range") != STORE_FAULT_NONE)
		return fail_before(err);
	ok = store_get_range(s->faulty.inner, prefix, exact, out, err);
	return ok;
}

/* Run a transaction, or fail as planned. */
bool faulty_txn(struct store *s, const struct store_txn *txn, bool *succeeded,
	int64_t *revision, GError **err)
{
	FAULTY(s, "txn", store_run_txn(s->faulty.inner, txn, succeeded, revision, err), err);
}

/* Make a lease, or fail as planned. */
bool faulty_grant(struct store *s, int64_t ttl_s, int64_t *lease, GError **err)
{
	FAULTY(s, "grant", store_lease_grant(s->faulty.inner, ttl_s, lease, err), err);
}

/* Renew a lease, or fail as planned. */
bool faulty_keepalive(struct store *s, int64_t lease, int64_t *ttl_s, GError **err)
{
	FAULTY(s, "keepalive", store_lease_keepalive(s->faulty.inner, lease, ttl_s, err), err);
}

/* End a lease, or fail as planned. */
bool faulty_revoke(struct store *s, int64_t lease, GError **err)
{
	FAULTY(s, "revoke", store_lease_revoke(s->faulty.inner, lease, err), err);
}

/* Watch, or fail as planned. */
bool faulty_watch(struct store *s, const char *prefix, int64_t from, store_watch_fn *fn,
	void *arg, GError **err)
{
	if (plan(s, "watch") != STORE_FAULT_NONE)
		return fail_before(err);
	return store_watch(s->faulty.inner, prefix, from, fn, arg, err);
}

/* Wrap a store; owns it. */
struct store *store_faulty_new(struct store *inner, store_fault_fn *fn, void *arg)
{
	struct store *s = xcalloc(1, sizeof(*s));

	s->kind = STORE_KIND_FAULTY;
	s->faulty.inner = inner;
	s->faulty.fn = fn;
	s->faulty.arg = arg;
	return s;
}

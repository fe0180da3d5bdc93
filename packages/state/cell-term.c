#include "state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Leader election for a cell uses two keys. "term" is persistent and authoritative; it is only
 * replaced by compare-and-swap with a higher term. "lease" is attached to a store
 * lease. It only shows that the term is held; once it is gone, another agent may try to acquire
 * the next term. Both are below "live/", see STORE_PREFIX.
 */

#define CELL_PREFIX   STORE_PREFIX "live/cells/"
#define ROSTER_PREFIX STORE_PREFIX "roster/"
#define TOKEN_BYTES   8

struct cell_keys {
	char *prefix;
	char *term;
	char *lease;
	char *roster;
};

/* Build the store keys of a cell. */
static void cell_keys_init(struct cell_keys *k, const char *cell)
{
	xasprintf(&k->prefix, "%s%s/", CELL_PREFIX, cell);
	xasprintf(&k->term, "%sterm", k->prefix);
	xasprintf(&k->lease, "%slease", k->prefix);
	xasprintf(&k->roster, "%s%s", ROSTER_PREFIX, cell);
}

static void cell_keys_clear(struct cell_keys *k)
{
	free(k->prefix);
	free(k->term);
	free(k->lease);
	free(k->roster);
}

/* Release the strings of a term and reset it. */
void cell_term_clear(struct cell_term *t)
{
	free(t->addr);
	free(t->name);
	free(t->roster);
	memset(t, 0, sizeof(*t));
}

/* Parse the value of the term key; returns the token of its writer, owned by the caller. */
static char *read_term(const struct store_kv *kv, struct cell_term *out)
{
	json_t *o = json_loadb(kv->value.data, kv->value.len, 0, NULL);
	char *token = xstrdup(json_string_value(json_object_get(o, "token")));

	out->term = (uint64_t)json_integer_value(json_object_get(o, "term"));
	out->addr = xstrdup(json_string_value(json_object_get(o, "addr")));
	out->name = xstrdup(json_string_value(json_object_get(o, "name")));
	out->term_revision = kv->mod_revision;
	json_decref(o);
	return token;
}

/* Read the term and lease keys of a cell, and the token of the writer if token is not NULL. */
static bool read_cell(struct store *s, const struct cell_keys *k, struct cell_term *out,
	char **token, GError **err)
{
	const struct store_kv *kv;
	struct store_range r;
	char *writer_token = NULL;

	if (!store_get_range(s, k->prefix, false, &r, err))
		return false;
	memset(out, 0, sizeof(*out));
	kv = store_range_find(&r, k->term);
	if (kv != NULL)
		writer_token = read_term(kv, out);
	out->held = store_range_find(&r, k->lease) != NULL;
	store_range_clear(&r);
	if (token != NULL)
		*token = writer_token;
	else
		free(writer_token);
	return true;
}

/* Read the current term of a cell and its holder; term is 0 if none was ever acquired. */
bool cell_term_read(struct store *s, const char *cell, struct cell_term *out, GError **err)
{
	struct cell_keys k;
	bool ok;

	cell_keys_init(&k, cell);
	ok = read_cell(s, &k, out, NULL, err);
	cell_keys_clear(&k);
	return ok;
}

/* Read the roster saved by the previous coordinator. */
static bool read_roster(
	struct store *s, const struct cell_keys *k, struct cell_term *t, GError **err)
{
	struct store_range r;

	if (!store_get_range(s, k->roster, true, &r, err))
		return false;
	free(t->roster);
	t->roster = r.len == 1 ? xstrdup(r.kvs[0].value.data) : NULL;
	store_range_clear(&r);
	return true;
}

/* Encode the value of the term key. */
static char *term_value(uint64_t term, const char *addr, const char *name, const char *token)
{
	json_t *o = json_pack("{s:I,s:s,s:s,s:s}", "term", (json_int_t)term, "addr", addr,
		"name", name, "token", token);
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

/*
 * Write the next term and the lease key if the term is unchanged and the lease key absent. If
 * the outcome is unknown, the term is read back and *won tells whether it holds our token.
 */
static bool compare_and_swap_term(struct store *s, const struct cell_keys *k,
	const struct cell_term *current_term, int64_t lease, const char *value,
	const char *token, bool *won, GError **err)
{
	g_autoptr(GError) local_err = NULL;
	struct store_compare compares[] = {
		{k->term, STORE_MOD_REVISION, current_term->term_revision},
		{k->lease, STORE_CREATE_REVISION, 0},
	};
	struct store_op ops[] = {
		{STORE_PUT, k->term, value, strlen(value), 0},
		{STORE_PUT, k->lease, value, strlen(value), lease},
	};
	struct store_txn txn = {compares, 2, ops, 2};
	struct cell_term now;
	char *writer_token = NULL;
	int64_t revision;

	if (store_run_txn(s, &txn, won, &revision, &local_err))
		return true;
	if (error_kind_of(local_err) != ERR_STORE_UNSURE) {
		g_propagate_error(err, g_steal_pointer(&local_err));
		return false;
	}
	if (!read_cell(s, k, &now, &writer_token, err))
		return false;
	*won = writer_token != NULL && strcmp(writer_token, token) == 0;
	free(writer_token);
	cell_term_clear(&now);
	return true;
}

/*
 * Try to acquire the next term. ERR_CONFLICT means that the term is held or that another agent
 * acquired it first; the caller must read it again. On success *t holds the new term, its
 * lease and the roster saved during the previous term.
 */
bool cell_term_acquire(struct store *s, const char *cell, const char *addr, const char *name,
	int64_t ttl_s, struct cell_term *t, GError **err)
{
	AUTOFREE char *token = random_hex(TOKEN_BYTES);
	AUTOFREE char *value = NULL;
	struct cell_term current_term = {0};
	struct cell_keys k;
	int64_t lease = 0;
	bool won = false;
	bool ok;

	cell_keys_init(&k, cell);
	ok = read_cell(s, &k, &current_term, NULL, err);
	if (ok && current_term.held) {
		error_set(err, ERR_CONFLICT, "term %" PRIu64 " is held", current_term.term);
		ok = false;
	}
	value = term_value(current_term.term + 1, addr, name, token);
	ok = ok && store_lease_grant(s, ttl_s, &lease, err) &&
	     compare_and_swap_term(s, &k, &current_term, lease, value, token, &won, err);
	if (ok && !won) {
		error_set(err, ERR_CONFLICT, "another agent acquired the term first");
		store_lease_revoke(s, lease, NULL);
	}
	if (ok && won) {
		cell_term_clear(t);
		ok = read_cell(s, &k, t, NULL, err) && read_roster(s, &k, t, err);
		t->lease = lease;
		if (ok && t->term != current_term.term + 1) {
			error_set(err, ERR_CONFLICT,
				"term was superseded right after it was acquired");
			ok = false;
		}
	}
	cell_term_clear(&current_term);
	cell_keys_clear(&k);
	return ok && won;
}

/* Write the lease key under a new lease after the old one expired, if the term is unchanged. */
static bool reacquire_lease(struct store *s, const struct cell_keys *k, int64_t ttl_s,
	struct cell_term *t, GError **err)
{
	struct store_compare compares[] = {
		{k->term, STORE_MOD_REVISION, t->term_revision},
		{k->lease, STORE_CREATE_REVISION, 0},
	};
	struct store_op op = {STORE_PUT, k->lease, "", 0, 0};
	struct store_txn txn = {compares, 2, &op, 1};
	int64_t revision;
	bool won = false;

	if (!store_lease_grant(s, ttl_s, &op.lease, err) ||
		!store_run_txn(s, &txn, &won, &revision, err))
		return false;
	if (!won) {
		error_set(err, ERR_CONFLICT, "term %" PRIu64 " is no longer held by this agent",
			t->term);
		return false;
	}
	t->lease = op.lease;
	return true;
}

/*
 * Renew the lease. ERR_CONFLICT means that the term is lost. After any other error the term
 * stays valid until an agent has seen a higher one.
 */
bool cell_term_renew(
	struct store *s, const char *cell, int64_t ttl_s, struct cell_term *t, GError **err)
{
	struct cell_keys k;
	int64_t remaining_s = 0;
	bool ok;

	if (!store_lease_keepalive(s, t->lease, &remaining_s, err))
		return false;
	if (remaining_s > 0)
		return true;
	cell_keys_init(&k, cell);
	ok = reacquire_lease(s, &k, ttl_s, t, err);
	cell_keys_clear(&k);
	return ok;
}

/* Save the list of the cell's agents (see struct cell_term), if the term is unchanged. */
bool cell_term_save_roster(struct store *s, const char *cell, struct cell_term *t,
	const char *roster, GError **err)
{
	struct cell_keys k;
	struct store_compare compare;
	struct store_op op;
	struct store_txn txn = {&compare, 1, &op, 1};
	int64_t revision;
	bool won = false;
	bool ok;

	cell_keys_init(&k, cell);
	compare = (struct store_compare){k.term, STORE_MOD_REVISION, t->term_revision};
	op = (struct store_op){STORE_PUT, k.roster, roster, strlen(roster), 0};
	ok = store_run_txn(s, &txn, &won, &revision, err);
	if (ok && !won)
		error_set(err, ERR_CONFLICT, "term %" PRIu64 " is no longer held by this agent",
			t->term);
	cell_keys_clear(&k);
	return ok && won;
}

/* Revoke the lease, so that another agent need not wait for it to expire. */
bool cell_term_release(struct store *s, struct cell_term *t, GError **err)
{
	return store_lease_revoke(s, t->lease, err);
}

#include "state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Two keys per cell. "term" lasts and is the authority: it is only ever replaced by compare
 * and swap with a higher term. "lease" only says that somebody holds the term and when to try
 * to take it.
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

/* The keys of a cell. */
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

/* Free what a term holds and zero it. */
void cell_term_clear(struct cell_term *t)
{
	free(t->addr);
	free(t->name);
	free(t->roster);
	memset(t, 0, sizeof(*t));
}

/* Fill a term from the value of its key; returns the writer's token. */
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

/* Read a cell's keys; *token, if asked for, is the token of the term's writer. */
static bool read_cell(struct store *s, const struct cell_keys *k, struct cell_term *out,
	char **token, GError **err)
{
	const struct store_kv *kv;
	struct store_range r;
	char *found = NULL;

	if (!store_get_range(s, k->prefix, false, &r, err))
		return false;
	memset(out, 0, sizeof(*out));
	kv = store_range_find(&r, k->term);
	if (kv != NULL)
		found = read_term(kv, out);
	out->held = store_range_find(&r, k->lease) != NULL;
	store_range_clear(&r);
	if (token != NULL)
		*token = found;
	else
		free(found);
	return true;
}

/* Who holds the term of a cell; term 0 where nobody ever did. */
bool cell_term_read(struct store *s, const char *cell, struct cell_term *out, GError **err)
{
	struct cell_keys k;
	bool ok;

	cell_keys_init(&k, cell);
	ok = read_cell(s, &k, out, NULL, err);
	cell_keys_clear(&k);
	return ok;
}

/* Read the roster that an earlier coordinator left. */
static bool read_roster(
	struct store *s, const struct cell_keys *k, struct cell_term *io, GError **err)
{
	struct store_range r;

	if (!store_get_range(s, k->roster, true, &r, err))
		return false;
	free(io->roster);
	io->roster = r.len == 1 ? xstrdup(r.kvs[0].value.data) : NULL;
	store_range_clear(&r);
	return true;
}

/* The value of the term key. */
static char *term_value(uint64_t term, const char *addr, const char *name, const char *token)
{
	json_t *o = json_pack("{s:I,s:s,s:s,s:s}", "term", (json_int_t)term, "addr", addr,
		"name", name, "token", token);
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

/* Write term + 1 and the lease, if neither changed since they were read. */
static bool swap_term(struct store *s, const struct cell_keys *k, const struct cell_term *seen,
	int64_t lease, const char *value, const char *token, bool *won, GError **err)
{
	g_autoptr(GError) why = NULL;
	struct store_compare compares[] = {
		{k->term, STORE_MOD_REVISION, seen->term_revision},
		{k->lease, STORE_CREATE_REVISION, 0},
	};
	struct store_op ops[] = {
		{STORE_PUT, k->term, value, strlen(value), 0},
		{STORE_PUT, k->lease, value, strlen(value), lease},
	};
	struct store_txn txn = {compares, 2, ops, 2};
	struct cell_term now;
	char *found = NULL;
	int64_t revision;

	if (store_run_txn(s, &txn, won, &revision, &why))
		return true;
	if (error_kind_of(why) != ERR_STORE_UNSURE) {
		g_propagate_error(err, g_steal_pointer(&why));
		return false;
	}
	if (!read_cell(s, k, &now, &found, err))
		return false;
	*won = found != NULL && strcmp(found, token) == 0;
	free(found);
	cell_term_clear(&now);
	return true;
}

/*
 * Try to take the next term. ERR_CONFLICT: somebody holds it or was faster; read again. On
 * success *io has the new term, the lease and the roster of the one before.
 */
bool cell_term_take(struct store *s, const char *cell, const char *addr, const char *name,
	int64_t ttl_s, struct cell_term *io, GError **err)
{
	AUTOFREE char *token = random_hex(TOKEN_BYTES);
	AUTOFREE char *value = NULL;
	struct cell_term seen = {0};
	struct cell_keys k;
	int64_t lease = 0;
	bool won = false;
	bool ok;

	cell_keys_init(&k, cell);
	ok = read_cell(s, &k, &seen, NULL, err);
	if (ok && seen.held) {
		error_set(err, ERR_CONFLICT, "term %" PRIu64 " is held", seen.term);
		ok = false;
	}
	value = term_value(seen.term + 1, addr, name, token);
	ok = ok && store_lease_grant(s, ttl_s, &lease, err) &&
	     swap_term(s, &k, &seen, lease, value, token, &won, err);
	if (ok && !won) {
		error_set(err, ERR_CONFLICT, "another agent was faster");
		store_lease_revoke(s, lease, NULL);
	}
	if (ok && won) {
		cell_term_clear(io);
		ok = read_cell(s, &k, io, NULL, err) && read_roster(s, &k, io, err);
		io->lease = lease;
		if (ok && io->term != seen.term + 1) {
			error_set(err, ERR_CONFLICT, "the term was taken over at once");
			ok = false;
		}
	}
	cell_term_clear(&seen);
	cell_keys_clear(&k);
	return ok && won;
}

/* Put the lease key back after the lease ended, if the term is still ours. */
static bool retake_lease(struct store *s, const struct cell_keys *k, int64_t ttl_s,
	struct cell_term *io, GError **err)
{
	struct store_compare compares[] = {
		{k->term, STORE_MOD_REVISION, io->term_revision},
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
		error_set(
			err, ERR_CONFLICT, "the term %" PRIu64 " is no longer ours", io->term);
		return false;
	}
	io->lease = op.lease;
	return true;
}

/*
 * Keep the lease alive. ERR_CONFLICT: the term is lost. Other errors leave the term as it is:
 * it stays valid until an agent has seen a higher one.
 */
bool cell_term_renew(
	struct store *s, const char *cell, int64_t ttl_s, struct cell_term *io, GError **err)
{
	struct cell_keys k;
	int64_t left = 0;
	bool ok;

	if (!store_lease_keepalive(s, io->lease, &left, err))
		return false;
	if (left > 0)
		return true;
	cell_keys_init(&k, cell);
	ok = retake_lease(s, &k, ttl_s, io, err);
	cell_keys_clear(&k);
	return ok;
}

/* Save the names of the cell's workers, if the term is still ours. */
bool cell_term_save_roster(struct store *s, const char *cell, struct cell_term *io,
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
	compare = (struct store_compare){k.term, STORE_MOD_REVISION, io->term_revision};
	op = (struct store_op){STORE_PUT, k.roster, roster, strlen(roster), 0};
	ok = store_run_txn(s, &txn, &won, &revision, err);
	if (ok && !won)
		error_set(
			err, ERR_CONFLICT, "the term %" PRIu64 " is no longer ours", io->term);
	cell_keys_clear(&k);
	return ok && won;
}

/* Give the lease back, so that another agent need not wait for its end. */
bool cell_term_release(struct store *s, struct cell_term *io, GError **err)
{
	return store_lease_revoke(s, io->lease, err);
}

#include "entry-private.h"

#include <string.h>

#define BEARER "Bearer "

/* Compare digests without leaking where they differ. */
static bool equal_digest(const char *a, const char *b)
{
	size_t len = strlen(a);
	unsigned char diff = 0;

	if (strlen(b) != len)
		return false;
	for (size_t i = 0; i < len; i++)
		diff |= (unsigned char)(a[i] ^ b[i]);
	return diff == 0;
}

/* Whether the request's bearer token has a digest; an absent digest means open. */
static bool token_matches(const struct http_request *r, const char *digest)
{
	const char *header = http_header(r, "Authorization");
	AUTOFREE char *mine = NULL;

	if (digest == NULL)
		return true;
	if (header == NULL || strncmp(header, BEARER, strlen(BEARER)) != 0)
		return false;
	mine = doc_token_digest(header + strlen(BEARER));
	return equal_digest(mine, digest);
}

/* Whether the caller may act as an operator. */
bool auth_operator(const struct http_request *r, const struct doc *d)
{
	return token_matches(r, d->operators_digest);
}

/* Whether the caller may act for an organisation: its own token, its team's or an operator's.
 */
bool auth_org(const struct http_request *r, const struct doc *d, const struct doc_org *o)
{
	const struct doc_team *t = doc_find_team(d, o->team);

	if (o->token_digest == NULL && (t == NULL || t->token_digest == NULL))
		return true;
	if (o->token_digest != NULL && token_matches(r, o->token_digest))
		return true;
	if (t != NULL && t->token_digest != NULL && token_matches(r, t->token_digest))
		return true;
	return d->operators_digest != NULL && auth_operator(r, d);
}

/* Whether the caller may edit a section: its team's token, or an operator's. */
bool auth_team(const struct http_request *r, const struct doc *d, const char *section)
{
	const struct doc_team *t =
		g_str_has_prefix(section, "teams/") ? doc_find_team(d, section + 6) : NULL;

	if (auth_operator(r, d))
		return true;
	return t != NULL && t->token_digest != NULL && token_matches(r, t->token_digest);
}

/* Say which organisations take jobs from anybody. */
void auth_warn_open(const struct doc *d)
{
	const struct doc_org *o;

	STAILQ_FOREACH(o, &d->orgs, entry)
	{
		const struct doc_team *t = doc_find_team(d, o->team);

		if (o->token_digest == NULL && (t == NULL || t->token_digest == NULL))
			log_warning(
				"entry", "Organisation %s is open: it has no token.", o->name);
	}
	if (d->operators_digest == NULL)
		log_warning(
			"entry", "The configuration is open: there is no operators' token.");
}

/*
 * Whether an organisation's limit has room for one more request. Each entry enforces its part
 * of the limit, the limit divided by the entries that hold a lease.
 */
bool rate_allows(struct entry *e, const struct entry_view *v, const struct doc_org *o)
{
	double share = 1.0 / (v->entries_count > 0 ? v->entries_count : 1);
	double rate = o->rate_per_second * share;
	double burst = (o->rate_burst > 0 ? o->rate_burst : o->rate_per_second) * share;
	int64_t now = clock_now(loop_clock(e->p->loop));
	struct token_bucket *r;
	bool ok;

	if (o->rate_per_second == 0)
		return true;
	pthread_mutex_lock(&e->rate_lock);
	r = g_hash_table_lookup(e->rate_buckets, o->name);
	if (r == NULL) {
		r = g_new0(struct token_bucket, 1);
		r->tokens = burst;
		r->refilled_at = now;
		g_hash_table_insert(e->rate_buckets, g_strdup(o->name), r);
	}
	r->tokens += rate * (double)(now - r->refilled_at) / (double)NSEC_PER_SEC;
	r->tokens = MIN(r->tokens, MAX(burst, 1.0));
	r->refilled_at = now;
	ok = r->tokens >= 1.0;
	if (ok)
		r->tokens -= 1.0;
	pthread_mutex_unlock(&e->rate_lock);
	return ok;
}

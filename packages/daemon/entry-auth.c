#include "entry-private.h"

#include <string.h>

#define BEARER_PREFIX "Bearer "
#define TEAM_PREFIX   "teams/"

/* Compares digests in a time that does not depend on where they differ. */
static bool digest_equal(const char *a, const char *b)
{
	size_t len = strlen(a);
	unsigned char diff = 0;

	if (strlen(b) != len)
		return false;
	for (size_t i = 0; i < len; i++)
		diff |= (unsigned char)(a[i] ^ b[i]);
	return diff == 0;
}

/* Returns whether the bearer token has the given digest. NULL allows any request. */
static bool token_matches(const struct http_request *r, const char *digest)
{
	const char *header = http_header(r, "Authorization");
	AUTOFREE char *actual = NULL;

	if (digest == NULL)
		return true;
	if (header == NULL || strncmp(header, BEARER_PREFIX, strlen(BEARER_PREFIX)) != 0)
		return false;
	actual = doc_token_digest(header + strlen(BEARER_PREFIX));
	return digest_equal(actual, digest);
}

/* Returns whether the caller has operator rights. */
bool auth_operator(const struct http_request *r, const struct doc *d)
{
	return token_matches(r, d->operators_digest);
}

/*
 * Returns whether the caller may act for an organisation: with its token, the token of its
 * team or an operator's. An organisation without either token is open to anyone.
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

/*
 * Returns whether the caller may edit a section: with an operator's token or, for the section
 * of a team, with the team's.
 */
bool auth_section_edit(const struct http_request *r, const struct doc *d, const char *section)
{
	const struct doc_team *t = g_str_has_prefix(section, TEAM_PREFIX)
					   ? doc_find_team(d, section + strlen(TEAM_PREFIX))
					   : NULL;

	if (auth_operator(r, d))
		return true;
	return t != NULL && t->token_digest != NULL && token_matches(r, t->token_digest);
}

/* Warns where a missing token leaves an organisation or the operators' rights open to anyone.
 */
void auth_warn_open(const struct doc *d)
{
	const struct doc_org *o;

	STAILQ_FOREACH(o, &d->orgs, entry)
	{
		const struct doc_team *t = doc_find_team(d, o->team);

		if (o->token_digest == NULL && (t == NULL || t->token_digest == NULL))
			log_warning("entry",
				"Organisation %s accepts jobs from anyone: it has no token.",
				o->name);
	}
	if (d->operators_digest == NULL)
		log_warning(
			"entry", "Anyone can act as an operator: no operators' token is set.");
}

/*
 * Takes a token from the organisation's bucket; false if it is over its rate limit. Each entry
 * enforces an equal share: the limit divided by the number of entries that hold a lease.
 */
bool rate_allows(struct entry *e, const struct entry_view *v, const struct doc_org *o)
{
	double share = 1.0 / (v->entries_count > 0 ? v->entries_count : 1);
	double rate = o->rate_per_second * share;
	double burst = (o->rate_burst > 0 ? o->rate_burst : o->rate_per_second) * share;
	int64_t now = clock_now(loop_clock(e->p->loop));
	struct token_bucket *bucket;
	bool allowed;

	if (o->rate_per_second == 0)
		return true;
	pthread_mutex_lock(&e->rate_lock);
	bucket = g_hash_table_lookup(e->rate_buckets, o->name);
	if (bucket == NULL) {
		bucket = g_new0(struct token_bucket, 1);
		bucket->tokens = burst;
		bucket->refilled_at = now;
		g_hash_table_insert(e->rate_buckets, g_strdup(o->name), bucket);
	}
	bucket->tokens += rate * (double)(now - bucket->refilled_at) / (double)NSEC_PER_SEC;
	bucket->tokens = MIN(bucket->tokens, MAX(burst, 1.0));
	bucket->refilled_at = now;
	allowed = bucket->tokens >= 1.0;
	if (allowed)
		bucket->tokens -= 1.0;
	pthread_mutex_unlock(&e->rate_lock);
	return allowed;
}

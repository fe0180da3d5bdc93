#include "entry-private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ID_BYTES       8
#define RUN_TIME_MAX_S (90 * 86400.0)

COUNTER(jobs_accepted, "damaskpath_submissions_total", "Valid submissions.");
COUNTER(jobs_limited, "damaskpath_submissions_limited_total",
	"Submissions refused by a limit of this entry.");

/* The members that the body of a submission may have, with their types. */
enum body_type {
	BODY_TEXT,
	BODY_COUNT,
	BODY_SECONDS,
	BODY_BOOL
};
static const struct body_key {
	const char *name;
	enum body_type type;
	double max;
} body_keys[] = {
	{"organisation", BODY_TEXT, JOB_NAME_MAX},
	{"class", BODY_TEXT, JOB_NAME_MAX},
	{"kind", BODY_TEXT, JOB_NAME_MAX},
	{"within", BODY_TEXT, JOB_NAME_MAX},
	{"payload", BODY_TEXT, JOB_PAYLOAD_MAX},
	{"payload_base64", BODY_TEXT, JOB_PAYLOAD_MAX * 4.0 / 3 + 4},
	{"payload_type", BODY_TEXT, 128},
	{"accelerators", BODY_COUNT, JOB_ACCELERATORS_MAX},
	{"cores", BODY_COUNT, 100000},
	{"memory_mb", BODY_COUNT, 100000000},
	{"run_time_s", BODY_SECONDS, RUN_TIME_MAX_S},
	{"deadline_s", BODY_SECONDS, RUN_TIME_MAX_S},
	{"idempotent", BODY_BOOL, 0},
	{"checkpoint", BODY_BOOL, 0},
};

/* Whether a member has the type and size of its key. */
static bool check_member(const struct body_key *k, const json_t *v, GError **err)
{
	double n;

	switch (k->type) {
	case BODY_TEXT:
		if (json_is_string(v) && (double)json_string_length(v) < k->max)
			return true;
		error_set(err, ERR_INVALID, "%s must be text of less than %.0f bytes", k->name,
			k->max);
		return false;
	case BODY_COUNT:
		n = json_is_integer(v) ? (double)json_integer_value(v) : -1;
		if (n >= 0 && n <= k->max)
			return true;
		error_set(err, ERR_INVALID, "%s must be a whole number from 0 to %.0f", k->name,
			k->max);
		return false;
	case BODY_SECONDS:
		n = json_is_number(v) ? json_number_value(v) : -1;
		if (n > 0 && n <= k->max)
			return true;
		error_set(err, ERR_INVALID, "%s must be seconds, above 0 and up to %.0f",
			k->name, k->max);
		return false;
	case BODY_BOOL:
		if (json_is_boolean(v))
			return true;
		error_set(err, ERR_INVALID, "%s must be true or false", k->name);
		return false;
	}
	return false;
}

/* Check all members of a body; unknown ones are refused by name. */
static bool check_body(const json_t *body, GError **err)
{
	const char *name;
	json_t *v;

	if (!json_is_object(body)) {
		error_set(err, ERR_INVALID, "the body must be a JSON object");
		return false;
	}
	json_object_foreach((json_t *)body, name, v) {
		const struct body_key *k = NULL;

		for (size_t i = 0; i < ARRAY_LEN(body_keys); i++) {
			if (strcmp(body_keys[i].name, name) == 0)
				k = &body_keys[i];
		}
		if (k == NULL) {
			error_set(err, ERR_INVALID, "unknown member %s", name);
			return false;
		}
		if (!check_member(k, v, err))
			return false;
	}
	return true;
}

/* A text member, copied; NULL where it is absent. */
static char *text_of(const json_t *body, const char *name)
{
	return xstrdup(json_string_value(json_object_get(body, name)));
}

/* A count member; 0 where it is absent. */
static uint32_t count_of(const json_t *body, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(body, name));
}

/* A member in seconds, as milliseconds; 0 where it is absent. */
static int64_t millis_of(const json_t *body, const char *name)
{
	return (int64_t)(json_number_value(json_object_get(body, name)) * 1000.0);
}

/* Take the payload out of the body. */
static bool take_payload(const json_t *body, struct job_spec *s, GError **err)
{
	const json_t *plain = json_object_get(body, "payload");
	const char *coded = json_string_value(json_object_get(body, "payload_base64"));

	if (plain != NULL && coded != NULL) {
		error_set(err, ERR_INVALID, "payload and payload_base64 exclude each other");
		return false;
	}
	if (plain != NULL) {
		s->payload = bytes_copy(json_string_value(plain), json_string_length(plain));
	} else if (coded != NULL) {
		gsize len = 0;
		g_autofree guchar *raw = g_base64_decode(coded, &len);

		s->payload = bytes_copy(raw, len);
	}
	return true;
}

/* Fill a job from a checked body. */
static bool fill_spec(const json_t *body, struct job_spec *s, GError **err)
{
	const char *within = json_string_value(json_object_get(body, "within"));
	enum adjacency a = ADJACENCY_ANY;

	if (within != NULL && !adjacency_parse(within, &a)) {
		error_set(err, ERR_INVALID, "within must be any, rack or worker");
		return false;
	}
	s->org = text_of(body, "organisation");
	s->class_name = text_of(body, "class");
	s->kind = text_of(body, "kind");
	s->payload_type = text_of(body, "payload_type");
	s->adjacency = a;
	s->accelerators = count_of(body, "accelerators");
	s->cores = count_of(body, "cores");
	s->memory_mb = count_of(body, "memory_mb");
	s->idempotent = json_is_true(json_object_get(body, "idempotent"));
	s->checkpoint = json_is_true(json_object_get(body, "checkpoint"));
	s->run_time_ms = millis_of(body, "run_time_s");
	s->deadline_ms = millis_of(body, "deadline_s");
	if (s->org == NULL || *s->org == '\0') {
		error_set(err, ERR_INVALID, "organisation is missing");
		return false;
	}
	return take_payload(body, s, err);
}

/* Take over what the document says of the job's class. */
static bool apply_class(const struct doc *d, struct job_spec *s, GError **err)
{
	const struct doc_class *c;

	if (s->class_name == NULL) {
		const struct doc_class *last = NULL;

		STAILQ_FOREACH(c, &d->classes, entry)
		{
			if (last == NULL || c->priority > last->priority)
				last = c;
		}
		s->class_name = xstrdup(last != NULL ? last->name : "");
	}
	c = doc_find_class(d, s->class_name);
	if (c == NULL) {
		error_set(err, ERR_INVALID, "there is no class %s", s->class_name);
		return false;
	}
	s->priority = c->priority;
	s->urgent = c->urgent;
	return true;
}

/* Choose a cell for a key: the highest hash wins, so most keys stay when cells change. */
static const char *cell_for_key(const struct entry_view *v, const char *org, const char *key)
{
	AUTOFREE char *text = NULL;
	const struct doc_cell *c;
	const char *best = NULL;
	uint64_t best_hash = 0;

	xasprintf(&text, "%s\n%s", org, key);
	STAILQ_FOREACH(c, &v->doc->cells, entry)
	{
		uint64_t h = XXH64(text, strlen(text), XXH64(c->name, strlen(c->name), 0));

		if (best == NULL || h > best_hash) {
			best = c->name;
			best_hash = h;
		}
	}
	return best;
}

/* Choose a cell for a job without a key. */
static const char *cell_for_job(const struct entry_view *v)
{
	uint64_t pick = random_u64();
	const struct doc_cell *c;
	uint64_t n = 0;

	STAILQ_FOREACH(c, &v->doc->cells, entry)
	n++;
	if (n == 0)
		return NULL;
	pick %= n;
	STAILQ_FOREACH(c, &v->doc->cells, entry)
	{
		if (pick-- == 0)
			return c->name;
	}
	return NULL;
}

/* Give a job its id, "CELL~HEX": with a key it is the same wherever the request goes. */
static bool set_id(
	struct open_job *j, const struct entry_view *v, const char *key, GError **err)
{
	const char *cell = key != NULL ? cell_for_key(v, j->spec.org, key) : cell_for_job(v);

	if (cell == NULL) {
		error_set(err, ERR_NO_COORDINATOR, "the configuration has no cells");
		return false;
	}
	j->cell = xstrdup(cell);
	if (key == NULL) {
		AUTOFREE char *hex = random_hex(ID_BYTES);

		xasprintf(&j->spec.id, "%s~%s", cell, hex);
	} else {
		AUTOFREE char *text = NULL;
		g_autofree char *hex = NULL;

		xasprintf(&text, "%s\n%s", j->spec.org, key);
		hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
		xasprintf(&j->spec.id, "%s~%.24s", cell, hex);
		j->spec.key = xstrdup(key);
	}
	return true;
}

/* What two requests with one key must share. */
static char *fingerprint(const struct bytes *body)
{
	return g_compute_checksum_for_data(G_CHECKSUM_SHA256, body->data, body->len);
}

/* The posted half of a submission. */
static void open_posted(void *arg)
{
	job_open(arg);
}

/* Check what the document and this entry allow. */
static bool admit(struct entry *e, struct http_request *r, const struct entry_view *v,
	struct job_spec *s, GError **err)
{
	const struct doc_org *o = doc_find_org(v->doc, s->org);

	if (o == NULL) {
		error_set(err, ERR_FORBIDDEN, "there is no organisation %s", s->org);
		return false;
	}
	if (!auth_org(r, v->doc, o)) {
		error_set(
			err, ERR_UNAUTHORISED, "a token of organisation %s is needed", s->org);
		return false;
	}
	if (s->payload.len > v->doc->payload_max) {
		error_set(err, ERR_TOO_LARGE, "the payload has %zu bytes; the limit is %u",
			s->payload.len, v->doc->payload_max);
		return false;
	}
	if (!apply_class(v->doc, s, err))
		return false;
	if (!rate_allows(e, v, o)) {
		counter_add(&jobs_limited, 1);
		error_set(err, ERR_OVERLOAD, "organisation %s is over its rate limit", s->org);
		return false;
	}
	if (__atomic_load_n(&e->open_count, __ATOMIC_RELAXED) >= e->open_max) {
		counter_add(&jobs_limited, 1);
		error_set(err, ERR_OVERLOAD, "this entry has as many open requests as it may");
		return false;
	}
	return true;
}

/* Make an open job of a request; NULL with an error. */
static struct open_job *parse_job(
	struct entry *e, struct http_request *r, const struct entry_view *v, GError **err)
{
	const char *key = http_header(r, "Idempotency-Key");
	const char *prefer = http_header(r, "Prefer");
	const struct bytes *body = http_body(r);
	struct open_job *j = xcalloc(1, sizeof(*j));
	json_error_t where;
	json_t *o = json_loadb(body->data, body->len, JSON_REJECT_DUPLICATES, &where);
	bool ok = o != NULL;

	j->entry = e;
	j->request = r;
	if (!ok)
		error_set(err, ERR_INVALID,
			"the body is not valid JSON: line %d, column %d: %s", where.line,
			where.column, where.text);
	if (key != NULL && (*key == '\0' || strlen(key) > JOB_KEY_MAX)) {
		error_set(err, ERR_INVALID, "Idempotency-Key must have 1 to %d bytes",
			JOB_KEY_MAX);
		ok = false;
	}
	ok = ok && check_body(o, err) && fill_spec(o, &j->spec, err) &&
	     admit(e, r, v, &j->spec, err) && set_id(j, v, key, err);
	json_decref(o);
	if (!ok) {
		open_job_free(j);
		return NULL;
	}
	j->wait = prefer == NULL || strstr(prefer, "respond-async") == NULL;
	j->spec.fingerprint = fingerprint(body);
	j->spec.durable = !j->wait || (key != NULL && !j->spec.idempotent);
	j->spec.submitted_wall_ms = clock_wall(loop_clock(e->p->loop)) / NSEC_PER_MSEC;
	j->waiting_since = clock_now(loop_clock(e->p->loop));
	if (j->spec.deadline_ms > 0)
		j->deadline_at = j->waiting_since + j->spec.deadline_ms * NSEC_PER_MSEC;
	return j;
}

/* POST /v1/jobs. */
void submit_request(struct entry *e, struct http_request *r, const struct entry_view *v)
{
	g_autoptr(GError) err = NULL;
	struct open_job *j = parse_job(e, r, v, &err);

	if (j == NULL) {
		http_reply_error(r, err);
		return;
	}
	counter_add(&jobs_accepted, 1);
	__atomic_fetch_add(&e->open_count, 1, __ATOMIC_RELAXED);
	loop_post(e->p->loop, open_posted, j);
}

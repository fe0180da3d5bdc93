#include "entry-private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define RANDOM_ID_BYTES	 8
#define RUN_TIME_MAX_S	 (90 * 86400.0)
#define PAYLOAD_TYPE_MAX 128
#define CORES_MAX	 100000
#define MEMORY_MB_MAX	 100000000

COUNTER(submissions_valid, "damaskpath_submissions_total", "Valid submissions.");
COUNTER(jobs_limited, "damaskpath_submissions_limited_total",
	"Submissions refused by a limit of this entry.");

/* The JSON members that the body of a submission may have, with their types and limits. */
enum body_field_type {
	BODY_TEXT,
	BODY_COUNT,
	BODY_SECONDS,
	BODY_BOOL
};
static const struct body_field {
	const char *name;
	enum body_field_type type;
	double max;
} body_fields[] = {
	{"organisation", BODY_TEXT, JOB_NAME_MAX},
	{"class", BODY_TEXT, JOB_NAME_MAX},
	{"kind", BODY_TEXT, JOB_NAME_MAX},
	{"within", BODY_TEXT, JOB_NAME_MAX},
	{"payload", BODY_TEXT, JOB_PAYLOAD_MAX},
	{"payload_base64", BODY_TEXT, JOB_PAYLOAD_MAX * 4.0 / 3 + 4},
	{"payload_type", BODY_TEXT, PAYLOAD_TYPE_MAX},
	{"accelerators", BODY_COUNT, JOB_ACCELERATORS_MAX},
	{"cores", BODY_COUNT, CORES_MAX},
	{"memory_mb", BODY_COUNT, MEMORY_MB_MAX},
	{"run_time_s", BODY_SECONDS, RUN_TIME_MAX_S},
	{"deadline_s", BODY_SECONDS, RUN_TIME_MAX_S},
	{"idempotent", BODY_BOOL, 0},
	{"checkpoint", BODY_BOOL, 0},
};

/* Checks the type and size of a JSON member. */
static bool check_field(const struct body_field *f, const json_t *v, GError **err)
{
	double n;

	switch (f->type) {
	case BODY_TEXT:
		if (json_is_string(v) && (double)json_string_length(v) < f->max)
			return true;
		error_set(err, ERR_INVALID, "%s must be text of less than %.0f bytes", f->name,
			f->max);
		return false;
	case BODY_COUNT:
		n = json_is_integer(v) ? (double)json_integer_value(v) : -1;
		if (n >= 0 && n <= f->max)
			return true;
		error_set(err, ERR_INVALID, "%s must be a whole number from 0 to %.0f", f->name,
			f->max);
		return false;
	case BODY_SECONDS:
		n = json_is_number(v) ? json_number_value(v) : -1;
		if (n > 0 && n <= f->max)
			return true;
		error_set(err, ERR_INVALID, "%s must be seconds, above 0 and up to %.0f",
			f->name, f->max);
		return false;
	case BODY_BOOL:
		if (json_is_boolean(v))
			return true;
		error_set(err, ERR_INVALID, "%s must be true or false", f->name);
		return false;
	}
	return false;
}

/* Checks all JSON members of a body and rejects unknown ones. */
static bool check_body(const json_t *body, GError **err)
{
	const char *name;
	json_t *v;

	if (!json_is_object(body)) {
		error_set(err, ERR_INVALID, "the body must be a JSON object");
		return false;
	}
	json_object_foreach((json_t *)body, name, v) {
		const struct body_field *f = NULL;

		for (size_t i = 0; i < ARRAY_LEN(body_fields); i++) {
			if (strcmp(body_fields[i].name, name) == 0)
				f = &body_fields[i];
		}
		if (f == NULL) {
			error_set(err, ERR_INVALID, "unknown member %s", name);
			return false;
		}
		if (!check_field(f, v, err))
			return false;
	}
	return true;
}

/* Returns a copy of a string from the body, or NULL if it is absent. */
static char *field_text(const json_t *body, const char *name)
{
	return xstrdup(json_string_value(json_object_get(body, name)));
}

/* Returns an integer from the body, or 0 if it is absent. */
static uint32_t field_count(const json_t *body, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(body, name));
}

/* Returns a duration from the body, which is in seconds, as milliseconds; 0 if it is absent. */
static int64_t field_ms(const json_t *body, const char *name)
{
	return (int64_t)(json_number_value(json_object_get(body, name)) * 1000.0);
}

/* Sets the payload from the body, which has it as plain text or in base64. */
static bool parse_payload(const json_t *body, struct job_spec *s, GError **err)
{
	const json_t *plain = json_object_get(body, "payload");
	const char *encoded = json_string_value(json_object_get(body, "payload_base64"));

	if (plain != NULL && encoded != NULL) {
		error_set(err, ERR_INVALID, "payload and payload_base64 exclude each other");
		return false;
	}
	if (plain != NULL) {
		s->payload = bytes_copy(json_string_value(plain), json_string_length(plain));
	} else if (encoded != NULL) {
		gsize len = 0;
		g_autofree guchar *raw = g_base64_decode(encoded, &len);

		s->payload = bytes_copy(raw, len);
	}
	return true;
}

/* Fills a job's specification from a checked body. */
static bool parse_spec(const json_t *body, struct job_spec *s, GError **err)
{
	const char *within = json_string_value(json_object_get(body, "within"));
	enum adjacency a = ADJACENCY_ANY;

	if (within != NULL && !adjacency_parse(within, &a)) {
		error_set(err, ERR_INVALID, "within must be any, rack or worker");
		return false;
	}
	s->org = field_text(body, "organisation");
	s->class_name = field_text(body, "class");
	s->kind = field_text(body, "kind");
	s->payload_type = field_text(body, "payload_type");
	s->adjacency = a;
	s->accelerators = field_count(body, "accelerators");
	s->cores = field_count(body, "cores");
	s->memory_mb = field_count(body, "memory_mb");
	s->idempotent = json_is_true(json_object_get(body, "idempotent"));
	s->checkpoint = json_is_true(json_object_get(body, "checkpoint"));
	s->run_time_ms = field_ms(body, "run_time_s");
	s->deadline_ms = field_ms(body, "deadline_s");
	if (s->org == NULL || *s->org == '\0') {
		error_set(err, ERR_INVALID, "organisation is missing");
		return false;
	}
	return parse_payload(body, s, err);
}

/*
 * Sets the job's priority and urgency from its class. A job without a class gets the class with
 * the highest priority number, which is the least important one: it is queued last.
 */
static bool apply_class(const struct doc *d, struct job_spec *s, GError **err)
{
	const struct doc_class *c;

	if (s->class_name == NULL) {
		const struct doc_class *default_class = NULL;

		STAILQ_FOREACH(c, &d->classes, entry)
		{
			if (default_class == NULL || c->priority > default_class->priority)
				default_class = c;
		}
		s->class_name = xstrdup(default_class != NULL ? default_class->name : "");
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

/*
 * Chooses a cell for a key by rendezvous hashing, so that most keys keep their cell when cells
 * are added or removed.
 */
static const char *cell_for_key(const struct entry_view *v, const char *org, const char *key)
{
	AUTOFREE char *text = NULL;
	const struct doc_cell *c;
	const char *best = NULL;
	uint64_t best_hash = 0;

	xasprintf(&text, "%s\n%s", org, key);
	STAILQ_FOREACH(c, &v->doc->cells, entry)
	{
		uint64_t hash = XXH64(text, strlen(text), XXH64(c->name, strlen(c->name), 0));

		if (best == NULL || hash > best_hash) {
			best = c->name;
			best_hash = hash;
		}
	}
	return best;
}

/* Chooses a random cell for a job without a key. */
static const char *cell_for_job(const struct entry_view *v)
{
	uint64_t chosen = random_u64();
	const struct doc_cell *c;
	uint64_t n = 0;

	STAILQ_FOREACH(c, &v->doc->cells, entry)
	n++;
	if (n == 0)
		return NULL;
	chosen %= n;
	STAILQ_FOREACH(c, &v->doc->cells, entry)
	{
		if (chosen-- == 0)
			return c->name;
	}
	return NULL;
}

/*
 * Sets the job's cell and its id, "CELL~HEX". With a key both are derived from the organisation
 * and the key, so a repeated request gets the same id at any entry.
 */
static bool assign_cell_and_id(
	struct open_job *j, const struct entry_view *v, const char *key, GError **err)
{
	const char *cell = key != NULL ? cell_for_key(v, j->spec.org, key) : cell_for_job(v);

	if (cell == NULL) {
		error_set(err, ERR_NO_COORDINATOR, "the configuration has no cells");
		return false;
	}
	j->cell = xstrdup(cell);
	if (key == NULL) {
		AUTOFREE char *hex = random_hex(RANDOM_ID_BYTES);

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

/* Returns the digest of a body; requests with the same key must have the same one. */
static char *fingerprint(const struct bytes *body)
{
	return g_compute_checksum_for_data(G_CHECKSUM_SHA256, body->data, body->len);
}

/* Callback of loop_post: calls job_open on the loop. */
static void job_open_cb(void *arg)
{
	job_open(arg);
}

/*
 * Checks the caller's token, the payload limit, the class and the limits of this entry. Also
 * sets the job's class, if it has none, and its priority and urgency.
 */
static bool check_admission(struct entry *e, struct http_request *r, const struct entry_view *v,
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

/* Creates an open job from a request; NULL on error. */
static struct open_job *parse_job(
	struct entry *e, struct http_request *r, const struct entry_view *v, GError **err)
{
	const char *key = http_header(r, "Idempotency-Key");
	const char *prefer = http_header(r, "Prefer");
	const struct bytes *body = http_body(r);
	struct open_job *j = xcalloc(1, sizeof(*j));
	json_error_t json_err;
	json_t *root = json_loadb(body->data, body->len, JSON_REJECT_DUPLICATES, &json_err);
	bool ok = root != NULL;

	j->entry = e;
	j->request = r;
	if (!ok)
		error_set(err, ERR_INVALID,
			"the body is not valid JSON: line %d, column %d: %s", json_err.line,
			json_err.column, json_err.text);
	if (key != NULL && (*key == '\0' || strlen(key) > JOB_KEY_MAX)) {
		error_set(err, ERR_INVALID, "Idempotency-Key must have 1 to %d bytes",
			JOB_KEY_MAX);
		ok = false;
	}
	ok = ok && check_body(root, err) && parse_spec(root, &j->spec, err) &&
	     check_admission(e, r, v, &j->spec, err) && assign_cell_and_id(j, v, key, err);
	json_decref(root);
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
	counter_add(&submissions_valid, 1);
	__atomic_fetch_add(&e->open_count, 1, __ATOMIC_RELAXED);
	loop_post(e->p->loop, job_open_cb, j);
}

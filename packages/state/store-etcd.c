#include "store-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * The JSON form of etcd's v3 protocol (api/etcdserverpb/rpc.proto with its HTTP gateway
 * paths): keys and values in base64, 64-bit numbers as strings.
 */

#define WATCH_SILENCE_MAX (600 * NSEC_PER_SEC)

/* A client of the service at a base URL. */
struct store *store_etcd_new(const char *url, int64_t timeout)
{
	struct store *s = xcalloc(1, sizeof(*s));

	s->kind = STORE_KIND_ETCD;
	s->etcd.url = xstrdup(url);
	s->etcd.timeout = timeout;
	return s;
}

/* Free what the client holds. */
void etcd_destroy(struct store *s)
{
	free(s->etcd.url);
}

/* POST one call and parse the answer; owns body. */
static json_t *post(struct store *s, const char *path, json_t *body, GError **err)
{
	AUTOFREE char *url = NULL;
	struct http_call *c;
	json_t *answer = NULL;
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	xasprintf(&url, "%s%s", s->etcd.url, path);
	c = http_call_new("POST", url);
	c->body.data = text;
	c->body.len = strlen(text);
	c->timeout = s->etcd.timeout;
	http_call_run(c);
	if (c->error != NULL)
		error_set(err, c->never_sent ? ERR_STORE_DOWN : ERR_STORE_UNSURE, "store: %s",
			c->error->message);
	else if (c->status != 200)
		error_set(err, c->status == 503 ? ERR_STORE_DOWN : ERR_STORE_UNSURE,
			"store: status %d", c->status);
	else
		answer = json_loadb(c->answer.data, c->answer.len, 0, NULL);
	if (answer == NULL)
		error_set(err, ERR_STORE_UNSURE, "store: the answer is not JSON");
	http_call_free(c);
	return answer;
}

/* Set a member to the base64 of a text. */
static void set_base64(json_t *o, const char *name, const void *data, size_t len)
{
	g_autofree char *text = store_json_encode64(data, len);

	json_object_set_new(o, name, json_string(text));
}

/* The revision in an answer's header. */
static int64_t header_revision(const json_t *answer)
{
	return store_json_get_int(
		json_object_get(json_object_get(answer, "header"), "revision"));
}

/* A request for a key or a prefix. */
static json_t *key_request(const char *prefix, bool exact)
{
	json_t *o = json_object();

	set_base64(o, "key", prefix, strlen(prefix));
	if (!exact) {
		AUTOFREE char *end = store_json_prefix_end(prefix);

		set_base64(o, "range_end", end, strlen(end));
	}
	return o;
}

/* Read a range. */
bool etcd_range(
	struct store *s, const char *prefix, bool exact, struct store_range *out, GError **err)
{
	json_t *answer = post(s, "/v3/kv/range", key_request(prefix, exact), err);
	json_t *kvs = json_object_get(answer, "kvs");
	bool ok = answer != NULL;

	if (!ok)
		return false;
	out->revision = header_revision(answer);
	out->kvs = xcalloc(json_array_size(kvs), sizeof(*out->kvs));
	for (size_t i = 0; ok && i < json_array_size(kvs); i++) {
		ok = store_json_decode_kv(json_array_get(kvs, i), &out->kvs[i]);
		out->len++;
	}
	json_decref(answer);
	if (!ok) {
		store_range_clear(out);
		error_set(err, ERR_STORE_UNSURE, "store: a malformed key");
	}
	return ok;
}

/* One compare as JSON. */
static json_t *compare_json(const struct store_compare *c)
{
	bool mod = c->target == STORE_MOD_REVISION;
	json_t *o = json_object();

	set_base64(o, "key", c->key, strlen(c->key));
	json_object_set_new(o, "result", json_string("EQUAL"));
	json_object_set_new(o, "target", json_string(mod ? "MOD" : "CREATE"));
	store_json_set_int(o, mod ? "mod_revision" : "create_revision", c->revision);
	return o;
}

/* One operation as JSON. */
static json_t *op_json(const struct store_op *op)
{
	json_t *inner = json_object();
	json_t *o = json_object();

	set_base64(inner, "key", op->key, strlen(op->key));
	if (op->kind == STORE_DELETE) {
		json_object_set_new(o, "request_delete_range", inner);
		return o;
	}
	set_base64(inner, "value", op->value, op->len);
	if (op->lease != 0)
		store_json_set_int(inner, "lease", op->lease);
	json_object_set_new(o, "request_put", inner);
	return o;
}

/* Run a transaction. */
bool etcd_txn(struct store *s, const struct store_txn *txn, bool *succeeded, int64_t *revision,
	GError **err)
{
	json_t *compares = json_array();
	json_t *ops = json_array();
	json_t *answer;

	for (size_t i = 0; i < txn->compares_len; i++)
		json_array_append_new(compares, compare_json(&txn->compares[i]));
	for (size_t i = 0; i < txn->ops_len; i++)
		json_array_append_new(ops, op_json(&txn->ops[i]));
	answer = post(s, "/v3/kv/txn",
		json_pack("{s:o,s:o}", "compare", compares, "success", ops), err);
	if (answer == NULL)
		return false;
	*succeeded = json_is_true(json_object_get(answer, "succeeded"));
	*revision = header_revision(answer);
	json_decref(answer);
	return true;
}

/* A request with one number. */
static json_t *number_request(const char *name, int64_t value)
{
	json_t *o = json_object();

	store_json_set_int(o, name, value);
	return o;
}

/* Make a lease. */
bool etcd_grant(struct store *s, int64_t ttl_s, int64_t *lease, GError **err)
{
	json_t *answer = post(s, "/v3/lease/grant", number_request("TTL", ttl_s), err);

	if (answer == NULL)
		return false;
	*lease = store_json_get_int(json_object_get(answer, "ID"));
	json_decref(answer);
	return true;
}

/* Renew a lease. */
bool etcd_keepalive(struct store *s, int64_t lease, int64_t *ttl_s, GError **err)
{
	json_t *answer = post(s, "/v3/lease/keepalive", number_request("ID", lease), err);

	if (answer == NULL)
		return false;
	*ttl_s = store_json_get_int(json_object_get(json_object_get(answer, "result"), "TTL"));
	json_decref(answer);
	return true;
}

/* End a lease. */
bool etcd_revoke(struct store *s, int64_t lease, GError **err)
{
	json_t *answer = post(s, "/v3/lease/revoke", number_request("ID", lease), err);

	if (answer == NULL)
		return false;
	json_decref(answer);
	return true;
}

/* What a watch passes to its line reader. */
struct etcd_watch {
	store_watch_fn *fn;
	void *arg;
	bool compacted;
};

/* Hand the events of one line to the owner. */
static bool watch_events(struct etcd_watch *w, const json_t *result)
{
	json_t *list = json_object_get(result, "events");
	size_t len = json_array_size(list);
	struct store_event *events = xcalloc(len, sizeof(*events));
	bool go_on;

	for (size_t i = 0; i < len; i++) {
		json_t *ev = json_array_get(list, i);
		const char *type = json_string_value(json_object_get(ev, "type"));

		events[i].deleted = type != NULL && strcmp(type, "DELETE") == 0;
		store_json_decode_kv(json_object_get(ev, "kv"), &events[i].kv);
	}
	go_on = len == 0 || w->fn(events, len, header_revision(result), w->arg);
	for (size_t i = 0; i < len; i++)
		store_kv_clear(&events[i].kv);
	free(events);
	return go_on;
}

/* One line of a watch's stream. */
static bool watch_line(const char *line, size_t len, void *arg)
{
	struct etcd_watch *w = arg;
	json_t *o;
	json_t *result;
	bool go_on;

	if (line == NULL)
		return w->fn(NULL, 0, 0, w->arg);
	o = json_loadb(line, len, 0, NULL);
	result = json_object_get(o, "result");
	w->compacted = store_json_get_int(json_object_get(result, "compact_revision")) > 0;
	go_on = !w->compacted && watch_events(w, result);
	json_decref(o);
	return go_on;
}

/* Watch a prefix. */
bool etcd_watch(struct store *s, const char *prefix, int64_t from, store_watch_fn *fn,
	void *arg, GError **err)
{
	struct etcd_watch w = {.fn = fn, .arg = arg};
	json_t *create = key_request(prefix, false);
	AUTOFREE char *url = NULL;
	AUTOFREE char *text = NULL;
	json_t *body;
	bool ok;

	store_json_set_int(create, "start_revision", from);
	body = json_pack("{s:o}", "create_request", create);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	xasprintf(&url, "%s/v3/watch", s->etcd.url);
	ok = http_stream(url, text, WATCH_SILENCE_MAX, watch_line, &w, err);
	if (!w.compacted)
		return ok;
	g_clear_error(err);
	error_set(err, ERR_NOT_FOUND, "the revision has been compacted");
	return false;
}

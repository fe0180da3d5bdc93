#include "store-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Client of etcd's v3 API through its JSON gateway (api/etcdserverpb/rpc.proto). Keys and
 * values are base64, 64-bit integers are strings.
 */

#define WATCH_IDLE_TIMEOUT_NS (600 * NSEC_PER_SEC)

/* Create a client for the given base URL; timeout is in nanoseconds per call. */
struct store *store_etcd_new(const char *url, int64_t timeout)
{
	struct store *s = xcalloc(1, sizeof(*s));

	s->kind = STORE_KIND_ETCD;
	s->etcd.url = xstrdup(url);
	s->etcd.timeout = timeout;
	return s;
}

/* Release everything the client owns, but not the store itself. */
void etcd_destroy(struct store *s)
{
	free(s->etcd.url);
}

/*
 * POST a request and parse the response; takes ownership of body. A request that was not sent
 * or got status 503 fails with ERR_STORE_DOWN, anything else with ERR_STORE_UNSURE.
 */
static json_t *post_json(struct store *s, const char *path, json_t *body, GError **err)
{
	AUTOFREE char *url = NULL;
	struct http_call *c;
	json_t *response = NULL;
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
		response = json_loadb(c->answer.data, c->answer.len, 0, NULL);
	/* error_set keeps an error that is set above. */
	if (response == NULL)
		error_set(err, ERR_STORE_UNSURE, "store: the answer is not JSON");
	http_call_free(c);
	return response;
}

/* Set a member to the base64 encoding of data. */
static void json_set_base64(json_t *o, const char *name, const void *data, size_t len)
{
	g_autofree char *text = store_json_encode_base64(data, len);

	json_object_set_new(o, name, json_string(text));
}

/* Return the store revision from a response header. */
static int64_t header_revision(const json_t *response)
{
	return store_json_get_int(
		json_object_get(json_object_get(response, "header"), "revision"));
}

/* Build a request that selects a key, or all keys with a prefix. */
static json_t *key_request(const char *prefix, bool exact)
{
	json_t *o = json_object();

	json_set_base64(o, "key", prefix, strlen(prefix));
	if (!exact) {
		AUTOFREE char *end = store_json_prefix_end(prefix);

		json_set_base64(o, "range_end", end, strlen(end));
	}
	return o;
}

/* Read a key, or all keys with a prefix. */
bool etcd_range(
	struct store *s, const char *prefix, bool exact, struct store_range *out, GError **err)
{
	json_t *response = post_json(s, "/v3/kv/range", key_request(prefix, exact), err);
	json_t *kvs = json_object_get(response, "kvs");
	bool ok = response != NULL;

	if (!ok)
		return false;
	out->revision = header_revision(response);
	out->kvs = xcalloc(json_array_size(kvs), sizeof(*out->kvs));
	for (size_t i = 0; ok && i < json_array_size(kvs); i++) {
		ok = store_json_decode_kv(json_array_get(kvs, i), &out->kvs[i]);
		out->len++;
	}
	json_decref(response);
	if (!ok) {
		store_range_clear(out);
		error_set(err, ERR_STORE_UNSURE, "store: a malformed key");
	}
	return ok;
}

/* Encode one compare of a transaction. */
static json_t *compare_json(const struct store_compare *c)
{
	bool mod = c->target == STORE_MOD_REVISION;
	json_t *o = json_object();

	json_set_base64(o, "key", c->key, strlen(c->key));
	json_object_set_new(o, "result", json_string("EQUAL"));
	json_object_set_new(o, "target", json_string(mod ? "MOD" : "CREATE"));
	store_json_set_int(o, mod ? "mod_revision" : "create_revision", c->revision);
	return o;
}

/* Encode one operation of a transaction. */
static json_t *op_json(const struct store_op *op)
{
	json_t *inner = json_object();
	json_t *o = json_object();

	json_set_base64(inner, "key", op->key, strlen(op->key));
	if (op->kind == STORE_DELETE) {
		json_object_set_new(o, "request_delete_range", inner);
		return o;
	}
	json_set_base64(inner, "value", op->value, op->len);
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
	json_t *response;

	for (size_t i = 0; i < txn->compares_len; i++)
		json_array_append_new(compares, compare_json(&txn->compares[i]));
	for (size_t i = 0; i < txn->ops_len; i++)
		json_array_append_new(ops, op_json(&txn->ops[i]));
	response = post_json(s, "/v3/kv/txn",
		json_pack("{s:o,s:o}", "compare", compares, "success", ops), err);
	if (response == NULL)
		return false;
	*succeeded = json_is_true(json_object_get(response, "succeeded"));
	*revision = header_revision(response);
	json_decref(response);
	return true;
}

/* Build a request with a single integer member. */
static json_t *int_request(const char *name, int64_t value)
{
	json_t *o = json_object();

	store_json_set_int(o, name, value);
	return o;
}

/* Grant a lease. */
bool etcd_grant(struct store *s, int64_t ttl_s, int64_t *lease, GError **err)
{
	json_t *response = post_json(s, "/v3/lease/grant", int_request("TTL", ttl_s), err);

	if (response == NULL)
		return false;
	*lease = store_json_get_int(json_object_get(response, "ID"));
	json_decref(response);
	return true;
}

/* Renew a lease; *ttl_s is 0 if it has expired. */
bool etcd_keepalive(struct store *s, int64_t lease, int64_t *ttl_s, GError **err)
{
	json_t *response = post_json(s, "/v3/lease/keepalive", int_request("ID", lease), err);

	if (response == NULL)
		return false;
	*ttl_s =
		store_json_get_int(json_object_get(json_object_get(response, "result"), "TTL"));
	json_decref(response);
	return true;
}

/* Revoke a lease. */
bool etcd_revoke(struct store *s, int64_t lease, GError **err)
{
	json_t *response = post_json(s, "/v3/lease/revoke", int_request("ID", lease), err);

	if (response == NULL)
		return false;
	json_decref(response);
	return true;
}

/* State of a running watch. */
struct etcd_watch {
	store_watch_fn *fn;
	void *arg;
	bool compacted;
};

/* Pass the events of one response to the callback. */
static bool deliver_events(struct etcd_watch *w, const json_t *result)
{
	json_t *list = json_object_get(result, "events");
	size_t len = json_array_size(list);
	struct store_event *events = xcalloc(len, sizeof(*events));
	bool keep_watching;

	for (size_t i = 0; i < len; i++) {
		json_t *ev = json_array_get(list, i);
		const char *type = json_string_value(json_object_get(ev, "type"));

		events[i].deleted = type != NULL && strcmp(type, "DELETE") == 0;
		store_json_decode_kv(json_object_get(ev, "kv"), &events[i].kv);
	}
	keep_watching = len == 0 || w->fn(events, len, header_revision(result), w->arg);
	for (size_t i = 0; i < len; i++)
		store_kv_clear(&events[i].kv);
	free(events);
	return keep_watching;
}

/* Handle one line of the response stream; line is NULL on a periodic check. */
static bool on_watch_line(const char *line, size_t len, void *arg)
{
	struct etcd_watch *w = arg;
	json_t *o;
	json_t *result;
	bool keep_watching;

	if (line == NULL)
		return w->fn(NULL, 0, 0, w->arg);
	o = json_loadb(line, len, 0, NULL);
	result = json_object_get(o, "result");
	w->compacted = store_json_get_int(json_object_get(result, "compact_revision")) > 0;
	keep_watching = !w->compacted && deliver_events(w, result);
	json_decref(o);
	return keep_watching;
}

/* Watch a prefix until fn returns false or the start revision has been compacted. */
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
	ok = http_stream(url, text, WATCH_IDLE_TIMEOUT_NS, on_watch_line, &w, err);
	if (!w.compacted)
		return ok;
	g_clear_error(err);
	error_set(err, ERR_NOT_FOUND, "the revision has been compacted");
	return false;
}

#include "state.h"

#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Test server for the key-value store. It implements the calls of etcd's v3 JSON API that the
 * product uses on top of an in-memory store. GET /calls returns the number of calls by kind.
 * POST /control injects faults; all fields are optional:
 *
 *   {"down":true}           every store call is answered 503; running watches are broken off
 *   {"slow_ms":200}         every store call is delayed by 200 ms
 *   {"drop_answers":3}      the next 3 transactions are run, and their connections are closed
 *                           without an answer
 *   {"expire_leases":true}  all leases expire at once
 *   {"compact":true}        the history is compacted at once
 */

#define BODY_MAX_BYTES (2u * 1024 * 1024)

struct faults {
	bool down;
	int64_t slow_ms;
	int64_t drop_answers;
};

static struct store *store;
static struct faults faults;
static uint64_t calls[4];
static const char *const call_names[] = {"range", "txn", "lease", "watch"};

struct upload {
	GByteArray *body;
};

/* Sends a JSON response; takes ownership of o. */
static enum MHD_Result send_json(struct MHD_Connection *conn, unsigned int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);
	struct MHD_Response *r =
		MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result res;

	json_decref(o);
	MHD_add_response_header(r, "Content-Type", "application/json");
	res = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	return res;
}

/* Creates a response with the header that carries the store revision. */
static json_t *response_with_header(int64_t revision)
{
	json_t *header = json_object();

	store_json_set_int(header, "revision", revision);
	return json_pack("{s:o}", "header", header);
}

/* Decodes a base64 member to a string. */
static char *decode_text_member(const json_t *o, const char *name)
{
	struct bytes b = {0};

	store_json_decode_base64(json_object_get(o, name), &b);
	return b.data;
}

/* Any range_end selects all keys with the prefix, whatever its value. */
static json_t *handle_range(const json_t *in)
{
	AUTOFREE char *key = decode_text_member(in, "key");
	json_t *kvs = json_array();
	struct store_range r;
	json_t *out;

	store_get_range(store, key, json_object_get(in, "range_end") == NULL, &r, NULL);
	for (size_t i = 0; i < r.len; i++)
		json_array_append_new(kvs, store_json_encode_kv(&r.kvs[i]));
	out = response_with_header(r.revision);
	store_json_set_int(out, "count", (int64_t)r.len);
	json_object_set_new(out, "kvs", kvs);
	store_range_clear(&r);
	return out;
}

/* Decodes one compare of a transaction; keys takes ownership of its key. */
static struct store_compare decode_compare(const json_t *c, GPtrArray *keys)
{
	const char *target = json_string_value(json_object_get(c, "target"));
	bool mod = target != NULL && strcmp(target, "MOD") == 0;
	struct store_compare out = {.key = decode_text_member(c, "key"),
		.target = mod ? STORE_MOD_REVISION : STORE_CREATE_REVISION};

	out.revision = store_json_get_int(
		json_object_get(c, mod ? "mod_revision" : "create_revision"));
	g_ptr_array_add(keys, (char *)out.key);
	return out;
}

/* Decodes one operation of a transaction; keys takes ownership of its key and value. */
static struct store_op decode_op(const json_t *o, GPtrArray *keys)
{
	const json_t *put = json_object_get(o, "request_put");
	const json_t *in = put != NULL ? put : json_object_get(o, "request_delete_range");
	struct store_op op = {.kind = put != NULL ? STORE_PUT : STORE_DELETE,
		.key = decode_text_member(in, "key")};
	struct bytes value = {0};

	store_json_decode_base64(json_object_get(in, "value"), &value);
	op.value = value.data;
	op.len = value.len;
	op.lease = store_json_get_int(json_object_get(in, "lease"));
	g_ptr_array_add(keys, (char *)op.key);
	g_ptr_array_add(keys, value.data);
	return op;
}

/* Runs a transaction. An error of the store is reported as a failed compare. */
static json_t *handle_txn(const json_t *in)
{
	const json_t *compares = json_object_get(in, "compare");
	const json_t *ops = json_object_get(in, "success");
	GPtrArray *keys = g_ptr_array_new_with_free_func(free);
	struct store_compare *c = xcalloc(json_array_size(compares), sizeof(*c));
	struct store_op *o = xcalloc(json_array_size(ops), sizeof(*o));
	struct store_txn txn = {c, json_array_size(compares), o, json_array_size(ops)};
	int64_t revision = 0;
	bool ok = false;
	json_t *out;

	for (size_t i = 0; i < txn.compares_len; i++)
		c[i] = decode_compare(json_array_get(compares, i), keys);
	for (size_t i = 0; i < txn.ops_len; i++)
		o[i] = decode_op(json_array_get(ops, i), keys);
	store_run_txn(store, &txn, &ok, &revision, NULL);
	out = response_with_header(revision);
	if (ok)
		json_object_set_new(out, "succeeded", json_true());
	g_ptr_array_unref(keys);
	free(c);
	free(o);
	return out;
}

/* Handles a lease call: "grant" or "keepalive"; any other name revokes the lease. */
static json_t *handle_lease(const char *call, const json_t *in)
{
	json_t *out = json_object();
	int64_t id = store_json_get_int(json_object_get(in, "ID"));
	int64_t ttl_s = store_json_get_int(json_object_get(in, "TTL"));

	if (strcmp(call, "grant") == 0) {
		store_lease_grant(store, ttl_s, &id, NULL);
		store_json_set_int(out, "ID", id);
		store_json_set_int(out, "TTL", ttl_s);
	} else if (strcmp(call, "keepalive") == 0) {
		json_t *result = json_object();

		store_lease_keepalive(store, id, &ttl_s, NULL);
		store_json_set_int(result, "ID", id);
		store_json_set_int(result, "TTL", ttl_s);
		json_object_set_new(out, "result", result);
	} else {
		store_lease_revoke(store, id, NULL);
	}
	return out;
}

/* A streaming watch, used only by the thread of its connection. */
struct watch {
	char *prefix;
	int64_t from;
	GString *out;
};

/*
 * Appends the events of one revision to the stream. Returns false, which ends store_watch, so
 * that read_watch can pass the stream on and check for faults.
 */
static bool append_events(
	const struct store_event *events, size_t len, int64_t revision, void *arg)
{
	struct watch *w = arg;
	json_t *list = json_array();
	json_t *out;
	char *text;

	if (len == 0) {
		json_decref(list);
		return false;
	}
	for (size_t i = 0; i < len; i++) {
		json_t *ev = json_pack("{s:o}", "kv", store_json_encode_kv(&events[i].kv));

		if (events[i].deleted)
			json_object_set_new(ev, "type", json_string("DELETE"));
		json_array_append_new(list, ev);
	}
	out = response_with_header(revision);
	json_object_set_new(out, "events", list);
	out = json_pack("{s:o}", "result", out);
	text = json_dumps(out, JSON_COMPACT);
	g_string_append_printf(w->out, "%s\n", text);
	free(text);
	json_decref(out);
	w->from = revision + 1;
	return false;
}

/* Content reader callback of libmicrohttpd: waits for events and copies them to buf. */
static ssize_t read_watch(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct watch *w = arg;
	g_autoptr(GError) err = NULL;
	size_t n;

	(void)pos;
	while (w->out->len == 0) {
		if (__atomic_load_n(&faults.down, __ATOMIC_RELAXED))
			return MHD_CONTENT_READER_END_WITH_ERROR;
		if (store_watch(store, w->prefix, w->from, append_events, w, &err))
			continue;
		/* Any failure counts as compaction; the revision in it is a placeholder. */
		g_string_append(w->out,
			"{\"result\":{\"canceled\":true,\"compact_revision\":\"1\"}}\n");
	}
	n = MIN(max, w->out->len);
	memcpy(buf, w->out->str, n);
	g_string_erase(w->out, 0, (gssize)n);
	return (ssize_t)n;
}

static void free_watch(void *arg)
{
	struct watch *w = arg;

	free(w->prefix);
	g_string_free(w->out, TRUE);
	free(w);
}

/* Starts a streaming watch. */
static enum MHD_Result handle_watch(struct MHD_Connection *conn, const json_t *in)
{
	const json_t *create = json_object_get(in, "create_request");
	struct watch *w = xcalloc(1, sizeof(*w));
	struct MHD_Response *r;
	enum MHD_Result res;

	w->prefix = decode_text_member(create, "key");
	w->from = store_json_get_int(json_object_get(create, "start_revision"));
	w->out = g_string_new("{\"result\":{\"created\":true}}\n");
	r = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, 4096, read_watch, w, free_watch);
	res = MHD_queue_response(conn, 200, r);
	MHD_destroy_response(r);
	return res;
}

/* Sets the injected faults, or expires leases or compacts the history at once. */
static json_t *handle_control(const json_t *in)
{
	const json_t *v;

	v = json_object_get(in, "down");
	if (v != NULL)
		__atomic_store_n(&faults.down, json_is_true(v), __ATOMIC_RELAXED);
	v = json_object_get(in, "slow_ms");
	if (v != NULL)
		__atomic_store_n(&faults.slow_ms, json_integer_value(v), __ATOMIC_RELAXED);
	v = json_object_get(in, "drop_answers");
	if (v != NULL)
		__atomic_store_n(&faults.drop_answers, json_integer_value(v), __ATOMIC_RELAXED);
	if (json_is_true(json_object_get(in, "expire_leases")))
		store_embedded_expire_leases(store);
	if (json_is_true(json_object_get(in, "compact")))
		store_embedded_compact(store);
	return json_object();
}

/* Returns the number of calls by kind. */
static json_t *handle_calls(void)
{
	json_t *o = json_object();

	for (size_t i = 0; i < ARRAY_LEN(calls); i++)
		json_object_set_new(o, call_names[i],
			json_integer((json_int_t)__atomic_load_n(&calls[i], __ATOMIC_RELAXED)));
	return o;
}

/* Maps a path to its index in call_names; -1 if it is not a store call. */
static int call_index(const char *path)
{
	if (strcmp(path, "/v3/kv/range") == 0)
		return 0;
	if (strcmp(path, "/v3/kv/txn") == 0)
		return 1;
	if (g_str_has_prefix(path, "/v3/lease/"))
		return 2;
	return strcmp(path, "/v3/watch") == 0 ? 3 : -1;
}

/* Whether to drop the answer to a transaction; counts down the answers to drop. */
static bool drop_next_answer(void)
{
	int64_t left = __atomic_load_n(&faults.drop_answers, __ATOMIC_RELAXED);

	while (left > 0) {
		if (__atomic_compare_exchange_n(&faults.drop_answers, &left, left - 1, false,
			    __ATOMIC_RELAXED, __ATOMIC_RELAXED))
			return true;
	}
	return false;
}

/* Handles a complete request. */
static enum MHD_Result dispatch(
	struct MHD_Connection *conn, const char *path, const GByteArray *body)
{
	json_t *in = json_loadb((const char *)body->data, body->len, 0, NULL);
	int call = call_index(path);
	enum MHD_Result res = MHD_NO;
	json_t *out = NULL;

	if (strcmp(path, "/control") == 0)
		out = handle_control(in);
	else if (strcmp(path, "/calls") == 0)
		out = handle_calls();
	if (out != NULL || call < 0) {
		json_decref(in);
		return send_json(
			conn, out != NULL ? 200 : 404, out != NULL ? out : json_object());
	}
	__atomic_fetch_add(&calls[call], 1, __ATOMIC_RELAXED);
	usleep((useconds_t)(__atomic_load_n(&faults.slow_ms, __ATOMIC_RELAXED) * 1000));
	if (__atomic_load_n(&faults.down, __ATOMIC_RELAXED)) {
		json_decref(in);
		return send_json(conn, 503, json_object());
	}
	if (call == 0)
		out = handle_range(in);
	else if (call == 1)
		out = handle_txn(in);
	else if (call == 2)
		out = handle_lease(path + strlen("/v3/lease/"), in);
	else
		res = handle_watch(conn, in);
	json_decref(in);
	if (out != NULL && call == 1 && drop_next_answer()) {
		/* MHD_NO closes the connection without a response. */
		json_decref(out);
		return MHD_NO;
	}
	return out != NULL ? send_json(conn, 200, out) : res;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn, const char *path,
	const char *method, const char *version, const char *upload, size_t *len, void **req)
{
	struct upload *u = *req;

	(void)cls;
	(void)method;
	(void)version;
	if (u == NULL) {
		u = xcalloc(1, sizeof(*u));
		u->body = g_byte_array_new();
		*req = u;
		return MHD_YES;
	}
	if (*len > 0) {
		if (u->body->len + *len > BODY_MAX_BYTES)
			return MHD_NO;
		g_byte_array_append(u->body, (const guint8 *)upload, (guint)*len);
		*len = 0;
		return MHD_YES;
	}
	return dispatch(conn, path, u->body);
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **req,
	enum MHD_RequestTerminationCode code)
{
	struct upload *u = *req;

	(void)cls;
	(void)conn;
	(void)code;
	if (u != NULL)
		g_byte_array_unref(u->body);
	free(u);
	*req = NULL;
}

/* usage: standin-store [IP:PORT]; 127.0.0.1 and a free port by default. */
int main(int argc, char **argv)
{
	g_autoptr(GError) err = NULL;
	struct MHD_Daemon *d;
	char *bound;
	sigset_t set;
	int sig;
	int fd;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	store = store_embedded_new(&clock_system);
	fd = addr_listen(argc > 1 ? argv[1] : "127.0.0.1:0", &bound, &err);
	if (fd < 0) {
		fprintf(stderr, "standin-store: %s\n", err->message);
		return 1;
	}
	d = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
		NULL, NULL, on_request, NULL, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	printf("ready %s\n", bound);
	fflush(stdout);
	sigwait(&set, &sig);
	_exit(d != NULL ? 0 : 1);
}

#include "http-private.h"

#include <stdlib.h>
#include <string.h>

#define CONNECTION_MEMORY_MAX (32 * 1024) /* bytes per connection; bounds the headers */

COUNTER(http_requests, "damaskpath_http_requests_total", "HTTP requests received.");
COUNTER(http_too_large, "damaskpath_http_too_large_total",
	"HTTP requests with too large a body.");

/* Returns the length of the body that the header gives; 0 if it gives none. */
static size_t declared_length(struct MHD_Connection *conn)
{
	const char *text = MHD_lookup_connection_value(
		conn, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

	return text != NULL ? (size_t)g_ascii_strtoull(text, NULL, 10) : 0;
}

static struct http_request *request_new(struct http_server *s, struct MHD_Connection *conn,
	const char *method, const char *path)
{
	struct http_request *r = xcalloc(1, sizeof(*r));

	r->server = s;
	r->conn = conn;
	r->method = xstrdup(method);
	r->path = xstrdup(path);
	r->declared = declared_length(conn);
	r->headers = g_ptr_array_new_with_free_func(g_free);
	pthread_mutex_init(&r->lock, NULL);
	__atomic_fetch_add(&s->open_requests, 1, __ATOMIC_RELAXED);
	pthread_mutex_lock(&s->lock);
	LIST_INSERT_HEAD(&s->requests, r, entry);
	limit_request_begun(r);
	pthread_mutex_unlock(&s->lock);
	counter_add(&http_requests, 1);
	return r;
}

/* Frees a request that has been answered or whose connection is closed. */
static void request_free(struct http_request *r)
{
	/* Waits for the answering thread, which may still hold the lock. */
	pthread_mutex_lock(&r->lock);
	pthread_mutex_unlock(&r->lock);
	pthread_mutex_lock(&r->server->lock);
	LIST_REMOVE(r, entry);
	limit_request_ended(r);
	pthread_mutex_unlock(&r->server->lock);
	__atomic_fetch_sub(&r->server->open_requests, 1, __ATOMIC_RELAXED);
	free(r->method);
	free(r->path);
	g_ptr_array_unref(r->headers);
	if (r->response != NULL)
		MHD_destroy_response(r->response);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

/* Returns the phase under the lock, as another thread may be answering the request. */
static enum http_phase request_phase(struct http_request *r)
{
	enum http_phase phase;

	pthread_mutex_lock(&r->lock);
	phase = r->phase;
	pthread_mutex_unlock(&r->lock);
	return phase;
}

/* Queues the handler's response for sending. */
static enum MHD_Result queue_response(struct http_request *r)
{
	enum MHD_Result res;

	if (r->dropped)
		return MHD_NO;
	limit_response_queued(r);
	pthread_mutex_lock(&r->lock);
	res = MHD_queue_response(r->conn, r->status, r->response);
	pthread_mutex_unlock(&r->lock);
	return res;
}

/* Has a whole request handled; suspends the connection unless it was answered. */
static bool handle_request(struct http_request *r)
{
	bool answered;

	r->phase = HTTP_DISPATCHED;
	r->server->handler(r, r->server->arg);
	pthread_mutex_lock(&r->lock);
	answered = r->phase == HTTP_ANSWERED;
	if (!answered) {
		r->phase = HTTP_SUSPENDED;
		MHD_suspend_connection(r->conn);
	}
	pthread_mutex_unlock(&r->lock);
	return answered;
}

/* Passes a whole request to the handler, or refuses it; queues the answer if there is one. */
static enum MHD_Result dispatch_request(struct http_request *r)
{
	bool answered = true;

	if (r->too_large) {
		counter_add(&http_too_large, 1);
		http_reply_problem(r, ERR_TOO_LARGE, "the body is over the limit", NULL);
		return queue_response(r);
	}
	/* A body without bytes gets its final NUL. */
	if (!limit_body_append(r, "", 0))
		return MHD_NO;
	switch (limit_dispatch(r)) {
	case DISPATCH_OK:
		break;
	case DISPATCH_NO_MEMORY:
		http_reply_header(r, "Retry-After", "1");
		http_reply_text(r, 503, "application/problem+json", limit_no_memory_body);
		return queue_response(r);
	case DISPATCH_TOO_LARGE:
		http_reply_problem(
			r, ERR_TOO_LARGE, "the body takes too much memory when parsed", NULL);
		return queue_response(r);
	case DISPATCH_CLOSED:
		return MHD_NO;
	}
	r->body = (struct bytes){r->input.data, r->input.len};
	pthread_rwlock_rdlock(&r->server->dispatch_lock);
	if (r->server->refusing)
		http_reply_problem(r, ERR_DRAINING, NULL, NULL);
	else
		answered = handle_request(r);
	pthread_rwlock_unlock(&r->server->dispatch_lock);
	return answered ? queue_response(r) : MHD_YES;
}

/* Refuses a body over the limit without reading the rest. */
static enum MHD_Result refuse_too_large(struct http_request *r)
{
	counter_add(&http_too_large, 1);
	limit_refuse(r, LIMIT_BODY_SIZE);
	return MHD_NO;
}

/* libmicrohttpd callback: called for the header, for each part of the body, and at the end. */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn, const char *url,
	const char *method, const char *version, const char *upload, size_t *upload_len,
	void **req)
{
	struct http_request *r = *req;

	(void)version;
	if (r == NULL) {
		*req = r = request_new(cls, conn, method, url);
		return r->limited != NULL && r->declared > r->server->limits.body_max
			       ? refuse_too_large(r)
			       : MHD_YES;
	}
	if (*upload_len > 0) {
		if (*upload_len > r->server->limits.body_max - r->input.len)
			r->too_large = true;
		if (r->too_large && r->limited != NULL)
			return refuse_too_large(r);
		if (!r->too_large && !limit_body_append(r, upload, *upload_len))
			return MHD_NO;
		*upload_len = 0;
		return MHD_YES;
	}
	if (request_phase(r) == HTTP_READING)
		return dispatch_request(r);
	return queue_response(r);
}

/* libmicrohttpd callback: the request is finished or its connection is closed. */
static void on_completed(void *cls, struct MHD_Connection *conn, void **req,
	enum MHD_RequestTerminationCode code)
{
	(void)cls;
	(void)conn;
	(void)code;
	if (*req != NULL)
		request_free(*req);
	*req = NULL;
}

/* Logs messages of libmicrohttpd at debug level, as they matter only for debugging. */
static void on_log(void *cls, const char *fmt, va_list ap)
{
	AUTOFREE char *text = NULL;

	(void)cls;
	if (vasprintf(&text, fmt, ap) >= 0)
		log_debug("http", "%s", g_strchomp(text));
}

/* Serves HTTP on an address with a pool of threads; NULL on error. */
struct http_server *http_server_new(const char *addr, const struct http_limits *limits,
	http_handler *handler, void *arg, GError **err)
{
	struct http_server *s = xcalloc(1, sizeof(*s));
	int fd = addr_listen(addr, &s->addr, err);
	size_t connection_memory = CONNECTION_MEMORY_MAX;

	if (fd < 0) {
		free(s);
		return NULL;
	}
	s->limits = *limits;
	s->handler = handler;
	s->arg = arg;
	pthread_rwlock_init(&s->dispatch_lock, NULL);
	pthread_mutex_init(&s->lock, NULL);
	LIST_INIT(&s->requests);
	TAILQ_INIT(&s->conns);
	if (limits->budget != NULL)
		connection_memory = limit_init(s, fd);
	s->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
					     MHD_USE_ITC | MHD_USE_ERROR_LOG,
		0, NULL, NULL, on_request, s, MHD_OPTION_EXTERNAL_LOGGER, on_log, NULL,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_THREAD_POOL_SIZE, limits->threads,
		MHD_OPTION_CONNECTION_LIMIT, s->limits.connections_max,
		MHD_OPTION_PER_IP_CONNECTION_LIMIT, limits->connections_per_ip,
		MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_memory,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s, MHD_OPTION_NOTIFY_CONNECTION,
		limit_on_connection, s, MHD_OPTION_END);
	if (s->daemon != NULL) {
		if (limits->budget != NULL)
			limit_start(s);
		return s;
	}
	error_set(err, ERR_INTERNAL, "cannot start the HTTP server on %s", addr);
	g_free(s->addr);
	free(s);
	return NULL;
}

/* Returns the bound address. */
const char *http_server_addr(const struct http_server *s)
{
	return s->addr;
}

/* Returns the number of requests that are not finished. */
unsigned int http_server_open_requests(const struct http_server *s)
{
	return __atomic_load_n(&s->open_requests, __ATOMIC_RELAXED);
}

/* Stops accepting connections; open ones continue. */
void http_server_quiesce(struct http_server *s)
{
	MHD_quiesce_daemon(s->daemon);
}

/*
 * Refuses requests from now on. Once this returns, no handler runs and none will, so what
 * handlers use may end. Requests that were passed to the handler before may still be answered.
 */
void http_server_refuse(struct http_server *s)
{
	if (s == NULL)
		return;
	pthread_rwlock_wrlock(&s->dispatch_lock);
	s->refusing = true;
	pthread_rwlock_unlock(&s->dispatch_lock);
}

/*
 * Answers the requests that wait for an answer. The connection of such a request is suspended,
 * so that the request isn't freed before. What it asked for may have been done.
 */
static void refuse_unanswered(struct http_server *s)
{
	g_autoptr(GPtrArray) unanswered = g_ptr_array_new();
	struct http_request *r;

	pthread_mutex_lock(&s->lock);
	LIST_FOREACH(r, &s->requests, entry) {
		if (request_phase(r) == HTTP_SUSPENDED)
			g_ptr_array_add(unanswered, r);
	}
	pthread_mutex_unlock(&s->lock);
	for (guint i = 0; i < unanswered->len; i++)
		http_reply_problem_full(unanswered->pdata[i], ERR_DRAINING, NULL, false,
			(uint32_t)error_info(ERR_DRAINING)->retry_after_s, NULL);
}

/* Stops the server. Nobody else may answer a request any more; those that wait are refused. */
void http_server_free(struct http_server *s)
{
	if (s == NULL)
		return;
	http_server_refuse(s);
	refuse_unanswered(s);
	if (s->limits.budget != NULL)
		limit_stop(s);
	MHD_stop_daemon(s->daemon);
	pthread_rwlock_destroy(&s->dispatch_lock);
	pthread_mutex_destroy(&s->lock);
	g_free(s->addr);
	free(s);
}

const char *http_method(const struct http_request *r)
{
	return r->method;
}

/* Returns the path without the query. */
const char *http_path(const struct http_request *r)
{
	return r->path;
}

/* Returns the value of a header or NULL; may be called only before the handler returns. */
const char *http_header(const struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

/* Returns a query argument or NULL; may be called only before the handler returns. */
const char *http_query(const struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns the whole body, which is followed by a zero byte. */
const struct bytes *http_body(const struct http_request *r)
{
	return &r->body;
}

/* Adds a response header; must be called before http_reply. */
void http_reply_header(struct http_request *r, const char *name, const char *value)
{
	g_ptr_array_add(r->headers, g_strdup(name));
	g_ptr_array_add(r->headers, g_strdup(value));
}

/* Answers a request, once, from any thread. The request must not be used afterwards. */
void http_reply(
	struct http_request *r, int status, const char *type, const void *body, size_t len)
{
	struct MHD_Response *resp;
	bool resume;

	r->dropped = !limit_response(r, len);
	resp = MHD_create_response_from_buffer(
		r->dropped ? 0 : len, (void *)body, MHD_RESPMEM_MUST_COPY);
	if (type != NULL)
		MHD_add_response_header(resp, "Content-Type", type);
	for (guint i = 0; i + 1 < r->headers->len; i += 2)
		MHD_add_response_header(resp, r->headers->pdata[i], r->headers->pdata[i + 1]);
	pthread_mutex_lock(&r->lock);
	r->response = resp;
	r->status = (unsigned int)status;
	resume = r->phase == HTTP_SUSPENDED;
	r->phase = HTTP_ANSWERED;
	if (resume)
		MHD_resume_connection(r->conn);
	pthread_mutex_unlock(&r->lock);
}

/* Answers with a string as the body. */
void http_reply_text(struct http_request *r, int status, const char *type, const char *text)
{
	http_reply(r, status, type, text, strlen(text));
}

/* Appends text, escaped for a JSON string. */
static void append_json_escaped(GString *out, const char *text)
{
	for (const char *p = text; *p != '\0'; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_c(out, '\\');
		if ((unsigned char)*p < 0x20)
			g_string_append_printf(out, "\\u%04x", (unsigned char)*p);
		else
			g_string_append_c(out, *p);
	}
}

/*
 * Answers with application/problem+json (RFC 9457). extra_json holds further members, each with
 * a leading comma, or is NULL. not_run may be true only if the job provably has not run.
 */
void http_reply_problem_full(struct http_request *r, enum error_kind kind, const char *detail,
	bool not_run, uint32_t retry_after_s, const char *extra_json)
{
	static const char *const retry_names[] = {"never", "after_change", "later"};
	const struct error_info *a = error_info(kind);
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
		"{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%d,"
		"\"kind\":\"%s\",\"detail\":\"",
		a->title, a->status, a->name);
	append_json_escaped(out, detail != NULL ? detail : a->title);
	g_string_append_printf(out, "\",\"not_run\":%s,\"retry\":\"%s\"",
		not_run ? "true" : "false", retry_names[a->retry]);
	if (retry_after_s > 0) {
		g_autofree char *text = g_strdup_printf("%u", retry_after_s);

		g_string_append_printf(out, ",\"retry_after_s\":%u", retry_after_s);
		http_reply_header(r, "Retry-After", text);
	}
	if (extra_json != NULL)
		g_string_append(out, extra_json);
	g_string_append(out, "}\n");
	http_reply(r, a->status, "application/problem+json", out->str, out->len);
	g_string_free(out, TRUE);
}

/* Answers with the values that the error table has for a kind. */
void http_reply_problem(struct http_request *r, enum error_kind kind, const char *detail,
	const char *extra_json)
{
	const struct error_info *a = error_info(kind);

	http_reply_problem_full(
		r, kind, detail, a->not_run, (uint32_t)a->retry_after_s, extra_json);
}

/* Answers with the kind and message of an error. */
void http_reply_error(struct http_request *r, const GError *err)
{
	http_reply_problem(r, error_kind_of(err), err->message, NULL);
}

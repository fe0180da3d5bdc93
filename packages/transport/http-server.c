#include "transport.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_MEMORY_MAX (32 * 1024)

COUNTER(http_requests, "damaskpath_http_requests_total", "HTTP requests received.");
COUNTER(http_too_large, "damaskpath_http_too_large_total",
	"HTTP requests with too large a body.");

struct http_server {
	struct MHD_Daemon *daemon;
	struct http_limits limits;
	http_handler *fn;
	void *arg;
	char *addr;
	unsigned int open;
};

/* Where a request is between its first line and its answer. */
enum http_phase {
	HTTP_READING,
	HTTP_HANDED,
	HTTP_SUSPENDED,
	HTTP_ANSWERED
};

/*
 * One request. The handler may answer before or after the connection is suspended, on any
 * thread; the lock orders the two.
 */
struct http_request {
	struct http_server *server;
	struct MHD_Connection *conn;
	char *method;
	char *path;
	GByteArray *input;
	struct bytes body;
	bool too_large;
	pthread_mutex_t lock;
	enum http_phase phase;
	struct MHD_Response *response;
	unsigned int status;
	GPtrArray *headers;
};

/* Begin to read a request. */
static struct http_request *request_new(struct http_server *s, struct MHD_Connection *conn,
	const char *method, const char *path)
{
	struct http_request *r = xcalloc(1, sizeof(*r));

	r->server = s;
	r->conn = conn;
	r->method = xstrdup(method);
	r->path = xstrdup(path);
	r->input = g_byte_array_new();
	r->headers = g_ptr_array_new_with_free_func(g_free);
	pthread_mutex_init(&r->lock, NULL);
	__atomic_fetch_add(&s->open, 1, __ATOMIC_RELAXED);
	counter_add(&http_requests, 1);
	return r;
}

/* Free a request that has been answered or cut. */
static void request_free(struct http_request *r)
{
	/* The thread that answered may still hold the lock. */
	pthread_mutex_lock(&r->lock);
	pthread_mutex_unlock(&r->lock);
	__atomic_fetch_sub(&r->server->open, 1, __ATOMIC_RELAXED);
	free(r->method);
	free(r->path);
	if (r->input != NULL)
		g_byte_array_unref(r->input);
	bytes_clear(&r->body);
	g_ptr_array_unref(r->headers);
	if (r->response != NULL)
		MHD_destroy_response(r->response);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

/* How far a request is; another thread may just be answering it. */
static enum http_phase request_phase(struct http_request *r)
{
	enum http_phase phase;

	pthread_mutex_lock(&r->lock);
	phase = r->phase;
	pthread_mutex_unlock(&r->lock);
	return phase;
}

/* Queue the answer that the handler gave. */
static enum MHD_Result queue_answer(struct http_request *r)
{
	enum MHD_Result res;

	pthread_mutex_lock(&r->lock);
	res = MHD_queue_response(r->conn, r->status, r->response);
	pthread_mutex_unlock(&r->lock);
	return res;
}

/* The whole request is here: hand it over, and suspend unless it was answered at once. */
static enum MHD_Result hand_over(struct http_request *r)
{
	bool answered;

	if (r->too_large) {
		counter_add(&http_too_large, 1);
		http_reply_problem(r, ERR_TOO_LARGE, "the body is over the limit", NULL);
		return queue_answer(r);
	}
	g_byte_array_append(r->input, (const guint8 *)"", 1);
	r->body.len = r->input->len - 1;
	r->body.data = g_byte_array_free(r->input, FALSE);
	r->input = NULL;
	r->phase = HTTP_HANDED;
	r->server->fn(r, r->server->arg);
	pthread_mutex_lock(&r->lock);
	answered = r->phase == HTTP_ANSWERED;
	if (!answered) {
		r->phase = HTTP_SUSPENDED;
		MHD_suspend_connection(r->conn);
	}
	pthread_mutex_unlock(&r->lock);
	return answered ? queue_answer(r) : MHD_YES;
}

/* The library's callback for each step of a request. */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn, const char *url,
	const char *method, const char *version, const char *upload, size_t *upload_len,
	void **req)
{
	struct http_request *r = *req;

	(void)version;
	if (r == NULL) {
		*req = request_new(cls, conn, method, url);
		return MHD_YES;
	}
	if (*upload_len > 0) {
		if (r->input->len + *upload_len > r->server->limits.body_max)
			r->too_large = true;
		if (!r->too_large)
			g_byte_array_append(
				r->input, (const guint8 *)upload, (guint)*upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	if (request_phase(r) == HTTP_READING)
		return hand_over(r);
	return queue_answer(r);
}

/* The library is done with a request. */
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

/* The library's own complaints are of interest at debug level only. */
static void on_log(void *cls, const char *fmt, va_list ap)
{
	AUTOFREE char *text = NULL;

	(void)cls;
	if (vasprintf(&text, fmt, ap) >= 0)
		log_debug("http", "%s", g_strchomp(text));
}

/* Serve HTTP on an address with a pool of threads. */
struct http_server *http_server_new(const char *addr, const struct http_limits *limits,
	http_handler *fn, void *arg, GError **err)
{
	struct http_server *s = xcalloc(1, sizeof(*s));
	int fd = addr_listen(addr, &s->addr, err);

	if (fd < 0) {
		free(s);
		return NULL;
	}
	s->limits = *limits;
	s->fn = fn;
	s->arg = arg;
	s->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
					     MHD_USE_ITC | MHD_USE_ERROR_LOG,
		0, NULL, NULL, on_request, s, MHD_OPTION_EXTERNAL_LOGGER, on_log, NULL,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_THREAD_POOL_SIZE, limits->threads,
		MHD_OPTION_CONNECTION_LIMIT, limits->connections_max,
		MHD_OPTION_PER_IP_CONNECTION_LIMIT, limits->connections_per_ip,
		MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HEADER_MEMORY_MAX,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s, MHD_OPTION_END);
	if (s->daemon != NULL)
		return s;
	error_set(err, ERR_INTERNAL, "the HTTP server does not start on %s", addr);
	g_free(s->addr);
	free(s);
	return NULL;
}

/* The bound address. */
const char *http_server_addr(const struct http_server *s)
{
	return s->addr;
}

/* How many requests are being read or answered. */
unsigned int http_server_open(const struct http_server *s)
{
	return __atomic_load_n(&s->open, __ATOMIC_RELAXED);
}

/* Stop accepting; open connections go on. */
void http_server_quiesce(struct http_server *s)
{
	MHD_quiesce_daemon(s->daemon);
}

/* Stop; all requests must have been answered. */
void http_server_free(struct http_server *s)
{
	if (s == NULL)
		return;
	MHD_stop_daemon(s->daemon);
	g_free(s->addr);
	free(s);
}

/* The request's method. */
const char *http_method(const struct http_request *r)
{
	return r->method;
}

/* The request's path without the query. */
const char *http_path(const struct http_request *r)
{
	return r->path;
}

/* A header's value or NULL; only before the handler returns. */
const char *http_header(const struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

/* A query argument or NULL; only before the handler returns. */
const char *http_query(const struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_GET_ARGUMENT_KIND, name);
}

/* The whole body; a zero byte follows it. */
const struct bytes *http_body(const struct http_request *r)
{
	return &r->body;
}

/* Add a header to the answer; before http_reply. */
void http_reply_header(struct http_request *r, const char *name, const char *value)
{
	g_ptr_array_add(r->headers, g_strdup(name));
	g_ptr_array_add(r->headers, g_strdup(value));
}

/* Answer, once, from any thread. The request must not be used afterwards. */
void http_reply(
	struct http_request *r, int status, const char *type, const void *body, size_t len)
{
	struct MHD_Response *resp =
		MHD_create_response_from_buffer(len, (void *)body, MHD_RESPMEM_MUST_COPY);
	bool resume;

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

/* Answer with text. */
void http_reply_text(struct http_request *r, int status, const char *type, const char *text)
{
	http_reply(r, status, type, text, strlen(text));
}

/* Escape text for a JSON string. */
static void append_json(GString *out, const char *text)
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
 * Answer with application/problem+json (RFC 9457). extra_json holds further members, each with
 * a comma before it, or is NULL. not_run must be true only where that has been proved.
 */
void http_reply_outcome(struct http_request *r, enum error_kind kind, const char *detail,
	bool not_run, uint32_t retry_after_s, const char *extra_json)
{
	static const char *const retry_names[] = {"never", "after_change", "later"};
	const struct error_info *a = error_info(kind);
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
		"{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%d,"
		"\"kind\":\"%s\",\"detail\":\"",
		a->title, a->status, a->name);
	append_json(out, detail != NULL ? detail : a->title);
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

/* Answer with what the table says of a kind. */
void http_reply_problem(struct http_request *r, enum error_kind kind, const char *detail,
	const char *extra_json)
{
	const struct error_info *a = error_info(kind);

	http_reply_outcome(r, kind, detail, a->not_run, (uint32_t)a->retry_after_s, extra_json);
}

/* Answer with an error. */
void http_reply_error(struct http_request *r, const GError *err)
{
	http_reply_problem(r, error_kind_of(err), err->message, NULL);
}

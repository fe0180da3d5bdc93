#include "transport.h"

#include <curl/curl.h>
#include <pthread.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define RESPONSE_MAX	       (8u * 1024 * 1024) /* bytes of a body or a streamed line */
#define CONNECT_TIMEOUT_MS     3000L
#define CACHED_CONNECTIONS_MAX 256L
#define POLL_TIMEOUT_MS	       1000

struct transfer {
	struct http_client *client;
	struct http_call *call;
	CURL *easy;
	GByteArray *response;
	bool begun; /* the request may have reached the server */
	STAILQ_ENTRY(transfer) entry;
};

/* One thread runs all transfers; other threads pass calls to it through a locked queue. */
struct http_client {
	struct loop *loop;
	CURLM *multi;
	pthread_t thread;
	pthread_mutex_t lock;
	STAILQ_HEAD(, transfer) queue;
	bool stopping;
};

/* Initialises libcurl before any thread starts, as curl_global_init may not be thread-safe. */
__attribute__((constructor)) static void init_curl(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Creates a call without headers or body. */
struct http_call *http_call_new(const char *method, const char *url)
{
	struct http_call *c = xcalloc(1, sizeof(*c));

	c->method = xstrdup(method);
	c->url = xstrdup(url);
	return c;
}

void http_call_header(struct http_call *c, const char *name, const char *value)
{
	AUTOFREE char *line = NULL;

	xasprintf(&line, "%s: %s", name, value);
	c->headers = curl_slist_append(c->headers, line);
}

/* Frees a call and its response. */
void http_call_free(struct http_call *c)
{
	if (c == NULL)
		return;
	free(c->method);
	free(c->url);
	curl_slist_free_all(c->headers);
	bytes_clear(&c->body);
	bytes_clear(&c->answer);
	free(c->type);
	g_clear_error(&c->error);
	free(c);
}

/* Collects the response body; aborts the transfer if it is too large. */
static size_t on_response_data(char *data, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;

	if (t->response->len + size * count > RESPONSE_MAX) {
		event_log(EV_BAD_INPUT, "from=server what=\"%s answers more than %u bytes\"",
			t->call->url, RESPONSE_MAX);
		return 0;
	}
	g_byte_array_append(t->response, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

/*
 * Aborts a request that libcurl is about to send again. It does so by itself when a connection
 * that it has used before breaks without an answer; the server may have carried out the first.
 */
static int on_request(
	void *arg, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct transfer *t = arg;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (t->begun)
		return CURL_PREREQFUNC_ABORT;
	t->begun = true;
	return CURL_PREREQFUNC_OK;
}

/* Sets up the transfer of a call; client is NULL for a synchronous call. */
static struct transfer *transfer_new(struct http_client *client, struct http_call *c)
{
	struct transfer *t = xcalloc(1, sizeof(*t));

	t->client = client;
	t->call = c;
	t->response = g_byte_array_new();
	t->easy = curl_easy_init();
	c->headers = curl_slist_append(c->headers, "Expect:");
	curl_easy_setopt(t->easy, CURLOPT_URL, c->url);
	curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST, c->method);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_response_data);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(t->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(t->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	if (strcmp(c->method, "GET") != 0) {
		curl_easy_setopt(t->easy, CURLOPT_PREREQFUNCTION, on_request);
		curl_easy_setopt(t->easy, CURLOPT_PREREQDATA, t);
	}
	if (c->fresh_connection)
		curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT, 1L);
	if (c->timeout > 0)
		curl_easy_setopt(
			t->easy, CURLOPT_TIMEOUT_MS, (long)(c->timeout / NSEC_PER_MSEC));
	if (c->body.data != NULL) {
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, c->body.data);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)c->body.len);
	}
	return t;
}

/*
 * Stores the result in the call and frees the transfer. Any transport error has the kind
 * ERR_UPSTREAM_FAILED, whatever server was called.
 */
static void transfer_finish(struct transfer *t, CURLcode code)
{
	struct http_call *c = t->call;
	const char *type = NULL;
	long status = 0;
	long request_size = 0;
	long os_error = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(t->easy, CURLINFO_CONTENT_TYPE, &type);
	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &request_size);
	curl_easy_getinfo(t->easy, CURLINFO_OS_ERRNO, &os_error);
	if (code == CURLE_OK) {
		c->status = (int)status;
		c->type = xstrdup(type);
		c->answer = bytes_copy(t->response->data, t->response->len);
	} else {
		error_set(&c->error, ERR_UPSTREAM_FAILED, "%s", curl_easy_strerror(code));
		c->never_sent = code == CURLE_COULDNT_CONNECT && request_size == 0;
		c->nobody_listens = c->never_sent && os_error == ECONNREFUSED;
	}
	curl_easy_cleanup(t->easy);
	g_byte_array_unref(t->response);
	free(t);
}

/* Performs a call synchronously on this thread. */
void http_call_run(struct http_call *c)
{
	struct transfer *t = transfer_new(NULL, c);

	transfer_finish(t, curl_easy_perform(t->easy));
}

/* Invokes a call's done callback on the client's loop. */
static void run_done_callback(void *arg)
{
	struct http_call *c = arg;

	c->done(c, c->arg);
}

/* Starts all queued transfers; false once the client is stopping. */
static bool start_queued(struct http_client *c)
{
	struct transfer *t;
	bool stopping;

	pthread_mutex_lock(&c->lock);
	stopping = c->stopping;
	while ((t = STAILQ_FIRST(&c->queue)) != NULL) {
		STAILQ_REMOVE_HEAD(&c->queue, entry);
		curl_multi_add_handle(c->multi, t->easy);
	}
	pthread_mutex_unlock(&c->lock);
	return !stopping;
}

/* Finishes completed transfers and posts their calls to the client's loop. */
static void finish_completed(struct http_client *c)
{
	CURLMsg *m;
	int messages_left;

	while ((m = curl_multi_info_read(c->multi, &messages_left)) != NULL) {
		struct transfer *t;
		struct http_call *call;
		CURLcode code = m->data.result;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, (char **)&t);
		curl_multi_remove_handle(c->multi, t->easy);
		call = t->call;
		transfer_finish(t, code);
		loop_post(c->loop, run_done_callback, call);
	}
}

static void *client_thread(void *arg)
{
	struct http_client *c = arg;
	int running;

	while (start_queued(c)) {
		curl_multi_perform(c->multi, &running);
		finish_completed(c);
		curl_multi_poll(c->multi, NULL, 0, POLL_TIMEOUT_MS, NULL);
	}
	return NULL;
}

/* Creates a client that invokes done callbacks on the given loop. */
struct http_client *http_client_new(struct loop *l)
{
	struct http_client *c = xcalloc(1, sizeof(*c));

	c->loop = l;
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
	pthread_mutex_init(&c->lock, NULL);
	STAILQ_INIT(&c->queue);
	if (pthread_create(&c->thread, NULL, client_thread, c) != 0)
		abort();
	return c;
}

/*
 * Stops the client. The done callbacks of pending calls are not invoked, and neither these
 * calls nor their transfers are freed.
 */
void http_client_free(struct http_client *c)
{
	pthread_mutex_lock(&c->lock);
	c->stopping = true;
	pthread_mutex_unlock(&c->lock);
	curl_multi_wakeup(c->multi);
	pthread_join(c->thread, NULL);
	curl_multi_cleanup(c->multi);
	pthread_mutex_destroy(&c->lock);
	free(c);
}

/* Starts a call from any thread; its done callback is invoked on the loop. */
void http_client_send(struct http_client *c, struct http_call *call)
{
	struct transfer *t = transfer_new(c, call);

	pthread_mutex_lock(&c->lock);
	STAILQ_INSERT_TAIL(&c->queue, t, entry);
	pthread_mutex_unlock(&c->lock);
	curl_multi_wakeup(c->multi);
}

/* State of a streamed response. */
struct stream {
	GString *line;
	http_stream_fn *fn;
	void *arg;
	bool ended; /* fn has returned false for a line; see on_progress for NULL */
};

/* Splits a streamed response into lines and passes them to fn. */
static size_t on_stream_data(char *data, size_t size, size_t count, void *arg)
{
	struct stream *s = arg;
	size_t len = size * count;

	for (size_t i = 0; i < len; i++) {
		if (data[i] != '\n') {
			g_string_append_c(s->line, data[i]);
			continue;
		}
		if (s->line->len > 0 && !s->fn(s->line->str, s->line->len, s->arg))
			s->ended = true;
		g_string_truncate(s->line, 0);
		if (s->ended)
			return 0;
	}
	return s->line->len > RESPONSE_MAX ? 0 : len;
}

/*
 * Asks fn, by a call with NULL, whether to go on. libcurl calls this about once a second, or
 * more often. If fn returns false, the transfer ends with CURLE_ABORTED_BY_CALLBACK.
 */
static int on_progress(void *arg, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
	struct stream *s = arg;

	(void)a;
	(void)b;
	(void)c;
	(void)d;
	return s->fn(NULL, 0, s->arg) ? 0 : 1;
}

/*
 * POSTs body and passes each line of the response to fn, until fn returns false, the server
 * ends the response, or nothing arrives for idle_timeout (nanoseconds, rounded down to
 * seconds). fn is also called with NULL about once a second, or more often. Returns true if fn
 * ended the stream, by returning false for a line or for NULL.
 */
bool http_stream(const char *url, const char *body, int64_t idle_timeout, http_stream_fn *fn,
	void *arg, GError **err)
{
	struct stream s = {.line = g_string_new(NULL), .fn = fn, .arg = arg};
	CURL *easy = curl_easy_init();
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_stream_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &s);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, &s);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
	curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, (long)(idle_timeout / NSEC_PER_SEC));
	code = curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	g_string_free(s.line, TRUE);
	if (s.ended || code == CURLE_ABORTED_BY_CALLBACK)
		return true;
	error_set(err, ERR_STORE_DOWN, "%s",
		code == CURLE_OK ? "the server ended the stream" : curl_easy_strerror(code));
	return false;
}

#include "transport.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_MAX	(8u * 1024 * 1024)
#define CONNECT_TIMEOUT 3000L
#define CACHE_MAX	256L
#define IDLE_POLL_MS	1000

struct transfer {
	struct http_client *client;
	struct http_call *call;
	CURL *easy;
	GByteArray *answer;
	STAILQ_ENTRY(transfer) entry;
};

/* One thread drives all transfers; calls are handed to it over a locked queue. */
struct http_client {
	struct loop *loop;
	CURLM *multi;
	pthread_t thread;
	pthread_mutex_t lock;
	STAILQ_HEAD(, transfer) queue;
	bool stopping;
};

/* Start libcurl before any thread is. */
__attribute__((constructor)) static void init_curl(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* A call without headers or body. */
struct http_call *http_call_new(const char *method, const char *url)
{
	struct http_call *c = xcalloc(1, sizeof(*c));

	c->method = xstrdup(method);
	c->url = xstrdup(url);
	return c;
}

/* Add a request header. */
void http_call_header(struct http_call *c, const char *name, const char *value)
{
	AUTOFREE char *line = NULL;

	xasprintf(&line, "%s: %s", name, value);
	c->headers = curl_slist_append(c->headers, line);
}

/* Free a call and its answer. */
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

/* Collect the answer's body. */
static size_t on_data(char *data, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;

	if (t->answer->len + size * count > ANSWER_MAX)
		return 0;
	g_byte_array_append(t->answer, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

/* Prepare a transfer. */
static struct transfer *transfer_new(struct http_client *client, struct http_call *c)
{
	struct transfer *t = xcalloc(1, sizeof(*t));

	t->client = client;
	t->call = c;
	t->answer = g_byte_array_new();
	t->easy = curl_easy_init();
	c->headers = curl_slist_append(c->headers, "Expect:");
	curl_easy_setopt(t->easy, CURLOPT_URL, c->url);
	curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST, c->method);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(t->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(t->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT);
	if (c->fresh)
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

/* Take the result into the call and free the transfer. */
static void transfer_finish(struct transfer *t, CURLcode code)
{
	struct http_call *c = t->call;
	const char *type = NULL;
	long status = 0;
	long sent = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(t->easy, CURLINFO_CONTENT_TYPE, &type);
	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (code == CURLE_OK) {
		c->status = (int)status;
		c->type = xstrdup(type);
		c->answer = bytes_copy(t->answer->data, t->answer->len);
	} else {
		error_set(&c->error, ERR_UPSTREAM_FAILED, "%s", curl_easy_strerror(code));
		c->never_sent = code == CURLE_COULDNT_CONNECT && sent == 0;
	}
	curl_easy_cleanup(t->easy);
	g_byte_array_unref(t->answer);
	free(t);
}

/* Run a call on this thread. */
void http_call_run(struct http_call *c)
{
	struct transfer *t = transfer_new(NULL, c);

	transfer_finish(t, curl_easy_perform(t->easy));
}

/* The posted end of a call. */
static void call_done(void *arg)
{
	struct http_call *c = arg;

	c->done(c, c->arg);
}

/* Start the calls that have been queued. */
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

/* Hand over the calls that have ended. */
static void collect_done(struct http_client *c)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(c->multi, &left)) != NULL) {
		struct transfer *t;
		struct http_call *call;
		CURLcode code = m->data.result;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, (char **)&t);
		curl_multi_remove_handle(c->multi, t->easy);
		call = t->call;
		transfer_finish(t, code);
		loop_post(c->loop, call_done, call);
	}
}

/* The client's thread. */
static void *client_thread(void *arg)
{
	struct http_client *c = arg;
	int running;

	while (start_queued(c)) {
		curl_multi_perform(c->multi, &running);
		collect_done(c);
		curl_multi_poll(c->multi, NULL, 0, IDLE_POLL_MS, NULL);
	}
	return NULL;
}

/* A client whose results go to a loop. */
struct http_client *http_client_new(struct loop *l)
{
	struct http_client *c = xcalloc(1, sizeof(*c));

	c->loop = l;
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, CACHE_MAX);
	pthread_mutex_init(&c->lock, NULL);
	STAILQ_INIT(&c->queue);
	if (pthread_create(&c->thread, NULL, client_thread, c) != 0)
		abort();
	return c;
}

/* Stop; calls still open are dropped without an answer. */
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

/* Start a call from any thread; its done is called on the loop. */
void http_client_send(struct http_client *c, struct http_call *call)
{
	struct transfer *t = transfer_new(c, call);

	pthread_mutex_lock(&c->lock);
	STAILQ_INSERT_TAIL(&c->queue, t, entry);
	pthread_mutex_unlock(&c->lock);
	curl_multi_wakeup(c->multi);
}

/* The state of a streamed answer. */
struct stream {
	GString *line;
	http_stream_fn *fn;
	void *arg;
	bool ended;
};

/* Cut a streamed answer into lines. */
static size_t on_stream(char *data, size_t size, size_t count, void *arg)
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
	return s->line->len > ANSWER_MAX ? 0 : len;
}

/* Ask the owner now and then whether to go on. */
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
 * POST and read lines until fn returns false, the server ends, or nothing came for
 * silence_max. fn is also called with NULL about once a second. True when fn ended it.
 */
bool http_stream(const char *url, const char *body, int64_t silence_max, http_stream_fn *fn,
	void *arg, GError **err)
{
	struct stream s = {.line = g_string_new(NULL), .fn = fn, .arg = arg};
	CURL *easy = curl_easy_init();
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_stream);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &s);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, &s);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT);
	curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
	curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, (long)(silence_max / NSEC_PER_SEC));
	code = curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	g_string_free(s.line, TRUE);
	if (s.ended || code == CURLE_ABORTED_BY_CALLBACK)
		return true;
	error_set(err, ERR_STORE_DOWN, "%s",
		code == CURLE_OK ? "the stream ended" : curl_easy_strerror(code));
	return false;
}

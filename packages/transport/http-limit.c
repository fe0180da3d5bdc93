#include "http-private.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <linux/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Limits on what the clients of a server may use. Memory is taken from a budget before it is
 * used, connections are bounded by their number, and unfinished requests by time. Connections
 * are closed by shutting down their sockets; libmicrohttpd then frees them on its own thread.
 */

/* Memory of libmicrohttpd per connection; bounds the header of a request. */
#define CONNECTION_POOL ((size_t)16 * 1024)
/* Further memory of a connection: its own structures, a small response, its request. */
#define CONNECTION_FIXED ((size_t)4 * 1024)
/* A response of up to this size is covered by what was taken for its connection. */
#define SMALL_RESPONSE ((size_t)2 * 1024)
/* Receive buffer of a connection; it may fill up while its request is with the handler. */
#define RECEIVE_BUFFER_MIN ((size_t)8 * 1024)
#define RECEIVE_BUFFER_MAX ((size_t)64 * 1024)
#define SEND_BUFFER	   (16 * 1024)
/* Part of the budget that the receive buffers of all connections may fill. */
#define RECEIVE_DIVISOR 16
/* Part of the budget that is kept from bodies that don't fit a small buffer. */
#define RESERVE_DIVISOR 8
/*
 * Memory of a parsed array or object, and of a further value as jansson lays them out, and the
 * largest memory of a parsed body, as a multiple of the budget. Shorter bodies aren't looked
 * at.
 */
#define PARSED_CONTAINER ((size_t)128)
#define PARSED_VALUE	 ((size_t)48)
#define PARSED_BUDGETS	 2
#define PARSED_UNCHECKED ((size_t)64 * 1024)
/* Connections above the limit until libmicrohttpd has closed those that were shut down. */
#define CONNECTIONS_CLOSING_MAX 16
#define SWEEP_PERIOD_S		1

COUNTER(limit_body_size, "damaskpath_client_limit_total{cause=\"body-size\"}",
	"Requests refused and connections closed over a limit on clients.");
COUNTER(limit_memory, "damaskpath_client_limit_total{cause=\"memory\"}",
	"Requests refused and connections closed over a limit on clients.");
COUNTER(limit_connections, "damaskpath_client_limit_total{cause=\"connections\"}",
	"Requests refused and connections closed over a limit on clients.");
COUNTER(limit_header_time, "damaskpath_client_limit_total{cause=\"header-time\"}",
	"Requests refused and connections closed over a limit on clients.");
COUNTER(limit_body_time, "damaskpath_client_limit_total{cause=\"body-time\"}",
	"Requests refused and connections closed over a limit on clients.");
COUNTER(limit_response_time, "damaskpath_client_limit_total{cause=\"response-time\"}",
	"Requests refused and connections closed over a limit on clients.");

static const struct {
	const char *name;
	struct counter *counter;
} causes[LIMIT_CAUSES] = {
	[LIMIT_BODY_SIZE] = {"body-size", &limit_body_size},
	[LIMIT_MEMORY] = {"memory", &limit_memory},
	[LIMIT_CONNECTIONS] = {"connections", &limit_connections},
	[LIMIT_HEADER_TIME] = {"header-time", &limit_header_time},
	[LIMIT_BODY_TIME] = {"body-time", &limit_body_time},
	[LIMIT_RESPONSE_TIME] = {"response-time", &limit_response_time},
};

const char limit_no_memory_body[] =
	"{\"type\":\"about:blank\",\"title\":\"Too much memory is in use\",\"status\":503,"
	"\"kind\":\"overload\",\"detail\":\"there is no memory for the request\","
	"\"not_run\":true,\"retry\":\"later\",\"retry_after_s\":1}\n";
static const char too_large_body[] =
	"{\"type\":\"about:blank\",\"title\":\"The request is too large\",\"status\":413,"
	"\"kind\":\"too_large\",\"detail\":\"the body is over the limit\","
	"\"not_run\":true,\"retry\":\"after_change\"}\n";

static int64_t now(void)
{
	return clock_now(&clock_system);
}

/* Counts and logs that a limit was applied. */
static void note(const struct http_server *s, int fd, size_t bytes, unsigned int conns,
	enum limit_cause cause)
{
	struct sockaddr_in sa = {0};
	socklen_t len = sizeof(sa);
	char host[INET_ADDRSTRLEN] = "-";

	counter_add(causes[cause].counter, 1);
	if (getpeername(fd, (struct sockaddr *)&sa, &len) == 0)
		inet_ntop(AF_INET, &sa.sin_addr, host, sizeof(host));
	event_log(EV_CLIENT_LIMIT, "cause=%s addr=%s listener=%s bytes=%zu connections=%u",
		causes[cause].name, host, s->addr, bytes, conns);
}

/* Shuts a connection down and frees the body that it was sending. Call with the lock held. */
static void conn_close(struct http_conn *c, enum limit_cause cause)
{
	const struct linger reset = {.l_onoff = 1};
	struct http_server *s = c->server;
	size_t bytes = c->request != NULL ? c->request->input.charged : 0;

	note(s, c->fd, bytes, s->conns_open, cause);
	c->closing = true;
	s->conns_open--;
	if (c->request != NULL)
		body_clear(&c->request->input, s->limits.budget);
	/* What an unfinished request leaves in the socket's buffers is dropped at once. */
	if (c->request != NULL || c->served == 0)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	shutdown(c->fd, SHUT_RDWR);
}

/* Begins a new state of a connection. Call with the lock held. */
static void conn_touch(struct http_conn *c)
{
	c->since = now();
	TAILQ_REMOVE(&c->server->conns, c, entry);
	TAILQ_INSERT_TAIL(&c->server->conns, c, entry);
}

/* Returns the connection that is idle or unfinished for longest, or NULL. */
static struct http_conn *oldest_conn(struct http_server *s)
{
	struct http_conn *c;

	TAILQ_FOREACH(c, &s->conns, entry) {
		if (!c->busy && !c->closing)
			return c;
	}
	return NULL;
}

/* Returns the connection whose unfinished body holds most for longest (bytes times time). */
static struct http_conn *largest_body(struct http_server *s)
{
	struct http_conn *largest = NULL;
	double most = 0;
	int64_t at = now();
	struct http_conn *c;

	TAILQ_FOREACH(c, &s->conns, entry) {
		double held;

		if (c->busy || c->closing || c->request == NULL)
			continue;
		held = (double)c->request->input.charged *
		       (double)(at - c->since + NSEC_PER_MSEC);
		if (held > most) {
			most = held;
			largest = c;
		}
	}
	return largest;
}

/*
 * Takes memory for a connection, and closes those with unfinished bodies until there is room.
 * Fails when only its own body could make room. Call with the lock held.
 */
static bool take(struct http_server *s, const struct http_conn *self, size_t n, bool large)
{
	struct budget *b = s->limits.budget;
	size_t max = budget_max(b) - (large ? budget_max(b) / RESERVE_DIVISOR : 0);
	struct http_conn *victim;

	while (budget_used(b) + n > max || !budget_take(b, n)) {
		victim = largest_body(s);
		if (victim == NULL || victim == self)
			return false;
		conn_close(victim, LIMIT_MEMORY);
	}
	return true;
}

static bool take_for_body(void *arg, size_t n, bool large)
{
	struct http_request *r = arg;

	return r->limited == NULL || take(r->server, r->limited, n, large);
}

/* Sets the limits of a server with a budget; returns the memory of a connection. */
size_t limit_init(struct http_server *s, int listen_fd)
{
	size_t budget = budget_max(s->limits.budget);
	unsigned int n = MAX(s->limits.connections_max, 1u);
	size_t receive =
		CLAMP(budget / RECEIVE_DIVISOR / n, RECEIVE_BUFFER_MIN, RECEIVE_BUFFER_MAX);
	int receive_buffer = (int)receive;
	int send_buffer = SEND_BUFFER;
	size_t by_memory;

	/* Accepted sockets inherit both. */
	setsockopt(listen_fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
	setsockopt(listen_fd, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof(send_buffer));
	s->conn_cost = CONNECTION_POOL + CONNECTION_FIXED + receive;
	/* A quarter is left for bodies however many connections there are. */
	by_memory = budget / 4 * 3 / s->conn_cost;
	s->conns_max = (unsigned int)CLAMP(by_memory, 1, n);
	s->limits.connections_max = s->conns_max + CONNECTIONS_CLOSING_MAX;
	return CONNECTION_POOL;
}

/* Whether bytes of the next request have come since the last one ended. */
static bool next_request_begun(const struct http_conn *c)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	return getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0 &&
	       info.tcpi_bytes_received != c->received;
}

/* Closes a connection whose time is over. Call with the lock held. */
static void check_time(struct http_conn *c, int64_t at)
{
	const struct http_limits *l = &c->server->limits;
	int64_t header_timeout = l->header_timeout_s * NSEC_PER_SEC;

	if (c->busy || c->closing)
		return;
	if (c->request != NULL) {
		if (at - c->since >= l->body_timeout_s * NSEC_PER_SEC)
			conn_close(c, c->request->response == NULL ? LIMIT_BODY_TIME
								   : LIMIT_RESPONSE_TIME);
		return;
	}
	if (c->served > 0 && c->first_byte_at == 0 && next_request_begun(c))
		c->first_byte_at = at;
	if (c->served == 0 ? at - c->since >= header_timeout
			   : c->first_byte_at != 0 && at - c->first_byte_at >= header_timeout)
		conn_close(c, LIMIT_HEADER_TIME);
}

/* Checks the timeouts and the number of connections, until the server stops. */
static void *sweep(void *arg)
{
	struct http_server *s = arg;
	struct timespec until;
	struct http_conn *c;

	pthread_mutex_lock(&s->lock);
	while (!s->sweeper_stop) {
		clock_gettime(CLOCK_MONOTONIC, &until);
		until.tv_sec += SWEEP_PERIOD_S;
		pthread_cond_timedwait(&s->sweeper_wake, &s->lock, &until);
		TAILQ_FOREACH(c, &s->conns, entry)
			check_time(c, now());
		while (s->conns_open > s->conns_max && (c = oldest_conn(s)) != NULL)
			conn_close(c, LIMIT_CONNECTIONS);
	}
	pthread_mutex_unlock(&s->lock);
	return NULL;
}

void limit_start(struct http_server *s)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&s->sweeper_wake, &attr);
	pthread_condattr_destroy(&attr);
	pthread_create(&s->sweeper, NULL, sweep, s);
}

void limit_stop(struct http_server *s)
{
	pthread_mutex_lock(&s->lock);
	s->sweeper_stop = true;
	pthread_cond_signal(&s->sweeper_wake);
	pthread_mutex_unlock(&s->lock);
	pthread_join(s->sweeper, NULL);
	pthread_cond_destroy(&s->sweeper_wake);
}

/* Admits a connection; closes another one, or this one, if there is no room. */
static void conn_opened(struct http_server *s, struct MHD_Connection *conn, void **context)
{
	struct http_conn *c = xcalloc(1, sizeof(*c));
	struct http_conn *victim;

	c->server = s;
	c->fd = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
	c->since = now();
	*context = c;
	pthread_mutex_lock(&s->lock);
	victim = s->conns_open >= s->conns_max ? oldest_conn(s) : NULL;
	if (victim != NULL)
		conn_close(victim, LIMIT_CONNECTIONS);
	TAILQ_INSERT_TAIL(&s->conns, c, entry);
	s->conns_open++;
	/* If all are busy, the first one that no longer is gets closed. */
	if (take(s, c, s->conn_cost, false))
		c->charged = s->conn_cost;
	else
		conn_close(c, LIMIT_MEMORY);
	pthread_mutex_unlock(&s->lock);
}

static void conn_closed(struct http_server *s, struct http_conn *c)
{
	pthread_mutex_lock(&s->lock);
	TAILQ_REMOVE(&s->conns, c, entry);
	if (!c->closing)
		s->conns_open--;
	budget_give_back(s->limits.budget, c->charged);
	pthread_mutex_unlock(&s->lock);
	free(c);
}

/* libmicrohttpd callback: a connection was opened, or is about to be closed. */
void limit_on_connection(void *cls, struct MHD_Connection *conn, void **context,
	enum MHD_ConnectionNotificationCode code)
{
	struct http_server *s = cls;

	if (s->limits.budget == NULL)
		return;
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		conn_opened(s, conn, context);
	else if (*context != NULL)
		conn_closed(s, *context);
}

/* The header of a request is complete. Call with the lock held. */
void limit_request_begun(struct http_request *r)
{
	if (r->server->limits.budget == NULL)
		return;
	r->limited = MHD_get_connection_info(r->conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			     ->socket_context;
	r->limited->request = r;
	conn_touch(r->limited);
}

/* A request ends. Call with the lock held. */
void limit_request_ended(struct http_request *r)
{
	struct http_conn *c = r->limited;
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	body_clear(&r->input, r->server->limits.budget);
	if (c == NULL)
		return;
	budget_give_back(r->server->limits.budget, r->charged);
	c->request = NULL;
	c->busy = false;
	c->served++;
	c->first_byte_at = 0;
	if (getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0)
		c->received = info.tcpi_bytes_received;
	conn_touch(c);
	if (!c->closing && c->server->conns_open > c->server->conns_max)
		conn_close(c, LIMIT_CONNECTIONS);
}

bool limit_body_append(struct http_request *r, const char *data, size_t n)
{
	struct http_server *s = r->server;
	bool ok;

	pthread_mutex_lock(&s->lock);
	if (r->limited != NULL && r->limited->closing) {
		pthread_mutex_unlock(&s->lock);
		return false;
	}
	ok = body_append(&r->input, data, n, r->declared, s->limits.body_max, take_for_body, r);
	pthread_mutex_unlock(&s->lock);
	if (!ok)
		limit_refuse(r, LIMIT_MEMORY);
	return ok;
}

/*
 * Returns about how much memory a JSON document takes once it is parsed. Arrays and objects,
 * which may be as short as two bytes, take many times their text.
 */
static size_t parsed_size(const struct http_body *b)
{
	bool in_string = false;
	size_t n = 0;

	for (size_t i = 0; i < b->len; i++) {
		uint8_t c = b->data[i];

		if (in_string && c == '\\')
			i++;
		else if (c == '"')
			in_string = !in_string;
		else if (!in_string && (c == '[' || c == '{'))
			n += PARSED_CONTAINER;
		else if (!in_string && (c == ',' || c == ':'))
			n += PARSED_VALUE;
	}
	return n;
}

enum limit_dispatch limit_dispatch(struct http_request *r)
{
	struct http_server *s = r->server;
	enum limit_dispatch result = DISPATCH_OK;
	size_t n = r->input.len * s->limits.call_factor;

	if (r->limited == NULL)
		return DISPATCH_OK;
	pthread_mutex_lock(&s->lock);
	if (r->limited->closing)
		result = DISPATCH_CLOSED;
	else
		r->limited->busy = true;
	pthread_mutex_unlock(&s->lock);
	if (result == DISPATCH_CLOSED)
		return result;
	/* A busy connection's body stays. Bodies are parsed one at a time and freed at once. */
	if (r->input.len > PARSED_UNCHECKED &&
		parsed_size(&r->input) > PARSED_BUDGETS * budget_max(s->limits.budget))
		result = DISPATCH_TOO_LARGE;
	pthread_mutex_lock(&s->lock);
	if (result == DISPATCH_OK && take(s, r->limited, n, n > SMALL_RESPONSE))
		r->charged += n;
	else if (result == DISPATCH_OK)
		result = DISPATCH_NO_MEMORY;
	pthread_mutex_unlock(&s->lock);
	if (result != DISPATCH_OK)
		limit_count(r, LIMIT_MEMORY);
	return result;
}

void limit_response_queued(struct http_request *r)
{
	struct http_server *s = r->server;

	if (r->limited == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	body_clear(&r->input, s->limits.budget);
	r->limited->busy = false;
	conn_touch(r->limited);
	pthread_mutex_unlock(&s->lock);
}

bool limit_response(struct http_request *r, size_t len)
{
	struct http_server *s = r->server;
	bool ok;

	if (r->limited == NULL || len <= SMALL_RESPONSE)
		return true;
	pthread_mutex_lock(&s->lock);
	ok = take(s, r->limited, len, false);
	if (ok)
		r->charged += len;
	pthread_mutex_unlock(&s->lock);
	if (!ok)
		limit_count(r, LIMIT_MEMORY);
	return ok;
}

/* Counts and logs a limit that was applied to a request. */
void limit_count(struct http_request *r, enum limit_cause cause)
{
	struct http_server *s = r->server;

	pthread_mutex_lock(&s->lock);
	note(s, r->limited->fd, r->input.len, s->conns_open, cause);
	pthread_mutex_unlock(&s->lock);
}

/*
 * Refuses a request that isn't whole. libmicrohttpd takes no response while it reads a body, so
 * the response is written to the socket; the caller has the connection closed.
 */
void limit_refuse(struct http_request *r, enum limit_cause cause)
{
	bool large = cause == LIMIT_BODY_SIZE;
	const char *body = large ? too_large_body : limit_no_memory_body;
	g_autofree char *text =
		g_strdup_printf("HTTP/1.1 %s\r\nContent-Type: application/problem+json\r\n%s"
				"Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
			large ? "413 Content Too Large" : "503 Service Unavailable",
			large ? "" : "Retry-After: 1\r\n", strlen(body), body);

	limit_count(r, cause);
	(void)!send(r->limited->fd, text, strlen(text), MSG_DONTWAIT | MSG_NOSIGNAL);
}

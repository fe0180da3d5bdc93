#ifndef DP_HTTP_PRIVATE_H
#define DP_HTTP_PRIVATE_H

#include "transport.h"

#include <microhttpd.h>
#include <pthread.h>

/* Shared by the files of the HTTP server. */

/* Why a request was refused or a connection closed; see http-limit.c. */
enum limit_cause {
	LIMIT_BODY_SIZE,
	LIMIT_MEMORY,
	LIMIT_CONNECTIONS,
	LIMIT_HEADER_TIME,
	LIMIT_BODY_TIME,
	LIMIT_RESPONSE_TIME,
	LIMIT_CAUSES
};

/* A body that is being received; http-body.c. */
struct http_body {
	uint8_t *data;
	size_t len;
	size_t capacity; /* bytes that may be written, including one for a final NUL */
	size_t mapped;	 /* size of the mapping; 0: data was allocated */
	size_t charged;	 /* bytes taken from the budget */
};
/* Takes n bytes for the connection that needs them; false if there is no room. */
typedef bool body_take_fn(void *arg, size_t n, bool large);
bool body_append(struct http_body *b, const void *data, size_t n, size_t declared, size_t max,
	body_take_fn *take, void *arg);
void body_clear(struct http_body *b, struct budget *budget);

/* Progress of a request. */
enum http_phase {
	HTTP_READING,
	HTTP_DISPATCHED, /* passed to the handler */
	HTTP_SUSPENDED,	 /* the handler has returned without an answer */
	HTTP_ANSWERED
};

/* A connection of a server with a budget. Guarded by the server's lock. */
struct http_conn {
	struct http_server *server;
	int fd;
	/*
	 * When the connection was opened, its request's header was complete, its response was
	 * queued or its last request ended, whichever came last.
	 */
	int64_t since;
	int64_t first_byte_at; /* of the next request on a persistent connection; 0: none yet */
	uint64_t received;     /* bytes received when the last request ended */
	unsigned int served;
	struct http_request *request;
	bool busy;    /* its request is with the handler */
	bool closing; /* was shut down; libmicrohttpd closes it */
	size_t charged;
	TAILQ_ENTRY(http_conn) entry; /* by since */
};

struct http_server {
	struct MHD_Daemon *daemon;
	struct http_limits limits;
	http_handler *handler;
	void *arg;
	char *addr;
	unsigned int open_requests; /* atomic */
	/* Held for reading while a handler runs; see http_server_refuse. */
	pthread_rwlock_t dispatch_lock;
	bool refusing;	      /* guarded by dispatch_lock */
	pthread_mutex_t lock; /* guards requests, connections and bodies that are received */
	LIST_HEAD(, http_request) requests;
	/* Of a server with a budget: */
	TAILQ_HEAD(http_conns, http_conn) conns;
	unsigned int conns_open; /* without those that are closing */
	unsigned int conns_max;
	size_t conn_cost; /* taken from the budget for each connection */
	pthread_t sweeper;
	pthread_cond_t sweeper_wake;
	bool sweeper_stop;
};

/*
 * One request. It may be answered on any thread, before or after its connection is suspended;
 * the lock orders the answer and the suspension.
 */
struct http_request {
	struct http_server *server;
	struct MHD_Connection *conn;
	struct http_conn *limited; /* its connection; NULL without a budget */
	char *method;
	char *path;
	struct http_body input;
	size_t declared; /* length of the body by its header; 0: not known */
	size_t charged;	 /* taken from the budget for the call and its response */
	struct bytes body;
	bool too_large;
	bool dropped; /* there is no memory for the response */
	pthread_mutex_t lock;
	enum http_phase phase;
	struct MHD_Response *response;
	unsigned int status;
	GPtrArray *headers;
	LIST_ENTRY(http_request) entry;
};

/*
 * http-limit.c: what the clients of a server with a budget may use. limit_init sets up the
 * listening socket and returns the size of a connection's memory; limit_start begins, and
 * limit_stop ends, the check of timeouts.
 */
size_t limit_init(struct http_server *s, int listen_fd);
void limit_start(struct http_server *s);
void limit_stop(struct http_server *s);
void limit_on_connection(void *cls, struct MHD_Connection *conn, void **context,
	enum MHD_ConnectionNotificationCode code);
void limit_request_begun(struct http_request *r);
void limit_request_ended(struct http_request *r);
/* Appends to the body. False: the request was refused and the connection must be closed. */
bool limit_body_append(struct http_request *r, const char *data, size_t n);
/* Whether a whole request may be passed to the handler. */
enum limit_dispatch {
	DISPATCH_OK,
	DISPATCH_NO_MEMORY, /* refuse it with 503 */
	DISPATCH_TOO_LARGE, /* refuse it with 413 */
	DISPATCH_CLOSED	    /* its connection was closed */
};
/* Takes memory for the call of a whole request. */
enum limit_dispatch limit_dispatch(struct http_request *r);
/* The response is queued: the body is freed, and the client has to take the response. */
void limit_response_queued(struct http_request *r);
/* Takes memory for a response; false: it can't be sent. */
bool limit_response(struct http_request *r, size_t len);
/* Refuses a request that isn't whole, by writing the response itself. */
void limit_refuse(struct http_request *r, enum limit_cause cause);
void limit_count(struct http_request *r, enum limit_cause cause);
extern const char limit_no_memory_body[];

#endif

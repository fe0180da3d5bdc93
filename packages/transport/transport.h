#ifndef DP_TRANSPORT_H
#define DP_TRANSPORT_H

#include "base.h"

/* Sizes of frames and greetings in bytes. */
#define FRAME_BODY_MAX	   (8u * 1024 * 1024)
#define FRAME_MAC_LEN	   16
#define FRAME_HEADER_LEN   (4 + FRAME_MAC_LEN)
#define FRAME_NONCE_LEN	   16
#define FRAME_KEY_ID_LEN   8
#define FRAME_GREETING_LEN (4 + FRAME_KEY_ID_LEN + FRAME_NONCE_LEN)

/* net-addr.c: IPv4 addresses and TCP sockets. */
bool addr_parse(const char *text, char **host, int *port, GError **err);
int addr_listen(const char *text, char **bound, GError **err);
int addr_dial(const char *text, GError **err);

/*
 * frame.c: authenticated framing. A frame is a length, a message authentication code (MAC) and
 * a body. The MAC covers a sequence number and the body. Its key is derived per connection and
 * direction from the shared key and both nonces, so frames cannot be forged, replayed, dropped
 * or reordered within a connection.
 */
struct keyring;
struct keyring *keyring_parse(const char *text, GError **err);
void keyring_free(struct keyring *k);
struct frame_codec;
struct frame_codec *frame_codec_new(const struct keyring *keys, bool dialler);
void frame_codec_free(struct frame_codec *c);
const uint8_t *frame_greeting(struct frame_codec *c, size_t *len);
bool frame_ready(const struct frame_codec *c);
/* Bytes of the greeting or frame at the start of the input; of an incomplete header, its own.
 */
size_t frame_size(const struct frame_codec *c, const uint8_t *data, size_t len);
void frame_encode(struct frame_codec *c, GByteArray *out, const void *body, size_t len);

/* What frame_decode found at the start of the input. */
enum frame_result {
	/* Incomplete: more input is needed. */
	FRAME_INCOMPLETE,
	/* A valid greeting; the codec is ready. */
	FRAME_GREETED,
	/* A frame with a valid MAC. */
	FRAME_BODY,
	/* Malformed or not authentic; the connection must be closed. */
	FRAME_INVALID
};
struct frame_view {
	/* The body of a frame, within the input. */
	const uint8_t *body;
	size_t len;
	/* Bytes of input consumed. */
	size_t used;
};
enum frame_result frame_decode(struct frame_codec *c, const uint8_t *data, size_t len,
	struct frame_view *out, GError **err);

/*
 * peer-net.c: framed connections between the processes of the system. Functions and callbacks
 * run on the event loop's thread, except peer_post, which is thread-safe.
 */
/* Handle of a connection. A stale handle is recognised and refers to nothing. */
typedef uint64_t peer_id;
#define PEER_NONE 0
struct peer_events {
	/* The peer has sent a valid greeting. */
	void (*opened)(void *arg, peer_id peer, bool dialled);
	void (*message)(void *arg, peer_id peer, const uint8_t *body, size_t len);
	/* An opened or dialled connection is gone; why is NULL after peer_close. */
	void (*closed)(void *arg, peer_id peer, const GError *why);
	void *arg;
};
struct peer_net;
struct peer_net *peer_net_new(
	struct loop *l, const struct keyring *keys, const struct peer_events *events);
/*
 * Bounds the buffers by a budget, which must outlive n, and the accepted connections by a part
 * of connections_max. Without this call they are not bounded.
 */
void peer_net_set_limits(struct peer_net *n, struct budget *b, unsigned int connections_max);
void peer_net_free(struct peer_net *n);
char *peer_listen(struct peer_net *n, const char *addr, GError **err);
peer_id peer_dial(struct peer_net *n, const char *addr, GError **err);
bool peer_send(struct peer_net *n, peer_id peer, const void *body, size_t len);
void peer_post(struct peer_net *n, peer_id peer, struct bytes body);
void peer_close(struct peer_net *n, peer_id peer);

/* http-server.c: requests are read whole and answered at once or later, from any thread. */
struct http_request;
struct http_limits {
	size_t body_max; /* bytes */
	unsigned int connections_max;
	unsigned int connections_per_ip;
	unsigned int idle_timeout_s;
	unsigned int threads;
	/*
	 * What clients use is taken from this. If it is NULL, they are limited by the fields
	 * above alone, and those below have no effect.
	 */
	struct budget *budget;
	/* For a header, from the connection's start or, on one in use, from its first byte. */
	unsigned int header_timeout_s;
	/* For the rest of a request after its header, and for its response to be taken. */
	unsigned int body_timeout_s;
	/* Bytes that a handler needs per byte of the body until it replies. */
	unsigned int call_factor;
};
/* Times for a header and a body of a listener that strangers can reach. */
#define HTTP_HEADER_TIMEOUT_S 20
#define HTTP_BODY_TIMEOUT_S   20
typedef void http_handler(struct http_request *r, void *arg);
struct http_server;
struct http_server *http_server_new(const char *addr, const struct http_limits *limits,
	http_handler *handler, void *arg, GError **err);
const char *http_server_addr(const struct http_server *s);
unsigned int http_server_open_requests(const struct http_server *s);
void http_server_quiesce(struct http_server *s);
void http_server_refuse(struct http_server *s);
void http_server_free(struct http_server *s);
const char *http_method(const struct http_request *r);
const char *http_path(const struct http_request *r);
const char *http_header(const struct http_request *r, const char *name);
const char *http_query(const struct http_request *r, const char *name);
const struct bytes *http_body(const struct http_request *r);
void http_reply_header(struct http_request *r, const char *name, const char *value);
void http_reply(
	struct http_request *r, int status, const char *type, const void *body, size_t len);
void http_reply_text(struct http_request *r, int status, const char *type, const char *text);
/*
 * Replies with an error (application/problem+json); not_run and retry_after_s are those given,
 * not those that the error table has for the kind.
 */
void http_reply_problem_full(struct http_request *r, enum error_kind kind, const char *detail,
	bool not_run, uint32_t retry_after_s, const char *extra_json);
/* Does the same with not_run and retry_after_s of the error table. */
void http_reply_problem(struct http_request *r, enum error_kind kind, const char *detail,
	const char *extra_json);
void http_reply_error(struct http_request *r, const GError *err);

/* http-client.c: one HTTP request and its response. */
struct http_call {
	char *method;
	char *url;
	struct curl_slist *headers;
	struct bytes body;
	int64_t timeout; /* nanoseconds; 0 for none */
	/*
	 * Set to open a new connection instead of reusing a pooled one, whose peer may be gone
	 * without having sent a TCP reset.
	 */
	bool fresh_connection;
	/* The response; without one, status is 0 and error is set. */
	int status;
	struct bytes answer;
	char *type;
	GError *error;
	/* No connection could be established, so the server cannot have seen the request. */
	bool never_sent;
	bool nobody_listens; /* never_sent, as the server's machine refused the connection */
	/* Called on the client's event loop; takes ownership of the call. */
	void (*done)(struct http_call *call, void *arg);
	void *arg;
};
struct http_call *http_call_new(const char *method, const char *url);
void http_call_header(struct http_call *c, const char *name, const char *value);
void http_call_free(struct http_call *c);
void http_call_run(struct http_call *c);
struct http_client;
struct http_client *http_client_new(struct loop *l);
void http_client_free(struct http_client *c);
void http_client_send(struct http_client *c, struct http_call *call);
/*
 * Called with each line of a streamed response, and with line NULL about once a second, or more
 * often, to ask whether to go on. Returns false to end the stream.
 */
typedef bool http_stream_fn(const char *line, size_t len, void *arg);
/* Fails with ERR_STORE_DOWN, as only the watch of the store uses it. */
bool http_stream(const char *url, const char *body, int64_t idle_timeout, http_stream_fn *fn,
	void *arg, GError **err);

#endif

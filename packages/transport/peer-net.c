#include "transport.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define PEERS_MAX      16384
#define OUT_MAX	       (64u * 1024 * 1024)
#define READ_CHUNK     65536
#define GREETING_LIMIT (5 * NSEC_PER_SEC)
#define SWEEP_PERIOD   NSEC_PER_SEC

COUNTER(frames_in, "damaskpath_peer_frames_in_total", "Frames received from peers.");
COUNTER(frames_out, "damaskpath_peer_frames_out_total", "Frames sent to peers.");
COUNTER(bytes_in, "damaskpath_peer_bytes_in_total", "Bytes received from peers.");
COUNTER(bytes_out, "damaskpath_peer_bytes_out_total", "Bytes sent to peers.");
COUNTER(peers_refused, "damaskpath_peers_refused_total",
	"Peers cut for a bad greeting, code or frame.");

/* One connection; its handle is slot and generation, so a stale handle finds nothing. */
struct peer {
	struct peer_net *net;
	uint32_t slot;
	uint32_t generation;
	int fd;
	bool dialled;
	bool connecting;
	bool open;
	bool want_write;
	bool doomed;
	int64_t since;
	struct frame_codec *codec;
	GByteArray *in;
	GByteArray *out;
	size_t out_sent;
};

struct peer_net {
	struct loop *loop;
	const struct keyring *keys;
	struct peer_events events;
	int listen_fd;
	struct loop_timer *sweep;
	struct peer **slots;
	uint32_t *generations;
	uint32_t count;
};

struct peer_out {
	struct peer_net *net;
	peer_id peer;
	struct bytes body;
};

static void peer_ready(uint32_t events, void *arg);

/* The handle of a connection. */
static peer_id id_of(const struct peer *p)
{
	return (uint64_t)p->generation << 32 | (p->slot + 1);
}

/* Find a connection by handle. */
static struct peer *find_peer(struct peer_net *n, peer_id id)
{
	uint32_t slot = (uint32_t)id - 1;

	if (id == PEER_NONE || slot >= n->count || n->slots[slot] == NULL)
		return NULL;
	return n->slots[slot]->generation == id >> 32 ? n->slots[slot] : NULL;
}

/* Find a free slot, or make one. */
static bool take_slot(struct peer_net *n, uint32_t *slot)
{
	for (uint32_t i = 0; i < n->count; i++) {
		if (n->slots[i] == NULL) {
			*slot = i;
			return true;
		}
	}
	if (n->count == PEERS_MAX)
		return false;
	n->slots = xreallocarray(n->slots, n->count + 1, sizeof(*n->slots));
	n->generations = xreallocarray(n->generations, n->count + 1, sizeof(*n->generations));
	n->slots[n->count] = NULL;
	n->generations[n->count] = 0;
	*slot = n->count++;
	return true;
}

/* Adopt a socket and send our greeting. */
static struct peer *add_peer(struct peer_net *n, int fd, bool dialled)
{
	struct peer *p;
	const uint8_t *greeting;
	size_t len;
	uint32_t slot;

	if (!take_slot(n, &slot))
		return NULL;
	p = xcalloc(1, sizeof(*p));
	p->net = n;
	p->slot = slot;
	p->generation = ++n->generations[slot];
	p->fd = fd;
	p->dialled = dialled;
	p->connecting = dialled;
	p->since = loop_now(n->loop);
	p->codec = frame_codec_new(n->keys, dialled);
	p->in = g_byte_array_new();
	p->out = g_byte_array_new();
	greeting = frame_greeting(p->codec, &len);
	g_byte_array_append(p->out, greeting, (guint)len);
	p->want_write = true;
	n->slots[slot] = p;
	loop_add_fd(n->loop, fd, EPOLLIN | EPOLLOUT, peer_ready, p);
	return p;
}

/* Close a connection and tell the owner, once. */
static void drop_peer(struct peer *p, const GError *why)
{
	struct peer_net *n = p->net;
	peer_id id = id_of(p);
	bool told = p->open || p->dialled;

	if (why != NULL &&
		(error_kind_of(why) == ERR_UNAUTHORISED || error_kind_of(why) == ERR_PROTOCOL ||
			error_kind_of(why) == ERR_TOO_LARGE)) {
		counter_add(&peers_refused, 1);
		log_warning("peer", "A connection was cut: %s.", why->message);
	}
	loop_del_fd(n->loop, p->fd);
	close(p->fd);
	n->slots[p->slot] = NULL;
	frame_codec_free(p->codec);
	g_byte_array_unref(p->in);
	g_byte_array_unref(p->out);
	free(p);
	if (told)
		n->events.closed(n->events.arg, id, why);
}

/* Close with a reason made here. */
static void drop_because(struct peer *p, enum error_kind kind, const char *text)
{
	g_autoptr(GError) why = NULL;

	error_set(&why, kind, "%s", text);
	drop_peer(p, why);
}

/* Ask for write events only while there is something to write. */
static void set_want_write(struct peer *p, bool want)
{
	if (p->want_write == want)
		return;
	p->want_write = want;
	loop_set_fd(p->net->loop, p->fd, EPOLLIN | (want ? EPOLLOUT : 0));
}

/* Write what the socket takes; false when the connection is gone. */
static bool flush_peer(struct peer *p)
{
	while (p->out_sent < p->out->len) {
		ssize_t n = send(p->fd, p->out->data + p->out_sent, p->out->len - p->out_sent,
			MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) {
			set_want_write(p, true);
			return true;
		}
		if (n < 0) {
			drop_because(p, ERR_MEMBER_LOST, "the connection broke while writing");
			return false;
		}
		p->out_sent += (size_t)n;
		counter_add(&bytes_out, (uint64_t)n);
	}
	g_byte_array_set_size(p->out, 0);
	p->out_sent = 0;
	set_want_write(p, false);
	return true;
}

/* Handle what the input holds; false when the connection is gone. */
static bool consume_input(struct peer *p)
{
	struct peer_net *n = p->net;
	peer_id id = id_of(p);
	size_t at = 0;

	for (;;) {
		g_autoptr(GError) err = NULL;
		struct frame_view view;
		enum frame_result res =
			frame_decode(p->codec, p->in->data + at, p->in->len - at, &view, &err);

		at += view.used;
		switch (res) {
		case FRAME_MORE:
			g_byte_array_remove_range(p->in, 0, (guint)at);
			return true;
		case FRAME_BAD:
			drop_peer(p, err);
			return false;
		case FRAME_GREETED:
			p->open = true;
			n->events.opened(n->events.arg, id, p->dialled);
			break;
		case FRAME_BODY:
			counter_add(&frames_in, 1);
			n->events.message(n->events.arg, id, view.body, view.len);
			break;
		}
		if (find_peer(n, id) == NULL)
			return false;
		if (p->doomed) {
			drop_peer(p, NULL);
			return false;
		}
	}
}

/* Read what has come; false when the connection is gone. */
static bool read_peer(struct peer *p)
{
	uint8_t chunk[READ_CHUNK];

	for (;;) {
		ssize_t n = recv(p->fd, chunk, sizeof(chunk), 0);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (n <= 0) {
			drop_because(p, ERR_MEMBER_LOST,
				n == 0 ? "the peer closed the connection"
				       : "the connection broke");
			return false;
		}
		counter_add(&bytes_in, (uint64_t)n);
		g_byte_array_append(p->in, chunk, (guint)n);
		if (!consume_input(p))
			return false;
		if ((size_t)n < sizeof(chunk))
			return true;
	}
}

/* An event on a connection. */
static void peer_ready(uint32_t events, void *arg)
{
	struct peer *p = arg;

	if (events & EPOLLOUT || p->connecting) {
		p->connecting = false;
		if (!flush_peer(p))
			return;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_peer(p);
}

/* New connections. */
static void listen_ready(uint32_t events, void *arg)
{
	struct peer_net *n = arg;
	int one = 1;

	(void)events;
	for (;;) {
		int fd = accept4(n->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (add_peer(n, fd, false) == NULL)
			close(fd);
	}
}

/* Cut those that do not greet in time. */
static void sweep_peers(void *arg)
{
	struct peer_net *n = arg;
	int64_t now = loop_now(n->loop);

	for (uint32_t i = 0; i < n->count; i++) {
		struct peer *p = n->slots[i];

		if (p != NULL && !p->open && now - p->since > GREETING_LIMIT)
			drop_because(p, ERR_PROTOCOL, "no greeting came in time");
	}
}

/* A set of peers on a loop. */
struct peer_net *peer_net_new(
	struct loop *l, const struct keyring *keys, const struct peer_events *events)
{
	struct peer_net *n = xcalloc(1, sizeof(*n));

	n->loop = l;
	n->keys = keys;
	n->events = *events;
	n->listen_fd = -1;
	n->sweep = loop_timer_add(l, SWEEP_PERIOD, SWEEP_PERIOD, sweep_peers, n);
	return n;
}

/* Close all connections without callbacks. */
void peer_net_free(struct peer_net *n)
{
	n->events.closed = NULL;
	for (uint32_t i = 0; i < n->count; i++) {
		struct peer *p = n->slots[i];

		if (p == NULL)
			continue;
		p->open = false;
		p->dialled = false;
		drop_peer(p, NULL);
	}
	loop_timer_del(n->loop, n->sweep);
	if (n->listen_fd >= 0) {
		loop_del_fd(n->loop, n->listen_fd);
		close(n->listen_fd);
	}
	free(n->slots);
	free(n->generations);
	free(n);
}

/* Accept peers on an address; returns the bound address. */
char *peer_listen(struct peer_net *n, const char *addr, GError **err)
{
	char *bound = NULL;

	n->listen_fd = addr_listen(addr, &bound, err);
	if (n->listen_fd < 0)
		return NULL;
	loop_add_fd(n->loop, n->listen_fd, EPOLLIN, listen_ready, n);
	return bound;
}

/* Start a connection; opened or closed follows. */
peer_id peer_dial(struct peer_net *n, const char *addr, GError **err)
{
	int fd = addr_dial(addr, err);
	struct peer *p;

	if (fd < 0)
		return PEER_NONE;
	p = add_peer(n, fd, true);
	if (p == NULL) {
		close(fd);
		error_set(err, ERR_OVERLOAD, "too many connections to peers");
		return PEER_NONE;
	}
	return id_of(p);
}

/* Send a message; false when the connection is gone or too far behind. */
bool peer_send(struct peer_net *n, peer_id peer, const void *body, size_t len)
{
	struct peer *p = find_peer(n, peer);

	if (p == NULL || !p->open || p->doomed || len > FRAME_BODY_MAX)
		return false;
	if (p->out->len - p->out_sent > OUT_MAX) {
		log_warning("peer", "A peer reads too slowly and is cut.");
		peer_close(n, peer);
		return false;
	}
	frame_encode(p->codec, p->out, body, len);
	counter_add(&frames_out, 1);
	set_want_write(p, true);
	return true;
}

/* The posted half of peer_post. */
static void send_posted(void *arg)
{
	struct peer_out *o = arg;

	peer_send(o->net, o->peer, o->body.data, o->body.len);
	bytes_clear(&o->body);
	free(o);
}

/* Send from any thread; owns the body. */
void peer_post(struct peer_net *n, peer_id peer, struct bytes body)
{
	struct peer_out *o = xmalloc(sizeof(*o));

	o->net = n;
	o->peer = peer;
	o->body = body;
	loop_post(n->loop, send_posted, o);
}

/* The posted half of peer_close. */
static void close_posted(void *arg)
{
	struct peer_out *o = arg;
	struct peer *p = find_peer(o->net, o->peer);

	if (p != NULL)
		drop_peer(p, NULL);
	free(o);
}

/* Close a connection soon; closed is called once it is. */
void peer_close(struct peer_net *n, peer_id peer)
{
	struct peer *p = find_peer(n, peer);
	struct peer_out *o;

	if (p == NULL || p->doomed)
		return;
	p->doomed = true;
	o = xcalloc(1, sizeof(*o));
	o->net = n;
	o->peer = peer;
	loop_post(n->loop, close_posted, o);
}

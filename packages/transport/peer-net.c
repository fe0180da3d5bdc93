#include "peer-private.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define SEND_BUFFER_MAX (64u * 1024 * 1024) /* bytes per connection */
#define READ_CHUNK_SIZE 65536		    /* bytes */
/* Per event, so that a peer that sends without a pause does not hold up the loop. */
#define READS_MAX   16
#define ACCEPTS_MAX 16
/* Pause after accept has failed for lack of descriptors or memory, so that the loop sleeps. */
#define ACCEPT_PAUSE		   (100 * NSEC_PER_MSEC)
#define GREETING_TIMEOUT_NS	   (5 * NSEC_PER_SEC)
#define GREETING_CHECK_INTERVAL_NS NSEC_PER_SEC

COUNTER(frames_in, "damaskpath_peer_frames_in_total", "Frames received from peers.");
COUNTER(frames_out, "damaskpath_peer_frames_out_total", "Frames sent to peers.");
COUNTER(bytes_in, "damaskpath_peer_bytes_in_total", "Bytes received from peers.");
COUNTER(bytes_out, "damaskpath_peer_bytes_out_total", "Bytes sent to peers.");
COUNTER(peers_refused, "damaskpath_peers_refused_total",
	"Peers cut for a bad greeting, code or frame.");

/* Arguments of a function posted to the loop. */
struct posted_op {
	struct peer_net *net;
	peer_id peer;
	struct bytes body;
};

static void handle_peer_events(uint32_t events, void *arg);

/* Returns the handle of a connection. */
peer_id peer_handle(const struct peer *p)
{
	return (uint64_t)p->generation << 32 | (p->slot + 1);
}

/* Finds a connection by handle; NULL if it is gone. */
static struct peer *find_peer(struct peer_net *n, peer_id id)
{
	uint32_t slot = (uint32_t)id - 1;

	if (id == PEER_NONE || slot >= n->count || n->slots[slot] == NULL)
		return NULL;
	return n->slots[slot]->generation == id >> 32 ? n->slots[slot] : NULL;
}

/* Finds a free slot or adds one; false when all slots are in use. */
static bool allocate_slot(struct peer_net *n, uint32_t *slot)
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

/* Takes ownership of a socket and queues the greeting. */
static struct peer *add_peer(struct peer_net *n, int fd, bool dialled)
{
	struct peer *p;
	const uint8_t *greeting;
	size_t len;
	uint32_t slot;

	if (!allocate_slot(n, &slot))
		return NULL;
	p = xcalloc(1, sizeof(*p));
	p->net = n;
	p->slot = slot;
	p->generation = ++n->generations[slot];
	p->fd = fd;
	p->dialled = dialled;
	p->connecting = dialled;
	p->created_at = loop_now(n->loop);
	p->codec = frame_codec_new(n->keys, dialled);
	p->send_buf = g_byte_array_new();
	greeting = frame_greeting(p->codec, &len);
	g_byte_array_append(p->send_buf, greeting, (guint)len);
	p->bytes = len;
	p->want_write = true;
	n->slots[slot] = p;
	n->accepted += dialled ? 0 : 1;
	loop_add_fd(n->loop, fd, EPOLLIN | EPOLLOUT, handle_peer_events, p);
	return p;
}

/* Closes and frees a connection, and notifies the owner if it knows the connection. */
void peer_drop(struct peer *p, const GError *why)
{
	struct peer_net *n = p->net;
	peer_id id = peer_handle(p);
	bool notify_owner = p->open || p->dialled;

	if (why != NULL &&
		(error_kind_of(why) == ERR_UNAUTHORISED || error_kind_of(why) == ERR_PROTOCOL ||
			error_kind_of(why) == ERR_TOO_LARGE)) {
		counter_add(&peers_refused, 1);
		/* Events are bounded in number, warnings are not. */
		if (n->shared != NULL)
			event_log(EV_BAD_INPUT, "from=peer what=\"%s\"", why->message);
		else
			log_warning("peer", "Closed a peer connection: %s.", why->message);
	}
	loop_del_fd(n->loop, p->fd);
	close(p->fd);
	n->slots[p->slot] = NULL;
	frame_codec_free(p->codec);
	peer_free_buffers(p);
	g_byte_array_unref(p->send_buf);
	n->accepted -= p->dialled ? 0 : 1;
	n->opened -= p->dialled || !p->open ? 0 : 1;
	free(p);
	if (notify_owner && n->events.closed != NULL)
		n->events.closed(n->events.arg, id, why);
}

/* Drops a connection with an error of the given kind. */
static void drop_peer_with_error(struct peer *p, enum error_kind kind, const char *text)
{
	g_autoptr(GError) why = NULL;

	error_set(&why, kind, "%s", text);
	peer_drop(p, why);
}

/* Subscribes to write events only while output is pending. */
static void set_want_write(struct peer *p, bool want)
{
	if (p->want_write == want)
		return;
	p->want_write = want;
	loop_set_fd(p->net->loop, p->fd, EPOLLIN | (want ? EPOLLOUT : 0));
}

/* Writes as much pending output as the socket accepts; false if the connection is broken. */
static bool write_output(struct peer *p)
{
	while (p->send_offset < p->send_buf->len) {
		ssize_t n = send(p->fd, p->send_buf->data + p->send_offset,
			p->send_buf->len - p->send_offset, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) {
			/* Moves the rest only when it is no more than what was sent. */
			if (p->send_offset >= p->send_buf->len / 2)
				peer_consume_output(p);
			set_want_write(p, true);
			return true;
		}
		if (n < 0)
			return false;
		p->send_offset += (size_t)n;
		counter_add(&bytes_out, (uint64_t)n);
	}
	peer_consume_output(p);
	set_want_write(p, false);
	return true;
}

/* Does the same, and drops a broken connection. */
static bool flush_peer(struct peer *p)
{
	if (write_output(p))
		return true;
	drop_peer_with_error(p, ERR_MEMBER_LOST, "the connection failed while writing");
	return false;
}

/* Writes the output that was queued since the last call. */
static void flush_queued(void *arg)
{
	struct peer_net *n = arg;

	for (guint i = 0; i < n->to_flush->len; i++) {
		struct peer *p = find_peer(n, g_array_index(n->to_flush, peer_id, i));

		if (p == NULL)
			continue;
		p->flush_pending = false;
		if (!p->want_write && !p->closing)
			flush_peer(p);
	}
	g_array_set_size(n->to_flush, 0);
}

/*
 * Has the queued output of a connection written before the loop waits again, together with
 * what else is queued by then. While the socket is full, its write event does so instead.
 */
static void queue_flush(struct peer *p)
{
	struct peer_net *n = p->net;
	peer_id id = peer_handle(p);

	if (p->want_write || p->flush_pending)
		return;
	p->flush_pending = true;
	if (n->to_flush->len == 0)
		loop_defer(n->loop, flush_queued, n);
	g_array_append_val(n->to_flush, id);
}

/* Marks a connection as open and notifies the owner; false if there are too many. */
static bool open_peer(struct peer *p)
{
	struct peer_net *n = p->net;

	p->open = true;
	n->opened += p->dialled ? 0 : 1;
	if (!p->dialled && !peer_admit_open(p)) {
		/* The owner does not know the connection. */
		p->open = false;
		n->opened--;
		return false;
	}
	n->events.opened(n->events.arg, peer_handle(p), p->dialled);
	return true;
}

/* Decodes and delivers the buffered input; false if the connection was dropped. */
static bool process_input(struct peer *p)
{
	struct peer_net *n = p->net;
	peer_id id = peer_handle(p);
	size_t consumed = 0;

	for (;;) {
		g_autoptr(GError) err = NULL;
		struct frame_view view;
		enum frame_result res = frame_decode(
			p->codec, p->recv_data + consumed, p->recv_len - consumed, &view, &err);

		consumed += view.used;
		p->in_callback = true;
		switch (res) {
		case FRAME_INCOMPLETE:
			p->in_callback = false;
			peer_consume_input(p, consumed);
			return true;
		case FRAME_INVALID:
			peer_drop(p, err);
			return false;
		case FRAME_GREETED:
			if (open_peer(p))
				break;
			drop_peer_with_error(p, ERR_OVERLOAD, "too many connections");
			return false;
		case FRAME_BODY:
			p->proven = true;
			counter_add(&frames_in, 1);
			n->events.message(n->events.arg, id, view.body, view.len);
			break;
		}
		if (find_peer(n, id) == NULL)
			return false;
		p->in_callback = false;
		if (p->closing) {
			peer_drop(p, NULL);
			return false;
		}
	}
}

/* Bytes to read next: of a stranger, no more than its greeting. */
static size_t read_size(const struct peer *p)
{
	return p->open ? READ_CHUNK_SIZE : FRAME_GREETING_LEN - p->recv_len;
}

/* Appends input to the buffer; false if the connection was dropped for lack of memory. */
static bool store_input(struct peer *p, const uint8_t *data, size_t len)
{
	bool fits = frame_size(p->codec, p->recv_data, p->recv_len) <= p->net->frame_max;

	if (fits && peer_reserve_input(p, len)) {
		memcpy(p->recv_data + p->recv_len, data, len);
		p->recv_len += len;
		return true;
	}
	peer_limit_note(p->net, p, PEER_LIMIT_MEMORY);
	drop_peer_with_error(p, ERR_OVERLOAD, "no memory for the received frame");
	return false;
}

/*
 * Reads and processes the available input, or a part of it if there is a lot. A broken
 * connection has the kind ERR_MEMBER_LOST, whatever the peer is.
 */
static void receive_peer(struct peer *p)
{
	uint8_t chunk[READ_CHUNK_SIZE];

	for (int i = 0; i < READS_MAX; i++) {
		size_t size = read_size(p);
		ssize_t n = recv(p->fd, chunk, size, 0);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			drop_peer_with_error(p, ERR_MEMBER_LOST,
				n == 0 ? "the peer closed the connection"
				       : "the connection failed");
			return;
		}
		counter_add(&bytes_in, (uint64_t)n);
		if (!store_input(p, chunk, (size_t)n) || !process_input(p) || (size_t)n < size)
			return;
	}
}

/* Handles epoll events of a connection. */
static void handle_peer_events(uint32_t events, void *arg)
{
	struct peer *p = arg;

	if (p->closing)
		return; /* the posted close follows */
	if (events & EPOLLOUT || p->connecting) {
		p->connecting = false;
		if (!flush_peer(p))
			return;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		receive_peer(p);
}

static void accept_peers(uint32_t events, void *arg);

static void resume_accepting(void *arg)
{
	struct peer_net *n = arg;

	n->accept_timer = NULL;
	loop_add_fd(n->loop, n->listen_fd, EPOLLIN, accept_peers, n);
}

/* Handles a failed accept; whether to try again at once. */
static bool handle_accept_error(struct peer_net *n, int error)
{
	if (error != EMFILE && error != ENFILE && error != ENOBUFS && error != ENOMEM)
		return error == ECONNABORTED || error == EINTR;
	if (peer_spare_descriptor(n))
		return true;
	peer_limit_note(n, NULL, PEER_LIMIT_DESCRIPTORS);
	loop_del_fd(n->loop, n->listen_fd);
	n->accept_timer = loop_timer_add(n->loop, ACCEPT_PAUSE, 0, resume_accepting, n);
	return false;
}

/* Accepts pending connections. */
static void accept_peers(uint32_t events, void *arg)
{
	struct peer_net *n = arg;
	int one = 1;

	(void)events;
	for (int i = 0; i < ACCEPTS_MAX; i++) {
		int fd = accept4(n->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			if (!handle_accept_error(n, errno))
				return;
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		peer_admit_stranger(n);
		if (add_peer(n, fd, false) == NULL)
			close(fd);
	}
}

/* Drops connections whose peer has not sent a greeting in time. */
static void drop_ungreeted_peers(void *arg)
{
	struct peer_net *n = arg;
	int64_t now = loop_now(n->loop);

	for (uint32_t i = 0; i < n->count; i++) {
		struct peer *p = n->slots[i];

		if (p != NULL && !p->open && now - p->created_at > GREETING_TIMEOUT_NS)
			drop_peer_with_error(p, ERR_PROTOCOL, "no greeting within the timeout");
	}
}

/* Creates a set of connections on a loop; keys must outlive it. */
struct peer_net *peer_net_new(
	struct loop *l, const struct keyring *keys, const struct peer_events *events)
{
	struct peer_net *n = xcalloc(1, sizeof(*n));

	n->loop = l;
	n->keys = keys;
	n->events = *events;
	n->listen_fd = -1;
	n->frame_max = SIZE_MAX;
	n->unread_max = SEND_BUFFER_MAX;
	n->to_flush = g_array_new(FALSE, FALSE, sizeof(peer_id));
	n->greeting_timer = loop_timer_add(l, GREETING_CHECK_INTERVAL_NS,
		GREETING_CHECK_INTERVAL_NS, drop_ungreeted_peers, n);
	return n;
}

/* Closes all connections without callbacks. */
void peer_net_free(struct peer_net *n)
{
	n->events.closed = NULL;
	for (uint32_t i = 0; i < n->count; i++) {
		struct peer *p = n->slots[i];

		if (p == NULL)
			continue;
		peer_drop(p, NULL);
	}
	loop_timer_del(n->loop, n->greeting_timer);
	loop_defer_del(n->loop, flush_queued, n);
	g_array_unref(n->to_flush);
	if (n->listen_fd >= 0) {
		loop_timer_del(n->loop, n->accept_timer);
		loop_del_fd(n->loop, n->listen_fd);
		close(n->listen_fd);
	}
	budget_free(n->own);
	free(n->slots);
	free(n->generations);
	free(n);
}

/* Accepts peers on an address; returns the bound address, or NULL on error. */
char *peer_listen(struct peer_net *n, const char *addr, GError **err)
{
	char *bound = NULL;

	n->listen_fd = addr_listen(addr, &bound, err);
	if (n->listen_fd < 0)
		return NULL;
	loop_add_fd(n->loop, n->listen_fd, EPOLLIN, accept_peers, n);
	return bound;
}

/* Starts a connection; the opened or closed callback reports the outcome. */
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
	return peer_handle(p);
}

/* Closes a connection whose output can't be kept. */
static void close_slow_reader(struct peer *p, enum peer_limit cause)
{
	peer_limit_note(p->net, p, cause);
	if (p->net->shared == NULL)
		log_warning("peer", "Closing the connection to a peer that reads too slowly.");
	peer_close(p->net, peer_handle(p));
}

/*
 * Queues a message. Returns false if the connection is not open, the message is too large or
 * too much output is pending already; in the last case the connection is closed.
 */
bool peer_send(struct peer_net *n, peer_id peer, const void *body, size_t len)
{
	struct peer *p = find_peer(n, peer);

	if (p == NULL || !p->open || p->closing || len > FRAME_BODY_MAX)
		return false;
	/* Output that was only queued so far does not count as not read. */
	if (p->send_buf->len - p->send_offset > n->unread_max && !p->want_write &&
		!write_output(p)) {
		peer_close(n, peer);
		return false;
	}
	if (p->send_buf->len - p->send_offset > n->unread_max) {
		close_slow_reader(p, PEER_LIMIT_UNREAD);
		return false;
	}
	if (!peer_take(p, FRAME_HEADER_LEN + len)) {
		close_slow_reader(p, PEER_LIMIT_MEMORY);
		return false;
	}
	frame_encode(p->codec, p->send_buf, body, len);
	counter_add(&frames_out, 1);
	queue_flush(p);
	return true;
}

/* Runs a posted send on the loop. */
static void run_posted_send(void *arg)
{
	struct posted_op *o = arg;

	peer_send(o->net, o->peer, o->body.data, o->body.len);
	bytes_clear(&o->body);
	free(o);
}

/* Sends a message from any thread; takes ownership of the body. */
void peer_post(struct peer_net *n, peer_id peer, struct bytes body)
{
	struct posted_op *o = xmalloc(sizeof(*o));

	o->net = n;
	o->peer = peer;
	o->body = body;
	loop_post(n->loop, run_posted_send, o);
}

/* Runs a posted close on the loop. */
static void run_posted_close(void *arg)
{
	struct posted_op *o = arg;
	struct peer *p = find_peer(o->net, o->peer);

	if (p != NULL)
		peer_drop(p, NULL);
	free(o);
}

/*
 * Closes a connection asynchronously, so that it may be called from a callback of the same
 * connection. The closed callback follows.
 */
void peer_close(struct peer_net *n, peer_id peer)
{
	struct peer *p = find_peer(n, peer);
	struct posted_op *o;

	if (p == NULL || p->closing)
		return;
	p->closing = true;
	o = xcalloc(1, sizeof(*o));
	o->net = n;
	o->peer = peer;
	loop_post(n->loop, run_posted_close, o);
}

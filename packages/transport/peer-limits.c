#include "peer-private.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Limits of the connections to peers. Bytes of a connection's buffers beyond FREE_BYTES are
 * taken from the shared budget before the buffers grow. The connections are of three kinds:
 * - a stranger has not sent a valid greeting; it may only send that, and only few may be open;
 * - an open one has, which proves nothing, as a greeting can be copied;
 * - a trusted one has also sent an authentic frame, or was dialled by this process. Trusted
 * ones may also use the net's own budget, and are not closed for the sake of the others.
 */

/* Enough for the first message of an agent or entry, so that it can become trusted. */
#define FREE_BYTES 4096
/* Buffers up to this size are kept when they are empty. */
#define KEPT_BYTES	  65536
#define FIRST_BUFFER_SIZE 512
/* Part of the shared budget that trusted connections may use in addition. */
#define OWN_BUDGET_DIVISOR 4
/* At least half of the largest message, which may be added to it. */
#define UNREAD_MIN     (4u * 1024 * 1024)
#define UNREAD_DIVISOR 4
/* Parts of the connections that descriptors allow; HTTP servers and the store need the rest. */
#define OPEN_DIVISOR	  2
#define STRANGERS_DIVISOR 8
/*
 * A greeting takes one round trip. After a takeover all agents of a cell connect within less
 * than that, and there are up to 400; an eighth is 343 on the smallest machine, 471 on an
 * agent's.
 */
#define STRANGERS_MAX 1024
/* For settings with fewer descriptors than any machine has. */
#define OPEN_MIN      64
#define STRANGERS_MIN 8

COUNTER(limit_greetings, "damaskpath_peer_limit_greetings_total",
	"Connections without a greeting that were closed for newer ones.");
COUNTER(limit_connections, "damaskpath_peer_limit_connections_total",
	"Peer connections that were closed or refused, as too many were open.");
COUNTER(limit_descriptors, "damaskpath_peer_limit_descriptors_total",
	"Peer connections that were closed or had to wait for lack of descriptors.");
COUNTER(limit_memory, "damaskpath_peer_limit_memory_total",
	"Peer connections that were closed for lack of memory for their buffers.");
COUNTER(limit_unread, "damaskpath_peer_limit_unread_total",
	"Peer connections that were closed, as the peer did not read.");

static const struct {
	const char *name;
	struct counter *counter;
} causes[PEER_LIMIT_COUNT] = {
	[PEER_LIMIT_GREETINGS] = {"no-greeting", &limit_greetings},
	[PEER_LIMIT_CONNECTIONS] = {"connections", &limit_connections},
	[PEER_LIMIT_DESCRIPTORS] = {"descriptors", &limit_descriptors},
	[PEER_LIMIT_MEMORY] = {"memory", &limit_memory},
	[PEER_LIMIT_UNREAD] = {"unread", &limit_unread},
};

/* Writes the address of a connection's other end, without the port. */
static void format_addr(const struct peer *p, char out[INET_ADDRSTRLEN])
{
	struct sockaddr_in sa = {0};
	socklen_t len = sizeof(sa);

	strcpy(out, "-");
	if (p != NULL && getpeername(p->fd, (struct sockaddr *)&sa, &len) == 0)
		inet_ntop(AF_INET, &sa.sin_addr, out, INET_ADDRSTRLEN);
}

/* Counts and logs that a limit was met; p is NULL if it concerns no connection. */
void peer_limit_note(const struct peer_net *n, const struct peer *p, enum peer_limit cause)
{
	char addr[INET_ADDRSTRLEN];

	counter_add(causes[cause].counter, 1);
	if (n->shared == NULL)
		return;
	format_addr(p, addr);
	event_log(EV_CLIENT_LIMIT, "cause=%s addr=%s listener=peers bytes=%zu connections=%u",
		causes[cause].name, addr, p != NULL ? p->bytes : 0, n->accepted);
}

static bool is_trusted(const struct peer *p)
{
	return p->dialled || p->proven;
}

/* The part of a connection's bytes that is taken from the budgets. */
static size_t charged(size_t bytes)
{
	return bytes > FREE_BYTES ? bytes - FREE_BYTES : 0;
}

/*
 * Whether connection a is closed rather than b when memory is short: first those that are not
 * trusted, then the one that holds the most, then the oldest.
 */
static bool closed_before(const struct peer *a, const struct peer *b)
{
	if (is_trusted(a) != is_trusted(b))
		return !is_trusted(a);
	if (a->bytes != b->bytes)
		return a->bytes > b->bytes;
	return a->created_at < b->created_at;
}

/* The connection whose memory goes to p, which needs to hold bytes in all; NULL if none does.
 */
static struct peer *find_memory(const struct peer *p, size_t bytes)
{
	struct peer *best = NULL;

	for (uint32_t i = 0; i < p->net->count; i++) {
		struct peer *o = p->net->slots[i];

		if (o == NULL || o == p || o->closing || o->in_callback ||
			charged(o->bytes) == 0)
			continue;
		if (is_trusted(o) ? !is_trusted(p) || o->bytes <= bytes
				  : !is_trusted(p) && o->bytes <= bytes)
			continue;
		if (best == NULL || closed_before(o, best))
			best = o;
	}
	return best;
}

static bool take_budget(struct peer *p, size_t n)
{
	if (budget_take(p->net->shared, n)) {
		p->taken_shared += n;
		return true;
	}
	if (!is_trusted(p) || !budget_take(p->net->own, n))
		return false;
	p->taken_own += n;
	return true;
}

bool peer_take(struct peer *p, size_t n)
{
	size_t more = charged(p->bytes + n) - charged(p->bytes);
	struct peer *victim;

	while (p->net->shared != NULL && !take_budget(p, more)) {
		victim = find_memory(p, p->bytes + n);
		if (victim == NULL)
			return false;
		peer_limit_note(p->net, victim, PEER_LIMIT_MEMORY);
		peer_free_buffers(victim);
		peer_close(victim->net, peer_handle(victim));
	}
	p->bytes += n;
	return true;
}

void peer_give_back(struct peer *p, size_t n)
{
	size_t less = charged(p->bytes) - charged(p->bytes - n);
	size_t from_own = MIN(less, p->taken_own);

	p->bytes -= n;
	if (p->net->shared == NULL)
		return;
	budget_give_back(p->net->own, from_own);
	p->taken_own -= from_own;
	budget_give_back(p->net->shared, less - from_own);
	p->taken_shared -= less - from_own;
}

bool peer_reserve_input(struct peer *p, size_t n)
{
	size_t needed = p->recv_len + n;
	size_t frame = frame_size(p->codec, p->recv_data, p->recv_len);
	size_t size = MAX(p->recv_size, p->open ? FIRST_BUFFER_SIZE : FRAME_GREETING_LEN);

	while (size < needed)
		size *= 2;
	/* Doubling goes no further than the frame that is being received. */
	if (p->recv_len >= FRAME_HEADER_LEN && size > frame)
		size = MAX(frame, needed);
	if (size <= p->recv_size)
		return true;
	if (!peer_take(p, size - p->recv_size))
		return false;
	p->recv_data = xreallocarray(p->recv_data, size, 1);
	p->recv_size = size;
	return true;
}

void peer_consume_input(struct peer *p, size_t n)
{
	p->recv_len -= n;
	if (n > 0 && p->recv_len > 0)
		memmove(p->recv_data, p->recv_data + n, p->recv_len);
	if (p->recv_len > 0 || p->recv_size <= KEPT_BYTES)
		return;
	free(p->recv_data);
	p->recv_data = NULL;
	peer_give_back(p, p->recv_size);
	p->recv_size = 0;
}

/* Removes the output that was sent; frees a large buffer that is empty. */
void peer_consume_output(struct peer *p)
{
	guint sent = (guint)p->send_offset;

	p->send_offset = 0;
	if (sent == p->send_buf->len && sent > KEPT_BYTES) {
		g_byte_array_unref(p->send_buf);
		p->send_buf = g_byte_array_new();
	} else if (sent > 0) {
		g_byte_array_remove_range(p->send_buf, 0, sent);
	}
	peer_give_back(p, sent);
}

void peer_free_buffers(struct peer *p)
{
	free(p->recv_data);
	p->recv_data = NULL;
	p->recv_len = 0;
	p->recv_size = 0;
	g_byte_array_unref(p->send_buf);
	p->send_buf = g_byte_array_new();
	p->send_offset = 0;
	peer_give_back(p, p->bytes);
}

/* The oldest accepted connection that is not trusted: a stranger, or an open one; or NULL. */
static struct peer *find_oldest(const struct peer_net *n, bool open, const struct peer *except)
{
	struct peer *best = NULL;

	for (uint32_t i = 0; i < n->count; i++) {
		struct peer *p = n->slots[i];

		if (p == NULL || p == except || p->open != open || is_trusted(p) ||
			p->in_callback)
			continue;
		if (best == NULL || p->created_at < best->created_at)
			best = p;
	}
	return best;
}

/* Closes a connection for another one. */
static void close_for(struct peer *p, enum peer_limit cause)
{
	g_autoptr(GError) why = NULL;

	peer_limit_note(p->net, p, cause);
	error_set(&why, ERR_OVERLOAD, "closed for another connection");
	peer_drop(p, why);
}

void peer_admit_stranger(struct peer_net *n)
{
	struct peer *oldest;

	if (n->shared == NULL || n->accepted - n->opened < n->strangers_max)
		return;
	oldest = find_oldest(n, false, NULL);
	if (oldest != NULL)
		close_for(oldest, PEER_LIMIT_GREETINGS);
}

bool peer_admit_open(struct peer *p)
{
	struct peer *oldest;

	if (p->net->shared == NULL || p->net->opened <= p->net->open_max)
		return true;
	oldest = find_oldest(p->net, true, p);
	if (oldest == NULL) {
		peer_limit_note(p->net, p, PEER_LIMIT_CONNECTIONS);
		return false;
	}
	close_for(oldest, PEER_LIMIT_CONNECTIONS);
	return true;
}

bool peer_spare_descriptor(struct peer_net *n)
{
	struct peer *oldest = n->shared != NULL ? find_oldest(n, false, NULL) : NULL;

	if (oldest == NULL && n->shared != NULL)
		oldest = find_oldest(n, true, NULL);
	if (oldest != NULL)
		close_for(oldest, PEER_LIMIT_DESCRIPTORS);
	return oldest != NULL;
}

/* Bounds buffers by a budget and connections by the number that descriptors allow. */
void peer_net_set_limits(struct peer_net *n, struct budget *b, unsigned int connections_max)
{
	size_t max = budget_max(b);

	n->shared = b;
	n->own = budget_new(max / OWN_BUDGET_DIVISOR);
	n->unread_max = MAX(max / UNREAD_DIVISOR, UNREAD_MIN);
	n->frame_max = max;
	n->open_max = MAX(connections_max / OPEN_DIVISOR, OPEN_MIN);
	n->strangers_max =
		CLAMP(connections_max / STRANGERS_DIVISOR, STRANGERS_MIN, STRANGERS_MAX);
}

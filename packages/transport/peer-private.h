#ifndef DP_PEER_PRIVATE_H
#define DP_PEER_PRIVATE_H

#include "transport.h"

/* What peer-net.c and peer-limits.c share. */

#define PEERS_MAX 16384

/*
 * One connection. Its handle combines slot and generation, so that a stale handle is not taken
 * for the next connection in the slot.
 */
struct peer {
	struct peer_net *net;
	uint32_t slot;
	uint32_t generation;
	int fd;
	bool dialled;
	bool connecting;
	bool open;   /* the peer has sent a valid greeting */
	bool proven; /* the peer has sent a frame with a valid MAC, so it has the key */
	bool want_write;
	bool flush_pending; /* in peer_net.to_flush */
	bool closing;	    /* peer_close has been called */
	bool in_callback;   /* the receive buffer is in use by a callback */
	int64_t created_at;
	struct frame_codec *codec;
	/* Received and not decoded yet. */
	uint8_t *recv_data;
	size_t recv_len;
	size_t recv_size;
	GByteArray *send_buf;
	size_t send_offset;
	/* Bytes of both buffers, and what of them was taken from the budgets. */
	size_t bytes;
	size_t taken_own;
	size_t taken_shared;
};

/* Causes of a closed or refused connection, or of a refused message. */
enum peer_limit {
	PEER_LIMIT_GREETINGS,
	PEER_LIMIT_CONNECTIONS,
	PEER_LIMIT_DESCRIPTORS,
	PEER_LIMIT_MEMORY,
	PEER_LIMIT_UNREAD,
	PEER_LIMIT_COUNT
};

struct peer_net {
	struct loop *loop;
	const struct keyring *keys;
	struct peer_events events;
	int listen_fd;
	struct loop_timer *greeting_timer;
	struct peer **slots;
	uint32_t *generations;
	uint32_t count;
	GArray *to_flush; /* handles of the connections that got output since the last flush */
	/* Set by peer_net_set_limits; without it the budgets are NULL. */
	struct budget *shared;
	struct budget *own; /* for proven peers, in addition to the shared budget */
	size_t frame_max;   /* bytes of a received frame with its header */
	size_t unread_max;  /* pending output of a connection, without its last message */
	unsigned int strangers_max;	 /* accepted connections without a valid greeting */
	unsigned int open_max;		 /* accepted connections with one */
	unsigned int accepted;		 /* accepted connections that exist now */
	unsigned int opened;		 /* those of them with a valid greeting */
	struct loop_timer *accept_timer; /* while accepting is paused for lack of descriptors */
};

/* peer-net.c */
peer_id peer_handle(const struct peer *p);
void peer_drop(struct peer *p, const GError *why);

/* peer-limits.c: decides which connections and buffers a peer_net can afford. */
void peer_limit_note(const struct peer_net *n, const struct peer *p, enum peer_limit cause);
/*
 * Takes n bytes for a peer's buffers. May close other connections for them; their buffers are
 * freed at once, and the owner is notified later.
 */
bool peer_take(struct peer *p, size_t n);
/* Gives back n of the bytes taken for the peer's buffers. */
void peer_give_back(struct peer *p, size_t n);
/* Makes room for n more received bytes. */
bool peer_reserve_input(struct peer *p, size_t n);
void peer_consume_input(struct peer *p, size_t n);
void peer_consume_output(struct peer *p);
/* Frees the contents of both buffers of a connection that is closed. */
void peer_free_buffers(struct peer *p);
/* Makes room for one more accepted connection without a greeting. */
void peer_admit_stranger(struct peer_net *n);
/* Whether an accepted connection that has sent its greeting may stay. */
bool peer_admit_open(struct peer *p);
/* Closes the accepted connection that can best be spared; false if there is none. */
bool peer_spare_descriptor(struct peer_net *n);

#endif

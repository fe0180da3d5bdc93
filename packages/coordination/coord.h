#ifndef DP_COORD_H
#define DP_COORD_H

#include "sched.h"

/*
 * The coordinator of one cell. It turns the scheduler's decisions into messages to the agents
 * and keeps the jobs and results that callers wait for; at a takeover it rebuilds both from the
 * agents' inventories and the store. It does no I/O of its own: messages go out through
 * coord_ports, and the daemon that created the coordinator fetches the job records to write
 * with coord_take_batch.
 *
 * An entry is a process of role ROLE_ENTRY, which accepts the requests of callers and sends
 * them to the coordinator.
 *
 * The parameter now is the current monotonic time, and wall the current time since 1970, both
 * in nanoseconds.
 */

/* Callbacks to the transport. */
struct coord_ports {
	/* Returns false if the peer is not connected. */
	bool (*send)(void *arg, peer_id peer, const struct msg *m);
	void (*close)(void *arg, peer_id peer);
	void *arg;
};

struct coord;
struct coord *coord_new(const char *cell, const struct coord_ports *ports);
void coord_free(struct coord *c);
void coord_start_term(struct coord *c, int64_t now, int64_t wall, uint64_t term,
	const char *roster, GPtrArray *records, const struct doc *config);
uint64_t coord_term(const struct coord *c);
/* Adopts a configuration, unless it is older than the current one. */
void coord_set_config(struct coord *c, int64_t now, const struct doc *config);
void coord_hello(struct coord *c, int64_t now, peer_id peer, const struct msg_hello *h);
void coord_message(struct coord *c, int64_t now, peer_id peer, const struct msg *m);
void coord_peer_closed(struct coord *c, int64_t now, peer_id peer);
void coord_tick(struct coord *c, int64_t now, int64_t wall);
void coord_schedule(struct coord *c, int64_t now);
/*
 * Begins a planned stop, or continues it if called again: no more jobs are placed, and queued
 * jobs go back to their entries. Returns the number of answers sent, 0 once no job is left to
 * give back.
 */
size_t coord_hand_over_queued(struct coord *c);
/*
 * Whether an agent other than self is connected and takes work. The process of an agent can
 * also run the coordinator, so that agent can become the next coordinator of the cell.
 */
bool coord_has_successor(struct coord *c, const char *self);
/*
 * Returns the number of jobs that a planned stop waits for if no other agent can become
 * the coordinator: jobs whose reservations were sent and that have not ended, and jobs with an
 * unsent acknowledgement.
 */
size_t coord_unfinished_jobs(const struct coord *c);

/* Job records to write. The daemon writes them and then calls coord_batch_done. */
struct coord_batch {
	struct job_write *writes;
	char **ids;
	uint64_t *versions;
	size_t len;
};
bool coord_take_batch(struct coord *c, struct coord_batch *out);
void coord_batch_done(struct coord *c, int64_t now, const struct coord_batch *b, bool written);
void coord_batch_clear(struct coord_batch *b);

/*
 * The roster as text, "NAME/INCARNATION,-NAME/INCARNATION@WALL_MS,...". Items without a minus
 * sign are agents, among them those of the previous roster that have not connected yet. Items
 * with one are incarnations that have died or restarted, and when. An agent's worker gets jobs
 * that are not idempotent only once the daemon has stored a roster that has the agent's current
 * incarnation without a minus sign.
 */
char *coord_roster(const struct coord *c);
/* Whether the roster differs from the stored one; always false in the settling phase. */
bool coord_roster_changed(const struct coord *c);
void coord_roster_saved(struct coord *c, const char *roster);
void coord_set_store_up(struct coord *c, int64_t now, bool up);

/* These two functions have no callers. */
struct sched *coord_sched(struct coord *c);
bool coord_settled(const struct coord *c);

#endif

#include "entry-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define REDIAL_DELAY_NS	   (300 * NSEC_PER_MSEC)
#define SILENCE_TIMEOUT_NS (4 * NSEC_PER_SEC)

/* Frees a link. */
void cell_link_free(void *link)
{
	struct cell_link *l = link;

	free(l->name);
	free(l->addr);
	free(l->summary.cell);
	free(l);
}

/* Returns the link to a cell, or NULL. */
struct cell_link *cell_link_find(struct entry *e, const char *cell)
{
	return cell != NULL ? g_hash_table_lookup(e->links, cell) : NULL;
}

/* Returns the link that uses a connection, or NULL. */
static struct cell_link *cell_link_by_peer(struct entry *e, peer_id peer)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->links);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_link *l = value;

		if (l->peer == peer && peer != PEER_NONE)
			return l;
	}
	return NULL;
}

/* Sends a message to the coordinator of a cell; false if it is not connected. */
bool cell_link_send(struct entry *e, struct cell_link *l, const struct msg *m)
{
	struct bytes b;
	bool ok;

	if (l == NULL || !l->connected)
		return false;
	b = msg_encode(m);
	ok = peer_send(e->net, l->peer, b.data, b.len);
	bytes_clear(&b);
	return ok;
}

/*
 * Updates the coordinators' addresses from the view and adds links to unknown cells. The
 * address changes only with a newer term: the view may have been read before the term became
 * known from a welcome.
 */
void cell_links_update(struct entry *e, const struct entry_view *v)
{
	for (guint i = 0; i < v->cells->len; i++) {
		const struct cell_term *t = v->cells->pdata[i];
		struct cell_link *l = cell_link_find(e, t->name);

		if (l == NULL) {
			l = xcalloc(1, sizeof(*l));
			l->name = xstrdup(t->name);
			g_hash_table_insert(e->links, l->name, l);
		}
		if (t->term <= l->term || t->addr == NULL)
			continue;
		log_info("entry", "The coordinator of cell %s is at %s. term=%" PRIu64, t->name,
			t->addr, t->term);
		l->term = t->term;
		free(l->addr);
		l->addr = xstrdup(t->addr);
		if (l->peer != PEER_NONE)
			peer_close(e->net, l->peer);
		l->next_dial_at = 0;
	}
}

/* Closes connections that have been silent too long and dials missing ones. */
void cell_links_tick(struct entry *e, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->links);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_link *l = value;

		if (l->peer != PEER_NONE && now - l->last_received_at > SILENCE_TIMEOUT_NS)
			peer_close(e->net, l->peer);
		if (l->peer != PEER_NONE || l->addr == NULL || now < l->next_dial_at)
			continue;
		l->last_received_at = now;
		l->peer = peer_dial(e->net, l->addr, NULL);
		l->next_dial_at = now + REDIAL_DELAY_NS;
	}
}

/* Sends the hello on a new connection. */
void cell_link_on_opened(void *arg, peer_id peer, bool dialled)
{
	struct entry *e = arg;
	struct cell_link *l = cell_link_by_peer(e, peer);
	struct msg m = {.kind = MSG_HELLO,
		.hello = {.role = ROLE_ENTRY, .name = e->name, .zone = (char *)e->p->zone}};

	(void)dialled;
	if (l == NULL)
		return;
	l->connected = true;
	cell_link_send(e, l, &m);
}

/*
 * Handles a welcome. Closes the connection if the peer does not coordinate this cell or has an
 * older term than the known one.
 */
static void on_welcome(struct entry *e, struct cell_link *l, const struct msg_welcome *w)
{
	if (w->term == 0 || g_strcmp0(w->cell, l->name) != 0 || w->term < l->term) {
		peer_close(e->net, l->peer);
		return;
	}
	l->ready = true;
	l->term = w->term;
	l->ready_term = w->term;
	jobs_resubmit(e, l);
}

/* Stores the latest summary of a cell. */
static void on_summary(struct cell_link *l, const struct msg_summary *s)
{
	free(l->summary.cell);
	l->summary = *s;
	l->summary.cell = xstrdup(s->cell);
	l->has_summary = true;
}

/* Dispatches a message from a coordinator. */
void cell_link_on_message(void *arg, peer_id peer, const uint8_t *body, size_t len)
{
	struct entry *e = arg;
	struct cell_link *l = cell_link_by_peer(e, peer);
	g_autoptr(GError) err = NULL;
	struct msg m;

	if (l == NULL)
		return;
	l->last_received_at = loop_now(e->p->loop);
	if (!msg_decode(&m, body, len, &err)) {
		log_warning("entry", "Invalid message from the coordinator of cell %s: %s.",
			l->name, err->message);
		peer_close(e->net, peer);
		return;
	}
	if (m.kind == MSG_WELCOME)
		on_welcome(e, l, &m.welcome);
	else if (m.kind == MSG_SUMMARY)
		on_summary(l, &m.summary);
	else if (m.kind == MSG_ANSWER && !query_on_answer(e, &m.answer))
		job_on_answer(e, &m.answer);
	else if (m.kind == MSG_REPLY)
		query_on_reply(e, &m.reply);
	msg_clear(&m);
}

/* Marks a link as disconnected and reads the coordinators' addresses again. */
void cell_link_on_closed(void *arg, peer_id peer, const GError *why)
{
	struct entry *e = arg;
	struct cell_link *l = cell_link_by_peer(e, peer);

	(void)why;
	if (l == NULL)
		return;
	if (l->ready)
		log_info(
			"entry", "Lost the connection to the coordinator of cell %s.", l->name);
	l->peer = PEER_NONE;
	l->connected = false;
	l->ready = false;
	l->next_dial_at = loop_now(e->p->loop) + REDIAL_DELAY_NS;
	config_reload(e);
}

#include "entry-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define DIAL_RETRY  (300 * NSEC_PER_MSEC)
#define SILENCE_MAX (4 * NSEC_PER_SEC)

/* Free a link. */
void link_free(void *link)
{
	struct cell_link *l = link;

	free(l->name);
	free(l->addr);
	free(l->summary.cell);
	free(l);
}

/* Find the link to a cell. */
struct cell_link *link_find(struct entry *e, const char *cell)
{
	return cell != NULL ? g_hash_table_lookup(e->links, cell) : NULL;
}

/* Find a link by its connection. */
static struct cell_link *link_by_peer(struct entry *e, peer_id peer)
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

/* Send a message to a cell's coordinator. */
bool link_send_msg(struct entry *e, struct cell_link *l, const struct msg *m)
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

/* Take over where the coordinators are; one with a lower term is passed over. */
void links_update(struct entry *e, const struct entry_view *v)
{
	for (guint i = 0; i < v->cells->len; i++) {
		const struct cell_term *t = v->cells->pdata[i];
		struct cell_link *l = link_find(e, t->name);

		if (l == NULL) {
			l = xcalloc(1, sizeof(*l));
			l->name = xstrdup(t->name);
			g_hash_table_insert(e->links, l->name, l);
		}
		if (t->term <= l->term || t->addr == NULL)
			continue;
		log_info("entry", "Cell %s is coordinated at %s. term=%" PRIu64, t->name,
			t->addr, t->term);
		l->term = t->term;
		free(l->addr);
		l->addr = xstrdup(t->addr);
		if (l->peer != PEER_NONE)
			peer_close(e->net, l->peer);
		l->next_dial_at = 0;
	}
}

/* Dial the coordinators that we are not connected to, and leave those that fell silent. */
void links_tick(struct entry *e, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->links);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_link *l = value;

		if (l->peer != PEER_NONE && now - l->last_received > SILENCE_MAX)
			peer_close(e->net, l->peer);
		if (l->peer != PEER_NONE || l->addr == NULL || now < l->next_dial_at)
			continue;
		l->last_received = now;
		l->peer = peer_dial(e->net, l->addr, NULL);
		l->next_dial_at = now + DIAL_RETRY;
	}
}

/* A connection is open: introduce ourselves. */
void link_on_opened(void *arg, peer_id peer, bool dialled)
{
	struct entry *e = arg;
	struct cell_link *l = link_by_peer(e, peer);
	struct msg m = {.kind = MSG_HELLO,
		.hello = {.role = ROLE_ENTRY, .name = e->name, .zone = (char *)e->p->zone}};

	(void)dialled;
	if (l == NULL)
		return;
	l->connected = true;
	link_send_msg(e, l, &m);
}

/* A coordinator's welcome; a process that is none, or an older one, is left. */
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

/* Keep the newest summary of a cell. */
static void on_summary(struct cell_link *l, const struct msg_summary *s)
{
	free(l->summary.cell);
	l->summary = *s;
	l->summary.cell = xstrdup(s->cell);
	l->has_summary = true;
}

/* A message of a coordinator. */
void link_on_message(void *arg, peer_id peer, const uint8_t *body, size_t len)
{
	struct entry *e = arg;
	struct cell_link *l = link_by_peer(e, peer);
	g_autoptr(GError) err = NULL;
	struct msg m;

	if (l == NULL)
		return;
	l->last_received = loop_now(e->p->loop);
	if (!msg_decode(&m, body, len, &err)) {
		log_warning("entry", "A coordinator sent %s.", err->message);
		peer_close(e->net, peer);
		return;
	}
	if (m.kind == MSG_WELCOME)
		on_welcome(e, l, &m.welcome);
	else if (m.kind == MSG_SUMMARY)
		on_summary(l, &m.summary);
	else if (m.kind == MSG_ANSWER && !query_on_result(e, &m.answer))
		job_on_answer(e, &m.answer);
	else if (m.kind == MSG_REPLY)
		query_on_reply(e, &m.reply);
	msg_clear(&m);
}

/* A connection is gone. */
void link_on_closed(void *arg, peer_id peer, const GError *why)
{
	struct entry *e = arg;
	struct cell_link *l = link_by_peer(e, peer);

	(void)why;
	if (l == NULL)
		return;
	if (l->ready)
		log_info("entry", "The connection to the coordinator of %s is gone.", l->name);
	l->peer = PEER_NONE;
	l->connected = false;
	l->ready = false;
	l->next_dial_at = loop_now(e->p->loop) + DIAL_RETRY;
	config_refresh(e);
}
